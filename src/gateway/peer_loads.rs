//! The requests that other VMs have in flight, summed up for all servers at once.

use crate::gateway::peer::PeerState;
use crate::gateway::zone_loads::ZoneLoads;
use crate::inventory::Name;
use crate::short_id::short_id;
use std::cell::Ref;
use std::collections::{HashMap, HashSet};

/// The requests that other VMs have in flight, as of the time at which they were summed up.
#[derive(Debug)]
pub(crate) struct PeerLoads<'a> {
    /// The sums over the VMs that report individually, by server.
    of_single: HashMap<Name, u32>,
    zone_loads: Ref<'a, ZoneLoads>,
}

impl<'a> PeerLoads<'a> {
    /// Sums up what VMs reported individually. The sum of a zone includes what its VMs reported, so
    /// that these are left out where there is one.
    pub(super) fn new<'p>(
        peers: impl Iterator<Item = &'p PeerState> + Clone,
        zone_loads: Ref<'a, ZoneLoads>,
    ) -> Self {
        let zones: HashSet<&Name> = peers.clone().map(|peer| &peer.availability_zone).collect();
        let single: HashSet<&Name> = zones
            .into_iter()
            .filter(|zone| !zone_loads.has_zone(zone))
            .collect();
        let of_single = peers.filter(|peer| single.contains(&peer.availability_zone));
        Self {
            of_single: sum_by_server(of_single),
            zone_loads,
        }
    }

    /// The requests that all other VMs have in flight at a server.
    pub(crate) fn in_flight(&self, server: &Name) -> u32 {
        self.of_single(server) + self.zone_loads.in_flight(short_id(server))
    }

    /// The requests that the VMs have in flight at a server that report individually.
    pub(crate) fn of_single(&self, server: &Name) -> u32 {
        self.of_single.get(server).copied().unwrap_or(0)
    }
}

/// Sums up the requests that some VMs reported individually, by server.
pub(super) fn sum_by_server<'p>(peers: impl Iterator<Item = &'p PeerState>) -> HashMap<Name, u32> {
    let mut sums: HashMap<Name, u32> = HashMap::new();
    for (server, loads) in peers.flat_map(|peer| &peer.loads) {
        let count: u32 = loads.iter().map(|(_, count)| count).sum();
        *sums.entry(server.clone()).or_default() += count;
    }
    sums
}
