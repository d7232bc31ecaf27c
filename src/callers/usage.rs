//! What an organisation was granted at one VM in the time before now.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Spans over which grants are summed: the quota's window and parts of it, so that what is spent
/// early in a window is known before the window has gone.
pub(crate) const SPAN_COUNT: usize = 3;
/// The part of the quota's window that each span takes.
const SPAN_SHARES: [f64; SPAN_COUNT] = [1.0 / 16.0, 1.0 / 4.0, 1.0];
/// The span over which what was asked for is summed.
pub(crate) const ASKED_SPAN: Duration = Duration::from_secs(1);
/// The time over which amounts are kept as one.
const BIN: Duration = Duration::from_millis(100);

/// The spans of a window, the shortest first.
pub(crate) fn spans(window: Duration) -> [Duration; SPAN_COUNT] {
    SPAN_SHARES.map(|share| window.mul_f64(share))
}

/// What was asked for and granted, by how long ago.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Usage {
    /// Asked for within [`ASKED_SPAN`], granted or not.
    pub(crate) asked: f64,
    /// Granted within each of the [`spans`].
    pub(crate) granted: [f64; SPAN_COUNT],
}

impl Usage {
    /// Adds a part of another usage.
    pub(crate) fn add(&mut self, other: &Self, part: f64) {
        self.asked += other.asked * part;
        for (sum, granted) in self.granted.iter_mut().zip(other.granted) {
            *sum += granted * part;
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Bin {
    began: Instant,
    asked: f64,
    granted: f64,
}

/// What one VM was asked for and granted by an organisation's callers.
#[derive(Clone, Debug, Default)]
pub(crate) struct History {
    bins: VecDeque<Bin>,
}

impl History {
    /// Notes what is asked for.
    pub(crate) fn note_asked(&mut self, amount: f64, now: Instant) {
        self.bin(now).asked += amount;
    }

    /// Notes what is granted.
    pub(crate) fn note_granted(&mut self, amount: f64, now: Instant) {
        self.bin(now).granted += amount;
    }

    /// Takes back what was granted at a time.
    pub(crate) fn take_back(&mut self, amount: f64, at: Instant) {
        let mut bins = self.bins.iter_mut().rev();
        if let Some(bin) = bins.find(|bin| bin.began <= at) {
            bin.granted = (bin.granted - amount).max(0.0);
        }
    }

    /// Keeps a part of what was granted so far.
    pub(crate) fn scale(&mut self, part: f64) {
        for bin in &mut self.bins {
            bin.granted *= part;
        }
    }

    fn bin(&mut self, now: Instant) -> &mut Bin {
        let is_same = |bin: &Bin| now.saturating_duration_since(bin.began) < BIN;
        if !self.bins.back().is_some_and(is_same) {
            self.bins.push_back(Bin {
                began: now,
                asked: 0.0,
                granted: 0.0,
            });
        }
        self.bins.back_mut().expect("one was there or was added")
    }

    /// Sums up what lies within the window; forgets the rest.
    pub(crate) fn usage(&mut self, window: Duration, now: Instant) -> Usage {
        let age = |bin: &Bin| now.saturating_duration_since(bin.began);
        // A bin counts for as long as anything in it may lie within a span.
        while self.bins.front().is_some_and(|bin| age(bin) > window + BIN) {
            self.bins.pop_front();
        }
        let mut usage = Usage::default();
        let spans = spans(window);
        for bin in &self.bins {
            if age(bin) <= ASKED_SPAN {
                usage.asked += bin.asked;
            }
            for (sum, span) in usage.granted.iter_mut().zip(spans) {
                if age(bin) <= span + BIN {
                    *sum += bin.granted;
                }
            }
        }
        usage
    }
}
