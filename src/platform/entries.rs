//! Backend servers as they enter themselves in the platform's store.

use crate::gateway::{Entry, Holding, ServerState};
use crate::inventory::Name;
use serde::Deserialize;
use std::net::SocketAddr;

#[derive(Deserialize)]
struct WireEntry {
    service: Name,
    address: SocketAddr,
    zone: Name,
    #[serde(default)]
    slots: u32,
    state: WireState,
    #[serde(default)]
    models: Vec<WireHolding>,
    #[serde(default)]
    at_hand: WireAtHand,
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum WireState {
    Ready,
    Draining,
}

/// A model that a runner holds.
#[derive(Deserialize)]
pub(super) struct WireHolding {
    name: Name,
    #[serde(default)]
    version: u64,
    #[serde(default)]
    adapters: Vec<WireAdapter>,
}

/// An adapter, by its name alone or with its version.
#[derive(Deserialize)]
#[serde(untagged)]
enum WireAdapter {
    Name(Name),
    Versioned { name: Name },
}

/// Weights that a runner can load without the weight store.
#[derive(Default, Deserialize)]
struct WireAtHand {
    #[serde(default)]
    in_memory: Vec<Name>,
    #[serde(default)]
    on_disk: Vec<Name>,
}

impl From<WireHolding> for Holding {
    fn from(wire: WireHolding) -> Self {
        let adapters = wire.adapters.into_iter().map(|adapter| match adapter {
            WireAdapter::Name(name) | WireAdapter::Versioned { name } => name,
        });
        Self {
            model: wire.name,
            version: wire.version,
            adapters: adapters.collect(),
        }
    }
}

/// Reads an entry; its key is the id of one run of the server's process.
pub(super) fn decode(id: Name, value: &[u8]) -> Result<Entry, serde_json::Error> {
    let wire: WireEntry = serde_json::from_slice(value)?;
    Ok(Entry {
        id,
        service: wire.service,
        address: wire.address,
        availability_zone: wire.zone,
        slots: wire.slots,
        state: match wire.state {
            WireState::Ready => ServerState::Ready,
            WireState::Draining => ServerState::Draining,
        },
        holdings: wire.models.into_iter().map(Holding::from).collect(),
        in_memory: wire.at_hand.in_memory,
        on_disk: wire.at_hand.on_disk,
    })
}
