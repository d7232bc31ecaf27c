//! How many sockets a process may have for what.

/// The most file descriptors, and the largest part of all, that are left to files.
const MAX_FILE_FDS: usize = 200;
const FILE_FDS_FRACTION: usize = 4;
/// The most sockets, and the largest part of all, that neither clients nor servers may take.
const MAX_RESERVED: usize = 256;
const RESERVED_FRACTION: usize = 2;
/// The share of all descriptors that clients' connections may take, and the share of the sockets that
/// they have together with servers.
const CLIENT_FDS_SHARE: f64 = 0.7;
const CLIENT_SOCKETS_SHARE: f64 = 0.8;
/// The most connections that are open for a refusal, and their share of the reserved sockets.
const MAX_REFUSALS: usize = 64;
const REFUSALS_SHARE: f64 = 0.6;
/// The shares of the reserved sockets for transfers to other VMs, and for health checks, metrics and
/// operators. The rest is for this process's own calls.
const TRANSFERS_SHARE: f64 = 0.25;
const OPERATORS_SHARE: f64 = 0.1;

/// How many sockets a process may have for what.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct SocketLimits {
    /// The maximum number of clients' connections.
    pub(crate) max_clients: usize,
    /// The maximum number of clients' connections and connections to servers together.
    pub(crate) max_shared: usize,
    /// The sockets beyond these.
    pub(crate) reserved: usize,
}

impl SocketLimits {
    /// The limits of a process that may have this number of file descriptors.
    pub(crate) fn of_descriptors(max_fds: usize) -> Self {
        let sockets = max_fds - MAX_FILE_FDS.min(max_fds / FILE_FDS_FRACTION);
        let reserved = MAX_RESERVED.min(sockets / RESERVED_FRACTION);
        let max_shared = sockets - reserved;
        let client_fds = (max_fds as f64 * CLIENT_FDS_SHARE) as usize;
        Self {
            max_clients: client_fds.min((max_shared as f64 * CLIENT_SOCKETS_SHARE) as usize),
            max_shared,
            reserved,
        }
    }

    /// The maximum number of connections that are open for a refusal.
    pub(crate) fn max_refusals(&self) -> usize {
        self.share_of_reserved(REFUSALS_SHARE).min(MAX_REFUSALS)
    }

    /// The maximum number of connections for transfers to other VMs.
    pub(crate) fn max_transfers(&self) -> usize {
        self.share_of_reserved(TRANSFERS_SHARE)
    }

    /// The maximum number of connections for health checks, metrics and operators.
    pub(crate) fn max_operators(&self) -> usize {
        self.share_of_reserved(OPERATORS_SHARE)
    }

    fn share_of_reserved(&self, share: f64) -> usize {
        ((self.reserved as f64 * share) as usize).max(1)
    }
}
