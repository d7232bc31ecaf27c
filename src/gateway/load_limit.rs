//! Limits the rate of loads from the weight store across changes of leadership.
//!
//! A load that is planned begins later: once other models are unloaded, and once the runner has
//! accepted the order, which may take several attempts. A plan therefore reserves its load, and the
//! load counts from the reservation until a whole window after its beginning.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Loads that a new leader may start while loads of its predecessor may still be in the window.
/// The limit of the deployment leaves about as many loads above the configured rate.
const MAX_LOADS_AFTER_TAKEOVER: usize = 3;

/// Counts the loads that this VM started as leader, and allows for those of its predecessor.
#[derive(Debug)]
pub(crate) struct LoadRateLimit {
    window: Duration,
    /// Loads that are planned and have not begun yet, as far as this VM knows.
    reserved: Cell<usize>,
    started: RefCell<VecDeque<Instant>>,
    takeover_at: Cell<Option<Instant>>,
}

/// A planned load. It counts as begun when it is dropped, unless it was noted before: an order
/// without an answer may have been carried out.
#[derive(Debug)]
pub(crate) struct LoadReservation {
    limit: Rc<LoadRateLimit>,
    has_started: Cell<bool>,
}

impl LoadReservation {
    /// Records that the load begins now.
    pub(crate) fn note_started(&self, now: Instant) {
        if !self.has_started.replace(true) {
            self.limit.reserved.set(self.limit.reserved.get() - 1);
            self.limit.note(now);
        }
    }
}

impl Drop for LoadReservation {
    fn drop(&mut self) {
        self.note_started(Instant::now());
    }
}

impl LoadRateLimit {
    /// Creates a limit without any loads, counted over `window`.
    pub(crate) fn new(window: Duration) -> Self {
        Self {
            window,
            reserved: Cell::new(0),
            started: RefCell::default(),
            takeover_at: Cell::new(None),
        }
    }

    /// Records that another VM was the leader until now.
    pub(crate) fn note_takeover(&self, now: Instant) {
        self.takeover_at.set(Some(now));
    }

    /// Counts a load that is planned and begins later.
    pub(crate) fn reserve(self: &Rc<Self>) -> LoadReservation {
        self.reserved.set(self.reserved.get() + 1);
        LoadReservation {
            limit: self.clone(),
            has_started: Cell::new(false),
        }
    }

    /// Counts a load that starts now.
    pub(crate) fn note(&self, now: Instant) {
        self.started.borrow_mut().push_back(now);
    }

    /// Returns the number of loads that may be planned now, at `loads_per_s` over all runners.
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
        allowed.saturating_sub(started.len() + self.reserved.get())
    }
}
