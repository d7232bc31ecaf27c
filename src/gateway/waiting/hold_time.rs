//! Computes how long a request waits for a free slot, and by when it must be sent for its answer to
//! be in time.

use std::time::{Duration, Instant};

/// Time without an event after which callers abandon a stream: the longest of two seconds, four
/// times the target for the first event, and eight times the longest permitted pause.
const MIN_CALLER_TIMEOUT: Duration = Duration::from_secs(2);
const CALLER_TIMEOUT_TARGETS: u32 = 4;
const CALLER_TIMEOUT_PAUSES: u32 = 8;
/// Share of that time for which a request is held. The rest is left for the first event of the
/// answer. The benefit of a longer hold depends on the loss that `spread` assigns to a late answer,
/// so the two values have to be changed together.
const CALLER_TIMEOUT_HOLD_SHARE: f64 = 0.7;
/// Share of the time until the deadline for which a request is held. The rest is left for the
/// answer.
const DEADLINE_HOLD_SHARE: f64 = 0.5;
/// Time from sending a prompt to its first event in addition to the prefill: one or two generation
/// steps and the network round trip.
const FIRST_EVENT_OVERHEAD: Duration = Duration::from_millis(60);

/// The times that determine when a request for a stream is sent or abandoned.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestTiming {
    /// When the request arrived.
    pub(crate) arrived: Instant,
    /// The time to the first event within which the answer has its full value.
    pub(crate) target: Duration,
    /// The longest pause between events for which the answer keeps its full value.
    pub(crate) max_pause: Duration,
    /// When the answer has to be complete.
    pub(crate) deadline: Instant,
}

impl RequestTiming {
    /// Returns the latest time to send a prompt with the given prefill time for its first event to
    /// arrive within the target.
    pub(crate) fn send_by(&self, prefill: Duration) -> Instant {
        self.arrived + self.target.saturating_sub(prefill + FIRST_EVENT_OVERHEAD)
    }

    /// Returns the time until which the request is held. After it, the caller may disconnect before
    /// an answer begins.
    pub(crate) fn hold_limit(&self) -> Instant {
        let caller_timeout = MIN_CALLER_TIMEOUT
            .max(self.target * CALLER_TIMEOUT_TARGETS)
            .max(self.max_pause * CALLER_TIMEOUT_PAUSES);
        let time_left = self.deadline.saturating_duration_since(self.arrived);
        self.arrived
            + caller_timeout
                .mul_f64(CALLER_TIMEOUT_HOLD_SHARE)
                .min(time_left.mul_f64(DEADLINE_HOLD_SHARE))
    }
}
