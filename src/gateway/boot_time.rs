//! A clock that goes on while the machine is suspended, as [`std::time::Instant`] does not.

use nix::time::{ClockId, clock_gettime};
use std::time::Duration;

/// A point in time, as the time since the machine started.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct BootTime(Duration);

impl BootTime {
    /// The current time.
    pub(crate) fn now() -> Self {
        let time = clock_gettime(ClockId::CLOCK_BOOTTIME);
        Self(time.expect("Linux has this clock").into())
    }

    /// The time since then; zero for a time to come.
    pub(crate) fn elapsed(self) -> Duration {
        Self::now().0.saturating_sub(self.0)
    }
}
