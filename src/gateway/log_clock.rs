//! Estimates from the numbers of entries how much time passed between changes of the directory.
//!
//! The log does not say when a change was written. Servers number their reports at a regular interval,
//! so that the increase of the numbers shows it.

use crate::gateway::fleet::Entry;
use crate::gateway::removal::MAX_DELAYED_ENTRIES;
use crate::inventory::Name;
use std::collections::HashMap;
use std::time::Duration;

/// The first number that was read of a run, and the time that had passed by then.
#[derive(Clone, Copy, Debug)]
struct FirstNumber {
    started_ms: u64,
    sequence: u64,
    passed: Duration,
}

/// The time that passed over a series of changes, by the server whose numbers increased most.
#[derive(Debug)]
pub(crate) struct LogClock {
    report_interval: Duration,
    passed: Duration,
    first_numbers: HashMap<Name, FirstNumber>,
}

impl LogClock {
    /// Creates a clock for servers that report at an interval.
    pub(crate) fn new(report_interval: Duration) -> Self {
        Self {
            report_interval,
            passed: Duration::ZERO,
            first_numbers: HashMap::new(),
        }
    }

    /// Advances the clock to the next entry; returns the time that has passed since the first one.
    pub(crate) fn advance(&mut self, entry: &Entry) -> Duration {
        let started_ms = entry.started_ms;
        let latest = FirstNumber {
            started_ms,
            sequence: entry.sequence,
            passed: self.passed,
        };
        let first = self.first_numbers.entry(entry.id.clone()).or_insert(latest);
        let increase = entry.sequence.checked_sub(first.sequence);
        let increase = increase.filter(|it| *it <= MAX_DELAYED_ENTRIES);
        match increase.filter(|_| first.started_ms == started_ms) {
            Some(increase) => {
                let passed = first.passed + self.report_interval * increase as u32;
                self.passed = self.passed.max(passed);
            }
            None => *first = latest,
        }
        self.passed
    }
}
