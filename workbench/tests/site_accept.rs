//! On the platform: requests on connections that a VM does not serve are refused, not reset.

use compio::BufResult;
use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::TcpStream;
use googletest::prelude::*;
use nix::sys::signal::Signal;
use serde_json::json;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use workbench::cluster::block_on;
use workbench::site::{CpuQuota, HOST, Site, plain, route};

/// The share of a core that a VM has.
const CORES: f64 = 0.05;
/// The number of connections that are opened at once: far more than the VM serves in the time for
/// which a connection may wait.
const CONNECTIONS: usize = 300;
/// How long the VM stands still while they arrive.
const PAUSE: Duration = Duration::from_millis(400);
/// How long a response may take.
const ANSWER_LIMIT: Duration = Duration::from_secs(5);
/// The time that a caller has, and the longest time for which it waits to come again.
const DEADLINE_MS: u64 = 4_000;
const MAX_RETRY_AFTER_S: f64 = DEADLINE_MS as f64 / 3_000.0;
/// The size of a body that arrives after its head.
const BODY_BYTES: usize = 40_000;
/// How long a body arrives after its head.
const BODY_DELAY: Duration = Duration::from_millis(20);

/// The file descriptors of a VM that has many callers.
const MAX_FDS: usize = 100;

/// How a request is sent.
#[derive(Clone, Copy, Debug)]
enum Form {
    WithoutBody,
    SmallBody,
    Chunked,
    BodyAfterHead,
    HeadInParts,
    /// Nothing is sent.
    Silent,
}

impl Form {
    fn pieces(self) -> Vec<Vec<u8>> {
        let id: u64 = rand::random();
        let head = |framing: &str| {
            format!(
                "POST /x HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id:016x}\r\n\
                 X-Deadline-Ms: {DEADLINE_MS}\r\n{framing}\r\n"
            )
        };
        let parts = match self {
            Self::WithoutBody => vec![head("")],
            Self::SmallBody => vec![head("Content-Length: 5\r\n") + "write"],
            Self::Chunked => {
                vec![head("Transfer-Encoding: chunked\r\n") + "3\r\nwri\r\n2\r\nte\r\n0\r\n\r\n"]
            }
            Self::BodyAfterHead => vec![
                head(&format!("Content-Length: {BODY_BYTES}\r\n")),
                "x".repeat(BODY_BYTES),
            ],
            Self::HeadInParts => {
                let head = head("");
                let (begin, end) = head.split_at(head.len() / 2);
                vec![begin.to_owned(), end.to_owned()]
            }
            Self::Silent => Vec::new(),
        };
        parts.into_iter().map(String::into_bytes).collect()
    }
}

/// What a caller receives until its connection ends, or the error that ends it.
async fn exchange(front: SocketAddr, form: Form) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(front).await?;
    for piece in form.pieces() {
        let BufResult(written, _) = stream.write_all(piece).await;
        written?;
        compio::time::sleep(BODY_DELAY).await;
    }
    let mut text = String::new();
    loop {
        let BufResult(count, bytes) = stream.read(Vec::with_capacity(4_096)).await;
        let count = match count {
            Ok(count) => count,
            // Only a caller that has read the response before the reset has it.
            Err(error) => return Err(error),
        };
        text.push_str(&String::from_utf8_lossy(&bytes[..count]));
        // A kept connection stays open after its answer.
        if count == 0 || text.starts_with("HTTP/1.1 200") {
            return Ok(text);
        }
    }
}

/// Describes what a caller received: a status, or what is wrong.
fn outcome(received: &std::io::Result<String>) -> String {
    let text = match received {
        Ok(text) => text.to_lowercase(),
        Err(error) => return error.kind().to_string(),
    };
    let field = |name: &str| text.lines().find_map(|line| line.strip_prefix(name));
    let retry_after = field("retry-after: ").and_then(|it| it.parse().ok());
    match text.get(9..12) {
        Some("200") => "answered".to_owned(),
        Some("503") => match (retry_after, text.matches("http/1.1 ").count()) {
            (Some(0.0..=MAX_RETRY_AFTER_S), 1) if text.ends_with("\r\n\r\n") => {
                "refused".to_owned()
            }
            _ => text,
        },
        Some(_) => text,
        None => "closed without an answer".to_owned(),
    }
}

/// Opens connections at once and sends a request on each, and counts the outcomes.
async fn outcomes(front: SocketAddr, form: Form, count: usize) -> BTreeMap<String, usize> {
    let sending: Vec<_> = (0..count)
        .map(|_| {
            compio::runtime::spawn(async move {
                let received = compio::time::timeout(ANSWER_LIMIT, exchange(front, form)).await;
                received.unwrap_or_else(|_elapsed| Err(std::io::ErrorKind::TimedOut.into()))
            })
        })
        .collect();
    let mut outcomes = BTreeMap::new();
    for received in sending {
        let received = received.await.expect("sending a request does not panic");
        *outcomes.entry(outcome(&received)).or_default() += 1;
    }
    outcomes
}

/// Opens many connections while the only VM stands still, which then has a share of a core, and
/// counts the outcomes.
async fn outcomes_after_a_pause(site: &Site, form: Form) -> BTreeMap<String, usize> {
    site.vms[0].signal(Signal::SIGSTOP);
    let began = Instant::now();
    let front = site.front(0);
    let sending = compio::runtime::spawn(outcomes(front, form, CONNECTIONS));
    compio::time::sleep(PAUSE.saturating_sub(began.elapsed())).await;
    let _quota = CpuQuota::start(site.vms[0].id(), CORES);
    sending.await.expect("sending does not panic")
}

/// Checks that all callers get an answer or a refusal, some of them a refusal.
async fn expect_answers_or_refusals(form: Form) {
    let site = Site::start_plain(1, 1).await;
    let outcomes = outcomes_after_a_pause(&site, form).await;
    println!("{form:?}: {outcomes:?}");
    let count = |outcome: &str| outcomes.get(outcome).copied().unwrap_or(0);
    expect_that!(count("refused"), ge(1), "{form:?}: {outcomes:?}");
    let whole = count("answered") + count("refused");
    expect_that!(whole, eq(CONNECTIONS), "{form:?}: {outcomes:?}");
    // The connections that ask for the figures may be the last to be served.
    site.wait("the refusals are counted", async || {
        let refused = site.metric(0, "request_ends_total{end=\"refused\"}").await;
        refused == Some(count("refused") as f64)
    })
    .await;
    expect_that!(site.metric(0, "closed_unread_total").await, some(eq(0.0)));
}

#[googletest::test]
fn requests_that_a_slow_vm_does_not_serve_are_refused() {
    block_on(expect_answers_or_refusals(Form::WithoutBody));
}

#[googletest::test]
fn requests_with_small_bodies_that_a_slow_vm_does_not_serve_are_refused() {
    block_on(async {
        expect_answers_or_refusals(Form::SmallBody).await;
        expect_answers_or_refusals(Form::Chunked).await;
    });
}

#[googletest::test]
fn requests_on_connections_beyond_the_largest_number_are_refused() {
    block_on(async {
        let mut site = Site::start(vec![("books", vec![])]).await;
        site.max_fds = MAX_FDS;
        // Those that are open do not give their places to others meanwhile.
        site.client_min_wait_ms = 60_000;
        site.configure(
            json!([route("/", "safe", "books")]),
            json!([plain("books")]),
        );
        site.start_vms(1);
        site.wait_ready().await;
        let front = site.front(0);
        let mut open = Vec::new();
        for _ in 0..MAX_FDS {
            open.push(
                TcpStream::connect(front)
                    .await
                    .expect("connections are accepted"),
            );
        }
        compio::time::sleep(PAUSE).await;
        for form in [
            Form::WithoutBody,
            Form::SmallBody,
            Form::Chunked,
            Form::BodyAfterHead,
            Form::HeadInParts,
        ] {
            let outcomes = outcomes(front, form, 20).await;
            println!("{form:?}: {outcomes:?}");
            let refused = outcomes.get("refused").copied();
            expect_that!(refused, some(eq(20)), "{form:?}: {outcomes:?}");
        }
        let silent = outcomes(front, Form::Silent, 20).await;
        expect_that!(
            silent.get("closed without an answer").copied(),
            some(eq(20))
        );
        drop(open);
    });
}
