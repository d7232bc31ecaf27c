//! Backend servers: model runners and servers of plain services.

use super::Name;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What a backend server does.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Duty {
    /// Runs models.
    Runner,
    /// Runs a plain service.
    Service,
}

/// A backend server, as listed in the asset register.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct BackendServer {
    /// The server's name in the asset register and in the VM list.
    pub name: Name,
    /// Whether the server runs models or a plain service.
    pub duty: Duty,
    /// The address the server listens on.
    pub address: SocketAddr,
    /// The availability zone of the server.
    pub availability_zone: Name,
    /// The group of the runner; placement is planned for each group separately.
    #[serde(default = "default_group")]
    pub group: Name,
    /// Accelerator memory in MiB; 0 for plain services.
    #[serde(default)]
    pub memory_mib: u64,
    /// The part of `memory_mib` reserved for the KV cache.
    #[serde(default)]
    pub kv_mib: u64,
    /// Requests that can run concurrently without falling below the target speed.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Whether the engine refuses an order with an outdated fencing token.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Whether the server is leaving. A leaving server gets no new work.
    #[serde(default)]
    pub leaving: bool,
}

fn default_group() -> Name {
    arcstr::literal!("main")
}

fn default_slots() -> u32 {
    16
}

impl BackendServer {
    /// The memory available for weights, in MiB.
    pub fn weights_capacity_mib(&self) -> u64 {
        self.memory_mib.saturating_sub(self.kv_mib)
    }
}
