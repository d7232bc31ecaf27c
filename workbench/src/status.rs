//! What a VM's status says of copies and VMs.

use rattanjunction::Model;
use serde_json::Value;

/// How many VMs a status shows as alive.
pub(crate) fn live_vms(status: &Value) -> usize {
    let vms = status["vms"].as_array();
    vms.into_iter()
        .flatten()
        .filter(|vm| vm["alive"] == true)
        .count()
}

/// Whether any runner's book in a status holds the artifact as resident.
pub fn is_resident(status: &Value, artifact: &str) -> bool {
    resident_copies(status, artifact) > 0
}

/// How many runners' books in a status hold the artifact as resident.
pub(crate) fn resident_copies(status: &Value, artifact: &str) -> usize {
    copies(status)
        .filter(|copy| copy["artifact"] == artifact && copy["state"] == "resident")
        .count()
}

/// All copies in the runners' books of a status.
pub(crate) fn copies(status: &Value) -> impl Iterator<Item = &Value> {
    let runners = status["runners"].as_array().into_iter().flatten();
    runners.flat_map(|runner| runner["copies"].as_array().into_iter().flatten())
}

/// A model and its adapters, by the names that a status gives them.
pub(crate) fn artifacts_of(model: &Model) -> impl Iterator<Item = String> {
    let own = format!("{}@{}", model.name, model.version);
    let adapters = model
        .adapters
        .iter()
        .map(|adapter| format!("{}/{}@{}", model.name, adapter.name, adapter.version));
    std::iter::once(own).chain(adapters)
}
