//! On the platform: each request whose head was read ends once, in the log and in the metrics, and a
//! connection that ends in the middle of a head is logged.

use compio::BufResult;
use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::TcpStream;
use futures_util::future::{join, join_all};
use googletest::prelude::*;
use nix::sys::signal::Signal;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io;
use std::time::Duration;
use workbench::cluster::block_on;
use workbench::site::events::{events, remaining_events};
use workbench::site::{
    Caller, CallerRequest, HOST, ScriptStep, Site, organisation, plain, route, runner_service,
    signed_answer,
};

/// How long a response may take.
const ANSWER_LIMIT: Duration = Duration::from_secs(5);
/// The size of a body, and into how many pieces it is divided.
const BODY_BYTES: usize = 160_000;
const BODY_PIECES: usize = 8;
/// The pause before each piece.
const PIECE_PAUSE: Duration = Duration::from_millis(10);
/// The largest body that the configuration allows.
const MAX_BODY_BYTES: usize = 1_048_576;
/// The number of requests that are refused, by each framing.
const REFUSED_ROUNDS: usize = 4;
/// The number of idle connections of one VM that is paused.
const IDLE_CONNECTIONS: usize = 200;
/// The number of requests while a route comes and goes.
const DROPPED_ROUNDS: usize = 30;

/// One plain server and one runner that holds `m0`, so that nothing can go on elsewhere.
async fn site() -> Site {
    let mut site = Site::start(vec![("books", vec![]), ("llm", vec![("m0", vec![])])]).await;
    site.configure(
        json!([
            route("/x", "safe", "books"),
            route("/s/", "streaming", "llm"),
        ]),
        json!([plain("books"), runner_service("llm", &[("m0", 0)])]),
    );
    site.start_vms(1);
    site.wait_ready().await;
    site
}

/// The log lines that tell how a request ended without a complete answer.
fn early_ends(site: &Site, id: &str) -> Vec<Value> {
    let messages = ["caller left", "request ended without a complete answer"];
    let is_end =
        |line: &Value| messages.iter().any(|it| line["message"] == *it) && line["request"] == id;
    site.log(0).into_iter().filter(is_end).collect()
}

async fn count(site: &Site, end: &str) -> f64 {
    let name = format!("request_ends_total{{end=\"{end}\"}}");
    site.metric(0, &name).await.unwrap_or_default()
}

async fn expect_early_end(site: &Site, id: &str, expected: &Value) {
    site.wait("the end of the request is logged", async || {
        !early_ends(site, id).is_empty()
    })
    .await;
    let ends = early_ends(site, id);
    expect_that!(ends.len(), eq(1), "{ends:?}");
    for (field, value) in expected.as_object().expect("an object of fields") {
        expect_that!(&ends[0][field], eq(value), "{field} of {}", ends[0]);
    }
}

#[googletest::test]
fn complete_answers_and_refusals_end_without_a_line() {
    block_on(async {
        let site = site().await;
        site.servers[0].script(|call| {
            vec![ScriptStep::Write(signed_answer(
                call.header("x-attempt-id"),
                200,
                "all of it",
            ))]
        });
        site.servers[1].script(|call| remaining_events(call, 4, 5));
        let caller = Caller::default();
        let requests = [
            CallerRequest::get("/x"),
            CallerRequest::model("/s/x", "m0"),
            CallerRequest::get("/elsewhere"),
        ];
        for request in &requests {
            let answer = caller.request(site.front(0), request).await;
            expect_that!(answer.is_complete, eq(true), "{answer:?}");
            expect_that!(early_ends(&site, &request.id).len(), eq(0));
        }
        expect_that!(count(&site, "answered").await, eq(2.0));
        expect_that!(count(&site, "refused").await, eq(1.0));
    });
}

#[googletest::test]
fn a_caller_that_leaves_is_told_from_an_answer_that_is_cut() {
    block_on(async {
        let site = site().await;
        let pause = Duration::from_secs(3);
        site.servers[0].script(move |_| vec![ScriptStep::Wait(pause)]);
        site.servers[1].script(|call| {
            let mut steps = events(call, 1, 2, 5);
            steps.push(ScriptStep::Close);
            steps
        });
        let mut left = CallerRequest::get("/x");
        left.disconnect_after = Some(Duration::from_millis(200));
        Caller::default().request(site.front(0), &left).await;
        let expected = json!({"message": "caller left", "stage": "read", "runs": 1, "events": 0});
        expect_early_end(&site, &left.id, &expected).await;
        let cut = CallerRequest::model("/s/x", "m0");
        let answer = Caller::default().request(site.front(0), &cut).await;
        expect_that!(answer.is_complete, eq(false), "{answer:?}");
        let expected = json!({"end": "server_broke_off", "stage": "answering", "events": 2});
        expect_early_end(&site, &cut.id, &expected).await;
        expect_that!(count(&site, "caller_left").await, eq(1.0));
        expect_that!(count(&site, "server_broke_off").await, eq(1.0));
    });
}

#[googletest::test]
fn what_a_vm_leaves_open_when_it_exits_is_logged() {
    block_on(async {
        let mut site = site().await;
        let pause = Duration::from_secs(10);
        site.servers[0].script(move |_| vec![ScriptStep::Wait(pause)]);
        site.servers[1].script(move |call| {
            let mut steps = events(call, 1, 2, 5);
            steps.push(ScriptStep::Wait(pause));
            steps
        });
        site.vms[0].signal(Signal::SIGTERM);
        compio::time::sleep(Duration::from_millis(2_000)).await;
        let call = CallerRequest::get("/x");
        let stream = CallerRequest::model("/s/x", "m0");
        let (called, streamed) = join(
            Caller::default().request(site.front(0), &call),
            Caller::default().request(site.front(0), &stream),
        )
        .await;
        // A call can still be told that its outcome is unknown, a stream that has begun cannot.
        expect_that!(called.status, some(any![eq(502), eq(504)]), "{called:?}");
        expect_that!(called.is_complete, eq(true), "{called:?}");
        expect_that!(streamed.status, some(eq(200)), "{streamed:?}");
        expect_that!(streamed.is_complete, eq(false), "{streamed:?}");
        while !site.vms[0].has_ended() {
            compio::time::sleep(Duration::from_millis(20)).await;
        }
        let expected =
            json!({"end": "process_ended", "stage": "answering", "events": 2, "runs": 1});
        expect_early_end(&site, &stream.id, &expected).await;
        expect_that!(early_ends(&site, &call.id).len(), eq(0));
    });
}

/// A connection over which a test sends bytes as it likes.
struct RawConnection(TcpStream);

impl RawConnection {
    async fn open(site: &Site) -> Self {
        let stream = TcpStream::connect(site.front(0)).await;
        Self(stream.expect("the VM accepts connections"))
    }

    /// Sends pieces with a pause before each; fails if the connection is reset meanwhile.
    async fn send(&mut self, pieces: Vec<Vec<u8>>, pause: Duration) -> io::Result<()> {
        for piece in pieces {
            compio::time::sleep(pause).await;
            let BufResult(written, _) = self.0.write_all(piece).await;
            written?;
        }
        Ok(())
    }

    /// Reads the head of one response, and its body as far as the head states a length.
    async fn receive(&mut self) -> io::Result<String> {
        let mut text = String::new();
        loop {
            if let Some(end) = text.find("\r\n\r\n") {
                let head = text[..end].to_lowercase();
                let length = head.split("content-length: ").nth(1);
                let length = length.and_then(|it| it.lines().next()?.parse().ok());
                if text.len() >= end + 4 + length.unwrap_or(0) {
                    return Ok(text);
                }
            }
            let reading = self.0.read(Vec::with_capacity(16 * 1024));
            let read = compio::time::timeout(ANSWER_LIMIT, reading).await;
            let BufResult(count, bytes) = read.map_err(|_elapsed| io::ErrorKind::TimedOut)?;
            if count? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            text.push_str(&String::from_utf8_lossy(&bytes));
        }
    }
}

/// The header with the id of a new request.
fn id() -> String {
    format!("X-Attempt-Id: {:016x}\r\n", rand::random::<u64>())
}

/// A `POST` whose body arrives in pieces, with a length or in chunks.
fn pieces_of(path: &str, headers: &str, body_bytes: usize, is_chunked: bool) -> Vec<Vec<u8>> {
    let framing = match is_chunked {
        true => "Transfer-Encoding: chunked".to_owned(),
        false => format!("Content-Length: {body_bytes}"),
    };
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Deadline-Ms: 4000\r\n\
         {headers}{framing}\r\n\r\n"
    );
    let mut pieces = vec![head.into_bytes()];
    let part = vec![b'x'; body_bytes / BODY_PIECES];
    for _ in 0..BODY_PIECES {
        match is_chunked {
            true => {
                let mut chunk = format!("{:x}\r\n", part.len()).into_bytes();
                chunk.extend_from_slice(&part);
                chunk.extend_from_slice(b"\r\n");
                pieces.push(chunk);
            }
            false => pieces.push(part.clone()),
        }
    }
    if is_chunked {
        pieces.push(b"0\r\n\r\n".to_vec());
    }
    pieces
}

/// Sends requests that are refused before their bodies have arrived, each on a kept connection, and
/// checks that all callers get the refusal whole and may use their connections again.
async fn expect_refusals(site: &Site, path: &str, headers: &str, bytes: usize, status: &str) {
    let mut failures = Vec::new();
    for round in 0..2 * REFUSED_ROUNDS {
        let is_chunked = round % 2 == 0;
        let mut connection = RawConnection::open(site).await;
        let refused = pieces_of(path, headers, bytes, is_chunked);
        let pause = match round % 4 {
            0 | 1 => PIECE_PAUSE,
            _ => Duration::ZERO,
        };
        let exchange = async {
            connection.send(refused, pause).await?;
            let refusal = connection.receive().await?;
            if !refusal.starts_with(&format!("HTTP/1.1 {status}")) {
                return Err(io::Error::other(refusal));
            }
            let next = pieces_of("/x", &id(), 0, false);
            connection.send(next, Duration::ZERO).await?;
            connection.receive().await
        };
        if let Err(error) = exchange.await {
            failures.push(format!("chunked {is_chunked}, {pause:?}: {error}"));
        }
    }
    expect_that!(failures, is_empty(), "{path} {status}");
}

fn answer_all(site: &Site) {
    site.servers[0].script(|call| {
        let answer = signed_answer(call.header("x-attempt-id"), 200, "all of it");
        vec![ScriptStep::Write(answer)]
    });
}

#[googletest::test]
fn a_refusal_before_the_body_has_arrived_reaches_the_caller() {
    block_on(async {
        let mut site = site().await;
        answer_all(&site);
        expect_refusals(&site, "/elsewhere", &id(), BODY_BYTES, "404").await;
        expect_refusals(&site, "/x", &id(), 2 * MAX_BODY_BYTES, "413").await;
        expect_refusals(&site, "/x", "", BODY_BYTES, "400").await;
        site.organisations = Some(json!([organisation("cafe", &["key"])]));
        site.configure(
            json!([route("/x", "safe", "books")]),
            json!([plain("books")]),
        );
        site.wait("the configuration is in force", async || {
            site.configuration_version(0).await == 6.0
        })
        .await;
        expect_refusals(&site, "/x", &id(), BODY_BYTES, "401").await;
    });
}

#[googletest::test]
fn requests_whose_route_is_dropped_while_they_arrive_are_answered_or_refused() {
    block_on(async {
        let mut site = site().await;
        answer_all(&site);
        let front = site.front(0);
        let sending = compio::runtime::spawn(async move {
            let mut failures = Vec::new();
            let mut statuses = BTreeMap::new();
            for round in 0..DROPPED_ROUNDS {
                let stream = TcpStream::connect(front).await;
                let mut connection = RawConnection(stream.expect("the VM accepts connections"));
                let exchange = async {
                    let pieces = pieces_of("/x", &id(), BODY_BYTES, round % 2 == 0);
                    connection.send(pieces, PIECE_PAUSE).await?;
                    connection.receive().await
                };
                match exchange.await {
                    Ok(answer) => *statuses.entry(answer[9..12].to_owned()).or_insert(0) += 1,
                    Err(error) => failures.push(error.to_string()),
                }
            }
            (statuses, failures)
        });
        for is_there in [false, true, false, true] {
            compio::time::sleep(Duration::from_millis(500)).await;
            let routes = match is_there {
                true => vec![route("/x", "safe", "books")],
                false => vec![route("/y", "safe", "books")],
            };
            site.configure(json!(routes), json!([plain("books")]));
        }
        let (statuses, failures) = sending.await.expect("sending does not panic");
        expect_that!(statuses.len(), eq(2), "{statuses:?}");
        expect_that!(failures, is_empty(), "{statuses:?}");
    });
}

/// A site whose callers may be idle for `idle_timeout_ms`, and a connection that has been used.
async fn idle_connection(idle_timeout_ms: u64) -> (Site, RawConnection) {
    let mut site = Site::start(vec![("books", vec![])]).await;
    answer_all(&site);
    site.idle_timeout_ms = idle_timeout_ms;
    configure_plain(&mut site);
    site.start_vms(1);
    site.wait_ready().await;
    let mut connection = RawConnection::open(&site).await;
    connection.expect_answer().await;
    (site, connection)
}

fn configure_plain(site: &mut Site) {
    let routes = json!([route("/x", "safe", "books")]);
    site.configure(routes, json!([plain("books")]));
}

impl RawConnection {
    async fn expect_answer(&mut self) {
        let request = pieces_of("/x", &id(), 0, false);
        let sent = self.send(request, Duration::ZERO).await;
        expect_that!(sent.is_ok(), eq(true), "{sent:?}");
        let answer = self.receive().await;
        expect_that!(answer, ok(starts_with("HTTP/1.1 200")));
    }
}

#[googletest::test]
fn a_longer_idle_timeout_reaches_open_connections() {
    block_on(async {
        let (mut site, mut connection) = idle_connection(500).await;
        site.idle_timeout_ms = 10_000;
        configure_plain(&mut site);
        compio::time::sleep(Duration::from_millis(4_500)).await;
        expect_that!(site.configuration_version(0).await, eq(6.0));
        connection.expect_answer().await;
    });
}

#[googletest::test]
fn a_request_that_arrived_during_a_pause_is_answered_though_the_idle_timeout_is_over() {
    block_on(async {
        let (site, mut connection) = idle_connection(500).await;
        compio::time::sleep(Duration::from_millis(1_800)).await;
        site.vms[0].signal(Signal::SIGSTOP);
        let resumed = async {
            compio::time::sleep(Duration::from_millis(1_500)).await;
            site.vms[0].signal(Signal::SIGCONT);
        };
        join(connection.expect_answer(), resumed).await;
    });
}

#[googletest::test]
fn a_request_that_arrived_during_a_pause_is_answered_though_the_vm_closes_its_connections() {
    block_on(async {
        let (site, mut connection) = idle_connection(15_000).await;
        site.vms[0].signal(Signal::SIGTERM);
        compio::time::sleep(Duration::from_millis(2_000)).await;
        site.vms[0].signal(Signal::SIGSTOP);
        let resumed = async {
            compio::time::sleep(Duration::from_millis(1_000)).await;
            site.vms[0].signal(Signal::SIGCONT);
        };
        join(connection.expect_answer(), resumed).await;
    });
}

#[googletest::test]
fn requests_of_many_idle_connections_that_arrived_during_a_pause_are_answered() {
    block_on(async {
        for changes_ms in [vec![], vec![200], vec![200, 500], vec![10_000, 300]] {
            let (mut site, connection) = idle_connection(500).await;
            let mut connections = vec![connection];
            for _ in 1..IDLE_CONNECTIONS {
                let mut connection = RawConnection::open(&site).await;
                connection.expect_answer().await;
                connections.push(connection);
            }
            compio::time::sleep(Duration::from_millis(1_800)).await;
            site.vms[0].signal(Signal::SIGSTOP);
            for idle_timeout_ms in changes_ms {
                site.idle_timeout_ms = idle_timeout_ms;
                configure_plain(&mut site);
            }
            let resumed = async {
                compio::time::sleep(Duration::from_millis(1_500)).await;
                site.vms[0].signal(Signal::SIGCONT);
            };
            let answered = join_all(connections.iter_mut().map(RawConnection::expect_answer));
            join(answered, resumed).await;
        }
    });
}

/// The log lines about connections that ended early, in a VM's log.
fn early_closes(site: &Site) -> Vec<Value> {
    let is_close = |line: &Value| line["message"] == "connection closed early";
    site.log(0).into_iter().filter(is_close).collect()
}

async fn expect_early_close(site: &Site, expected: &Value) {
    site.wait("the end of the connection is logged", async || {
        !early_closes(site).is_empty()
    })
    .await;
    let closes = early_closes(site);
    expect_that!(closes.len(), eq(1), "{closes:?}");
    for (field, value) in expected.as_object().expect("an object of fields") {
        expect_that!(&closes[0][field], eq(value), "{field} of {}", closes[0]);
    }
}

/// The start of a request, and the rest of it.
fn halves() -> (Vec<u8>, Vec<u8>) {
    let mut start = pieces_of("/x", &id(), 0, false).concat();
    let rest = start.split_off(20);
    (start, rest)
}

#[googletest::test]
fn a_connection_that_ends_in_the_middle_of_a_head_is_logged_with_its_cause() {
    block_on(async {
        let whole = json!({"open_requests": 0, "head_bytes": 20, "unread_bytes": 0});
        let expect_cause = async |site: &Site, cause: &str| {
            let mut expected = whole.clone();
            expected["cause"] = cause.into();
            expect_early_close(site, &expected).await;
        };

        let (site, mut connection) = idle_connection(500).await;
        let sent = connection.send(vec![halves().0], Duration::ZERO).await;
        expect_that!(sent.is_ok(), eq(true), "{sent:?}");
        expect_cause(&site, "no request head in time").await;

        let (site, mut connection) = idle_connection(500).await;
        let sent = connection.send(vec![halves().0], Duration::ZERO).await;
        expect_that!(sent.is_ok(), eq(true), "{sent:?}");
        compio::time::sleep(Duration::from_millis(200)).await;
        drop(connection);
        expect_cause(&site, "client left").await;

        let (site, mut connection) = idle_connection(15_000).await;
        site.vms[0].signal(Signal::SIGTERM);
        compio::time::sleep(Duration::from_millis(2_000)).await;
        let sent = connection.send(vec![halves().0], Duration::ZERO).await;
        expect_that!(sent.is_ok(), eq(true), "{sent:?}");
        expect_cause(&site, "shutdown").await;
    });
}

#[googletest::test]
fn a_request_whose_head_arrives_in_two_pieces_is_answered_though_its_connection_is_due() {
    block_on(async {
        // The idle timeout is over between the pieces.
        let (_site, mut connection) = idle_connection(500).await;
        compio::time::sleep(Duration::from_millis(2_200)).await;
        let (start, rest) = halves();
        let sent = connection.send(vec![start], Duration::ZERO).await;
        expect_that!(sent.is_ok(), eq(true), "{sent:?}");
        let sent = connection
            .send(vec![rest], Duration::from_millis(800))
            .await;
        expect_that!(sent.is_ok(), eq(true), "{sent:?}");
        expect_that!(connection.receive().await, ok(starts_with("HTTP/1.1 200")));

        // The VM closes its idle connections between the pieces.
        let (site, mut connection) = idle_connection(15_000).await;
        site.vms[0].signal(Signal::SIGTERM);
        let (start, rest) = halves();
        let sent = connection
            .send(vec![start], Duration::from_millis(2_200))
            .await;
        expect_that!(sent.is_ok(), eq(true), "{sent:?}");
        let sent = connection
            .send(vec![rest], Duration::from_millis(700))
            .await;
        expect_that!(sent.is_ok(), eq(true), "{sent:?}");
        expect_that!(connection.receive().await, ok(starts_with("HTTP/1.1 200")));
    });
}

#[googletest::test]
fn a_head_that_is_no_request_is_logged_with_its_length() {
    block_on(async {
        let (site, mut connection) = idle_connection(15_000).await;
        let head = b"no request at all\r\n\r\n".to_vec();
        let bytes = head.len();
        let sent = connection.send(vec![head], Duration::ZERO).await;
        expect_that!(sent.is_ok(), eq(true), "{sent:?}");
        expect_that!(connection.receive().await, ok(starts_with("HTTP/1.1 400")));
        let expected = json!({"cause": "request malformed", "head_bytes": bytes});
        expect_early_close(&site, &expected).await;
    });
}
