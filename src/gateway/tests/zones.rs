//! Simulates VMs that choose among runners of all zones in a large fleet, where load reports from
//! other zones arrive late.

use crate::gateway::backlog::Backlog;
use crate::gateway::choose::{Candidate, choose};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::time::{Duration, Instant};

const ZONES: usize = 5;
const VMS: usize = 195;
const RUNNERS: usize = 30;
const SLOTS: u32 = 16;
/// Intervals between two load reports of a VM to VMs in its own zone, and to other zones, which
/// receive it as part of the sum over the zone after another gossip round.
const LOCAL_REPORT_INTERVAL_MS: u64 = 400;
const REMOTE_REPORT_INTERVAL_MS: u64 = 600;
const PREFILL_MS: f64 = 18.0;
const STREAM_MS: u64 = 1_000;
const RUN_MS: u64 = 20_000;

/// The results of a run.
#[derive(Debug)]
struct Outcome {
    /// The share of the requests that reached a runner without a free slot.
    full: f64,
    /// The share of the requests that reached a runner with a prefill backlog of over 50 ms.
    delayed: f64,
    /// The share of the requests that were sent to another zone.
    remote: f64,
}

/// Simulates requests that occupy `share` of the runners' slots, with `skew` times as many in the
/// first zone as in each other one.
fn simulate(share: f64, skew: f64, is_remote_load_stale: bool, seed: u64) -> Outcome {
    let mut random = SmallRng::seed_from_u64(seed);
    let start = Instant::now();
    let mut own = vec![[0_u32; RUNNERS]; VMS];
    let mut local = own.clone();
    let mut remote = own.clone();
    let estimated: Vec<[Backlog; RUNNERS]> = (0..VMS).map(|_| Default::default()).collect();
    let backlogs: [Backlog; RUNNERS] = Default::default();
    let mut ends: Vec<(u64, usize, usize)> = Vec::new();
    let per_ms = share * f64::from(SLOTS) * RUNNERS as f64 / STREAM_MS as f64;
    let (mut requests, mut full, mut delayed, mut to_remote) = (0, 0, 0, 0);
    let mut pending_requests = 0.0;
    for now_ms in 0..RUN_MS {
        let now = start + Duration::from_millis(now_ms);
        ends.retain(|(end_ms, vm, runner)| {
            let has_ended = *end_ms <= now_ms;
            own[*vm][*runner] -= u32::from(has_ended);
            !has_ended
        });
        for vm in 0..VMS {
            let phase = now_ms + vm as u64 * 23;
            if phase.is_multiple_of(LOCAL_REPORT_INTERVAL_MS) {
                local[vm] = own[vm];
            }
            if phase.is_multiple_of(REMOTE_REPORT_INTERVAL_MS) {
                remote[vm] = own[vm];
            }
        }
        pending_requests += per_ms;
        while pending_requests >= 1.0 {
            pending_requests -= 1.0;
            let zone = match random.random::<f64>() < skew / (skew + ZONES as f64 - 1.0) {
                true => 0,
                false => random.random_range(1..ZONES),
            };
            let vm = random.random_range(0..VMS / ZONES) * ZONES + zone;
            let candidates: Vec<Candidate> = (0..RUNNERS)
                .map(|runner| {
                    let others = (0..VMS).filter(|other| *other != vm).map(|other| {
                        match other % ZONES == zone {
                            true => local[other][runner],
                            false => remote[other][runner],
                        }
                    });
                    Candidate {
                        in_flight: own[vm][runner] + others.sum::<u32>(),
                        slots: SLOTS,
                        queued_prefill_ms: estimated[vm][runner].wait_ms(now),
                        is_local: runner % ZONES == zone,
                        is_remote_load_stale,
                        is_connected: true,
                        was_tried: false,
                        is_short_call: false,
                        has_failed: false,
                        slowness: 1.0,
                    }
                })
                .collect();
            let runner = choose(&candidates, || random.random()).expect("there are candidates");
            let in_flight_on_runner: u32 = own.iter().map(|of_vm| of_vm[runner]).sum();
            if now_ms > RUN_MS / 5 {
                requests += 1;
                full += usize::from(in_flight_on_runner >= SLOTS);
                delayed += usize::from(backlogs[runner].wait_ms(now) > 50.0);
                to_remote += usize::from(runner % ZONES != zone);
            }
            backlogs[runner].note(PREFILL_MS, now);
            estimated[vm][runner].note(PREFILL_MS, now);
            own[vm][runner] += 1;
            ends.push((now_ms + STREAM_MS, vm, runner));
        }
    }
    let share_of = |count: usize| count as f64 / f64::from(requests);
    Outcome {
        full: share_of(full),
        delayed: share_of(delayed),
        remote: share_of(to_remote),
    }
}

#[test]
fn requests_stay_in_their_zone_if_load_reports_of_others_arrive_late() {
    for seed in 1..=2 {
        for share in [0.6, 0.8] {
            let low_penalty = simulate(share, 1.0, false, seed);
            let high_penalty = simulate(share, 1.0, true, seed);
            let figures =
                format!("{share}: {high_penalty:?}, with the low penalty {low_penalty:?}");
            assert!(high_penalty.full < 0.85 * low_penalty.full, "{figures}");
            assert!(high_penalty.remote < 0.2 * low_penalty.remote, "{figures}");
            // Prompts sent to the runner by other VMs are not known.
            assert!(high_penalty.delayed < 0.1, "{figures}");
        }
    }
}

#[test]
fn a_zone_with_more_requests_than_its_capacity_uses_runners_of_other_zones() {
    let outcome = simulate(0.6, 2.0, true, 1);
    assert!(outcome.remote > 0.05, "{outcome:?}");
    assert!(outcome.full < 0.1, "{outcome:?}");
}
