//! Plain calls before a few servers that queue them, from VMs that hear of their load too late.

use crate::gateway::choose::{Candidate, choose};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::VecDeque;

const SLOTS: usize = 6;
/// Calls that a server keeps beside those that it works on; more are refused.
const QUEUE: usize = 30;
const WORK_MS: f64 = 60.0;
/// The work of each server, in parts of the usual: they differ.
const SERVERS: [f64; 5] = [0.75, 0.9, 1.0, 1.1, 1.35];
const TARGET_MS: u64 = 300;
const RUN_MS: u64 = 10_000;

/// VMs, how often each hears of the load, and how old that is by then.
struct Vms {
    count: usize,
    interval_ms: u64,
    age_ms: usize,
}

#[derive(Default)]
struct Server {
    /// Calls with the end of their work and their arrival.
    running: Vec<(u64, u64)>,
    queue: VecDeque<u64>,
}

impl Server {
    fn count(&self) -> u32 {
        (self.running.len() + self.queue.len()) as u32
    }

    /// Begins what there is a slot for.
    fn begin(&mut self, now_ms: u64, work: f64, random: &mut SmallRng) {
        while self.running.len() < SLOTS {
            let Some(arrived_ms) = self.queue.pop_front() else {
                return;
            };
            let work_ms = WORK_MS * work * random.random_range(0.5..1.5);
            self.running.push((now_ms + work_ms as u64, arrived_ms));
        }
    }
}

/// The part of the calls that are answered in time, where they take `share` of the servers' time.
fn in_time(vms: &Vms, share: f64) -> f64 {
    let mut random = SmallRng::seed_from_u64(11);
    let mut servers: Vec<Server> = SERVERS.iter().map(|_| Server::default()).collect();
    let mut past: Vec<Vec<u32>> = Vec::new();
    let mut known = vec![vec![0; SERVERS.len()]; vms.count];
    let (mut calls, mut in_time, mut due) = (0_u32, 0_u32, 0.0);
    for now_ms in 0..RUN_MS {
        for (server, work) in servers.iter_mut().zip(SERVERS) {
            server.running.retain(|(end_ms, arrived_ms)| {
                let is_over = *end_ms <= now_ms;
                in_time += u32::from(is_over && now_ms - arrived_ms <= TARGET_MS);
                !is_over
            });
            server.begin(now_ms, work, &mut random);
        }
        past.push(servers.iter().map(Server::count).collect());
        for (vm, known) in known.iter_mut().enumerate() {
            if (now_ms + vm as u64 * 37).is_multiple_of(vms.interval_ms) {
                known.clone_from(&past[past.len().saturating_sub(vms.age_ms + 1)]);
            }
        }
        due += share * (SERVERS.len() * SLOTS) as f64 / WORK_MS;
        while due >= 1.0 {
            due -= 1.0;
            calls += 1;
            let known = &known[random.random_range(0..vms.count)];
            let candidates = known.iter().map(|in_flight| Candidate {
                in_flight: *in_flight,
                slots: SLOTS as u32,
                prompts_wait_ms: 0.0,
                is_near: true,
                is_far_late: vms.count > 12,
                is_connected: true,
                is_short_call: true,
                has_failed: false,
            });
            let candidates: Vec<Candidate> = candidates.collect();
            let place = choose(&candidates, || random.random()).expect("there are servers");
            if servers[place].queue.len() < QUEUE {
                servers[place].queue.push_back(now_ms);
            }
        }
    }
    f64::from(in_time) / f64::from(calls)
}

#[test]
fn calls_are_in_time_while_the_servers_have_time_for_them() {
    let fleets = [(9, 200, 20), (67, 250, 150), (195, 400, 300)];
    for (count, interval_ms, age_ms) in fleets {
        let vms = Vms {
            count,
            interval_ms,
            age_ms,
        };
        for share in [0.6, 0.8] {
            let in_time = in_time(&vms, share);
            println!("{count} VMs, {share}: {in_time:.3}");
            assert!(in_time > 0.97, "{count} VMs, {share}: {in_time}");
        }
    }
}
