//! The platform's VM list: live and leaving VMs, with a lag.
//!
//! `GET /vms` answers an array of [`ListedVm`].

use crate::inventory::Name;
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;

/// How long the list may take to answer.
const LIST_TIMEOUT: Duration = Duration::from_millis(1_000);

/// One VM of the list: one of ours or a backend server's.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub(crate) struct ListedVm {
    /// The VM's name; a backend server's is its name in the inventory.
    pub(crate) name: Name,
    /// The peer address of one of our VMs; backend servers have none.
    #[serde(default)]
    pub(crate) peer_address: Option<SocketAddr>,
    /// Where it stands.
    pub(crate) availability_zone: Name,
    /// Whether it is leaving.
    #[serde(default)]
    pub(crate) leaving: bool,
}

/// A source of the list of VMs.
pub(crate) trait VmList: 'static {
    /// Fetches the list; `None` when it cannot be had now.
    fn fetch(&self) -> impl Future<Output = Option<Vec<ListedVm>>>;
}

/// The VM list over HTTP.
#[derive(Debug)]
pub(crate) struct HttpVmList {
    address: SocketAddr,
}

impl HttpVmList {
    /// A client of the list at `address`.
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self { address }
    }
}

impl VmList for HttpVmList {
    async fn fetch(&self) -> Option<Vec<ListedVm>> {
        let call = async {
            // A new client a call: the list is asked seldom, and a pooled
            // connection may have gone silent since.
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
            response.json().await.ok()
        };
        compio::time::timeout(LIST_TIMEOUT, call).await.ok()?
    }
}
