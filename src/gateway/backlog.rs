//! The prompts that wait at one runner, as far as VMs tell each other.

use std::cell::Cell;
use std::time::Instant;

/// Prompt tokens that a runner reads in a millisecond while little else runs. Runners differ
/// by a third; what a wrong figure adds up to is gone as soon as the runner has read it all.
pub(crate) const READ_TOKENS_PER_MS: f64 = 38.0;

/// Prompt tokens sent to a runner and not read yet, worked out from its reading speed.
#[derive(Debug, Default)]
pub(crate) struct Backlog {
    tokens: Cell<f64>,
    as_of: Cell<Option<Instant>>,
}

impl Backlog {
    /// Counts a prompt that has just been sent.
    pub(crate) fn note(&self, tokens: u32, now: Instant) {
        self.tokens.set(self.tokens(now) + f64::from(tokens));
        self.as_of.set(Some(now));
    }

    /// How long the runner takes to read what waits there, in milliseconds.
    pub(crate) fn wait_ms(&self, now: Instant) -> f64 {
        self.tokens(now) / READ_TOKENS_PER_MS
    }

    fn tokens(&self, now: Instant) -> f64 {
        let Some(as_of) = self.as_of.get() else {
            return 0.0;
        };
        let age_ms = now.saturating_duration_since(as_of).as_secs_f64() * 1_000.0;
        (self.tokens.get() - age_ms * READ_TOKENS_PER_MS).max(0.0)
    }
}
