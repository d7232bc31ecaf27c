//! Why a request is not answered by a server, and what its caller is told.

use crate::gateway::Refusal;
use hyper::StatusCode;
use std::time::Duration;

/// The part of a caller's time left after which one that was refused for want of a place, of a
/// copy, or of knowledge comes back at the latest: callers wait for a third at most. A place comes
/// with one more copy, which takes seconds to make room for and to load; a VM that has started
/// knows nothing until the log answers; and most callers come back once.
const MAX_RETRY_SHARE: f64 = 0.33;
/// The same at the earliest; spread, so that those refused together do not come back together.
const MIN_RETRY_SHARE: f64 = 0.2;
/// Requests that are refused together for their quota come back spread over this time.
const QUOTA_RETRY_SPREAD: Duration = Duration::from_millis(1_000);
/// When a request whose quota allows it only later may come back at the latest.
const MAX_QUOTA_RETRY: Duration = Duration::from_secs(60);
/// When a request that crashes servers may come back.
const POISON_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Why a request is not answered by a server's answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Failure {
    /// This VM knows no configuration or no servers yet.
    Unready,
    /// The request cannot be read.
    Malformed(&'static str),
    /// Its key is no organisation's.
    UnknownKey,
    /// Its organisation's quota is spent, and may allow it after this time.
    OverQuota(Duration),
    /// No route is about it.
    NoRoute,
    /// Its body is larger than allowed.
    TooLarge,
    /// Its body did not arrive whole.
    BodyCut,
    /// No server can take it.
    NoServer,
    /// The servers that could take it are full.
    Full,
    /// It was sent, and what became of it is unknown.
    Unknown,
    /// Its time is up, and it was sent.
    TimedOut,
    /// Its time is up, and it was never sent.
    Late,
    /// Servers crashed each time it was aboard.
    Poison,
}

impl Failure {
    /// The name in metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Unready => "unready",
            Self::Malformed(_) => "malformed",
            Self::UnknownKey => "unknown_key",
            Self::OverQuota(_) => "over_quota",
            Self::NoRoute => "no_route",
            Self::TooLarge => "too_large",
            Self::BodyCut => "body_cut",
            Self::NoServer => "no_server",
            Self::Full => "full",
            Self::Unknown => "unknown",
            Self::TimedOut => "timed_out",
            Self::Late => "late",
            Self::Poison => "poison",
        }
    }

    /// What a caller is told that has so much time left.
    pub(crate) fn refusal(self, time_left: Duration) -> Refusal {
        let (status, retry_after) = match self {
            Self::Malformed(_) => (400, None),
            Self::UnknownKey => (401, None),
            Self::OverQuota(wait) => {
                let spread = QUOTA_RETRY_SPREAD.mul_f64(rand::random());
                (429, Some(wait.saturating_add(spread).min(MAX_QUOTA_RETRY)))
            }
            Self::NoRoute => (404, None),
            Self::TooLarge => (413, None),
            Self::BodyCut => (408, None),
            Self::Full | Self::NoServer | Self::Unready => {
                let share = rand::random_range(MIN_RETRY_SHARE..MAX_RETRY_SHARE);
                (503, Some(time_left.mul_f64(share)))
            }
            Self::Unknown => (502, None),
            Self::TimedOut => (504, None),
            Self::Late => (503, None),
            Self::Poison => (503, Some(POISON_RETRY_AFTER)),
        };
        Refusal {
            status: StatusCode::from_u16(status).expect("the table holds valid statuses"),
            retry_after,
        }
    }
}
