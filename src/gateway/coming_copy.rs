//! Copies of models that runners are loading, with the time at which the leader expects them.

use crate::inventory::Name;
use std::time::{Duration, Instant};

/// How long a copy is still expected after its time. Loads take longer than planned if the weight
/// store is busy; a load that takes far longer has probably failed.
const MAX_DELAY: Duration = Duration::from_secs(1);

/// A copy of a model that a runner is loading.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct ComingCopy {
    pub(crate) model: Name,
    /// When the copy is expected to take requests.
    pub(crate) ready_at: Instant,
}

impl ComingCopy {
    /// Whether the copy is still expected.
    pub(crate) fn is_expected(&self, now: Instant) -> bool {
        now < self.ready_at + MAX_DELAY
    }

    /// Returns the time until the copy is ready, in milliseconds; negative if it is late.
    pub(crate) fn ready_in_ms(&self, now: Instant) -> i32 {
        let left = self.ready_at.saturating_duration_since(now).as_millis();
        let late = now.saturating_duration_since(self.ready_at).as_millis();
        let millis = |duration: u128| i32::try_from(duration).unwrap_or(i32::MAX);
        millis(left) - millis(late)
    }

    /// Returns the copy of a model that is ready after so many milliseconds.
    pub(crate) fn after_ms(model: Name, ready_in_ms: i32, now: Instant) -> Self {
        let offset = Duration::from_millis(u64::from(ready_in_ms.unsigned_abs()));
        let ready_at = match ready_in_ms < 0 {
            true => now.checked_sub(offset).unwrap_or(now),
            false => now + offset,
        };
        Self { model, ready_at }
    }
}
