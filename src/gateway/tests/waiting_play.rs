//! Simulates VMs that send requests with short and with long targets to the same runners, whose
//! loads they know late.

use crate::gateway::Weights;
use crate::gateway::choose::{Candidate, choose};
use crate::gateway::waiting::{
    Need, QueuedRequest, Traffic, Urgency, WaitQueues, check_interval, reserved_slots, yield_limit,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant};

const VMS: usize = 12;
const RUNNERS: usize = 6;
const SLOTS: usize = 12;
const STREAM_MS: f64 = 1_600.0;
/// Interval of load reports to each VM, and their age on arrival.
const REPORT_INTERVAL_MS: u64 = 200;
const REPORT_AGE_MS: usize = 150;
/// Time from the start of a request to its first event.
const FIRST_EVENT_MS: u64 = 60;
const RUN_MS: u64 = 60_000;
/// The target of each priority, and its share of all requests.
const KINDS: [(u64, f64); 3] = [(250, 0.4), (800, 0.5), (6_000, 0.1)];

#[derive(Default)]
struct Runner {
    ends_ms: Vec<u64>,
    queue: VecDeque<(usize, u64)>,
    /// Requests in flight, by VM.
    in_flight: [u32; VMS],
    ends_by_vm: Vec<(u64, usize)>,
}

struct Waiting {
    vm: usize,
    kind: usize,
    arrived_ms: u64,
    check_ms: u64,
    urgency: Urgency,
    queued: Option<QueuedRequest>,
}

/// What came of the requests of one priority.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    sent: u32,
    /// Sent to a runner whose slots were all taken.
    to_full: u32,
    in_time: u32,
}

impl Outcome {
    fn full_share(&self) -> f64 {
        f64::from(self.to_full) / f64::from(self.sent)
    }

    fn in_time_share(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.sent)
    }
}

/// Simulates a minute in which the load alternates around a share of the capacity.
fn play(load: f64, yields: bool) -> [Outcome; 3] {
    let mut random = SmallRng::seed_from_u64(5);
    let start = Instant::now();
    let need = Need {
        service: "s".into(),
        weights: Weights {
            model: "m".into(),
            adapter: None,
        },
    };
    let traffic: Vec<Traffic> = (0..VMS).map(|_| Traffic::default()).collect();
    let queues: Vec<Rc<WaitQueues>> = (0..VMS).map(|_| Rc::default()).collect();
    let mut runners: [Runner; RUNNERS] = Default::default();
    let mut history: Vec<[[u32; VMS]; RUNNERS]> = Vec::new();
    let mut reported = vec![[[0_u32; VMS]; RUNNERS]; VMS];
    let mut waiting: Vec<Waiting> = Vec::new();
    let mut outcomes = [Outcome::default(); 3];
    let mut pending = 0.0;
    for now_ms in 0..RUN_MS {
        let now = start + Duration::from_millis(now_ms);
        for runner in &mut runners {
            let in_flight = &mut runner.in_flight;
            runner.ends_by_vm.retain(|(end_ms, vm)| {
                in_flight[*vm] -= u32::from(*end_ms <= now_ms);
                *end_ms > now_ms
            });
            runner.ends_ms.retain(|end_ms| *end_ms > now_ms);
            while runner.ends_ms.len() < SLOTS
                && let Some((kind, arrived_ms)) = runner.queue.pop_front()
            {
                let (vm, kind) = (kind / KINDS.len(), kind % KINDS.len());
                let end_ms = now_ms + (STREAM_MS * random.random_range(0.4..1.6)) as u64;
                runner.ends_ms.push(end_ms);
                runner.ends_by_vm.push((end_ms, vm));
                let first_ms = now_ms + FIRST_EVENT_MS - arrived_ms;
                outcomes[kind].in_time += u32::from(first_ms <= KINDS[kind].0);
            }
        }
        history.push(std::array::from_fn(|index| runners[index].in_flight));
        for (vm, reported) in reported.iter_mut().enumerate() {
            if (now_ms + vm as u64 * 37).is_multiple_of(REPORT_INTERVAL_MS) {
                *reported = history[history.len().saturating_sub(REPORT_AGE_MS + 1)];
            }
        }
        let wave = if now_ms % 8_000 < 3_000 { 1.25 } else { 0.85 };
        pending += wave * load * (RUNNERS * SLOTS) as f64 / STREAM_MS;
        while pending >= 1.0 {
            pending -= 1.0;
            let vm = random.random_range(0..VMS);
            let draw: f64 = random.random();
            let kind = usize::from(draw > 0.4) + usize::from(draw > 0.9);
            let target = Duration::from_millis(KINDS[kind].0);
            let priority = kind as u32;
            traffic[vm].note_arrival(&need.service, priority, target, now);
            let send_by = now + target - Duration::from_millis(FIRST_EVENT_MS);
            let urgent_per_s = traffic[vm].urgent_per_s(&need.service, priority, target, now);
            let yields_until = match yields && urgent_per_s > 0.0 {
                true => yield_limit(now, send_by, send_by),
                false => now,
            };
            waiting.push(Waiting {
                vm,
                kind,
                arrived_ms: now_ms,
                check_ms: now_ms,
                urgency: Urgency {
                    priority,
                    arrived: now,
                    send_by,
                    yields_until,
                    may_advance: traffic[vm].may_advance(&need.service, priority, now),
                },
                queued: None,
            });
        }
        waiting.retain_mut(|request| {
            if request.check_ms > now_ms {
                return true;
            }
            let vm = request.vm;
            let known = |index: usize| -> u32 {
                let others = reported[vm][index].iter().sum::<u32>() - reported[vm][index][vm];
                others + runners[index].in_flight[vm]
            };
            let target = Duration::from_millis(KINDS[request.kind].0);
            let priority = request.urgency.priority;
            let own_per_s = traffic[vm].urgent_per_s(&need.service, priority, target, now);
            let reserved = reserved_slots(own_per_s * VMS as f64 / RUNNERS as f64, SLOTS as u32);
            let yields_now = request.urgency.yields(now);
            let is_open = |index: &usize| !yields_now || known(*index) < SLOTS as u32 - reserved;
            let open: Vec<usize> = (0..RUNNERS).filter(is_open).collect();
            let candidates = open.iter().map(|index| Candidate {
                in_flight: known(*index),
                slots: SLOTS as u32,
                queued_prefill_ms: 0.0,
                is_local: true,
                is_remote_load_stale: false,
                is_connected: true,
                was_tried: false,
                is_short_call: false,
                slowness: 1.0,
                has_failed: false,
            });
            let candidates: Vec<Candidate> = candidates.collect();
            let chosen = choose(&candidates, || random.random());
            let ahead = match &request.queued {
                Some(queued) => queued.ahead(|_| true, now),
                None => queues[vm].ahead_of_new(&need, request.urgency, |_| true, now),
            };
            let chosen =
                chosen.filter(|index| !candidates[*index].is_full() && ahead.same_weights == 0);
            let Some(chosen) = chosen else {
                let yield_time = request.urgency.yields_until - request.urgency.arrived;
                let longest_ms = match open.is_empty() {
                    true => check_interval(yield_time).as_secs_f64() * 1_000.0,
                    false => 40.0,
                };
                request.check_ms = now_ms + (longest_ms * random.random_range(0.5..1.0)) as u64;
                let enqueue = || queues[vm].enqueue(need.clone(), request.urgency);
                request.queued.get_or_insert_with(enqueue);
                return true;
            };
            let runner = &mut runners[open[chosen]];
            let outcome = &mut outcomes[request.kind];
            outcome.sent += 1;
            outcome.to_full += u32::from(runner.ends_ms.len() + runner.queue.len() >= SLOTS);
            runner.in_flight[vm] += 1;
            runner
                .queue
                .push_back((vm * KINDS.len() + request.kind, request.arrived_ms));
            let is_in_time = now <= request.urgency.send_by;
            traffic[vm].note_end(&need.service, priority, is_in_time, now);
            false
        });
    }
    outcomes
}

#[test]
fn work_that_can_wait_leaves_slots_to_urgent_work_and_is_in_time() {
    for load in [0.6, 0.8, 0.9, 1.0] {
        let before = play(load, false);
        let after = play(load, true);
        for (kind, (before, after)) in before.iter().zip(&after).enumerate() {
            println!(
                "load {load} priority {kind}: to full {:.3} -> {:.3}, in time {:.3} -> {:.3}",
                before.full_share(),
                after.full_share(),
                before.in_time_share(),
                after.in_time_share()
            );
        }
        assert!(after[0].in_time_share() >= before[0].in_time_share() - 0.01);
        if load < 1.0 {
            assert!(after[2].in_time_share() > 0.99, "{load}");
        }
    }
}
