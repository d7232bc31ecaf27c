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

    /// Predicts the wait of a request, given the requests that are started.
    pub(crate) fn wait(&self, priority: u32, starts: &ExpectedStarts) -> Duration {
        starts.time_for(self.ahead_of(priority))
    }
}

/// The requests that servers start: at present, and with the copies that are being loaded.
#[derive(Clone, Debug, Default)]
pub(crate) struct ExpectedStarts {
    /// Requests per second at present.
    pub(crate) per_s: f64,
    /// Copies being loaded: the time until each is ready, and the requests per second from then on.
    pub(crate) coming: Vec<(Duration, f64)>,
}

impl ExpectedStarts {
    /// Returns the starts without any copies that are being loaded.
    pub(crate) fn steady(per_s: f64) -> Self {
        Self {
            per_s,
            coming: Vec::new(),
        }
    }

    /// Returns the time until the first copy that is being loaded is ready.
    pub(crate) fn first_ready(&self) -> Option<Duration> {
        self.coming.iter().map(|(after, _)| *after).min()
    }

    /// Returns the requests per second at a time from now.
    pub(crate) fn rate_at(&self, after: Duration) -> f64 {
        let ready = self.coming.iter().filter(|(ready, _)| *ready <= after);
        self.per_s + ready.map(|(_, per_s)| per_s).sum::<f64>()
    }

    /// Returns the time until so many requests are started. Where nothing serves them at present,
    /// it is at least the time until the first copy is ready.
    fn time_for(&self, requests: f64) -> Duration {
        let no_server = (self.per_s <= 0.0).then(|| self.first_ready()).flatten();
        if requests <= 0.0 {
            return no_server.unwrap_or_default();
        }
        let mut coming = self.coming.clone();
        coming.sort_by_key(|(after, _)| *after);
        let mut left = requests;
        let mut per_s = self.per_s;
        let mut now = Duration::ZERO;
        for (after, added_per_s) in coming {
            let until = after.saturating_sub(now).as_secs_f64();
            if left <= per_s * until {
                break;
            }
            left -= per_s * until;
            per_s += added_per_s;
            now = after;
        }
        let rest = Duration::try_from_secs_f64(left / per_s).unwrap_or(Duration::MAX);
        now.saturating_add(rest)
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
