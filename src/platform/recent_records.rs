//! The records that were read last from a topic, by which a record of the lost history is recognised
//! after the store was restored from an older copy.
//!
//! A copy contains the beginning of the lost history, at the same offsets. So a record that the
//! restored store holds at an offset at which another record was read before was written after the
//! restore. All other records may come from the copy.

use crate::gateway::Position;
use bytes::Bytes;
use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};

/// The number of records that are remembered: 128 KiB, and more than a fleet of 4,000 servers that
/// renew their entries every 3 s writes in the 10 s by which a copy may be older.
const MAX_RECORDS: usize = 16_384;

/// The hashes of the records that were read last, in the current era and in the one before.
#[derive(Debug, Default)]
pub(super) struct RecentRecords {
    era: u64,
    current: Run,
    /// What was read of the history that the last restore replaced.
    lost: Run,
}

/// The hashes of records at consecutive offsets.
#[derive(Debug, Default)]
struct Run {
    start: u64,
    hashes: VecDeque<u64>,
}

impl RecentRecords {
    /// Adds records read from a position on.
    pub(super) fn note(&mut self, from: Position, records: &[Bytes]) {
        self.enter_era(from.era);
        if from.era < self.era || records.is_empty() {
            return;
        }
        let run = &mut self.current;
        if from.offset != run.start + run.hashes.len() as u64 {
            *run = Run {
                start: from.offset,
                hashes: VecDeque::new(),
            };
        }
        run.hashes.extend(records.iter().map(|it| hash(it)));
        let excess = run.hashes.len().saturating_sub(MAX_RECORDS);
        run.hashes.drain(..excess);
        run.start += excess as u64;
    }

    /// Whether a record at a position is known to have been written since the last restore.
    pub(super) fn is_new(&mut self, at: Position, record: &[u8]) -> bool {
        self.enter_era(at.era);
        let index = at.offset.checked_sub(self.lost.start);
        let lost = index.and_then(|index| self.lost.hashes.get(index as usize));
        at.era == self.era && lost.is_some_and(|lost| *lost != hash(record))
    }

    fn enter_era(&mut self, era: u64) {
        if era > self.era {
            self.era = era;
            self.lost = std::mem::take(&mut self.current);
        }
    }
}

fn hash(record: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    record.hash(&mut hasher);
    hasher.finish()
}
