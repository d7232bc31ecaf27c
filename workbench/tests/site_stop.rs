//! On the platform: requests that arrive while a VM stops, and whose answers would come after it has
//! ended.

use compio::BufResult;
use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::TcpStream;
use futures_util::future::{join, join_all};
use googletest::prelude::*;
use nix::sys::signal::Signal;
use serde_json::json;
use std::time::{Duration, Instant};
use workbench::cluster::block_on;
use workbench::site::{
    Answer, Caller, CallerRequest, HOST, ReceivedRequest, ScriptStep, Site, plain, route,
    runner_service, signed_answer,
};

/// The grace that the settings of the VMs state.
const GRACE: Duration = Duration::from_secs(6);
/// The time between two requests after the signal, and their number.
const INTERVAL: Duration = Duration::from_millis(100);
const REQUESTS: u32 = 30;
/// How long callers wait for an answer, and a delay.
const CALLER_TIMEOUT: Duration = Duration::from_millis(4_000 + 500);
/// How long calls take of which the VM learns that they take so long.
const LONG_CALL: Duration = Duration::from_millis(3_500);

/// Two plain servers that answer after `delay`, and a runner that holds `m0` and never does.
async fn site(delay: Duration) -> Site {
    let servers = vec![
        ("books", vec![]),
        ("books", vec![]),
        ("llm", vec![("m0", vec![])]),
    ];
    let mut site = Site::start(servers).await;
    site.configure(
        json!([
            route("/", "safe", "books"),
            route("/orders/", "unsafe", "books"),
            route("/s/", "streaming", "llm"),
        ]),
        json!([plain("books"), runner_service("llm", &[("m0", 0)])]),
    );
    for server in &site.servers[..2] {
        server.script(move |call| {
            let answer = signed_answer(call.header("x-attempt-id"), 200, "done");
            vec![ScriptStep::Wait(delay), ScriptStep::Write(answer)]
        });
    }
    site.servers[2].script(|_| vec![ScriptStep::Wait(2 * GRACE)]);
    site.start_vms(1);
    site.wait_ready().await;
    site
}

fn runs_of(site: &Site, id: &str) -> usize {
    let is_run = |run: &ReceivedRequest| run.header("x-attempt-id") == id;
    let runs = site.servers.iter().flat_map(|server| server.runs());
    runs.filter(is_run).count()
}

/// What became of a request that was sent after the signal.
#[derive(Debug)]
struct Sent {
    after: Duration,
    id: String,
    answer: Answer,
}

/// Stops the VM, and sends requests over new connections until it takes none any more.
async fn stop_beside(site: &Site, make: impl Fn() -> CallerRequest) -> Vec<Sent> {
    let address = site.front(0);
    site.vms[0].signal(Signal::SIGTERM);
    let sent = join_all((0..REQUESTS).map(async |number| {
        let (after, request) = (INTERVAL * number, make());
        compio::time::sleep(after).await;
        let answer = Caller::default().request(address, &request).await;
        Sent {
            after,
            id: request.id,
            answer,
        }
    }));
    sent.await
}

async fn expect_ended(site: &mut Site, since: Instant) {
    while !site.vms[0].has_ended() {
        assert!(since.elapsed() < 2 * GRACE, "the VM did not end");
        compio::time::sleep(Duration::from_millis(20)).await;
    }
    expect_that!(since.elapsed(), lt(GRACE));
}

/// Checks that each request that a server may have run is answered whole and in time, and that no
/// answer promises that it has not run.
fn expect_answers(site: &Site, sent: &[Sent]) {
    let mut runs = 0;
    for it in sent {
        if runs_of(site, &it.id) == 0 {
            continue;
        }
        runs += 1;
        expect_that!(
            it.answer.status,
            some(any![eq(200), eq(502), eq(504)]),
            "{it:?}"
        );
        expect_that!(it.answer.is_complete, eq(true), "{it:?}");
        expect_that!(it.answer.duration, lt(CALLER_TIMEOUT), "{it:?}");
    }
    println!("{runs} of {} were run", sent.len());
    expect_that!(runs, gt(10));
}

#[googletest::test]
fn calls_that_outlast_the_grace_are_answered_before_the_vm_ends() {
    for path in ["/orders/1", "/x"] {
        block_on(async {
            let mut site = site(2 * GRACE).await;
            let began = Instant::now();
            let sent = stop_beside(&site, || CallerRequest::post(path, "it")).await;
            expect_answers(&site, &sent);
            expect_ended(&mut site, began).await;
        });
    }
}

#[googletest::test]
fn streams_without_an_event_are_answered_before_the_vm_ends() {
    block_on(async {
        let mut site = site(GRACE).await;
        let began = Instant::now();
        let sent = stop_beside(&site, || CallerRequest::model("/s/x", "m0")).await;
        expect_answers(&site, &sent);
        expect_ended(&mut site, began).await;
    });
}

#[googletest::test]
fn calls_that_end_within_the_grace_are_served() {
    block_on(async {
        let mut site = site(Duration::from_millis(2_500)).await;
        let began = Instant::now();
        let sent = stop_beside(&site, || CallerRequest::post("/orders/1", "it")).await;
        let runs = sent.iter().filter(|it| runs_of(&site, &it.id) > 0);
        let runs: Vec<&Sent> = runs.collect();
        expect_that!(runs.len(), gt(20));
        for it in runs {
            expect_that!(it.answer.status, some(eq(200)), "{it:?}");
            expect_that!(it.answer.body, eq("done"), "{it:?}");
        }
        expect_ended(&mut site, began).await;
    });
}

/// Requests that wait for their answer when the VM is stopped count as well.
#[googletest::test]
fn calls_from_before_the_signal_are_answered_before_the_vm_ends() {
    block_on(async {
        let mut site = site(2 * GRACE).await;
        site.configure(
            json!([{"timeout_ms": 20_000, "name": "r", "hostname": HOST, "path_prefix": "/",
                "kind": "unsafe", "target_latency_ms": 250, "priority": 1, "service": "books",
                "max_attempts": 2, "resumable": false}]),
            json!([plain("books")]),
        );
        compio::time::sleep(Duration::from_secs(1)).await;
        let mut request = CallerRequest::post("/y", "it");
        request.deadline_ms = 20_000;
        let asked = async {
            let answer = Caller::default().request(site.front(0), &request).await;
            (answer, runs_of(&site, &request.id))
        };
        let stop = async {
            compio::time::sleep(Duration::from_millis(500)).await;
            site.vms[0].signal(Signal::SIGTERM);
            Instant::now()
        };
        let ((answer, runs), began) = join(asked, stop).await;
        expect_that!(runs, eq(1));
        expect_that!(answer.status, some(eq(502)), "{answer:?}");
        expect_that!(answer.is_complete, eq(true), "{answer:?}");
        expect_ended(&mut site, began).await;
    });
}

#[googletest::test]
fn calls_that_are_known_to_outlast_the_grace_are_refused_at_once() {
    block_on(async {
        let mut site = site(LONG_CALL).await;
        let address = site.front(0);
        let learned = join_all((0..4).map(async |_| {
            let request = CallerRequest::post("/orders/1", "it");
            Caller::default().request(address, &request).await
        }));
        for answer in learned.await {
            expect_that!(answer.status, some(eq(200)), "{answer:?}");
        }
        let began = Instant::now();
        let sent = stop_beside(&site, || CallerRequest::post("/orders/1", "it")).await;
        let refused = sent.iter().filter(|it| it.answer.status == Some(503));
        let refused: Vec<&Sent> = refused.collect();
        expect_that!(refused.len(), ge(2));
        for it in &refused {
            expect_that!(runs_of(&site, &it.id), eq(0), "{it:?}");
            expect_that!(it.answer.header("retry-after"), not(eq("")), "{it:?}");
            expect_that!(it.answer.duration, lt(Duration::from_millis(500)), "{it:?}");
            expect_that!(it.after + LONG_CALL, gt(Duration::from_secs(5)), "{it:?}");
        }
        expect_answers(&site, &sent);
        expect_ended(&mut site, began).await;
    });
}

/// Sends a request in two parts with a pause between them, and returns what is received.
async fn send_in_parts(site: &Site, first: String, pause: Duration, rest: &str) -> String {
    let stream = TcpStream::connect(site.front(0)).await;
    let mut stream = stream.expect("the VM accepts connections");
    let BufResult(written, _) = stream.write_all(first.into_bytes()).await;
    written.expect("the connection is open");
    compio::time::sleep(pause).await;
    // The VM may have closed the connection.
    let _ = stream.write_all(rest.as_bytes().to_vec()).await;
    let mut received = Vec::new();
    loop {
        match stream.read(Vec::with_capacity(1_024)).await {
            BufResult(Ok(1..), bytes) => received.extend(bytes),
            _ => return String::from_utf8_lossy(&received).into_owned(),
        }
    }
}

#[googletest::test]
fn an_upload_that_takes_the_rest_of_the_grace_is_refused_as_not_run() {
    block_on(async {
        let mut site = site(Duration::ZERO).await;
        let began = Instant::now();
        site.vms[0].signal(Signal::SIGTERM);
        compio::time::sleep(Duration::from_millis(2_200)).await;
        let head = format!(
            "POST /orders/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: up\r\n\
             X-Deadline-Ms: 4000\r\nContent-Length: 10\r\n\r\nit"
        );
        let received = send_in_parts(&site, head, Duration::ZERO, "").await;
        expect_that!(received, starts_with("HTTP/1.1 503 "));
        expect_that!(runs_of(&site, "up"), eq(0));
        expect_ended(&mut site, began).await;
    });
}

#[googletest::test]
fn a_head_that_begins_before_the_listener_closes_is_answered() {
    block_on(async {
        let mut site = site(Duration::ZERO).await;
        let began = Instant::now();
        site.vms[0].signal(Signal::SIGTERM);
        compio::time::sleep(Duration::from_millis(2_200)).await;
        let first = format!("GET /x HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: he");
        let rest = "ad\r\nX-Deadline-Ms: 4000\r\n\r\n";
        let pause = Duration::from_millis(700);
        let received = send_in_parts(&site, first, pause, rest).await;
        expect_that!(received, starts_with("HTTP/1.1 200 "));
        expect_that!(runs_of(&site, "head"), eq(1));
        expect_ended(&mut site, began).await;
    });
}
