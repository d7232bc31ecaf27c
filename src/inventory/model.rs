//! Models and their adapters.

use super::Name;
use serde::{Deserialize, Serialize};

/// A model with the version to serve.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// The name that callers use in requests.
    pub name: Name,
    /// The version to serve.
    pub version: Name,
    /// The accelerator memory of the weights, in MiB.
    pub weights_mib: u64,
    /// Adapters of the model; all of them are loaded with each copy of the model.
    #[serde(default)]
    pub adapters: Vec<Adapter>,
    /// The minimum number of copies to keep loaded.
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
    /// The adapter's name, unique within its model.
    pub name: Name,
    /// The version to serve.
    pub version: Name,
    /// The accelerator memory of the adapter, in MiB.
    pub weights_mib: u64,
}

impl Model {
    /// The memory of one copy with all its adapters, in MiB.
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
