//! A stand-in of a backend server, plain or with models, over raw connections, so that it
//! can answer in ways that no well-behaved server does.

use compio::BufResult;
use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::{TcpListener, TcpStream};
use futures_util::future::{Either, select};
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Bytes read at once.
const CHUNK_BYTES: usize = 16 * 1024;
/// How often an idle connection looks whether its server is dead.
const DEATH_POLL: Duration = Duration::from_millis(20);
/// When a server started, in Unix milliseconds.
const FIRST_START_MS: u64 = 1_700_000_000_000;
/// From one start of a server to the next.
const RESTART_MS: u64 = 5_000;
/// Headers of a request at most.
const MAX_HEADERS: usize = 64;

/// Models with their adapters.
pub type LoadedModels = Vec<(&'static str, Vec<&'static str>)>;

/// One request as it came.
#[derive(Clone, Debug, Default)]
pub struct ReceivedRequest {
    /// The method.
    pub method: String,
    /// The path with its query.
    pub path: String,
    /// Headers, by name in lowercase.
    pub headers: HashMap<String, String>,
    /// The body.
    pub body: Vec<u8>,
}

impl ReceivedRequest {
    /// A header's value, or nothing.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// What a server does next on a connection.
#[derive(Clone, Debug)]
pub enum ScriptStep {
    /// Sends bytes.
    Write(Vec<u8>),
    /// Waits; ends early when the other end leaves.
    Wait(Duration),
    /// Closes the connection.
    Close,
    /// Resets the connection: what the other end has not read yet may be lost.
    Reset,
}

/// What happened at a server.
#[derive(Clone, Debug)]
pub enum ServerEvent {
    /// It began to run a request.
    Ran(ReceivedRequest),
    /// It refused a request without running it.
    Refused(ReceivedRequest),
    /// The other end left while it was at work on the request with this id.
    Left(String, Instant),
    /// An order, with the status that it got.
    Order(Value, u16),
}

type Script = Box<dyn Fn(&ReceivedRequest) -> Vec<ScriptStep>>;

/// The server's stand-in.
pub struct ServerStandIn {
    /// The id of its run.
    pub id: String,
    /// The service that it belongs to.
    pub service: String,
    address: SocketAddr,
    started_ms: Cell<u64>,
    holds: RefCell<Vec<(String, Vec<String>)>>,
    orders: Cell<u64>,
    fence: Cell<u64>,
    scripts: RefCell<VecDeque<Script>>,
    script: RefCell<Option<Script>>,
    seen: RefCell<Vec<ServerEvent>>,
    connections: Cell<u64>,
    overruns: Cell<u64>,
    is_dead: Cell<bool>,
}

impl std::fmt::Debug for ServerStandIn {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ServerStandIn")
            .field("id", &self.id)
            .finish_non_exhaustive()
    }
}

/// A whole signed answer with a length.
pub fn signed_answer(id: &str, status: u16, body: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 {status} Answer\r\nX-Attempt-Id: {id}\r\nX-Server-Signature: sig-{id}\r\n\
         Keep-Alive: timeout=5\r\nX-Of-The-Server: kept\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

fn bare(status: u16, headers: &str, body: &str) -> Vec<ScriptStep> {
    let length = body.len();
    let answer =
        format!("HTTP/1.1 {status} Answer\r\n{headers}Content-Length: {length}\r\n\r\n{body}");
    vec![ScriptStep::Write(answer.into_bytes())]
}

impl ServerStandIn {
    pub(super) async fn start(
        address: SocketAddr,
        id: &str,
        service: &str,
        holds: LoadedModels,
    ) -> Rc<Self> {
        let owned = |names: Vec<&str>| names.into_iter().map(str::to_owned).collect();
        let holds = holds.into_iter();
        let server = Rc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address,
            started_ms: Cell::new(FIRST_START_MS),
            holds: RefCell::new(
                holds
                    .map(|(model, adapters)| (model.to_owned(), owned(adapters)))
                    .collect(),
            ),
            orders: Cell::new(0),
            fence: Cell::new(0),
            scripts: RefCell::default(),
            script: RefCell::default(),
            seen: RefCell::default(),
            connections: Cell::new(0),
            overruns: Cell::new(0),
            is_dead: Cell::new(false),
        });
        let listener = rattanjunction::listen(address)
            .await
            .expect("the address is free");
        compio::runtime::spawn(server.clone().accept(listener)).detach();
        server
    }

    /// The entry that it writes into the directory.
    pub fn entry(&self, state: &str) -> Value {
        json!({
            "service": self.service,
            "address": self.address.to_string(),
            "zone": "a",
            "version": "v1",
            "slots": 64,
            "state": state,
            "cold_remaining_ms": 0,
            "models": self.models(),
            "sequence": 1,
            "born": self.started_ms.get(),
        })
    }

    fn models(&self) -> Vec<Value> {
        let holds = self.holds.borrow();
        let models = holds
            .iter()
            .map(|(model, adapters)| json!({"name": model, "version": 1, "adapters": adapters}));
        models.collect()
    }

    /// Answers the next request by a script of its own.
    pub fn script_next(&self, script: impl Fn(&ReceivedRequest) -> Vec<ScriptStep> + 'static) {
        self.scripts.borrow_mut().push_back(Box::new(script));
    }

    /// Answers all requests by a script, but for those that have one of their own.
    pub fn script(&self, script: impl Fn(&ReceivedRequest) -> Vec<ScriptStep> + 'static) {
        *self.script.borrow_mut() = Some(Box::new(script));
    }

    /// Starts again under its id: it holds nothing, and counts and fences begin anew.
    pub fn restart(&self) {
        self.started_ms.set(self.started_ms.get() + RESTART_MS);
        self.holds.borrow_mut().clear();
        self.orders.set(0);
        self.fence.set(0);
    }

    /// Loses a model without an order, as an engine that fails does.
    pub fn lose_model(&self, model: &str) {
        self.holds.borrow_mut().retain(|(name, _)| name != model);
    }

    /// Ends all connections and takes no more.
    pub fn die(&self) {
        self.is_dead.set(true);
    }

    /// What happened so far.
    pub fn seen(&self) -> Vec<ServerEvent> {
        self.seen.borrow().clone()
    }

    /// The requests that it ran.
    pub fn runs(&self) -> Vec<ReceivedRequest> {
        let seen = self.seen.borrow();
        let runs = seen.iter().filter_map(|seen| match seen {
            ServerEvent::Ran(call) => Some(call.clone()),
            _ => None,
        });
        runs.collect()
    }

    /// The orders that it got, with their statuses.
    pub fn orders(&self) -> Vec<(Value, u16)> {
        let seen = self.seen.borrow();
        let orders = seen.iter().filter_map(|seen| match seen {
            ServerEvent::Order(order, status) => Some((order.clone(), *status)),
            _ => None,
        });
        orders.collect()
    }

    /// Whether it holds a model, or an adapter of it.
    pub fn holds(&self, model: &str, adapter: Option<&str>) -> bool {
        let holds = self.holds.borrow();
        let held = holds.iter().find(|(name, _)| name == model);
        held.is_some_and(|(_, adapters)| {
            adapter.is_none_or(|adapter| adapters.iter().any(|name| name == adapter))
        })
    }

    /// Where it is reached.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Connections accepted so far.
    pub fn connections(&self) -> u64 {
        self.connections.get()
    }

    /// Orders that asked for more than it has room for.
    pub fn overruns(&self) -> u64 {
        self.overruns.get()
    }

    fn note(&self, seen: ServerEvent) {
        self.seen.borrow_mut().push(seen);
    }

    async fn accept(self: Rc<Self>, listener: TcpListener) {
        while let Some(stream) = self.accept_one(&listener).await {
            self.connections.set(self.connections.get() + 1);
            compio::runtime::spawn(self.clone().serve(stream)).detach();
        }
    }

    /// Waits for a connection; `None` once the server is dead. A wait that is given up loses the
    /// connection that came in the same moment, so that it is given up only then.
    async fn accept_one(&self, listener: &TcpListener) -> Option<TcpStream> {
        let mut accept = Box::pin(listener.accept());
        while !self.is_dead.get() {
            match compio::time::timeout(DEATH_POLL, accept.as_mut()).await {
                Ok(Ok((stream, _))) => return Some(stream),
                Ok(Err(_)) => accept = Box::pin(listener.accept()),
                Err(_elapsed) => {}
            }
        }
        None
    }

    async fn serve(self: Rc<Self>, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut read = Vec::new();
        while let Some(call) = self.read_call(&mut stream, &mut read).await {
            for act in self.answer(&call) {
                let goes_on = match act {
                    ScriptStep::Write(bytes) => stream.write_all(bytes).await.0.is_ok(),
                    ScriptStep::Wait(time) => self.wait(&mut stream, &mut read, time).await,
                    ScriptStep::Close => false,
                    ScriptStep::Reset => {
                        // With nothing to linger for, closing it sends a reset.
                        let _ = stream.set_zero_linger();
                        false
                    }
                };
                if !goes_on || self.is_dead.get() {
                    let id = call.header("x-attempt-id").to_owned();
                    self.note(ServerEvent::Left(id, Instant::now()));
                    return;
                }
            }
        }
    }

    /// Waits; false if the other end left.
    async fn wait(&self, stream: &mut TcpStream, read: &mut Vec<u8>, time: Duration) -> bool {
        let until = Instant::now() + time;
        loop {
            let more = pin!(stream.read(Vec::with_capacity(CHUNK_BYTES)));
            let sleep = pin!(compio::time::sleep_until(until));
            match select(more, sleep).await {
                Either::Left((BufResult(Ok(count), bytes), _)) if count > 0 => read.extend(bytes),
                Either::Left(_) => return false,
                Either::Right(_) => return true,
            }
        }
    }

    async fn read_call(
        &self,
        stream: &mut TcpStream,
        read: &mut Vec<u8>,
    ) -> Option<ReceivedRequest> {
        loop {
            if let Some((call, length)) = parse(read) {
                read.drain(..length);
                return Some(call);
            }
            let BufResult(count, bytes) = self.read_more(stream).await?;
            if count.ok()? == 0 {
                return None;
            }
            read.extend(bytes);
        }
    }

    /// Reads what comes; `None` once the server is dead.
    async fn read_more(&self, stream: &mut TcpStream) -> Option<BufResult<usize, Vec<u8>>> {
        let mut more = pin!(stream.read(Vec::with_capacity(CHUNK_BYTES)));
        while !self.is_dead.get() {
            if let Ok(read) = compio::time::timeout(DEATH_POLL, more.as_mut()).await {
                return Some(read);
            }
        }
        None
    }

    fn answer(&self, call: &ReceivedRequest) -> Vec<ScriptStep> {
        match call.path.as_str() {
            "/-/report" => return bare(200, "", &self.report().to_string()),
            "/-/order" => return self.take_order(call),
            _ => {}
        }
        let expected = call.header("x-expect-instance");
        let (model, adapter) = match call.header("x-model").split_once('/') {
            Some((model, adapter)) => (model, Some(adapter)),
            None => (call.header("x-model"), None),
        };
        let is_meant = expected.is_empty() || expected == self.id;
        if !is_meant || (!model.is_empty() && !self.holds(model, adapter)) {
            self.note(ServerEvent::Refused(call.clone()));
            return bare(421, &format!("X-Instance-Id: {}\r\n", self.id), "");
        }
        self.note(ServerEvent::Ran(call.clone()));
        if let Some(script) = self.scripts.borrow_mut().pop_front() {
            return script(call);
        }
        match &*self.script.borrow() {
            Some(script) => script(call),
            None => vec![ScriptStep::Write(signed_answer(
                call.header("x-attempt-id"),
                200,
                &format!("{} says {}", self.id, call.path),
            ))],
        }
    }

    fn report(&self) -> Value {
        json!({
            "stage": "colocated",
            "models": self.models(),
            "busy": false,
            "sequence": self.orders.get(),
            "born": self.started_ms.get(),
            "waiting": 0,
            "running": 0,
            "kv_used": 0,
            "kv_total": 158_674,
            "handles": 0,
        })
    }

    fn take_order(&self, call: &ReceivedRequest) -> Vec<ScriptStep> {
        let order: Value = serde_json::from_slice(&call.body).unwrap_or(Value::Null);
        let status = self.judge(&order);
        self.note(ServerEvent::Order(order, status));
        bare(status, "", "")
    }

    fn judge(&self, order: &Value) -> u16 {
        let (Some(fence), Some(model)) = (order["fence_token"].as_u64(), order["model"].as_str())
        else {
            return 400;
        };
        if fence < self.fence.get() {
            return 412;
        }
        self.fence.set(fence);
        let expected = order["precondition"].as_u64();
        if expected.is_some_and(|expected| expected != self.orders.get()) {
            return 409;
        }
        let adapter = order["adapter"].as_str();
        let is_load = order["operation"] == "loading";
        if self.holds(model, adapter) == is_load {
            return 200;
        }
        self.orders.set(self.orders.get() + 1);
        let mut holds = self.holds.borrow_mut();
        match (adapter, is_load) {
            (None, true) => holds.push((model.to_owned(), Vec::new())),
            (None, false) => holds.retain(|(name, _)| name != model),
            (Some(adapter), is_load) => {
                for (_, adapters) in holds.iter_mut().filter(|(name, _)| name == model) {
                    adapters.retain(|name| name != adapter);
                    if is_load {
                        adapters.push(adapter.to_owned());
                    }
                }
            }
        }
        let adapters: usize = holds.iter().map(|(_, adapters)| adapters.len()).sum();
        if holds.len() > 2 || adapters > 8 {
            self.overruns.set(self.overruns.get() + 1);
        }
        // An adapter out of use is dropped at once.
        if adapter.is_some() && !is_load {
            200
        } else {
            202
        }
    }
}

/// A request and its length, once it is there whole.
fn parse(bytes: &[u8]) -> Option<(ReceivedRequest, usize)> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let httparse::Status::Complete(head) = request.parse(bytes).ok()? else {
        return None;
    };
    let headers: HashMap<String, String> = request
        .headers
        .iter()
        .map(|header| {
            let value = String::from_utf8_lossy(header.value).into_owned();
            (header.name.to_ascii_lowercase(), value)
        })
        .collect();
    let length: usize = headers
        .get("content-length")
        .and_then(|length| length.parse().ok())
        .unwrap_or(0);
    let body = bytes.get(head..head + length)?.to_vec();
    let call = ReceivedRequest {
        method: request.method?.to_owned(),
        path: request.path?.to_owned(),
        headers,
        body,
    };
    Some((call, head + length))
}
