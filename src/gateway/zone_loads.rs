//! What VMs of other zones have on servers, as sums over each zone.
//!
//! Answers a fleet in which a VM speaks to each VM of another zone only once in many turns: what each
//! tells of itself is seconds old by then, while a runner's load is made by all of them. Each VM hears
//! its own zone in every turn, so that it can tell the sum of it, and every zone hears some VM of every
//! other zone in every turn.

use crate::inventory::Name;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// For how long a sum counts without another one: several turns of a small fleet, and of a large one
/// in which a zone's sums come from another VM in each turn.
const COUNTS_FOR: Duration = Duration::from_millis(1_500);

/// Requests in flight, with the moment they were told of.
#[derive(Clone, Copy, Debug)]
struct Sum {
    in_flight: u32,
    at: Instant,
}

/// The sums that other zones told, by zone and server.
#[derive(Debug, Default)]
pub(super) struct ZoneLoads {
    zones: HashMap<Name, HashMap<u32, Sum>>,
}

impl ZoneLoads {
    /// Takes over sums of a zone; servers that are not told of keep theirs.
    pub(super) fn take(
        &mut self,
        zone: &Name,
        sums: impl Iterator<Item = (u32, u32)>,
        now: Instant,
    ) {
        let of_zone = self.zones.entry(zone.clone()).or_default();
        for (server, in_flight) in sums {
            of_zone.insert(server, Sum { in_flight, at: now });
        }
    }

    /// Requests of the zones on a server, by its short name.
    pub(super) fn in_flight(&self, server: u32) -> u32 {
        let sums = self.zones.values().filter_map(|zone| zone.get(&server));
        sums.map(|sum| sum.in_flight).sum()
    }

    /// Whether a zone's sums are known, so that what its VMs tell of themselves is in them.
    pub(super) fn has(&self, zone: &Name) -> bool {
        self.zones.contains_key(zone)
    }

    /// Forgets sums that were not told again.
    pub(super) fn forget(&mut self, now: Instant) {
        for zone in self.zones.values_mut() {
            zone.retain(|_, sum| now.saturating_duration_since(sum.at) < COUNTS_FOR);
        }
        self.zones.retain(|_, zone| !zone.is_empty());
    }
}
