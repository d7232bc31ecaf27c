//! Short identifiers for names in messages between VMs.

use xxhash_rust::xxh3::xxh3_64;

/// Returns a four-byte hash that identifies `name` in messages. Among a few hundred names, two
/// collide in about one of 100,000 deployments.
pub(crate) fn short_id(name: &str) -> u32 {
    xxh3_64(name.as_bytes()) as u32
}
