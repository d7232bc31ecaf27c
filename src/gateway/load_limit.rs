//! The ceiling on loads from the weight store, which all holders of orders share.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Loads that a new holder may begin while its predecessor's may still count: the ceiling
/// leaves about as many beyond the rate.
const AFTER_TAKEOVER: usize = 3;

/// Counts the loads that this VM began, and allows for those of the holder before it.
#[derive(Debug)]
pub(crate) struct LoadRateLimit {
    window: Duration,
    begun: RefCell<VecDeque<Instant>>,
    taken_over_at: Cell<Option<Instant>>,
}

impl LoadRateLimit {
    /// No loads yet, counted over `window`.
    pub(crate) fn new(window: Duration) -> Self {
        Self {
            window,
            begun: RefCell::default(),
            taken_over_at: Cell::new(None),
        }
    }

    /// Notes that another VM gave orders until now.
    pub(crate) fn note_takeover(&self, now: Instant) {
        self.taken_over_at.set(Some(now));
    }

    /// Counts a load.
    pub(crate) fn note(&self, now: Instant) {
        self.begun.borrow_mut().push_back(now);
    }

    /// Loads that may begin now at a rate of `loads_per_s` over all runners.
    pub(crate) fn left(&self, loads_per_s: f64, now: Instant) -> usize {
        let is_within = |at: &Instant| now.saturating_duration_since(*at) <= self.window;
        let mut begun = self.begun.borrow_mut();
        while begun.front().is_some_and(|at| !is_within(at)) {
            begun.pop_front();
        }
        let allowed = (loads_per_s * self.window.as_secs_f64()).floor() as usize;
        let allowed = match self.taken_over_at.get() {
            Some(at) if is_within(&at) => allowed.min(AFTER_TAKEOVER),
            _ => allowed,
        };
        allowed.saturating_sub(begun.len())
    }
}
