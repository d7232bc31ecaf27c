//! Decides which runners the leader asks for their reports, and when.
//!
//! The rate is bounded by the processor time of the VM, so that a leader of thousands of runners
//! does not open a connection to each of them at once. The more runners there are, the longer a
//! report is used before it is requested again; orders are sent on a fresh one in any case.

use std::time::{Duration, Instant};

/// The age from which a report of one of a few runners is requested again.
const MIN_REFRESH_INTERVAL: Duration = Duration::from_secs(5);
/// Delay before a report that did not arrive is requested again.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Reports per second that a VM with one core requests.
const REPORTS_PER_CORE_S: f64 = 1_000.0;
/// The share of that rate which is used to refresh reports.
const REFRESH_SHARE: f64 = 0.25;
/// Reports that may be requested at once.
const BURST: f64 = 24.0;

/// The reports that may be requested.
#[derive(Debug)]
pub(super) struct ReportSchedule {
    rate_per_s: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl ReportSchedule {
    /// Creates a schedule for a VM with `cpu_cores` of processor time.
    pub(super) fn new(cpu_cores: f64, now: Instant) -> Self {
        Self {
            rate_per_s: REPORTS_PER_CORE_S * cpu_cores,
            tokens: BURST,
            refilled_at: now,
        }
    }

    /// Returns the time after a request from which the report of one of `runners` is requested
    /// again. `is_known` tells whether the last request was answered.
    pub(super) fn interval(&self, runners: usize, is_known: bool) -> Duration {
        if !is_known {
            return RETRY_INTERVAL;
        }
        let cycle_s = runners as f64 / (self.rate_per_s * REFRESH_SHARE);
        MIN_REFRESH_INTERVAL.max(Duration::from_secs_f64(cycle_s))
    }

    /// Takes as many of `wanted` requests as may be sent now.
    pub(super) fn take(&mut self, wanted: usize, now: Instant) -> usize {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.refilled_at = now;
        let refill = self.rate_per_s * elapsed.as_secs_f64();
        self.tokens = (self.tokens + refill).min(BURST.max(self.rate_per_s / 10.0));
        let taken = wanted.min(self.tokens as usize);
        self.tokens -= taken as f64;
        taken
    }
}
