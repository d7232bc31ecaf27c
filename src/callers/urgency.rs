//! The urgency of a request, which decides what is granted first while an organisation asks for more
//! than its quota.

use std::time::Duration;

/// The number of classes of urgency. VMs report the demand of each, so that it is small.
pub(crate) const URGENCY_COUNT: usize = 6;
/// The number of priorities that are told apart. Less urgent ones count as the last of them.
const PRIORITY_COUNT: usize = URGENCY_COUNT / 2;
/// The target up to which a caller counts as one that waits for the response. A request with a longer
/// target can be sent again and still be on time.
const MAX_SHORT_TARGET: Duration = Duration::from_millis(1_000);

/// A class of requests that are equally urgent.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Urgency {
    index: usize,
}

impl Urgency {
    /// Returns the class of a request with a priority, 0 being the most urgent, and a target.
    pub(crate) fn of(priority: u32, target: Duration) -> Self {
        let priority = usize::try_from(priority).unwrap_or(usize::MAX);
        let is_long = target > MAX_SHORT_TARGET;
        Self {
            index: priority.min(PRIORITY_COUNT - 1) * 2 + usize::from(is_long),
        }
    }

    /// Returns the index of the class; 0 is the most urgent.
    pub(crate) fn index(self) -> usize {
        self.index
    }
}
