//! Models and their adapters.

use super::Name;
use serde::{Deserialize, Serialize};

/// A model in one version.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// The name callers use.
    pub name: Name,
    /// The version in force.
    pub version: Name,
    /// Accelerator memory of the weights.
    pub weights_mib: u64,
    /// Adapters over the weights; each must be resident with the model.
    #[serde(default)]
    pub adapters: Vec<Adapter>,
    /// Copies kept at least.
    #[serde(default = "default_min_replicas")]
    pub min_replicas: u32,
}

fn default_min_replicas() -> u32 {
    1
}

/// An adapter, addressed by callers as `model/adapter`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Adapter {
    /// The name within the model.
    pub name: Name,
    /// The version in force.
    pub version: Name,
    /// Accelerator memory of the adapter.
    pub weights_mib: u64,
}

impl Model {
    /// Memory of one copy with all its adapters.
    pub fn resident_mib(&self) -> u64 {
        let adapters_mib: u64 = self
            .adapters
            .iter()
            .map(|adapter| adapter.weights_mib)
            .sum();
        self.weights_mib + adapters_mib
    }

    /// Finds an adapter by its name within the model.
    pub fn adapter(&self, name: &str) -> Option<&Adapter> {
        self.adapters.iter().find(|adapter| adapter.name == name)
    }
}
