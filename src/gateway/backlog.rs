//! The prompts that wait at one runner, as far as VMs tell each other.

use std::cell::Cell;
use std::time::Instant;

/// The time that a runner takes for the prompts sent to it and not read yet. What a wrong
/// estimate adds up to is gone as soon as the runner has read all.
#[derive(Debug, Default)]
pub(crate) struct Backlog {
    wait_ms: Cell<f64>,
    as_of: Cell<Option<Instant>>,
}

impl Backlog {
    /// Counts a prompt that has just been sent and takes so long to read.
    pub(crate) fn note(&self, read_ms: f64, now: Instant) {
        self.wait_ms.set(self.wait_ms(now) + read_ms);
        self.as_of.set(Some(now));
    }

    /// How long the runner takes to read what waits there, in milliseconds.
    pub(crate) fn wait_ms(&self, now: Instant) -> f64 {
        let Some(as_of) = self.as_of.get() else {
            return 0.0;
        };
        let age_ms = now.saturating_duration_since(as_of).as_secs_f64() * 1_000.0;
        (self.wait_ms.get() - age_ms).max(0.0)
    }
}
