//! Bounds what is spent on refusing requests on connections that are not served.

use prometheus_client::metrics::counter::Counter;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;

/// The largest number of refusals that can be saved up, for a burst after a pause.
const MAX_SAVED: f64 = 512.0;
/// The refusals that each connection earns that is served. A refusal costs far less than serving, so
/// that a VM that gets too many connections still spends its time on those that it serves.
const EARNED_PER_SERVED: f64 = 1.0;
/// The refusals that each second earns, for a VM that serves no new connections.
const EARNED_PER_S: f64 = 50.0;

/// Bounds refusals, and counts the connections that end without one.
#[derive(Debug)]
pub(crate) struct Refusals {
    open: Rc<Cell<usize>>,
    max_open: usize,
    saved: Cell<f64>,
    earned_until: Cell<Instant>,
    closed_unread: Counter,
}

impl Refusals {
    /// Creates the bound; `closed_unread` counts connections on which no request was read.
    /// At most `max_open` connections are open for a refusal.
    pub(crate) fn new(max_open: usize, closed_unread: Counter, now: Instant) -> Self {
        Self {
            open: Rc::default(),
            max_open,
            saved: Cell::new(MAX_SAVED),
            earned_until: Cell::new(now),
            closed_unread,
        }
    }

    /// Records that a connection is served.
    pub(crate) fn note_served(&self) {
        self.earn(EARNED_PER_SERVED);
    }

    /// Whether a connection may be refused; if not, it is counted as closed.
    pub(crate) fn take(&self, now: Instant) -> bool {
        let since = now.saturating_duration_since(self.earned_until.replace(now));
        self.earn(since.as_secs_f64() * EARNED_PER_S);
        let may_refuse = self.saved.get() >= 1.0;
        match may_refuse {
            true => self.saved.set(self.saved.get() - 1.0),
            false => self.note_unread(),
        }
        may_refuse
    }

    /// Keeps a connection open for the rest of its request; `None` if too many are open, and then
    /// counts it as closed unless its request was read.
    pub(crate) fn open_one(&self, is_read: bool) -> Option<OpenRefusal> {
        if self.open.get() >= self.max_open {
            if !is_read {
                self.note_unread();
            }
            return None;
        }
        self.open.set(self.open.get() + 1);
        Some(OpenRefusal {
            open: self.open.clone(),
            closed_unread: self.closed_unread.clone(),
            is_read: Cell::new(is_read),
        })
    }

    /// The number of connections that are open for a refusal.
    pub(crate) fn open(&self) -> usize {
        self.open.get()
    }

    fn note_unread(&self) {
        self.closed_unread.inc();
    }

    fn earn(&self, refusals: f64) {
        self.saved.set((self.saved.get() + refusals).min(MAX_SAVED));
    }
}

/// A connection that is open for a refusal, until dropped.
#[derive(Debug)]
pub(crate) struct OpenRefusal {
    open: Rc<Cell<usize>>,
    closed_unread: Counter,
    is_read: Cell<bool>,
}

impl OpenRefusal {
    /// Whether a request was read on the connection.
    pub(crate) fn is_read(&self) -> bool {
        self.is_read.get()
    }

    /// Records that a request was read on the connection.
    pub(crate) fn note_read(&self) {
        self.is_read.set(true);
    }
}

impl Drop for OpenRefusal {
    fn drop(&mut self) {
        self.open.set(self.open.get() - 1);
        if !self.is_read.get() {
            self.closed_unread.inc();
        }
    }
}
