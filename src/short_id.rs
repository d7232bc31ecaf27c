//! Short names of things in messages.

use xxhash_rust::xxh3::xxh3_64;

/// Names something in messages, four bytes whatever its name; among a few hundred names two share
/// one once in a hundred thousand deployments.
pub(crate) fn short_id(name: &str) -> u32 {
    xxh3_64(name.as_bytes()) as u32
}
