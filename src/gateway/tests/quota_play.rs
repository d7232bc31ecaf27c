//! A play of one organisation's load on its quota, over VMs whose messages are late, lost or cut off.

use crate::callers::{Measure, Organisation, Quota, QuotaBounds};
use crate::gateway::tests::quota_ways::{Bucket, Way};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

/// The time from one look at all VMs to the next.
pub(super) const STEP: Duration = Duration::from_millis(20);
/// Steps from one turn of a VM to its next.
const TURN_STEPS: u32 = 10;
/// Bytes of an answer to a message.
const ANSWER_BYTES: usize = 40;
pub(super) const BOUNDS: QuotaBounds = QuotaBounds {
    window: Duration::from_secs(8),
    overage: 0.1,
    slack: 7_400.0,
};
/// When the first requests come: VMs hear each other before, and remember a window.
pub(super) const WARM_UP_S: f64 = 8.0;
/// Tokens of a request: the least, and the span above it.
const AMOUNT: (f64, f64) = (300.0, 1_200.0);

/// A load on the quota of one organisation.
#[derive(Clone, Debug)]
pub(super) struct Load {
    pub(super) vms: usize,
    pub(super) rate_per_s: f64,
    /// From which second on how many times the quota's rate is asked for.
    pub(super) asked: Vec<(f64, f64)>,
    /// Whether few VMs get most of it.
    pub(super) is_lopsided: bool,
    /// From and to which second the last part of the VMs hears nobody, and which part.
    pub(super) cut: Option<(f64, f64, f64)>,
    /// From and to which second no VM runs; all begin anew after it.
    pub(super) restart: Option<(f64, f64)>,
    pub(super) loss: f64,
    pub(super) max_late: Duration,
    pub(super) lasts_s: f64,
    pub(super) seed: u64,
}

impl Load {
    pub(super) fn calm(vms: usize) -> Self {
        Self {
            vms,
            rate_per_s: 100_000.0,
            asked: vec![(WARM_UP_S, 0.55)],
            is_lopsided: false,
            cut: None,
            restart: None,
            loss: 0.1,
            max_late: Duration::from_millis(20),
            lasts_s: 26.0,
            seed: 7,
        }
    }

    pub(super) fn asked_x(&self, at_s: f64) -> f64 {
        let begun = self.asked.iter().rev().find(|(from_s, _)| *from_s <= at_s);
        begun.map_or(0.0, |(_, x)| *x)
    }

    pub(super) fn organisation(&self) -> Organisation {
        Organisation {
            name: "north".into(),
            priority: None,
            quota: Some(Quota {
                measure: Measure::Tokens {
                    default_tokens: 200.0,
                },
                rate_per_s: self.rate_per_s,
                burst: self.rate_per_s,
            }),
        }
    }

    /// Whether a message passes between two VMs.
    pub(super) fn passes(&self, from: usize, to: usize, at_s: f64) -> bool {
        let is_cut = |vm: usize, share: f64| vm as f64 >= self.vms as f64 * (1.0 - share);
        self.cut.is_none_or(|(begin_s, end_s, share)| {
            let is_now = begin_s <= at_s && at_s < end_s;
            !is_now || (!is_cut(from, share) && !is_cut(to, share))
        })
    }

    /// Whether no VM runs.
    fn is_down(&self, at_s: f64) -> bool {
        let is_between = |(down_s, up_s)| down_s <= at_s && at_s < up_s;
        self.restart.is_some_and(is_between)
    }

    /// What may be granted in a window.
    fn allowed(&self) -> f64 {
        let whole = self.rate_per_s * BOUNDS.window.as_secs_f64() + self.rate_per_s;
        whole * (1.0 + BOUNDS.overage) + BOUNDS.slack
    }
}

/// What came of a load.
#[derive(Debug, Default)]
pub(super) struct Outcome {
    /// The most that was granted in a window, as a part of what the bound allows.
    pub(super) most: f64,
    /// Refused although a bucket that knows all at once would have granted it, as a part of that.
    pub(super) refused_below: f64,
    /// Granted over all, as a part of what such a bucket grants.
    pub(super) granted: f64,
    /// Messages a second and VM, and their bytes.
    pub(super) messages_per_s: f64,
    pub(super) bytes_per_s: f64,
}

/// Messages on their way, and what was sent in all.
struct Network<M> {
    mail: BTreeMap<(Instant, u64), (usize, usize, M)>,
    sent: u64,
    bytes: usize,
}

impl<M> Network<M> {
    /// Sends a message, which may be lost or come late.
    fn send(&mut self, load: &Load, at: Moment, random: &mut SmallRng, letter: Letter<M>) {
        self.sent += 1;
        self.bytes += letter.bytes;
        let is_lost = random.random::<f64>() < load.loss;
        if !is_lost && load.passes(letter.from, letter.to, at.since_s) {
            let due = at.now + load.max_late.mul_f64(random.random());
            let entry = (letter.from, letter.to, letter.message);
            self.mail.insert((due, self.sent), entry);
        }
    }

    /// The next message that has come by now.
    fn next(&mut self, now: Instant) -> Option<(usize, usize, M)> {
        let entry = self.mail.first_entry()?;
        (entry.key().0 <= now).then(|| entry.remove())
    }
}

/// A message with its bytes.
struct Letter<M> {
    from: usize,
    to: usize,
    message: M,
    bytes: usize,
}

/// A moment of a play.
#[derive(Clone, Copy)]
struct Moment {
    now: Instant,
    since_s: f64,
}

/// What was granted within the quota's window.
#[derive(Default)]
struct Window {
    grants: VecDeque<(Instant, f64)>,
    sum: f64,
}

impl Window {
    fn note(&mut self, amount: f64, now: Instant) {
        self.grants.push_back((now, amount));
        self.sum += amount;
    }

    fn forget(&mut self, now: Instant) {
        while let Some((at, amount)) = self.grants.front() {
            if now.saturating_duration_since(*at) <= BOUNDS.window {
                return;
            }
            self.sum -= amount;
            self.grants.pop_front();
        }
    }
}

/// Plays a load.
pub(super) fn play<W: Way>(load: &Load) -> Outcome {
    let began = Instant::now();
    let mut random = SmallRng::seed_from_u64(load.seed);
    let mut way = W::new(load, began);
    let mut ideal = Bucket::new(load.rate_per_s, load.rate_per_s, began);
    let mut network = Network {
        mail: BTreeMap::new(),
        sent: 0,
        bytes: 0,
    };
    let mut window = Window::default();
    let mut outcome = Outcome::default();
    let (mut owed, mut refused, mut granted) = (0.0, 0.0, 0.0);
    let steps = (load.lasts_s / STEP.as_secs_f64()) as u32;
    for step in 0..steps {
        let at = Moment {
            now: began + STEP * step,
            since_s: f64::from(step) * STEP.as_secs_f64(),
        };
        if load.is_down(at.since_s) {
            way = W::new(load, at.now);
            network.mail.clear();
            continue;
        }
        speak(&mut way, &mut network, load, step, at, &mut random);
        listen(&mut way, &mut network, load, at, &mut random);
        for (vm, amount) in requests(load, at.since_s, &mut random) {
            let is_owed = ideal.take(amount, at.now);
            let is_granted = way.ask(vm, amount, random.random(), at.now);
            if is_owed {
                owed += amount;
            }
            if is_granted {
                granted += amount;
                window.note(amount, at.now);
            } else if is_owed {
                refused += amount;
            }
        }
        window.forget(at.now);
        outcome.most = outcome.most.max(window.sum / load.allowed());
    }
    outcome.refused_below = refused / owed;
    outcome.granted = granted / owed;
    let vm_seconds = load.lasts_s * load.vms as f64;
    outcome.messages_per_s = network.sent as f64 / vm_seconds;
    outcome.bytes_per_s = network.bytes as f64 / vm_seconds;
    outcome
}

/// Lets those VMs speak whose turn it is; turns begin anywhere, as they do in the product.
fn speak<W: Way>(
    way: &mut W,
    network: &mut Network<W::Message>,
    load: &Load,
    step: u32,
    at: Moment,
    random: &mut SmallRng,
) {
    for vm in (0..load.vms).filter(|vm| step % TURN_STEPS == *vm as u32 % TURN_STEPS) {
        let turn = (step / TURN_STEPS) as usize + vm * 7;
        for (to, message, bytes) in way.turn(vm, turn, at.now) {
            let letter = Letter {
                from: vm,
                to,
                message,
                bytes,
            };
            network.send(load, at, random, letter);
        }
    }
}

/// Hands over what has come.
fn listen<W: Way>(
    way: &mut W,
    network: &mut Network<W::Message>,
    load: &Load,
    at: Moment,
    random: &mut SmallRng,
) {
    while let Some((from, to, message)) = network.next(at.now) {
        if let Some(answer) = way.receive(to, from, message, at.now) {
            let letter = Letter {
                from: to,
                to: from,
                message: answer,
                bytes: ANSWER_BYTES,
            };
            network.send(load, at, random, letter);
        }
    }
}

/// The requests of one step: at which VM, and how many tokens.
fn requests(load: &Load, at_s: f64, random: &mut SmallRng) -> Vec<(usize, f64)> {
    let mean = AMOUNT.0 + AMOUNT.1 / 2.0;
    let mut tokens = load.rate_per_s * load.asked_x(at_s) * STEP.as_secs_f64();
    let mut requests = Vec::new();
    while random.random::<f64>() * mean < tokens {
        tokens -= mean;
        let amount = AMOUNT.0 + AMOUNT.1 * random.random::<f64>();
        let draw: f64 = random.random();
        let place = if load.is_lopsided { draw.powi(4) } else { draw };
        let vm = ((place * load.vms as f64) as usize).min(load.vms - 1);
        requests.push((vm, amount));
    }
    requests
}
