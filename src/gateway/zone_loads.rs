//! The requests in flight from remote zones, as one sum per zone and server.
//!
//! In a large fleet a VM sends to each VM of a remote zone only once in many rounds. A load that
//! each VM reported only for itself would be seconds stale by then, while the load of a runner is
//! the sum over all VMs. Every VM receives the load of its own zone in every round, so that it can
//! report the sum of that zone, and every zone receives messages from some VM of every other zone
//! in every round.
//!
//! All VMs of a zone know nearly the same sums. When there are many sums, each message carries a
//! part of them and each round another part, so that what a VM receives does not grow with the
//! number of senders. Servers without requests from the zone are left out.

use crate::inventory::Name;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// How long the load of a zone is kept without any message from it: several rounds.
const ZONE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long a sum is kept without an update: six times the average interval between updates, since
/// each VM sends other parts and messages may be lost.
const SUM_TTL: Duration = Duration::from_millis(6_000);
/// The average interval at which one VM receives the same sum, when there are many sums.
const SUM_INTERVAL: Duration = Duration::from_millis(1_000);
/// The minimum number of sums in a message, if there are that many. A sum takes five or six bytes,
/// so that they take about as much space as the rest of the message.
const MIN_SUMS: usize = 24;
/// The maximum number of sums in a message, so that it fits one datagram.
const MAX_SUMS: usize = 160;

/// The fraction of the list by which the first sum to send advances in each round. Steps of the
/// golden ratio spread evenly, and have no period that could coincide with the rounds in which a VM
/// receives a message.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_895;

/// Selects the sums of the local zone that each message to a remote zone carries.
#[derive(Debug, Default)]
pub(super) struct ZoneLoadSampler {
    /// When the zone last had requests at a server, by the short name of the server.
    loaded_at: HashMap<u32, Instant>,
}

impl ZoneLoadSampler {
    /// Selects the sums for one message, among the servers where the zone has requests or had some
    /// within [`SUM_TTL`].
    ///
    /// `message_interval` is the time between two messages from one VM to the same VM of a remote
    /// zone, and `vms` is the number of VMs in the local zone, which all send its sums.
    pub(super) fn part(
        &mut self,
        mut sums: Vec<(u32, u32)>,
        round: usize,
        message_interval: Duration,
        vms: usize,
        now: Instant,
    ) -> Vec<(u32, u32)> {
        let loaded = sums.iter().filter(|(_, in_flight)| *in_flight > 0);
        self.loaded_at
            .extend(loaded.map(|(server, _)| (*server, now)));
        self.loaded_at
            .retain(|_, at| now.saturating_duration_since(*at) < SUM_TTL);
        sums.retain(|(server, _)| self.loaded_at.contains_key(server));
        let share = share(sums.len(), message_interval, vms);
        let fraction = (round as f64 * GOLDEN_RATIO).fract();
        let start = (fraction * sums.len() as f64) as usize;
        sums.rotate_left(start);
        sums.truncate(share);
        sums
    }
}

/// The number of sums that one message carries, so that the VMs of the zone together send each of
/// `sums` once per [`SUM_INTERVAL`].
fn share(sums: usize, message_interval: Duration, vms: usize) -> usize {
    let messages = vms.max(1) as f64 * SUM_INTERVAL.div_duration_f64(message_interval);
    let share = (sums as f64 / messages).ceil() as usize;
    share.clamp(MIN_SUMS, MAX_SUMS)
}

/// The requests in flight at one server, and when that sum was received.
#[derive(Clone, Copy, Debug)]
struct ReceivedSum {
    in_flight: u32,
    at: Instant,
}

/// The sums received from one zone, by the short name of the server.
#[derive(Debug)]
struct ZoneSums {
    sums: HashMap<u32, ReceivedSum>,
    at: Instant,
}

/// The requests in flight per server, as last reported by each remote zone.
#[derive(Debug, Default)]
pub(super) struct ZoneLoads {
    zones: HashMap<Name, ZoneSums>,
}

impl ZoneLoads {
    /// Applies sums of a zone. Servers that are not among them keep their last sum.
    pub(super) fn apply(
        &mut self,
        zone: &Name,
        sums: impl Iterator<Item = (u32, u32)>,
        now: Instant,
    ) {
        let received = self.zones.entry(zone.clone()).or_insert_with(|| ZoneSums {
            sums: HashMap::new(),
            at: now,
        });
        received.at = now;
        for (server, in_flight) in sums {
            received
                .sums
                .insert(server, ReceivedSum { in_flight, at: now });
        }
    }

    /// The requests that all remote zones have in flight at a server, by its short name.
    pub(super) fn in_flight(&self, server: u32) -> u32 {
        let zones = self.zones.values();
        let sums = zones.filter_map(|zone| zone.sums.get(&server));
        sums.map(|sum| sum.in_flight).sum()
    }

    /// Whether sums of a zone are known. They include what its VMs report individually.
    pub(super) fn has_zone(&self, zone: &Name) -> bool {
        self.zones.contains_key(zone)
    }

    /// Removes sums that were not updated for [`SUM_TTL`], and zones without messages for
    /// [`ZONE_TIMEOUT`].
    pub(super) fn expire(&mut self, now: Instant) {
        let age = |at: Instant| now.saturating_duration_since(at);
        self.zones.retain(|_, zone| age(zone.at) < ZONE_TIMEOUT);
        for zone in self.zones.values_mut() {
            zone.sums.retain(|_, sum| age(sum.at) < SUM_TTL);
        }
    }
}
