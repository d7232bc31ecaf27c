//! Decides when a VM logs that it does not know whether a part of its state is current.

use std::time::Duration;

/// Share of the bound on a part's age after which the first line is logged.
const FIRST_SHARE: f64 = 0.8;

/// The alarm for one part of the state.
#[derive(Debug, Default)]
pub(crate) struct UnconfirmedAlarm {
    /// The time without confirmation at which the next line is due; `None` while the part is
    /// confirmed often enough.
    next: Option<Duration>,
}

impl UnconfirmedAlarm {
    /// Whether a line is due, given the time since the part was last confirmed. Lines of one episode
    /// become rarer: each is due after twice the time of the one before.
    pub(crate) fn is_due(&mut self, unconfirmed: Duration, max_delay: Duration) -> bool {
        let first = max_delay.mul_f64(FIRST_SHARE);
        if unconfirmed < first {
            self.next = None;
            return false;
        }
        if self.next.is_some_and(|next| unconfirmed < next) {
            return false;
        }
        self.next = Some(unconfirmed * 2);
        true
    }
}
