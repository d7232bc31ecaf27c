//! Simulates short calls from many VMs to a few servers that queue them, where load reports arrive
//! after the calls have ended.

use crate::gateway::choose::{Candidate, choose};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::VecDeque;

const SLOTS: usize = 6;
/// Calls that a server queues in addition to the running ones; further calls are refused.
const QUEUE_LIMIT: usize = 30;
const WORK_MS: f64 = 60.0;
/// Time that each server needs for a call, relative to `WORK_MS`.
const WORK_FACTORS: [f64; 5] = [0.75, 0.9, 1.0, 1.1, 1.35];
const TARGET_MS: u64 = 300;
const RUN_MS: u64 = 10_000;

/// The number of VMs, the interval of load reports to each, and the age of a report on arrival.
struct Vms {
    count: usize,
    interval_ms: u64,
    age_ms: usize,
}

#[derive(Default)]
struct Server {
    /// End and arrival times of the running calls, in milliseconds.
    running: Vec<(u64, u64)>,
    queue: VecDeque<u64>,
}

impl Server {
    fn count(&self) -> u32 {
        (self.running.len() + self.queue.len()) as u32
    }

    /// Starts queued calls in free slots.
    fn start_queued(&mut self, now_ms: u64, work: f64, random: &mut SmallRng) {
        while self.running.len() < SLOTS {
            let Some(arrived_ms) = self.queue.pop_front() else {
                return;
            };
            let work_ms = WORK_MS * work * random.random_range(0.5..1.5);
            self.running.push((now_ms + work_ms as u64, arrived_ms));
        }
    }
}

/// Returns the share of calls answered in time at a load of `share` of the servers' capacity, with
/// the speeds of the servers known or not.
fn in_time(vms: &Vms, share: f64, is_known: bool) -> f64 {
    let mut random = SmallRng::seed_from_u64(11);
    let mut servers: Vec<Server> = WORK_FACTORS.iter().map(|_| Server::default()).collect();
    let mut history: Vec<Vec<u32>> = Vec::new();
    let mut reported = vec![vec![0; WORK_FACTORS.len()]; vms.count];
    let (mut calls, mut in_time, mut pending_calls) = (0_u32, 0_u32, 0.0);
    for now_ms in 0..RUN_MS {
        for (server, work) in servers.iter_mut().zip(WORK_FACTORS) {
            server.running.retain(|(end_ms, arrived_ms)| {
                let has_ended = *end_ms <= now_ms;
                in_time += u32::from(has_ended && now_ms - arrived_ms <= TARGET_MS);
                !has_ended
            });
            server.start_queued(now_ms, work, &mut random);
        }
        history.push(servers.iter().map(Server::count).collect());
        for (vm, reported) in reported.iter_mut().enumerate() {
            if (now_ms + vm as u64 * 37).is_multiple_of(vms.interval_ms) {
                reported.clone_from(&history[history.len().saturating_sub(vms.age_ms + 1)]);
            }
        }
        pending_calls += share * (WORK_FACTORS.len() * SLOTS) as f64 / WORK_MS;
        while pending_calls >= 1.0 {
            pending_calls -= 1.0;
            calls += 1;
            let reported = &reported[random.random_range(0..vms.count)];
            let candidates = reported
                .iter()
                .zip(WORK_FACTORS)
                .map(|(in_flight, work)| Candidate {
                    in_flight: *in_flight,
                    slots: SLOTS as u32,
                    queued_prefill_ms: 0.0,
                    is_local: true,
                    is_remote_load_stale: vms.count > 12,
                    is_connected: true,
                    was_tried: false,
                    is_short_call: true,
                    has_failed: false,
                    slowness: if is_known { work } else { 1.0 },
                });
            let candidates: Vec<Candidate> = candidates.collect();
            let index = choose(&candidates, || random.random()).expect("there are servers");
            if servers[index].queue.len() < QUEUE_LIMIT {
                servers[index].queue.push_back(now_ms);
            }
        }
    }
    f64::from(in_time) / f64::from(calls)
}

/// Guards against slow servers that get too few calls once their speed is known.
#[test]
fn short_calls_are_answered_in_time_below_the_capacity_of_the_servers() {
    let fleets = [(9, 200, 20), (67, 250, 150), (195, 400, 300)];
    for (count, interval_ms, age_ms) in fleets {
        let vms = Vms {
            count,
            interval_ms,
            age_ms,
        };
        for (share, is_known) in [(0.6, false), (0.6, true), (0.8, false), (0.8, true)] {
            let in_time = in_time(&vms, share, is_known);
            println!("{count} VMs, {share}, known {is_known}: {in_time:.3}");
            assert!(in_time > 0.97, "{count} VMs, {share}: {in_time}");
        }
    }
}
