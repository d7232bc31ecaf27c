//! The operators' commands against a running site, and the page of metrics.

use googletest::prelude::*;
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::io::{BufRead, BufReader};
use std::process::{Command, Output, Stdio};
use std::time::Duration;
use workbench::cluster::{Cluster, Plan, block_on};
use workbench::load_client::{Asker, Question, call};
use workbench::process::product_binary;
use workbench::sample_inventory::Shape;

const LIMIT: Duration = Duration::from_secs(30);

/// Looks of a watched status, a second apart, until a change must be shown.
const MAX_LOOKS: usize = 20;

/// Runs a command of the product against a VM.
fn run(cluster: &Cluster, vm: usize, arguments: &[&str]) -> Output {
    Command::new(product_binary())
        .args(arguments)
        .args(["--via", &cluster.operator_address(vm).to_string()])
        .output()
        .expect("the program starts")
}

fn said(output: &Output) -> String {
    String::from_utf8_lossy(&[&output.stdout[..], &output.stderr].concat()).into_owned()
}

async fn start() -> Cluster {
    let cluster = Cluster::start(Plan::new(Shape::small(), 3)).await;
    cluster.publish_and_settle(LIMIT).await;
    cluster
}

/// Writes an inventory into a file of its own.
fn write(inventory: &rattanjunction::Inventory, name: &str) -> String {
    let path = std::env::temp_dir().join(format!("rattanjunction-{}-{name}", std::process::id()));
    let text = serde_json::to_string(inventory).expect("it serializes");
    std::fs::write(&path, text).expect("a file");
    path.display().to_string()
}

#[googletest::test]
fn a_dry_run_tells_moves_and_fit_and_changes_nothing() {
    block_on(async {
        let cluster = start().await;
        let mut inventory = cluster.inventory.clone();
        inventory.models[0].version = "2".into();
        let path = write(&inventory, "version.json");
        let before = log_end(&cluster).await;
        let output = run(&cluster, 1, &["publish", &path, "--dry-run"]);
        expect_that!(output.status.code(), some(eq(0)), "{}", said(&output));
        expect_that!(said(&output), contains_substring("everything fits"));
        let lines = said(&output);
        let moved = |order: &str, artifact: &str| {
            let mut lines = lines.lines();
            lines.any(|line| line.starts_with(order) && line.contains(artifact))
        };
        expect_true!(moved("load", "model-0@2"));
        expect_true!(moved("unload", "model-0@1"));
        // A model that no runner has room for beside the others.
        for (index, model) in inventory.models.iter_mut().enumerate() {
            model.weights_mib = [60_000, 61_000, 62_000][index];
            model.version = "3".into();
            model.adapters.clear();
        }
        let extra = rattanjunction::Model {
            name: "model-x".into(),
            weights_mib: 4_500,
            ..inventory.models[0].clone()
        };
        inventory.models.push(extra);
        let path = write(&inventory, "full.json");
        let output = run(&cluster, 1, &["publish", &path, "--dry-run"]);
        expect_that!(output.status.code(), some(eq(4)), "{}", said(&output));
        expect_that!(said(&output), contains_substring("no place for"));
        expect_that!(said(&output), contains_substring("model-x@3"));
        expect_that!(published(&cluster, before).await, eq(0));
    });
}

async fn log_end(cluster: &Cluster) -> u64 {
    let path = "/streams/control/records?from=0&wait_ms=0";
    let page = workbench::http_json::get(cluster.platform_address(), path).await;
    page.and_then(|page| page["end"].as_u64()).unwrap_or(0)
}

/// Publications in the log from an offset on.
async fn published(cluster: &Cluster, from: u64) -> usize {
    let path = format!("/streams/control/records?from={from}&wait_ms=0");
    let page = workbench::http_json::get(cluster.platform_address(), &path).await;
    let text = page.expect("the log answers").to_string();
    text.matches("\"Publish\"").count() + text.matches("\"Amend\"").count()
}

#[googletest::test]
fn a_change_costs_its_own_size_and_is_the_same_everywhere() {
    block_on(async {
        let cluster = start().await;
        let first = cluster.inventory.clone();
        let mut changed = first.clone();
        changed.callers[0].deadline_ms += 1;
        let mut listed = changed.clone();
        listed.callers.remove(1);
        listed.models.push(rattanjunction::Model {
            name: "model-new".into(),
            weights_mib: 100,
            ..listed.models[0].clone()
        });
        listed.models[0].min_replicas = 2;
        let mut turned = listed.clone();
        turned.models.reverse();
        let mut sizes = Vec::new();
        for (round, inventory) in [changed, listed, turned].iter().enumerate() {
            let before = log_end(&cluster).await;
            let revision = cluster.publish(round, inventory, None).await;
            let revision = revision.expect("it is accepted");
            sizes.push(record_bytes(&cluster, before).await);
            cluster
                .wait_for("it is in force everywhere", LIMIT, async || {
                    let mut all = true;
                    for vm in 0..3 {
                        all &= in_force(&cluster, vm).await == json!([revision, inventory]);
                    }
                    all
                })
                .await;
        }
        let whole = json!(first).to_string().len();
        println!("the inventory has {whole} bytes, records of its changes {sizes:?}");
        expect_that!(sizes[0] * 4, lt(whole));
        expect_that!(sizes[1] * 2, lt(whole));
        // Another order of the list is told whole.
        expect_that!(sizes[2], gt(whole));
    });
}

/// The revision and the inventory in force on a VM.
async fn in_force(cluster: &Cluster, vm: usize) -> Value {
    let answer = workbench::http_json::get(cluster.operator_address(vm), "/inventory").await;
    let answer = answer.unwrap_or_default();
    json!([answer["revision"], answer["inventory"]])
}

/// The size of the first publication's record from an offset on.
async fn record_bytes(cluster: &Cluster, from: u64) -> usize {
    let path = format!("/streams/control/records?from={from}&wait_ms=0");
    let page = workbench::http_json::get(cluster.platform_address(), &path).await;
    let page = page.expect("the log answers");
    let records = page["records"].as_array().into_iter().flatten();
    let mut sizes = records
        .map(|record| record["data"].to_string())
        .filter(|data| data.contains("\"Publish\"") || data.contains("\"Amend\""))
        .map(|data| data.len());
    sizes.next().expect("the publication is in the log")
}

#[googletest::test]
fn a_lost_race_has_its_exit_code_and_names_the_winner() {
    block_on(async {
        let cluster = start().await;
        let base = cluster.status(0).await.expect("a status")["revision"].to_string();
        let path = write(&cluster.inventory, "race.json");
        let first = run(&cluster, 0, &["publish", &path, "--base", &base]);
        expect_that!(first.status.code(), some(eq(0)), "{}", said(&first));
        let second = run(&cluster, 1, &["publish", &path, "--base", &base]);
        expect_that!(second.status.code(), some(eq(4)));
        let now = cluster.status(0).await.expect("a status")["revision"].to_string();
        expect_that!(
            said(&second),
            contains_substring(format!("revision {now} is in force"))
        );
    });
}

#[googletest::test]
fn explain_and_status_tell_what_was_decided() {
    block_on(async {
        let cluster = start().await;
        let outcome = Asker::default()
            .ask(
                cluster.caller_address(2),
                &Question::new("model-1", "why", 3),
            )
            .await;
        expect_that!(outcome.text(), some(anything()));
        let routed = run(&cluster, 2, &["explain", "model-1"]);
        expect_that!(routed.status.code(), some(eq(0)), "{}", said(&routed));
        expect_that!(said(&routed), contains_substring("routed"));
        let line = said(&routed);
        let id = line
            .split("request=")
            .nth(1)
            .and_then(|rest| rest.split(' ').next());
        let by_id = run(&cluster, 2, &["explain", id.expect("a request id")]);
        expect_that!(said(&by_id), contains_substring("model=model-1@1"));
        let placed: String = (0..3)
            .map(|vm| said(&run(&cluster, vm, &["explain", "model-1"])))
            .collect();
        expect_that!(placed, contains_substring("load_placed"));
        let nothing = run(&cluster, 2, &["explain", "nothing"]);
        expect_that!(nothing.status.code(), some(eq(4)));
        let status = run(&cluster, 1, &["status", "--json"]);
        let status: Value = serde_json::from_slice(&status.stdout).expect("JSON");
        expect_that!(status["warnings"], eq(&json!([])));
        let table = run(&cluster, 1, &["status"]);
        expect_that!(said(&table), contains_substring("RESIDENT ON"));
    });
}

#[googletest::test]
fn a_watched_status_shows_a_new_revision_by_itself() {
    block_on(async {
        let cluster = start().await;
        let via = cluster.operator_address(1).to_string();
        let mut watch = Command::new(product_binary())
            .args(["status", "--watch", "--via", &via])
            .stdout(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let output = BufReader::new(watch.stdout.take().expect("it is piped"));
        let mut heads = output.lines().map_while(Result::ok).filter_map(|line| {
            let (_, head) = line.split_once("revision ")?;
            head.contains("as seen by").then(|| head.to_owned())
        });
        let first = heads.next();
        let mut changed = cluster.inventory.clone();
        changed.callers[0].deadline_ms += 1;
        let revision = cluster.publish(0, &changed, None).await.expect("accepted");
        let shown = heads
            .take(MAX_LOOKS)
            .find(|head| head.starts_with(&revision.to_string()));
        watch.kill().expect("it still watches");
        watch.wait().expect("it ends");
        expect_that!(first, some(not(starts_with(revision.to_string()))));
        expect_that!(shown, some(contains_substring("vm-1")));
    });
}

#[googletest::test]
fn the_page_of_metrics_shows_what_vms_report() {
    block_on(async {
        let cluster = start().await;
        let question = Question::new("model-0", "count", 3);
        let mut reported = BTreeSet::new();
        for vm in 0..3 {
            Asker::default()
                .ask(cluster.caller_address(vm), &question)
                .await;
            let key = uuid::Uuid::now_v7().to_string();
            let body = json!({"licence": 1});
            call(cluster.caller_address(vm), "/receipts", Some(&key), &body).await;
            reported.extend(metrics(&cluster, vm).await);
        }
        let page = include_str!("../../docs/METRICS.md");
        // The other table is the platform side's, which another test compares.
        let own = page.split("\n## ").next().unwrap_or_default();
        let rows = own.lines().filter_map(|line| {
            let mut cells = line.split('|').map(|cell| cell.trim().trim_matches('`'));
            let (name, kind) = (cells.nth(1)?, cells.next()?);
            name.starts_with("rattanjunction_")
                .then(|| format!("{name} {kind}"))
        });
        let shown: BTreeSet<String> = rows.collect();
        expect_that!(reported, eq(&shown));
    });
}

/// The names and types of a VM's metrics.
async fn metrics(cluster: &Cluster, vm: usize) -> Vec<String> {
    let url = format!("http://{}/metrics", cluster.operator_address(vm));
    let client = cyper::Client::new().expect("a client");
    let request = client.get(url).expect("a valid address");
    let response = request.send().await.expect("the VM answers");
    let text = response.text().await.expect("text");
    let types = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    types.map(str::to_owned).collect()
}
