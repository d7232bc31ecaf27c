//! Estimates the prefill backlog of one runner from the prompts that VMs advertise to each other.

use std::cell::Cell;
use std::time::Instant;

/// Prefill time of the prompts that were sent to a runner and are not processed yet. Errors in the
/// estimates do not accumulate: they are gone once the backlog is empty.
#[derive(Debug, Default)]
pub(crate) struct Backlog {
    wait_ms: Cell<f64>,
    updated_at: Cell<Option<Instant>>,
}

impl Backlog {
    /// Adds a prompt that has just been sent, with its prefill time in milliseconds.
    pub(crate) fn note(&self, prefill_ms: f64, now: Instant) {
        self.wait_ms.set(self.wait_ms(now) + prefill_ms);
        self.updated_at.set(Some(now));
    }

    /// Returns the time that the runner needs to prefill all queued prompts, in milliseconds.
    pub(crate) fn wait_ms(&self, now: Instant) -> f64 {
        let Some(updated_at) = self.updated_at.get() else {
            return 0.0;
        };
        let age_ms = now.saturating_duration_since(updated_at).as_secs_f64() * 1_000.0;
        (self.wait_ms.get() - age_ms).max(0.0)
    }
}
