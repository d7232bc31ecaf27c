//! Plays fleets of many sizes against parts of prompts that crash servers.

use crate::gateway::PromptPart;
use crate::gateway::crash_containment::CrashContainment;
use crate::gateway::crash_report::{CrashCause, CrashReport, ServerRunId, Witness};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashSet};
use std::time::{Duration, Instant};

/// The time of a play, in milliseconds.
const PLAY_MS: u64 = 20_000;
/// When the first bad request is sent.
const BAD_FROM_MS: u64 = 5_000;
/// The interval of regular messages between VMs.
const ROUND_MS: u64 = 200;
/// The share of messages that are lost.
const LOSS: f64 = 0.1;
/// How long a server takes to begin an answer, and to crash.
const BEGIN_MS: u64 = 60;
/// How long a server that crashed is down.
const DOWN_MS: u64 = 2_000;
/// Sound requests per second and server.
const SOUND_PER_SERVER_S: f64 = 15.0;
/// The part that all prompts begin with.
const FIRST: PromptPart = PromptPart(1);
/// The first of the parts that crash servers.
const BAD: u64 = 1_000_000;

/// A fleet and its load.
#[derive(Clone, Copy, Debug)]
struct Setup {
    vms: usize,
    servers: usize,
    subjects: u64,
    bad_parts: u64,
    bad_per_s: f64,
    /// Whether servers also end for other reasons, one a second.
    has_other_crashes: bool,
}

/// What came of a play.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    crashes: usize,
    /// Requests with the part that was sent most often, sent later than 3 s after its fifth crash.
    late: usize,
    sound: usize,
    sound_refused: usize,
}

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Sound,
    Bad(u64),
    /// The server ends by itself.
    End(usize),
    /// The request at a server begins to be answered, if the server still runs.
    Begin(usize),
    /// A VM hears of a crash, by the request and the server's run.
    Report(usize, usize),
    /// A VM hears that answers with a part have begun elsewhere.
    Begun(usize, u64),
    /// A VM hears that a part is contained.
    Contained(usize, u64),
    Round(usize),
}

struct Request {
    vm: usize,
    server: usize,
    run: u64,
    parts: Vec<PromptPart>,
    sent_ms: u64,
    attempts: u32,
    is_open: bool,
}

struct Play {
    setup: Setup,
    random: StdRng,
    start: Instant,
    vms: Vec<CrashContainment>,
    servers: Vec<(u64, u64)>,
    requests: Vec<Request>,
    reports: Vec<CrashReport>,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    told: HashSet<(usize, u64)>,
    sent_bad: Vec<(u64, u64)>,
    bad_crashes: Vec<(u64, u64)>,
    outcome: Outcome,
}

impl Play {
    fn run(setup: Setup, seed: u64) -> Outcome {
        let mut play = Self {
            setup,
            random: StdRng::seed_from_u64(seed),
            start: Instant::now(),
            vms: (0..setup.vms)
                .map(|_| CrashContainment::default())
                .collect(),
            servers: vec![(0, 0); setup.servers],
            requests: Vec::new(),
            reports: Vec::new(),
            events: BinaryHeap::new(),
            told: HashSet::new(),
            sent_bad: Vec::new(),
            bad_crashes: Vec::new(),
            outcome: Outcome::default(),
        };
        play.push(0, Event::Sound);
        for part in 0..setup.bad_parts {
            play.push(BAD_FROM_MS, Event::Bad(BAD + part));
        }
        for vm in 0..setup.vms {
            let phase_ms = play.random.random_range(0..ROUND_MS);
            play.push(phase_ms, Event::Round(vm));
        }
        if setup.has_other_crashes {
            for second in 6..PLAY_MS / 1_000 {
                let server = play.random.random_range(0..setup.servers);
                play.push(second * 1_000, Event::End(server));
            }
        }
        while let Some(Reverse((at_ms, event))) = play.events.pop() {
            if at_ms >= PLAY_MS {
                break;
            }
            play.handle(at_ms, event);
        }
        play.outcome()
    }

    fn push(&mut self, at_ms: u64, event: Event) {
        self.events.push(Reverse((at_ms, event)));
    }

    fn at(&self, at_ms: u64) -> Instant {
        self.start + Duration::from_millis(at_ms)
    }

    /// When a message that is repeated in each round first arrives.
    fn arrival(&mut self, sent_ms: u64) -> u64 {
        let mut at_ms = sent_ms + self.random.random_range(1..20);
        while self.random.random_bool(LOSS) {
            at_ms += ROUND_MS;
        }
        at_ms
    }

    fn handle(&mut self, at_ms: u64, event: Event) {
        let now = self.at(at_ms);
        match event {
            Event::Sound => {
                let subject = 2 + self.random.random_range(0..self.setup.subjects);
                self.outcome.sound += 1;
                if !self.send(at_ms, vec![FIRST, PromptPart(subject)]) {
                    self.outcome.sound_refused += 1;
                }
                let rate_per_s = SOUND_PER_SERVER_S * self.setup.servers as f64;
                let pause_ms = self.random.random_range(0.5..1.5) * 1_000.0 / rate_per_s;
                // Several requests may fall into one millisecond.
                let next_ms = at_ms
                    + pause_ms as u64
                    + u64::from(pause_ms < 1.0 && self.random.random_bool(pause_ms));
                self.push(next_ms, Event::Sound);
            }
            Event::Bad(part) => {
                self.send(at_ms, vec![FIRST, PromptPart(part)]);
                let pause_ms = self.random.random_range(0.5..1.5) * 1_000.0 / self.setup.bad_per_s;
                self.push(at_ms + pause_ms as u64, Event::Bad(part));
            }
            Event::End(server) => self.end_server(at_ms, server),
            Event::Begin(request) => self.begin(at_ms, request),
            Event::Report(vm, report) => {
                let report = self.reports[report].clone();
                if self.vms[vm].record_crash(&report, now) {
                    for part in &report.parts {
                        if self.vms[vm].has_begun_here(*part) {
                            self.tell_begun(at_ms, *part);
                        }
                    }
                    self.vms[vm].update(now);
                }
            }
            Event::Begun(vm, part) => {
                self.vms[vm].record_begun_elsewhere(PromptPart(part));
                self.vms[vm].update(now);
            }
            Event::Contained(vm, part) => {
                let cause = CrashCause::Part(PromptPart(part));
                self.vms[vm].contain(cause, Duration::ZERO, now);
            }
            Event::Round(vm) => {
                self.vms[vm].update(now);
                for (cause, _) in self.vms[vm].confirmed(now) {
                    if let CrashCause::Part(part) = cause {
                        self.tell_contained(at_ms, part);
                    }
                }
                self.push(at_ms + ROUND_MS, Event::Round(vm));
            }
        }
    }

    /// Sends a request through a VM; returns false if the VM refuses it.
    fn send(&mut self, at_ms: u64, parts: Vec<PromptPart>) -> bool {
        let vm = self.random.random_range(0..self.setup.vms);
        let request = Request {
            vm,
            server: 0,
            run: 0,
            parts,
            sent_ms: at_ms,
            attempts: 0,
            is_open: true,
        };
        self.requests.push(request);
        self.dispatch(at_ms, self.requests.len() - 1)
    }

    fn dispatch(&mut self, at_ms: u64, index: usize) -> bool {
        let now = self.at(at_ms);
        let request = &self.requests[index];
        let (vm, parts) = (request.vm, request.parts.clone());
        if self.vms[vm].cause_of(index as u64, &parts, now).is_some() {
            return false;
        }
        let running: Vec<usize> = (0..self.servers.len())
            .filter(|server| self.servers[*server].1 <= at_ms)
            .collect();
        if running.is_empty() {
            return true;
        }
        let server = running[self.random.random_range(0..running.len())];
        let request = &mut self.requests[index];
        request.server = server;
        request.run = self.servers[server].0;
        request.sent_ms = at_ms;
        request.attempts += 1;
        if parts[1].0 >= BAD {
            self.sent_bad.push((parts[1].0, at_ms));
        }
        self.push(at_ms + BEGIN_MS, Event::Begin(index));
        true
    }

    fn begin(&mut self, at_ms: u64, index: usize) {
        let request = &self.requests[index];
        if !request.is_open || request.run != self.servers[request.server].0 {
            return;
        }
        let (vm, server, part) = (request.vm, request.server, request.parts[1].0);
        if part >= BAD {
            self.bad_crashes.push((part, at_ms));
            self.end_server(at_ms, server);
            return;
        }
        let (parts, sent_at) = (request.parts.clone(), self.at(request.sent_ms));
        self.requests[index].is_open = false;
        self.vms[vm].record_begun_answer(index as u64, &parts, sent_at);
    }

    /// Ends a server's run; each VM reports its requests there and sends them once more.
    fn end_server(&mut self, at_ms: u64, server: usize) {
        let (run, down_until_ms) = self.servers[server];
        if down_until_ms > at_ms {
            return;
        }
        self.outcome.crashes += 1;
        self.servers[server] = (run + 1, at_ms + DOWN_MS);
        let oldest = self.requests.len().saturating_sub(20_000);
        let lost: Vec<usize> = (oldest..self.requests.len())
            .filter(|index| {
                let it = &self.requests[*index];
                it.is_open && it.attempts > 0 && it.server == server && it.run == run
            })
            .collect();
        let now = self.at(at_ms);
        for index in lost {
            let (vm, parts) = (self.requests[index].vm, self.requests[index].parts.clone());
            let report = CrashReport {
                run: ServerRunId((server as u64) << 32 | run),
                request: index as u64,
                parts: parts.clone(),
                in_flight: Duration::from_millis(at_ms - self.requests[index].sent_ms),
                since_break: Duration::ZERO,
                witness: None,
            };
            self.vms[vm].record_crash(&report, now);
            self.vms[vm].update(now);
            self.reports.push(CrashReport {
                witness: Some(Witness {
                    vm: vm as u64,
                    begun_answers: self.vms[vm].begun_answers(),
                }),
                ..report
            });
            for other in (0..self.setup.vms).filter(|other| *other != vm) {
                let heard_ms = self.arrival(at_ms);
                self.push(heard_ms, Event::Report(other, self.reports.len() - 1));
            }
            let may_resend = self.requests[index].attempts < 2 && !self.vms[vm].has_suspect(&parts);
            if !may_resend || !self.dispatch(at_ms, index) {
                self.requests[index].is_open = false;
            }
        }
    }

    fn tell_begun(&mut self, at_ms: u64, part: PromptPart) {
        for vm in 0..self.setup.vms {
            if self.told.insert((vm, part.0)) {
                let heard_ms = self.arrival(at_ms) + self.random.random_range(0..ROUND_MS);
                self.push(heard_ms, Event::Begun(vm, part.0));
            }
        }
    }

    fn tell_contained(&mut self, at_ms: u64, part: PromptPart) {
        for vm in 0..self.setup.vms {
            if self.told.insert((vm, !part.0)) {
                let heard_ms = self.arrival(at_ms);
                self.push(heard_ms, Event::Contained(vm, part.0));
            }
        }
    }

    fn outcome(mut self) -> Outcome {
        for part in BAD..BAD + self.setup.bad_parts {
            let mut crashes = self.bad_crashes.iter().filter(|(of, _)| *of == part);
            let Some((_, fifth_ms)) = crashes.nth(4) else {
                continue;
            };
            let late = self.sent_bad.iter();
            let late = late.filter(|(of, at_ms)| *of == part && *at_ms > fifth_ms + 3_000);
            self.outcome.late = self.outcome.late.max(late.count());
        }
        self.outcome
    }
}

fn setup(vms: usize, bad_parts: u64, bad_per_s: f64) -> Setup {
    Setup {
        vms,
        servers: (vms * 3 / 2).clamp(6, 60),
        subjects: 200,
        bad_parts,
        bad_per_s,
        has_other_crashes: false,
    }
}

#[test]
fn parts_that_crash_servers_are_contained_in_fleets_of_all_sizes() {
    for (vms, seeds) in [(1, 4), (6, 4), (67, 2), (300, 1)] {
        for (bad_parts, bad_per_s) in [(1, 1.0), (1, 20.0), (3, 5.0)] {
            for seed in 0..seeds {
                let setup = setup(vms, bad_parts, bad_per_s);
                let outcome = Play::run(setup, seed);
                println!("{setup:?} {outcome:?}");
                assert!(outcome.late <= 3, "{setup:?} {outcome:?}");
                let refused = outcome.sound_refused as f64 / outcome.sound as f64;
                assert!(refused < 0.01, "{setup:?} {outcome:?}");
            }
        }
    }
}

#[test]
fn a_part_is_contained_in_a_thousand_vms_that_see_few_answers_each() {
    let setup = setup(1_000, 1, 20.0);
    let outcome = Play::run(setup, 0);
    println!("{setup:?} {outcome:?}");
    assert!(outcome.late <= 3, "{setup:?} {outcome:?}");
}

#[test]
fn crashes_of_other_causes_get_no_sound_request_refused() {
    for (vms, subjects) in [(1, 10), (6, 200), (6, 10_000), (67, 1_000)] {
        for seed in 0..3 {
            let setup = Setup {
                subjects,
                has_other_crashes: true,
                ..setup(vms, 0, 1.0)
            };
            let outcome = Play::run(setup, seed);
            println!("{setup:?} {outcome:?}");
            let refused = outcome.sound_refused as f64 / outcome.sound as f64;
            assert!(refused < 0.001, "{setup:?} {outcome:?}");
        }
    }
}

#[test]
fn both_at_a_time_are_told_apart() {
    for (vms, subjects) in [(6, 10), (6, 200), (67, 1_000)] {
        for seed in 0..3 {
            let setup = Setup {
                subjects,
                has_other_crashes: true,
                ..setup(vms, 2, 5.0)
            };
            let outcome = Play::run(setup, seed);
            println!("{setup:?} {outcome:?}");
            assert!(outcome.late <= 3, "{setup:?} {outcome:?}");
            let refused = outcome.sound_refused as f64 / outcome.sound as f64;
            assert!(refused < 0.01, "{setup:?} {outcome:?}");
        }
    }
}
