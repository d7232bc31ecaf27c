//! The amounts that one VM recently granted to an organisation.

use crate::callers::{URGENCY_COUNT, Urgency};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// The number of spans over which grants are summed: the quota window and parts of it, so that
/// overspending early in a window is noticed before the window ends.
pub(crate) const SPAN_COUNT: usize = 3;
/// The length of each span, as a fraction of the quota window.
const SPAN_SHARES: [f64; SPAN_COUNT] = [1.0 / 16.0, 1.0 / 4.0, 1.0];
/// The span over which requested amounts are summed.
pub(crate) const REQUESTED_SPAN: Duration = Duration::from_secs(1);
/// The time over which amounts are added up in one bin.
const BIN_LENGTH: Duration = Duration::from_millis(100);

/// Returns the spans of a window, the shortest first.
pub(crate) fn spans(window: Duration) -> [Duration; SPAN_COUNT] {
    SPAN_SHARES.map(|share| window.mul_f64(share))
}

/// The amounts recently requested and granted.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Usage {
    /// The amount requested within [`REQUESTED_SPAN`] by urgency, granted or not.
    pub(crate) requested: [f64; URGENCY_COUNT],
    /// The amount granted within each of the [`spans`].
    pub(crate) granted: [f64; SPAN_COUNT],
}

impl Usage {
    /// Returns the amount requested per second with an urgency, and that of all more urgent requests.
    pub(crate) fn requested_per_s(&self, urgency: Urgency) -> (f64, f64) {
        let span_s = REQUESTED_SPAN.as_secs_f64();
        let (more_urgent, rest) = self.requested.split_at(urgency.index());
        (rest[0] / span_s, more_urgent.iter().sum::<f64>() / span_s)
    }

    /// Adds another usage, multiplied by `part`.
    pub(crate) fn add(&mut self, other: &Self, part: f64) {
        for (sum, requested) in self.requested.iter_mut().zip(other.requested) {
            *sum += requested * part;
        }
        for (sum, granted) in self.granted.iter_mut().zip(other.granted) {
            *sum += granted * part;
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Bin {
    started_at: Instant,
    requested: [f64; URGENCY_COUNT],
    granted: f64,
}

/// The amounts that an organisation's callers requested from one VM and were granted there.
#[derive(Clone, Debug, Default)]
pub(crate) struct UsageHistory {
    bins: VecDeque<Bin>,
}

impl UsageHistory {
    /// Records a requested amount.
    pub(crate) fn record_request(&mut self, amount: f64, urgency: Urgency, now: Instant) {
        self.bin(now).requested[urgency.index()] += amount;
    }

    /// Records a granted amount.
    pub(crate) fn record_grant(&mut self, amount: f64, now: Instant) {
        self.bin(now).granted += amount;
    }

    /// Subtracts an amount that was granted at a given time.
    pub(crate) fn refund(&mut self, amount: f64, at: Instant) {
        let mut bins = self.bins.iter_mut().rev();
        if let Some(bin) = bins.find(|bin| bin.started_at <= at) {
            bin.granted = (bin.granted - amount).max(0.0);
        }
    }

    /// Multiplies all granted amounts by `part`.
    pub(crate) fn scale(&mut self, part: f64) {
        for bin in &mut self.bins {
            bin.granted *= part;
        }
    }

    fn bin(&mut self, now: Instant) -> &mut Bin {
        let is_same = |bin: &Bin| now.saturating_duration_since(bin.started_at) < BIN_LENGTH;
        if !self.bins.back().is_some_and(is_same) {
            self.bins.push_back(Bin {
                started_at: now,
                requested: [0.0; URGENCY_COUNT],
                granted: 0.0,
            });
        }
        self.bins
            .back_mut()
            .expect("a bin exists: one was added above if there was none")
    }

    /// Sums the amounts within the window and drops older bins.
    pub(crate) fn usage(&mut self, window: Duration, now: Instant) -> Usage {
        let age = |bin: &Bin| now.saturating_duration_since(bin.started_at);
        // A bin counts for as long as any amount in it may lie within a span.
        while self
            .bins
            .front()
            .is_some_and(|bin| age(bin) > window + BIN_LENGTH)
        {
            self.bins.pop_front();
        }
        let mut usage = Usage::default();
        let spans = spans(window);
        for bin in &self.bins {
            if age(bin) <= REQUESTED_SPAN {
                for (sum, requested) in usage.requested.iter_mut().zip(bin.requested) {
                    *sum += requested;
                }
            }
            for (sum, span) in usage.granted.iter_mut().zip(spans) {
                if age(bin) <= span + BIN_LENGTH {
                    *sum += bin.granted;
                }
            }
        }
        usage
    }
}
