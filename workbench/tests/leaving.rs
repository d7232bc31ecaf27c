//! A backend server that is leaving gets no new work after three seconds.

use googletest::prelude::*;
use nix::sys::signal::Signal;
use serde_json::{Value, json};
use std::cell::Cell;
use std::time::Duration;
use workbench::cluster::{Cluster, PROXY_PORT, Plan, block_on};
use workbench::http_json;
use workbench::journal::now_ms;
use workbench::load_client::{Asker, CallEnd, End, Question, call};
use workbench::proxy::{Faults, Proxy};
use workbench::sample_inventory::Shape;

const LIMIT: Duration = Duration::from_secs(30);
/// After this time nothing new may come, by the brief.
const LAST_WORK_MS: u64 = 3_000;
/// How long a test looks on after that.
const LOOK_ON: Duration = Duration::from_millis(4_500);
/// The servers that are marked in these tests.
const MARKED: [&str; 2] = ["runner-0", "server-0"];

fn plan() -> Plan {
    let shape = Shape {
        servers: 2,
        ..Shape::small()
    };
    Plan::new(shape, 3)
}

async fn settle(cluster: &Cluster) {
    cluster.publish_and_settle(LIMIT).await;
    cluster.wait_spread(LIMIT).await;
}

/// Asks every model and calls the plain service through a VM, once each.
async fn ask_all(cluster: &Cluster, vm: usize) {
    let address = cluster.caller_address(vm);
    let models = (0..3).map(async |model| {
        let question = Question::new(&Shape::model_name(model), "short", 2);
        Asker::default().ask(address, &question).await
    });
    let key = uuid::Uuid::now_v7().to_string();
    let body = json!({"licence": 1});
    let receipt = call(address, "/receipts", Some(&key), &body);
    let (outcomes, receipt) = futures_util::join!(futures_util::future::join_all(models), receipt);
    for outcome in outcomes {
        expect_that!(outcome.end, matches_pattern!(End::Complete(anything())));
    }
    expect_that!(receipt, matches_pattern!(CallEnd::Answered(eq(&200), _)));
}

/// Keeps asking through some VMs until `stop`.
async fn ask_until(cluster: &Cluster, vms: &[usize], stop: &Cell<bool>) {
    let callers = vms.iter().map(async |vm| {
        while !stop.get() {
            ask_all(cluster, *vm).await;
        }
    });
    futures_util::future::join_all(callers).await;
}

/// When the marked servers began each of their runs.
fn runs(cluster: &Cluster) -> Vec<u64> {
    let journals = [cluster.runner_journal(0), cluster.server_journal(0)];
    let begun = |line: &Value| (line["kind"] == "run").then(|| line["at_ms"].as_u64())?;
    journals.iter().flatten().filter_map(begun).collect()
}

/// Checks that nothing began on the marked servers later than the brief allows.
fn check_runs(cluster: &Cluster, marked_at_ms: u64) {
    let runs = runs(cluster);
    let before = runs.iter().filter(|at_ms| **at_ms < marked_at_ms).count();
    let late: Vec<u64> = runs
        .iter()
        .filter(|at_ms| **at_ms > marked_at_ms + LAST_WORK_MS)
        .map(|at_ms| at_ms - marked_at_ms)
        .collect();
    expect_that!(before, gt(0));
    expect_that!(late, is_empty());
    let last = runs.iter().filter(|at_ms| **at_ms >= marked_at_ms).max();
    println!(
        "last work {:?} ms after the mark, {before} runs before it",
        last.map(|at_ms| at_ms - marked_at_ms)
    );
}

async fn mark_in_list(cluster: &Cluster) {
    cluster.set_list(&MARKED.map(str::to_owned)).await;
}

async fn mark_in_inventory(cluster: &Cluster) {
    let mut inventory = cluster.inventory.clone();
    for server in &mut inventory.backend_servers {
        server.leaving |= MARKED.contains(&server.name.as_str());
    }
    let published = cluster.publish(0, &inventory, None).await;
    assert_that!(published, ok(anything()));
}

/// Runs callers, marks the servers, and checks what they ran.
async fn check_mark(cluster: &Cluster, vms: &[usize], mark: impl AsyncFn(&Cluster)) {
    let stop = Cell::new(false);
    let marking = async {
        cluster
            .wait_for("the marked servers work", LIMIT, async || {
                runs(cluster).len() > 20
            })
            .await;
        let marked_at_ms = now_ms();
        mark(cluster).await;
        compio::time::sleep(LOOK_ON).await;
        stop.set(true);
        marked_at_ms
    };
    let (marked_at_ms, ()) = futures_util::join!(marking, ask_until(cluster, vms, &stop));
    check_runs(cluster, marked_at_ms);
}

#[googletest::test]
fn marked_in_the_list_it_gets_nothing_after_three_seconds() {
    block_on(async {
        let cluster = Cluster::start(plan()).await;
        settle(&cluster).await;
        check_mark(&cluster, &[0, 1, 2], mark_in_list).await;
    });
}

#[googletest::test]
fn marked_in_the_inventory_it_gets_nothing_though_the_list_is_down() {
    block_on(async {
        let cluster = Cluster::start(plan()).await;
        settle(&cluster).await;
        cluster.set_platform(json!({"list_down": true})).await;
        check_mark(&cluster, &[0, 1, 2], mark_in_inventory).await;
    });
}

#[googletest::test]
fn a_vm_that_cannot_read_the_list_learns_of_the_mark_from_its_peers() {
    block_on(async {
        let ip = Cluster::pick_ip();
        let mut plan = plan();
        let address = std::net::SocketAddr::new(ip, PROXY_PORT);
        plan.vm_settings = vec![(1, json!({"vm_list_address": address}))];
        let list = Proxy::start(address, std::net::SocketAddr::new(ip, 20_000)).await;
        let cluster = Cluster::start_at(plan, ip).await;
        settle(&cluster).await;
        list.set(Faults {
            refuse: true,
            ..Faults::default()
        });
        check_mark(&cluster, &[1], mark_in_list).await;
    });
}

#[googletest::test]
fn a_vm_that_wakes_with_an_old_view_refreshes_it_before_it_sends() {
    block_on(async {
        let cluster = start_repeatable().await;
        check_wake(&cluster, mark_in_list, json!({})).await;
    });
}

#[googletest::test]
fn a_vm_that_wakes_while_the_platform_is_down_asks_its_peers() {
    block_on(async {
        let cluster = start_repeatable().await;
        let down = json!({"list_down": true, "log_down": true});
        check_wake(&cluster, mark_in_inventory, down).await;
    });
}

/// A site whose plain service takes calls without a key: they need no log.
async fn start_repeatable() -> Cluster {
    let mut cluster = Cluster::start(plan()).await;
    cluster.inventory.services[0].idempotent = true;
    settle(&cluster).await;
    cluster
}

/// Marks the servers while a VM is paused with requests at its door, and wakes it late.
async fn check_wake(cluster: &Cluster, mark: impl AsyncFn(&Cluster), then: Value) {
    for _ in 0..5 {
        ask_all(cluster, 1).await;
    }
    cluster.vms[1].signal(Signal::SIGSTOP);
    let marked_at_ms = now_ms();
    mark(cluster).await;
    let waking = async {
        cluster
            .wait_for("the other VMs know the mark", LIMIT, async || {
                is_marked(cluster, 0).await && is_marked(cluster, 2).await
            })
            .await;
        cluster.set_platform(then).await;
        let passed_ms = now_ms() - marked_at_ms;
        let rest_ms = (LAST_WORK_MS + 200).saturating_sub(passed_ms);
        compio::time::sleep(Duration::from_millis(rest_ms)).await;
        cluster.vms[1].signal(Signal::SIGCONT);
    };
    let asking = futures_util::future::join_all((0..10).map(async |_| {
        let address = cluster.caller_address(1);
        let body = json!({"licence": 2});
        let receipt = call(address, "/receipts", None, &body).await;
        expect_that!(receipt, matches_pattern!(CallEnd::Answered(eq(&200), _)));
        for model in 0..3 {
            let question = Question::new(&Shape::model_name(model), "early", 2);
            let outcome = Asker::default().ask(address, &question).await;
            expect_that!(outcome.end, matches_pattern!(End::Complete(anything())));
        }
    }));
    futures_util::join!(waking, asking);
    check_runs(cluster, marked_at_ms);
}

async fn is_marked(cluster: &Cluster, vm: usize) -> bool {
    let status = cluster.status(vm).await.unwrap_or_default();
    let runners = status["runners"].as_array();
    runners
        .into_iter()
        .flatten()
        .any(|runner| runner["name"] == MARKED[0] && runner["leaving"] == true)
}

#[googletest::test]
fn a_vm_says_when_its_view_is_old_or_its_peers_are_gone() {
    block_on(async {
        let mut cluster = Cluster::start(plan()).await;
        settle(&cluster).await;
        expect_that!(warnings(&cluster).await, eq(""));
        cluster
            .set_platform(json!({"list_down": true, "log_down": true}))
            .await;
        cluster.vms[1].kill();
        cluster.vms[2].kill();
        for expected in ["the log has not", "the VM list has not", "only 0 of 2"] {
            cluster
                .wait_for(expected, LIMIT, async || {
                    warnings(&cluster).await.contains(expected)
                })
                .await;
        }
        cluster
            .set_platform(json!({"list_down": false, "log_down": false}))
            .await;
        cluster.restart_vm(1);
        cluster.restart_vm(2);
        cluster
            .wait_for("the warnings end", LIMIT, async || {
                warnings(&cluster).await.is_empty()
            })
            .await;
    });
}

/// The warnings in a VM's health answer, which stays good.
async fn warnings(cluster: &Cluster) -> String {
    let health = http_json::get(cluster.operator_address(0), "/health").await;
    let health = health.expect("the VM answers");
    expect_that!(health["ready"], eq(&json!(true)));
    let warnings = health["warnings"].as_array().cloned().unwrap_or_default();
    let warnings: Vec<&str> = warnings.iter().filter_map(Value::as_str).collect();
    warnings.join("; ")
}
