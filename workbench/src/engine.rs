//! A stand-in of a model engine: continuous batching over accelerator memory.
//!
//! It does whatever it is ordered, also beyond its memory; its journal then
//! says so. A request whose messages hold `CRASH` ends the process.

use crate::answer::{Answer, artifact_key};
use crate::http_json;
use crate::journal::Journal;
use crate::service::header;
use bytes::Bytes;
use futures_channel::{mpsc, oneshot};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Method, Request, Response, StatusCode};
use rattanjunction::Body;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64;

/// Events held for a reader that is slow before it counts as gone.
const READER_CAPACITY: usize = 4_096;
/// The time between two comments to a request that waits.
const COMMENT_INTERVAL: Duration = Duration::from_millis(500);
/// How often an idle engine notes its load.
const IDLE_INTERVAL: Duration = Duration::from_millis(100);
/// How far the load report lies behind.
const REPORT_LAG: Duration = Duration::from_millis(300);
/// Prefixes kept in the cache.
const CACHED_PREFIXES: usize = 64;
/// Characters of the messages that make a prefix.
const PREFIX_CHARS: usize = 256;
/// The exit code after a marked request.
pub const CRASH_EXIT_CODE: i32 = 101;

/// What an engine is like.
#[derive(Clone, Debug)]
pub struct EngineShape {
    /// Accelerator memory.
    pub memory_mib: u64,
    /// Whether an order with an old fencing number is refused.
    pub checks_fencing: bool,
    /// Requests in a batch at most.
    pub max_batch: usize,
    /// Time of one step.
    pub step_ms: f64,
    /// Time added to a step for each request in the batch.
    pub step_per_request_ms: f64,
    /// Time of the prompt, for 1,000 characters not in the prefix cache.
    pub prefill_ms: f64,
    /// The weight store.
    pub store: SocketAddr,
}

/// What is wrong with an engine, set by `POST /faults`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Every completion is refused with status 503, and not run.
    pub refuse: bool,
    /// Streams end cleanly after the finish event, without the last one.
    pub end_after_finish: bool,
    /// Streams end cleanly before the finish event.
    pub end_before_finish: bool,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum HeldState {
    Loading,
    Ready,
    Unloading,
}

#[derive(Debug)]
struct Held {
    mib: u64,
    state: HeldState,
}

#[derive(Debug, Deserialize)]
struct Ordered {
    order: String,
    #[serde(default)]
    artifact: String,
    #[serde(default)]
    mib: u64,
    fence: u64,
    /// Whether a test gave the order, past the VMs.
    #[serde(default)]
    by_test: bool,
}

struct Sequence {
    id: String,
    model: String,
    needs: Vec<String>,
    answer: Answer,
    next: u32,
    rank: u64,
    prefill_ms: f64,
    commented: Instant,
    reader: mpsc::Sender<io::Result<Bytes>>,
}

/// The engine's stand-in.
pub struct Engine {
    shape: EngineShape,
    boot: u64,
    held: RefCell<BTreeMap<String, Held>>,
    fence: Cell<u64>,
    waiting: RefCell<VecDeque<Sequence>>,
    running: RefCell<Vec<Sequence>>,
    loads: RefCell<VecDeque<(Instant, usize, usize)>>,
    prefixes: RefCell<VecDeque<u64>>,
    faults: RefCell<EngineFaults>,
    arrived: RefCell<Option<oneshot::Sender<()>>>,
    journal: Journal,
}

impl std::fmt::Debug for Engine {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Engine")
            .field("boot", &self.boot)
            .finish_non_exhaustive()
    }
}

impl Engine {
    /// An engine with empty memory.
    pub fn new(shape: EngineShape, journal: Option<&Path>) -> Self {
        let engine = Self {
            shape,
            boot: u64::from(rand::random::<u32>()) + 1,
            held: RefCell::default(),
            fence: Cell::new(0),
            waiting: RefCell::default(),
            running: RefCell::default(),
            loads: RefCell::default(),
            prefixes: RefCell::default(),
            faults: RefCell::default(),
            arrived: RefCell::default(),
            journal: Journal::open(journal),
        };
        engine.journal.note("start", json!({"boot": engine.boot}));
        engine
    }

    /// Holds an artifact from the start.
    pub fn hold(&self, artifact: &str, mib: u64) {
        let state = HeldState::Ready;
        self.held
            .borrow_mut()
            .insert(artifact.to_owned(), Held { mib, state });
        self.note_memory();
    }

    /// Serves until the process ends.
    pub async fn serve(self: Rc<Self>, address: SocketAddr) {
        compio::runtime::spawn(self.clone().batch()).detach();
        http_json::serve(address, move |request| self.clone().handle(request)).await;
    }

    async fn handle(self: Rc<Self>, request: Request<Incoming>) -> Response<Body> {
        match (request.method(), request.uri().path()) {
            (&Method::POST, "/v1/chat/completions") => self.complete(request).await,
            (&Method::POST, "/orders") => self.order(request).await,
            (&Method::POST, "/faults") => self.set_faults(request).await,
            (&Method::GET, "/report") => http_json::ok(&self.report()),
            (&Method::GET, "/journal") => http_json::ok(&self.journal.lines()),
            _ => http_json::status(StatusCode::NOT_FOUND),
        }
    }

    async fn set_faults(&self, request: Request<Incoming>) -> Response<Body> {
        match http_json::read_json::<EngineFaults>(request).await {
            Some(faults) => {
                *self.faults.borrow_mut() = faults;
                http_json::ok(&json!({}))
            }
            None => http_json::status(StatusCode::BAD_REQUEST),
        }
    }

    fn report(&self) -> Value {
        let loads = self.loads.borrow();
        let (running, waiting) = loads
            .iter()
            .rev()
            .find(|(at, ..)| at.elapsed() >= REPORT_LAG)
            .map_or((0, 0), |(_, running, waiting)| (*running, *waiting));
        let artifacts: Vec<Value> = self
            .held
            .borrow()
            .iter()
            .map(|(name, held)| {
                let state = match held.state {
                    HeldState::Loading => "loading",
                    HeldState::Ready => "ready",
                    HeldState::Unloading => "unloading",
                };
                json!({"name": name, "mib": held.mib, "state": state})
            })
            .collect();
        json!({"boot": self.boot, "running": running, "waiting": waiting, "artifacts": artifacts})
    }

    fn note_memory(&self) {
        let used_mib: u64 = self.held.borrow().values().map(|held| held.mib).sum();
        let fields = json!({"used_mib": used_mib, "memory_mib": self.shape.memory_mib});
        self.journal.note("memory", fields);
    }

    async fn order(self: Rc<Self>, request: Request<Incoming>) -> Response<Body> {
        let Some(ordered) = http_json::read_json::<Ordered>(request).await else {
            return http_json::status(StatusCode::BAD_REQUEST);
        };
        let stale = self.shape.checks_fencing && ordered.fence < self.fence.get();
        let mut fields = json!({"order": ordered.order, "artifact": ordered.artifact,
            "mib": ordered.mib, "fence": ordered.fence, "refused": stale});
        if ordered.by_test {
            fields["by_test"] = json!(true);
        }
        self.journal.note("order", fields);
        if stale {
            return http_json::status(StatusCode::CONFLICT);
        }
        let repeated = self.shape.checks_fencing && ordered.fence == self.fence.get();
        self.fence.set(self.fence.get().max(ordered.fence));
        if repeated {
            return http_json::status(StatusCode::ACCEPTED);
        }
        match ordered.order.as_str() {
            "load" => self.load(ordered),
            "unload" => self.unload(ordered),
            _ => {}
        }
        http_json::status(StatusCode::ACCEPTED)
    }

    fn load(self: Rc<Self>, ordered: Ordered) {
        if self.held.borrow().contains_key(&ordered.artifact) {
            return;
        }
        let held = Held {
            mib: ordered.mib,
            state: HeldState::Loading,
        };
        self.held
            .borrow_mut()
            .insert(ordered.artifact.clone(), held);
        self.note_memory();
        compio::runtime::spawn(async move {
            let body = json!({"mib": ordered.mib});
            while http_json::post(self.shape.store, "/weights", &body)
                .await
                .is_none()
            {
                compio::time::sleep(Duration::from_millis(100)).await;
            }
            if let Some(held) = self.held.borrow_mut().get_mut(&ordered.artifact) {
                held.state = HeldState::Ready;
            }
            self.journal
                .note("loaded", json!({"artifact": ordered.artifact}));
        })
        .detach();
    }

    fn unload(self: Rc<Self>, ordered: Ordered) {
        match self.held.borrow_mut().get_mut(&ordered.artifact) {
            Some(held) if held.state == HeldState::Ready => held.state = HeldState::Unloading,
            _ => return,
        }
        compio::runtime::spawn(async move {
            while self.is_used(&ordered.artifact) {
                compio::time::sleep(Duration::from_millis(5)).await;
            }
            self.held.borrow_mut().remove(&ordered.artifact);
            self.journal
                .note("unloaded", json!({"artifact": ordered.artifact}));
            self.note_memory();
        })
        .detach();
    }

    fn is_used(&self, artifact: &str) -> bool {
        let uses = |sequence: &Sequence| sequence.needs.iter().any(|need| need == artifact);
        self.running.borrow().iter().any(uses) || self.waiting.borrow().iter().any(uses)
    }

    async fn complete(self: Rc<Self>, request: Request<Incoming>) -> Response<Body> {
        let id = header(&request, "x-request-id");
        let Some(body) = http_json::read_json::<Value>(request).await else {
            return http_json::status(StatusCode::BAD_REQUEST);
        };
        let Some(name) = body["model"].as_str() else {
            return http_json::status(StatusCode::BAD_REQUEST);
        };
        let version = body["version"].as_str().unwrap_or_default();
        let (needs, key) = match body["adapter_version"].as_str() {
            None => (
                vec![format!("{name}@{version}")],
                artifact_key(name, version, None),
            ),
            Some(adapter_version) => {
                let (base, adapter) = name.rsplit_once('/').unwrap_or((name, ""));
                (
                    vec![
                        format!("{base}@{version}"),
                        format!("{name}@{adapter_version}"),
                    ],
                    artifact_key(base, version, Some((adapter, adapter_version))),
                )
            }
        };
        if !self.are_ready(&needs) {
            return http_json::status(StatusCode::NOT_FOUND);
        }
        if self.faults.borrow().refuse {
            self.journal.note("refused", json!({"request": id}));
            return http_json::status(StatusCode::SERVICE_UNAVAILABLE);
        }
        let from = body["resume_from_token"].as_u64().unwrap_or(0) as u32;
        self.journal
            .note("run", json!({"request": id, "model": name, "from": from}));
        let messages = body["messages"].to_string();
        if messages.contains("CRASH") {
            self.journal.note("crash", json!({"request": id}));
            std::process::exit(CRASH_EXIT_CODE);
        }
        let max_tokens = body["max_tokens"].as_u64().map(|tokens| tokens as u32);
        let (reader, stream) = mpsc::channel(READER_CAPACITY);
        self.waiting.borrow_mut().push_back(Sequence {
            id: id.clone(),
            model: name.to_owned(),
            needs,
            answer: Answer::new(&key, &body["messages"], max_tokens),
            next: from,
            rank: body["priority"].as_u64().unwrap_or(1),
            prefill_ms: self.prefill_ms(&messages),
            commented: Instant::now(),
            reader,
        });
        if let Some(arrived) = self.arrived.take() {
            // The batch has looked by itself if it does not wait any more.
            let _ = arrived.send(());
        }
        let named = HeaderValue::from_str(&id).ok();
        let mut response = Response::new(Body::Stream(stream));
        if let Some(named) = named {
            response.headers_mut().insert("x-request-id", named);
        }
        let kind = HeaderValue::from_static("text/event-stream");
        response
            .headers_mut()
            .insert(hyper::header::CONTENT_TYPE, kind);
        response
    }

    fn are_ready(&self, needs: &[String]) -> bool {
        let held = self.held.borrow();
        needs.iter().all(|need| {
            held.get(need)
                .is_some_and(|held| held.state == HeldState::Ready)
        })
    }

    /// The time of the prompt; a cached prefix is free.
    fn prefill_ms(&self, messages: &str) -> f64 {
        let end = messages.floor_char_boundary(PREFIX_CHARS.min(messages.len()));
        let prefix = xxh3_64(&messages.as_bytes()[..end]);
        let mut prefixes = self.prefixes.borrow_mut();
        let cached = prefixes.iter().position(|cached| *cached == prefix);
        if let Some(place) = cached {
            prefixes.remove(place);
        }
        prefixes.push_back(prefix);
        if prefixes.len() > CACHED_PREFIXES {
            prefixes.pop_front();
        }
        let fresh = if cached.is_some() {
            messages.len() - end
        } else {
            messages.len()
        };
        fresh as f64 / 1_000.0 * self.shape.prefill_ms
    }

    /// Continuous batching: each step gives one token to each running request.
    async fn batch(self: Rc<Self>) {
        loop {
            let prefill_ms = self.admit();
            self.comment_waiting();
            let batch = self.running.borrow().len();
            self.note_load(batch);
            if batch == 0 {
                self.wait_for_arrival().await;
                continue;
            }
            let step_ms =
                self.shape.step_ms + self.shape.step_per_request_ms * batch as f64 + prefill_ms;
            compio::time::sleep(Duration::from_secs_f64(step_ms / 1_000.0)).await;
            let faults = self.faults.borrow().clone();
            self.running
                .borrow_mut()
                .retain_mut(|sequence| match sequence.step(&faults) {
                    Progress::Running => true,
                    ended => {
                        self.note_end(sequence, ended == Progress::Cancelled);
                        false
                    }
                });
        }
    }

    /// Waits for a request, or until the load is to be noted again.
    async fn wait_for_arrival(&self) {
        let (sender, receiver) = oneshot::channel();
        *self.arrived.borrow_mut() = Some(sender);
        // Both ends of the wait mean the same: look again.
        let _ = compio::time::timeout(IDLE_INTERVAL, receiver).await;
    }

    /// Moves waiting requests into the batch, the most urgent first.
    fn admit(&self) -> f64 {
        let mut waiting = self.waiting.borrow_mut();
        let mut running = self.running.borrow_mut();
        waiting.retain(|sequence| {
            let cancelled = sequence.reader.is_closed();
            if cancelled {
                self.note_end(sequence, true);
            }
            !cancelled
        });
        let mut prefill_ms = 0.0;
        while running.len() < self.shape.max_batch {
            let Some(place) = (0..waiting.len()).min_by_key(|place| waiting[*place].rank) else {
                break;
            };
            let sequence = waiting.remove(place).expect("the place was just found");
            prefill_ms += sequence.prefill_ms;
            running.push(sequence);
        }
        prefill_ms
    }

    fn note_end(&self, sequence: &Sequence, cancelled: bool) {
        let kind = if cancelled { "cancelled" } else { "finished" };
        let fields = json!({"request": sequence.id, "next": sequence.next});
        self.journal.note(kind, fields);
    }

    fn comment_waiting(&self) {
        for sequence in self.waiting.borrow_mut().iter_mut() {
            if sequence.commented.elapsed() >= COMMENT_INTERVAL {
                sequence.commented = Instant::now();
                let _ = sequence
                    .reader
                    .try_send(Ok(Bytes::from_static(b": waiting\n\n")));
            }
        }
    }

    fn note_load(&self, running: usize) {
        let mut loads = self.loads.borrow_mut();
        loads.push_back((Instant::now(), running, self.waiting.borrow().len()));
        while loads
            .front()
            .is_some_and(|(at, ..)| at.elapsed() > REPORT_LAG * 2)
        {
            loads.pop_front();
        }
    }
}

/// How far a sequence has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Progress {
    Running,
    Finished,
    Cancelled,
}

impl Sequence {
    /// Sends the next token, or the events after the last.
    fn step(&mut self, faults: &EngineFaults) -> Progress {
        if self.next < self.answer.tokens() {
            let delta = json!({"content": self.answer.token(self.next)});
            if !self.send(&self.chunk(&delta, None)) {
                return Progress::Cancelled;
            }
            self.next += 1;
            return Progress::Running;
        }
        if faults.end_before_finish {
            return Progress::Finished;
        }
        let finish = self.chunk(&json!({}), Some(self.answer.finish_reason()));
        if !self.send(&finish) {
            return Progress::Cancelled;
        }
        if !faults.end_after_finish {
            self.send("data: [DONE]\n\n");
        }
        Progress::Finished
    }

    fn chunk(&self, delta: &Value, finish_reason: Option<&str>) -> String {
        let chunk = json!({
            "id": format!("chatcmpl-{}", self.id),
            "object": "chat.completion.chunk",
            "model": self.model,
            "choices": [{"index": 0, "delta": delta, "finish_reason": finish_reason}],
        });
        format!("data: {chunk}\n\n")
    }

    fn send(&mut self, event: &str) -> bool {
        self.reader
            .try_send(Ok(Bytes::from(event.to_owned())))
            .is_ok()
    }
}
