//! The settings of one VM's process.

use crate::callers::QuotaBounds;
use crate::inventory::Name;
use std::net::SocketAddr;
use std::time::Duration;

/// The settings of one process.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Settings {
    /// The VM's name.
    pub(crate) vm: Name,
    /// The availability zone that it stands in.
    pub(crate) availability_zone: Name,
    /// Where callers are served.
    pub(crate) caller_address: SocketAddr,
    /// Where readiness and metrics are served.
    pub(crate) ready_address: SocketAddr,
    /// Where metrics are served beside the ready address, if anywhere.
    pub(crate) metrics_address: Option<SocketAddr>,
    /// Where peers' messages arrive.
    pub(crate) peer_address: SocketAddr,
    /// The log service that holds all that lasts.
    pub(crate) log_address: SocketAddr,
    /// What the deployment promises and asks for.
    pub(crate) bounds: Bounds,
}

/// Figures that the deployment is judged by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Bounds {
    /// From SIGTERM until the process is killed.
    pub(crate) grace: Duration,
    /// How long a backend server goes on serving once it is known to leave.
    pub(crate) drain: Duration,
    /// Retries allowed for each request, over all VMs.
    pub(crate) retry_ratio: f64,
    /// The window over which retries are counted.
    pub(crate) retry_window: Duration,
    /// Retries allowed in a window beyond the ratio, over all VMs.
    pub(crate) retry_slack: f64,
    /// How exactly organisations' quotas are kept.
    pub(crate) quota: QuotaBounds,
    /// Whether runners refuse orders under a lower fence than one that they have seen.
    pub(crate) is_fenced: bool,
    /// How long a holder of orders must be left alone after its last one.
    pub(crate) lease: Duration,
    /// The window over which loads from the weight store are counted.
    pub(crate) load_window: Duration,
    /// The shortest time after which a silent group member is dropped.
    pub(crate) min_member_ttl: Duration,
}
