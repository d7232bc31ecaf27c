//! An organisation whose callers send requests.

use crate::callers::Quota;
use crate::inventory::Name;

/// An organisation whose callers send requests.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Organisation {
    /// The name of the organisation.
    pub(crate) name: Name,
    /// The priority of the organisation's requests, which overrides the priority of the route; 0 is
    /// the most urgent.
    pub(crate) priority: Option<u32>,
    /// The quota over all VMs; `None` for no limit.
    pub(crate) quota: Option<Quota>,
}
