//! How a request of a caller ends.

use crate::connection_end::CloseCause;
use prometheus_client::encoding::EncodeLabelSet;

/// How a request of a caller ended, from the caller's point of view.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RequestEnd {
    /// The whole answer of a server was passed on.
    Answered,
    /// A refusal was passed on.
    Refused,
    /// The caller closed its connection.
    CallerLeft,
    /// The answer broke off at the server, and no other server could go on with it.
    ServerBrokeOff,
    /// The deadline passed in the middle of the answer.
    Deadline,
    /// The caller stopped reading the answer.
    ReaderStalled,
    /// This process closed the caller's connection.
    ConnectionClosed,
    /// The connection was closed for others, since the caller had not read its answer or sent its
    /// request.
    GaveWay,
    /// The process exits.
    ProcessEnded,
}

/// The label of requests that are counted by their end.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct EndLabels {
    /// How the requests ended.
    pub(crate) end: &'static str,
}

impl RequestEnd {
    /// Returns the name in logs and metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Refused => "refused",
            Self::CallerLeft => "caller_left",
            Self::ServerBrokeOff => "server_broke_off",
            Self::Deadline => "deadline",
            Self::ReaderStalled => "reader_stalled",
            Self::ConnectionClosed => "connection_closed",
            Self::GaveWay => "gave_way",
            Self::ProcessEnded => "process_ended",
        }
    }

    /// Whether the caller has received all that it can expect.
    pub(crate) fn is_whole(self) -> bool {
        matches!(self, Self::Answered | Self::Refused)
    }
}

impl From<CloseCause> for RequestEnd {
    fn from(cause: CloseCause) -> Self {
        match cause {
            CloseCause::ClientLeft => Self::CallerLeft,
            CloseCause::WriteStalled => Self::ReaderStalled,
            CloseCause::MemoryNeeded | CloseCause::PlaceNeeded => Self::GaveWay,
            CloseCause::HeadTimeout
            | CloseCause::Malformed
            | CloseCause::Shutdown
            | CloseCause::TaskFailed => Self::ConnectionClosed,
            CloseCause::AnswerBroken => Self::ServerBrokeOff,
        }
    }
}
