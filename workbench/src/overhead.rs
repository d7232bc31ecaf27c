//! What one VM adds: time against asking the engine directly, and tokens a core.

use crate::cluster::{Cluster, Plan};
use crate::load_client::{Asker, End, Outcome, Question};
use crate::sample_inventory::Shape;
use crate::usage;
use futures_util::future::join_all;
use hdrhistogram::Histogram;
use serde_json::json;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Tokens of each answer.
const TOKENS: u32 = 60;
/// Answers of each caller.
const ROUNDS: usize = 4;
/// Threads that ask.
const THREADS: usize = 4;
/// How long models may take to load.
const SETTLE_LIMIT: Duration = Duration::from_secs(30);

/// Times of one way of asking, in microseconds.
struct Times {
    first_token: Histogram<u64>,
    gap: Histogram<u64>,
    whole: Histogram<u64>,
    wrong: usize,
    tokens: u64,
}

impl Times {
    fn new() -> Self {
        let histogram = || Histogram::new(3).expect("three digits are allowed");
        Self {
            first_token: histogram(),
            gap: histogram(),
            whole: histogram(),
            wrong: 0,
            tokens: 0,
        }
    }

    fn note(&mut self, outcome: &Outcome, expected: &str) {
        if outcome.end != End::Complete(expected.to_owned()) {
            if self.wrong == 0 {
                println!("not right: {:?}", outcome.end);
            }
            self.wrong += 1;
            return;
        }
        if let Some(time) = outcome.first_token {
            self.first_token
                .record(time.as_micros() as u64)
                .expect("the histogram grows");
        }
        for gap in &outcome.gaps {
            self.gap
                .record(gap.as_micros() as u64)
                .expect("the histogram grows");
        }
        self.whole
            .record(outcome.total.as_micros() as u64)
            .expect("the histogram grows");
        self.tokens += 1 + outcome.gaps.len() as u64;
    }

    fn add(&mut self, other: &Self) {
        self.first_token += &other.first_token;
        self.gap += &other.gap;
        self.whole += &other.whole;
        self.wrong += other.wrong;
        self.tokens += other.tokens;
    }
}

/// Measures with some numbers of streams at once and prints a line for each.
pub async fn run(streams: &[usize], step_ms: f64) {
    println!(
        "{:>7} {:>7} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9} {:>10} {:>8} {:>6}",
        "STREAMS",
        "WAY",
        "FIRST50",
        "FIRST99",
        "GAP50",
        "GAP99",
        "WHOLE50",
        "WHOLE99",
        "TOK/CORE-S",
        "RSS MiB",
        "WRONG"
    );
    for count in streams {
        measure(*count, step_ms).await;
    }
}

async fn measure(streams: usize, step_ms: f64) {
    let mut shape = Shape::small();
    shape.runners = 4;
    shape.models = 4;
    shape.adapters = 0;
    let mut plan = Plan::new(shape, 1);
    plan.step_ms = step_ms;
    plan.step_per_request_ms = 0.0;
    plan.max_batch = streams;
    plan.settings = json!({"log_level": "warn"});
    let cluster = Cluster::start(plan).await;
    cluster.publish_and_settle(SETTLE_LIMIT).await;
    cluster.wait_spread(SETTLE_LIMIT).await;
    let vm = cluster.vms[0].id();
    let engines: Vec<SocketAddr> = (0..4).map(|index| cluster.runner_address(index)).collect();
    let direct = ask_all(streams, placements(&cluster, &engines).await, true).await;
    let before = usage::of_process(vm);
    let through = vec![
        (cluster.caller_address(0), 0),
        (cluster.caller_address(0), 1),
        (cluster.caller_address(0), 2),
        (cluster.caller_address(0), 3),
    ];
    let via = ask_all(streams, through, false).await;
    let after = usage::of_process(vm);
    let cpu = (after.cpu - before.cpu).as_secs_f64();
    print_line(streams, "direct", &direct, None);
    print_line(
        streams,
        "vm",
        &via,
        Some((via.tokens as f64 / cpu, after.rss_kib)),
    );
    println!(
        "{streams:>7}   added {:>9} {:>9} {:>9} {:>9} {:>9} {:>9}  (us)",
        added(&via.first_token, &direct.first_token, 0.5),
        added(&via.first_token, &direct.first_token, 0.99),
        added(&via.gap, &direct.gap, 0.5),
        added(&via.gap, &direct.gap, 0.99),
        added(&via.whole, &direct.whole, 0.5),
        added(&via.whole, &direct.whole, 0.99),
    );
}

/// For each engine a model that it holds.
async fn placements(cluster: &Cluster, engines: &[SocketAddr]) -> Vec<(SocketAddr, usize)> {
    let status = cluster.status(0).await.unwrap_or_default();
    let mut placements = Vec::new();
    for (index, address) in engines.iter().enumerate() {
        let copies = status["runners"][index]["copies"].as_array().cloned();
        let model = copies
            .into_iter()
            .flatten()
            .find_map(|copy| {
                let name = copy["artifact"].as_str()?;
                name.strip_prefix("model-")?.split('@').next()?.parse().ok()
            })
            .unwrap_or(0);
        placements.push((*address, model));
    }
    placements
}

/// Asks from several threads, each with its share of the streams.
async fn ask_all(streams: usize, ways: Vec<(SocketAddr, usize)>, direct: bool) -> Times {
    let threads: Vec<_> = (0..THREADS)
        .map(|thread| {
            let ways = ways.clone();
            std::thread::spawn(move || {
                let runtime = compio::runtime::Runtime::new().expect("a runtime starts");
                runtime.block_on(ask_share(thread, streams / THREADS, &ways, direct))
            })
        })
        .collect();
    let mut times = Times::new();
    let (sender, receiver) = futures_channel::oneshot::channel();
    std::thread::spawn(move || {
        let shares: Vec<Times> = threads
            .into_iter()
            .map(|thread| thread.join().expect("a thread that asks does not panic"))
            .collect();
        // The receiver waits below.
        let _ = sender.send(shares);
    });
    for share in receiver.await.expect("the threads end") {
        times.add(&share);
    }
    times
}

async fn ask_share(
    thread: usize,
    streams: usize,
    ways: &[(SocketAddr, usize)],
    direct: bool,
) -> Times {
    let asker = Asker::default();
    let outcomes = join_all((0..streams).map(|stream| {
        let asker = &asker;
        let (address, model) = ways[(thread + stream) % ways.len()];
        async move {
            // Starts are spread over one step, as they are in practice.
            compio::time::sleep(Duration::from_micros((stream as u64 * 7_919) % 20_000)).await;
            let mut outcomes = Vec::new();
            for round in 0..ROUNDS {
                let prompt = format!("{thread} {stream} {round}");
                let mut question = Question::new(&Shape::model_name(model), &prompt, TOKENS);
                question.version = direct.then(|| "1".to_owned());
                let expected = question.expected("1", None).text();
                let started = Instant::now();
                let outcome = asker.ask(address, &question).await;
                debug_assert!(started.elapsed() >= outcome.total);
                outcomes.push((outcome, expected));
            }
            outcomes
        }
    }))
    .await;
    let mut times = Times::new();
    for (outcome, expected) in outcomes.iter().flatten() {
        times.note(outcome, expected);
    }
    times
}

fn added(via: &Histogram<u64>, direct: &Histogram<u64>, quantile: f64) -> i64 {
    via.value_at_quantile(quantile) as i64 - direct.value_at_quantile(quantile) as i64
}

fn print_line(streams: usize, way: &str, times: &Times, vm: Option<(f64, u64)>) {
    let (rate, rss) = vm.map_or(("-".to_owned(), "-".to_owned()), |(rate, rss_kib)| {
        (
            format!("{rate:.0}"),
            format!("{:.1}", rss_kib as f64 / 1024.0),
        )
    });
    let at = |histogram: &Histogram<u64>, quantile| histogram.value_at_quantile(quantile);
    println!(
        "{streams:>7} {way:>7} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9} {rate:>10} {rss:>8} {:>6}",
        at(&times.first_token, 0.5),
        at(&times.first_token, 0.99),
        at(&times.gap, 0.5),
        at(&times.gap, 0.99),
        at(&times.whole, 0.5),
        at(&times.whole, 0.99),
        times.wrong
    );
}
