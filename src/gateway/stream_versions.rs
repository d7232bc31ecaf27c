//! At which software version streams began, as far as this VM knows.

use crate::gateway::software_versions::STREAM_LIFETIME;
use crate::inventory::Name;
use std::collections::{HashMap, VecDeque};
use std::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

/// The maximum number of streams that are remembered. The oldest ones are forgotten first.
const MAX_STREAMS: usize = 65_536;

/// Identifies a stream on all VMs: a hash of the id of the request that brought its first event.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) struct StreamKey(pub(crate) u64);

impl StreamKey {
    /// Returns the key of the stream that the request with this id began.
    pub(crate) fn of(request_id: &str) -> Self {
        Self(xxh3_64(request_id.as_bytes()))
    }
}

/// The versions at which streams began.
#[derive(Debug, Default)]
pub(crate) struct StreamVersions {
    versions: HashMap<StreamKey, Name>,
    /// The keys, each with the time at which it was recorded; the oldest first.
    recorded: VecDeque<(StreamKey, Instant)>,
}

impl StreamVersions {
    /// Records at which version a stream began.
    pub(crate) fn record(&mut self, key: StreamKey, version: Name, now: Instant) {
        self.forget_old(now);
        if self.versions.insert(key, version).is_none() {
            self.recorded.push_back((key, now));
        }
    }

    /// Returns the version at which a stream began, if it is known.
    pub(crate) fn find(&self, key: StreamKey) -> Option<Name> {
        self.versions.get(&key).cloned()
    }

    fn forget_old(&mut self, now: Instant) {
        let is_old = |at: Instant| now.saturating_duration_since(at) >= STREAM_LIFETIME;
        while let Some((key, at)) = self.recorded.front().copied() {
            if self.recorded.len() < MAX_STREAMS && !is_old(at) {
                return;
            }
            self.recorded.pop_front();
            self.versions.remove(&key);
        }
    }
}
