//! On the platform: long requests to servers that read them slowly or at full speed.

use compio::runtime::JoinHandle;
use googletest::prelude::*;
use nix::sys::signal::Signal;
use serde_json::json;
use std::cell::Cell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::{Duration, Instant};
use workbench::cluster::block_on;
use workbench::site::{Answer, Caller, CallerRequest, Site, plain, route};
use workbench::usage::of_process;

/// The memory beyond which the platform kills a VM.
const MAX_RSS_KIB: u64 = 260_000_000 / 1024;
/// How often that is checked.
const MEMORY_POLL: Duration = Duration::from_millis(10);
const LONG_BODY_BYTES: usize = 4_000_000;
/// The time between the starts of two long requests.
const LONG_INTERVAL: Duration = Duration::from_millis(30);
const SLOW_BYTES_PER_S: f64 = 200_000.0;
const KEPT_CONNECTIONS: usize = 8;

/// Three servers for long requests and one for short ones, behind one VM.
async fn site() -> Site {
    let mut site = Site::start(vec![
        ("drafts", vec![]),
        ("drafts", vec![]),
        ("drafts", vec![]),
        ("books", vec![]),
    ])
    .await;
    site.max_body_bytes = 4 * 1024 * 1024;
    site.configure(
        json!([
            route("/drafts/", "unsafe", "drafts"),
            route("/books/", "safe", "books"),
        ]),
        json!([plain("drafts"), plain("books")]),
    );
    site.start_vms(1);
    site.wait_ready().await;
    site
}

/// Sends short requests on kept connections until `is_over`; returns all answers.
fn send_short(site: &Site, is_over: &Rc<Cell<bool>>) -> Vec<JoinHandle<Vec<Answer>>> {
    let senders = (0..KEPT_CONNECTIONS).map(|_| {
        let (front, is_over) = (site.front(0), is_over.clone());
        compio::runtime::spawn(async move {
            let caller = Caller::default();
            let mut answers = Vec::new();
            while !is_over.get() {
                let request = CallerRequest::get("/books/1");
                let answer = caller.request(front, &request).await;
                // A caller whose VM is gone comes again later.
                let pause = answer.status.map_or(500, |_| 20);
                answers.push(answer);
                compio::time::sleep(Duration::from_millis(pause)).await;
            }
            answers
        })
    });
    senders.collect()
}

/// Kills the VM once it takes more memory than it has, as the platform does.
fn watch_memory(site: &Site, is_over: &Rc<Cell<bool>>) -> JoinHandle<u64> {
    let (pid, is_over) = (site.vms[0].id(), is_over.clone());
    compio::runtime::spawn(async move {
        let mut peak_kib = 0;
        while !is_over.get() {
            let usage = of_process(pid);
            peak_kib = usage.peak_rss_kib.max(peak_kib);
            if usage.rss_kib > MAX_RSS_KIB {
                let pid = nix::unistd::Pid::from_raw(pid as i32);
                nix::sys::signal::kill(pid, Signal::SIGKILL).expect("the VM runs");
                break;
            }
            compio::time::sleep(MEMORY_POLL).await;
        }
        peak_kib
    })
}

struct Outcome {
    long: Vec<(String, Answer)>,
    short: Vec<Answer>,
    peak_kib: u64,
}

/// Sends long requests beside short ones on kept connections.
async fn send_long(site: &Site, count: usize) -> Outcome {
    let is_over = Rc::new(Cell::new(false));
    let short = send_short(site, &is_over);
    let memory = watch_memory(site, &is_over);
    let body = "x".repeat(LONG_BODY_BYTES);
    let began = Instant::now();
    let mut sent = Vec::new();
    for index in 0..count {
        compio::time::sleep_until(began + LONG_INTERVAL * index as u32).await;
        let request = CallerRequest::post("/drafts/1", &body);
        let front = site.front(0);
        sent.push(compio::runtime::spawn(async move {
            let answer = Caller::default().request(front, &request).await;
            (request.id, answer)
        }));
    }
    let mut long = Vec::new();
    for sent in sent {
        long.push(sent.await.expect("sending a request does not panic"));
    }
    is_over.set(true);
    let mut answers = Vec::new();
    for sender in short {
        answers.extend(sender.await.expect("sending a request does not panic"));
    }
    let outcome = Outcome {
        long,
        short: answers,
        peak_kib: memory.await.expect("reading the memory does not panic"),
    };
    let mut statuses: Vec<_> = outcome.long.iter().map(|(_, it)| it.status).collect();
    statuses.sort();
    let kinds = statuses.chunk_by(|a, b| a == b);
    let kinds: Vec<_> = kinds.map(|kind| (kind[0], kind.len())).collect();
    let lost = outcome.short.iter().filter(|it| it.status.is_none());
    println!(
        "long {kinds:?}, short {} of which {} without an answer, peak {} KiB",
        outcome.short.len(),
        lost.count(),
        outcome.peak_kib
    );
    outcome
}

#[googletest::test]
fn a_vm_with_many_long_requests_to_slow_servers_keeps_its_memory_and_serves_all_others() {
    block_on(async {
        let site = site().await;
        for server in &site.servers[..3] {
            server.read_slowly(SLOW_BYTES_PER_S);
        }
        let outcome = send_long(&site, 90).await;
        expect_that!(outcome.peak_kib, lt(MAX_RSS_KIB));
        for answer in &outcome.short {
            expect_that!(answer.status, some(eq(200)), "{:?}", answer.duration);
        }
        let log = site.log(0);
        let routed: BTreeSet<&str> = log
            .iter()
            .filter(|line| line["message"] == "routed")
            .filter_map(|line| line["request"].as_str())
            .collect();
        let mut refused = 0;
        for (id, answer) in &outcome.long {
            let was_routed = routed.contains(id.as_str());
            expect_that!(answer.is_complete, eq(true), "{id} {:?}", answer.status);
            if was_routed {
                expect_that!(answer.status, some(eq(504)), "{id}");
            } else {
                refused += 1;
                expect_that!(answer.status, some(eq(503)), "{id}");
                expect_that!(answer.header("retry-after"), not(eq("")), "{id}");
            }
        }
        expect_that!(refused, gt(0));
        expect_that!(refused, lt(outcome.long.len()));
        let ends = outcome.long.iter().filter(|(_, it)| it.status == Some(503));
        let counted = workbench::usage::metric(
            site.ready(0),
            "rattanjunction_served_requests_total{kind=\"none\",outcome=\"no_body_room\"}",
        );
        expect_that!(counted.await, eq(ends.count() as f64));
    });
}

#[googletest::test]
fn long_requests_to_servers_that_read_at_full_speed_are_all_served() {
    block_on(async {
        let site = site().await;
        let outcome = send_long(&site, 60).await;
        expect_that!(outcome.peak_kib, lt(MAX_RSS_KIB));
        for answer in outcome.long.iter().map(|(_, it)| it).chain(&outcome.short) {
            expect_that!(answer.status, some(eq(200)), "{:?}", answer.duration);
        }
    });
}
