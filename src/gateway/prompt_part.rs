//! Parts of prompts, which requests may have in common.

use std::fmt;
use xxhash_rust::xxh3::xxh3_64;

/// Identifies a part of a prompt by a hash of its name, the same on every VM.
#[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) struct PromptPart(pub(crate) u64);

impl PromptPart {
    /// The part with this name.
    pub(crate) fn of(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()))
    }
}

impl fmt::Debug for PromptPart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
