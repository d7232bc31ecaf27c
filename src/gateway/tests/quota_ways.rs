//! Ways to keep a quota at many VMs: the product's, and those that it is compared with.

use crate::callers::{Ledger, Organisation, UsageReport};
use crate::gateway::gossip_targets::Targets;
use crate::gateway::tests::quota_play::{BOUNDS, Load};
use crate::inventory::Name;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const ZONES: usize = 3;

/// A way to keep a quota at many VMs.
pub(super) trait Way {
    /// What VMs tell each other.
    type Message: Clone;
    fn new(load: &Load, now: Instant) -> Self;
    /// The messages of a VM's turn, with their receivers and bytes.
    fn turn(&mut self, vm: usize, turn: usize, now: Instant) -> Vec<(usize, Self::Message, usize)>;
    /// Takes a message; may answer.
    fn receive(
        &mut self,
        vm: usize,
        from: usize,
        message: Self::Message,
        now: Instant,
    ) -> Option<Self::Message>;
    fn ask(&mut self, vm: usize, amount: f64, draw: f64, now: Instant) -> bool;
}

/// A bucket that knows all requests at once.
pub(super) struct Bucket {
    pub(super) rate_per_s: f64,
    pub(super) burst: f64,
    pub(super) level: f64,
    pub(super) at: Instant,
}

impl Bucket {
    pub(super) fn new(rate_per_s: f64, burst: f64, now: Instant) -> Self {
        Self {
            rate_per_s,
            burst,
            level: burst,
            at: now,
        }
    }

    pub(super) fn fill(&mut self, now: Instant) {
        let gap = now.saturating_duration_since(self.at);
        self.at = now;
        self.level = (self.level + self.rate_per_s * gap.as_secs_f64()).min(self.burst);
    }

    pub(super) fn take(&mut self, amount: f64, now: Instant) -> bool {
        self.fill(now);
        let is_taken = self.level >= amount;
        if is_taken {
            self.level -= amount;
        }
        is_taken
    }
}

fn address(vm: usize) -> SocketAddr {
    let octets = [10, 0, (vm / 250) as u8, (vm % 250) as u8 + 1];
    SocketAddr::from((octets, 7_000))
}

fn zone(vm: usize) -> usize {
    vm % ZONES
}

fn zone_name(vm: usize) -> Name {
    Name::from(["a", "b", "c"][zone(vm)])
}

/// Tellings of what each VM granted, as the product does it.
pub(super) struct Tellings {
    organisation: Organisation,
    ledgers: Vec<Ledger>,
    targets: Vec<Targets>,
    index: BTreeMap<SocketAddr, usize>,
}

impl Way for Tellings {
    type Message = (UsageReport, bool);

    fn new(load: &Load, now: Instant) -> Self {
        let targets = (0..load.vms).map(|vm| {
            let mut targets = Targets::default();
            for other in (0..load.vms).filter(|other| *other != vm) {
                if zone(other) == zone(vm) {
                    targets.near.push(address(other));
                } else {
                    let of_zone = targets.far.entry(zone_name(other)).or_default();
                    of_zone.push(address(other));
                }
            }
            targets
        });
        Self {
            organisation: load.organisation(),
            ledgers: (0..load.vms).map(|_| Ledger::new(BOUNDS, now)).collect(),
            targets: targets.collect(),
            index: (0..load.vms).map(|vm| (address(vm), vm)).collect(),
        }
    }

    fn turn(&mut self, vm: usize, turn: usize, now: Instant) -> Vec<(usize, Self::Message, usize)> {
        let ledger = &mut self.ledgers[vm];
        let own = ledger.vm_report(now);
        let of_zone = ledger.zone_report(now);
        ledger.prune_expired(now);
        let targets = &self.targets[vm];
        let near = targets.local_part(turn).into_iter();
        let near = near.map(|to| (to, (own.clone(), true)));
        let far = targets.remote_part(turn).flat_map(|(_, vms)| vms);
        let far = far.map(|to| (to, (of_zone.clone(), false)));
        let messages = near.chain(far);
        let bytes = |tally: &UsageReport| 6 + 25 * tally.usages.len();
        messages
            .map(|(to, message)| {
                let length = bytes(&message.0);
                (self.index[&to], message, length)
            })
            .collect()
    }

    fn receive(
        &mut self,
        vm: usize,
        from: usize,
        (tally, is_near): Self::Message,
        now: Instant,
    ) -> Option<Self::Message> {
        if is_near {
            let next_in = Duration::from_millis(200) * self.targets[from].local_rounds() as u32;
            self.ledgers[vm].apply_vm_report(address(from), tally, next_in, now);
        } else {
            self.ledgers[vm].apply_zone_report(&zone_name(from), tally, now);
        }
        None
    }

    fn ask(&mut self, vm: usize, amount: f64, draw: f64, now: Instant) -> bool {
        let vms = self.ledgers.len();
        let taken = self.ledgers[vm].take(&self.organisation, Some(amount), vms, draw, now);
        taken.is_ok()
    }
}

/// An even part for each VM.
pub(super) struct EvenParts {
    buckets: Vec<Bucket>,
}

impl Way for EvenParts {
    type Message = ();

    fn new(load: &Load, now: Instant) -> Self {
        let whole = load.rate_per_s * BOUNDS.window.as_secs_f64() + load.rate_per_s;
        let margin = BOUNDS.overage * whole + BOUNDS.slack;
        let part = 1.0 / load.vms as f64;
        let bucket = || {
            Bucket::new(
                load.rate_per_s * part,
                (load.rate_per_s + margin) * part,
                now,
            )
        };
        Self {
            buckets: (0..load.vms).map(|_| bucket()).collect(),
        }
    }

    fn turn(&mut self, _: usize, _: usize, _: Instant) -> Vec<(usize, (), usize)> {
        Vec::new()
    }

    fn receive(&mut self, _: usize, _: usize, (): (), _: Instant) -> Option<()> {
        None
    }

    fn ask(&mut self, vm: usize, amount: f64, _draw: f64, now: Instant) -> bool {
        self.buckets[vm].take(amount, now)
    }
}

/// One VM hands out credits in advance; a part is kept back for those that cannot reach it.
pub(super) struct Credits {
    home: Bucket,
    reserves: Vec<Bucket>,
    wanted: Vec<VecDeque<(Instant, f64)>>,
    credits: Vec<(f64, Instant)>,
}

/// The part of the quota that is kept back evenly.
const RESERVE: f64 = 0.25;
/// After how long a credit that was not spent ends.
const CREDIT_FOR: Duration = Duration::from_millis(1_000);

impl Way for Credits {
    /// Wanted by the sender, or granted to the receiver.
    type Message = (bool, f64);

    fn new(load: &Load, now: Instant) -> Self {
        let EvenParts { buckets } = EvenParts::new(load, now);
        let reserves = buckets.into_iter().map(|it| {
            let rate_per_s = it.rate_per_s * RESERVE;
            Bucket::new(rate_per_s, it.burst * RESERVE, now)
        });
        let burst = load.rate_per_s * (1.0 - RESERVE);
        Self {
            home: Bucket::new(burst, burst, now),
            reserves: reserves.collect(),
            wanted: vec![VecDeque::new(); load.vms],
            credits: vec![(0.0, now); load.vms],
        }
    }

    fn turn(&mut self, vm: usize, _: usize, now: Instant) -> Vec<(usize, (bool, f64), usize)> {
        let wanted = &mut self.wanted[vm];
        wanted.retain(|(at, _)| now.saturating_duration_since(*at) < CREDIT_FOR);
        let per_turn = wanted.iter().map(|(_, amount)| amount).sum::<f64>() * 0.5;
        let largest = wanted.iter().map(|(_, amount)| *amount).fold(0.0, f64::max);
        let missing = per_turn.max(largest) - self.credits[vm].0;
        match missing > 0.0 {
            true => vec![(0, (true, missing), 40)],
            false => Vec::new(),
        }
    }

    fn receive(
        &mut self,
        vm: usize,
        _from: usize,
        (is_wanted, amount): (bool, f64),
        now: Instant,
    ) -> Option<(bool, f64)> {
        if is_wanted {
            self.home.fill(now);
            let granted = amount.min(self.home.level).max(0.0);
            self.home.level -= granted;
            return Some((false, granted));
        }
        let (left, _) = self.credits[vm];
        self.credits[vm] = (left + amount, now);
        None
    }

    fn ask(&mut self, vm: usize, amount: f64, _draw: f64, now: Instant) -> bool {
        self.wanted[vm].push_back((now, amount));
        let (left, at) = self.credits[vm];
        if left >= amount && now.saturating_duration_since(at) < CREDIT_FOR {
            self.credits[vm].0 -= amount;
            return true;
        }
        self.reserves[vm].take(amount, now)
    }
}
