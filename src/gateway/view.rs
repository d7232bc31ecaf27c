//! The VMs of the fleet that this VM knows.
//!
//! The log lists only a few members of the group: no more than a topic has partitions. The VMs
//! therefore send each other the VMs that they know, and how long ago any VM last received a
//! message from each. While a VM is silent its age only grows, through however many VMs it is
//! forwarded. A VM that is gone thus drops out of all views within [`LIVENESS_TIMEOUT`] and is no
//! longer listed, and a live VM stays in all views even if some VMs receive nothing from it
//! directly.

use crate::inventory::Name;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::ops::Bound;
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64;

/// How long a VM is kept without a new sighting. A VM sends to its zone five times per second, and
/// a sighting spreads within a second; with a shorter timeout, lost messages would remove live VMs.
pub(crate) const LIVENESS_TIMEOUT: Duration = Duration::from_millis(4_000);
/// The timeout for each VM of a large fleet. The messages that a VM receives list a bounded number of
/// VMs per second, so that a sighting takes the longer to reach all, the more VMs there are.
const LIVENESS_TIMEOUT_PER_VM: Duration = Duration::from_micros(2_500);
/// How long a VM that was lost is still probed, so that the parts of a fleet find each other after
/// a network partition without the log. Departed processes are remembered for the same time.
const LOST_RETENTION: Duration = Duration::from_secs(60);
/// The maximum number of lost VMs to remember: more than a fleet replaces in a minute.
const MAX_LOST: usize = 1_000;
/// The gap between two checks from which this VM itself counts as stalled. The messages that it
/// missed meanwhile say nothing about other VMs.
const STALL_THRESHOLD: Duration = Duration::from_millis(1_000);
/// How long after its start a VM may not know all others yet: it finds all within three seconds.
const DISCOVERY_TIME: Duration = Duration::from_millis(3_000);
/// The time after the view has grown in which every round requests the full view of another VM.
const GROWTH_TIME: Duration = Duration::from_millis(1_000);
/// The interval between requests for a full view at all other times, to make up for lost messages.
const VIEW_REQUEST_INTERVAL: Duration = Duration::from_millis(5_000);

/// A VM and when it was last known to be alive.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Sighting {
    /// The address at which the VM receives messages.
    pub(crate) address: SocketAddr,
    /// The availability zone of the VM.
    pub(crate) availability_zone: Name,
    /// Identifies the process: another process at the same address is another VM.
    pub(crate) boot: u64,
    /// The processor time that the process may use, in percent of a core.
    pub(crate) cpu_percent: u8,
    /// When any VM last received a message from it.
    pub(crate) seen_at: Instant,
}

/// The other VMs that this VM knows.
#[derive(Debug)]
pub(crate) struct View {
    started_at: Instant,
    /// The processor time of this VM, in percent of a core.
    own_cpu_percent: u8,
    known: BTreeMap<SocketAddr, Sighting>,
    /// VMs removed because they stopped sending messages, and when each was removed.
    lost: BTreeMap<SocketAddr, Instant>,
    /// Processes that announced their shutdown, and when.
    departed: HashMap<(SocketAddr, u64), Instant>,
    /// Draws the VMs to list in messages. Every VM has another seed, so that together they list all
    /// VMs at any time.
    random: SmallRng,
    /// When [`View::forget_silent`] last ran.
    checked_at: Instant,
    /// When a VM was last added.
    grew_at: Instant,
    /// When a VM was last added, restarted or removed.
    changed_at: Instant,
    /// When a full view was last requested.
    requested_at: Option<Instant>,
    /// The largest size of `known` so far.
    peak_known: usize,
}

impl View {
    /// Creates an empty view for the VM at `own`.
    pub(crate) fn new(own: SocketAddr, now: Instant) -> Self {
        Self {
            random: SmallRng::seed_from_u64(address_hash(own)),
            started_at: now,
            own_cpu_percent: u8::MAX,
            known: BTreeMap::new(),
            lost: BTreeMap::new(),
            departed: HashMap::new(),
            checked_at: now,
            grew_at: now,
            changed_at: now,
            requested_at: None,
            peak_known: 0,
        }
    }

    /// Records a sighting, received directly or listed by another VM. Returns whether the VM is
    /// new. Sightings that are too old, and those of departed processes, are ignored.
    pub(crate) fn record_sighting(&mut self, sighting: Sighting, now: Instant) -> bool {
        let address = sighting.address;
        let is_old = now.saturating_duration_since(sighting.seen_at) >= self.liveness_timeout();
        if is_old || self.departed.contains_key(&(address, sighting.boot)) {
            return false;
        }
        match self.known.get_mut(&address) {
            Some(known) if known.seen_at >= sighting.seen_at => false,
            Some(known) => {
                let is_restarted = known.boot != sighting.boot;
                *known = sighting;
                if is_restarted {
                    self.changed_at = now;
                }
                is_restarted
            }
            None => {
                self.lost.remove(&address);
                self.known.insert(address, sighting);
                self.peak_known = self.peak_known.max(self.known.len());
                self.grew_at = now;
                self.changed_at = now;
                true
            }
        }
    }

    /// Records that the process `boot` at `address` announced its shutdown, and removes it.
    pub(crate) fn record_departure(&mut self, address: SocketAddr, boot: u64, now: Instant) {
        self.departed.insert((address, boot), now);
        if self.known.get(&address).is_some_and(|it| it.boot == boot) {
            self.known.remove(&address);
            self.changed_at = now;
        }
    }

    /// How long a VM is kept without a new sighting.
    fn liveness_timeout(&self) -> Duration {
        LIVENESS_TIMEOUT.max(LIVENESS_TIMEOUT_PER_VM * self.known.len() as u32)
    }

    /// Removes and returns the VMs without a sighting for the liveness timeout. After a stall of
    /// this VM, the times of the last sightings are moved forward by the length of the stall.
    pub(crate) fn forget_silent(&mut self, now: Instant) -> Vec<Sighting> {
        let gap = now.saturating_duration_since(self.checked_at);
        self.checked_at = now;
        if gap >= STALL_THRESHOLD {
            for known in self.known.values_mut() {
                known.seen_at = (known.seen_at + gap).min(now);
            }
        }
        let timeout = self.liveness_timeout();
        let is_gone = |it: &Sighting| now.saturating_duration_since(it.seen_at) >= timeout;
        let gone: Vec<Sighting> = self
            .known
            .extract_if(.., |_, it| is_gone(it))
            .map(|(_, it)| it)
            .collect();
        if !gone.is_empty() {
            self.changed_at = now;
        }
        for it in &gone {
            if self.lost.len() < MAX_LOST {
                self.lost.insert(it.address, now);
            }
        }
        self.lost
            .retain(|_, at| now.saturating_duration_since(*at) < LOST_RETENTION);
        self.departed
            .retain(|_, at| now.saturating_duration_since(*at) < LOST_RETENTION);
        gone
    }

    /// Draws up to `count` VMs to list in a message to the local zone, from a random start in
    /// address order. VMs of that zone are included, since a recipient may receive nothing from
    /// some of them directly.
    pub(crate) fn sample(&mut self, count: usize) -> Vec<Sighting> {
        let draw = self.random.random();
        let from = self
            .random_known_vm(draw)
            .map_or(Bound::Unbounded, Bound::Included);
        let after = self.known.range((from, Bound::Unbounded));
        let before = self.known.range((Bound::Unbounded, from_excluded(from)));
        let all = after.chain(before).map(|(_, it)| it);
        all.take(count).cloned().collect()
    }

    /// All other VMs, in address order.
    pub(crate) fn all(&self) -> impl Iterator<Item = &Sighting> {
        self.known.values()
    }

    /// Finds a VM by address.
    pub(crate) fn get(&self, address: &SocketAddr) -> Option<&Sighting> {
        self.known.get(address)
    }

    /// The number of known VMs, including this one.
    pub(crate) fn vms(&self) -> usize {
        self.known.len() + 1
    }

    /// Sets the processor time of this VM, in percent of a core.
    pub(crate) fn set_own_cpu_percent(&mut self, cpu_percent: u8) {
        self.own_cpu_percent = cpu_percent;
    }

    /// The processor time of this VM, in percent of a core.
    pub(crate) fn own_cpu_percent(&self) -> u8 {
        self.own_cpu_percent
    }

    /// The number of known VMs that precede the one at `own` in an order by processor time, the most
    /// first, and by hash. It is the same at every VM and mixes the zones.
    pub(crate) fn rank(&self, own: SocketAddr) -> usize {
        let key = |cpu_percent, address| (Reverse(cpu_percent), address_hash(address));
        let own = key(self.own_cpu_percent, own);
        let others = self.known.values();
        let others = others.map(|it| key(it.cpu_percent, it.address));
        others.filter(|other| *other < own).count()
    }

    /// The number of known VMs that have more processor time than this one.
    pub(crate) fn vms_with_more_cpu(&self) -> usize {
        let others = self.known.values();
        let larger = others.filter(|it| it.cpu_percent > self.own_cpu_percent);
        larger.count()
    }

    /// The largest number of VMs known at once so far, including this one.
    pub(crate) fn peak_vms(&self) -> usize {
        self.peak_known + 1
    }

    /// How long no VM was added, restarted or removed.
    pub(crate) fn unchanged_for(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.changed_at)
    }

    /// Time since this VM started.
    pub(crate) fn uptime(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.started_at)
    }

    /// Whether enough time has passed since the start to find all other VMs.
    pub(crate) fn is_discovery_over(&self, now: Instant) -> bool {
        self.uptime(now) >= DISCOVERY_TIME
    }

    /// Whether to request the full view of another VM now. If so, the request is recorded as sent.
    pub(crate) fn take_view_request(&mut self, now: Instant) -> bool {
        let since = |at| now.saturating_duration_since(at);
        let is_growing = since(self.grew_at) < GROWTH_TIME;
        let is_due = is_growing
            || self
                .requested_at
                .is_none_or(|at| since(at) >= VIEW_REQUEST_INTERVAL);
        if is_due {
            self.requested_at = Some(now);
        }
        is_due
    }

    /// Picks one of the lost VMs by `draw`, a random number from 0 to 1.
    pub(crate) fn random_lost_vm(&self, draw: f64) -> Option<SocketAddr> {
        pick(self.lost.keys(), self.lost.len(), draw)
    }

    /// Picks one of the known VMs by `draw`, a random number from 0 to 1.
    pub(crate) fn random_known_vm(&self, draw: f64) -> Option<SocketAddr> {
        pick(self.known.keys(), self.known.len(), draw)
    }
}

/// The key of a VM in an order that is independent of its zone.
fn address_hash(address: SocketAddr) -> u64 {
    xxh3_64(address.to_string().as_bytes())
}

/// Picks one of `count` addresses by `draw`, a random number from 0 to 1.
fn pick<'a>(
    mut addresses: impl Iterator<Item = &'a SocketAddr>,
    count: usize,
    draw: f64,
) -> Option<SocketAddr> {
    let index = (draw * count as f64) as usize;
    addresses.nth(index.min(count.saturating_sub(1))).copied()
}

/// The end of the range that stops just before the one that starts at `from`.
fn from_excluded(from: Bound<SocketAddr>) -> Bound<SocketAddr> {
    match from {
        Bound::Included(address) => Bound::Excluded(address),
        other => other,
    }
}
