//! What non-idempotent calls cost: appends, time and memory against calls a second.

use crate::cluster::{Cluster, Plan};
use crate::keyed_calls::{self, CallAnswer, KeyedCall, runs, runs_by_key};
use crate::sample_inventory::Shape;
use crate::usage;
use futures_util::future::join_all;
use hdrhistogram::Histogram;
use serde_json::{Value, json};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long a site may take to start.
const START_LIMIT: Duration = Duration::from_secs(60);
/// The longest time that is told apart, in microseconds.
const MAX_MICROS: u64 = 60_000_000;
/// Bytes of text in each call, as a receipt may have.
const TEXT_BYTES: usize = 200;

/// The load of one run.
#[derive(Clone, Copy, Debug)]
pub struct CallLoad {
    /// Our VMs.
    pub vms: usize,
    /// Calls a second over all VMs.
    pub rate: u64,
    /// How long they go on.
    pub length: Duration,
}

/// What a run gave.
#[derive(Debug)]
struct Tally {
    latency_micros: Histogram<u64>,
    ends: BTreeMap<String, u64>,
}

impl Tally {
    fn note(&mut self, answer: Option<&CallAnswer>) {
        let end = match answer {
            Some(answer) if answer.status == 200 => {
                self.latency_micros
                    .saturating_record(answer.took.as_micros() as u64);
                "complete"
            }
            Some(answer) => answer.code(),
            None => "broken",
        };
        *self.ends.entry(end.to_owned()).or_default() += 1;
    }
}

/// Runs a load and prints its figures; false if a key ran more than once.
pub async fn run(load: CallLoad) -> bool {
    let cluster = start(load.vms).await;
    let idle_rss_kib = rss_kib(&cluster);
    let before = cluster.platform_journal().await.len();
    let began = Instant::now();
    let tally = send_all(&cluster, load).await;
    let seconds = began.elapsed().as_secs_f64();
    // Replies are recorded a moment after their answers.
    compio::time::sleep(Duration::from_millis(500)).await;
    let journal = cluster.platform_journal().await;
    print(&tally, load, &journal[before..], seconds);
    let calls = load.rate * load.length.as_secs();
    let grown_kib = rss_kib(&cluster).saturating_sub(idle_rss_kib);
    println!(
        "  memory of a VM: {} KiB at the start, {} KiB more at the end, {} bytes a key",
        idle_rss_kib,
        grown_kib,
        grown_kib * 1_024 / calls.max(1)
    );
    let runs = runs(&cluster);
    let most = runs_by_key(&runs).into_values().max().unwrap_or(0);
    println!("  runs: {}, of one key at most {most}", runs.len());
    most <= 1
}

async fn start(vms: usize) -> Cluster {
    let shape = Shape {
        runners: 1,
        models: 1,
        adapters: 0,
        servers: 3,
        ..Shape::small()
    };
    let mut plan = Plan::new(shape, vms);
    plan.settings = json!({"log_level": "warn"});
    let cluster = Cluster::start(plan).await;
    cluster.publish_and_settle(START_LIMIT).await;
    cluster
}

async fn send_all(cluster: &Cluster, load: CallLoad) -> Tally {
    let tally = Rc::new(RefCell::new(Tally {
        latency_micros: Histogram::new_with_max(MAX_MICROS, 3).expect("the bounds are valid"),
        ends: BTreeMap::new(),
    }));
    let interval = Duration::from_secs_f64(1.0 / load.rate as f64);
    let began = Instant::now();
    let mut tasks = Vec::new();
    for number in 0..load.rate * load.length.as_secs() {
        let due = began + interval * number as u32;
        compio::time::sleep_until(due).await;
        let address = cluster.caller_address(number as usize % load.vms);
        let tally = tally.clone();
        tasks.push(compio::runtime::spawn(async move {
            let call = KeyedCall::with_text(TEXT_BYTES);
            let answer = keyed_calls::exchange(address, &call, &format!("call-{number}")).await;
            tally.borrow_mut().note(answer.as_ref());
        }));
    }
    join_all(tasks).await;
    Rc::into_inner(tally)
        .expect("every task has ended")
        .into_inner()
}

/// The largest resident set of a VM.
fn rss_kib(cluster: &Cluster) -> u64 {
    let sizes = cluster.vms.iter();
    let sizes = sizes.map(|vm| usage::of_process(vm.id()).rss_kib);
    sizes.max().unwrap_or(0)
}

fn print(tally: &Tally, load: CallLoad, journal: &[Value], seconds: f64) {
    let count = |kind: &str| {
        let lines = journal.iter();
        lines
            .filter(|line| line["kind"] == kind && line["stream"] == "keys")
            .count()
    };
    let appends = count("append");
    let bytes = usage::sum(journal, "append", "bytes");
    let quantile = |quantile| tally.latency_micros.value_at_quantile(quantile) as f64 / 1_000.0;
    println!("{} VMs, {} calls/s, {seconds:.1} s:", load.vms, load.rate);
    println!(
        "  ends: {:?}, p50 {:.1} ms, p99 {:.1} ms",
        tally.ends,
        quantile(0.5),
        quantile(0.99)
    );
    println!(
        "  appends: {appends}, {:.1} a second; refused by the log: {}; {:.1} calls an append; \
         {:.0} KB/s of records",
        appends as f64 / seconds,
        count("append_refused"),
        (load.rate * load.length.as_secs()) as f64 / appends.max(1) as f64,
        bytes as f64 / seconds / 1_000.0
    );
}
