//! Choosing among runners of all zones in a large fleet, where other zones' load is known late.

use crate::gateway::backlog::Backlog;
use crate::gateway::choose::{Candidate, choose};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::time::{Duration, Instant};

const ZONES: usize = 5;
const VMS: usize = 195;
const RUNNERS: usize = 30;
const SLOTS: u32 = 16;
/// Between two messages of a VM to one of its own zone, and between what the sum of another zone tells
/// of it: the same, and a turn for the sum.
const NEAR_TELL_MS: u64 = 400;
const FAR_TELL_MS: u64 = 600;
const READ_MS: f64 = 18.0;
const STREAM_MS: u64 = 1_000;
const RUN_MS: u64 = 20_000;

/// What came of a run.
#[derive(Debug)]
struct Outcome {
    /// The part of the requests that met a runner whose slots were taken.
    full: f64,
    /// The part of the requests that met prompts of over 50 ms there.
    behind: f64,
    /// The part of the requests that went to another zone.
    far: f64,
}

/// Plays requests that take `share` of the runners' slots, `skew` times as many in the first
/// zone as in another one.
fn play(share: f64, skew: f64, is_far_late: bool, seed: u64) -> Outcome {
    let mut random = SmallRng::seed_from_u64(seed);
    let start = Instant::now();
    let mut own = vec![[0_u32; RUNNERS]; VMS];
    let mut near = own.clone();
    let mut far = own.clone();
    let believed: Vec<[Backlog; RUNNERS]> = (0..VMS).map(|_| Default::default()).collect();
    let waiting: [Backlog; RUNNERS] = Default::default();
    let mut ends: Vec<(u64, usize, usize)> = Vec::new();
    let per_ms = share * f64::from(SLOTS) * RUNNERS as f64 / STREAM_MS as f64;
    let (mut requests, mut full, mut behind, mut to_far) = (0, 0, 0, 0);
    let mut due = 0.0;
    for now_ms in 0..RUN_MS {
        let now = start + Duration::from_millis(now_ms);
        ends.retain(|(end_ms, vm, runner)| {
            let is_over = *end_ms <= now_ms;
            own[*vm][*runner] -= u32::from(is_over);
            !is_over
        });
        for vm in 0..VMS {
            let phase = now_ms + vm as u64 * 23;
            if phase.is_multiple_of(NEAR_TELL_MS) {
                near[vm] = own[vm];
            }
            if phase.is_multiple_of(FAR_TELL_MS) {
                far[vm] = own[vm];
            }
        }
        due += per_ms;
        while due >= 1.0 {
            due -= 1.0;
            let zone = match random.random::<f64>() < skew / (skew + ZONES as f64 - 1.0) {
                true => 0,
                false => random.random_range(1..ZONES),
            };
            let vm = random.random_range(0..VMS / ZONES) * ZONES + zone;
            let candidates: Vec<Candidate> = (0..RUNNERS)
                .map(|runner| {
                    let others = (0..VMS).filter(|other| *other != vm).map(|other| {
                        match other % ZONES == zone {
                            true => near[other][runner],
                            false => far[other][runner],
                        }
                    });
                    Candidate {
                        in_flight: own[vm][runner] + others.sum::<u32>(),
                        slots: SLOTS,
                        prompts_wait_ms: believed[vm][runner].wait_ms(now),
                        is_near: runner % ZONES == zone,
                        is_far_late,
                        is_connected: true,
                        is_short_call: false,
                        has_failed: false,
                    }
                })
                .collect();
            let runner = choose(&candidates, || random.random()).expect("there are candidates");
            let on_it: u32 = own.iter().map(|of_vm| of_vm[runner]).sum();
            if now_ms > RUN_MS / 5 {
                requests += 1;
                full += usize::from(on_it >= SLOTS);
                behind += usize::from(waiting[runner].wait_ms(now) > 50.0);
                to_far += usize::from(runner % ZONES != zone);
            }
            waiting[runner].note(READ_MS, now);
            believed[vm][runner].note(READ_MS, now);
            own[vm][runner] += 1;
            ends.push((now_ms + STREAM_MS, vm, runner));
        }
    }
    let part = |count: usize| count as f64 / f64::from(requests);
    Outcome {
        full: part(full),
        behind: part(behind),
        far: part(to_far),
    }
}

#[test]
fn requests_stay_in_their_zone_where_the_load_of_others_is_known_late() {
    for seed in 1..=2 {
        for share in [0.6, 0.8] {
            let alike = play(share, 1.0, false, seed);
            let near_first = play(share, 1.0, true, seed);
            let figures = format!("{share}: {near_first:?}, else {alike:?}");
            assert!(near_first.full < 0.85 * alike.full, "{figures}");
            assert!(near_first.far < 0.2 * alike.far, "{figures}");
            // Prompts that others sent there are not known.
            assert!(near_first.behind < 0.1, "{figures}");
        }
    }
}

#[test]
fn a_zone_with_more_requests_than_its_runners_take_uses_those_of_others() {
    let outcome = play(0.6, 2.0, true, 1);
    assert!(outcome.far > 0.05, "{outcome:?}");
    assert!(outcome.full < 0.1, "{outcome:?}");
}
