//! The speed of servers: what VMs learn of it together, and what servers state themselves.

use crate::gateway::fleet::Incarnation;
use crate::gateway::server_speed::{ListedRun, ServerSpeeds, StatedLoad, Work};
use crate::gateway::tests::address;
use crate::inventory::Name;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::time::{Duration, Instant};

const ZONES: usize = 4;
const ROUND: Duration = Duration::from_millis(200);

fn run(index: usize) -> Incarnation {
    Incarnation {
        id: format!("i-{index}").into(),
        started_ms: 7,
    }
}

fn listed(runners: usize) -> Vec<ListedRun> {
    let runs = (0..runners).map(|index| ListedRun {
        run: run(index),
        service: "s".into(),
    });
    runs.collect()
}

/// VMs that relay streams of some models, each of which is on some runners, and exchange what they
/// learn.
struct Fleet {
    vms: Vec<ServerSpeeds>,
    slowness: Vec<f64>,
    models: usize,
    copies: usize,
    /// The runner of each copy of each model.
    placed: Vec<usize>,
    lost: f64,
    random: SmallRng,
    now: Instant,
    round: usize,
}

impl Fleet {
    fn new(vms: usize, slowness: Vec<f64>, lost: f64, seed: u64) -> Self {
        let (models, copies) = (60, 4);
        let mut random = SmallRng::seed_from_u64(seed);
        let placed = (0..models * copies).map(|_| random.random_range(0..slowness.len()));
        Self {
            placed: placed.collect(),
            vms: (0..vms).map(|_| ServerSpeeds::default()).collect(),
            slowness,
            models,
            copies,
            lost,
            random,
            now: Instant::now(),
            round: 0,
        }
    }

    /// Lets each VM relay `streams` per second, a tenth of which wait for the prompts of others.
    fn run(&mut self, time: Duration, streams_per_s: f64) {
        let end = self.now + time;
        let runners = self.slowness.len();
        while self.now < end {
            for vm in 0..self.vms.len() {
                if self.random.random::<f64>() < streams_per_s * ROUND.as_secs_f64() {
                    let model = self.random.random_range(0..self.models);
                    let copy = self.random.random_range(0..self.copies);
                    let runner = self.placed[model * self.copies + copy] % runners;
                    let usual_ms = 20.0 * 1.04_f64.powi(model as i32);
                    let spread = 0.25 * (self.random.random::<f64>() * 2.0 - 1.0);
                    let mut took_ms = usual_ms * self.slowness[runner] * spread.exp();
                    if self.random.random_bool(0.1) {
                        took_ms *= 4.0;
                    }
                    let took = Duration::from_secs_f64(took_ms / 1_000.0);
                    let work = Work::Event(format!("m-{model}").into());
                    self.vms[vm].note(&run(runner), &work, took, 1.0, self.now);
                }
            }
            self.exchange();
            self.now += ROUND;
            self.round += 1;
        }
    }

    fn exchange(&mut self) {
        for sender in 0..self.vms.len() {
            let round = self.round + sender * 7_919;
            let vm = &self.vms[sender];
            vm.refresh(|| listed(self.slowness.len()), self.now);
            let zone: Name = format!("z{}", sender % ZONES).into();
            let (own, of_zone) = (vm.own_part(round), vm.zone_part(round));
            for (receiver, vm) in self.vms.iter().enumerate() {
                if receiver == sender || self.random.random::<f64>() < self.lost {
                    continue;
                }
                let is_local = receiver % ZONES == sender % ZONES;
                // Other zones take a few rounds.
                let is_due = (round + receiver).is_multiple_of(4);
                match (is_local, &own, &of_zone) {
                    (true, Some(own), _) => vm.apply_vm(address(sender), own, self.now),
                    (false, _, Some(of_zone)) if is_due => vm.apply_zone(&zone, of_zone, self.now),
                    _ => {}
                }
            }
        }
    }

    /// The largest error of a VM on a runner that is in use, as a factor, and the mean of all errors.
    fn errors(&self) -> (f64, f64) {
        let usual = self.slowness.iter().map(|it| it.ln()).sum::<f64>();
        let usual = usual / self.slowness.len() as f64;
        let slowness = self.slowness.iter().copied().enumerate();
        let used = slowness.filter(|(index, _)| self.placed.contains(index));
        let used: Vec<(usize, f64)> = used.collect();
        let errors = self.vms.iter().flat_map(|vm| {
            let errors = used.iter().map(move |(index, slowness)| {
                (vm.slowness(&run(*index)).ln() - (slowness.ln() - usual)).abs()
            });
            errors.collect::<Vec<f64>>()
        });
        let errors: Vec<f64> = errors.collect();
        let mean = errors.iter().sum::<f64>() / errors.len() as f64;
        let most = errors.iter().copied().fold(0.0, f64::max);
        (most.exp(), mean.exp())
    }
}

/// Slowness from 0.6 to 2.7.
fn uneven(runners: usize) -> Vec<f64> {
    let step = |index: usize| index as f64 / (runners - 1) as f64;
    let slowness = (0..runners).map(|index| 0.6 * 4.5_f64.powf(step(index * 37 % runners)));
    slowness.collect()
}

#[test]
fn vms_learn_together_what_one_of_them_cannot_see() {
    let mut fleet = Fleet::new(65, uneven(90), 0.1, 1);
    fleet.run(Duration::from_secs(4), 5.0);
    let early = fleet.errors();
    fleet.run(Duration::from_secs(16), 5.0);
    let late = fleet.errors();
    println!("error after 4 s {early:?}, after 20 s {late:?} (largest, mean)");
    assert!(early.1 < 1.35, "{early:?}");
    assert!(late.1 < 1.2, "{late:?}");
}

#[test]
fn no_estimate_errs_by_as_much_as_makes_a_server_count_as_slow() {
    // With a greater error, a usual server is reported as slow and avoided.
    for seed in 1..5 {
        let mut fleet = Fleet::new(65, uneven(90), 0.1, seed);
        fleet.run(Duration::from_secs(20), 5.0);
        let (largest, mean) = fleet.errors();
        println!("seed {seed}: error after 20 s {largest} (largest), {mean} (mean)");
        assert!(largest < 1.5, "seed {seed}: {largest}");
    }
}

#[test]
fn equal_servers_count_as_equal_although_their_streams_differ() {
    let mut fleet = Fleet::new(65, vec![1.0; 90], 0.1, 2);
    fleet.run(Duration::from_secs(20), 5.0);
    let errors = fleet.errors();
    println!("error at equal servers {errors:?} (largest, mean)");
    assert!(errors.0 < 1.1 && errors.1 < 1.005, "{errors:?}");
}

#[test]
fn evidence_ages_until_a_server_counts_as_usual() {
    let mut fleet = Fleet::new(8, uneven(12), 0.0, 3);
    fleet.run(Duration::from_secs(10), 5.0);
    let slowest = fleet.slowness.iter().enumerate();
    let slowest = slowest.max_by(|left, right| left.1.total_cmp(right.1));
    let slowest = run(slowest.expect("there are runners").0);
    let known = fleet.vms[0].slowness(&slowest);
    assert!(known > 1.5, "{known}");
    // A later run under the same id is another server.
    let later = Incarnation {
        started_ms: 8,
        ..slowest.clone()
    };
    assert!((fleet.vms[0].slowness(&later) - 1.0).abs() < f64::EPSILON);
    let end = fleet.now + Duration::from_secs(121);
    fleet.vms[0].refresh(|| listed(12), end);
    assert!((fleet.vms[0].slowness(&slowest) - 1.0).abs() < f64::EPSILON);
}

#[test]
fn a_vm_that_states_absurd_figures_is_outweighed() {
    let mut fleet = Fleet::new(16, vec![1.0; 20], 0.0, 4);
    fleet.run(Duration::from_secs(10), 5.0);
    let faulty = Fleet::new(1, vec![1.0; 20], 0.0, 5);
    for _ in 0..1_000 {
        for (model, time_ms) in [("fast", 1), ("slow", 60_000)] {
            let work = Work::Event("same".into());
            let runner = run(usize::from(model == "slow"));
            faulty.vms[0].note(
                &runner,
                &work,
                Duration::from_millis(time_ms),
                1.0,
                fleet.now,
            );
        }
    }
    faulty.vms[0].refresh(|| listed(20), fleet.now);
    let part = faulty.vms[0].own_part(0).expect("there is evidence");
    fleet.now += Duration::from_secs(1);
    fleet.vms[0].apply_vm(address(99), &part, fleet.now);
    fleet.vms[0].refresh(|| listed(20), fleet.now);
    for runner in 0..20 {
        let slowness = fleet.vms[0].slowness(&run(runner));
        assert!((0.3..3.5).contains(&slowness), "{runner}: {slowness}");
    }
}

/// Lets a server answer 60 calls, of which `calls` tells the stated slowness in percent and the time
/// in milliseconds; returns the effect of what the server states then.
fn stated_slowness(calls: impl Fn(usize) -> (u32, u64)) -> f64 {
    let speeds = ServerSpeeds::default();
    let work = Work::Call("route".into());
    let mut now = Instant::now();
    for index in 0..60 {
        let (percent, took_ms) = calls(index);
        let load = StatedLoad {
            running: 1,
            waiting: 0,
            slots: 6,
            slowness_percent: Some(percent),
        };
        let took = Duration::from_millis(took_ms);
        for server in 0..2 {
            speeds.note(&run(server), &work, took, 1.0, now);
        }
        speeds.note_stated(&run(0), load, 6, 1, now);
        speeds.note_stated_time(&run(0), load, &work, took);
        now += Duration::from_millis(300);
        speeds.refresh(|| listed(2), now);
    }
    let (percent, _) = calls(60);
    let load = StatedLoad {
        running: 1,
        waiting: 0,
        slots: 6,
        slowness_percent: Some(percent),
    };
    speeds.note_stated(&run(0), load, 6, 1, now);
    let later = now + Duration::from_millis(500);
    assert!((speeds.current_slowness(&run(0), later) - speeds.slowness(&run(0))).abs() < 1e-9);
    speeds.current_slowness(&run(0), now) / speeds.slowness(&run(0))
}

#[test]
fn a_stated_slowness_counts_only_if_the_responses_of_the_server_confirm_it() {
    let percent = |index: usize| [70, 100, 200, 130][index * 7 % 4];
    let confirmed = stated_slowness(|index| match index {
        60 => (200, 0),
        _ => (percent(index), 60 * u64::from(percent(index)) / 100),
    });
    assert!(confirmed > 1.3, "{confirmed}");
    let times_ms = [50, 60, 70, 55, 65, 45, 75];
    let cases: [(&str, f64); 3] = [
        ("stuck", stated_slowness(|it| (300, times_ms[it % 7]))),
        ("absurd", stated_slowness(|it| (90_000, times_ms[it % 7]))),
        (
            "false",
            stated_slowness(|it| (percent(it), times_ms[it % 7])),
        ),
    ];
    for (case, slowness) in cases {
        assert!((slowness - 1.0).abs() < 1e-9, "{case}: {slowness}");
    }
}

#[test]
fn stated_counts_are_used_while_they_are_recent_and_plausible() {
    let speeds = ServerSpeeds::default();
    let now = Instant::now();
    let load = |running, waiting, slots| StatedLoad {
        running,
        waiting,
        slots,
        slowness_percent: None,
    };
    let mut known = 0;
    let mut in_flight = |load| {
        known += 1;
        speeds.note_stated(&run(0), load, 12, known, now);
        speeds.stated_in_flight(&run(0), now)
    };
    assert_eq!(in_flight(load(12, 3, 12)), Some(15));
    for absurd in [
        load(13, 0, 12),
        load(3, 4, 12),
        load(3, 0, 64),
        load(12, 9_999, 12),
    ] {
        assert_eq!(in_flight(absurd), None, "{absurd:?}");
    }
    // The same counts at ever more known requests.
    let stuck: Vec<_> = (0..6).map(|_| in_flight(load(2, 0, 12))).collect();
    assert_eq!(stuck[0], Some(2));
    assert_eq!(stuck[5], None);
    assert_eq!(in_flight(load(4, 0, 12)), Some(4));
    let later = now + Duration::from_millis(201);
    assert_eq!(speeds.stated_in_flight(&run(0), later), None);
}
