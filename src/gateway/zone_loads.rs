//! What VMs of other zones have on servers, as sums over each zone.
//!
//! Answers a fleet in which a VM speaks to each VM of another zone only once in many turns: what each
//! tells of itself is seconds old by then, while a runner's load is made by all of them. Each VM hears
//! its own zone in every turn, so that it can tell the sum of it, and every zone hears some VM of every
//! other zone in every turn.
//!
//! All VMs of a zone know about the same sums. Where there are many, each message tells a part of
//! them, another part in each turn, so that what a VM hears does not grow with the VMs that tell.
//! Servers on which the zone has nothing are left out.

use crate::inventory::Name;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// After how long without any sum of a zone its load is not known any more: several turns.
const SILENT_AFTER: Duration = Duration::from_millis(1_500);
/// For how long a sum counts without another one: six times what passes between two tellings on
/// average, since other VMs tell other parts and messages are lost.
const COUNTS_FOR: Duration = Duration::from_millis(6_000);
/// The time between two tellings of a sum to one VM, on average, where sums are many.
const TELLING_INTERVAL: Duration = Duration::from_millis(1_000);
/// Sums that each message tells if there are so many, five or six bytes each: about as much as the
/// rest of the message.
const MIN_SUMS: usize = 24;
/// Sums that a message tells at most: they fit one datagram.
const MAX_SUMS: usize = 160;

/// Steps of this part of the list spread evenly, and without a period that the turns in which a VM
/// is spoken to could share.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_895;

/// What a VM tells other zones of its own zone's load.
#[derive(Debug, Default)]
pub(super) struct ZoneLoadSampler {
    /// When the zone last had requests on a server, by the server's short name.
    loaded_at: HashMap<u32, Instant>,
}

impl ZoneLoadSampler {
    /// The part of the sums for one message, of those on servers where the zone has requests or had
    /// some a moment ago.
    ///
    /// `told_every` is the time between two messages of one VM to the same one of another zone, and
    /// `vms` are those of the zone, who all tell of it.
    pub(super) fn part(
        &mut self,
        mut sums: Vec<(u32, u32)>,
        turn: usize,
        told_every: Duration,
        vms: usize,
        now: Instant,
    ) -> Vec<(u32, u32)> {
        let loaded = sums.iter().filter(|(_, in_flight)| *in_flight > 0);
        self.loaded_at
            .extend(loaded.map(|(server, _)| (*server, now)));
        self.loaded_at
            .retain(|_, at| now.saturating_duration_since(*at) < COUNTS_FOR);
        sums.retain(|(server, _)| self.loaded_at.contains_key(server));
        let share = share(sums.len(), told_every, vms);
        let place = (turn as f64 * GOLDEN_RATIO).fract();
        let start = (place * sums.len() as f64) as usize;
        sums.rotate_left(start);
        sums.truncate(share);
        sums
    }
}

/// How many of `sums` one message tells, so that the VMs of the zone together tell each of them once
/// in [`TELLING_INTERVAL`].
fn share(sums: usize, told_every: Duration, vms: usize) -> usize {
    let messages = vms.max(1) as f64 * TELLING_INTERVAL.div_duration_f64(told_every);
    let share = (sums as f64 / messages).ceil() as usize;
    share.clamp(MIN_SUMS, MAX_SUMS)
}

/// Requests in flight, with the moment they were told of.
#[derive(Clone, Copy, Debug)]
struct Sum {
    in_flight: u32,
    at: Instant,
}

/// The sums that one zone told, by server.
#[derive(Debug)]
struct ToldZone {
    sums: HashMap<u32, Sum>,
    at: Instant,
}

/// The sums that other zones told.
#[derive(Debug, Default)]
pub(super) struct ZoneLoads {
    zones: HashMap<Name, ToldZone>,
}

impl ZoneLoads {
    /// Takes over sums of a zone; servers that are not told of keep theirs.
    pub(super) fn take(
        &mut self,
        zone: &Name,
        sums: impl Iterator<Item = (u32, u32)>,
        now: Instant,
    ) {
        let told = self.zones.entry(zone.clone()).or_insert_with(|| ToldZone {
            sums: HashMap::new(),
            at: now,
        });
        told.at = now;
        for (server, in_flight) in sums {
            told.sums.insert(server, Sum { in_flight, at: now });
        }
    }

    /// Requests of the zones on a server, by its short name.
    pub(super) fn in_flight(&self, server: u32) -> u32 {
        let zones = self.zones.values();
        let sums = zones.filter_map(|zone| zone.sums.get(&server));
        sums.map(|sum| sum.in_flight).sum()
    }

    /// Whether a zone's sums are known, so that what its VMs tell of themselves is in them.
    pub(super) fn has(&self, zone: &Name) -> bool {
        self.zones.contains_key(zone)
    }

    /// Forgets sums that were not told again, and zones that tell none.
    pub(super) fn forget(&mut self, now: Instant) {
        let age = |at: Instant| now.saturating_duration_since(at);
        self.zones.retain(|_, zone| age(zone.at) < SILENT_AFTER);
        for zone in self.zones.values_mut() {
            zone.sums.retain(|_, sum| age(sum.at) < COUNTS_FOR);
        }
    }
}
