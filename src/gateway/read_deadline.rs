//! Decides when a VM reads the log itself, whatever it waits for at other VMs.
//!
//! A change has to take effect within a bound from its acknowledgement. A VM lacks at most the
//! changes made since it last knew that its state was current, so the bound counts from then on,
//! through all waits together: for an advertised read, for the turn to read and for another VM that
//! does not answer. In a zone whose VMs all miss the same read, the deadlines follow each other in
//! the order of the turns, so that one read can still spare the later ones.

use std::time::Duration;

/// Share of the bound after which the first VM of a zone reads; the rest is left for the read and
/// for one more attempt.
const FIRST_SHARE: f64 = 0.6;
/// Share of the bound over which the deadlines of a zone are spread.
const SPREAD_SHARE: f64 = 0.2;

/// What decides on the deadline of a VM.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReadDeadline {
    /// The longest time from the acknowledgement of a change until it has to take effect.
    pub(crate) max_delay: Duration,
    /// The number of VMs of the zone with a lower address.
    pub(crate) rank: usize,
    /// The number of VMs of the zone, including this one.
    pub(crate) vms: usize,
}

impl ReadDeadline {
    /// Returns the time from the last confirmation of the state to the deadline.
    pub(crate) fn delay(&self) -> Duration {
        let position = self.rank as f64 / self.vms.max(1) as f64;
        self.max_delay
            .mul_f64(FIRST_SHARE + SPREAD_SHARE * position.min(1.0))
    }
}
