//! Decides how long a request waits at a VM that does not know its state yet.
//!
//! Load that this addresses: all VMs of a fleet start at once, for example after a power failure, and
//! their callers come back before the VMs have received the configuration, the directory and what is
//! contained. A caller that is refused then comes again a second later, while the VM needs a quarter
//! of a second.

use std::time::Duration;

/// The age of a process up to which requests wait for its state: twice what the slowest step of a
/// start usually takes. A VM that needs longer misses the log and all other VMs, and for how long is
/// not known.
const START_TIME: Duration = Duration::from_millis(600);
/// The share of the caller's time limit for which its request waits. The rest is left for the answer.
const TIME_LIMIT_SHARE: f64 = 0.5;

/// Returns how long a request waits at most, given the age of the process.
pub(crate) fn start_hold(age: Duration, time_limit: Option<Duration>) -> Duration {
    let left = START_TIME.saturating_sub(age);
    time_limit.map_or(left, |limit| left.min(limit.mul_f64(TIME_LIMIT_SHARE)))
}
