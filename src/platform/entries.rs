//! Backend servers as they enter themselves in the platform's store.

use crate::gateway::{Entry, Holding, ServerState};
use crate::inventory::Name;
use crate::platform::object::Object;
use serde::Deserialize;
use serde::de::Error;
use std::net::SocketAddr;
use std::num::NonZero;

/// Stands for the start of runners that do not tell it.
pub(super) const UNTOLD_START: u64 = 0;

/// What a runner writes of itself; what lacks any of it was written by something else.
#[derive(Deserialize)]
struct WireEntry {
    service: Name,
    address: SocketAddr,
    zone: Name,
    /// The version of its software, not of weights.
    #[serde(rename = "version")]
    _software: Name,
    slots: NonZero<u32>,
    state: WireState,
    #[serde(rename = "cold_remaining_ms")]
    _slow_for_ms: f64,
    /// Counts what the runner wrote, unlike the field of that name in its report.
    sequence: u64,
    /// When the process started, in Unix milliseconds; where no runner tells it, each start
    /// has an id of its own.
    #[serde(default)]
    born: Option<u64>,
    #[serde(default)]
    models: Vec<Object<WireHolding>>,
    #[serde(default)]
    at_hand: Object<WireAtHand>,
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

/// The start of a runner's process; a runner that tells it names a moment.
pub(super) fn start_of(born: Option<u64>) -> Result<u64, serde_json::Error> {
    match born {
        Some(UNTOLD_START) => Err(serde_json::Error::custom("born is no moment")),
        born => Ok(born.unwrap_or(UNTOLD_START)),
    }
}

/// What a runner holds.
pub(super) fn holdings(wire: Vec<Object<WireHolding>>) -> Vec<Holding> {
    wire.into_iter().map(|Object(it)| it.into()).collect()
}

/// Reads an entry; its key is the server's id.
pub(super) fn decode(id: Name, value: &[u8]) -> Result<Entry, serde_json::Error> {
    let Object(wire) = serde_json::from_slice::<Object<WireEntry>>(value)?;
    let Object(at_hand) = wire.at_hand;
    Ok(Entry {
        id,
        started_ms: start_of(wire.born)?,
        sequence: wire.sequence,
        service: wire.service,
        address: wire.address,
        availability_zone: wire.zone,
        slots: wire.slots.get(),
        state: match wire.state {
            WireState::Ready => ServerState::Ready,
            WireState::Draining => ServerState::Draining,
        },
        holdings: holdings(wire.models),
        in_memory: at_hand.in_memory,
        on_disk: at_hand.on_disk,
    })
}
