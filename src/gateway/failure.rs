//! Why a request is not answered by a server, and what its caller is told.

use crate::gateway::Refusal;
use hyper::StatusCode;
use std::time::Duration;

/// When to come back after a refusal for want of a place, on average: a place comes with one
/// more copy, which takes 0.3 to 3 s to make room for and 1 to 4.5 s to load. With 0.8 s more of
/// those refused came back to a second refusal: 5.2 % of urgent requests were never served
/// instead of 4.4 % (15 plays of days with trouble or high load).
const FULL_RETRY_AFTER: Duration = Duration::from_millis(2_200);
/// When to come back to a VM that knows too little to serve.
const UNREADY_RETRY_AFTER: Duration = Duration::from_millis(500);
/// When to come back where no server holds the model: it waited for a load of a second or more
/// already; one from the weight store takes three more.
const NO_SERVER_RETRY_AFTER: Duration = Duration::from_millis(2_000);
/// When a request that crashes servers may come back.
const POISON_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Why a request is not answered by a server's answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Failure {
    /// This VM knows no configuration or no servers yet.
    Unready,
    /// The request cannot be read.
    Malformed(&'static str),
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

    /// What the caller is told.
    pub(crate) fn refusal(self) -> Refusal {
        let (status, retry_after) = match self {
            Self::Unready => (503, Some(UNREADY_RETRY_AFTER)),
            Self::Malformed(_) => (400, None),
            Self::NoRoute => (404, None),
            Self::TooLarge => (413, None),
            Self::BodyCut => (408, None),
            Self::NoServer => (503, Some(NO_SERVER_RETRY_AFTER)),
            // Spread, so that those refused together do not come back together.
            Self::Full => {
                let spread = rand::random_range(0.5..1.5);
                (503, Some(FULL_RETRY_AFTER.mul_f64(spread)))
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
