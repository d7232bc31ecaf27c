//! Items that several messages repeat, since each message may be lost.

use std::time::{Duration, Instant};

/// How long an item is repeated.
const REPEAT_PERIOD: Duration = Duration::from_millis(3_000);

#[derive(Debug)]
struct RepeatedItem<T> {
    item: T,
    queued_at: Instant,
    sent_count: u32,
}

/// Items to send to peers, for a limited time.
#[derive(Debug)]
pub(super) struct RepeatedNews<T>(Vec<RepeatedItem<T>>);

impl<T> Default for RepeatedNews<T> {
    fn default() -> Self {
        Self(Vec::new())
    }
}

impl<T: Clone + PartialEq> RepeatedNews<T> {
    /// Adds an item; one that is being repeated already stays as it is.
    pub(super) fn push(&mut self, item: T, now: Instant) {
        if self.0.iter().any(|it| it.item == item) {
            return;
        }
        self.0.push(RepeatedItem {
            item,
            queued_at: now,
            sent_count: 0,
        });
    }

    /// Returns up to `limit` items for the next message, those that were sent least often first.
    pub(super) fn next(&mut self, limit: usize) -> Vec<T> {
        self.0.sort_by_key(|it| it.sent_count);
        let next = self.0.iter_mut().take(limit);
        next.map(|it| {
            it.sent_count += 1;
            it.item.clone()
        })
        .collect()
    }

    /// Drops items that have been repeated for long enough.
    pub(super) fn prune_expired(&mut self, now: Instant) {
        self.0
            .retain(|it| now.saturating_duration_since(it.queued_at) < REPEAT_PERIOD);
    }
}
