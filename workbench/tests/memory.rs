//! Accelerator memory is never overcommitted, whatever becomes of orders and planners.
//!
//! The engines' stand-ins obey any order, also beyond their memory; so their
//! journals show an overcommitment that the product allowed. The log's records
//! are read from the platform and show which orders were allowed at all.

use googletest::prelude::*;
use nix::sys::signal::Signal;
use rattanjunction::{Inventory, Model};
use serde_json::{Value, json};
use std::cell::Cell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;
use workbench::cluster::{Cluster, PROXY_PORT, Plan, block_on};
use workbench::http_json;
use workbench::proxy::{Faults, Proxy};
use workbench::sample_inventory::Shape;
use workbench::status::is_resident;

const LIMIT: Duration = Duration::from_secs(30);
/// Memory of one model: three fit on a runner.
const MODEL_MIB: u64 = 14_000;
/// The factor from offsets of the log to fences.
const FENCES_PER_RECORD: u64 = 1_024;
/// How long books must not change to count as settled.
const QUIET: Duration = Duration::from_millis(700);

/// A site of tight memory whose runners are reached through proxies.
struct Site {
    cluster: Cluster,
    proxies: Vec<Rc<Proxy>>,
    revision: Cell<u64>,
    /// A VM that is dead or asleep.
    stopped: Cell<Option<usize>>,
}

impl Site {
    /// Two runners with room for three models each.
    async fn start(checks_fencing: bool) -> Self {
        Self::start_with(checks_fencing, 2).await
    }

    async fn start_with(checks_fencing: bool, runners: usize) -> Self {
        let shape = Shape {
            runners,
            servers: 0,
            models: 2,
            adapters: 0,
            memory_mib: 3 * MODEL_MIB + 1_000,
            kv_mib: 1_000,
            model_mib: MODEL_MIB,
            checks_fencing,
            ..Shape::small()
        };
        let ip = Cluster::pick_ip();
        let mut plan = Plan::new(shape, 3);
        for index in 0..runners as u16 {
            let real = (ip, 20_100 + index).into();
            plan.detours.push((real, (ip, PROXY_PORT + index).into()));
        }
        let mut proxies = Vec::new();
        for (real, detour) in plan.detours.clone() {
            proxies.push(Proxy::start(detour, real).await);
        }
        let mut cluster = Cluster::start_at(plan, ip).await;
        cluster.inventory.services.clear();
        Self {
            cluster,
            proxies,
            revision: Cell::new(0),
            stopped: Cell::new(None),
        }
    }

    fn model(index: usize, version: &str) -> Model {
        Model {
            name: Shape::model_name(index).into(),
            version: version.into(),
            weights_mib: MODEL_MIB,
            adapters: Vec::new(),
            min_replicas: 1,
        }
    }

    fn inventory(&self, models: &[usize], version: &str) -> Inventory {
        Inventory {
            models: models
                .iter()
                .map(|index| Self::model(*index, version))
                .collect(),
            ..self.cluster.inventory.clone()
        }
    }

    /// Publishes through any VM that takes it.
    async fn publish(&self, inventory: &Inventory) {
        self.cluster
            .wait_for("the publication is accepted", LIMIT, async || {
                for vm in (0..3).filter(|vm| self.stopped.get() != Some(*vm)) {
                    let base = Some(self.revision.get());
                    let published = self.cluster.publish(vm, inventory, base).await;
                    if let Ok(revision) = published {
                        self.revision.set(revision);
                        return true;
                    }
                }
                false
            })
            .await;
    }

    async fn status(&self) -> Option<Value> {
        for vm in 0..3 {
            if self.stopped.get() == Some(vm) {
                continue;
            }
            if let Some(status) = self.cluster.status(vm).await
                && status["revision"].as_u64() >= Some(self.revision.get())
            {
                return Some(status);
            }
        }
        None
    }

    /// Waits until every model is resident somewhere and the books stay as they are.
    async fn wait_quiet(&self, inventory: &Inventory) {
        self.cluster
            .wait_for("the books are quiet", LIMIT, async || {
                let Some(before) = self.status().await else {
                    return false;
                };
                if !all_resident(&before, inventory) || has_open(&before) {
                    return false;
                }
                compio::time::sleep(QUIET).await;
                let after = self.status().await.unwrap_or_default();
                after["runners"] == before["runners"]
            })
            .await;
    }

    /// Waits until the engines' second runs have loaded, and the books are quiet.
    async fn wait_quiet_on(&self, inventory: &Inventory, runs: usize) {
        self.cluster
            .wait_for("each engine has loaded in its new run", LIMIT, async || {
                (0..self.cluster.runners.len()).all(|index| {
                    let journal = self.cluster.runner_journal(index);
                    let starts = journal.iter().filter(|line| line["kind"] == "start");
                    let last = journal.iter().rposition(|line| line["kind"] == "start");
                    let loads = journal.iter().skip(last.unwrap_or(0));
                    starts.count() == runs && loads.filter(|l| l["kind"] == "loaded").count() > 0
                })
            })
            .await;
        self.wait_quiet(inventory).await;
    }

    /// Gives every engine all orders to load once more that it ever got.
    async fn repeat_loads(&self) {
        for index in 0..self.cluster.runners.len() {
            for line in self.cluster.runner_journal(index) {
                if line["order"] == "load" {
                    let order = json!({"order": "load", "artifact": line["artifact"],
                        "mib": line["mib"], "fence": line["fence"]});
                    self.order(index, &order).await;
                }
            }
        }
    }

    async fn settle(&self, inventory: &Inventory) {
        self.publish(inventory).await;
        self.wait_quiet(inventory).await;
    }

    /// Kills or pauses a VM.
    fn stop(&self, vm: usize, signal: Signal) {
        self.cluster.vms[vm].signal(signal);
        self.stopped.set(Some(vm));
    }

    /// The index of the VM that plans.
    async fn holder(&self) -> usize {
        let status = self.status().await.expect("a VM answers");
        let vm = status["claims"]["main"]["vm"].as_str().expect("a claim");
        vm.trim_start_matches("vm-").parse().expect("an index")
    }

    fn capture(&self, text: &str) {
        for proxy in &self.proxies {
            proxy.set(Faults {
                capture: text.to_owned(),
                ..Faults::default()
            });
        }
    }

    fn captured(&self) -> u64 {
        self.proxies.iter().map(|proxy| proxy.captured()).sum()
    }

    /// Lets all captured orders arrive and waits until they did.
    async fn release(&self) {
        for proxy in &self.proxies {
            proxy.release();
        }
        let delivered = || -> u64 { self.proxies.iter().map(|proxy| proxy.delivered()).sum() };
        self.cluster
            .wait_for("late orders arrive", LIMIT, async || {
                self.captured() == delivered()
            })
            .await;
    }

    /// Gives a runner an order past the VMs.
    async fn order(&self, runner: usize, order: &Value) {
        let address = self.cluster.runner_address(runner);
        self.cluster
            .wait_for("the engine takes the order", LIMIT, async || {
                http_json::post(address, "/orders", order).await.is_some()
            })
            .await;
    }

    /// Checks every journal entry of every runner, and each load against the log.
    async fn check(&self) {
        for index in 0..self.cluster.runners.len() {
            let journal = self.cluster.runner_journal(index);
            let over: Vec<&Value> = journal
                .iter()
                .filter(|line| line["used_mib"].as_u64() > line["memory_mib"].as_u64())
                .collect();
            expect_that!(over, is_empty(), "runner {index} is overcommitted");
        }
        let allowed = self.allowed_loads().await;
        for index in 0..self.cluster.runners.len() {
            for line in self.cluster.runner_journal(index) {
                if line["order"] == "load" && line["by_test"].is_null() {
                    let key = (line["fence"].as_u64(), line["artifact"].to_string());
                    expect_true!(allowed.contains(&key), "no intent allows {line}");
                }
            }
        }
    }

    /// The fence and artifact of each load that the log allows, folded independently.
    async fn allowed_loads(&self) -> HashSet<(Option<u64>, String)> {
        let mut allowed = HashSet::new();
        let mut claims: HashMap<String, (u64, String)> = HashMap::new();
        let mut last_sequence: HashMap<String, u64> = HashMap::new();
        for record in self.records().await {
            let envelope = &record["data"]["Commands"];
            let writer = envelope["writer"].to_string();
            let sequence = envelope["sequence"].as_u64().unwrap_or(0);
            if last_sequence.insert(writer.clone(), sequence) >= Some(sequence) {
                continue;
            }
            let commands = envelope["commands"].as_array();
            for (place, command) in commands.into_iter().flatten().enumerate() {
                let offset = record["offset"].as_u64().expect("records have offsets");
                let fence = offset * FENCES_PER_RECORD + place as u64 + 1;
                if let Some(claim) = command.get("Claim") {
                    let group = claim["group"].to_string();
                    let present = claims.get(&group).map_or(0, |(fence, _)| *fence);
                    if claim["after"] == json!(present) {
                        claims.insert(group, (fence, writer.clone()));
                    }
                }
                if let Some(load) = command.get("Load") {
                    let group = load["under"]["group"].to_string();
                    let claim = load["under"]["claim"].as_u64().unwrap_or(0);
                    if claims.get(&group) == Some(&(claim, writer.clone())) {
                        let artifact = load["artifact"].as_str().unwrap_or_default();
                        allowed.insert((Some(fence), json!(shown(artifact)).to_string()));
                    }
                }
            }
        }
        allowed
    }

    async fn records(&self) -> Vec<Value> {
        let mut records = Vec::new();
        loop {
            let path = format!("/streams/control/records?from={}", records.len());
            let page = http_json::get(self.cluster.platform_address(), &path).await;
            let page = page.expect("the log answers");
            let found = page["records"].as_array().cloned().unwrap_or_default();
            if found.is_empty() {
                return records;
            }
            records.extend(found);
        }
    }
}

/// An artifact of the log as orders show it.
fn shown(artifact: &str) -> String {
    let parts: Vec<&str> = artifact.split(' ').collect();
    match parts.as_slice() {
        [model, "", version] => format!("{model}@{version}"),
        [model, adapter, version] => format!("{model}/{adapter}@{version}"),
        _ => artifact.to_owned(),
    }
}

fn all_resident(status: &Value, inventory: &Inventory) -> bool {
    let models = &inventory.models;
    models
        .iter()
        .all(|model| is_resident(status, &format!("{}@{}", model.name, model.version)))
}

fn has_open(status: &Value) -> bool {
    let runners = status["runners"].as_array().into_iter().flatten();
    let mut copies = runners.flat_map(|runner| runner["copies"].as_array().into_iter().flatten());
    copies.any(|copy| copy["state"] == "loading" || copy["state"] == "unloading")
}

/// Loads of a new model are on their way when the planner dies or sleeps; the
/// model is withdrawn, its memory is given to others, and then they arrive.
async fn late_loads(checks_fencing: bool, signal: Signal) {
    let site = Site::start(checks_fencing).await;
    let two = site.inventory(&[0, 1], "1");
    site.settle(&two).await;
    let holder = site.holder().await;
    site.capture("\"order\":\"load\"");
    let three = site.inventory(&[0, 1, 2], "1");
    site.publish(&three).await;
    let captured = async || site.captured() >= 1;
    site.cluster
        .wait_for("a load is sent", LIMIT, captured)
        .await;
    site.stop(holder, signal);
    site.capture("");
    site.wait_quiet(&three).await;
    expect_that!(site.holder().await, not(eq(holder)));
    let other = site.inventory(&[0, 1, 3], "1");
    site.settle(&other).await;
    site.cluster.vms[holder].signal(Signal::SIGCONT);
    site.release().await;
    if checks_fencing {
        site.repeat_loads().await;
    }
    site.wait_quiet(&other).await;
    site.check().await;
}

/// Engines start anew while loads that were sent long ago are on the way.
async fn late_loads_at_restarted_engines(checks_fencing: bool) {
    let mut site = Site::start(checks_fencing).await;
    let two = site.inventory(&[0, 1], "1");
    site.settle(&two).await;
    site.capture("\"order\":\"load\"");
    let three = site.inventory(&[0, 1, 2], "1");
    site.publish(&three).await;
    let captured = async || site.captured() >= 2;
    site.cluster
        .wait_for("loads are sent", LIMIT, captured)
        .await;
    site.capture("");
    site.wait_quiet(&three).await;
    let other = site.inventory(&[0, 1, 3], "1");
    site.settle(&other).await;
    for index in 0..site.cluster.runners.len() {
        site.cluster.restart_runner(index);
    }
    site.wait_quiet_on(&other, 2).await;
    site.release().await;
    if checks_fencing {
        site.repeat_loads().await;
    }
    site.wait_quiet(&other).await;
    site.check().await;
}

#[googletest::test]
fn late_loads_fit_at_restarted_engines_that_check_fencing() {
    block_on(late_loads_at_restarted_engines(true));
}

#[googletest::test]
fn late_loads_fit_at_restarted_engines_that_ignore_fencing() {
    block_on(late_loads_at_restarted_engines(false));
}

#[googletest::test]
fn late_loads_of_a_dead_planner_fit_at_engines_that_check_fencing() {
    block_on(late_loads(true, Signal::SIGKILL));
}

#[googletest::test]
fn late_loads_of_a_dead_planner_fit_at_engines_that_ignore_fencing() {
    block_on(late_loads(false, Signal::SIGKILL));
}

#[googletest::test]
fn late_loads_of_a_paused_planner_fit_at_engines_that_check_fencing() {
    block_on(late_loads(true, Signal::SIGSTOP));
}

#[googletest::test]
fn late_loads_of_a_paused_planner_fit_at_engines_that_ignore_fencing() {
    block_on(late_loads(false, Signal::SIGSTOP));
}

/// An old load arrives at an engine that has just started anew.
#[googletest::test]
fn an_old_load_at_a_restarted_engine_is_counted() {
    block_on(async {
        let mut site = Site::start_with(true, 1).await;
        let two = site.inventory(&[0, 1], "1");
        site.settle(&two).await;
        site.proxies[0].set(Faults {
            refuse: true,
            ..Faults::default()
        });
        site.proxies[0].cut();
        site.cluster.restart_runner(0);
        let late = json!({"order": "load", "artifact": "model-9@1", "mib": 2 * MODEL_MIB + 1,
            "fence": 1, "by_test": true});
        site.order(0, &late).await;
        let three = site.inventory(&[0, 1, 2], "1");
        site.publish(&three).await;
        site.proxies[0].set(Faults::default());
        site.wait_quiet(&three).await;
        site.check().await;
    });
}

/// An old load arrives after the book of a restarted engine began anew, before any new order.
#[googletest::test]
fn an_old_load_after_the_reset_is_refused_by_the_fence() {
    block_on(async {
        let mut site = Site::start_with(true, 1).await;
        let three = site.inventory(&[0, 1, 2], "1");
        site.settle(&three).await;
        site.capture("\"order\":\"load\"");
        site.cluster.restart_runner(0);
        let captured = async || site.captured() >= 1;
        site.cluster
            .wait_for("a new load is sent", LIMIT, captured)
            .await;
        let late = json!({"order": "load", "artifact": "model-9@1", "mib": 2 * MODEL_MIB + 1,
            "fence": 1, "by_test": true});
        site.order(0, &late).await;
        site.capture("");
        site.wait_quiet(&three).await;
        site.check().await;
    });
}

/// An engine holds something whose name is none of ours.
#[googletest::test]
fn memory_of_a_foreign_artifact_is_counted() {
    block_on(async {
        let site = Site::start_with(false, 1).await;
        let foreign = json!({"order": "load", "artifact": "left behind", "mib": MODEL_MIB,
            "fence": 1, "by_test": true});
        site.order(0, &foreign).await;
        let three = site.inventory(&[0, 1, 2], "1");
        site.settle(&three).await;
        site.check().await;
    });
}

/// A runner gets another name: its engine and its memory stay the same.
#[googletest::test]
fn a_renamed_runner_keeps_its_book() {
    block_on(async {
        let site = Site::start_with(false, 1).await;
        let three = site.inventory(&[0, 1, 2], "1");
        site.settle(&three).await;
        let mut renamed = site.inventory(&[3, 4, 5], "1");
        for server in &mut renamed.backend_servers {
            server.name = format!("new-{}", server.name).into();
        }
        site.settle(&renamed).await;
        site.check().await;
    });
}

/// A new version everywhere, while the planner dies and the log's answers are lost.
async fn version_change(checks_fencing: bool) {
    let mut site = Site::start(checks_fencing).await;
    let old = site.inventory(&[0, 1, 2], "1");
    site.settle(&old).await;
    let new = site.inventory(&[0, 1, 2], "2");
    let holder = site.holder().await;
    site.capture("\"order\":");
    site.publish(&new).await;
    let sent = site.captured();
    let captured = async || site.captured() > sent;
    site.cluster
        .wait_for("an order is sent", LIMIT, captured)
        .await;
    let lose = json!({"lose_append_answers": true});
    site.cluster.set_platform(lose).await;
    site.stop(holder, Signal::SIGSTOP);
    site.capture("");
    site.wait_quiet(&new).await;
    let keep = json!({"lose_append_answers": false});
    site.cluster.set_platform(keep).await;
    site.cluster.restart_vm(holder);
    site.stopped.set(None);
    site.release().await;
    site.wait_quiet(&new).await;
    site.check().await;
}

#[googletest::test]
fn a_version_change_survives_takeover_and_lost_answers_with_fencing() {
    block_on(version_change(true));
}

#[googletest::test]
fn a_version_change_survives_takeover_and_lost_answers_without_fencing() {
    block_on(version_change(false));
}

/// Two operators move models at once, again and again.
#[googletest::test]
fn racing_operators_never_overcommit() {
    block_on(async {
        let site = Site::start(false).await;
        site.settle(&site.inventory(&[0, 1], "1")).await;
        for round in 0..4 {
            let left = site.inventory(&[0, 1, 2 + round], "1");
            let right = site.inventory(&[0, 6 + round, 10 + round], "1");
            let base = Some(site.revision.get());
            let (first, second) = futures_util::join!(
                site.cluster.publish(0, &left, base),
                site.cluster.publish(1, &right, base)
            );
            expect_that!(first.is_ok(), not(eq(second.is_ok())), "round {round}");
            let (won, lost) = if first.is_ok() {
                (first, &right)
            } else {
                (second, &left)
            };
            site.revision.set(won.unwrap_or(0));
            site.settle(lost).await;
        }
        site.check().await;
    });
}

/// A runner's memory is made smaller: spare copies leave it, and none comes back.
#[googletest::test]
fn a_runner_made_smaller_gives_up_spare_copies() {
    block_on(async {
        let site = Site::start_with(false, 2).await;
        let three = site.inventory(&[0, 1, 2], "1");
        site.settle(&three).await;
        site.cluster.wait_spread(LIMIT).await;
        let mut smaller = three.clone();
        smaller.backend_servers[0].memory_mib -= 2 * MODEL_MIB;
        site.publish(&smaller).await;
        site.cluster
            .wait_for("the engine holds one model", LIMIT, async || {
                let journal = site.cluster.runner_journal(0);
                let used = journal
                    .iter()
                    .rev()
                    .find_map(|line| line["used_mib"].as_u64());
                used == Some(MODEL_MIB)
            })
            .await;
        site.wait_quiet(&smaller).await;
        site.check().await;
    });
}
