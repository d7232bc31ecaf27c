//! Which VMs there are, as this VM knows.
//!
//! The log lists only a few members of the group: no more than a topic has partitions. So VMs tell
//! each other which VMs they know and how long ago each was heard by anyone. Such ages only grow
//! while a VM is silent, whoever tells of it, so that one that is gone leaves all views within
//! [`LIVENESS_TIMEOUT`] and is told of no more; and it need not be heard by all to stay in them.

use crate::inventory::Name;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::ops::Bound;
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64;

/// After so long without a sign of life a VM counts as gone. A VM speaks to its zone five times a
/// second and what it tells spreads within one; shorter, lost messages would end living VMs.
pub(crate) const LIVENESS_TIMEOUT: Duration = Duration::from_millis(4_000);
/// For how long a VM that was lost is spoken to now and then, so that the halves of a fleet find
/// each other after a partition without the log.
const PROBE_FOR: Duration = Duration::from_secs(60);
/// VMs that were lost which are kept in mind, at most: more than a fleet replaces in a minute.
const MAX_LOST: usize = 1_000;
/// A gap between two looks from which this VM itself stood still: what it missed says nothing
/// about others.
const STANDSTILL: Duration = Duration::from_millis(1_000);
/// How long a VM that has just started may know too few others: they are found within three
/// seconds of a start.
const SETTLING_TIME: Duration = Duration::from_millis(3_000);
/// For how long the whole view is asked for at each turn after it has grown.
const GROWTH_TIME: Duration = Duration::from_millis(1_000);
/// The time between two such questions otherwise: they mend what lost messages left out.
const ASK_INTERVAL: Duration = Duration::from_millis(5_000);

/// A VM and when it last gave a sign of life.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Sighting {
    /// Where its messages arrive.
    pub(crate) address: SocketAddr,
    /// The availability zone that it stands in.
    pub(crate) availability_zone: Name,
    /// Names the process: another one at the address is another VM.
    pub(crate) boot: u64,
    /// When it was last heard, by whoever told of it.
    pub(crate) seen_at: Instant,
}

/// The VMs that this one knows; itself apart.
#[derive(Debug)]
pub(crate) struct View {
    started_at: Instant,
    known: BTreeMap<SocketAddr, Sighting>,
    /// VMs that fell silent, with the moment.
    lost: BTreeMap<SocketAddr, Instant>,
    /// Processes that told of their end, with the moment.
    left: HashMap<(SocketAddr, u64), Instant>,
    /// Draws the VMs to tell of, others at each VM, so that all together tell of each at any time.
    random: SmallRng,
    looked_at: Instant,
    grew_at: Instant,
    asked_at: Option<Instant>,
    most_seen: usize,
}

impl View {
    /// A view without any VM, of the VM at `own`.
    pub(crate) fn new(own: SocketAddr, now: Instant) -> Self {
        Self {
            random: SmallRng::seed_from_u64(place(own)),
            started_at: now,
            known: BTreeMap::new(),
            lost: BTreeMap::new(),
            left: HashMap::new(),
            looked_at: now,
            grew_at: now,
            asked_at: None,
            most_seen: 0,
        }
    }

    /// Takes a sign of life, heard or told; tells whether the VM is new.
    pub(crate) fn record_sighting(&mut self, sighting: Sighting, now: Instant) -> bool {
        let address = sighting.address;
        let is_old = now.saturating_duration_since(sighting.seen_at) >= LIVENESS_TIMEOUT;
        if is_old || self.left.contains_key(&(address, sighting.boot)) {
            return false;
        }
        match self.known.get_mut(&address) {
            Some(known) if known.seen_at >= sighting.seen_at => false,
            Some(known) => {
                let is_other = known.boot != sighting.boot;
                *known = sighting;
                is_other
            }
            None => {
                self.lost.remove(&address);
                self.known.insert(address, sighting);
                self.most_seen = self.most_seen.max(self.known.len());
                self.grew_at = now;
                true
            }
        }
    }

    /// Notes that a VM's process told of its end.
    pub(crate) fn record_departure(&mut self, address: SocketAddr, boot: u64, now: Instant) {
        self.left.insert((address, boot), now);
        if self.known.get(&address).is_some_and(|it| it.boot == boot) {
            self.known.remove(&address);
        }
    }

    /// Forgets VMs that gave no sign of life; returns them.
    pub(crate) fn forget_silent(&mut self, now: Instant) -> Vec<Sighting> {
        let gap = now.saturating_duration_since(self.looked_at);
        self.looked_at = now;
        if gap >= STANDSTILL {
            for known in self.known.values_mut() {
                known.seen_at = (known.seen_at + gap).min(now);
            }
        }
        let is_gone = |it: &Sighting| now.saturating_duration_since(it.seen_at) >= LIVENESS_TIMEOUT;
        let gone: Vec<Sighting> = self
            .known
            .extract_if(.., |_, it| is_gone(it))
            .map(|(_, it)| it)
            .collect();
        for it in &gone {
            if self.lost.len() < MAX_LOST {
                self.lost.insert(it.address, now);
            }
        }
        self.lost
            .retain(|_, at| now.saturating_duration_since(*at) < PROBE_FOR);
        self.left
            .retain(|_, at| now.saturating_duration_since(*at) < PROBE_FOR);
        gone
    }

    /// `count` VMs to tell the own zone of, others at each call. VMs of the zone are among them: each
    /// hears most of the others itself, but perhaps not all.
    pub(crate) fn sample(&mut self, count: usize) -> Vec<Sighting> {
        let draw = self.random.random();
        let from = self.any_one(draw).map_or(Bound::Unbounded, Bound::Included);
        let after = self.known.range((from, Bound::Unbounded));
        let before = self.known.range((Bound::Unbounded, from_excluded(from)));
        let all = after.chain(before).map(|(_, it)| it);
        all.take(count).cloned().collect()
    }

    /// All VMs, by address.
    pub(crate) fn all(&self) -> impl Iterator<Item = &Sighting> {
        self.known.values()
    }

    /// Finds a VM.
    pub(crate) fn get(&self, address: &SocketAddr) -> Option<&Sighting> {
        self.known.get(address)
    }

    /// How many VMs there are, this one included.
    pub(crate) fn vms(&self) -> usize {
        self.known.len() + 1
    }

    /// How many VMs come before the one at `own`, in an order that is the same at each VM and that no
    /// zone comes first in.
    pub(crate) fn rank(&self, own: SocketAddr) -> usize {
        let own = place(own);
        let places = self.known.keys().map(|address| place(*address));
        places.filter(|other| *other < own).count()
    }

    /// How many VMs there were at most at any time, this one included.
    pub(crate) fn peak_vms(&self) -> usize {
        self.most_seen + 1
    }

    /// Whether this VM has had the time to find the others.
    pub(crate) fn is_settled(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.started_at) >= SETTLING_TIME
    }

    /// Whether another VM is to be asked for its whole view now, which is then taken for done.
    pub(crate) fn take_view_request(&mut self, now: Instant) -> bool {
        let since = |at| now.saturating_duration_since(at);
        let is_growing = since(self.grew_at) < GROWTH_TIME;
        let is_due = is_growing || self.asked_at.is_none_or(|at| since(at) >= ASK_INTERVAL);
        if is_due {
            self.asked_at = Some(now);
        }
        is_due
    }

    /// One of the VMs that were lost, by `draw` from 0 to 1.
    pub(crate) fn random_lost_vm(&self, draw: f64) -> Option<SocketAddr> {
        pick(self.lost.keys(), self.lost.len(), draw)
    }

    /// One of the VMs, by `draw` from 0 to 1.
    pub(crate) fn any_one(&self, draw: f64) -> Option<SocketAddr> {
        pick(self.known.keys(), self.known.len(), draw)
    }
}

/// The place of a VM in an order by chance.
fn place(address: SocketAddr) -> u64 {
    xxh3_64(address.to_string().as_bytes())
}

fn pick<'a>(
    mut addresses: impl Iterator<Item = &'a SocketAddr>,
    count: usize,
    draw: f64,
) -> Option<SocketAddr> {
    let place = (draw * count as f64) as usize;
    addresses.nth(place.min(count.saturating_sub(1))).copied()
}

/// The end of a range that stops where another one begins.
fn from_excluded(from: Bound<SocketAddr>) -> Bound<SocketAddr> {
    match from {
        Bound::Included(address) => Bound::Excluded(address),
        other => other,
    }
}
