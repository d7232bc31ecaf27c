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

/// A backend server of the asset register.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct BackendServer {
    /// The name in the asset register, also used in the VM list.
    pub name: Name,
    /// What it does.
    pub duty: Duty,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it stands.
    pub availability_zone: Name,
    /// The group of runners that is planned together.
    #[serde(default = "default_group")]
    pub group: Name,
    /// Accelerator memory; 0 for plain services.
    #[serde(default)]
    pub memory_mib: u64,
    /// The part of the memory kept for KV cache.
    #[serde(default)]
    pub kv_mib: u64,
    /// Requests that run at once without slowing each other below target.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Whether the engine refuses an order with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Whether it is leaving: it gets no new work.
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
    /// Memory that weights may take.
    pub fn weights_capacity_mib(&self) -> u64 {
        self.memory_mib.saturating_sub(self.kv_mib)
    }
}
