//! Schemes for enforcing a quota on many VMs: the one in production, and others to compare it with.

use crate::callers::{Charge, Ledger, UsageReport};
use crate::gateway::fleet::Incarnation;
use crate::gateway::gossip_targets::Targets;
use crate::gateway::server_limits::ServerLimits;
use crate::gateway::tests::quota_play::{BOUNDS, Scenario};
use crate::inventory::Name;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const ZONES: usize = 3;

/// A scheme for enforcing a quota on many VMs.
pub(super) trait QuotaScheme {
    /// A message between VMs.
    type Message: Clone;
    fn new(scenario: &Scenario, now: Instant) -> Self;
    /// Returns the messages of a VM's gossip round, with their recipients and sizes in bytes.
    fn round(
        &mut self,
        vm: usize,
        round: usize,
        now: Instant,
    ) -> Vec<(usize, Self::Message, usize)>;
    /// Handles a received message; may return a reply.
    fn receive(
        &mut self,
        vm: usize,
        from: usize,
        message: Self::Message,
        now: Instant,
    ) -> Option<Self::Message>;
    /// Returns whether a request at a VM is granted.
    fn request(&mut self, vm: usize, charge: Charge, draw: f64, now: Instant) -> bool;
}

/// A token bucket.
pub(super) struct TokenBucket {
    pub(super) rate_per_s: f64,
    pub(super) burst: f64,
    pub(super) level: f64,
    pub(super) at: Instant,
}

impl TokenBucket {
    pub(super) fn new(rate_per_s: f64, burst: f64, now: Instant) -> Self {
        Self {
            rate_per_s,
            burst,
            level: burst,
            at: now,
        }
    }

    pub(super) fn fill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.at);
        self.at = now;
        self.level = (self.level + self.rate_per_s * elapsed.as_secs_f64()).min(self.burst);
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

/// A usage report, and whether it is that of a single VM for its own zone.
type Report = (UsageReport, bool);

/// Sends usage reports between VMs as the serving role does.
struct ReportNetwork {
    /// The recipients of each VM's messages.
    targets: Vec<Targets>,
    index: BTreeMap<SocketAddr, usize>,
}

impl ReportNetwork {
    fn new(vms: usize) -> Self {
        let targets = (0..vms).map(|vm| {
            let mut targets = Targets::default();
            for other in (0..vms).filter(|other| *other != vm) {
                if zone(other) == zone(vm) {
                    targets.local.push(address(other));
                } else {
                    let of_zone = targets.remote.entry(zone_name(other)).or_default();
                    of_zone.push(address(other));
                }
            }
            targets
        });
        Self {
            targets: targets.collect(),
            index: (0..vms).map(|vm| (address(vm), vm)).collect(),
        }
    }

    /// The messages of one VM's round: recipients, reports and sizes in bytes.
    fn round(
        &self,
        ledger: &mut Ledger,
        vm: usize,
        round: usize,
        now: Instant,
    ) -> Vec<(usize, Report, usize)> {
        let vm_report = ledger.vm_report(now);
        let zone_report = ledger.zone_report(now);
        ledger.prune_expired(now);
        let targets = &self.targets[vm];
        let local = targets.local_part(round).into_iter();
        let local = local.map(|to| (to, (vm_report.clone(), true)));
        let remote = targets.remote_part(round).flat_map(|(_, vms)| vms);
        let remote = remote.map(|to| (to, (zone_report.clone(), false)));
        let bytes = |report: &UsageReport| 6 + 25 * report.usages.len();
        let messages = local.chain(remote).map(|(to, message)| {
            let size = bytes(&message.0);
            (self.index[&to], message, size)
        });
        messages.collect()
    }

    /// Applies a report that `from` sent.
    fn receive(&self, ledger: &mut Ledger, from: usize, (report, is_local): Report, now: Instant) {
        if is_local {
            let rounds = self.targets[from].local_rounds() as u32;
            let next_in = Duration::from_millis(200) * rounds;
            ledger.apply_vm_report(address(from), report, next_in, now);
        } else {
            ledger.apply_zone_report(&zone_name(from), report, now);
        }
    }
}

/// Each VM sends to a server with a rate limit as the serving role does.
pub(super) struct SharedServerLimit {
    server: Incarnation,
    limits: Vec<ServerLimits>,
    network: ReportNetwork,
}

impl QuotaScheme for SharedServerLimit {
    type Message = Report;

    fn new(scenario: &Scenario, now: Instant) -> Self {
        let server = Incarnation {
            id: "i-0".into(),
            started_ms: 1,
        };
        let limits = (0..scenario.vms).map(|_| {
            let mut limits = ServerLimits::new(now);
            limits.record_response(&server, Some(scenario.rate_per_s), now);
            limits
        });
        Self {
            limits: limits.collect(),
            server,
            network: ReportNetwork::new(scenario.vms),
        }
    }

    fn round(
        &mut self,
        vm: usize,
        round: usize,
        now: Instant,
    ) -> Vec<(usize, Self::Message, usize)> {
        let ledger = self.limits[vm].ledger();
        self.network.round(ledger, vm, round, now)
    }

    fn receive(
        &mut self,
        vm: usize,
        from: usize,
        message: Self::Message,
        now: Instant,
    ) -> Option<Self::Message> {
        let ledger = self.limits[vm].ledger();
        self.network.receive(ledger, from, message, now);
        None
    }

    fn request(&mut self, vm: usize, _charge: Charge, draw: f64, now: Instant) -> bool {
        let vms = self.limits.len();
        self.limits[vm].try_send(&self.server, Some(vms), draw, now)
    }
}

/// Each VM admits requests by the grants that the others report in gossip messages, as in
/// production.
pub(super) struct GossipedReports {
    ledgers: Vec<Ledger>,
    network: ReportNetwork,
}

impl QuotaScheme for GossipedReports {
    type Message = Report;

    fn new(scenario: &Scenario, now: Instant) -> Self {
        Self {
            ledgers: (0..scenario.vms)
                .map(|_| Ledger::new(scenario.bounds, now))
                .collect(),
            network: ReportNetwork::new(scenario.vms),
        }
    }

    fn round(
        &mut self,
        vm: usize,
        round: usize,
        now: Instant,
    ) -> Vec<(usize, Self::Message, usize)> {
        let ledger = &mut self.ledgers[vm];
        self.network.round(ledger, vm, round, now)
    }

    fn receive(
        &mut self,
        vm: usize,
        from: usize,
        message: Self::Message,
        now: Instant,
    ) -> Option<Self::Message> {
        let ledger = &mut self.ledgers[vm];
        self.network.receive(ledger, from, message, now);
        None
    }

    fn request(&mut self, vm: usize, charge: Charge, draw: f64, now: Instant) -> bool {
        let vms = self.ledgers.len();
        let outcome = self.ledgers[vm].try_grant(&"north".into(), charge, vms, draw, now);
        outcome.is_ok()
    }
}

/// Each VM enforces an equal share of the quota on its own.
pub(super) struct EvenSplit {
    buckets: Vec<TokenBucket>,
}

impl QuotaScheme for EvenSplit {
    type Message = ();

    fn new(scenario: &Scenario, now: Instant) -> Self {
        let whole = scenario.rate_per_s * BOUNDS.window.as_secs_f64() + scenario.rate_per_s;
        let margin = BOUNDS.overage * whole + BOUNDS.slack;
        let part = 1.0 / scenario.vms as f64;
        let bucket = || {
            TokenBucket::new(
                scenario.rate_per_s * part,
                (scenario.rate_per_s + margin) * part,
                now,
            )
        };
        Self {
            buckets: (0..scenario.vms).map(|_| bucket()).collect(),
        }
    }

    fn round(&mut self, _: usize, _: usize, _: Instant) -> Vec<(usize, (), usize)> {
        Vec::new()
    }

    fn receive(&mut self, _: usize, _: usize, (): (), _: Instant) -> Option<()> {
        None
    }

    fn request(&mut self, vm: usize, charge: Charge, _draw: f64, now: Instant) -> bool {
        let amount = charge.amount;
        self.buckets[vm].take(amount, now)
    }
}

/// One VM leases credits in advance. A share of the quota is split evenly among all VMs, for those
/// that cannot reach the leasing VM.
pub(super) struct CreditLeases {
    central: TokenBucket,
    local_buckets: Vec<TokenBucket>,
    requested: Vec<VecDeque<(Instant, f64)>>,
    leases: Vec<(f64, Instant)>,
}

/// The share of the quota that is split evenly.
const RESERVE_SHARE: f64 = 0.25;
/// The time after which an unspent credit expires.
const LEASE_LIFETIME: Duration = Duration::from_millis(1_000);

impl QuotaScheme for CreditLeases {
    /// Whether the amount is requested by the sender or granted to the recipient, and the amount.
    type Message = (bool, f64);

    fn new(scenario: &Scenario, now: Instant) -> Self {
        let EvenSplit { buckets } = EvenSplit::new(scenario, now);
        let local_buckets = buckets.into_iter().map(|it| {
            let rate_per_s = it.rate_per_s * RESERVE_SHARE;
            TokenBucket::new(rate_per_s, it.burst * RESERVE_SHARE, now)
        });
        let burst = scenario.rate_per_s * (1.0 - RESERVE_SHARE);
        Self {
            central: TokenBucket::new(burst, burst, now),
            local_buckets: local_buckets.collect(),
            requested: vec![VecDeque::new(); scenario.vms],
            leases: vec![(0.0, now); scenario.vms],
        }
    }

    fn round(&mut self, vm: usize, _: usize, now: Instant) -> Vec<(usize, (bool, f64), usize)> {
        let requested = &mut self.requested[vm];
        requested.retain(|(at, _)| now.saturating_duration_since(*at) < LEASE_LIFETIME);
        let per_round = requested.iter().map(|(_, amount)| amount).sum::<f64>() * 0.5;
        let largest = requested
            .iter()
            .map(|(_, amount)| *amount)
            .fold(0.0, f64::max);
        let missing = per_round.max(largest) - self.leases[vm].0;
        match missing > 0.0 {
            true => vec![(0, (true, missing), 40)],
            false => Vec::new(),
        }
    }

    fn receive(
        &mut self,
        vm: usize,
        _from: usize,
        (is_request, amount): (bool, f64),
        now: Instant,
    ) -> Option<(bool, f64)> {
        if is_request {
            self.central.fill(now);
            let granted = amount.min(self.central.level).max(0.0);
            self.central.level -= granted;
            return Some((false, granted));
        }
        let (left, _) = self.leases[vm];
        self.leases[vm] = (left + amount, now);
        None
    }

    fn request(&mut self, vm: usize, charge: Charge, _draw: f64, now: Instant) -> bool {
        let amount = charge.amount;
        self.requested[vm].push_back((now, amount));
        let (left, at) = self.leases[vm];
        if left >= amount && now.saturating_duration_since(at) < LEASE_LIFETIME {
            self.leases[vm].0 -= amount;
            return true;
        }
        self.local_buckets[vm].take(amount, now)
    }
}
