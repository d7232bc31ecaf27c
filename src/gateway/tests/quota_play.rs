//! A simulation of one organisation's requests against its quota, on VMs whose messages are
//! delayed, lost or blocked by a network partition.

use crate::callers::{Measure, Quota, QuotaBounds, Urgency};
use crate::gateway::tests::quota_ways::{QuotaScheme, TokenBucket};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

/// The length of a simulation step.
pub(super) const STEP: Duration = Duration::from_millis(20);
/// The number of steps between two gossip rounds of a VM.
const ROUND_STEPS: u32 = 10;
/// The size of a reply to a message, in bytes.
const REPLY_BYTES: usize = 40;
pub(super) const BOUNDS: QuotaBounds = QuotaBounds {
    window: Duration::from_secs(8),
    overage: 0.1,
    slack: 7_400.0,
};
/// The time of the first requests. By then the VMs receive each other's reports and have recorded a
/// full window.
pub(super) const WARM_UP_S: f64 = 8.0;

/// The requests of one organisation, and the conditions on the network and the VMs.
#[derive(Clone, Debug)]
pub(super) struct Scenario {
    pub(super) vms: usize,
    pub(super) rate_per_s: f64,
    /// The amount that may be granted at once; the rate if `None`.
    pub(super) burst: Option<f64>,
    pub(super) bounds: QuotaBounds,
    /// The amount of a request: the minimum, and the width of the range above it.
    pub(super) amount: (f64, f64),
    /// The demand as a multiple of the quota's rate, each with the second from which it applies.
    pub(super) demand: Vec<(f64, f64)>,
    /// The share of the requests that are urgent; the others have a target of seconds.
    pub(super) urgent_share: f64,
    /// Whether a few VMs receive most of the requests.
    pub(super) is_skewed: bool,
    /// A network partition that isolates the VMs with the highest indices from all others and from
    /// each other: its start and end in seconds, and the share of the VMs that it isolates.
    pub(super) partition: Option<(f64, f64, f64)>,
    /// The start and end, in seconds, of an outage of all VMs. They start again without any state.
    pub(super) restart: Option<(f64, f64)>,
    pub(super) loss: f64,
    pub(super) max_delay: Duration,
    pub(super) duration_s: f64,
    pub(super) seed: u64,
}

impl Scenario {
    pub(super) fn steady(vms: usize) -> Self {
        Self {
            vms,
            rate_per_s: 100_000.0,
            burst: None,
            bounds: BOUNDS,
            amount: (300.0, 1_200.0),
            demand: vec![(WARM_UP_S, 0.55)],
            urgent_share: 1.0,
            is_skewed: false,
            partition: None,
            restart: None,
            loss: 0.1,
            max_delay: Duration::from_millis(20),
            duration_s: 26.0,
            seed: 7,
        }
    }

    pub(super) fn demand_factor(&self, at_s: f64) -> f64 {
        let current = self.demand.iter().rev().find(|(from_s, _)| *from_s <= at_s);
        current.map_or(0.0, |(_, factor)| *factor)
    }

    pub(super) fn quota(&self) -> Quota {
        Quota {
            measure: Measure::Tokens {
                default_tokens: 200.0,
            },
            rate_per_s: self.rate_per_s,
            burst: self.burst(),
        }
    }

    /// Returns whether the network passes messages between two VMs.
    pub(super) fn passes(&self, from: usize, to: usize, at_s: f64) -> bool {
        let is_isolated = |vm: usize, share: f64| vm as f64 >= self.vms as f64 * (1.0 - share);
        self.partition.is_none_or(|(begin_s, end_s, share)| {
            let is_now = begin_s <= at_s && at_s < end_s;
            !is_now || (!is_isolated(from, share) && !is_isolated(to, share))
        })
    }

    /// Returns whether no VM runs.
    fn is_down(&self, at_s: f64) -> bool {
        let is_between = |(down_s, up_s)| down_s <= at_s && at_s < up_s;
        self.restart.is_some_and(is_between)
    }

    /// Returns the amount that may be granted in a window.
    fn allowed(&self) -> f64 {
        let whole = self.rate_per_s * self.bounds.window.as_secs_f64() + self.burst();
        whole * (1.0 + self.bounds.overage) + self.bounds.slack
    }

    pub(super) fn burst(&self) -> f64 {
        self.burst.unwrap_or(self.rate_per_s)
    }
}

/// The result of a simulation.
#[derive(Debug, Default)]
pub(super) struct SimulationResult {
    /// The largest amount granted in a window, as a fraction of the allowed amount.
    pub(super) max_granted_share: f64,
    /// The amount refused although an ideal token bucket that sees all requests at once would have
    /// granted it, as a fraction of the amount that the ideal bucket granted.
    pub(super) refused_within_quota: f64,
    /// The total amount granted, as a fraction of the amount that the ideal bucket granted.
    pub(super) granted_share: f64,
    /// The total amount granted, as a fraction of the largest amount that the limit of every window
    /// allows.
    pub(super) granted_of_limit: f64,
    /// The amount granted to urgent requests, as a fraction of what they asked for.
    pub(super) urgent_granted: f64,
    /// The messages sent per second and VM.
    pub(super) messages_per_s: f64,
    /// The bytes sent per second and VM.
    pub(super) bytes_per_s: f64,
}

/// The messages in flight, and the totals sent.
struct Network<M> {
    in_flight: BTreeMap<(Instant, u64), (usize, usize, M)>,
    sent: u64,
    bytes: usize,
}

impl<M> Network<M> {
    /// Sends a message, which may be lost or delayed.
    fn send(
        &mut self,
        scenario: &Scenario,
        at: SimTime,
        random: &mut SmallRng,
        envelope: Envelope<M>,
    ) {
        self.sent += 1;
        self.bytes += envelope.bytes;
        let is_lost = random.random::<f64>() < scenario.loss;
        if !is_lost && scenario.passes(envelope.from, envelope.to, at.elapsed_s) {
            let due = at.now + scenario.max_delay.mul_f64(random.random());
            let entry = (envelope.from, envelope.to, envelope.message);
            self.in_flight.insert((due, self.sent), entry);
        }
    }

    /// Returns the next message that has arrived by now.
    fn next(&mut self, now: Instant) -> Option<(usize, usize, M)> {
        let entry = self.in_flight.first_entry()?;
        (entry.key().0 <= now).then(|| entry.remove())
    }
}

/// A message with its sender, recipient and size in bytes.
struct Envelope<M> {
    from: usize,
    to: usize,
    message: M,
    bytes: usize,
}

/// A point in simulated time.
#[derive(Clone, Copy)]
struct SimTime {
    now: Instant,
    elapsed_s: f64,
}

/// The amounts granted within the quota window.
#[derive(Default)]
struct Window {
    grants: VecDeque<(Instant, f64)>,
    sum: f64,
}

impl Window {
    fn record(&mut self, amount: f64, now: Instant) {
        self.grants.push_back((now, amount));
        self.sum += amount;
    }

    fn prune(&mut self, length: Duration, now: Instant) {
        while let Some((at, amount)) = self.grants.front() {
            if now.saturating_duration_since(*at) <= length {
                return;
            }
            self.sum -= amount;
            self.grants.pop_front();
        }
    }
}

/// Simulates a scenario.
pub(super) fn simulate<W: QuotaScheme>(scenario: &Scenario) -> SimulationResult {
    let started_at = Instant::now();
    let mut random = SmallRng::seed_from_u64(scenario.seed);
    let mut scheme = W::new(scenario, started_at);
    let mut ideal = TokenBucket::new(scenario.rate_per_s, scenario.burst().max(1.0), started_at);
    let mut network = Network {
        in_flight: BTreeMap::new(),
        sent: 0,
        bytes: 0,
    };
    let mut window = Window::default();
    let mut ideal_window = Window::default();
    let mut limit_granted = 0.0;
    let mut result = SimulationResult::default();
    let (mut urgent, mut urgent_granted) = (0.0, 0.0);
    let (mut ideal_granted, mut refused, mut granted) = (0.0, 0.0, 0.0);
    let steps = (scenario.duration_s / STEP.as_secs_f64()) as u32;
    for step in 0..steps {
        let at = SimTime {
            now: started_at + STEP * step,
            elapsed_s: f64::from(step) * STEP.as_secs_f64(),
        };
        if scenario.is_down(at.elapsed_s) {
            scheme = W::new(scenario, at.now);
            network.in_flight.clear();
            continue;
        }
        send_round(&mut scheme, &mut network, scenario, step, at, &mut random);
        deliver(&mut scheme, &mut network, scenario, at, &mut random);
        for (vm, amount) in requests(scenario, at.elapsed_s, &mut random) {
            let is_within_quota = ideal.take(amount, at.now);
            let is_urgent =
                scenario.urgent_share >= 1.0 || random.random::<f64>() < scenario.urgent_share;
            let target = Duration::from_millis(if is_urgent { 250 } else { 6_000 });
            let charge = scenario.quota().charge(Some(amount));
            let charge = charge.with_urgency(Urgency::of(0, target));
            let is_granted = scheme.request(vm, charge, random.random(), at.now);
            if is_urgent {
                urgent += amount;
                urgent_granted += if is_granted { amount } else { 0.0 };
            }
            if is_within_quota {
                ideal_granted += amount;
            }
            if ideal_window.sum + amount <= scenario.allowed() {
                ideal_window.record(amount, at.now);
                limit_granted += amount;
            }
            if is_granted {
                granted += amount;
                window.record(amount, at.now);
            } else if is_within_quota {
                refused += amount;
            }
        }
        window.prune(scenario.bounds.window, at.now);
        ideal_window.prune(scenario.bounds.window, at.now);
        result.max_granted_share = result
            .max_granted_share
            .max(window.sum / scenario.allowed());
    }
    result.refused_within_quota = refused / ideal_granted;
    result.urgent_granted = urgent_granted / urgent;
    result.granted_share = granted / ideal_granted;
    result.granted_of_limit = granted / limit_granted;
    let vm_seconds = scenario.duration_s * scenario.vms as f64;
    result.messages_per_s = network.sent as f64 / vm_seconds;
    result.bytes_per_s = network.bytes as f64 / vm_seconds;
    result
}

/// Sends the messages of the VMs whose round is due. Rounds are staggered over the VMs, as they are
/// in production.
fn send_round<W: QuotaScheme>(
    scheme: &mut W,
    network: &mut Network<W::Message>,
    scenario: &Scenario,
    step: u32,
    at: SimTime,
    random: &mut SmallRng,
) {
    for vm in (0..scenario.vms).filter(|vm| step % ROUND_STEPS == *vm as u32 % ROUND_STEPS) {
        let round = (step / ROUND_STEPS) as usize + vm * 7;
        for (to, message, bytes) in scheme.round(vm, round, at.now) {
            let envelope = Envelope {
                from: vm,
                to,
                message,
                bytes,
            };
            network.send(scenario, at, random, envelope);
        }
    }
}

/// Delivers the messages that have arrived, and sends the replies.
fn deliver<W: QuotaScheme>(
    scheme: &mut W,
    network: &mut Network<W::Message>,
    scenario: &Scenario,
    at: SimTime,
    random: &mut SmallRng,
) {
    while let Some((from, to, message)) = network.next(at.now) {
        if let Some(reply) = scheme.receive(to, from, message, at.now) {
            let envelope = Envelope {
                from: to,
                to: from,
                message: reply,
                bytes: REPLY_BYTES,
            };
            network.send(scenario, at, random, envelope);
        }
    }
}

/// Returns the requests of one step as pairs of VM index and tokens.
fn requests(scenario: &Scenario, at_s: f64, random: &mut SmallRng) -> Vec<(usize, f64)> {
    let (minimum, width) = scenario.amount;
    let mean = minimum + width / 2.0;
    let mut tokens = scenario.rate_per_s * scenario.demand_factor(at_s) * STEP.as_secs_f64();
    let mut requests = Vec::new();
    while random.random::<f64>() * mean < tokens {
        tokens -= mean;
        let amount = minimum + width * random.random::<f64>();
        let draw: f64 = random.random();
        let position = if scenario.is_skewed {
            draw.powi(4)
        } else {
            draw
        };
        let vm = ((position * scenario.vms as f64) as usize).min(scenario.vms - 1);
        requests.push((vm, amount));
    }
    requests
}
