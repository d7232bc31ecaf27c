//! Decides when a VM may read the log while no VM of its zone advertises a current read.
//!
//! The store's rates are shared by the whole fleet, so the VMs of a zone read one after the other:
//! each waits for a turn that depends on the number of VMs before it in address order. The first
//! that succeeds advertises its read, and the others obtain from it what they lack. The number of
//! reads thus depends on the number of zones and on the time that a read takes, not on the number
//! of VMs.

use std::time::Duration;

/// Time between the turns of two VMs that follow each other.
const TURN_INTERVAL: Duration = Duration::from_millis(200);
/// Time for which a VM of a large fleet collects addresses of others after its start. Without them,
/// every VM would consider itself the first.
const ORIENTATION_TIME: Duration = Duration::from_millis(1_000);
/// Time before a VM whose last read failed may try again if it is the first one.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(250);

/// What decides on the turn of a VM.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ReadTurn {
    /// The number of VMs of the zone with a lower address.
    pub(crate) rank: usize,
    /// Whether the VM knows that the fleet is small, so that its rank is right at once.
    pub(crate) is_fleet_small: bool,
    /// Time since the process started.
    pub(crate) uptime: Duration,
    /// The number of failed reads in a row.
    pub(crate) failures: u32,
}

impl ReadTurn {
    /// Returns how long the VM has to wait from the time at which no current read was advertised.
    pub(crate) fn delay(&self) -> Duration {
        let orientation = match self.is_fleet_small {
            true => Duration::ZERO,
            false => ORIENTATION_TIME.saturating_sub(self.uptime),
        };
        let retry_pause = match self.failures {
            0 => Duration::ZERO,
            _ => MIN_RETRY_PAUSE,
        };
        orientation.max(retry_pause) + TURN_INTERVAL * self.rank as u32
    }
}
