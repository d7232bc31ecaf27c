//! Connections that were accepted by the kernel and wait for this process to serve them.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Why this process does not serve a new connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Overload {
    /// The connection waited for too long.
    LongWait,
    /// Too many others are open.
    ManyOpen,
}

/// What becomes of a connection that waited.
#[derive(Debug, Eq, PartialEq)]
pub(crate) enum Admission<C> {
    /// It is served.
    Serve(C),
    /// Its request is refused, so that the client tries another server.
    Refuse(C, Overload),
}

impl<C> Admission<C> {
    /// Returns the connection.
    pub(crate) fn into_connection(self) -> C {
        match self {
            Self::Serve(connection) | Self::Refuse(connection, _) => connection,
        }
    }
}

/// New connections in the order of their arrival. Those that waited too long are refused: when more
/// arrive than can be served, the others are still served in time.
#[derive(Debug)]
pub(crate) struct AcceptQueue<C> {
    waiting: VecDeque<(C, Instant)>,
    max_wait: Duration,
    max_open: usize,
}

impl<C> AcceptQueue<C> {
    /// Creates a queue in which connections wait for up to `max_wait`, while no more than `max_open`
    /// are open.
    pub(crate) fn new(max_wait: Duration, max_open: usize) -> Self {
        Self {
            waiting: VecDeque::new(),
            max_wait,
            max_open,
        }
    }

    /// Adds a connection.
    pub(crate) fn push(&mut self, connection: C, now: Instant) {
        self.waiting.push_back((connection, now));
    }

    /// The number of connections that wait.
    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no connection waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Takes the connection that waited longest, while `open` others are open.
    pub(crate) fn pop(&mut self, open: usize, now: Instant) -> Option<Admission<C>> {
        let (connection, since) = self.waiting.pop_front()?;
        let is_late = now.saturating_duration_since(since) > self.max_wait;
        Some(if is_late {
            Admission::Refuse(connection, Overload::LongWait)
        } else if open >= self.max_open {
            Admission::Refuse(connection, Overload::ManyOpen)
        } else {
            Admission::Serve(connection)
        })
    }
}
