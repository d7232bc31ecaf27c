//! Client of the platform's VM list: live and leaving VMs, updated with a lag.
//!
//! `GET /vms` returns a JSON array of [`ListedVm`].

use crate::external::limited_body::read_limited;
use crate::inventory::Name;
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout of a fetch.
const LIST_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The largest list, in bytes.
const MAX_LIST_BYTES: usize = 16 * 1024 * 1024;

/// An entry of the list: a VM of this system or of a backend server.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub(crate) struct ListedVm {
    /// Name of the VM; for a backend server, its name in the inventory.
    pub(crate) name: Name,
    /// Address for messages from peers; backend servers have none.
    #[serde(default)]
    pub(crate) peer_address: Option<SocketAddr>,
    /// Availability zone of the VM.
    pub(crate) availability_zone: Name,
    /// Whether the VM is leaving.
    #[serde(default)]
    pub(crate) leaving: bool,
}

/// A source of the list of VMs.
pub(crate) trait VmList: 'static {
    /// Fetches the list; `None` if the call fails.
    fn fetch(&self) -> impl Future<Output = Option<Vec<ListedVm>>>;
}

/// The VM list over HTTP.
#[derive(Debug)]
pub(crate) struct HttpVmList {
    address: SocketAddr,
}

impl HttpVmList {
    /// Creates a client of the list at `address`.
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self { address }
    }
}

impl VmList for HttpVmList {
    async fn fetch(&self) -> Option<Vec<ListedVm>> {
        let call = async {
            // A new client per call: fetches are rare, and a pooled connection may have died
            // in between without an error.
            let response = cyper::Client::new()
                .ok()?
                .get(format!("http://{}/vms", self.address))
                .ok()?
                .send()
                .await
                .ok()?;
            if !response.status().is_success() {
                return None;
            }
            let body = read_limited(response, MAX_LIST_BYTES, LIST_TIMEOUT, |_| {}).await?;
            serde_json::from_slice(&body).ok()
        };
        compio::time::timeout(LIST_TIMEOUT, call).await.ok()?
    }
}
