//! Stand-ins of the platform: the log, the VM list and the weight store.

use crate::http_json;
use crate::journal::{Journal, now_ms};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use rattanjunction::Body;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Records in one page at most.
const PAGE_RECORDS: usize = 512;
/// How often a waiting read looks again.
const READ_POLL: Duration = Duration::from_millis(1);
/// How long a fault holds a call that gets no answer.
const NO_ANSWER: Duration = Duration::from_secs(3_600);

/// What the platform is like, and what is wrong with it.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformState {
    /// Whether the log refuses every call.
    pub log_down: bool,
    /// Whether the log does not answer any call, and does nothing.
    pub log_silent: bool,
    /// Whether appends take effect and their answers are lost.
    pub lose_append_answers: bool,
    /// How long the log takes for an append.
    pub append_ms: u64,
    /// Appends a second before the log refuses more.
    pub max_appends_per_s: u32,
    /// How long records are kept.
    pub retention_ms: u64,
    /// How far the VM list lies behind.
    pub list_lag_ms: u64,
    /// Whether the VM list refuses every call.
    pub list_down: bool,
    /// Loads a second that the weight store begins.
    pub loads_per_s: f64,
    /// Loads at once at full speed.
    pub loads_at_once: u32,
    /// MiB a second for one load at full speed.
    pub load_mib_per_s: f64,
    /// Whether the weight store does nothing.
    pub store_down: bool,
}

impl Default for PlatformState {
    fn default() -> Self {
        Self {
            log_down: false,
            log_silent: false,
            lose_append_answers: false,
            append_ms: 1,
            max_appends_per_s: 400,
            retention_ms: 3_600_000,
            list_lag_ms: 500,
            list_down: false,
            loads_per_s: 1.6,
            loads_at_once: 6,
            load_mib_per_s: 20_000.0,
            store_down: false,
        }
    }
}

#[derive(Clone)]
struct StoredRecord {
    at_ms: u64,
    data: Rc<RawValue>,
}

#[derive(Default)]
struct StoredStream {
    first: u64,
    records: VecDeque<StoredRecord>,
}

impl StoredStream {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn forget(&mut self, before_ms: u64) {
        while self
            .records
            .front()
            .is_some_and(|record| record.at_ms < before_ms)
        {
            self.records.pop_front();
            self.first += 1;
        }
    }
}

/// Counts a call until it ends, also when its caller goes away.
struct Counted<'a>(&'a Cell<u32>);

impl<'a> Counted<'a> {
    fn new(count: &'a Cell<u32>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// The platform's stand-in.
pub struct Platform {
    state: RefCell<PlatformState>,
    streams: RefCell<HashMap<String, StoredStream>>,
    appends: RefCell<VecDeque<Instant>>,
    vms: RefCell<Vec<(Instant, Value)>>,
    loads: Cell<u32>,
    open_loads: Cell<u32>,
    next_load: Cell<Instant>,
    journal: Journal,
}

impl std::fmt::Debug for Platform {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Platform").finish_non_exhaustive()
    }
}

impl Platform {
    /// A platform in a given state, with an empty log.
    pub fn new(state: PlatformState) -> Self {
        Self {
            state: RefCell::new(state),
            streams: RefCell::default(),
            appends: RefCell::default(),
            vms: RefCell::default(),
            loads: Cell::new(0),
            open_loads: Cell::new(0),
            next_load: Cell::new(Instant::now()),
            journal: Journal::open(None),
        }
    }

    /// Serves until the process ends.
    pub async fn serve(self: Rc<Self>, address: SocketAddr) {
        http_json::serve(address, move |request| self.clone().handle(request)).await;
    }

    async fn handle(self: Rc<Self>, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        match (request.method(), parts.as_slice()) {
            (&Method::POST, ["streams", stream, "records"]) => self.append(stream, request).await,
            (&Method::GET, ["streams", stream, "records"]) => self.read(stream, &request).await,
            (&Method::GET, ["vms"]) => self.list(),
            (&Method::POST, ["vms"]) => self.set_list(request).await,
            (&Method::POST, ["weights"]) => self.load(request).await,
            (&Method::GET, ["state"]) => http_json::ok(&*self.state.borrow()),
            (&Method::POST, ["state"]) => self.set_state(request).await,
            (&Method::GET, ["journal"]) => http_json::ok(&self.journal.lines()),
            _ => http_json::status(StatusCode::NOT_FOUND),
        }
    }

    /// Takes over the fields that the body names; the others stay.
    async fn set_state(&self, request: Request<Incoming>) -> Response<Body> {
        let Some(change) = http_json::read_json::<Value>(request).await else {
            return http_json::status(StatusCode::BAD_REQUEST);
        };
        let mut state = json!(*self.state.borrow());
        for (field, value) in change.as_object().into_iter().flatten() {
            state[field] = value.clone();
        }
        match serde_json::from_value(state) {
            Ok(state) => {
                *self.state.borrow_mut() = state;
                http_json::ok(&json!({}))
            }
            Err(_) => http_json::status(StatusCode::BAD_REQUEST),
        }
    }

    /// The answer of a log that is down, if it is.
    async fn log_fault(&self) -> Option<Response<Body>> {
        if self.state.borrow().log_silent {
            compio::time::sleep(NO_ANSWER).await;
        }
        self.state
            .borrow()
            .log_down
            .then(|| http_json::status(StatusCode::SERVICE_UNAVAILABLE))
    }

    async fn append(&self, stream: &str, request: Request<Incoming>) -> Response<Body> {
        if let Some(fault) = self.log_fault().await {
            return fault;
        }
        let Some(data) = http_json::read_json::<Box<RawValue>>(request).await else {
            return http_json::status(StatusCode::BAD_REQUEST);
        };
        if !self.take_append() {
            self.journal
                .note("append_refused", json!({"stream": stream}));
            return http_json::status(StatusCode::TOO_MANY_REQUESTS);
        }
        let append_ms = self.state.borrow().append_ms;
        compio::time::sleep(Duration::from_millis(append_ms)).await;
        let bytes = data.get().len();
        let offset = {
            let mut streams = self.streams.borrow_mut();
            let stored = streams.entry(stream.to_owned()).or_default();
            stored.records.push_back(StoredRecord {
                at_ms: now_ms(),
                data: data.into(),
            });
            stored.end() - 1
        };
        let fields = json!({"stream": stream, "offset": offset, "bytes": bytes});
        self.journal.note("append", fields);
        if self.state.borrow().lose_append_answers {
            compio::time::sleep(NO_ANSWER).await;
        }
        http_json::ok(&json!({"offset": offset}))
    }

    fn take_append(&self) -> bool {
        let mut appends = self.appends.borrow_mut();
        while appends
            .front()
            .is_some_and(|at| at.elapsed() >= Duration::from_secs(1))
        {
            appends.pop_front();
        }
        if appends.len() >= self.state.borrow().max_appends_per_s as usize {
            return false;
        }
        appends.push_back(Instant::now());
        true
    }

    async fn read(&self, stream: &str, request: &Request<Incoming>) -> Response<Body> {
        let from: u64 = http_json::query(request, "from").unwrap_or(0);
        let limit = http_json::query(request, "limit").unwrap_or(PAGE_RECORDS);
        let wait = Duration::from_millis(http_json::query(request, "wait_ms").unwrap_or(0));
        let start = Instant::now();
        loop {
            if let Some(fault) = self.log_fault().await {
                return fault;
            }
            let page = self.page(stream, from, limit);
            let has_news = page["first"].as_u64() > Some(from)
                || page["records"]
                    .as_array()
                    .is_some_and(|records| !records.is_empty());
            if has_news || start.elapsed() >= wait {
                return http_json::ok(&page);
            }
            compio::time::sleep(READ_POLL).await;
        }
    }

    fn page(&self, stream: &str, from: u64, limit: usize) -> Value {
        let before_ms = now_ms().saturating_sub(self.state.borrow().retention_ms);
        let mut streams = self.streams.borrow_mut();
        let stored = streams.entry(stream.to_owned()).or_default();
        stored.forget(before_ms);
        let skip = from.saturating_sub(stored.first) as usize;
        let records: Vec<Value> = stored
            .records
            .iter()
            .enumerate()
            .skip(skip)
            .take(limit.min(PAGE_RECORDS))
            .map(|(index, record)| {
                json!({
                    "offset": stored.first + index as u64,
                    "at_ms": record.at_ms,
                    "data": &*record.data,
                })
            })
            .collect();
        json!({"first": stored.first, "end": stored.end(), "records": records})
    }

    /// The list as it was before the lag.
    fn list(&self) -> Response<Body> {
        let state = self.state.borrow();
        if state.list_down {
            return http_json::status(StatusCode::SERVICE_UNAVAILABLE);
        }
        let lag = Duration::from_millis(state.list_lag_ms);
        let vms = self.vms.borrow();
        let lists = vms.iter().rev();
        let seen = lists.clone().find(|(at, _)| at.elapsed() >= lag);
        // The very first list has no lag.
        let list = seen
            .or(vms.first())
            .map_or_else(|| json!([]), |(_, list)| list.clone());
        http_json::ok(&list)
    }

    async fn set_list(&self, request: Request<Incoming>) -> Response<Body> {
        let Some(list) = http_json::read_json::<Value>(request).await else {
            return http_json::status(StatusCode::BAD_REQUEST);
        };
        self.journal.note("vms", json!({"list": list}));
        self.vms.borrow_mut().push((Instant::now(), list));
        http_json::ok(&json!({}))
    }

    /// Holds the call for as long as the load takes.
    async fn load(&self, request: Request<Incoming>) -> Response<Body> {
        let Some(body) = http_json::read_json::<Value>(request).await else {
            return http_json::status(StatusCode::BAD_REQUEST);
        };
        let mib = body["mib"].as_f64().unwrap_or(0.0);
        let _open = Counted::new(&self.open_loads);
        self.journal
            .note("load_open", json!({"open": self.open_loads.get()}));
        while self.state.borrow().store_down {
            compio::time::sleep(Duration::from_millis(50)).await;
        }
        let state = self.state.borrow().clone();
        let now = Instant::now();
        let begin = self.next_load.get().max(now);
        self.next_load
            .set(begin + Duration::from_secs_f64(1.0 / state.loads_per_s));
        compio::time::sleep(begin - now).await;
        let _running = Counted::new(&self.loads);
        let over = f64::from(self.loads.get().max(state.loads_at_once));
        let speed = state.load_mib_per_s * f64::from(state.loads_at_once) / over;
        compio::time::sleep(Duration::from_secs_f64(mib / speed)).await;
        self.journal.note("load", json!({"mib": mib}));
        http_json::ok(&json!({}))
    }
}
