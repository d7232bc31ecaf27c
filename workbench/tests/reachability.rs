//! Every model stays reachable: through changes of version, and while machines die.
//!
//! A prober asks every model all the time through every VM that lives, as a
//! caller with a deadline; each answer must be whole and the text of a version
//! that was in force.

use googletest::prelude::*;
use nix::sys::signal::Signal;
use rattanjunction::Inventory;
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::{Duration, Instant};
use workbench::cluster::{Cluster, Plan, block_on};
use workbench::http_json;
use workbench::load_client::{Asker, End, Question};
use workbench::sample_inventory::Shape;
use workbench::status::is_resident;

const LIMIT: Duration = Duration::from_secs(30);
/// The deadline of each probe: that of an urgent caller.
const DEADLINE_MS: u64 = 10_000;
/// Tokens of a probe's answer.
const PROBE_TOKENS: u32 = 6;
/// The pause between two probes of one model through one VM.
const PROBE_PAUSE: Duration = Duration::from_millis(10);
/// Loads that the weight store serves at full speed.
const STORE_SLOTS: u64 = 6;

/// Asks every model through every VM until stopped.
struct Prober {
    /// The names that callers use, each with the texts' versions.
    names: Vec<String>,
    versions: Vec<&'static str>,
    /// VMs that are not asked, since they are dead.
    dead: RefCell<BTreeSet<usize>>,
    stopped: Cell<bool>,
    answers: RefCell<BTreeMap<String, u64>>,
    failures: RefCell<Vec<String>>,
}

impl Prober {
    fn new(inventory: &Inventory, versions: &[&'static str]) -> Rc<Self> {
        let mut names = Vec::new();
        for model in &inventory.models {
            names.push(model.name.to_string());
            for adapter in &model.adapters {
                names.push(format!("{}/{}", model.name, adapter.name));
            }
        }
        Rc::new(Self {
            names,
            versions: versions.to_vec(),
            dead: RefCell::default(),
            stopped: Cell::new(false),
            answers: RefCell::default(),
            failures: RefCell::default(),
        })
    }

    fn start(self: &Rc<Self>, cluster: &Cluster) {
        for vm in 0..cluster.plan.vms {
            for name in &self.names {
                let address = cluster.caller_address(vm);
                let probe = self.clone().probe(vm, address, name.clone());
                compio::runtime::spawn(probe).detach();
            }
        }
    }

    async fn probe(self: Rc<Self>, vm: usize, address: std::net::SocketAddr, name: String) {
        let asker = Asker::default();
        let mut round = 0;
        while !self.stopped.get() && !self.dead.borrow().contains(&vm) {
            round += 1;
            let prompt = format!("probe {vm} {round}");
            let mut question = Question::new(&name, &prompt, PROBE_TOKENS);
            question.deadline_ms = Some(DEADLINE_MS);
            question.api_key = Some("key-desk".into());
            let outcome = asker.ask(address, &question).await;
            // What was asked of a VM that died meanwhile is lost with it.
            if self.dead.borrow().contains(&vm) {
                return;
            }
            self.note(&name, &question, &outcome.end);
            compio::time::sleep(PROBE_PAUSE).await;
        }
    }

    fn note(&self, name: &str, question: &Question, end: &End) {
        let End::Complete(text) = end else {
            let failure = format!("{name} {}: {end:?}", question.prompt);
            self.failures.borrow_mut().push(failure);
            return;
        };
        for version in &self.versions {
            for adapter_version in &self.versions {
                let adapter = name.contains('/').then_some(*adapter_version);
                if question.expected(version, adapter).text() == *text {
                    let key = format!("{name}@{version}");
                    *self.answers.borrow_mut().entry(key).or_default() += 1;
                    return;
                }
            }
        }
        let failure = format!("{name} {}: a text of no version", question.prompt);
        self.failures.borrow_mut().push(failure);
    }

    fn answers(&self, key: &str) -> u64 {
        self.answers.borrow().get(key).copied().unwrap_or(0)
    }

    /// Waits until each name was answered some more times in this version.
    async fn wait_answers(&self, cluster: &Cluster, version: &str, more: u64) {
        let keys: Vec<(String, u64)> = self
            .names
            .iter()
            .map(|name| format!("{name}@{version}"))
            .map(|key| (key.clone(), self.answers(&key) + more))
            .collect();
        let what = format!("all models answer in version {version}");
        cluster
            .wait_for(&what, LIMIT, async || {
                keys.iter().all(|(key, count)| self.answers(key) >= *count)
            })
            .await;
    }

    /// Stops and checks that no probe failed.
    fn check(&self) {
        self.stopped.set(true);
        let failures = self.failures.borrow();
        let total: u64 = self.answers.borrow().values().sum();
        let first: Vec<&String> = failures.iter().take(5).collect();
        expect_that!(first, is_empty(), "{} failed, {total} not", failures.len());
    }
}

fn in_version(inventory: &Inventory, version: &str) -> Inventory {
    let mut next = inventory.clone();
    for model in &mut next.models {
        model.version = version.into();
        for adapter in &mut model.adapters {
            adapter.version = version.into();
        }
    }
    next
}

/// Waits until only this version is left on any runner.
async fn wait_only(cluster: &Cluster, vm: usize, inventory: &Inventory, version: &str) {
    cluster
        .wait_for("only the new version is left", LIMIT, async || {
            let Some(status) = cluster.status(vm).await else {
                return false;
            };
            let runners = status["runners"].as_array().into_iter().flatten();
            let copies =
                runners.flat_map(|runner| runner["copies"].as_array().into_iter().flatten());
            let suffix = format!("@{version}");
            let only = copies.into_iter().all(|copy| {
                copy["artifact"]
                    .as_str()
                    .is_some_and(|name| name.ends_with(&suffix))
            });
            let mut models = inventory.models.iter();
            only && models.all(|model| is_resident(&status, &format!("{}@{version}", model.name)))
        })
        .await;
}

async fn change_version(shape: Shape) {
    let cluster = Cluster::start(Plan::new(shape, 3)).await;
    cluster.publish_and_settle(LIMIT).await;
    cluster.wait_spread(LIMIT).await;
    let prober = Prober::new(&cluster.inventory, &["1", "2"]);
    prober.start(&cluster);
    prober.wait_answers(&cluster, "1", 3).await;
    let next = in_version(&cluster.inventory, "2");
    let published = cluster.publish(0, &next, None).await;
    expect_that!(published, ok(anything()));
    prober.wait_answers(&cluster, "2", 3).await;
    wait_only(&cluster, 0, &next, "2").await;
    prober.wait_answers(&cluster, "2", 10).await;
    prober.check();
}

#[googletest::test]
fn a_new_version_with_room_beside_refuses_nobody() {
    block_on(change_version(Shape {
        adapters: 3,
        ..Shape::small()
    }));
}

/// Three models with two copies each fill both runners.
#[googletest::test]
fn a_new_version_without_room_beside_refuses_nobody() {
    block_on(change_version(Shape {
        runners: 2,
        adapters: 3,
        memory_mib: 3 * 14_200 + 1_000,
        kv_mib: 1_000,
        ..Shape::small()
    }));
}

/// Room for six copies of four models on three runners: two have no spare copy.
fn scarce() -> Shape {
    Shape {
        models: 4,
        adapters: 0,
        memory_mib: 2 * 14_000 + 1_000,
        kv_mib: 1_000,
        ..Shape::small()
    }
}

/// The runners that hold a model, by the books.
async fn runners_of(cluster: &Cluster, vm: usize, model: &str) -> Vec<usize> {
    let status = cluster.status(vm).await.unwrap_or_default();
    let models = status["models"].as_array().cloned().unwrap_or_default();
    let found = models.iter().find(|found| found["name"] == model);
    let on = found.and_then(|found| found["resident_on"].as_array().cloned());
    on.into_iter()
        .flatten()
        .filter_map(|name| name.as_str()?.trim_start_matches("runner-").parse().ok())
        .collect()
}

async fn holder(cluster: &Cluster, vm: usize) -> usize {
    let status = cluster.status(vm).await.unwrap_or_default();
    let holder = status["claims"]["main"]["vm"].as_str().unwrap_or_default();
    holder.trim_start_matches("vm-").parse().unwrap_or(0)
}

/// A model whose only copy is on one runner, with that runner.
async fn sole_copy(cluster: &Cluster) -> (String, usize) {
    let found = RefCell::new(None);
    cluster
        .wait_for(
            "some model has one copy and all memory is used",
            LIMIT,
            async || {
                let mut copies = 0;
                for model in &cluster.inventory.models {
                    let on = runners_of(cluster, 0, &model.name).await;
                    copies += on.len();
                    if let [runner] = on.as_slice() {
                        *found.borrow_mut() = Some((model.name.to_string(), *runner));
                    }
                }
                copies == 6
            },
        )
        .await;
    found.into_inner().expect("six copies of four models")
}

#[googletest::test]
fn a_lost_runner_leaves_every_model_reachable() {
    block_on(async {
        let mut cluster = Cluster::start(Plan::new(scarce(), 3)).await;
        cluster.publish_and_settle(LIMIT).await;
        let (model, runner) = sole_copy(&cluster).await;
        let prober = Prober::new(&cluster.inventory, &["1"]);
        prober.start(&cluster);
        prober.wait_answers(&cluster, "1", 3).await;
        cluster.runners[runner].kill();
        cluster
            .wait_for("the model is loaded elsewhere", LIMIT, async || {
                let on = runners_of(&cluster, 0, &model).await;
                on.iter().any(|other| *other != runner)
            })
            .await;
        prober.wait_answers(&cluster, "1", 10).await;
        prober.check();
    });
}

/// The planner's VM and a runner of its zone die at once.
#[googletest::test]
fn a_lost_availability_zone_leaves_every_model_reachable() {
    block_on(async {
        let mut cluster = Cluster::start(Plan::new(scarce(), 3)).await;
        cluster.publish_and_settle(LIMIT).await;
        sole_copy(&cluster).await;
        let prober = Prober::new(&cluster.inventory, &["1"]);
        prober.start(&cluster);
        prober.wait_answers(&cluster, "1", 3).await;
        // The nth VM and the nth runner stand in the nth zone.
        let zone = holder(&cluster, 0).await;
        let alive = (zone + 1) % 3;
        prober.dead.borrow_mut().insert(zone);
        cluster.vms[zone].kill();
        cluster.runners[zone].kill();
        cluster
            .wait_for("another VM plans", LIMIT, async || {
                holder(&cluster, alive).await != zone
            })
            .await;
        cluster
            .wait_for("every model is on a runner that lives", LIMIT, async || {
                for model in &cluster.inventory.models {
                    let on = runners_of(&cluster, alive, &model.name).await;
                    if on.iter().all(|runner| *runner == zone) {
                        return false;
                    }
                }
                true
            })
            .await;
        prober.wait_answers(&cluster, "1", 10).await;
        prober.check();
    });
}

/// The log is down while a runner dies: spare copies serve all through.
#[googletest::test]
fn spare_copies_carry_a_runner_lost_while_the_log_is_down() {
    block_on(async {
        let mut cluster = Cluster::start(Plan::new(Shape::small(), 3)).await;
        cluster.publish_and_settle(LIMIT).await;
        cluster.wait_spread(LIMIT).await;
        let prober = Prober::new(&cluster.inventory, &["1"]);
        prober.start(&cluster);
        cluster.set_platform(json!({"log_down": true})).await;
        prober.wait_answers(&cluster, "1", 10).await;
        let runner = runners_of(&cluster, 0, "model-0").await[0];
        cluster.runners[runner].kill();
        prober.wait_answers(&cluster, "1", 100).await;
        cluster.set_platform(json!({"log_down": false})).await;
        cluster
            .wait_for("the lost copies are replaced", LIMIT, async || {
                let on = runners_of(&cluster, 0, "model-0").await;
                on.iter().filter(|other| **other != runner).count() >= 2
            })
            .await;
        prober.check();
    });
}

/// A late order to unload empties an engine that ignores fencing numbers.
#[googletest::test]
fn a_copy_that_an_engine_lost_is_loaded_again() {
    block_on(async {
        let shape = Shape {
            runners: 1,
            models: 1,
            adapters: 0,
            checks_fencing: false,
            ..Shape::small()
        };
        let cluster = Cluster::start(Plan::new(shape, 3)).await;
        cluster.publish_and_settle(LIMIT).await;
        let prober = Prober::new(&cluster.inventory, &["1"]);
        prober.start(&cluster);
        prober.wait_answers(&cluster, "1", 3).await;
        let late = json!({"order": "unload", "artifact": "model-0@1", "fence": 1, "by_test": true});
        let given = http_json::post(cluster.runner_address(0), "/orders", &late).await;
        expect_that!(given, some(anything()));
        cluster
            .wait_for("the engine loads again", LIMIT, async || {
                let journal = cluster.runner_journal(0);
                journal
                    .iter()
                    .filter(|line| line["kind"] == "loaded")
                    .count()
                    >= 2
            })
            .await;
        prober.wait_answers(&cluster, "1", 10).await;
        prober.check();
    });
}

/// Four groups share the store, with planners on several VMs; one planner and one runner die.
#[googletest::test]
fn the_weight_store_is_never_asked_for_more_than_it_serves() {
    block_on(async {
        let shape = Shape {
            runners: 4,
            models: 4,
            adapters: 0,
            memory_mib: 4 * 14_000 + 1_000,
            kv_mib: 1_000,
            ..Shape::small()
        };
        let mut plan = Plan::new(shape, 3);
        plan.platform.store_down = true;
        // A slow log leaves time for all planners to count the same free slots.
        plan.platform.append_ms = 200;
        let mut cluster = Cluster::start(plan).await;
        for (index, server) in cluster.inventory.backend_servers.iter_mut().enumerate() {
            server.group = ["main", "north", "south", "east"][index % 4].into();
        }
        let published = cluster.publish(0, &cluster.inventory, None).await;
        expect_that!(published, ok(anything()));
        wait_open_loads(&cluster, STORE_SLOTS).await;
        let planner = holder(&cluster, 0).await;
        let alive = (planner + 1) % 3;
        cluster.vms[planner].signal(Signal::SIGKILL);
        cluster
            .wait_for("another VM plans", LIMIT, async || {
                holder(&cluster, alive).await != planner
            })
            .await;
        cluster.runners[0].kill();
        cluster.set_platform(json!({"store_down": false})).await;
        cluster
            .wait_for("every model is resident", LIMIT, async || {
                let status = cluster.status(alive).await.unwrap_or_default();
                let mut models = cluster.inventory.models.iter();
                models.all(|model| is_resident(&status, &format!("{}@1", model.name)))
            })
            .await;
        expect_that!(most_open_loads(&cluster).await, eq(STORE_SLOTS));
    });
}

async fn most_open_loads(cluster: &Cluster) -> u64 {
    let journal = cluster.platform_journal().await;
    let open = journal.iter().filter_map(|line| line["open"].as_u64());
    open.max().unwrap_or(0)
}

async fn wait_open_loads(cluster: &Cluster, count: u64) {
    cluster
        .wait_for("the store's slots are taken", LIMIT, async || {
            most_open_loads(cluster).await >= count
        })
        .await;
}

/// How long a model without any copy left waits for a new one, at most.
#[googletest::test]
fn a_model_without_spare_copy_is_back_within_its_deadline() {
    block_on(async {
        let mut cluster = Cluster::start(Plan::new(scarce(), 3)).await;
        cluster.publish_and_settle(LIMIT).await;
        let (model, runner) = sole_copy(&cluster).await;
        cluster.runners[runner].kill();
        let killed_at = Instant::now();
        let mut question = Question::new(&model, "after the loss", PROBE_TOKENS);
        question.deadline_ms = Some(DEADLINE_MS);
        let answer = Asker::default()
            .ask(cluster.caller_address(1), &question)
            .await;
        let expected = question.expected("1", None).text();
        expect_that!(answer.end, eq(&End::Complete(expected)));
        println!(
            "answered {} ms after the loss",
            killed_at.elapsed().as_millis()
        );
    });
}
