//! How long a request is held for a place, and when it must be sent to be answered in time.

use std::time::{Duration, Instant};

/// Callers give up a stream after the longest of: two seconds without an event, four times the
/// target of the first one, and eight times the longest pause of an answer in time.
const CALLER_GAP: Duration = Duration::from_secs(2);
const CALLER_GAP_TARGETS: u32 = 4;
const CALLER_GAP_PAUSES: u32 = 8;
/// The part of that time for which a request is held: the rest is for the answer's beginning. Its
/// gain was measured together with what a late answer loses in the spread of demand.
const HOLD_SHARE: f64 = 0.7;
/// The part of the time until the deadline for which it is held: the rest is for the answer.
const HOLD_TIME_SHARE: f64 = 0.5;
/// From sending a prompt to its first event beside the reading: a step or two and the way.
const FIRST_EVENT: Duration = Duration::from_millis(60);

/// The times that bear on one request for a stream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestTiming {
    /// When it arrived.
    pub(crate) arrived: Instant,
    /// The time to the first event within which the answer has its full worth.
    pub(crate) target: Duration,
    /// The longest pause between events of such an answer.
    pub(crate) max_pause: Duration,
    /// When the whole answer must be there.
    pub(crate) deadline: Instant,
}

impl RequestTiming {
    /// When a prompt that takes so long to read must be sent to be answered in time.
    pub(crate) fn send_by(&self, read: Duration) -> Instant {
        self.arrived + self.target.saturating_sub(read + FIRST_EVENT)
    }

    /// Until when it is held: afterwards its caller may have left before an answer begins.
    pub(crate) fn hold_limit(&self) -> Instant {
        let gap = CALLER_GAP
            .max(self.target * CALLER_GAP_TARGETS)
            .max(self.max_pause * CALLER_GAP_PAUSES);
        let left = self.deadline.saturating_duration_since(self.arrived);
        self.arrived + gap.mul_f64(HOLD_SHARE).min(left.mul_f64(HOLD_TIME_SHARE))
    }
}
