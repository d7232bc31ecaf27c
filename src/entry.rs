//! The callers' side: routes, limits and answers.

use crate::completion::{Ask, COMPLETIONS_PATH, Completion, Shared, Step};
use crate::error::{Failure, Kind};
use crate::events::{Event, emit};
use crate::http::{AnswerSender, Body, ReadError, json_response, read_body};
use crate::inventory::{Inventory, Name, PlainService, Priority};
use crate::membership::Membership;
use crate::metrics::{Metrics, RequestLabels};
use crate::plain_service::{Call, PlainCalls};
use crate::request_headers::{
    Sender, deadline_ms, fingerprint, idempotency_key, request_id, sender,
};
use crate::retry::RetryBudget;
use crate::router::Target;
use crate::server::{ControlStream, KeyStream};
use crate::service_registry::{Kernel, Service};
use crate::shutdown::{OpenGuard, Shutdown};
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode, header};
use serde_json::{Map, Value, json};
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Events held for a caller that reads slowly.
const STREAM_CAPACITY: usize = 16;
/// How long a caller may take to read one event.
const CALLER_STALL: Duration = Duration::from_secs(30);

/// The pause between a stream's error event and the cut that follows it.
const ERROR_FLUSH: Duration = Duration::from_millis(50);
/// How long a caller may take to send a request's body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// What a caller gets while its engine has no token: it shows that the path lives.
const WAITING_COMMENT: &[u8] = b": waiting\n\n";

/// The callers' entry of one VM.
pub(crate) struct Entry {
    control: Rc<ControlStream>,
    keys: Rc<KeyStream>,
    completions: Rc<Shared>,
    calls: Rc<PlainCalls>,
    metrics: Rc<Metrics>,
    shutdown: Rc<Shutdown>,
    membership: Rc<Membership>,
    open: RefCell<HashMap<Name, u32>>,
    max_body_bytes: usize,
}

impl Service for Entry {
    const NAME: &'static str = "entry";
}

/// Counts a caller's request as open until dropped.
struct CallerGuard {
    entry: Rc<Entry>,
    caller: Name,
    _open: OpenGuard,
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        if let Some(open) = self.entry.open.borrow_mut().get_mut(&self.caller) {
            *open -= 1;
        }
    }
}

impl Entry {
    /// An entry over the services it reads.
    pub(crate) fn new(kernel: &Kernel, max_body_bytes: usize) -> Self {
        Self {
            control: kernel.find(),
            keys: kernel.find(),
            completions: Rc::new(Shared {
                router: kernel.find(),
                pool: Rc::default(),
                budget: RetryBudget::default(),
                quarantine: kernel.find(),
            }),
            calls: kernel.find(),
            metrics: kernel.find(),
            shutdown: kernel.find(),
            membership: kernel.find(),
            open: RefCell::default(),
            max_body_bytes,
        }
    }

    /// Whether this VM can take requests: it knows the configuration.
    ///
    /// While the log is down, calls that need a key are refused, and all others are served.
    pub(crate) fn is_ready(&self) -> bool {
        self.control.has_usable_state()
            && (self.keys.is_ready() || self.keys.is_cut_off())
            && self.control.with(|control| control.revision > 0)
    }

    /// Answers one request.
    pub(crate) async fn handle(self: Rc<Self>, request: Request<Incoming>) -> Response<Body> {
        let id = request_id(request.headers());
        let mut response = match self.clone().route(request, &id).await {
            Ok(response) => response,
            Err(failure) => {
                emit(
                    Event::Refused,
                    format_args!(
                        "request={id} kind={} reason={:?}",
                        failure.kind.answer().code,
                        failure.message
                    ),
                );
                failure.to_response()
            }
        };
        let id = header::HeaderValue::from_str(&id).expect("request ids are checked or made here");
        response.headers_mut().insert("x-request-id", id);
        response
    }

    async fn route(
        self: Rc<Self>,
        request: Request<Incoming>,
        id: &Name,
    ) -> Result<Response<Body>, Failure> {
        if request.method() == Method::GET && request.uri().path() == "/health" {
            return Ok(self.health());
        }
        if !self.is_ready() {
            let message = "this VM has not read the configuration yet";
            return Err(Failure::new(Kind::Unavailable, message));
        }
        let inventory = self.control.with(|control| control.inventory.clone());
        let sender = sender(&inventory, request.headers())?;
        match (request.method(), request.uri().path()) {
            (&Method::POST, COMPLETIONS_PATH) => self.complete(request, id, sender).await,
            (&Method::GET, "/v1/models") => Ok(models(&inventory)),
            (_, path) => match inventory.service_for(path) {
                Some(service) => self.call(request, id, sender, service.clone()).await,
                None => Err(Failure::new(Kind::NotFound, format!("no route for {path}"))),
            },
        }
    }

    /// The balancer's health answer: it fails first when the VM leaves.
    pub(crate) fn health(&self) -> Response<Body> {
        let healthy = self.is_ready() && !self.shutdown.is_leaving();
        let status = if healthy {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        let body = json!({
            "ready": self.is_ready(),
            "leaving": self.shutdown.is_leaving(),
            "warnings": self.membership.warnings(&self.control),
        });
        json_response(status, &body)
    }

    /// Counts a request against its caller's limit.
    fn enter(self: &Rc<Self>, sender: &Sender) -> Result<CallerGuard, Failure> {
        let mut all = self.open.borrow_mut();
        let open = all.entry(sender.name.clone()).or_default();
        if sender.max_concurrent > 0 && *open >= sender.max_concurrent {
            let message = format!("{} has {open} requests open, its limit", sender.name);
            return Err(Failure::new(Kind::Overloaded, message));
        }
        *open += 1;
        Ok(CallerGuard {
            entry: self.clone(),
            caller: sender.name.clone(),
            _open: self.shutdown.enter(),
        })
    }

    async fn read(&self, body: Incoming) -> Result<Bytes, Failure> {
        let limit_bytes = self.max_body_bytes;
        let read = compio::time::timeout(BODY_TIMEOUT, read_body(body, limit_bytes));
        let (kind, message) = match read.await {
            Ok(Ok(bytes)) => return Ok(bytes),
            Ok(Err(ReadError::TooLarge)) => {
                let message = format!("the body is larger than {limit_bytes} bytes");
                (Kind::TooLarge, message)
            }
            Ok(Err(ReadError::Cut)) => (Kind::Malformed, "the body broke off".to_owned()),
            Err(_elapsed) => (Kind::BodyTimeout, "the body did not arrive".to_owned()),
        };
        Err(Failure::new(kind, message))
    }

    async fn call(
        self: Rc<Self>,
        request: Request<Incoming>,
        id: &Name,
        sender: Sender,
        service: PlainService,
    ) -> Result<Response<Body>, Failure> {
        let _guard = self.enter(&sender)?;
        let (parts, body) = request.into_parts();
        let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
        let call = Call {
            id: id.clone(),
            caller: sender.name.clone(),
            method: parts.method.clone(),
            path: path.into(),
            body: self.read(body).await?,
        };
        let safe = matches!(parts.method, Method::GET | Method::HEAD | Method::OPTIONS);
        let outcome = if safe || service.idempotent {
            self.calls.call_idempotent(&service, call).await
        } else {
            let key = idempotency_key(&parts.headers)?;
            self.calls.clone().call_once(service, call, key).await
        };
        self.count(sender.priority, outcome.as_ref().err());
        outcome
    }

    fn count(&self, priority: Priority, failure: Option<&Failure>) {
        let outcome = failure.map_or("complete", |failure| failure.kind.answer().code);
        let labels = RequestLabels {
            priority: priority.as_str(),
            outcome,
        };
        self.metrics.requests.get_or_create(&labels).inc();
    }

    async fn complete(
        self: Rc<Self>,
        request: Request<Incoming>,
        id: &Name,
        sender: Sender,
    ) -> Result<Response<Body>, Failure> {
        let guard = self.enter(&sender)?;
        let started = Instant::now();
        let deadline_ms = deadline_ms(request.headers())?.unwrap_or(sender.deadline_ms);
        let bytes = self.read(request.into_body()).await?;
        let body: Map<String, Value> = serde_json::from_slice(&bytes).map_err(|error| {
            Failure::new(Kind::Malformed, format!("not a JSON object: {error}"))
        })?;
        let streamed = body.get("stream").and_then(Value::as_bool).unwrap_or(false);
        let target = self.target(&body)?;
        let ask = Ask {
            id: id.clone(),
            fingerprint: fingerprint(&body),
            target,
            body,
            priority: sender.priority,
            deadline: started + Duration::from_millis(deadline_ms),
            first_token_by: sender
                .first_token_ms
                .map(|time_ms| started + Duration::from_millis(time_ms)),
        };
        self.completions.router.note_arrival(&ask);
        if let Err(failure) = self.completions.router.admit(&ask) {
            self.count(sender.priority, Some(&failure));
            return Err(failure);
        }
        let mut completion = Completion::new(self.completions.clone(), ask);
        let first = match completion.next().await {
            Ok(step) => step,
            Err(failure) => {
                self.count(sender.priority, Some(&failure));
                return Err(failure);
            }
        };
        let first_token_at = Instant::now();
        self.metrics
            .first_token
            .observe(started.elapsed().as_secs_f64());
        let run = Run {
            entry: self.clone(),
            id: id.clone(),
            priority: sender.priority,
            started,
            first_token_at,
            completion,
            _guard: guard,
        };
        if streamed {
            Ok(run.stream(first))
        } else {
            run.collect(first).await
        }
    }

    fn target(&self, body: &Map<String, Value>) -> Result<Target, Failure> {
        let name = body
            .get("model")
            .and_then(Value::as_str)
            .ok_or_else(|| Failure::new(Kind::Malformed, "model must be a string"))?;
        if !body.get("messages").is_some_and(Value::is_array) {
            return Err(Failure::new(Kind::Malformed, "messages must be an array"));
        }
        self.control
            .with(|control| Target::resolve(control, name))
            .ok_or_else(|| {
                let message = format!("model {name} is not in the inventory");
                Failure::new(Kind::UnknownModel, message)
            })
    }
}

/// A completion with its caller.
struct Run {
    entry: Rc<Entry>,
    id: Name,
    priority: Priority,
    started: Instant,
    first_token_at: Instant,
    completion: Completion,
    _guard: CallerGuard,
}

impl Run {
    /// Passes events on as they come.
    fn stream(self, first: Step) -> Response<Body> {
        let (sender, body) = Body::answer(STREAM_CAPACITY);
        compio::runtime::spawn(self.relay(first, sender)).detach();
        let mut response = Response::new(body);
        response.headers_mut().insert(
            header::CONTENT_TYPE,
            header::HeaderValue::from_static("text/event-stream"),
        );
        response
    }

    /// Relays steps until the last; a sender that is dropped before cuts the connection.
    async fn relay(mut self, first: Step, mut sender: AnswerSender) {
        let mut step = Ok(first);
        loop {
            let (bytes, last) = match &step {
                Ok(Step::Token(event, _) | Step::Finish(event, _) | Step::Other(event)) => {
                    (event.clone(), false)
                }
                Ok(Step::Waiting) => (Bytes::from_static(WAITING_COMMENT), false),
                Ok(Step::Done(event)) => (event.clone(), true),
                Err(failure) => (error_event(failure), true),
            };
            let sent = compio::time::timeout(CALLER_STALL, sender.send(bytes)).await;
            if sent != Ok(true) {
                return self.end("caller_gone", None);
            }
            if last {
                break;
            }
            step = self.completion.next().await;
        }
        match step {
            Ok(_) => {
                sender.end_whole();
                self.end("complete", None);
            }
            Err(failure) => {
                // The error goes out before the cut.
                compio::time::sleep(ERROR_FLUSH).await;
                self.end(failure.kind.answer().code, Some(&failure));
            }
        }
    }

    /// Reads the answer whole.
    async fn collect(mut self, first: Step) -> Result<Response<Body>, Failure> {
        let mut text = String::new();
        let mut finish = String::new();
        let mut step = first;
        loop {
            match step {
                Step::Token(_, token) => text.push_str(&token),
                Step::Finish(_, reason) => finish = reason,
                Step::Other(_) | Step::Waiting => {}
                Step::Done(_) => break,
            }
            step = match self.completion.next().await {
                Ok(step) => step,
                Err(failure) => {
                    self.end(failure.kind.answer().code, Some(&failure));
                    return Err(failure);
                }
            };
        }
        let body = json!({
            "id": format!("chatcmpl-{}", self.id),
            "object": "chat.completion",
            "choices": [{
                "index": 0,
                "message": {"role": "assistant", "content": text},
                "finish_reason": finish,
            }],
            "usage": {"completion_tokens": self.completion.tokens()},
        });
        self.end("complete", None);
        Ok(json_response(StatusCode::OK, &body))
    }

    fn end(&self, outcome: &str, failure: Option<&Failure>) {
        let (resumes, attempts) = self.completion.tries();
        let metrics = &self.entry.metrics;
        metrics.tokens.inc_by(self.completion.tokens().into());
        metrics.resumes.inc_by(resumes.into());
        metrics.retries.inc_by(attempts.saturating_sub(1).into());
        self.entry.count(self.priority, failure);
        if outcome == "complete" {
            let streaming = self.first_token_at.elapsed();
            let tokens = self.completion.tokens();
            self.entry.completions.router.note_answer(tokens, streaming);
        }
        emit(
            Event::Answered,
            format_args!(
                "request={} outcome={outcome} tokens={} duration_ms={}",
                self.id,
                self.completion.tokens(),
                self.started.elapsed().as_millis()
            ),
        );
    }
}

fn error_event(failure: &Failure) -> Bytes {
    format!("data: {}\n\n", failure.to_json()).into()
}

fn models(inventory: &Inventory) -> Response<Body> {
    let mut data = Vec::new();
    for model in &inventory.models {
        data.push(json!({"id": model.name, "object": "model", "owned_by": "inventory"}));
        for adapter in &model.adapters {
            let id = format!("{}/{}", model.name, adapter.name);
            data.push(json!({"id": id, "object": "model", "owned_by": "inventory"}));
        }
    }
    json_response(StatusCode::OK, &json!({"object": "list", "data": data}))
}
