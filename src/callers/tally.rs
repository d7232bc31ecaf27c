//! What VMs tell each other of their grants.

use crate::callers::usage::Usage;

/// What one VM, or all of a zone, tell of the grants there.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct UsageReport {
    /// How many VMs it sums up.
    pub(crate) vms: u32,
    /// How many of these remember the whole window; one that has started within it counts in part.
    pub(crate) remembering_vms: f64,
    /// The usage by the organisation's [`short_id`].
    pub(crate) usages: Vec<(u32, Usage)>,
}
