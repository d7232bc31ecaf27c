//! Non-idempotent calls with their answers, checked against the servers' journals.

use crate::cluster::Cluster;
use http_body_util::BodyExt;
use hyper::{Method, Request, Response, header};
use rattanjunction::{Body, Connection, ResponseBody};
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How long a caller waits for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a caller waits for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(15);

/// One request of a non-idempotent call; a resend is another request.
#[derive(Clone, Debug)]
pub struct KeyedCall {
    /// The idempotency key.
    pub key: String,
    /// The key's time, for keys that do not hold one.
    pub key_time_ms: Option<u64>,
    /// The body.
    pub body: Value,
}

impl KeyedCall {
    /// A call with a new key, which its body repeats.
    pub fn new() -> Self {
        let key = uuid::Uuid::now_v7().to_string();
        Self {
            body: json!({"key": key}),
            key_time_ms: None,
            key,
        }
    }

    /// A call with a new key and some text.
    pub fn with_text(bytes: usize) -> Self {
        let mut call = Self::new();
        call.body["text"] = json!("x".repeat(bytes));
        call
    }
}

impl Default for KeyedCall {
    fn default() -> Self {
        Self::new()
    }
}

/// An answer to a call, as its caller sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct CallAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: Value,
    /// When to come back, in seconds.
    pub retry_after_s: Option<u64>,
    /// Whether it is the kept answer of an earlier request.
    pub replayed: bool,
    /// How long it took.
    pub took: Duration,
}

impl CallAnswer {
    /// The code of an error answer.
    pub fn code(&self) -> &str {
        self.body["error"]["code"].as_str().unwrap_or_default()
    }

    /// Whether an error answer says that the request ran: `no`, `yes` or `unknown`.
    pub fn ran(&self) -> &str {
        self.body["error"]["ran"].as_str().unwrap_or_default()
    }
}

/// Sends calls and keeps every answer, to be checked at the end.
#[derive(Debug, Default)]
pub struct Ledger {
    requests: Cell<u64>,
    answers: RefCell<Vec<(String, Option<CallAnswer>)>>,
}

impl Ledger {
    /// Sends a call as a request of its own; none if no answer came.
    pub async fn send(&self, address: SocketAddr, call: &KeyedCall) -> Option<CallAnswer> {
        let number = self.requests.get() + 1;
        self.requests.set(number);
        let request = format!("request-{number}");
        let exchange = exchange(address, call, &request);
        let answer = compio::time::timeout(ANSWER_TIMEOUT, exchange).await;
        let answer = answer.unwrap_or(None);
        self.answers.borrow_mut().push((request, answer.clone()));
        answer
    }

    /// What in the servers' journals breaks a promise, one line each.
    ///
    /// Each key ran at most once; each request answered as not run is in no
    /// journal; each answer is complete, refused or of unknown outcome.
    pub fn broken_promises(&self, cluster: &Cluster) -> Vec<String> {
        let runs = runs(cluster);
        let mut broken = Vec::new();
        for (key, count) in runs_by_key(&runs) {
            if count > 1 {
                broken.push(format!("key {key} ran {count} times"));
            }
        }
        let ran: HashSet<&str> = runs
            .iter()
            .filter_map(|run| run["request"].as_str())
            .collect();
        for (request, answer) in self.answers.borrow().iter() {
            let Some(answer) = answer else { continue };
            if answer.ran() == "no" && ran.contains(request.as_str()) {
                broken.push(format!("{request} ran, and was answered {answer:?}"));
            }
            if answer.status != 200 && answer.ran().is_empty() {
                broken.push(format!("{request} has an answer of no kind: {answer:?}"));
            }
        }
        broken
    }
}

/// Everything that the plain service's servers ran.
pub fn runs(cluster: &Cluster) -> Vec<Value> {
    (0..cluster.plan.shape.servers)
        .flat_map(|server| cluster.server_journal(server))
        .filter(|line| line["kind"] == "run")
        .collect()
}

/// How often each key ran.
pub fn runs_by_key(runs: &[Value]) -> HashMap<&str, usize> {
    let mut counts = HashMap::new();
    for key in runs.iter().filter_map(|run| run["body"]["key"].as_str()) {
        *counts.entry(key).or_default() += 1;
    }
    counts
}

/// Sends one request on a connection of its own.
pub async fn exchange(address: SocketAddr, call: &KeyedCall, request: &str) -> Option<CallAnswer> {
    let start = Instant::now();
    let mut connection = Connection::open(address, CONNECT_TIMEOUT).await.ok()?;
    let mut builder = Request::builder()
        .method(Method::POST)
        .uri("/receipts")
        .header(header::HOST, address.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .header("x-request-id", request)
        .header("idempotency-key", &call.key);
    if let Some(time_ms) = call.key_time_ms {
        builder = builder.header("idempotency-time", time_ms);
    }
    let request = builder
        .body(Body::full(call.body.to_string()))
        .expect("the request is well formed");
    let response = connection.send(request).await.ok()?;
    read_answer(response, start).await
}

async fn read_answer(response: Response<ResponseBody>, start: Instant) -> Option<CallAnswer> {
    let retry_after_s = response
        .headers()
        .get(header::RETRY_AFTER)
        .and_then(|value| value.to_str().ok()?.parse().ok());
    let replayed = response.headers().contains_key("idempotent-replayed");
    let status = response.status().as_u16();
    let body = response.into_body().collect().await.ok()?.to_bytes();
    Some(CallAnswer {
        status,
        body: serde_json::from_slice(&body).unwrap_or(Value::Null),
        retry_after_s,
        replayed,
        took: start.elapsed(),
    })
}
