//! Choosing among servers from loads that are told with a delay: prompts spread over them.

use crate::gateway::choose::{Candidate, choose};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const VMS: usize = 9;
const RUNNERS: usize = 4;
const SLOTS: u32 = 64;
/// Requests a second over all VMs: half of what four runners can read.
const REQUESTS_PER_S: f64 = 110.0;
const PROMPT_TOKENS: f64 = 715.0;
const TOKENS_PER_MS: f64 = 38.4;
/// Between two messages of a VM to its peers.
const TELL_MS: u64 = 200;
const STREAM_MS: u64 = 2_000;
const RUN_MS: u64 = 60_000;
/// Prompt tokens that wait on a runner from which its streams pause for over 150 ms.
const PAUSE_TOKENS: f64 = 4_500.0;

/// What VMs with peers' loads of `TELL_MS` ago bring about: the share of requests that come
/// to a runner on which prompts hold up the streams.
fn share_held_up(seed: u64) -> f64 {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut own = [[0_u32; RUNNERS]; VMS];
    let mut told = [[0_u32; RUNNERS]; VMS];
    let mut waiting_tokens = [0.0_f64; RUNNERS];
    let mut ends: Vec<(u64, usize, usize)> = Vec::new();
    let (mut requests, mut held_up) = (0, 0);
    for now_ms in 0..RUN_MS {
        for tokens in &mut waiting_tokens {
            *tokens = (*tokens - TOKENS_PER_MS).max(0.0);
        }
        ends.retain(|(end_ms, vm, runner)| {
            let is_over = *end_ms <= now_ms;
            own[*vm][*runner] -= u32::from(is_over);
            !is_over
        });
        for vm in 0..VMS {
            // VMs do not tell all at once.
            if (now_ms + vm as u64 * 23).is_multiple_of(TELL_MS) {
                told[vm] = own[vm];
            }
        }
        if random.random::<f64>() >= REQUESTS_PER_S / 1_000.0 {
            continue;
        }
        let vm = random.random_range(0..VMS);
        let candidates: Vec<Candidate> = (0..RUNNERS)
            .map(|runner| {
                let others = (0..VMS).filter(|other| *other != vm);
                let others: u32 = others.map(|other| told[other][runner]).sum();
                Candidate {
                    in_flight: own[vm][runner] + others,
                    slots: SLOTS,
                    is_near: runner % 3 == vm % 3,
                    has_failed: false,
                }
            })
            .collect();
        let runner = choose(&candidates, || random.random()).expect("there are candidates");
        requests += 1;
        held_up += u32::from(waiting_tokens[runner] > PAUSE_TOKENS);
        waiting_tokens[runner] += PROMPT_TOKENS * 2.0 * random.random::<f64>();
        own[vm][runner] += 1;
        ends.push((now_ms + STREAM_MS, vm, runner));
    }
    f64::from(held_up) / f64::from(requests)
}

#[test]
fn vms_that_know_old_loads_do_not_all_choose_the_same_server() {
    for seed in 1..=5 {
        let share = share_held_up(seed);
        assert!(share < 0.05, "{share} of the requests with seed {seed}");
    }
}
