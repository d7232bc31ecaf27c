//! Quotas over many VMs, whose messages are late, lost or cut off: what is granted in all, and what
//! is refused below the quota.

use crate::callers::{Granted, Ledger, Measure, Organisation, Quota, QuotaBounds, Tally};
use crate::gateway::targets::Targets;
use crate::inventory::Name;
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const ZONES: usize = 3;
const STEP: Duration = Duration::from_millis(20);
const BOUNDS: QuotaBounds = QuotaBounds {
    window: Duration::from_secs(8),
    overage: 0.1,
    slack: 7_400.0,
};
/// When the first requests come: VMs hear each other before, and remember a window.
const WARM_UP_S: f64 = 8.0;
/// Tokens of a request: the least, and the span above it.
const AMOUNT: (f64, f64) = (300.0, 1_200.0);

/// A load on the quota of one organisation.
#[derive(Clone, Debug)]
struct Load {
    vms: usize,
    rate_per_s: f64,
    /// From which second on how many times the quota's rate is asked for.
    asked: Vec<(f64, f64)>,
    /// Whether few VMs get most of it.
    is_lopsided: bool,
    /// From and to which second the last part of the VMs hears nobody, and which part.
    cut: Option<(f64, f64, f64)>,
    /// From and to which second no VM runs; all begin anew after it.
    restart: Option<(f64, f64)>,
    loss: f64,
    max_late: Duration,
    lasts_s: f64,
    seed: u64,
}

impl Load {
    fn calm(vms: usize) -> Self {
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

    fn asked_x(&self, at_s: f64) -> f64 {
        let begun = self.asked.iter().rev().find(|(from_s, _)| *from_s <= at_s);
        begun.map_or(0.0, |(_, x)| *x)
    }

    fn organisation(&self) -> Organisation {
        Organisation {
            name: "north".into(),
            priority: None,
            quota: Some(Quota {
                measure: Measure::Tokens { untold: 200.0 },
                rate_per_s: self.rate_per_s,
                burst: self.rate_per_s,
            }),
        }
    }

    /// Whether a message passes between two VMs.
    fn passes(&self, from: usize, to: usize, at_s: f64) -> bool {
        let is_cut = |vm: usize, share: f64| vm as f64 >= self.vms as f64 * (1.0 - share);
        self.cut.is_none_or(|(begin_s, end_s, share)| {
            let is_now = begin_s <= at_s && at_s < end_s;
            !is_now || (!is_cut(from, share) && !is_cut(to, share))
        })
    }
}

/// What came of a load.
#[derive(Debug, Default)]
struct Outcome {
    /// The most that was granted in a window, as a part of what the bound allows.
    most: f64,
    /// Refused although a bucket that knows all at once would have granted it, as a part of that.
    refused_below: f64,
    /// Granted over all, as a part of what such a bucket grants.
    granted: f64,
    /// Messages a second and VM, and their bytes.
    messages_per_s: f64,
    bytes_per_s: f64,
}

/// A way to keep a quota at many VMs.
trait Way {
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
struct Bucket {
    rate_per_s: f64,
    burst: f64,
    level: f64,
    at: Instant,
}

impl Bucket {
    fn new(rate_per_s: f64, burst: f64, now: Instant) -> Self {
        Self {
            rate_per_s,
            burst,
            level: burst,
            at: now,
        }
    }

    fn fill(&mut self, now: Instant) {
        let gap = now.saturating_duration_since(self.at);
        self.at = now;
        self.level = (self.level + self.rate_per_s * gap.as_secs_f64()).min(self.burst);
    }

    fn take(&mut self, amount: f64, now: Instant) -> bool {
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
struct Tellings {
    organisation: Organisation,
    ledgers: Vec<Ledger>,
    targets: Vec<Targets>,
    index: BTreeMap<SocketAddr, usize>,
}

impl Way for Tellings {
    type Message = (Tally, bool);

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
        let own = ledger.own_tally(now);
        let of_zone = ledger.zone_tally(now);
        ledger.forget(now);
        let targets = &self.targets[vm];
        let near = targets.near_part(turn).into_iter();
        let near = near.map(|to| (to, (own.clone(), true)));
        let far = targets.far_part(turn).flat_map(|(_, vms)| vms);
        let far = far.map(|to| (to, (of_zone.clone(), false)));
        let messages = near.chain(far);
        let bytes = |tally: &Tally| 6 + 25 * tally.usages.len();
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
            let next_in = Duration::from_millis(200) * self.targets[from].near_turns() as u32;
            self.ledgers[vm].take_near(address(from), tally, next_in, now);
        } else {
            self.ledgers[vm].take_far(&zone_name(from), tally, now);
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
struct EvenParts {
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
struct Credits {
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

/// Plays a load.
fn play<W: Way>(load: &Load) -> Outcome {
    let began = Instant::now();
    let mut random = SmallRng::seed_from_u64(load.seed);
    let mut way = W::new(load, began);
    let mut ideal = Bucket::new(load.rate_per_s, load.rate_per_s, began);
    let mut mail: BTreeMap<(Instant, u64), (usize, usize, W::Message)> = BTreeMap::new();
    let mut window: VecDeque<(Instant, f64)> = VecDeque::new();
    let allowed = (load.rate_per_s * 9.0) * (1.0 + BOUNDS.overage) + BOUNDS.slack;
    let mut outcome = Outcome::default();
    let (mut owed, mut refused, mut granted, mut in_window, mut sent) = (0.0, 0.0, 0.0, 0.0, 0);
    let (mut messages, mut bytes) = (0usize, 0usize);
    let steps = (load.lasts_s / STEP.as_secs_f64()) as u32;
    let mean = AMOUNT.0 + AMOUNT.1 / 2.0;
    for step in 0..steps {
        let now = began + STEP * step;
        let at_s = f64::from(step) * STEP.as_secs_f64();
        let mut post = |way: &mut W,
                        random: &mut SmallRng,
                        mail: &mut BTreeMap<(Instant, u64), (usize, usize, W::Message)>,
                        from: usize,
                        to: usize,
                        message: W::Message| {
            let _ = way;
            sent += 1;
            if random.random::<f64>() >= load.loss && load.passes(from, to, at_s) {
                let late = load.max_late.mul_f64(random.random());
                mail.insert((now + late, sent), (from, to, message));
            }
        };
        let is_down = |(down_s, up_s)| down_s <= at_s && at_s < up_s;
        if load.restart.is_some_and(is_down) {
            way = W::new(load, now);
            mail.clear();
            continue;
        }
        for vm in 0..load.vms {
            let offset = vm as u32 % 10;
            if step % 10 == offset {
                // Turns begin anywhere, as they do in the product.
                let turn = (step / 10) as usize + vm * 7;
                for (to, message, length) in way.turn(vm, turn, now) {
                    messages += 1;
                    bytes += length;
                    post(&mut way, &mut random, &mut mail, vm, to, message);
                }
            }
        }
        while let Some(entry) = mail.first_entry() {
            if entry.key().0 > now {
                break;
            }
            let (from, to, message) = entry.remove();
            if let Some(answer) = way.receive(to, from, message, now) {
                messages += 1;
                bytes += 40;
                post(&mut way, &mut random, &mut mail, to, from, answer);
            }
        }
        let mut tokens = load.rate_per_s * load.asked_x(at_s) * STEP.as_secs_f64();
        while random.random::<f64>() * mean < tokens {
            tokens -= mean;
            let amount = AMOUNT.0 + AMOUNT.1 * random.random::<f64>();
            let draw: f64 = random.random();
            let place = if load.is_lopsided { draw.powi(4) } else { draw };
            let vm = ((place * load.vms as f64) as usize).min(load.vms - 1);
            let is_owed = ideal.take(amount, now);
            let is_granted = way.ask(vm, amount, random.random(), now);
            if is_owed {
                owed += amount;
            }
            if is_granted {
                granted += amount;
                in_window += amount;
                window.push_back((now, amount));
            } else if is_owed {
                refused += amount;
            }
        }
        while let Some((at, amount)) = window.front() {
            if now.saturating_duration_since(*at) <= BOUNDS.window {
                break;
            }
            in_window -= amount;
            window.pop_front();
        }
        outcome.most = outcome.most.max(in_window / allowed);
    }
    outcome.refused_below = refused / owed;
    outcome.granted = granted / owed;
    outcome.messages_per_s = messages as f64 / load.lasts_s / load.vms as f64;
    outcome.bytes_per_s = bytes as f64 / load.lasts_s / load.vms as f64;
    outcome
}

/// The loads of the comparison, by name.
fn loads(vms: usize) -> Vec<(&'static str, Load)> {
    let calm = Load::calm(vms);
    let hot = vec![(WARM_UP_S, 0.55), (12.0, 2.8), (20.0, 0.55)];
    let late = Duration::from_millis(1_000);
    vec![
        ("calm", calm.clone()),
        (
            "calm, small quota",
            Load {
                rate_per_s: 1_900.0,
                lasts_s: 60.0,
                ..calm.clone()
            },
        ),
        (
            "lopsided",
            Load {
                is_lopsided: true,
                ..calm.clone()
            },
        ),
        (
            "five times its usual",
            Load {
                asked: hot.clone(),
                ..calm.clone()
            },
        ),
        (
            "the same, small quota",
            Load {
                asked: hot.clone(),
                rate_per_s: 1_900.0,
                ..calm.clone()
            },
        ),
        (
            "the same, messages late by up to 1 s",
            Load {
                asked: hot.clone(),
                max_late: late,
                ..calm.clone()
            },
        ),
        (
            "the same, all restarted in the midst of it",
            Load {
                asked: hot.clone(),
                restart: Some((15.0, 16.0)),
                ..calm.clone()
            },
        ),
        (
            "the same, a third cut off",
            Load {
                asked: hot,
                cut: Some((10.0, 24.0, 1.0 / 3.0)),
                ..calm
            },
        ),
    ]
}

fn row<W: Way>(name: &str, way: &str, load: &Load) -> Outcome {
    let outcome = play::<W>(load);
    println!(
        "| {} | {name} | {way} | {:.2} | {:.3} | {:.2} | {:.0} | {:.0} |",
        load.vms,
        outcome.most,
        outcome.refused_below,
        outcome.granted,
        outcome.messages_per_s,
        outcome.bytes_per_s
    );
    outcome
}

#[test]
fn the_quota_holds_and_little_is_refused_below_it() {
    println!("| VMs | load | way | most | refused below | granted | messages/s | bytes/s |");
    for vms in [9, 67, 195, 410] {
        for (name, load) in loads(vms) {
            let told = row::<Tellings>(name, "tellings", &load);
            row::<EvenParts>(name, "even parts", &load);
            row::<Credits>(name, "credits", &load);
            if std::env::var("Q").is_ok() {
                continue;
            }
            assert!(told.most <= 1.0, "{vms} VMs, {name}: {told:?}");
            if load.asked.len() == 1 {
                assert!(told.refused_below <= 0.01, "{vms} VMs, {name}: {told:?}");
            }
        }
    }
}

#[test]
fn a_grant_that_did_not_run_is_taken_back() {
    let now = Instant::now();
    let load = Load {
        rate_per_s: 1_000.0,
        ..Load::calm(1)
    };
    let organisation = load.organisation();
    let bounds = QuotaBounds {
        slack: 0.0,
        overage: 0.0,
        ..BOUNDS
    };
    let mut ledger = Ledger::new(bounds, now);
    // What was granted before its start is forgotten by then.
    let now = now + BOUNDS.window;
    let take = |ledger: &mut Ledger| -> Option<Granted> {
        let taken = ledger.take(&organisation, Some(900.0), 1, 0.0, now);
        taken.ok().flatten()
    };
    let granted = take(&mut ledger).expect("it is within the quota");
    assert_eq!(take(&mut ledger), None);
    ledger.take_back(&granted);
    assert!(take(&mut ledger).is_some());
}

#[test]
fn a_lower_quota_binds_at_once_and_is_granted_from_the_change_on() {
    let mut now = Instant::now();
    let high = Load::calm(1).organisation();
    let low = Load {
        rate_per_s: 5_000.0,
        ..Load::calm(1)
    }
    .organisation();
    let bounds = QuotaBounds {
        slack: 0.0,
        overage: 0.0,
        ..BOUNDS
    };
    let mut ledger = Ledger::new(bounds, now);
    for _ in 0..400 {
        now += STEP;
        let taken = ledger.take(&high, Some(1_500.0), 1, 0.0, now);
        assert!(taken.is_ok());
    }
    let mut granted = 0.0;
    for _ in 0..400 {
        now += STEP;
        if ledger.take(&low, Some(1_000.0), 1, 0.0, now).is_ok() {
            granted += 1_000.0;
        }
    }
    assert!(granted <= 45_000.0, "{granted}");
    assert!(granted >= 36_000.0, "{granted}");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]
    #[test]
    fn the_sum_holds_whatever_becomes_of_messages(
        vms in 3usize..70,
        rate_per_s in 1_900.0f64..250_000.0,
        loss in 0.0f64..0.5,
        late_ms in 0u64..300,
        x in 0.5f64..4.2,
        restart_s in proptest::option::of(10.5f64..18.0),
        is_lopsided in any::<bool>(),
        cut in proptest::option::of((6.0f64..14.0, 0.1f64..0.9)),
        seed in any::<u64>(),
    ) {
        let load = Load {
            rate_per_s,
            loss,
            max_late: Duration::from_millis(late_ms),
            asked: vec![(WARM_UP_S, 0.55), (10.0, x)],
            is_lopsided,
            restart: restart_s.map(|down_s| (down_s, down_s + 1.0)),
            cut: cut.map(|(from_s, share)| (from_s, from_s + 5.0, share)),
            lasts_s: 20.0,
            seed,
            ..Load::calm(vms)
        };
        let outcome = play::<Tellings>(&load);
        prop_assert!(outcome.most <= 1.0, "{outcome:?}");
    }
}
