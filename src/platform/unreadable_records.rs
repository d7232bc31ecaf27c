//! The records that could not be read, so that each is logged once.

use crate::inventory::Name;
use std::collections::HashMap;
use std::fmt::Display;
use std::hash::{DefaultHasher, Hash, Hasher};
use tracing::warn;

/// The maximum number of keys that are remembered.
const MAX_KEYS: usize = 1_000;

/// The unreadable record of each key that was logged last.
#[derive(Debug, Default)]
pub(super) struct UnreadableRecords {
    logged: HashMap<Name, u64>,
}

impl UnreadableRecords {
    /// Logs that the record of a key in a topic cannot be read, unless the same one was logged last.
    /// Returns whether it was logged.
    pub(super) fn report(
        &mut self,
        topic: &'static str,
        key: &str,
        value: &[u8],
        error: impl Display,
    ) -> bool {
        let mut hasher = DefaultHasher::new();
        (topic, value).hash(&mut hasher);
        let hash = hasher.finish();
        if self.logged.len() >= MAX_KEYS && !self.logged.contains_key(key) {
            self.logged.clear();
        }
        let is_new = self.logged.insert(key.into(), hash) != Some(hash);
        if is_new {
            warn!(topic, key, %error, "store's record unreadable");
        }
        is_new
    }
}
