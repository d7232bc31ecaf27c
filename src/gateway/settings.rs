//! The settings of the process on one VM.

use crate::callers::QuotaBounds;
use crate::inventory::Name;
use crate::socket_limits::SocketLimits;
use std::net::SocketAddr;
use std::time::Duration;

/// The settings of one process.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Settings {
    /// The VM's name.
    pub(crate) vm: Name,
    /// The availability zone that the VM is in.
    pub(crate) availability_zone: Name,
    /// The address that serves callers.
    pub(crate) caller_address: SocketAddr,
    /// The address that serves readiness and metrics.
    pub(crate) ready_address: SocketAddr,
    /// A further address that serves metrics, if any.
    pub(crate) metrics_address: Option<SocketAddr>,
    /// The address that receives messages of other VMs.
    pub(crate) peer_address: SocketAddr,
    /// The address of the log service, which stores all durable state.
    pub(crate) log_address: SocketAddr,
    /// The processor time that the process may use, in cores.
    pub(crate) cpu_cores: f64,
    /// The memory for what is held for callers.
    pub(crate) client_memory_bytes: usize,
    /// How long a connection that waits for its caller is kept while others need its memory or place.
    pub(crate) client_min_wait: Duration,
    /// The bandwidth of the VM's link, in bytes per second; `None` if it is not limited.
    pub(crate) link_bytes_per_s: Option<f64>,
    /// How often backend servers renew their directory entries; `None` if it is not stated.
    pub(crate) report_interval: Option<Duration>,
    /// How many sockets the process may have for what.
    pub(crate) sockets: SocketLimits,
    /// Limits and guarantees of the deployment.
    pub(crate) bounds: Bounds,
}

/// Limits and guarantees of the deployment that each VM has to keep.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Bounds {
    /// The time from SIGTERM until the process is killed.
    pub(crate) grace: Duration,
    /// The longest time from the acknowledgement of a configuration until it has to be in force.
    pub(crate) configuration_delay: Duration,
    /// How long a backend server continues to serve requests after it has announced that it leaves.
    pub(crate) drain: Duration,
    /// Retries allowed per request, over all VMs.
    pub(crate) retry_ratio: f64,
    /// The window in which retries are counted.
    pub(crate) retry_window: Duration,
    /// Retries allowed per window in addition to the ratio, over all VMs.
    pub(crate) retry_slack: f64,
    /// How far the usage of organisations may exceed their quotas.
    pub(crate) quota: QuotaBounds,
    /// Whether runners refuse orders with a lower fence than the highest one they have received.
    pub(crate) is_fenced: bool,
    /// How long a leader must not be replaced after its last order. A VM that lost the leadership
    /// waits this long before it claims it again.
    pub(crate) lease: Duration,
    /// The window in which loads from the weight store are counted.
    pub(crate) load_window: Duration,
    /// The shortest time without a heartbeat after which a group member is removed.
    pub(crate) min_member_ttl: Duration,
}
