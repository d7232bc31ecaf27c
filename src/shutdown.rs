//! Graceful shutdown: a signal that tasks wait for, and a count of open work.

use crate::signal::Signal;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// How often the wait for open work looks again.
const POLL: Duration = Duration::from_millis(20);

/// The state of one process's shutdown.
#[derive(Debug, Default)]
pub struct Shutdown {
    leaving: Cell<bool>,
    closed: Cell<bool>,
    open: Cell<usize>,
    closing: Signal,
}

/// Keeps one piece of work counted as open until dropped.
#[derive(Debug)]
pub struct WorkGuard(Rc<Shutdown>);

impl Drop for WorkGuard {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}

impl Shutdown {
    /// Marks the process as leaving: health answers fail, work goes on.
    pub fn leave(&self) {
        self.leaving.set(true);
    }

    /// Whether the process is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving.get()
    }

    /// Stops listeners and closes connections after the request they are at.
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

    /// Counts a piece of work as open.
    pub fn enter(self: &Rc<Self>) -> WorkGuard {
        self.open.set(self.open.get() + 1);
        WorkGuard(self.clone())
    }

    /// The number of open pieces of work.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Waits until no work is open, at most `limit`; tells whether none is.
    pub async fn drained(&self, limit: Duration) -> bool {
        let start = std::time::Instant::now();
        while self.open.get() > 0 && start.elapsed() < limit {
            compio::time::sleep(POLL).await;
        }
        self.open.get() == 0
    }
}
