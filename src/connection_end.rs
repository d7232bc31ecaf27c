//! Why a connection of a client ended, told to the requests that were in work on it.

use crate::client_memory::EvictionCause;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, AtomicU32, Ordering};

/// Why a connection ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CloseCause {
    /// The client closed or reset it.
    ClientLeft,
    /// The client stopped reading a response.
    WriteStalled,
    /// The client did not send a request head in time.
    HeadTimeout,
    /// What the client sent is no request.
    Malformed,
    /// A streamed response ended early.
    AnswerBroken,
    /// The task that served it ended without a cause of its own.
    TaskFailed,
    /// The process shuts down.
    Shutdown,
    /// The memory that it held was needed for other clients.
    MemoryNeeded,
    /// Its place was needed for another connection.
    PlaceNeeded,
}

impl CloseCause {
    const ALL: [Self; 9] = [
        Self::ClientLeft,
        Self::WriteStalled,
        Self::HeadTimeout,
        Self::Malformed,
        Self::AnswerBroken,
        Self::TaskFailed,
        Self::Shutdown,
        Self::MemoryNeeded,
        Self::PlaceNeeded,
    ];

    /// Returns the name in logs.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::ClientLeft => "client left",
            Self::WriteStalled => "client stopped reading",
            Self::HeadTimeout => "no request head in time",
            Self::Malformed => "request malformed",
            Self::AnswerBroken => "answer broken off",
            Self::TaskFailed => "task failed",
            Self::Shutdown => "shutdown",
            Self::MemoryNeeded => "memory needed for others",
            Self::PlaceNeeded => "place needed for others",
        }
    }

    /// Whether connections that no request has begun to arrive on end so.
    pub(crate) fn is_usual(self) -> bool {
        matches!(self, Self::ClientLeft | Self::HeadTimeout | Self::Shutdown)
    }

    /// The cause by which a connection is closed for others.
    pub(crate) fn of_eviction(cause: EvictionCause) -> Self {
        match cause {
            EvictionCause::Memory => Self::MemoryNeeded,
            EvictionCause::Place => Self::PlaceNeeded,
        }
    }

    /// The cause by which `hyper` ended a connection.
    pub(crate) fn of_error(error: &hyper::Error) -> Self {
        if error.is_timeout() {
            Self::HeadTimeout
        } else if error.is_parse() {
            Self::Malformed
        } else if error.is_user() {
            Self::AnswerBroken
        } else {
            Self::ClientLeft
        }
    }
}

/// The end of one connection, shared with the requests that arrive on it; `hyper` passes it on as an
/// extension of each request.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConnectionEnd(Arc<SharedEnd>);

#[derive(Debug, Default)]
struct SharedEnd {
    /// One more than the cause's place in [`CloseCause::ALL`]; 0 if there is none yet.
    cause: AtomicU8,
    /// The number of requests in work.
    open: AtomicU32,
}

impl ConnectionEnd {
    /// States why the connection ends, unless that is known already.
    pub(crate) fn set(&self, cause: CloseCause) {
        let place = CloseCause::ALL.iter().position(|it| *it == cause);
        let number = place.map_or(0, |place| place as u8 + 1);
        let _ = self
            .0
            .cause
            .compare_exchange(0, number, Ordering::Relaxed, Ordering::Relaxed);
    }

    /// Why the connection ended. `hyper` drops the request before it says why, if the client left.
    pub(crate) fn cause(&self) -> CloseCause {
        let number = usize::from(self.0.cause.load(Ordering::Relaxed));
        let cause = number.checked_sub(1).and_then(|it| CloseCause::ALL.get(it));
        match cause {
            Some(cause) => *cause,
            None if std::thread::panicking() => CloseCause::TaskFailed,
            None => CloseCause::ClientLeft,
        }
    }

    /// Counts a request that is in work.
    pub(crate) fn begin_request(&self) {
        self.0.open.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a request that has ended.
    pub(crate) fn end_request(&self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }

    /// The number of requests in work.
    pub(crate) fn open_requests(&self) -> u32 {
        self.0.open.load(Ordering::Relaxed)
    }
}
