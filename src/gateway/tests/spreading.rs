//! Choosing among servers by what VMs tell each other: prompts spread over them.

use crate::gateway::backlog::Backlog;
use crate::gateway::choose::{Candidate, choose};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::time::{Duration, Instant};

const VMS: usize = 9;
const RUNNERS: usize = 4;
const SLOTS: u32 = 64;
const MEAN_PROMPT_TOKENS: u32 = 715;
const READ_TOKENS_PER_MS: f64 = 38.0;
/// Between two messages of a VM about its requests in flight.
const TELL_MS: u64 = 200;
/// From a prompt to its arrival at peers' beliefs: their pause and the way.
const PROMPT_TOLD_MS: u64 = 12;
const STREAM_MS: u64 = 2_000;
const RUN_MS: u64 = 60_000;
/// How long prompts take to read from which the streams beside them pause for over 150 ms.
const PAUSE_MS: f64 = 117.0;

/// What VMs know of each other in a run.
#[derive(Clone, Copy, PartialEq)]
enum Told {
    Loads,
    LoadsAndPrompts,
}

/// Plays a minute of prompts that take `share` of what the runners can read; returns the part
/// of the time that a runner has so many prompts waiting that its streams pause too long.
fn held_up(share: f64, told: Told, seed: u64) -> f64 {
    let mut random = SmallRng::seed_from_u64(seed);
    let start = Instant::now();
    let mut own = [[0_u32; RUNNERS]; VMS];
    let mut known = [[0_u32; RUNNERS]; VMS];
    let believed: [[Backlog; RUNNERS]; VMS] = Default::default();
    let waiting: [Backlog; RUNNERS] = Default::default();
    let mut ends: Vec<(u64, usize, usize)> = Vec::new();
    let mut on_the_way: Vec<(u64, usize, usize, f64)> = Vec::new();
    let requests_per_ms =
        share * READ_TOKENS_PER_MS * RUNNERS as f64 / f64::from(MEAN_PROMPT_TOKENS);
    let mut held_up_ms = 0;
    for now_ms in 0..RUN_MS {
        let now = start + Duration::from_millis(now_ms);
        let is_long = |backlog: &&Backlog| backlog.wait_ms(now) > PAUSE_MS;
        held_up_ms += waiting.iter().filter(is_long).count();
        ends.retain(|(end_ms, vm, runner)| {
            let is_over = *end_ms <= now_ms;
            own[*vm][*runner] -= u32::from(is_over);
            !is_over
        });
        on_the_way.retain(|(at_ms, sender, runner, read_ms)| {
            if *at_ms <= now_ms {
                for (vm, beliefs) in believed.iter().enumerate() {
                    if vm != *sender {
                        beliefs[*runner].note(*read_ms, now);
                    }
                }
            }
            *at_ms > now_ms
        });
        for vm in 0..VMS {
            // VMs do not tell all at once.
            if (now_ms + vm as u64 * 23).is_multiple_of(TELL_MS) {
                known[vm] = own[vm];
            }
        }
        if random.random::<f64>() >= requests_per_ms {
            continue;
        }
        let vm = random.random_range(0..VMS);
        let candidates: Vec<Candidate> = (0..RUNNERS)
            .map(|runner| {
                let others = (0..VMS).filter(|other| *other != vm);
                let others: u32 = others.map(|other| known[other][runner]).sum();
                Candidate {
                    in_flight: own[vm][runner] + others,
                    slots: SLOTS,
                    prompts_wait_ms: believed[vm][runner].wait_ms(now),
                    is_near: runner % 3 == vm % 3,
                    is_far_late: false,
                    is_connected: true,
                    is_short_call: false,
                    has_failed: false,
                }
            })
            .collect();
        let runner = choose(&candidates, || random.random()).expect("there are candidates");
        let tokens = random.random_range(0..2 * MEAN_PROMPT_TOKENS);
        let read_ms = f64::from(tokens) / READ_TOKENS_PER_MS;
        waiting[runner].note(read_ms, now);
        believed[vm][runner].note(read_ms, now);
        if told == Told::LoadsAndPrompts {
            on_the_way.push((now_ms + PROMPT_TOLD_MS, vm, runner, read_ms));
        }
        own[vm][runner] += 1;
        ends.push((now_ms + STREAM_MS, vm, runner));
    }
    held_up_ms as f64 / (RUN_MS as usize * RUNNERS) as f64
}

#[test]
fn vms_that_tell_each_other_of_prompts_spread_them() {
    for seed in 1..=3 {
        let share = held_up(0.75, Told::LoadsAndPrompts, seed);
        assert!(share < 0.02, "{share} of the time with seed {seed}");
    }
}

#[test]
fn vms_that_know_old_loads_only_do_not_all_choose_the_same_server() {
    for seed in 1..=3 {
        let share = held_up(0.5, Told::Loads, seed);
        assert!(share < 0.02, "{share} of the time with seed {seed}");
    }
}
