//! The main job, from start to end: a site, real requests, a change and a kill.

use crate::cluster::{Cluster, Plan};
use crate::load_client::{Asker, CallEnd, End, Outcome, Question, call};
use crate::sample_inventory::Shape;
use futures_util::future::join_all;
use hdrhistogram::Histogram;
use rattanjunction::Inventory;
use serde_json::json;
use std::cell::Cell;
use std::collections::HashSet;
use std::time::{Duration, Instant};

/// Adapters of the demonstration; the whole 60 would take the weight store 40 s.
const ADAPTERS: usize = 7;
/// How long models may take to load.
const SETTLE_LIMIT: Duration = Duration::from_secs(40);
/// Requests at once while the demonstration runs.
const CALLERS: usize = 24;
/// Requests of each caller.
const REQUESTS_PER_CALLER: usize = 12;
/// Tokens of each answer.
const TOKENS: u32 = 48;
/// Calls to the plain service.
const CALLS: usize = 30;

/// One line of the table.
struct Row {
    name: &'static str,
    count: usize,
    wrong: usize,
    times_ms: Histogram<u64>,
}

impl Row {
    fn new(name: &'static str) -> Self {
        Self {
            name,
            count: 0,
            wrong: 0,
            times_ms: Histogram::new(3).expect("three digits are allowed"),
        }
    }

    fn note(&mut self, right: bool, time: Duration) {
        self.count += 1;
        self.wrong += usize::from(!right);
        self.times_ms
            .record(time.as_millis() as u64)
            .expect("the histogram grows");
    }

    fn print(&self) {
        println!(
            "{:<34} {:>6} {:>6} {:>8} {:>8} {:>8}",
            self.name,
            self.count,
            self.wrong,
            self.times_ms.value_at_quantile(0.5),
            self.times_ms.value_at_quantile(0.99),
            self.times_ms.max()
        );
    }
}

/// Runs the demonstration; true when everything held.
pub async fn run() -> bool {
    let started = Instant::now();
    let mut plan = Plan::new(Shape::vltava(ADAPTERS), 3);
    plan.platform.loads_per_s = 1.6;
    println!("starting a site of Vltava's shape: 3 VMs, 9 runners, 3 receipt servers, 13 models");
    let mut cluster = Cluster::start(plan).await;
    cluster.publish_and_settle(SETTLE_LIMIT).await;
    println!(
        "every model is resident after {:.1} s",
        started.elapsed().as_secs_f64()
    );
    cluster.wait_spread(SETTLE_LIMIT).await;
    println!(
        "every model has a second copy after {:.1} s",
        started.elapsed().as_secs_f64()
    );

    let mut rows = Vec::new();
    let (asked, killed) = ask_through_kill(&mut cluster).await;
    rows.extend(asked);
    rows.push(publish_change(&cluster).await);
    rows.push(issue_receipts(&cluster).await);
    let memory_held = check_memory(&cluster);

    println!(
        "\n{:<34} {:>6} {:>6} {:>8} {:>8} {:>8}",
        "", "COUNT", "WRONG", "P50 MS", "P99 MS", "MAX MS"
    );
    rows.iter().for_each(Row::print);
    println!("\nrunner killed while {killed} requests were on their way");
    println!("accelerator memory within bounds at every entry of 9 journals: {memory_held}");
    println!("ended after {:.1} s", started.elapsed().as_secs_f64());
    memory_held && rows.iter().all(|row| row.wrong == 0)
}

/// Many callers over all VMs; a runner is killed halfway.
async fn ask_through_kill(cluster: &mut Cluster) -> (Vec<Row>, usize) {
    let inventory = cluster.inventory.clone();
    let addresses: Vec<_> = (0..3).map(|vm| cluster.caller_address(vm)).collect();
    let ended = Cell::new(0);
    let callers = join_all((0..CALLERS).map(|caller| {
        let (inventory, addresses, ended) = (&inventory, &addresses, &ended);
        async move {
            let asker = Asker::default();
            let mut outcomes = Vec::new();
            for turn in 0..REQUESTS_PER_CALLER {
                let question = question(inventory, caller, turn);
                let outcome = asker.ask(addresses[(caller + turn) % 3], &question).await;
                outcomes.push((question, outcome));
                ended.set(ended.get() + 1);
            }
            outcomes
        }
    }));
    let kill = async {
        while ended.get() < CALLERS * REQUESTS_PER_CALLER / 2 {
            compio::time::sleep(Duration::from_millis(5)).await;
        }
        cluster.runners[0].kill();
        CALLERS.min(CALLERS * REQUESTS_PER_CALLER - ended.get())
    };
    let (outcomes, killed) = futures_util::join!(callers, kill);
    let mut first = Row::new("completions: first token");
    let mut whole = Row::new("completions: whole answer");
    for (question, outcome) in outcomes.iter().flatten() {
        let right = is_right(question, outcome);
        if !right {
            println!("not right: {} {:?}", question.model, outcome.end);
        }
        if let Some(time) = outcome.first_token {
            first.note(right, time);
        }
        whole.note(right, outcome.total);
    }
    (vec![first, whole], killed)
}

fn question(inventory: &Inventory, caller: usize, turn: usize) -> Question {
    let model = &inventory.models[(caller * 7 + turn * 5) % inventory.models.len()];
    let name = match model.adapters.first() {
        Some(adapter) if turn.is_multiple_of(2) => format!("{}/{}", model.name, adapter.name),
        _ => model.name.to_string(),
    };
    let mut question = Question::new(&name, &format!("clear work {caller}-{turn}"), TOKENS);
    question.stream = turn % 4 != 3;
    question.api_key = Some("key-desk".to_owned());
    question
}

fn is_right(question: &Question, outcome: &Outcome) -> bool {
    let adapter = question.model.contains('/').then_some("1");
    outcome.text() == Some(question.expected("1", adapter).text().as_str())
}

/// Publishes a change and measures until every VM reports it.
async fn publish_change(cluster: &Cluster) -> Row {
    let mut row = Row::new("change in force on all VMs");
    let mut inventory = cluster.inventory.clone();
    inventory.callers[0].deadline_ms = 9_000;
    let started = Instant::now();
    let revision = cluster.publish(1, &inventory, None).await;
    let Ok(revision) = revision else {
        println!("publication refused: {revision:?}");
        row.note(false, started.elapsed());
        return row;
    };
    cluster
        .wait_for(
            "the change is in force everywhere",
            Duration::from_secs(10),
            async || {
                for vm in 0..3 {
                    let status = cluster.status(vm).await.unwrap_or_default();
                    if status["revision"] != revision {
                        return false;
                    }
                }
                true
            },
        )
        .await;
    row.note(true, started.elapsed());
    row
}

/// Issues receipts, each sent twice through different VMs.
async fn issue_receipts(cluster: &Cluster) -> Row {
    let mut row = Row::new("receipts: sent twice, run once");
    for index in 0..CALLS {
        let key = uuid::Uuid::now_v7().to_string();
        let body = json!({"licence": index});
        let started = Instant::now();
        let first = call(
            cluster.caller_address(index % 3),
            "/receipts",
            Some(&key),
            &body,
        )
        .await;
        let time = started.elapsed();
        let second = call(
            cluster.caller_address((index + 1) % 3),
            "/receipts",
            Some(&key),
            &body,
        )
        .await;
        let right = matches!(&first, CallEnd::Answered(200, _)) && first == second;
        row.note(right, time);
    }
    let runs: Vec<String> = (0..3)
        .flat_map(|server| cluster.server_journal(server))
        .filter(|line| line["kind"] == "run")
        .map(|line| line["body"]["licence"].to_string())
        .collect();
    let distinct: HashSet<&String> = runs.iter().collect();
    if distinct.len() != runs.len() || runs.len() != CALLS {
        println!("receipts: {} runs for {CALLS} keys", runs.len());
        row.wrong += 1;
    }
    row
}

/// Whether no engine's journal shows more memory used than there is.
pub fn check_memory(cluster: &Cluster) -> bool {
    (0..cluster.plan.shape.runners)
        .flat_map(|index| cluster.runner_journal(index))
        .filter(|line| line["kind"] == "memory")
        .all(|line| line["used_mib"].as_u64() <= line["memory_mib"].as_u64())
}

/// Whether an end is one that the product may give.
pub fn is_allowed(end: &End) -> bool {
    matches!(end, End::Complete(_) | End::Error(_) | End::NoConnection)
}
