//! Simulates many VMs that choose among runners of different speeds, each of which holds a few of
//! many models, where the load of other VMs is known late.

use crate::gateway::choose::{Candidate, choose};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::VecDeque;

const ZONES: usize = 4;
const VMS: usize = 65;
const RUNNERS: usize = 90;
const SLOTS: u32 = 12;
const MODELS: usize = 107;
/// Copies of all models: three on each runner.
const COPIES: usize = 3 * RUNNERS;
const REQUESTS_PER_MS: f64 = 0.585;
const LOCAL_REPORT_INTERVAL_MS: u64 = 200;
const REMOTE_REPORT_INTERVAL_MS: u64 = 600;
/// The time between two events of a stream, and to its first event, on a usual runner.
const EVENT_MS: f64 = 36.0;
const FIRST_EVENT_MS: f64 = 45.0;
const LONG_EVENTS: u32 = 35;
const SHORT_EVENTS: u32 = 6;
/// Targets of the first event of long and of short streams.
const LONG_TARGET_MS: f64 = 400.0;
const SHORT_TARGET_MS: f64 = 300.0;
const RUN_MS: u64 = 30_000;

/// A request at a runner.
struct Request {
    vm: usize,
    arrived_ms: u64,
    is_long: bool,
}

#[derive(Default)]
struct Runner {
    /// End times and VMs of the running requests.
    running: Vec<(u64, usize)>,
    queue: VecDeque<Request>,
}

#[derive(Debug, Default, PartialEq)]
struct Outcome {
    long: u32,
    /// Long streams with a pause over 200 ms, or with a late first event.
    paused: u32,
    late: u32,
    short: u32,
    short_late: u32,
    remote: u32,
    /// Which runners were chosen, in order.
    chosen: Vec<usize>,
}

impl Outcome {
    fn paused_share(&self) -> f64 {
        f64::from(self.paused) / f64::from(self.long)
    }

    fn late_share(&self) -> f64 {
        f64::from(self.late + self.short_late) / f64::from(self.long + self.short)
    }
}

/// The probability that a long stream has a pause over 200 ms: 1 of 100 at 0.6 times, 8 at 1.3
/// times, 60 at 2.7 times the usual time.
fn pause_probability(event_ms: f64) -> f64 {
    1.0 - (-(event_ms / 102.0).powf(3.1)).exp()
}

/// The runners that hold each model: popular models have more copies.
fn placement(random: &mut SmallRng) -> (Vec<Vec<usize>>, Vec<f64>) {
    let popularity: Vec<f64> = (0..MODELS).map(|it| 1.0 / (it as f64 + 4.0)).collect();
    let total: f64 = popularity.iter().sum();
    let mut slots: Vec<usize> = (0..COPIES).map(|it| it % RUNNERS).collect();
    for index in (1..slots.len()).rev() {
        slots.swap(index, random.random_range(0..=index));
    }
    let spare = COPIES - 2 * MODELS;
    let copies = popularity.iter().map(|it| {
        let count = 2 + (it / total * spare as f64) as usize;
        let mut runners: Vec<usize> = (0..count).filter_map(|_| slots.pop()).collect();
        runners.sort_unstable();
        runners.dedup();
        runners
    });
    let copies = copies.collect();
    let mut sum = 0.0;
    let cumulated = popularity.iter().map(|it| {
        sum += it / total;
        sum
    });
    (copies, cumulated.collect())
}

/// Simulates half a minute with runners of the given slowness; VMs know of it what `known` tells.
fn play(slowness: &[f64], known: &[f64], share: f64, seed: u64) -> Outcome {
    let mut random = SmallRng::seed_from_u64(seed);
    let (copies, cumulated) = placement(&mut random);
    let mut runners: Vec<Runner> = (0..RUNNERS).map(|_| Runner::default()).collect();
    let mut own = vec![[0_u32; RUNNERS]; VMS];
    let mut local = own.clone();
    let mut remote = own.clone();
    let mut outcome = Outcome::default();
    let mut pending_requests = 0.0;
    for now_ms in 0..RUN_MS {
        for (index, runner) in runners.iter_mut().enumerate() {
            runner.running.retain(|(end_ms, vm)| {
                own[*vm][index] -= u32::from(*end_ms <= now_ms);
                *end_ms > now_ms
            });
            while runner.running.len() < SLOTS as usize {
                let Some(request) = runner.queue.pop_front() else {
                    break;
                };
                let spread = (0.5 * (random.random::<f64>() - 0.5)).exp();
                let event_ms = EVENT_MS * slowness[index] * spread;
                let has_paused = random.random::<f64>() < pause_probability(event_ms);
                let waited_ms = (now_ms - request.arrived_ms) as f64;
                let first_ms = waited_ms + FIRST_EVENT_MS * slowness[index];
                let events = match request.is_long {
                    true => LONG_EVENTS,
                    false => SHORT_EVENTS,
                };
                let took_ms = FIRST_EVENT_MS * slowness[index] + event_ms * f64::from(events);
                runner.running.push((now_ms + took_ms as u64, request.vm));
                if now_ms < RUN_MS / 5 {
                    continue;
                }
                if request.is_long {
                    outcome.long += 1;
                    outcome.paused += u32::from(has_paused);
                    outcome.late += u32::from(has_paused || first_ms > LONG_TARGET_MS);
                } else {
                    outcome.short += 1;
                    outcome.short_late += u32::from(first_ms > SHORT_TARGET_MS);
                }
            }
        }
        for vm in 0..VMS {
            let phase = now_ms + vm as u64 * 23;
            if phase.is_multiple_of(LOCAL_REPORT_INTERVAL_MS) {
                local[vm] = own[vm];
            }
            if phase.is_multiple_of(REMOTE_REPORT_INTERVAL_MS) {
                remote[vm] = own[vm];
            }
        }
        pending_requests += REQUESTS_PER_MS * share;
        while pending_requests >= 1.0 {
            pending_requests -= 1.0;
            let vm = random.random_range(0..VMS);
            let point: f64 = random.random();
            let model = cumulated.partition_point(|it| *it < point).min(MODELS - 1);
            let is_long = random.random_bool(0.5);
            let candidates = copies[model].iter().map(|runner| {
                let others = (0..VMS).filter(|other| *other != vm);
                let others = others.map(|other| match other % ZONES == vm % ZONES {
                    true => local[other][*runner],
                    false => remote[other][*runner],
                });
                Candidate {
                    in_flight: own[vm][*runner] + others.sum::<u32>(),
                    slots: SLOTS,
                    queued_prefill_ms: 0.0,
                    is_local: runner % ZONES == vm % ZONES,
                    is_remote_load_stale: true,
                    is_connected: true,
                    was_tried: false,
                    is_short_call: false,
                    slowness: known[*runner],
                    has_failed: false,
                }
            });
            let candidates: Vec<Candidate> = candidates.collect();
            let index = choose(&candidates, || random.random()).expect("there are candidates");
            let runner = copies[model][index];
            own[vm][runner] += 1;
            outcome.chosen.push(runner);
            outcome.remote += u32::from(!candidates[index].is_local);
            runners[runner].queue.push_back(Request {
                vm,
                arrived_ms: now_ms,
                is_long,
            });
        }
    }
    outcome
}

/// Slowness from 0.6 to 2.7, in no order.
fn uneven() -> Vec<f64> {
    let step = |index: usize| (index * 37 % RUNNERS) as f64 / (RUNNERS - 1) as f64;
    (0..RUNNERS)
        .map(|it| 0.6 * 4.5_f64.powf(step(it)))
        .collect()
}

#[test]
fn slow_runners_get_requests_only_where_faster_ones_are_loaded() {
    let slowness = uneven();
    for share in [0.7, 1.0, 1.2, 1.4] {
        for seed in 1..=2 {
            let unknown = play(&slowness, &[1.0; RUNNERS], share, seed);
            let known = play(&slowness, &slowness, share, seed);
            println!(
                "load {share}, seed {seed}: late {:.3}, paused {:.3}, remote {:.2}; \
                 with speeds {:.3}, {:.3}, {:.2}",
                unknown.late_share(),
                unknown.paused_share(),
                f64::from(unknown.remote) / unknown.chosen.len() as f64,
                known.late_share(),
                known.paused_share(),
                f64::from(known.remote) / known.chosen.len() as f64,
            );
            // Beyond the usual load, requests are late because all runners with a model are full.
            let (max_paused, max_late) = match share > 1.0 {
                true => (0.95, 1.05),
                false => (0.75, 0.8),
            };
            assert!(known.paused_share() < max_paused * unknown.paused_share());
            assert!(known.late_share() < max_late * unknown.late_share());
        }
    }
}

#[test]
fn equal_runners_are_chosen_as_without_speeds() {
    let unknown = play(&[1.0; RUNNERS], &[1.0; RUNNERS], 1.0, 3);
    for equal in [0.7, 1.9] {
        let known = play(&[1.0; RUNNERS], &[equal; RUNNERS], 1.0, 3);
        assert!(known == unknown, "equally slow by {equal}");
    }
}
