//! HTTP front end for callers: routing, concurrency limits, answers and streaming.

use crate::client_memory::{
    BodyError, COVERED_BYTES, ClientAccount, ClientMemory, REQUEST_BYTES, Reservation,
    SERVER_BYTES, read_request_body,
};
use crate::completion::{
    AnswerPart, COMPLETIONS_PATH, Completion, CompletionRequest, CompletionServices,
};
use crate::config::Config;
use crate::error::{Failure, Kind, Ran};
use crate::events::{Event, emit};
use crate::http::{AnswerSender, Body, closing, discard_body, json_response};
use crate::inventory::{Inventory, Name, PlainService, Priority};
use crate::membership::Membership;
use crate::metrics::{Metrics, RequestLabels};
use crate::plain_service::{PlainServiceClient, ServiceCall};
use crate::request_headers::{
    CallerProfile, authenticate, deadline_ms, fingerprint, idempotency_key, request_id,
};
use crate::retry::RetryBudget;
use crate::router::Target;
use crate::server::{ControlStream, KeyStream};
use crate::server_sockets::{ServerSocket, ServerSockets};
use crate::service_registry::{Service, ServiceRegistry};
use crate::shutdown::{Shutdown, WorkGuard};
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::http::Extensions;
use hyper::{Method, Request, Response, StatusCode, header};
use serde_json::{Map, Value, json};
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Number of events buffered for a caller that reads slowly.
const STREAM_BUFFER_EVENTS: usize = 16;
/// How long sending one event to a caller may block before the caller counts as gone.
const CALLER_READ_TIMEOUT: Duration = Duration::from_secs(30);

/// The pause between a stream's error event and closing the connection, so that the event is sent.
const ERROR_FLUSH_DELAY: Duration = Duration::from_millis(50);
/// How long the rest of the body of a refused request is discarded.
const REFUSED_BODY_LIMIT: Duration = Duration::from_secs(2);
/// What a JSON document takes once it is parsed, in bytes: for each of its own, and for each value.
const PARSED_BYTES_PER_BYTE: usize = 3;
const PARSED_BYTES_PER_VALUE: usize = 64;
/// How long a caller may take to send a request's body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// The SSE comment sent while the engine has no token; it keeps the caller's connection alive.
const KEEP_ALIVE_COMMENT: &[u8] = b": waiting\n\n";

/// Handles the requests of callers at one VM.
pub(crate) struct Entry {
    control: Rc<ControlStream>,
    keys: Rc<KeyStream>,
    completion_services: Rc<CompletionServices>,
    plain_services: Rc<PlainServiceClient>,
    metrics: Rc<Metrics>,
    shutdown: Rc<Shutdown>,
    membership: Rc<Membership>,
    client_memory: Rc<ClientMemory>,
    server_sockets: ServerSockets,
    in_flight: RefCell<HashMap<Name, u32>>,
    max_body_bytes: usize,
}

impl Service for Entry {
    const NAME: &'static str = "entry";
}

/// Counts a caller's request as in flight until dropped.
struct InFlightGuard {
    entry: Rc<Entry>,
    caller: Name,
    _open: WorkGuard,
    _socket: ServerSocket,
    _memory: Reservation,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        if let Some(in_flight) = self.entry.in_flight.borrow_mut().get_mut(&self.caller) {
            *in_flight -= 1;
        }
    }
}

impl Entry {
    /// Creates an entry from the services registered in `registry`.
    pub(crate) fn new(registry: &ServiceRegistry, config: &Config) -> Self {
        Self {
            control: registry.find(),
            keys: registry.find(),
            completion_services: Rc::new(CompletionServices {
                router: registry.find(),
                pool: Rc::default(),
                budget: RetryBudget::default(),
                quarantine: registry.find(),
            }),
            plain_services: registry.find(),
            metrics: registry.find(),
            shutdown: registry.find(),
            membership: registry.find(),
            client_memory: registry.find(),
            server_sockets: ServerSockets::new(config.sockets().max_shared),
            in_flight: RefCell::default(),
            max_body_bytes: config.max_body_bytes,
        }
    }

    /// Whether this VM can accept requests, that is, has a configuration from the log or a peer.
    ///
    /// The VM stays ready while the log is down: it then refuses only calls that require an
    /// idempotency key.
    pub(crate) fn is_ready(&self) -> bool {
        self.control.has_usable_state()
            && (self.keys.is_ready() || self.keys.is_cut_off())
            && self.control.with(|control| control.revision > 0)
    }

    /// Answers one request; every answer carries the request id in `x-request-id`.
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
                match failure.kind {
                    // What its connection takes may be needed for others.
                    Kind::Overloaded => closing(failure.to_response()),
                    _ => failure.to_response(),
                }
            }
        };
        let id = header::HeaderValue::from_str(&id).expect("request ids are valid header values");
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
        let caller = authenticate(&inventory, request.headers())?;
        match (request.method(), request.uri().path()) {
            (&Method::POST, COMPLETIONS_PATH) => self.handle_completion(request, id, caller).await,
            (&Method::GET, "/v1/models") => Ok(models(&inventory)),
            (_, path) => match inventory.service_for(path) {
                Some(service) => {
                    self.call_service(request, id, caller, service.clone())
                        .await
                }
                None => Err(Failure::new(Kind::NotFound, format!("no route for {path}"))),
            },
        }
    }

    /// Returns the health answer for the load balancer.
    ///
    /// It turns to 503 as soon as the VM begins to leave, while requests are still accepted.
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

    /// Counts a request against its caller's concurrency limit.
    ///
    /// # Errors
    ///
    /// Fails if the caller or this VM has reached its limit.
    async fn count_in_flight(
        self: &Rc<Self>,
        caller: &CallerProfile,
        account: &ClientAccount,
    ) -> Result<InFlightGuard, Failure> {
        let overloaded = |message| Failure::new(Kind::Overloaded, message);
        let socket = self.server_sockets.take(self.client_memory.connections());
        let socket = socket.ok_or_else(|| overloaded("this VM has too many open connections"))?;
        let mut memory = account.reservation();
        if !memory.grow_to_or_fail(REQUEST_BYTES + SERVER_BYTES).await {
            return Err(overloaded("this VM has no memory for another request now"));
        }
        let mut all = self.in_flight.borrow_mut();
        let in_flight = all.entry(caller.name.clone()).or_default();
        if caller.max_concurrent > 0 && *in_flight >= caller.max_concurrent {
            let message = format!(
                "{} has {in_flight} requests in flight, which is its limit",
                caller.name
            );
            return Err(Failure::new(Kind::Overloaded, message));
        }
        *in_flight += 1;
        Ok(InFlightGuard {
            entry: self.clone(),
            caller: caller.name.clone(),
            _open: self.shutdown.enter(),
            _socket: socket,
            _memory: memory,
        })
    }

    /// What is held for the client that sent a request.
    fn account_of(&self, extensions: &Extensions) -> ClientAccount {
        let account = extensions.get::<ClientAccount>().cloned();
        account.unwrap_or_else(|| self.client_memory.account())
    }

    async fn read_request_body(
        &self,
        mut body: Incoming,
        account: &ClientAccount,
    ) -> Result<Bytes, Failure> {
        let limit_bytes = self.max_body_bytes;
        let reading = read_request_body(&mut body, limit_bytes, account);
        let (kind, message) = match compio::time::timeout(BODY_TIMEOUT, reading).await {
            Ok(Ok(bytes)) => return Ok(bytes),
            Ok(Err(BodyError::TooLong)) => {
                let message = format!("the request body is larger than {limit_bytes} bytes");
                (Kind::TooLarge, message)
            }
            Ok(Err(BodyError::NoRoom)) => {
                let message = "this VM has no memory for the request body now";
                (Kind::Overloaded, message.to_owned())
            }
            Ok(Err(BodyError::Broken)) => {
                (Kind::Malformed, "the request body ended early".to_owned())
            }
            Err(_elapsed) => (
                Kind::BodyTimeout,
                "the request body did not arrive in time".to_owned(),
            ),
        };
        discard_body(body, REFUSED_BODY_LIMIT, Some(account));
        Err(Failure::new(kind, message))
    }

    async fn call_service(
        self: Rc<Self>,
        request: Request<Incoming>,
        id: &Name,
        caller: CallerProfile,
        service: PlainService,
    ) -> Result<Response<Body>, Failure> {
        let (parts, body) = request.into_parts();
        let account = self.account_of(&parts.extensions);
        let _guard = self.count_in_flight(&caller, &account).await?;
        let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
        let call = ServiceCall {
            id: id.clone(),
            caller: caller.name.clone(),
            method: parts.method.clone(),
            path: path.into(),
            body: self.read_request_body(body, &account).await?,
            account,
        };
        let safe = matches!(parts.method, Method::GET | Method::HEAD | Method::OPTIONS);
        let outcome = if safe || service.idempotent {
            self.plain_services.call_idempotent(&service, call).await
        } else {
            let key = idempotency_key(&parts.headers)?;
            self.plain_services
                .clone()
                .call_at_most_once(service, call, key)
                .await
        };
        self.count_outcome(caller.priority, outcome.as_ref().err());
        outcome
    }

    fn count_outcome(&self, priority: Priority, failure: Option<&Failure>) {
        let outcome = failure.map_or("complete", |failure| failure.kind.answer().code);
        let labels = RequestLabels {
            priority: priority.as_str(),
            outcome,
        };
        self.metrics.requests.get_or_create(&labels).inc();
    }

    async fn handle_completion(
        self: Rc<Self>,
        request: Request<Incoming>,
        id: &Name,
        caller: CallerProfile,
    ) -> Result<Response<Body>, Failure> {
        let account = self.account_of(request.extensions());
        let guard = self.count_in_flight(&caller, &account).await?;
        let started = Instant::now();
        let deadline_ms = deadline_ms(request.headers())?.unwrap_or(caller.deadline_ms);
        let bytes = self
            .read_request_body(request.into_body(), &account)
            .await?;
        let mut parsed = account.reservation();
        if !parsed.grow_to_or_fail(parsed_bytes(&bytes)).await {
            let message = "this VM has no memory for the request body now";
            return Err(Failure::new(Kind::Overloaded, message));
        }
        let body: Map<String, Value> = serde_json::from_slice(&bytes).map_err(|error| {
            Failure::new(
                Kind::Malformed,
                format!("the request body is not a JSON object: {error}"),
            )
        })?;
        drop(bytes);
        let streamed = body.get("stream").and_then(Value::as_bool).unwrap_or(false);
        let target = self.resolve_target(&body)?;
        let completion_request = CompletionRequest {
            id: id.clone(),
            fingerprint: fingerprint(&body),
            target,
            body,
            priority: caller.priority,
            deadline: started + Duration::from_millis(deadline_ms),
            first_token_by: caller
                .first_token_ms
                .map(|time_ms| started + Duration::from_millis(time_ms)),
        };
        self.completion_services
            .router
            .note_arrival(&completion_request);
        if let Err(failure) = self.completion_services.router.admit(&completion_request) {
            self.count_outcome(caller.priority, Some(&failure));
            return Err(failure);
        }
        let mut completion = Completion::new(self.completion_services.clone(), completion_request);
        let first = match completion.next().await {
            Ok(part) => part,
            Err(failure) => {
                self.count_outcome(caller.priority, Some(&failure));
                return Err(failure);
            }
        };
        let first_token_at = Instant::now();
        self.metrics
            .first_token
            .observe(started.elapsed().as_secs_f64());
        let answer = CompletionAnswer {
            entry: self.clone(),
            id: id.clone(),
            priority: caller.priority,
            started,
            first_token_at,
            completion,
            account,
            _parsed: parsed,
            _guard: guard,
        };
        if streamed {
            Ok(answer.stream(first))
        } else {
            answer.collect(first).await
        }
    }

    fn resolve_target(&self, body: &Map<String, Value>) -> Result<Target, Failure> {
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

/// A completion and what is needed to answer its caller and to record the outcome.
struct CompletionAnswer {
    entry: Rc<Entry>,
    id: Name,
    priority: Priority,
    started: Instant,
    first_token_at: Instant,
    completion: Completion,
    account: ClientAccount,
    /// What is reserved for the body of the request.
    _parsed: Reservation,
    _guard: InFlightGuard,
}

impl CompletionAnswer {
    /// Answers with a stream that passes events on as they arrive.
    fn stream(self, first: AnswerPart) -> Response<Body> {
        let (sender, body) = Body::answer(STREAM_BUFFER_EVENTS);
        compio::runtime::spawn(self.relay(first, sender)).detach();
        let mut response = Response::new(body);
        response.headers_mut().insert(
            header::CONTENT_TYPE,
            header::HeaderValue::from_static("text/event-stream"),
        );
        response
    }

    /// Relays the parts of the answer until the last.
    ///
    /// Dropping `sender` before `mark_complete` closes the caller's connection in mid-stream.
    async fn relay(mut self, first: AnswerPart, mut sender: AnswerSender) {
        let mut part = Ok(first);
        loop {
            let (bytes, last) = match &part {
                Ok(
                    AnswerPart::Token(event, _)
                    | AnswerPart::Finish(event, _)
                    | AnswerPart::Other(event),
                ) => (event.clone(), false),
                Ok(AnswerPart::KeepAlive) => (Bytes::from_static(KEEP_ALIVE_COMMENT), false),
                Ok(AnswerPart::Done(event)) => (event.clone(), true),
                Err(failure) => (error_event(failure), true),
            };
            let sending = async {
                let bytes = hold_event(&self.account, bytes).await;
                sender.send(bytes).await
            };
            let sent = compio::time::timeout(CALLER_READ_TIMEOUT, sending).await;
            if sent != Ok(true) {
                return self.record_end("caller_gone", None);
            }
            if last {
                break;
            }
            part = self.completion.next().await;
        }
        match part {
            Ok(_) => {
                sender.mark_complete();
                self.record_end("complete", None);
            }
            Err(failure) => {
                // Leaves time to send the error event before the connection is closed.
                compio::time::sleep(ERROR_FLUSH_DELAY).await;
                self.record_end(failure.kind.answer().code, Some(&failure));
            }
        }
    }

    /// Reads the whole answer and returns it as one JSON object.
    async fn collect(mut self, first: AnswerPart) -> Result<Response<Body>, Failure> {
        let mut memory = self.account.reservation();
        let mut text = String::new();
        let mut finish = String::new();
        let mut part = first;
        loop {
            match part {
                AnswerPart::Token(_, token) => text.push_str(&token),
                AnswerPart::Finish(_, reason) => finish = reason,
                AnswerPart::Other(_) | AnswerPart::KeepAlive => {}
                AnswerPart::Done(_) => break,
            }
            // The text, the document with it, and its serialized form.
            let held_bytes = 3 * text.capacity();
            if held_bytes > COVERED_BYTES && !memory.grow_to_or_fail(held_bytes).await {
                let message = "this VM has no memory for the rest of the answer";
                let failure = Failure::new(Kind::Overloaded, message).ran(Ran::Yes);
                self.record_end(failure.kind.answer().code, Some(&failure));
                return Err(failure);
            }
            part = match self.completion.next().await {
                Ok(part) => part,
                Err(failure) => {
                    self.record_end(failure.kind.answer().code, Some(&failure));
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
        self.record_end("complete", None);
        let response = json_response(StatusCode::OK, &body);
        Ok(response.map(|body| body.held_by(memory)))
    }

    fn record_end(&self, outcome: &str, failure: Option<&Failure>) {
        let (resumes, attempts) = self.completion.attempt_counts();
        let metrics = &self.entry.metrics;
        metrics.tokens.inc_by(self.completion.tokens().into());
        metrics.resumes.inc_by(resumes.into());
        metrics.retries.inc_by(attempts.saturating_sub(1).into());
        self.entry.count_outcome(self.priority, failure);
        if outcome == "complete" {
            let streaming = self.first_token_at.elapsed();
            let tokens = self.completion.tokens();
            self.entry
                .completion_services
                .router
                .note_answer(tokens, streaming);
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

/// What a JSON document takes at most once it is parsed and sent on.
fn parsed_bytes(document: &[u8]) -> usize {
    let is_separator = |byte: &&u8| matches!(**byte, b',' | b'[' | b'{');
    let values = document.iter().filter(is_separator).count();
    document.len() * PARSED_BYTES_PER_BYTE + values * PARSED_BYTES_PER_VALUE
}

/// Waits until there is memory for an event that a caller has not read yet.
async fn hold_event(account: &ClientAccount, event: Bytes) -> Bytes {
    if event.len() <= COVERED_BYTES {
        return event;
    }
    let mut memory = account.reservation();
    memory.grow_to(event.len()).await;
    memory.hold(Bytes::copy_from_slice(&event))
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
