//! How fast a server numbers its reports, which tells by what time it can have written an entry.
//!
//! A server numbers each report that it sends, also those that the log does not execute. The log has a
//! record of a report only if more than its number changed. So the last number that was read is often
//! old, and what the server has reached since follows from the time that has passed. The log may also
//! have executed the last report late, when the server had reached a higher number already. So the
//! bounds start from the entry that was furthest ahead for its time.

use crate::gateway::removal::{MAX_DELAYED_ENTRIES, ReadContext};
use std::time::{Duration, Instant};

/// The number of reports from which on their mean interval is that of the server.
const MIN_MEASURED_REPORTS: u64 = 10;
/// How far the mean interval over some time may be from that over another time, as a fraction.
const INTERVAL_TOLERANCE: f64 = 0.05;
/// By how much the interval of a server may differ from the configured one, as a factor.
const MAX_INTERVAL_FACTOR: u32 = 2;
/// The number of reports of changes that a server may send between two regular ones.
const EXTRA_REPORTS: u64 = 1;

/// The number of an entry, and when it was read.
#[derive(Clone, Copy, Debug)]
struct NumberedRead {
    sequence: u64,
    /// A time before the entry was written; `None` if none is known.
    written_after: Option<Instant>,
    read_at: Instant,
}

/// The numbers that were read of one run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReportPace {
    first: NumberedRead,
    /// The entry that was furthest ahead for its time.
    leading: NumberedRead,
    last: NumberedRead,
}

impl ReportPace {
    /// The pace of a run of which one number was read.
    pub(crate) fn new(sequence: u64, read: &ReadContext) -> Self {
        let read = NumberedRead {
            sequence,
            written_after: read.written_after,
            read_at: read.now,
        };
        Self {
            first: read,
            leading: read,
            last: read,
        }
    }

    /// Records another number. The pace begins anew if the numbers did.
    pub(crate) fn note(&mut self, sequence: u64, report_interval: Duration, read: &ReadContext) {
        let latest = Self::new(sequence, read);
        let increase = sequence.checked_sub(self.last.sequence);
        match increase {
            Some(0) => return,
            Some(increase) if increase <= MAX_DELAYED_ENTRIES => self.last = latest.last,
            _ => {
                *self = latest;
                return;
            }
        }
        let passed = read.now.saturating_duration_since(self.leading.read_at);
        let increase = sequence - self.leading.sequence;
        let expected = passed.as_secs_f64() / report_interval.as_secs_f64();
        // An entry whose time is not known is replaced by one that is not late.
        let is_in_time = increase + 1 >= least_reports(passed, report_interval);
        let has_time = self.leading.written_after.is_some();
        if increase as f64 >= expected || (!has_time && is_in_time) {
            self.leading = self.last;
        }
    }

    /// Returns the last number.
    pub(crate) fn last_sequence(&self) -> u64 {
        self.last.sequence
    }

    /// Returns for how long the server has written nothing at most; `None` if that is not known.
    pub(crate) fn silence(&self, now: Instant) -> Option<Duration> {
        let written_after = self.last.written_after?;
        Some(now.saturating_duration_since(written_after))
    }

    /// Returns the highest number that the run can have reached by a time.
    pub(crate) fn highest_by(&self, at: Instant, report_interval: Duration) -> u64 {
        let Some(written_after) = self.leading.written_after else {
            return u64::MAX;
        };
        let passed = at.saturating_duration_since(written_after);
        let reports = passed.as_secs_f64() / self.shortest_interval(report_interval).as_secs_f64();
        let reports = reports as u64 + EXTRA_REPORTS;
        let highest = self.leading.sequence.saturating_add(reports);
        highest.max(self.last.sequence)
    }

    /// Returns a number that the run has reached by a time if it is alive, and that is above the last one.
    pub(crate) fn lowest_by(&self, at: Instant, report_interval: Duration) -> u64 {
        let passed = at.saturating_duration_since(self.leading.read_at);
        let reports = passed.as_secs_f64() / self.longest_interval(report_interval).as_secs_f64();
        let lowest = self.leading.sequence.saturating_add(reports as u64);
        lowest.max(self.last.sequence.saturating_add(1))
    }

    fn shortest_interval(&self, report_interval: Duration) -> Duration {
        let measured = self.mean_interval(self.first.read_at, self.last.written_after);
        let interval = measured.map_or(report_interval, |it| it.min(report_interval));
        interval
            .max(report_interval / MAX_INTERVAL_FACTOR)
            .div_f64(1.0 + INTERVAL_TOLERANCE)
    }

    fn longest_interval(&self, report_interval: Duration) -> Duration {
        let measured = self
            .first
            .written_after
            .and_then(|from| self.mean_interval(from, Some(self.last.read_at)));
        let interval = measured.map_or(report_interval, |it| it.max(report_interval));
        interval
            .min(report_interval * MAX_INTERVAL_FACTOR)
            .mul_f64(1.0 + INTERVAL_TOLERANCE)
    }

    /// The mean interval if the first number was written at `from` and the last one at `to`.
    fn mean_interval(&self, from: Instant, to: Option<Instant>) -> Option<Duration> {
        let reports = self.last.sequence - self.first.sequence;
        let passed = to?.saturating_duration_since(from);
        (reports >= MIN_MEASURED_REPORTS).then(|| passed.div_f64(reports as f64))
    }
}

/// Returns how many reports a living server sends at least over a time.
pub(crate) fn least_reports(passed: Duration, report_interval: Duration) -> u64 {
    let interval = report_interval.mul_f64(1.0 + INTERVAL_TOLERANCE);
    (passed.as_secs_f64() / interval.as_secs_f64()) as u64
}

/// Returns how many reports a server sends at most over a time.
pub(crate) fn most_reports(passed: Duration, report_interval: Duration) -> u64 {
    let interval = report_interval.div_f64(1.0 + INTERVAL_TOLERANCE);
    (passed.as_secs_f64() / interval.as_secs_f64()) as u64
}
