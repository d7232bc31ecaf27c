//! Limits the rate of loads from the weight store across changes of leadership.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Loads that a new leader may start while loads of its predecessor may still be in the window.
/// The limit of the deployment leaves about as many loads above the configured rate.
const MAX_LOADS_AFTER_TAKEOVER: usize = 3;

/// Counts the loads that this VM started as leader, and allows for those of its predecessor.
#[derive(Debug)]
pub(crate) struct LoadRateLimit {
    window: Duration,
    started: RefCell<VecDeque<Instant>>,
    takeover_at: Cell<Option<Instant>>,
}

impl LoadRateLimit {
    /// Creates a limit without any loads, counted over `window`.
    pub(crate) fn new(window: Duration) -> Self {
        Self {
            window,
            started: RefCell::default(),
            takeover_at: Cell::new(None),
        }
    }

    /// Records that another VM was the leader until now.
    pub(crate) fn note_takeover(&self, now: Instant) {
        self.takeover_at.set(Some(now));
    }

    /// Counts a load that starts now.
    pub(crate) fn note(&self, now: Instant) {
        self.started.borrow_mut().push_back(now);
    }

    /// Returns the number of loads that may start now, at `loads_per_s` over all runners.
    pub(crate) fn left(&self, loads_per_s: f64, now: Instant) -> usize {
        let is_in_window = |at: &Instant| now.saturating_duration_since(*at) <= self.window;
        let mut started = self.started.borrow_mut();
        while started.front().is_some_and(|at| !is_in_window(at)) {
            started.pop_front();
        }
        let allowed = (loads_per_s * self.window.as_secs_f64()).floor() as usize;
        let allowed = match self.takeover_at.get() {
            Some(at) if is_in_window(&at) => allowed.min(MAX_LOADS_AFTER_TAKEOVER),
            _ => allowed,
        };
        allowed.saturating_sub(started.len())
    }
}
