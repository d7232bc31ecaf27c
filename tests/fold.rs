//! The fold of the control stream, against writers that race, pause and wake, and a
//! network that loses, delays and reorders their orders to engines.
//!
//! The engines here ignore fencing numbers: they load whatever arrives.

use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rattanjunction::{CommandVerdict, Replay};
use serde_json::{Value, json};
use std::collections::BTreeSet;

const WRITERS: [&str; 3] = ["a/1", "b/1", "c/1"];
const RUNNERS: [&str; 2] = ["r0", "r1"];
/// Four large models, and small ones enough to open more loads than are allowed.
const MODELS: [&str; 8] = ["m0", "m1", "m2", "m3", "m4", "m5", "m6", "m7"];
const LARGE_MODELS: usize = 4;
const LARGE_MIB: u64 = 20_000;
const SMALL_MIB: u64 = 100;
const ROOM_MIB: u64 = 42_000;
const MAX_OPEN_LOADS: usize = 6;

/// One step of a run; indices are taken modulo what there is.
#[derive(Clone, Debug)]
enum Step {
    /// A writer takes the group over, as it knows the present claim or an old one.
    Claim { writer: usize, is_stale: bool },
    /// A writer proposes a load under the claim that it believes to hold.
    Load {
        writer: usize,
        runner: usize,
        model: usize,
    },
    /// A writer proposes an unload.
    Unload {
        writer: usize,
        runner: usize,
        model: usize,
    },
    /// A writer sends one of its accepted orders, however late.
    Send { order: usize },
    /// The network delivers a sent order; its answer may be lost.
    Deliver { sent: usize, is_answered: bool },
    /// The network loses a sent order; its sender does not know.
    Lose { sent: usize },
    /// The holder looks at an engine and settles what it can.
    Settle {
        writer: usize,
        runner: usize,
        model: usize,
    },
    /// The holder orders, the engine obeys and answers, the holder settles.
    Complete {
        runner: usize,
        model: usize,
        is_load: bool,
    },
    /// A writer's last envelope is in the log once more.
    Repeat { writer: usize },
}

fn step() -> impl Strategy<Value = Step> {
    let writer = 0..WRITERS.len();
    let place = (0..WRITERS.len(), 0..RUNNERS.len(), 0..MODELS.len());
    prop_oneof![
        1 => (writer.clone(), any::<bool>())
            .prop_map(|(writer, is_stale)| Step::Claim { writer, is_stale }),
        5 => place.clone()
            .prop_map(|(writer, runner, model)| Step::Load { writer, runner, model }),
        3 => place.clone()
            .prop_map(|(writer, runner, model)| Step::Unload { writer, runner, model }),
        6 => (0..64_usize).prop_map(|order| Step::Send { order }),
        6 => (0..64_usize, any::<bool>())
            .prop_map(|(sent, is_answered)| Step::Deliver { sent, is_answered }),
        1 => (0..64_usize).prop_map(|sent| Step::Lose { sent }),
        6 => place.prop_map(|(writer, runner, model)| Step::Settle { writer, runner, model }),
        12 => (0..RUNNERS.len(), 0..MODELS.len(), any::<bool>())
            .prop_map(|(runner, model, is_load)| Step::Complete { runner, model, is_load }),
        1 => writer.prop_map(|writer| Step::Repeat { writer }),
    ]
}

/// An order whose intent was read back as accepted.
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

/// Writers, engines and the network around one fold.
struct World {
    replay: Replay,
    log: Vec<String>,
    sequences: [u64; WRITERS.len()],
    last: [Option<String>; WRITERS.len()],
    claims: [u64; WRITERS.len()],
    current: u64,
    orders: Vec<Order>,
    network: Vec<usize>,
    engines: [BTreeSet<usize>; RUNNERS.len()],
}

impl World {
    fn new() -> Self {
        let mut world = Self {
            replay: Replay::default(),
            log: Vec::new(),
            sequences: [0; WRITERS.len()],
            last: [const { None }; WRITERS.len()],
            claims: [0; WRITERS.len()],
            current: 0,
            orders: Vec::new(),
            network: Vec::new(),
            engines: [const { BTreeSet::new() }; RUNNERS.len()],
        };
        let publish = json!({"Publish": {"base": 0, "inventory": inventory()}});
        assert!(world.write(0, &publish).accepted);
        world
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
        self.last[writer] = Some(envelope.to_string());
        self.append(envelope.to_string())[0]
    }

    fn under(&self, writer: usize) -> Value {
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

    fn take(&mut self, step: &Step) {
        match *step {
            Step::Claim { writer, is_stale } => self.claim(writer, is_stale),
            Step::Load {
                writer,
                runner,
                model,
            } => self.order(writer, runner, model, true),
            Step::Unload {
                writer,
                runner,
                model,
            } => self.order(writer, runner, model, false),
            Step::Send { order } => {
                let order = order % self.orders.len().max(1);
                if self
                    .orders
                    .get(order)
                    .is_some_and(|order| !order.is_settled)
                {
                    self.orders[order].sent += 1;
                    self.network.push(order);
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
            } => self.complete(runner, model, is_load),
            Step::Repeat { writer } => self.repeat(writer),
        }
    }

    /// An order without any fault on its way, new or given before.
    fn complete(&mut self, runner: usize, model: usize, is_load: bool) {
        let Some(holder) = (0..WRITERS.len()).find(|writer| self.claims[*writer] == self.current)
        else {
            return;
        };
        self.order(holder, runner, model, is_load);
        let Some((_, copy)) = self.artifact(runner, model) else {
            return;
        };
        let intent = copy["intent"].as_u64();
        let open = ["Loading", "Unloading"].map(Value::from);
        if !open.contains(&copy["state"]) {
            return;
        }
        // The intent may be an earlier holder's: its order is given again.
        let given = self
            .orders
            .iter()
            .position(|order| Some(order.intent) == intent);
        if let Some(order) = given {
            self.orders[order].sent += 1;
            self.deliver(order, true);
        }
        self.settle(holder, runner, model);
    }

    fn claim(&mut self, writer: usize, is_stale: bool) {
        let after = if is_stale {
            self.claims[writer]
        } else {
            self.current
        };
        let expected = after == self.current;
        let vm = WRITERS[writer].trim_end_matches("/1");
        let command = json!({"Claim": {"group": "main", "vm": vm, "after": after}});
        let judged = self.write(writer, &command);
        assert_eq!(judged.accepted, expected, "one claim follows another");
        if judged.accepted {
            self.claims[writer] = judged.fence;
            self.current = judged.fence;
        }
    }

    fn order(&mut self, writer: usize, runner: usize, model: usize, is_load: bool) {
        let artifact = format!("{}  1", MODELS[model]);
        let kind = if is_load { "Load" } else { "Unload" };
        let command = json!({kind: {"under": self.under(writer), "runner": RUNNERS[runner],
            "artifact": artifact}});
        let judged = self.write(writer, &command);
        if judged.accepted {
            assert_eq!(self.claims[writer], self.current, "only the holder orders");
            self.orders.push(Order {
                writer,
                runner,
                model,
                is_load,
                intent: judged.fence,
                sent: 0,
                answered: 0,
                is_settled: false,
            });
        }
    }

    fn take_sent(&mut self, sent: usize) -> Option<usize> {
        if self.network.is_empty() {
            return None;
        }
        let place = sent % self.network.len();
        Some(self.network.swap_remove(place))
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
            self.engines[runner].insert(model);
        } else {
            self.engines[runner].remove(&model);
        }
    }

    /// Settles as the planner does: clean only under the claim that gave the order,
    /// with each sending answered.
    fn settle(&mut self, writer: usize, runner: usize, model: usize) {
        let Some((name, copy)) = self.artifact(runner, model) else {
            return;
        };
        let holds = self.engines[runner].contains(&model);
        let is_done = match copy["state"].as_str() {
            Some("Loading") => holds,
            Some("Unloading") => !holds,
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
        let command = json!({"Settle": {"under": self.under(writer), "runner": RUNNERS[runner],
            "artifact": name, "intent": intent, "outcome": "Done", "clean": is_clean}});
        let judged = self.write(writer, &command);
        if judged.accepted && is_clean {
            let order = self.orders.iter_mut().find(|order| order.intent == intent);
            // The holder sends nothing more for an order that it has settled.
            order.expect("a clean order is the writer's own").is_settled = true;
        }
    }

    fn repeat(&mut self, writer: usize) {
        if let Some(record) = self.last[writer].clone() {
            let before = self.replay.state()["state"].clone();
            let judged = self.append(record);
            assert!(judged.is_empty(), "a repeat brings no verdict");
            assert_eq!(
                self.replay.state()["state"],
                before,
                "a repeat changes nothing"
            );
        }
    }

    fn check(&self) {
        let state = self.replay.state();
        let mut open = 0;
        for (index, runner) in RUNNERS.iter().enumerate() {
            let held_mib = self.engines[index].iter().copied().map(mib).sum::<u64>();
            assert!(held_mib <= ROOM_MIB, "{runner} holds {held_mib} MiB");
            let copies = state["state"]["books"][runner]["copies"].as_object();
            let copies = copies.cloned().unwrap_or_default();
            let taken_mib: u64 = copies
                .values()
                .filter_map(|copy| copy["mib"].as_u64())
                .sum();
            assert!(
                taken_mib <= ROOM_MIB,
                "the book of {runner} has {taken_mib} MiB"
            );
            open += copies
                .values()
                .filter(|copy| copy["state"] == "Loading")
                .count();
        }
        assert!(open <= MAX_OPEN_LOADS, "{open} loads are open");
    }

    /// A reader that begins at a snapshot comes to the same state as one that read all.
    fn check_snapshot(&self, cut: usize) {
        let cut = cut % (self.log.len() + 1);
        let mut first = Replay::default();
        for (offset, record) in self.log[..cut].iter().enumerate() {
            let folded = first.fold(offset as u64, offset as u64, record);
            assert!(folded.is_ok());
        }
        let mut second = Replay::default();
        assert!(second.restore(cut as u64, &first.snapshot()));
        for (offset, record) in self.log.iter().enumerate().skip(cut) {
            let folded = second.fold(offset as u64, offset as u64, record);
            assert!(folded.is_ok());
        }
        assert_eq!(
            second.state(),
            self.replay.state(),
            "from a snapshot at {cut}"
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
            json!({"name": name, "duty": "runner", "address": format!("127.0.0.1:{}", 9_000 + index),
                "availability_zone": "karlin", "memory_mib": ROOM_MIB})
        })
        .collect();
    json!({"models": models, "backend_servers": servers})
}

/// The same runs each time: the verdict depends on the code alone.
fn runner(cases: u32) -> TestRunner {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

#[googletest::test]
fn no_interleaving_overcommits_memory_or_divides_readers() {
    let runs = (prop::collection::vec(step(), 1..120), any::<usize>());
    let outcome = runner(1_500).run(&runs, |(steps, cut)| {
        let mut world = World::new();
        for step in &steps {
            world.take(step);
            world.check();
        }
        world.check_snapshot(cut);
        Ok(())
    });
    expect_that!(outcome, ok(anything()));
}

#[googletest::test]
fn no_more_loads_are_open_than_the_store_serves() {
    let places = prop::collection::vec((0..RUNNERS.len(), 0..MODELS.len()), 20..60);
    let outcome = runner(50).run(&places, |places| {
        let mut world = World::new();
        world.claim(0, false);
        for (runner, model) in places {
            world.order(0, runner, model, true);
            world.check();
        }
        Ok(())
    });
    expect_that!(outcome, ok(anything()));
}
