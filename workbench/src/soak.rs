//! A bounded soak: two faults at once, drawn from a seed, under load.
//!
//! Afterwards everything is healed, and every promise is checked from the
//! journals of the stand-ins and from what the callers saw.

use crate::cluster::{Cluster, PROXY_PORT, Plan, platform_at, runner_at, server_at};
use crate::demo::check_memory;
use crate::load_client::{Asker, CallEnd, End, Question, call_as};
use crate::proxy::{Faults, Proxy};
use crate::sample_inventory::Shape;
use nix::sys::signal::Signal;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rattanjunction::Inventory;
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long models may take to load, and everything to heal.
const SETTLE_LIMIT: Duration = Duration::from_secs(60);
/// How long a fault lasts.
const FAULT_TIME: Duration = Duration::from_millis(2_000);
/// The pause between two pairs of faults.
const QUIET_TIME: Duration = Duration::from_millis(1_500);
/// Callers of completions, and of the plain service.
const ASKERS: usize = 6;
const CALLERS: usize = 3;
/// Tokens of an answer.
const TOKENS: u32 = 80;
/// Our VMs.
const VMS: usize = 3;

/// Something that goes wrong for a while.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    KillRunner(usize),
    KillVm(usize),
    PauseVm(usize),
    LogDown,
    LogSilent,
    LoseAppendAnswers,
    VmListDown,
    StoreDown,
    CutRunner(usize),
    SilenceRunner(usize),
    DelayRunner(usize),
    DropRunnerAnswers(usize),
    DropServerAnswers,
    CutLog,
    SilenceLog,
    MarkRunnerLeaving(usize),
}

impl Fault {
    fn draw(rng: &mut StdRng) -> Self {
        let index = rng.random_range(0..3);
        match rng.random_range(0..16) {
            0 => Self::KillRunner(index),
            1 => Self::KillVm(index),
            2 => Self::PauseVm(index),
            3 => Self::LogDown,
            4 => Self::LogSilent,
            5 => Self::LoseAppendAnswers,
            6 => Self::VmListDown,
            7 => Self::StoreDown,
            8 => Self::CutRunner(index),
            9 => Self::SilenceRunner(index),
            10 => Self::DelayRunner(index),
            11 => Self::DropRunnerAnswers(index),
            12 => Self::DropServerAnswers,
            13 => Self::CutLog,
            14 => Self::SilenceLog,
            _ => Self::MarkRunnerLeaving(index),
        }
    }
}

/// What the callers saw.
#[derive(Default)]
struct Seen {
    complete: Cell<u64>,
    refused: Cell<u64>,
    failed: Cell<u64>,
    findings: RefCell<Vec<String>>,
    not_run: RefCell<HashSet<String>>,
    revisions: RefCell<HashMap<usize, u64>>,
}

impl Seen {
    fn find(&self, finding: String) {
        self.findings.borrow_mut().push(finding);
    }

    fn count(cell: &Cell<u64>) {
        cell.set(cell.get() + 1);
    }
}

struct Site {
    cluster: RefCell<Cluster>,
    callers: Vec<SocketAddr>,
    operators: Vec<SocketAddr>,
    inventory: Inventory,
    runners: Vec<Rc<Proxy>>,
    server: Rc<Proxy>,
    log: Rc<Proxy>,
    stop: Cell<bool>,
    seen: Seen,
}

/// Runs a soak and returns what was broken, in plain sentences.
pub async fn run(seed: u64, time: Duration) -> Vec<String> {
    println!("seed {seed}, {} s", time.as_secs());
    let site = Rc::new(start().await);
    let mut tasks = Vec::new();
    for index in 0..ASKERS {
        tasks.push(compio::runtime::spawn(ask(site.clone(), seed, index)));
    }
    for index in 0..CALLERS {
        tasks.push(compio::runtime::spawn(issue(site.clone(), seed, index)));
    }
    tasks.push(compio::runtime::spawn(publish(site.clone(), seed)));
    tasks.push(compio::runtime::spawn(watch_revisions(site.clone())));
    inject(&site, seed, time).await;
    site.stop.set(true);
    for task in tasks {
        if task.await.is_err() {
            site.seen.find("a caller's task panicked".to_owned());
        }
    }
    let site = Rc::into_inner(site).expect("every task has ended");
    let Site {
        cluster,
        callers,
        seen,
        ..
    } = site;
    check(&cluster.into_inner(), &callers, &seen).await;
    println!(
        "complete {}, refused {}, failed otherwise {}, broken {}",
        seen.complete.get(),
        seen.refused.get(),
        seen.failed.get(),
        seen.findings.borrow().len()
    );
    seen.findings.take()
}

async fn start() -> Site {
    let ip = Cluster::pick_ip();
    let proxy_at = |index: u16| SocketAddr::new(ip, PROXY_PORT + index);
    let mut plan = Plan::new(Shape::small(), VMS);
    let mut runners = Vec::new();
    for index in 0..3 {
        let real = runner_at(ip, index);
        plan.detours.push((real, proxy_at(index as u16)));
        runners.push(Proxy::start(proxy_at(index as u16), real).await);
    }
    plan.detours.push((server_at(ip, 0), proxy_at(10)));
    let server = Proxy::start(proxy_at(10), server_at(ip, 0)).await;
    plan.detours.push((platform_at(ip), proxy_at(11)));
    let log = Proxy::start(proxy_at(11), platform_at(ip)).await;
    let cluster = Cluster::start_at(plan, ip).await;
    cluster.publish_and_settle(SETTLE_LIMIT).await;
    cluster.wait_spread(SETTLE_LIMIT).await;
    Site {
        callers: (0..VMS).map(|vm| cluster.caller_address(vm)).collect(),
        operators: (0..VMS).map(|vm| cluster.operator_address(vm)).collect(),
        inventory: cluster.inventory.clone(),
        cluster: RefCell::new(cluster),
        runners,
        server,
        log,
        stop: Cell::new(false),
        seen: Seen::default(),
    }
}

/// Asks for completions and checks every answer to the byte.
async fn ask(site: Rc<Site>, seed: u64, index: usize) {
    let mut rng = StdRng::seed_from_u64(seed ^ (index as u64 + 1) << 32);
    let asker = Asker::default();
    let mut turn = 0;
    while !site.stop.get() {
        turn += 1;
        let model = Shape::model_name(rng.random_range(0..3));
        let mut question = Question::new(&model, &format!("{index} {turn}"), TOKENS);
        question.stream = rng.random_range(0..4) > 0;
        question.id = Some(format!("ask-{index}-{turn}"));
        question.api_key = Some("key-desk".to_owned());
        question.deadline_ms = Some(4_000);
        let vm = site.callers[rng.random_range(0..VMS)];
        let limit = Duration::from_secs(20);
        let Ok(outcome) = compio::time::timeout(limit, asker.ask(vm, &question)).await else {
            site.seen
                .find(format!("{:?} had no end within {limit:?}", question.id));
            continue;
        };
        judge(&site.seen, &question, &outcome.end);
        compio::time::sleep(Duration::from_millis(20)).await;
    }
}

fn judge(seen: &Seen, question: &Question, end: &End) {
    let id = question.id.clone().unwrap_or_default();
    match end {
        End::Complete(text) if *text == question.expected("1", None).text() => {
            Seen::count(&seen.complete);
        }
        End::Complete(text) => seen.find(format!("{id}: not its own answer: {text}")),
        End::Truncated(text) => seen.find(format!("{id}: a clean end on a cut stream: {text}")),
        End::Error(error) if error.ran == "no" => {
            Seen::count(&seen.refused);
            seen.not_run.borrow_mut().insert(id);
        }
        End::Error(_) | End::Cut(_) | End::NoConnection => Seen::count(&seen.failed),
    }
}

/// Issues receipts; each that did not end well is sent again elsewhere.
async fn issue(site: Rc<Site>, seed: u64, index: usize) {
    let mut rng = StdRng::seed_from_u64(seed ^ (index as u64 + 101) << 32);
    let mut turn = 0;
    while !site.stop.get() {
        turn += 1;
        let key = uuid::Uuid::now_v7().to_string();
        let body = json!({"licence": format!("{index}-{turn}")});
        for attempt in 0..4 {
            let id = format!("call-{index}-{turn}-{attempt}");
            let vm = site.callers[rng.random_range(0..VMS)];
            let call = call_as(vm, "/receipts", Some(&key), &body, Some(&id));
            let end = compio::time::timeout(Duration::from_secs(15), call).await;
            match end {
                Ok(CallEnd::Answered(200, _)) => {
                    Seen::count(&site.seen.complete);
                    break;
                }
                Ok(CallEnd::Answered(_, answer)) if answer["error"]["ran"] == "no" => {
                    Seen::count(&site.seen.refused);
                    site.seen.not_run.borrow_mut().insert(id);
                }
                Ok(_) => Seen::count(&site.seen.failed),
                Err(_) => site.seen.find(format!("{id} had no end within 15 s")),
            }
            compio::time::sleep(Duration::from_millis(200)).await;
        }
        compio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Publishes changes that move nothing, through whichever VM.
async fn publish(site: Rc<Site>, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed ^ 0xabcd_0000);
    let mut inventory = site.inventory.clone();
    while !site.stop.get() {
        inventory.callers[1].deadline_ms = rng.random_range(30_000..60_000);
        let body = json!({"base": null, "inventory": inventory});
        let vm = site.operators[rng.random_range(0..VMS)];
        // Whether it was accepted shows in the revisions.
        let _ = crate::http_json::post(vm, "/publish", &body).await;
        compio::time::sleep(Duration::from_millis(700)).await;
    }
}

/// Checks that no VM ever reports an older revision than before.
async fn watch_revisions(site: Rc<Site>) {
    while !site.stop.get() {
        for (vm, operator) in site.operators.iter().enumerate() {
            let status = crate::http_json::get(*operator, "/status").await;
            let Some(revision) = status.and_then(|status| status["revision"].as_u64()) else {
                continue;
            };
            let before = site.seen.revisions.borrow().get(&vm).copied().unwrap_or(0);
            // A VM that has just started knows none yet.
            if revision != 0 && revision < before {
                site.seen
                    .find(format!("vm-{vm} went from revision {before} to {revision}"));
            }
            if revision != 0 {
                site.seen.revisions.borrow_mut().insert(vm, revision);
            }
        }
        compio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Draws two faults at once, again and again.
async fn inject(site: &Rc<Site>, seed: u64, time: Duration) {
    let mut rng = StdRng::seed_from_u64(seed);
    let start = Instant::now();
    while start.elapsed() < time {
        let first = Fault::draw(&mut rng);
        let mut second = Fault::draw(&mut rng);
        while second == first {
            second = Fault::draw(&mut rng);
        }
        println!(
            "{:>5.1} s: {first:?} with {second:?}",
            start.elapsed().as_secs_f64()
        );
        begin(site, first).await;
        begin(site, second).await;
        compio::time::sleep(FAULT_TIME).await;
        end(site, first).await;
        end(site, second).await;
        compio::time::sleep(QUIET_TIME).await;
    }
}

async fn set_platform(site: &Site, change: Value) {
    let address = site.cluster.borrow().platform_address();
    crate::http_json::post(address, "/state", &change)
        .await
        .expect("the platform answers");
}

async fn begin(site: &Site, fault: Fault) {
    match fault {
        Fault::KillRunner(index) => site.cluster.borrow_mut().runners[index].kill(),
        Fault::KillVm(index) => site.cluster.borrow_mut().vms[index].kill(),
        Fault::PauseVm(index) => site.cluster.borrow().vms[index].signal(Signal::SIGSTOP),
        Fault::LogDown => set_platform(site, json!({"log_down": true})).await,
        Fault::LogSilent => set_platform(site, json!({"log_silent": true})).await,
        Fault::LoseAppendAnswers => {
            set_platform(site, json!({"lose_append_answers": true})).await;
        }
        Fault::VmListDown => set_platform(site, json!({"list_down": true})).await,
        Fault::StoreDown => set_platform(site, json!({"store_down": true})).await,
        Fault::CutRunner(index) => site.runners[index].cut(),
        Fault::SilenceRunner(index) => site.runners[index].silence(),
        Fault::DelayRunner(index) => site.runners[index].set(Faults {
            delay_ms: 100,
            ..Faults::default()
        }),
        Fault::DropRunnerAnswers(index) => site.runners[index].set(Faults {
            drop_answers: true,
            ..Faults::default()
        }),
        Fault::DropServerAnswers => site.server.set(Faults {
            drop_answers: true,
            ..Faults::default()
        }),
        Fault::CutLog => site.log.cut(),
        Fault::SilenceLog => site.log.silence(),
        Fault::MarkRunnerLeaving(index) => {
            let list = site.cluster.borrow().list(&[format!("runner-{index}")]);
            set_list(site, &list).await;
        }
    }
}

async fn end(site: &Site, fault: Fault) {
    match fault {
        Fault::KillRunner(index) => site.cluster.borrow_mut().restart_runner(index),
        Fault::KillVm(index) => site.cluster.borrow_mut().restart_vm(index),
        Fault::PauseVm(index) => site.cluster.borrow().vms[index].signal(Signal::SIGCONT),
        Fault::LogDown => set_platform(site, json!({"log_down": false})).await,
        Fault::LogSilent => set_platform(site, json!({"log_silent": false})).await,
        Fault::LoseAppendAnswers => {
            set_platform(site, json!({"lose_append_answers": false})).await;
        }
        Fault::VmListDown => set_platform(site, json!({"list_down": false})).await,
        Fault::StoreDown => set_platform(site, json!({"store_down": false})).await,
        Fault::DelayRunner(index) | Fault::DropRunnerAnswers(index) => {
            site.runners[index].set(Faults::default());
        }
        Fault::DropServerAnswers => site.server.set(Faults::default()),
        Fault::CutRunner(_) | Fault::SilenceRunner(_) | Fault::CutLog | Fault::SilenceLog => {}
        Fault::MarkRunnerLeaving(_) => {
            let list = site.cluster.borrow().list(&[]);
            set_list(site, &list).await;
        }
    }
}

async fn set_list(site: &Site, list: &Value) {
    let address = site.cluster.borrow().platform_address();
    crate::http_json::post(address, "/vms", list)
        .await
        .expect("the platform answers");
}

/// Checks every promise once all is healed.
async fn check(cluster: &Cluster, callers: &[SocketAddr], seen: &Seen) {
    cluster.wait_settled(SETTLE_LIMIT).await;
    check_revisions(cluster, seen).await;
    check_reachable(callers, seen).await;
    if !check_memory(cluster) {
        seen.find("a runner's journal shows more memory used than there is".to_owned());
    }
    check_runs(cluster, seen);
}

async fn check_revisions(cluster: &Cluster, seen: &Seen) {
    cluster
        .wait_for("all VMs report one revision", SETTLE_LIMIT, async || {
            let mut revisions = HashSet::new();
            for vm in 0..VMS {
                let status = cluster.status(vm).await.unwrap_or_default();
                revisions.insert(status["revision"].as_u64());
            }
            revisions.len() == 1 && !revisions.contains(&None)
        })
        .await;
    let status = cluster.status(0).await.unwrap_or_default();
    let last = seen.revisions.borrow().values().max().copied();
    if status["revision"].as_u64() < last {
        seen.find(format!("revision {last:?} was reverted"));
    }
}

/// Every model answers through every VM.
async fn check_reachable(callers: &[SocketAddr], seen: &Seen) {
    let asker = Asker::default();
    for (vm, address) in callers.iter().enumerate() {
        for model in 0..3 {
            let question = Question::new(&Shape::model_name(model), "a probe", 8);
            let outcome = asker.ask(*address, &question).await;
            if outcome.text() != Some(question.expected("1", None).text().as_str()) {
                seen.find(format!(
                    "model-{model} through vm-{vm} after healing: {:?}",
                    outcome.end
                ));
            }
        }
    }
}

/// No key ran twice, and nothing that was refused as not run has run.
fn check_runs(cluster: &Cluster, seen: &Seen) {
    let not_run = seen.not_run.borrow();
    let mut licences = HashSet::new();
    for line in cluster.server_journal(0) {
        if line["kind"] != "run" {
            continue;
        }
        let licence = line["body"]["licence"].to_string();
        if !licences.insert(licence.clone()) {
            seen.find(format!("receipt {licence} ran twice"));
        }
        note_refused_run(seen, &not_run, &line);
    }
    for index in 0..cluster.plan.shape.runners {
        for line in cluster.runner_journal(index) {
            if line["kind"] == "run" {
                note_refused_run(seen, &not_run, &line);
            }
        }
    }
}

fn note_refused_run(seen: &Seen, not_run: &HashSet<String>, line: &Value) {
    let id = line["request"].as_str().unwrap_or_default();
    if not_run.contains(id) {
        seen.find(format!("{id} was refused as not run, and ran"));
    }
}
