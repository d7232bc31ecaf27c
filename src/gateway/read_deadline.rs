//! Decides when a VM reads the log itself, whatever it waits for at other VMs.
//!
//! A change has to take effect within a bound from its acknowledgement. A VM lacks at most the
//! changes made since it last knew that its state was current, so the bound counts from then on,
//! through all waits together: for an advertised read, for the turn to read and for another VM that
//! does not answer. The read itself also takes its time, which depends on the size of the part and on
//! the VM's link. In a zone whose VMs all miss the same read, the deadlines follow each other in the
//! order of the turns, so that one read can still spare the later ones.

use crate::gateway::log_follower::FRESH_FOR;
use std::time::Duration;

/// Share of the time until the last moment for a read after which the first VM of a zone reads; the
/// rest is left for one more attempt.
const FIRST_SHARE: f64 = 0.6;
/// Share of the same time over which the deadlines of a zone are spread.
const SPREAD_SHARE: f64 = 0.2;

/// What decides on the deadline of a VM.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReadDeadline {
    /// The longest time from the acknowledgement of a change until it has to take effect.
    pub(crate) max_delay: Duration,
    /// How long a read of the whole part takes at least.
    pub(crate) read_time: Duration,
    /// The number of VMs of the zone with a lower address.
    pub(crate) rank: usize,
    /// The number of VMs of the zone, including this one.
    pub(crate) vms: usize,
}

impl ReadDeadline {
    /// Returns the time from the last confirmation of the state to the deadline.
    pub(crate) fn delay(&self) -> Duration {
        let latest = self.max_delay.saturating_sub(self.read_time);
        let position = self.rank as f64 / self.vms.max(1) as f64;
        // While another VM follows the log, its last read can be this old.
        let first = latest.mul_f64(FIRST_SHARE).max(FRESH_FOR);
        first + latest.mul_f64(SPREAD_SHARE * position.min(1.0))
    }
}
