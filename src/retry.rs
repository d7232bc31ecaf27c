//! The budget of retries: they never exceed a tenth of a VM's load.

use std::cell::Cell;
use std::time::Instant;

/// Retries earned by each request.
const EARNED_PER_REQUEST: f64 = 0.1;
/// Retries earned by each second, so that single failures at low load are retried.
const EARNED_PER_S: f64 = 0.5;
/// Retries that can be saved up.
const MAX_SAVED: f64 = 32.0;
/// Retries that a process starts with.
const SAVED_AT_START: f64 = 8.0;
/// Retries that streams already begun may take beyond what was earned.
const MAX_DEBT: f64 = 64.0;

/// A token bucket for attempts after the first.
///
/// A stream that has begun may go into debt: refusing it would waste what its
/// caller has already read. Requests that have not begun are refused until the
/// debt is paid.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    saved: Cell<f64>,
    earned_at: Cell<Instant>,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            saved: Cell::new(SAVED_AT_START),
            earned_at: Cell::new(Instant::now()),
        }
    }
}

impl RetryBudget {
    /// Notes a request, which earns a part of a retry.
    pub(crate) fn note_request(&self) {
        self.earn(EARNED_PER_REQUEST);
    }

    /// Takes one retry, if there is one left.
    pub(crate) fn take(&self, has_begun: bool) -> bool {
        let now = Instant::now();
        let passed = now.duration_since(self.earned_at.replace(now));
        self.earn(passed.as_secs_f64() * EARNED_PER_S);
        let allowed_debt = if has_begun { MAX_DEBT } else { 0.0 };
        let left = self.saved.get() - 1.0;
        if left < -allowed_debt {
            return false;
        }
        self.saved.set(left);
        true
    }

    fn earn(&self, retries: f64) {
        self.saved.set((self.saved.get() + retries).min(MAX_SAVED));
    }
}
