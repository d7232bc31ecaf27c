//! The report in which a VM tells the others how much of each quota it granted.

use crate::callers::usage::Usage;

/// The amounts granted at one VM, or in a whole zone.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct UsageReport {
    /// The number of VMs that the report covers.
    pub(crate) vms: u32,
    /// The number of covered VMs that have grants recorded for the whole quota window. A VM that
    /// started within the window counts as a fraction.
    pub(crate) recorded_vms: f64,
    /// The usage of each organisation, by the `short_id` of its name.
    pub(crate) usages: Vec<(u32, Usage)>,
}
