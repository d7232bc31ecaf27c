//! Limits a VM's retries to a tenth of its requests, plus a small constant rate and burst.

use std::cell::Cell;
use std::time::Instant;

/// Retries credited per request.
const EARNED_PER_REQUEST: f64 = 0.1;
/// Retries credited per second, so that isolated failures at low load can be retried.
const EARNED_PER_S: f64 = 0.5;
/// The largest number of retries that can accumulate.
const MAX_BALANCE: f64 = 32.0;
/// Retries available when the process starts.
const INITIAL_BALANCE: f64 = 8.0;
/// How far streams that have begun may overdraw the balance, in retries.
const MAX_DEBT: f64 = 64.0;

/// A token bucket for attempts after the first.
///
/// A stream that has begun may overdraw the balance, since refusing it would waste what its caller
/// has already received. Other requests are refused until the debt is repaid.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    balance: Cell<f64>,
    credited_at: Cell<Instant>,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            balance: Cell::new(INITIAL_BALANCE),
            credited_at: Cell::new(Instant::now()),
        }
    }
}

impl RetryBudget {
    /// Credits the share of a retry that each request earns.
    pub(crate) fn note_request(&self) {
        self.credit(EARNED_PER_REQUEST);
    }

    /// Takes one retry and returns whether the budget allowed it. `has_begun` says that the
    /// caller has already received part of the stream.
    pub(crate) fn take(&self, has_begun: bool) -> bool {
        let now = Instant::now();
        let passed = now.duration_since(self.credited_at.replace(now));
        self.credit(passed.as_secs_f64() * EARNED_PER_S);
        let allowed_debt = if has_begun { MAX_DEBT } else { 0.0 };
        let remaining = self.balance.get() - 1.0;
        if remaining < -allowed_debt {
            return false;
        }
        self.balance.set(remaining);
        true
    }

    fn credit(&self, retries: f64) {
        self.balance
            .set((self.balance.get() + retries).min(MAX_BALANCE));
    }
}
