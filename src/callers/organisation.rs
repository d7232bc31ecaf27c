//! An organisation whose callers send requests.

use crate::callers::Quota;
use crate::inventory::Name;

/// An organisation whose callers send requests.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Organisation {
    /// Its name.
    pub(crate) name: Name,
    /// The rank of its requests where it goes before the route's; 0 is the most urgent.
    pub(crate) priority: Option<u32>,
    /// What it may ask for over all VMs; `None` for any amount.
    pub(crate) quota: Option<Quota>,
}
