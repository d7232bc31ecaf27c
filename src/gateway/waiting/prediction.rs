//! Predicts how long a request waits for a slot, from the requests that wait at all VMs.
//!
//! A VM sees few of the requests that wait: multiplied by the number of VMs, a single one at this VM
//! stands for one at each. VMs therefore report what waits there, and only the share of the VMs that
//! do not report is extrapolated.

use crate::gateway::waiting::Need;
use crate::short_id::short_id;
use std::time::Duration;

/// The number of levels by which waiting requests are counted; the last one stands for all priorities
/// from there on.
const LEVELS: usize = 3;

/// The requests that wait for the same at one VM, or at several, by priority.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct WaitingCount {
    pub(crate) by_level: [u32; LEVELS],
}

impl WaitingCount {
    /// Adds the requests of another VM.
    pub(crate) fn add(&mut self, other: Self) {
        for (sum, count) in self.by_level.iter_mut().zip(other.by_level) {
            *sum = sum.saturating_add(count);
        }
    }

    /// Adds one request.
    pub(crate) fn add_one(&mut self, priority: u32) {
        self.by_level[level(priority)] += 1;
    }

    /// Removes one request.
    pub(crate) fn remove_one(&mut self, priority: u32) {
        let count = &mut self.by_level[level(priority)];
        *count = count.saturating_sub(1);
    }

    /// Returns the number of all requests.
    pub(crate) fn total(&self) -> u32 {
        self.ahead_of(u32::MAX)
    }

    /// Returns the number of requests that are not less urgent than one of a priority.
    pub(crate) fn ahead_of(&self, priority: u32) -> u32 {
        let levels = self.by_level.iter().take(level(priority) + 1);
        levels.fold(0, |sum, count| sum.saturating_add(*count))
    }

    /// Whether there are requests that are more urgent than one of a priority.
    pub(crate) fn has_more_urgent(&self, priority: u32) -> bool {
        let mut levels = self.by_level.iter().take(level(priority));
        levels.any(|count| *count > 0)
    }
}

fn level(priority: u32) -> usize {
    (priority as usize).min(LEVELS - 1)
}

/// The requests that wait for the same at this VM and at those that report.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FleetWaiting {
    /// Those at this VM and at the VMs that report.
    pub(crate) known: WaitingCount,
    /// The number of other VMs that report.
    pub(crate) reporting: usize,
    /// The number of VMs, this one included.
    pub(crate) vms: usize,
}

impl FleetWaiting {
    /// Estimates the number of requests at all VMs that come before one of a priority.
    pub(crate) fn ahead_of(&self, priority: u32) -> f64 {
        let heard = self.reporting + 1;
        f64::from(self.known.ahead_of(priority)) * (self.vms as f64 / heard as f64).max(1.0)
    }

    /// Predicts the wait of a request, given how many are started per second.
    pub(crate) fn wait(&self, priority: u32, starts_per_s: f64) -> Duration {
        let ahead = self.ahead_of(priority);
        if ahead <= 0.0 {
            return Duration::ZERO;
        }
        Duration::try_from_secs_f64(ahead / starts_per_s).unwrap_or(Duration::MAX)
    }
}

/// Identifies what requests wait for in messages between VMs.
pub(crate) fn need_id(need: &Need) -> u32 {
    let adapter = need.weights.adapter.as_deref().unwrap_or_default();
    short_id(&format!(
        "{}/{}/{adapter}",
        need.service, need.weights.model
    ))
}
