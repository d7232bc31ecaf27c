//! Graceful shutdown: a signal that tasks wait for, and a count of the work in flight.

use crate::signal::Signal;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The interval at which [`Shutdown::drained`] checks for remaining work.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The shutdown state of one process.
#[derive(Debug, Default)]
pub struct Shutdown {
    leaving: Cell<bool>,
    /// When the requests in work are to be answered at the latest.
    last_answer_at: Cell<Option<Instant>>,
    closed: Cell<bool>,
    open: Cell<usize>,
    closing: Signal,
}

/// Counts one unit of work as open until dropped.
#[derive(Debug)]
pub struct WorkGuard(Rc<Shutdown>);

impl Drop for WorkGuard {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}

impl Shutdown {
    /// Marks the process as leaving: health checks fail, requests are still served.
    pub fn leave(&self) {
        self.leaving.set(true);
    }

    /// Marks the process as leaving, with the time at which the requests in work are to be answered
    /// at the latest.
    pub(crate) fn leave_by(&self, last_answer_at: Instant) {
        self.last_answer_at.set(Some(last_answer_at));
        self.leave();
    }

    /// When the requests in work are to be answered at the latest, if the process is leaving.
    pub(crate) fn last_answer_at(&self) -> Option<Instant> {
        self.last_answer_at.get()
    }

    /// Whether the process is marked as leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving.get()
    }

    /// Stops listeners, and closes each connection once its current request has ended.
    pub fn close(&self) {
        self.closed.set(true);
        self.closing.notify();
    }

    /// Waits until [`Shutdown::close`] is called.
    pub async fn wait(&self) {
        if self.closed.get() {
            return;
        }
        self.closing.wait().await;
    }

    /// Counts a unit of work as open until the guard is dropped.
    pub fn enter(self: &Rc<Self>) -> WorkGuard {
        self.open.set(self.open.get() + 1);
        WorkGuard(self.clone())
    }

    /// The number of open units of work.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Waits for up to `limit` until no work is open; returns whether none is.
    pub async fn drained(&self, limit: Duration) -> bool {
        let start = Instant::now();
        while self.open.get() > 0 && start.elapsed() < limit {
            compio::time::sleep(POLL_INTERVAL).await;
        }
        self.open.get() == 0
    }
}
