//! The recent changes of the directory, from which other VMs catch up without reading the log.

use crate::gateway::{Changes, ServerChange};
use std::collections::VecDeque;

/// Maximum number of changes that are kept. A VM that is further behind gets the whole directory,
/// which takes as many bytes as some thousand changes.
const MAX_CHANGES: usize = 1_000;

/// The changes of one range of the log.
#[derive(Debug)]
struct Range {
    next: u64,
    changes: Vec<ServerChange>,
}

/// The directory changes of a contiguous range of the log, as this VM applied them.
#[derive(Debug, Default)]
pub(super) struct ChangeHistory {
    ranges: VecDeque<Range>,
    start: u64,
    end: u64,
    change_count: usize,
}

impl ChangeHistory {
    /// Adds the `changes` of the range from `from` to `next`. If the range does not continue the
    /// history, the history starts anew with it.
    pub(super) fn push(&mut self, from: u64, next: u64, changes: Vec<ServerChange>) {
        if from > self.end {
            self.restart(from);
        }
        self.end = self.end.max(next);
        if changes.is_empty() {
            return;
        }
        self.change_count += changes.len();
        self.ranges.push_back(Range { next, changes });
        while self.change_count > MAX_CHANGES {
            let Some(oldest) = self.ranges.pop_front() else {
                return;
            };
            self.change_count -= oldest.changes.len();
            self.start = oldest.next;
        }
    }

    /// Records that the range up to `next` contains no further change that matters.
    pub(super) fn extend_to(&mut self, next: u64) {
        self.end = self.end.max(next);
    }

    /// Forgets all changes; the history continues at `from`.
    pub(super) fn restart(&mut self, from: u64) {
        *self = Self {
            start: from,
            end: from,
            ..Self::default()
        };
    }

    /// Returns the changes since an offset, oldest first; `None` if the history does not reach back
    /// to it.
    pub(super) fn since(&self, offset: u64) -> Option<Changes<ServerChange>> {
        if offset < self.start {
            return None;
        }
        let newer = self.ranges.iter().filter(|range| range.next > offset);
        Some(Changes {
            items: newer.flat_map(|range| range.changes.clone()).collect(),
            next_offset: self.end.max(offset),
        })
    }
}
