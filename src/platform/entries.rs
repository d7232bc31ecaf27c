//! The entries that backend servers write about themselves into the platform's store.

use crate::gateway::{Entry, Holding, ServerState, UNKNOWN_START_MS};
use crate::inventory::Name;
use crate::platform::object::Object;
use hyper::header::HeaderValue;
use serde::Deserialize;
use serde::de::Error;
use std::net::{IpAddr, SocketAddr};
use std::num::NonZero;

/// The largest integer that every reader of JSON represents exactly.
const MAX_INTEGER: u64 = (1 << 53) - 1;
/// The largest number of slots of a runner.
const MAX_SLOTS: u32 = 65_535;

/// A runner's entry. An entry without one of the required fields was not written by a runner and
/// is refused.
#[derive(Deserialize)]
struct WireEntry {
    service: Name,
    address: SocketAddr,
    zone: Name,
    /// The version of the runner's software, not of weights.
    #[serde(rename = "version")]
    software_version: Name,
    slots: NonZero<u32>,
    state: WireState,
    #[serde(rename = "cold_remaining_ms")]
    _slow_for_ms: f64,
    /// The number of entries that the runner has written; the field of the same name in its
    /// report counts orders.
    sequence: u64,
    /// When the process started, in Unix milliseconds. Where no runner reports it, a runner has
    /// a new id after each start.
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

/// A model that is loaded on a runner, with its adapters.
#[derive(Deserialize)]
pub(super) struct WireHolding {
    name: Name,
    #[serde(default)]
    version: u64,
    #[serde(default)]
    adapters: Vec<WireAdapter>,
}

/// An adapter, given by its name or by an object with its name and version.
#[derive(Deserialize)]
#[serde(untagged)]
enum WireAdapter {
    Name(Name),
    Versioned { name: Name },
}

/// Weights that a runner can load without fetching them from the weight store.
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

/// Checks the reported start time of a runner's process; [`UNKNOWN_START_MS`] if none is reported.
///
/// # Errors
///
/// Fails if the reported time is 0, which means that it is unknown.
pub(super) fn parse_start(born: Option<u64>) -> Result<u64, serde_json::Error> {
    match born {
        Some(UNKNOWN_START_MS) => Err(serde_json::Error::custom("born must not be 0")),
        born => Ok(born.unwrap_or(UNKNOWN_START_MS)),
    }
}

/// Converts the models that are loaded on a runner.
pub(super) fn holdings(wire: Vec<Object<WireHolding>>) -> Vec<Holding> {
    wire.into_iter().map(|Object(it)| it.into()).collect()
}

/// Decodes an entry; `id` is the record's key, which is the server's id.
///
/// # Errors
///
/// Fails if the value is not an entry, or has numbers or an address that no runner has.
pub(super) fn decode(id: Name, value: &[u8]) -> Result<Entry, serde_json::Error> {
    let Object(wire) = serde_json::from_slice::<Object<WireEntry>>(value)?;
    check(&id, &wire).map_err(serde_json::Error::custom)?;
    let Object(at_hand) = wire.at_hand;
    Ok(Entry {
        id,
        started_ms: parse_start(wire.born)?,
        sequence: wire.sequence,
        service: wire.service,
        software_version: wire.software_version,
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

/// Checks what the types of the fields do not exclude.
fn check(id: &str, wire: &WireEntry) -> Result<(), &'static str> {
    let is_possible = |number: u64| number <= MAX_INTEGER;
    let ip = wire.address.ip();
    let is_broadcast = matches!(ip, IpAddr::V4(ip) if ip.is_broadcast());
    if id.is_empty() || HeaderValue::from_str(id).is_err() {
        return Err("the id cannot be sent in a header");
    }
    if wire.address.port() == 0 || ip.is_unspecified() || ip.is_multicast() || is_broadcast {
        return Err("nobody can listen at the address");
    }
    if !is_possible(wire.sequence) || !wire.born.is_none_or(is_possible) {
        return Err("a number is too large");
    }
    if wire.slots.get() > MAX_SLOTS {
        return Err("too many slots");
    }
    Ok(())
}
