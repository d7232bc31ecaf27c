//! Reasons why a request has no answer from a server, and the responses sent to callers for them.

use crate::accept_queue::Overload;
use crate::gateway::Refusal;
use hyper::StatusCode;
use std::time::Duration;

/// Latest retry time, as a share of the caller's remaining time, when a request is refused for want
/// of capacity and it is not predicted when there is some, or because this VM has no configuration
/// yet.
///
/// Callers wait for at most a third of that time, and most of them retry once. The retry should be
/// as late as possible: making room for another copy and loading it takes seconds, and a VM that
/// has just started has no configuration until the log responds.
const MAX_RETRY_SHARE: f64 = 0.33;
/// Earliest retry time for the same refusals, as a share of the remaining time. The retry time is
/// random, so that callers refused together do not retry together.
const MIN_RETRY_SHARE: f64 = 0.2;
/// Time over which retries are spread for requests refused together because of a quota.
const QUOTA_RETRY_SPREAD: Duration = Duration::from_millis(1_000);
/// Longest retry time after a refusal because of a quota.
const MAX_QUOTA_RETRY: Duration = Duration::from_secs(60);
/// Time over which retries are spread for requests refused together because servers pause.
const PAUSE_RETRY_SPREAD: Duration = Duration::from_millis(500);
/// Time over which retries are spread for streams whose software version a VM does not know.
const VERSION_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Time over which retries are spread for requests on connections that waited for too long. The
/// caller's next connection goes to another VM, which may serve it at once.
const LONG_WAIT_RETRY_SPREAD: Duration = Duration::from_millis(200);
/// The same for connections beyond the largest number: the other VMs may be flooded as well.
const MANY_OPEN_RETRY_SPREAD: Duration = Duration::from_millis(1_000);
/// Time over which retries are spread for requests that found no memory: another VM may have some at
/// once, this one when other callers have been answered or their connections closed.
const BODY_ROOM_RETRY_SPREAD: Duration = Duration::from_millis(1_000);
/// The same for requests that a VM which shuts down cannot have served any more: another VM may at
/// once.
const LEAVING_RETRY_SPREAD: Duration = Duration::from_millis(200);
/// Retry time of a request that crashes servers.
const POISON_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Whether a status promises to the caller that its request has not run and never will.
pub(crate) fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// The reason why a request has no answer from a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Failure {
    /// This VM has no configuration or no list of servers yet.
    Unready,
    /// This VM is too busy to serve the connection of the request.
    Overloaded(Overload),
    /// This VM shuts down before the request can be served.
    Leaving,
    /// The request cannot be parsed, for the given reason.
    Malformed(&'static str),
    /// The API key belongs to no organisation.
    UnknownKey,
    /// The organisation's quota is used up, and may allow the request after this time.
    OverQuota(Duration),
    /// No route matches the request.
    NoRoute,
    /// The head is larger than allowed.
    HeadTooLarge,
    /// The body is larger than allowed.
    TooLarge,
    /// The body did not arrive completely.
    BodyCut,
    /// What is held for other callers takes the memory that this VM has for callers, so that there is
    /// none for the body.
    NoBodyRoom,
    /// The same, before the body is read.
    NoMemory,
    /// No server can handle the request. Carries when the caller should come again, if predicted.
    NoServer(Option<Duration>),
    /// All servers that can handle the request are full. Carries the same.
    Full(Option<Duration>),
    /// This VM reaches no server, and no other VM takes the request.
    CutOff,
    /// The rate limits of all servers that can handle the request are used up. Carries the same.
    RateLimited(Option<Duration>),
    /// All servers that can handle the request want none from this VM for this time.
    Paused(Duration),
    /// The request was sent, and its outcome is unknown.
    Unknown,
    /// The deadline passed after the request was sent.
    TimedOut,
    /// The deadline passed before the request was sent.
    Late,
    /// It is not known at which software version the stream began that the request takes up.
    UnknownVersion,
    /// No server has the software version at which the stream began.
    VersionGone,
    /// Servers crashed while the request was in flight on them.
    Poison,
}

impl Failure {
    /// The failure to report for a request that servers may have executed `runs` times: nothing is
    /// promised of one that may have run.
    pub(crate) fn after_runs(self, runs: u32) -> Self {
        let promises = promises_not_run(self.refusal(Duration::ZERO).status);
        match self {
            _ if runs == 0 || !promises => self,
            Self::Late => Self::TimedOut,
            _ => Self::Unknown,
        }
    }

    /// Whether the connection of the request is closed: what it takes is needed for others.
    pub(crate) fn closes_connection(self) -> bool {
        matches!(
            self,
            Self::NoBodyRoom | Self::NoMemory | Self::Overloaded(_)
        )
    }

    /// Returns the name in metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Unready => "unready",
            Self::Overloaded(Overload::LongWait) => "long_wait",
            Self::Overloaded(Overload::ManyOpen) => "many_open",
            Self::Leaving => "leaving",
            Self::Malformed(_) => "malformed",
            Self::UnknownKey => "unknown_key",
            Self::OverQuota(_) => "over_quota",
            Self::NoRoute => "no_route",
            Self::HeadTooLarge => "head_too_large",
            Self::TooLarge => "too_large",
            Self::BodyCut => "body_cut",
            Self::NoBodyRoom => "no_body_room",
            Self::NoMemory => "no_memory",
            Self::NoServer(_) => "no_server",
            Self::Full(_) => "full",
            Self::CutOff => "cut_off",
            Self::RateLimited(_) => "rate_limited",
            Self::Paused(_) => "paused",
            Self::Unknown => "unknown",
            Self::TimedOut => "timed_out",
            Self::Late => "late",
            Self::UnknownVersion => "unknown_version",
            Self::VersionGone => "version_gone",
            Self::Poison => "poison",
        }
    }

    /// Returns the name in logs, without what the failure carries.
    pub(crate) fn label(self) -> String {
        let text = format!("{self:?}");
        let name = text.split('(').next();
        name.unwrap_or_default().to_owned()
    }

    /// Returns the response for a caller that waits for another `time_left`.
    pub(crate) fn refusal(self, time_left: Duration) -> Refusal {
        let (status, retry_after) = match self {
            Self::Overloaded(overload) => {
                let spread = match overload {
                    Overload::LongWait => LONG_WAIT_RETRY_SPREAD,
                    Overload::ManyOpen => MANY_OPEN_RETRY_SPREAD,
                };
                let latest = spread.min(time_left.mul_f64(MAX_RETRY_SHARE));
                (503, Some(latest.mul_f64(rand::random())))
            }
            Self::Leaving => {
                let latest = LEAVING_RETRY_SPREAD.min(time_left.mul_f64(MAX_RETRY_SHARE));
                (503, Some(latest.mul_f64(rand::random())))
            }
            Self::Malformed(_) => (400, None),
            Self::UnknownKey => (401, None),
            Self::OverQuota(wait) => {
                let spread = QUOTA_RETRY_SPREAD.mul_f64(rand::random());
                (429, Some(wait.saturating_add(spread).min(MAX_QUOTA_RETRY)))
            }
            Self::NoRoute => (404, None),
            Self::HeadTooLarge => (431, None),
            Self::TooLarge => (413, None),
            Self::BodyCut => (408, None),
            Self::NoBodyRoom | Self::NoMemory => {
                let latest = BODY_ROOM_RETRY_SPREAD.min(time_left.mul_f64(MAX_RETRY_SHARE));
                (503, Some(latest.mul_f64(rand::random())))
            }
            Self::Full(Some(after))
            | Self::NoServer(Some(after))
            | Self::RateLimited(Some(after)) => (503, Some(after.min(time_left))),
            Self::CutOff
            | Self::Full(None)
            | Self::NoServer(None)
            | Self::RateLimited(None)
            | Self::Unready => {
                let share = rand::random_range(MIN_RETRY_SHARE..MAX_RETRY_SHARE);
                (503, Some(time_left.mul_f64(share)))
            }
            Self::Paused(left) => {
                let spread = PAUSE_RETRY_SPREAD.mul_f64(rand::random());
                (503, Some(left.saturating_add(spread)))
            }
            Self::Unknown => (502, None),
            Self::TimedOut => (504, None),
            Self::UnknownVersion => {
                // Another VM may know it.
                let after = VERSION_RETRY_AFTER.mul_f64(rand::random());
                (503, Some(after.min(time_left)))
            }
            Self::Late | Self::VersionGone => (503, None),
            Self::Poison => (503, Some(POISON_RETRY_AFTER)),
        };
        Refusal {
            status: StatusCode::from_u16(status).expect("the table holds valid statuses"),
            retry_after,
        }
    }
}
