//! Simulates VMs that choose runners by the loads and prompts they advertise to each other; the
//! prompts have to spread over the runners.

use crate::gateway::backlog::Backlog;
use crate::gateway::choose::{Candidate, choose};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::time::{Duration, Instant};

const VMS: usize = 9;
const RUNNERS: usize = 4;
const SLOTS: u32 = 64;
const MEAN_PROMPT_TOKENS: u32 = 715;
const PREFILL_TOKENS_PER_MS: f64 = 38.0;
/// Interval between two messages of a VM about its requests in flight.
const REPORT_INTERVAL_MS: u64 = 200;
/// Delay until peers count an advertised prompt: the batching pause and the network.
const PROMPT_REPORT_DELAY_MS: u64 = 12;
const STREAM_MS: u64 = 2_000;
const RUN_MS: u64 = 60_000;
/// Prefill time of queued prompts above which streams on the runner pause for over 150 ms.
const MAX_BACKLOG_MS: f64 = 117.0;

/// What VMs advertise to each other in a run.
#[derive(Clone, Copy, PartialEq)]
enum Advertised {
    Loads,
    LoadsAndPrompts,
}

/// Simulates a minute of prompts at a load of `share` of the prefill capacity; returns the share of
/// the time in which a runner has so many queued prompts that its streams pause for too long.
fn stalled_share(share: f64, advertised: Advertised, seed: u64) -> f64 {
    let mut random = SmallRng::seed_from_u64(seed);
    let start = Instant::now();
    let mut own = [[0_u32; RUNNERS]; VMS];
    let mut reported = [[0_u32; RUNNERS]; VMS];
    let estimated: [[Backlog; RUNNERS]; VMS] = Default::default();
    let backlogs: [Backlog; RUNNERS] = Default::default();
    let mut ends: Vec<(u64, usize, usize)> = Vec::new();
    let mut in_transit: Vec<(u64, usize, usize, f64)> = Vec::new();
    let requests_per_ms =
        share * PREFILL_TOKENS_PER_MS * RUNNERS as f64 / f64::from(MEAN_PROMPT_TOKENS);
    let mut stalled_ms = 0;
    for now_ms in 0..RUN_MS {
        let now = start + Duration::from_millis(now_ms);
        let is_long = |backlog: &&Backlog| backlog.wait_ms(now) > MAX_BACKLOG_MS;
        stalled_ms += backlogs.iter().filter(is_long).count();
        ends.retain(|(end_ms, vm, runner)| {
            let has_ended = *end_ms <= now_ms;
            own[*vm][*runner] -= u32::from(has_ended);
            !has_ended
        });
        in_transit.retain(|(at_ms, sender, runner, prefill_ms)| {
            if *at_ms <= now_ms {
                for (vm, estimates) in estimated.iter().enumerate() {
                    if vm != *sender {
                        estimates[*runner].note(*prefill_ms, now);
                    }
                }
            }
            *at_ms > now_ms
        });
        for vm in 0..VMS {
            // VMs send their messages at different times.
            if (now_ms + vm as u64 * 23).is_multiple_of(REPORT_INTERVAL_MS) {
                reported[vm] = own[vm];
            }
        }
        if random.random::<f64>() >= requests_per_ms {
            continue;
        }
        let vm = random.random_range(0..VMS);
        let candidates: Vec<Candidate> = (0..RUNNERS)
            .map(|runner| {
                let others = (0..VMS).filter(|other| *other != vm);
                let others: u32 = others.map(|other| reported[other][runner]).sum();
                Candidate {
                    in_flight: own[vm][runner] + others,
                    slots: SLOTS,
                    queued_prefill_ms: estimated[vm][runner].wait_ms(now),
                    is_local: runner % 3 == vm % 3,
                    is_remote_load_stale: false,
                    is_connected: true,
                    was_tried: false,
                    is_short_call: false,
                    has_failed: false,
                    slowness: 1.0,
                }
            })
            .collect();
        let runner = choose(&candidates, || random.random()).expect("there are candidates");
        let tokens = random.random_range(0..2 * MEAN_PROMPT_TOKENS);
        let prefill_ms = f64::from(tokens) / PREFILL_TOKENS_PER_MS;
        backlogs[runner].note(prefill_ms, now);
        estimated[vm][runner].note(prefill_ms, now);
        if advertised == Advertised::LoadsAndPrompts {
            in_transit.push((now_ms + PROMPT_REPORT_DELAY_MS, vm, runner, prefill_ms));
        }
        own[vm][runner] += 1;
        ends.push((now_ms + STREAM_MS, vm, runner));
    }
    stalled_ms as f64 / (RUN_MS as usize * RUNNERS) as f64
}

#[test]
fn vms_that_advertise_prompts_spread_them() {
    for seed in 1..=3 {
        let share = stalled_share(0.75, Advertised::LoadsAndPrompts, seed);
        assert!(share < 0.02, "stalled for {share} of the time, seed {seed}");
    }
}

#[test]
fn vms_that_know_only_old_loads_do_not_all_choose_the_same_server() {
    for seed in 1..=3 {
        let share = stalled_share(0.5, Advertised::Loads, seed);
        assert!(share < 0.02, "stalled for {share} of the time, seed {seed}");
    }
}
