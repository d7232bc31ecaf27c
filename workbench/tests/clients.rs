//! Clients that misbehave neither end a VM nor keep it from serving others.
//!
//! The tests run one at a time and check the same as those of the platform (`site_clients.rs`).

use googletest::prelude::*;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};
use workbench::cluster::{Cluster, Plan, block_on};
use workbench::crowd::{Crowd, Misbehaviour, Reading};
use workbench::http_json;
use workbench::load_client::{Asker, End, Question};
use workbench::sample_inventory::Shape;
use workbench::usage::{DescriptorWatch, of_process};

/// The memory and the descriptors of the VM.
const MEMORY_MB: u64 = 64;
const MAX_FDS: usize = 1_024;
/// The descriptors of a VM with fewer places than a crowd has clients.
const FEW_FDS: usize = 300;

const SHORT_BYTES: usize = 60_000;
const LONG_BYTES: usize = 1_000_000;
/// The tokens of a long answer.
const TOKENS: u32 = 3_000;

/// The pause between two steps of a client that reads or sends by bytes.
const BYTE_PAUSE: Duration = Duration::from_millis(100);
/// How long a crowd goes on before ordinary callers come.
const CROWD_TIME: Duration = Duration::from_secs(3);
/// After which time an ordinary caller without an answer counts as not served at all.
const HANG_LIMIT: Duration = Duration::from_secs(60);
/// The pause of an ordinary caller that was refused.
const RETURN_PAUSE: Duration = Duration::from_millis(200);

/// Held by the test that runs.
static RUNNING: Mutex<()> = Mutex::new(());

/// One VM with its limits, and what it has used.
struct Trial {
    cluster: Cluster,
    max_fds: usize,
    descriptors: DescriptorWatch,
}

impl Trial {
    async fn start(max_fds: usize) -> Self {
        let mut plan = Plan::new(Shape::small(), 1);
        plan.settings["memory_mb"] = json!(MEMORY_MB);
        plan.settings["max_fds"] = json!(max_fds);
        let cluster = Cluster::start(plan).await;
        cluster.publish_and_settle(HANG_LIMIT).await;
        let descriptors = DescriptorWatch::start(cluster.vms[0].id());
        Self {
            cluster,
            max_fds,
            descriptors,
        }
    }

    /// Checks that ordinary requests are answered, and that the VM is within its limits.
    async fn expect_served(&mut self, when: &str) {
        expect_that!(self.serves_calls().await, eq(true), "calls {when}");
        expect_that!(self.serves_completions().await, eq(true), "models {when}");
        expect_that!(self.cluster.vms[0].has_ended(), eq(false), "{when}");
        let usage = of_process(self.cluster.vms[0].id());
        let descriptors = self.descriptors.most();
        println!(
            "{when}: resident {} KiB, peak {} KiB, at most {descriptors} descriptors",
            usage.rss_kib, usage.peak_rss_kib
        );
        expect_that!(
            usage.peak_rss_kib,
            lt(MEMORY_MB * 1_000_000 / 1_024),
            "{when}"
        );
        expect_that!(descriptors, lt(self.max_fds), "{when}");
    }

    async fn serves_calls(&self) -> bool {
        let began = Instant::now();
        while began.elapsed() < HANG_LIMIT {
            let address = self.cluster.caller_address(0);
            let answer = http_json::get(address, "/receipts/1").await;
            if answer.is_some_and(|answer| answer["path"] == "/receipts/1") {
                println!("call answered after {:?}", began.elapsed());
                return true;
            }
            compio::time::sleep(RETURN_PAUSE).await;
        }
        false
    }

    async fn serves_completions(&self) -> bool {
        let began = Instant::now();
        while began.elapsed() < HANG_LIMIT {
            let question = Question::new(&Shape::model_name(0), "ordinary", 5);
            let asked = Asker::default();
            let answer = asked.ask(self.cluster.caller_address(0), &question);
            let answer = compio::time::timeout(HANG_LIMIT, answer).await;
            if answer.is_ok_and(|answer| matches!(answer.end, End::Complete(_))) {
                println!("completion answered after {:?}", began.elapsed());
                return true;
            }
            compio::time::sleep(RETURN_PAUSE).await;
        }
        false
    }
}

/// A request, with what follows its first lines.
fn request(method: &str, path: &str, rest: &str) -> String {
    let host = "desk.example";
    format!("{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n{rest}")
}

fn post(path: &str, lines: &str, body: &str) -> String {
    let length = body.len();
    request(
        "POST",
        path,
        &format!("{lines}Content-Length: {length}\r\n\r\n{body}"),
    )
}

/// A call whose answer repeats its body.
fn call(bytes: usize) -> String {
    let key = uuid::Uuid::now_v7();
    let body = json!("b".repeat(bytes)).to_string();
    post("/receipts/1", &format!("Idempotency-Key: {key}\r\n"), &body)
}

fn ask(is_stream: bool) -> String {
    let body = json!({
        "model": Shape::model_name(0),
        "messages": [{"role": "user", "content": "long"}],
        "max_tokens": TOKENS,
        "stream": is_stream,
    });
    post("/v1/chat/completions", "", &body.to_string())
}

/// A head that lacks its end.
fn endless_head() -> String {
    request(
        "GET",
        "/receipts/1",
        &format!("X-Long: {}", "h".repeat(SHORT_BYTES)),
    )
}

/// A request that states a body and sends a part of it.
fn endless_body(stated_bytes: usize, sent_bytes: usize) -> String {
    let rest = format!(
        "Content-Length: {stated_bytes}\r\n\r\n{}",
        "b".repeat(sent_bytes)
    );
    request("POST", "/v1/chat/completions", &rest)
}

/// Runs a test while no other one of this file runs.
fn run_alone(test: impl Future<Output = ()>) {
    let _running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
    block_on(test);
}

fn by_bytes() -> Reading {
    Reading::Bytes(64, BYTE_PAUSE)
}

mod own_crowds {
    use super::*;

    /// Plays one crowd at an address of a VM.
    fn play_at(
        max_fds: usize,
        address: impl Fn(&Cluster) -> SocketAddr,
        count: usize,
        behaviour: impl Fn(usize) -> Misbehaviour,
    ) {
        run_alone(async {
            let mut trial = Trial::start(max_fds).await;
            let crowd = Crowd::start(address(&trial.cluster), count, behaviour);
            compio::time::sleep(CROWD_TIME).await;
            let (begun, connections) = (crowd.begun(), crowd.connections());
            println!("{begun} of {count} clients began, {connections} connections");
            trial.expect_served("beside the crowd").await;
            crowd.end().await;
            trial.expect_served("after the crowd").await;
        });
    }

    fn play(max_fds: usize, count: usize, behaviour: impl Fn(usize) -> Misbehaviour) {
        play_at(
            max_fds,
            |cluster| cluster.caller_address(0),
            count,
            behaviour,
        );
    }

    #[googletest::test]
    fn answers_of_calls_that_nobody_reads_stay_within_the_memory() {
        play(MAX_FDS, 200, |_| Misbehaviour::silent(call(LONG_BYTES)));
    }

    #[googletest::test]
    fn answers_of_calls_that_are_read_by_bytes_stay_within_the_memory() {
        play(MAX_FDS, 200, |_| {
            Misbehaviour::silent(call(LONG_BYTES))
                .reads(by_bytes())
                .returns()
        });
    }

    #[googletest::test]
    fn completions_that_nobody_reads_stay_within_the_memory() {
        play(MAX_FDS, 300, |number| {
            Misbehaviour::silent(ask(number % 2 == 0))
                .reads(by_bytes())
                .returns()
        });
    }

    #[googletest::test]
    fn heads_that_never_end_stay_within_the_memory() {
        play(MAX_FDS, 500, |_| {
            Misbehaviour::silent(endless_head()).returns()
        });
    }

    #[googletest::test]
    fn short_bodies_that_never_end_stay_within_the_memory() {
        play(MAX_FDS, 500, |_| {
            Misbehaviour::silent(endless_body(64_000, SHORT_BYTES)).returns()
        });
    }

    #[googletest::test]
    fn long_bodies_that_never_end_stay_within_the_memory() {
        play(MAX_FDS, 100, |_| {
            Misbehaviour::silent(endless_body(4 * LONG_BYTES, 4 * LONG_BYTES - 1)).returns()
        });
    }

    #[googletest::test]
    fn bodies_that_grow_when_they_are_parsed_stay_within_the_memory() {
        let messages = vec![0; LONG_BYTES / 2];
        let body = json!({"model": "none", "messages": messages}).to_string();
        let request = post("/v1/chat/completions", "", &body);
        play(MAX_FDS, 60, |_| {
            Misbehaviour::silent(request.clone()).returns()
        });
    }

    #[googletest::test]
    fn pipelined_calls_whose_answers_nobody_reads_stay_within_the_memory() {
        let calls = request("GET", "/v1/models", "\r\n").repeat(500);
        play(MAX_FDS, 400, |_| Misbehaviour::silent(calls.clone()));
    }

    #[googletest::test]
    fn callers_that_leave_midway_leave_no_memory_behind() {
        play(MAX_FDS, 100, |number| {
            let request = match number % 3 {
                0 => call(LONG_BYTES),
                1 => ask(true),
                _ => endless_body(LONG_BYTES, LONG_BYTES / 2),
            };
            Misbehaviour::silent(request)
                .leaves_after(Duration::from_millis(50 + number as u64))
                .returns()
        });
    }

    #[googletest::test]
    fn clients_that_hold_all_places_do_not_keep_others_out() {
        play(FEW_FDS, 600, |_| {
            Misbehaviour::silent("").reads(by_bytes()).returns()
        });
    }

    #[googletest::test]
    fn a_crowd_at_the_operators_address_stays_within_the_limits() {
        let address = |cluster: &Cluster| cluster.operator_address(0);
        let asks = ["/status", "/metrics"].map(|path| request("GET", path, "\r\n").repeat(50));
        play_at(FEW_FDS, address, 600, |number| match number % 3 {
            0 => Misbehaviour::silent(asks.concat()),
            1 => Misbehaviour::silent(endless_body(4 * LONG_BYTES, LONG_BYTES)),
            _ => Misbehaviour::silent(endless_head()).returns(),
        });
    }

    /// A frame between VMs that states and sends this many bytes.
    fn frame(stated_bytes: u32, sent_bytes: usize) -> Vec<u8> {
        let mut frame = stated_bytes.to_be_bytes().to_vec();
        frame.resize(frame.len() + sent_bytes, 0);
        frame
    }

    #[googletest::test]
    fn frames_that_never_end_stay_within_the_memory() {
        let address = |cluster: &Cluster| cluster.peer_address(0);
        play_at(MAX_FDS, address, 100, |number| {
            let begin = match number % 2 {
                0 => frame(16_000_000, 4 * LONG_BYTES),
                _ => frame(LONG_BYTES as u32, LONG_BYTES - 1),
            };
            Misbehaviour::silent(begin).returns()
        });
    }

    #[googletest::test]
    fn a_crowd_at_the_address_for_other_vms_stays_within_the_limits() {
        let address = |cluster: &Cluster| cluster.peer_address(0);
        play_at(FEW_FDS, address, 600, |number| {
            let begin = match number % 2 {
                0 => Vec::new(),
                _ => frame(60_000, SHORT_BYTES / 2),
            };
            Misbehaviour::silent(begin).reads(by_bytes()).returns()
        });
    }
}
