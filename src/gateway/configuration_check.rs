//! Decides when a VM that starts may use the configuration it has, after the log was restored from an
//! older copy.
//!
//! The copy may contain an older configuration than the one in force, with API keys that have been
//! withdrawn since. VMs that were running know the later one. So a VM that starts waits until it has
//! heard from one of them, or until it would have heard from one by gossip.

use std::time::Duration;

/// How long a VM that hears from no VM with a checked configuration waits before it uses the one of
/// the log: five gossip rounds. If all VMs start at once, none has a checked configuration.
const HEARING_TIME: Duration = Duration::from_millis(1_000);

/// What another VM states of its configuration.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct PeerConfiguration {
    /// The version in force there; 0 if there is none or the VM does not state it.
    pub(crate) version: u64,
    /// Whether it was in force there before the restore, or passed this check.
    pub(crate) is_checked: bool,
}

/// Whether a VM may use a configuration that it has had for some time.
pub(crate) fn passes(
    version: u64,
    known_for: Duration,
    peers: impl IntoIterator<Item = PeerConfiguration>,
) -> bool {
    let mut heard_checked = false;
    for peer in peers {
        if peer.version > version {
            return false;
        }
        heard_checked |= peer.is_checked;
    }
    heard_checked || known_for >= HEARING_TIME
}
