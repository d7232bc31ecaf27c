//! Property tests of the control stream's fold: writers race for leadership and act on outdated
//! claims, and the network loses, delays and reorders their orders to runners.
//!
//! The simulated runners ignore fencing tokens: they carry out every order that arrives.

use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rattanjunction::{CommandVerdict, Replay};
use serde_json::{Value, json};
use std::collections::BTreeSet;

const WRITERS: [&str; 3] = ["a/1", "b/1", "c/1"];
const RUNNERS: [&str; 2] = ["r0", "r1"];
/// Four large models, of which two fit on a runner, and enough small ones to exceed the limit of
/// open loads.
const MODELS: [&str; 8] = ["m0", "m1", "m2", "m3", "m4", "m5", "m6", "m7"];
const LARGE_MODELS: usize = 4;
const LARGE_MIB: u64 = 20_000;
const SMALL_MIB: u64 = 100;
const RUNNER_MEMORY_MIB: u64 = 42_000;
const MAX_OPEN_LOADS: usize = 6;

/// One step of a simulation; indices of orders are taken modulo the number of orders.
#[derive(Clone, Debug)]
enum Step {
    /// A writer appends a leadership claim, based on the current claim or on an outdated one.
    Claim { writer: usize, is_stale: bool },
    /// A writer proposes a load under its last accepted claim, which may be outdated.
    Load {
        writer: usize,
        runner: usize,
        model: usize,
    },
    /// A writer proposes an unload under its last accepted claim.
    Unload {
        writer: usize,
        runner: usize,
        model: usize,
    },
    /// A writer sends one of its accepted orders, with any delay.
    Send { order: usize },
    /// The network delivers a sent order; the answer may be lost.
    Deliver { sent: usize, is_answered: bool },
    /// The network loses a sent order; the sender gets no answer.
    Lose { sent: usize },
    /// A writer checks a runner and settles the open intent if the runner has carried it out.
    Settle {
        writer: usize,
        runner: usize,
        model: usize,
    },
    /// The leader sends an order, the runner carries it out and answers, the leader settles.
    Complete {
        runner: usize,
        model: usize,
        is_load: bool,
    },
    /// A writer's last envelope is appended to the log again.
    Duplicate { writer: usize },
}

fn step() -> impl Strategy<Value = Step> {
    let writer = 0..WRITERS.len();
    let target = (0..WRITERS.len(), 0..RUNNERS.len(), 0..MODELS.len());
    prop_oneof![
        1 => (writer.clone(), any::<bool>())
            .prop_map(|(writer, is_stale)| Step::Claim { writer, is_stale }),
        5 => target.clone()
            .prop_map(|(writer, runner, model)| Step::Load { writer, runner, model }),
        3 => target.clone()
            .prop_map(|(writer, runner, model)| Step::Unload { writer, runner, model }),
        6 => (0..64_usize).prop_map(|order| Step::Send { order }),
        6 => (0..64_usize, any::<bool>())
            .prop_map(|(sent, is_answered)| Step::Deliver { sent, is_answered }),
        1 => (0..64_usize).prop_map(|sent| Step::Lose { sent }),
        6 => target.prop_map(|(writer, runner, model)| Step::Settle { writer, runner, model }),
        12 => (0..RUNNERS.len(), 0..MODELS.len(), any::<bool>())
            .prop_map(|(runner, model, is_load)| Step::Complete { runner, model, is_load }),
        1 => writer.prop_map(|writer| Step::Duplicate { writer }),
    ]
}

/// An order whose intent the fold accepted.
#[derive(Clone, Debug)]
struct Order {
    writer: usize,
    runner: usize,
    model: usize,
    is_load: bool,
    intent: u64,
    sent: u32,
    answered: u32,
    is_settled: bool,
}

/// The writers, the network and the runners around one fold.
struct Simulation {
    replay: Replay,
    log: Vec<String>,
    sequences: [u64; WRITERS.len()],
    last_envelopes: [Option<String>; WRITERS.len()],
    claims: [u64; WRITERS.len()],
    current_claim: u64,
    orders: Vec<Order>,
    /// Indices into `orders`.
    orders_in_flight: Vec<usize>,
    /// The models loaded on each runner.
    loaded_models: [BTreeSet<usize>; RUNNERS.len()],
}

impl Simulation {
    fn new() -> Self {
        let mut simulation = Self {
            replay: Replay::default(),
            log: Vec::new(),
            sequences: [0; WRITERS.len()],
            last_envelopes: [const { None }; WRITERS.len()],
            claims: [0; WRITERS.len()],
            current_claim: 0,
            orders: Vec::new(),
            orders_in_flight: Vec::new(),
            loaded_models: [const { BTreeSet::new() }; RUNNERS.len()],
        };
        let publish = json!({"Publish": {"base": 0, "inventory": inventory()}});
        assert!(simulation.write(0, &publish).accepted);
        simulation
    }

    fn append(&mut self, record: String) -> Vec<CommandVerdict> {
        let offset = self.log.len() as u64;
        self.log.push(record.clone());
        self.replay
            .fold(offset, offset, &record)
            .expect("the record is readable")
    }

    fn write(&mut self, writer: usize, command: &Value) -> CommandVerdict {
        self.sequences[writer] += 1;
        let envelope = json!({"Commands": {"writer": WRITERS[writer],
            "sequence": self.sequences[writer], "commands": [command]}});
        self.last_envelopes[writer] = Some(envelope.to_string());
        self.append(envelope.to_string())[0]
    }

    fn claim_ref(&self, writer: usize) -> Value {
        json!({"group": "main", "claim": self.claims[writer]})
    }

    fn artifact(&self, runner: usize, model: usize) -> Option<(String, Value)> {
        let state = self.replay.state();
        let copies = state["state"]["books"][RUNNERS[runner]]["copies"].as_object()?;
        copies
            .iter()
            .find(|(name, _)| name.starts_with(MODELS[model]))
            .map(|(name, copy)| (name.clone(), copy.clone()))
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Claim { writer, is_stale } => self.claim(writer, is_stale),
            Step::Load {
                writer,
                runner,
                model,
            } => self.propose(writer, runner, model, true),
            Step::Unload {
                writer,
                runner,
                model,
            } => self.propose(writer, runner, model, false),
            Step::Send { order } => {
                let order = order % self.orders.len().max(1);
                if self
                    .orders
                    .get(order)
                    .is_some_and(|order| !order.is_settled)
                {
                    self.orders[order].sent += 1;
                    self.orders_in_flight.push(order);
                }
            }
            Step::Deliver { sent, is_answered } => {
                if let Some(order) = self.take_sent(sent) {
                    self.deliver(order, is_answered);
                }
            }
            Step::Lose { sent } => {
                self.take_sent(sent);
            }
            Step::Settle {
                writer,
                runner,
                model,
            } => self.settle(writer, runner, model),
            Step::Complete {
                runner,
                model,
                is_load,
            } => self.complete_order(runner, model, is_load),
            Step::Duplicate { writer } => self.append_duplicate(writer),
        }
    }

    /// Sends an order, new or already open, carries it out and settles it without any failure.
    fn complete_order(&mut self, runner: usize, model: usize, is_load: bool) {
        let Some(leader) =
            (0..WRITERS.len()).find(|writer| self.claims[*writer] == self.current_claim)
        else {
            return;
        };
        self.propose(leader, runner, model, is_load);
        let Some((_, copy)) = self.artifact(runner, model) else {
            return;
        };
        let intent = copy["intent"].as_u64();
        let open = ["Loading", "Unloading"].map(Value::from);
        if !open.contains(&copy["state"]) {
            return;
        }
        // The open intent may be an earlier leader's, whose order is then sent again.
        let order = self
            .orders
            .iter()
            .position(|order| Some(order.intent) == intent);
        if let Some(order) = order {
            self.orders[order].sent += 1;
            self.deliver(order, true);
        }
        self.settle(leader, runner, model);
    }

    fn claim(&mut self, writer: usize, is_stale: bool) {
        let after = if is_stale {
            self.claims[writer]
        } else {
            self.current_claim
        };
        let expected = after == self.current_claim;
        let vm = WRITERS[writer].trim_end_matches("/1");
        let command = json!({"Claim": {"group": "main", "vm": vm, "after": after}});
        let verdict = self.write(writer, &command);
        assert_eq!(
            verdict.accepted, expected,
            "a claim is accepted if and only if it names the current claim"
        );
        if verdict.accepted {
            self.claims[writer] = verdict.fence;
            self.current_claim = verdict.fence;
        }
    }

    fn propose(&mut self, writer: usize, runner: usize, model: usize, is_load: bool) {
        let artifact = format!("{}  1", MODELS[model]);
        let kind = if is_load { "Load" } else { "Unload" };
        let command = json!({kind: {"under": self.claim_ref(writer), "runner": RUNNERS[runner],
            "artifact": artifact}});
        let verdict = self.write(writer, &command);
        if verdict.accepted {
            assert_eq!(
                self.claims[writer], self.current_claim,
                "only the leader's intents are accepted"
            );
            self.orders.push(Order {
                writer,
                runner,
                model,
                is_load,
                intent: verdict.fence,
                sent: 0,
                answered: 0,
                is_settled: false,
            });
        }
    }

    fn take_sent(&mut self, sent: usize) -> Option<usize> {
        if self.orders_in_flight.is_empty() {
            return None;
        }
        let index = sent % self.orders_in_flight.len();
        Some(self.orders_in_flight.swap_remove(index))
    }

    fn deliver(&mut self, order: usize, is_answered: bool) {
        self.orders[order].answered += u32::from(is_answered);
        let Order {
            runner,
            model,
            is_load,
            ..
        } = self.orders[order];
        if is_load {
            self.loaded_models[runner].insert(model);
        } else {
            self.loaded_models[runner].remove(&model);
        }
    }

    /// Settles as the planner does: clean only if the order was accepted under the writer's current
    /// claim and a runner answered each time that it was sent.
    fn settle(&mut self, writer: usize, runner: usize, model: usize) {
        let Some((name, copy)) = self.artifact(runner, model) else {
            return;
        };
        let is_loaded = self.loaded_models[runner].contains(&model);
        let is_done = match copy["state"].as_str() {
            Some("Loading") => is_loaded,
            Some("Unloading") => !is_loaded,
            _ => return,
        };
        let intent = copy["intent"].as_u64().unwrap_or(0);
        let own = self.orders.iter().find(|order| order.intent == intent);
        let is_clean = own
            .is_some_and(|order| order.writer == writer && order.sent == order.answered)
            && intent > self.claims[writer];
        if !is_done {
            return;
        }
        let command = json!({"Settle": {"under": self.claim_ref(writer), "runner": RUNNERS[runner],
            "artifact": name, "intent": intent, "outcome": "Done", "clean": is_clean}});
        let verdict = self.write(writer, &command);
        if verdict.accepted && is_clean {
            let order = self.orders.iter_mut().find(|order| order.intent == intent);
            // The leader does not send an order again after settling it.
            order
                .expect("an order settled as clean is in the writer's list")
                .is_settled = true;
        }
    }

    fn append_duplicate(&mut self, writer: usize) {
        if let Some(record) = self.last_envelopes[writer].clone() {
            let before = self.replay.state()["state"].clone();
            let verdicts = self.append(record);
            assert!(
                verdicts.is_empty(),
                "a duplicate envelope brings no verdict"
            );
            assert_eq!(
                self.replay.state()["state"],
                before,
                "a duplicate envelope does not change the state"
            );
        }
    }

    /// Checks that no runner's memory is overcommitted and the limit of open loads is kept.
    fn check_limits(&self) {
        let state = self.replay.state();
        let mut open_loads = 0;
        for (index, runner) in RUNNERS.iter().enumerate() {
            let held_mib = self.loaded_models[index]
                .iter()
                .copied()
                .map(mib)
                .sum::<u64>();
            assert!(
                held_mib <= RUNNER_MEMORY_MIB,
                "{runner} holds {held_mib} MiB"
            );
            let copies = state["state"]["books"][runner]["copies"].as_object();
            let copies = copies.cloned().unwrap_or_default();
            let reserved_mib: u64 = copies
                .values()
                .filter_map(|copy| copy["mib"].as_u64())
                .sum();
            assert!(
                reserved_mib <= RUNNER_MEMORY_MIB,
                "the memory ledger of {runner} has {reserved_mib} MiB"
            );
            open_loads += copies
                .values()
                .filter(|copy| copy["state"] == "Loading")
                .count();
        }
        assert!(open_loads <= MAX_OPEN_LOADS, "{open_loads} loads are open");
    }

    /// Checks that a reader that starts from a snapshot reaches the same state as one that read the
    /// whole log.
    fn check_snapshot(&self, cut: usize) {
        let cut = cut % (self.log.len() + 1);
        let mut until_cut = Replay::default();
        for (offset, record) in self.log[..cut].iter().enumerate() {
            let folded = until_cut.fold(offset as u64, offset as u64, record);
            assert!(folded.is_ok());
        }
        let mut restored = Replay::default();
        assert!(restored.restore(cut as u64, &until_cut.snapshot()));
        for (offset, record) in self.log.iter().enumerate().skip(cut) {
            let folded = restored.fold(offset as u64, offset as u64, record);
            assert!(folded.is_ok());
        }
        assert_eq!(
            restored.state(),
            self.replay.state(),
            "state after restoring a snapshot at {cut}"
        );
    }
}

fn mib(model: usize) -> u64 {
    if model < LARGE_MODELS {
        LARGE_MIB
    } else {
        SMALL_MIB
    }
}

fn inventory() -> Value {
    let models: Vec<Value> = MODELS
        .iter()
        .enumerate()
        .map(|(index, name)| json!({"name": name, "version": "1", "weights_mib": mib(index)}))
        .collect();
    let servers: Vec<Value> = RUNNERS
        .iter()
        .enumerate()
        .map(|(index, name)| {
            json!({"name": name, "duty": "runner",
                "address": format!("127.0.0.1:{}", 9_000 + index),
                "availability_zone": "karlin", "memory_mib": RUNNER_MEMORY_MIB})
        })
        .collect();
    json!({"models": models, "backend_servers": servers})
}

/// Returns a test runner with a fixed seed, so that the result depends on the code alone.
fn test_runner(cases: u32) -> TestRunner {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

#[googletest::test]
fn interleavings_never_overcommit_memory_or_make_readers_diverge() {
    let runs = (prop::collection::vec(step(), 1..120), any::<usize>());
    let outcome = test_runner(1_500).run(&runs, |(steps, cut)| {
        let mut simulation = Simulation::new();
        for step in &steps {
            simulation.apply(step);
            simulation.check_limits();
        }
        simulation.check_snapshot(cut);
        Ok(())
    });
    expect_that!(outcome, ok(anything()));
}

#[googletest::test]
fn open_loads_stay_within_the_limit_of_the_weight_store() {
    let targets = prop::collection::vec((0..RUNNERS.len(), 0..MODELS.len()), 20..60);
    let outcome = test_runner(50).run(&targets, |targets| {
        let mut simulation = Simulation::new();
        simulation.claim(0, false);
        for (runner, model) in targets {
            simulation.propose(0, runner, model, true);
            simulation.check_limits();
        }
        Ok(())
    });
    expect_that!(outcome, ok(anything()));
}
