//! The usage that other VMs reported last.

use crate::callers::UsageReport;
use crate::callers::usage::Usage;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// The minimum time for which a report counts in full. After that its weight decreases linearly to
/// zero over the quota window.
const MIN_FRESH: Duration = Duration::from_millis(1_000);
/// The time for which a report counts in full, as a multiple of the interval between its sender's
/// reports. [`MIN_FRESH`] applies if it is longer.
const FRESH_REPORTS: f64 = 2.5;

/// The last report of a VM or a zone, with the time at which each figure was received.
#[derive(Debug)]
pub(super) struct PeerUsage {
    pub(super) received_at: Instant,
    /// The time for which a figure counts in full.
    fresh_for: Duration,
    pub(super) vms: u32,
    pub(super) recorded_vms: f64,
    pub(super) usages: HashMap<u32, (Usage, Instant)>,
}

impl PeerUsage {
    /// Returns whether the last report is recent enough for its sender to count as reporting.
    pub(super) fn is_fresh(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.received_at) < self.fresh_for
    }

    /// Returns the usage of an organisation and the weight from 0 to 1 with which it counts; `None`
    /// if there is none, or it no longer counts.
    pub(super) fn figures(&self, id: u32, window: Duration, now: Instant) -> Option<(f64, &Usage)> {
        let (usage, at) = self.usages.get(&id)?;
        let age = now.saturating_duration_since(*at);
        let stale_for = age.saturating_sub(self.fresh_for);
        let weight = 1.0 - stale_for.as_secs_f64() / window.as_secs_f64();
        (weight > 0.0).then_some((weight, usage))
    }

    /// Drops expired figures, and returns whether the last report has not expired either.
    pub(super) fn prune(&mut self, window: Duration, now: Instant) -> bool {
        let limit = self.fresh_for + window;
        let is_current = |at: Instant| now.saturating_duration_since(at) < limit;
        self.usages.retain(|_, (_, at)| is_current(*at));
        is_current(self.received_at)
    }

    /// Creates a state without any report.
    pub(super) fn empty(now: Instant) -> Self {
        Self {
            received_at: now,
            fresh_for: MIN_FRESH,
            vms: 0,
            recorded_vms: 0.0,
            usages: HashMap::new(),
        }
    }

    /// Applies a report whose sender will send the next one after `next_in`.
    pub(super) fn apply(&mut self, report: UsageReport, next_in: Duration, now: Instant) {
        self.received_at = now;
        self.fresh_for = MIN_FRESH.max(next_in.mul_f64(FRESH_REPORTS));
        self.vms = report.vms;
        self.recorded_vms = report.recorded_vms;
        let figures = report.usages.into_iter();
        self.usages
            .extend(figures.map(|(id, usage)| (id, (usage, now))));
    }
}
