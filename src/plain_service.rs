//! Calls to plain services, and non-idempotent ones at most once.
//!
//! A non-idempotent call needs an idempotency key. The key is claimed in the
//! log before anything is sent, and only the first claim may send, once, on a
//! connection of its own. After that the outcome is what the service answered,
//! or unknown; it is never sent again.

use crate::client::{Connection, SendError};
use crate::engine::request;
use crate::error::{Failure, Kind, Ran};
use crate::events::{Event, emit};
use crate::http::{Body, read_body};
use crate::idempotency::{KeyCommand, KeyHash, KeyVerdict, KeyWindow, Reply};
use crate::inventory::{BackendServer, Name, PlainService};
use crate::membership::Membership;
use crate::server::{ControlStream, KeyStream};
use crate::service_registry::Service;
use crate::shutdown::Shutdown;
use bytes::Bytes;
use futures_channel::oneshot;
use hyper::{Method, Response, StatusCode, header};
use std::cell::Cell;
use std::net::SocketAddr;
use std::num::NonZeroU64;
use std::rc::Rc;
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::{xxh3_64, xxh3_128};

/// How long a connection to a service may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long the log may take to tell who claimed a key.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long to wait for the outcome of a call that is under way.
const OUTCOME_WAIT: Duration = Duration::from_millis(3_000);
/// The largest answer of a service, in bytes.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;
/// The largest body kept for repeats, in bytes.
const MAX_KEPT_BYTES: usize = 4 * 1024;
/// Attempts at an idempotent call.
const IDEMPOTENT_ATTEMPTS: usize = 3;
/// Claims that one call may make, when the key is given back before it.
const MAX_CLAIMS: usize = 3;
/// Attempts to record what became of a claim.
const RECORD_ATTEMPTS: u32 = 60;
/// The pause between them.
const RECORD_PAUSE: Duration = Duration::from_millis(1_000);

/// A call to a plain service.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    /// Names the request through every process.
    pub(crate) id: Name,
    /// Who calls.
    pub(crate) caller: Name,
    /// The method.
    pub(crate) method: Method,
    /// The path with its query.
    pub(crate) path: Name,
    /// The body.
    pub(crate) body: Bytes,
}

/// An idempotency key with the time of its making.
#[derive(Clone, Debug)]
pub(crate) struct IdempotencyKey {
    /// The key as the caller sent it.
    pub(crate) text: Name,
    /// When it was made, in milliseconds since the epoch.
    pub(crate) made_at_ms: u64,
}

impl IdempotencyKey {
    /// Reads a key; its time is in a version 7 UUID, or in `time_ms`.
    pub(crate) fn parse(text: &str, time_ms: Option<&str>) -> Result<Self, Failure> {
        if text.is_empty() || text.len() > 128 || !text.bytes().all(|byte| byte.is_ascii_graphic())
        {
            return Err(Failure::new(
                Kind::Malformed,
                "Idempotency-Key must be 1 to 128 visible ASCII characters",
            ));
        }
        let made_at_ms = match time_ms {
            Some(time_ms) => time_ms.parse().ok(),
            None => uuid::Uuid::parse_str(text)
                .ok()
                .and_then(|uuid| uuid.get_timestamp())
                .map(|time| {
                    let (seconds, nanos) = time.to_unix();
                    seconds * 1_000 + u64::from(nanos) / 1_000_000
                }),
        };
        let made_at_ms = made_at_ms.ok_or_else(|| {
            Failure::new(
                Kind::Malformed,
                "Idempotency-Key must be a version 7 UUID, or come with Idempotency-Time in \
                 milliseconds since 1970",
            )
        })?;
        Ok(Self {
            text: text.into(),
            made_at_ms,
        })
    }
}

/// Gives calls to plain services.
pub(crate) struct PlainServiceClient {
    control: Rc<ControlStream>,
    keys: Rc<KeyStream>,
    membership: Rc<Membership>,
    shutdown: Rc<Shutdown>,
    window: KeyWindow,
    turn: Cell<usize>,
}

impl Service for PlainServiceClient {
    const NAME: &'static str = "plain_calls";
}

/// How one attempt ended.
enum Attempt {
    Answered(StatusCode, Name, Bytes),
    NotSent,
    Unknown,
}

impl PlainServiceClient {
    /// Calls over the services it reads.
    pub(crate) fn new(
        control: Rc<ControlStream>,
        keys: Rc<KeyStream>,
        membership: Rc<Membership>,
        shutdown: Rc<Shutdown>,
        window: KeyWindow,
    ) -> Self {
        Self {
            control,
            keys,
            membership,
            shutdown,
            window,
            turn: Cell::new(0),
        }
    }

    /// Gives a call that may be repeated, again on another server if need be.
    pub(crate) async fn call_idempotent(
        &self,
        service: &PlainService,
        call: Call,
    ) -> Result<Response<Body>, Failure> {
        let mut ran = false;
        for server in self
            .servers(service)
            .await
            .into_iter()
            .take(IDEMPOTENT_ATTEMPTS)
        {
            match self.attempt(service, &server, &call).await {
                Attempt::Answered(status, content_type, body) => {
                    return Ok(answer(status, &content_type, body));
                }
                Attempt::NotSent => {}
                Attempt::Unknown => ran = true,
            }
        }
        let failure = Failure::new(Kind::Unavailable, "no server of the service answers");
        Err(if ran { failure.ran(Ran::Yes) } else { failure })
    }

    /// Gives a non-idempotent call at most once.
    ///
    /// The call goes on when the caller hangs up, so that its outcome is kept.
    pub(crate) async fn call_once(
        self: Rc<Self>,
        service: PlainService,
        call: Call,
        key: IdempotencyKey,
    ) -> Result<Response<Body>, Failure> {
        let (sender, receiver) = oneshot::channel();
        let guard = self.shutdown.enter();
        compio::runtime::spawn(async move {
            let _guard = guard;
            let outcome = self.claim_and_send(&service, &call, &key).await;
            // The caller may be gone; the outcome is in the log.
            let _ = sender.send(outcome);
        })
        .detach();
        receiver
            .await
            .unwrap_or_else(|_gone| Err(Failure::new(Kind::OutcomeUnknown, "the call was lost")))
    }

    async fn claim_and_send(
        self: &Rc<Self>,
        service: &PlainService,
        call: &Call,
        key: &IdempotencyKey,
    ) -> Result<Response<Body>, Failure> {
        let hash = key_hash(service, call, key);
        let digest = call_digest(call, key);
        for _ in 0..MAX_CLAIMS {
            let known = match self.keys.with(|keys| keys.lookup(hash, digest)) {
                Some(known) => known,
                None => match self.claim(hash, digest, key.made_at_ms).await? {
                    (KeyVerdict::First, claim) => {
                        return self.send_once(service, call, hash, claim).await;
                    }
                    (known, _) => known,
                },
            };
            if let Some(outcome) = self.outcome_of(hash, digest, known).await {
                return outcome;
            }
        }
        let message = "other calls with this key were refused; this one was not made";
        Err(Failure::new(Kind::Overloaded, message))
    }

    /// Claims a key; a claim that is not known in time is given back if it comes to be.
    async fn claim(
        self: &Rc<Self>,
        key: KeyHash,
        digest: u64,
        made_at_ms: u64,
    ) -> Result<(KeyVerdict, u64), Failure> {
        let command = KeyCommand::Claim {
            key,
            digest,
            made_at_ms,
            window: self.window,
        };
        let (sender, mut receiver) = oneshot::channel();
        let calls = self.clone();
        let deadline = Instant::now() + CLAIM_TIMEOUT;
        compio::runtime::spawn(async move {
            let Ok(recorded) = calls.keys.propose_by(command, deadline).await else {
                return;
            };
            let claim = recorded.position.fence;
            let first = recorded.verdict == KeyVerdict::First;
            if sender.send((recorded.verdict, claim)).is_err() && first {
                calls.release(key, claim).await;
            }
        })
        .detach();
        let unavailable = || {
            Failure::new(
                Kind::LogUnavailable,
                "the platform's log does not take the key now; the call was not made",
            )
        };
        match compio::time::timeout(CLAIM_TIMEOUT, &mut receiver).await {
            Ok(known) => known.map_err(|_not_recorded| unavailable()),
            Err(_elapsed) => {
                // From here on the claim is given back, unless it was known just now.
                receiver.close();
                let known = receiver.try_recv().ok().flatten();
                known.ok_or_else(unavailable)
            }
        }
    }

    /// Gives a key back whose call was not sent and never will be.
    async fn release(&self, key: KeyHash, claim: u64) {
        self.record(KeyCommand::Release { key, claim }).await;
    }

    /// Records what became of a claim, also when the log is down for a while.
    ///
    /// Without the record, repeats are told that the outcome is unknown.
    async fn record(&self, command: KeyCommand) {
        let _guard = self.shutdown.enter();
        for _ in 0..RECORD_ATTEMPTS {
            if self.keys.propose(command.clone()).await.is_ok() {
                return;
            }
            compio::time::sleep(RECORD_PAUSE).await;
        }
    }

    async fn send_once(
        self: &Rc<Self>,
        service: &PlainService,
        call: &Call,
        key: KeyHash,
        claim: u64,
    ) -> Result<Response<Body>, Failure> {
        for server in self.servers(service).await {
            match self.attempt(service, &server, call).await {
                Attempt::Answered(status, content_type, body) => {
                    self.keep_reply(key, claim, status, &content_type, &body);
                    return Ok(answer(status, &content_type, body));
                }
                Attempt::NotSent => {}
                Attempt::Unknown => {
                    return Err(Failure::new(
                        Kind::OutcomeUnknown,
                        "the call was sent, and no answer came; it will not be sent again",
                    ));
                }
            }
        }
        let calls = self.clone();
        compio::runtime::spawn(async move { calls.release(key, claim).await }).detach();
        Err(Failure::new(
            Kind::Unavailable,
            "no server of the service takes the call",
        ))
    }

    fn keep_reply(
        self: &Rc<Self>,
        key: KeyHash,
        claim: u64,
        status: StatusCode,
        content_type: &Name,
        body: &Bytes,
    ) {
        let text = std::str::from_utf8(body).ok();
        let reply = Rc::new(Reply {
            status: status.as_u16(),
            content_type: content_type.clone(),
            body: text
                .filter(|text| text.len() <= MAX_KEPT_BYTES)
                .map(Name::from),
        });
        let calls = self.clone();
        let command = KeyCommand::Reply { key, claim, reply };
        compio::runtime::spawn(async move { calls.record(command).await }).detach();
    }

    /// The answer to a repeat of a key; none if the key was given back.
    async fn outcome_of(
        &self,
        key: KeyHash,
        digest: u64,
        known: KeyVerdict,
    ) -> Option<Result<Response<Body>, Failure>> {
        match known {
            KeyVerdict::Replied(fence) => Some(self.kept_reply(fence).await),
            KeyVerdict::Mismatch => Some(Err(Failure::new(
                Kind::KeyReused,
                "the idempotency key was used with another request or another time",
            ))),
            KeyVerdict::Expired => Some(Err(Failure::new(
                Kind::KeyExpired,
                "the idempotency key is too old, or from the future",
            ))),
            KeyVerdict::Pending | KeyVerdict::First | KeyVerdict::Processed => {
                self.await_outcome(key, digest).await
            }
        }
    }

    /// The answer recorded at a fence, from the log if it is no longer at hand.
    async fn kept_reply(&self, fence: NonZeroU64) -> Result<Response<Body>, Failure> {
        if let Some(reply) = self.keys.with(|keys| keys.recent_reply(fence)) {
            return answer_reply(&reply);
        }
        if let Ok(Some(KeyCommand::Reply { reply, .. })) = self.keys.command_at(fence.get()).await {
            return answer_reply(&reply);
        }
        let message = "the call with this key ran; its answer cannot be read from the log now";
        let failure = Failure::new(Kind::OutcomeUnknown, message);
        Err(failure.ran(Ran::Yes).retry_after_s(5))
    }

    async fn await_outcome(
        &self,
        key: KeyHash,
        digest: u64,
    ) -> Option<Result<Response<Body>, Failure>> {
        let start = Instant::now();
        while start.elapsed() < OUTCOME_WAIT {
            let changed = self.keys.changed();
            if let KeyVerdict::Replied(fence) = self.keys.with(|keys| keys.lookup(key, digest))? {
                return Some(self.kept_reply(fence).await);
            }
            let left = OUTCOME_WAIT.saturating_sub(start.elapsed());
            if compio::time::timeout(left, changed).await.is_err() {
                break;
            }
        }
        let message = "a call with this key was made, and its outcome is not known";
        Some(Err(
            Failure::new(Kind::OutcomeUnknown, message).retry_after_s(5)
        ))
    }

    /// The servers of a service that stay, each call beginning with the next.
    async fn servers(&self, service: &PlainService) -> Vec<BackendServer> {
        if !self.membership.refreshed(&self.control).await {
            return Vec::new();
        }
        let turn = self.turn.get();
        self.turn.set(turn.wrapping_add(1));
        let mut servers: Vec<BackendServer> = self.control.with(|control| {
            service
                .backend_servers
                .iter()
                .filter_map(|name| control.inventory.backend_server(name))
                .filter(|server| !server.leaving)
                .filter(|server| !self.membership.is_server_leaving(&server.name))
                .cloned()
                .collect()
        });
        if !servers.is_empty() {
            let start = turn % servers.len();
            servers.rotate_left(start);
        }
        servers
    }

    /// Sends a call once, on a connection of its own.
    async fn attempt(
        &self,
        service: &PlainService,
        server: &BackendServer,
        call: &Call,
    ) -> Attempt {
        emit(
            Event::CallRouted,
            format_args!(
                "request={} service={} backend_server={}",
                call.id, service.name, server.name
            ),
        );
        let chosen_at = Instant::now();
        let Ok(connection) = Connection::open(server.address, CONNECT_TIMEOUT).await else {
            return Attempt::NotSent;
        };
        if !self
            .membership
            .may_send(&self.control, &server.name, chosen_at)
        {
            return Attempt::NotSent;
        }
        let timeout = Duration::from_millis(service.timeout_ms);
        let exchange = exchange(connection, server.address, call);
        match compio::time::timeout(timeout, exchange).await {
            Ok(attempt) => attempt,
            Err(_elapsed) => Attempt::Unknown,
        }
    }
}

async fn exchange(mut connection: Connection, address: SocketAddr, call: &Call) -> Attempt {
    let mut request = request(
        call.method.clone(),
        address,
        &call.path,
        Body::full(call.body.clone()),
    );
    let id = header::HeaderValue::from_str(&call.id).expect("request ids are checked or made here");
    request.headers_mut().insert("x-request-id", id);
    let response = match connection.send(request).await {
        Ok(response) => response,
        Err(SendError::NotSent) => return Attempt::NotSent,
        Err(SendError::MaybeSent) => return Attempt::Unknown,
    };
    let status = response.status();
    let content_type = response
        .headers()
        .get(header::CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .map_or_else(|| arcstr::literal!("application/octet-stream"), Name::from);
    match read_body(response.into_body(), MAX_ANSWER_BYTES).await {
        Ok(body) => Attempt::Answered(status, content_type, body),
        Err(_) => Attempt::Unknown,
    }
}

fn answer(status: StatusCode, content_type: &str, body: Bytes) -> Response<Body> {
    let mut response = Response::new(Body::full(body));
    *response.status_mut() = status;
    if let Ok(value) = header::HeaderValue::from_str(content_type) {
        response.headers_mut().insert(header::CONTENT_TYPE, value);
    }
    response
}

fn answer_reply(reply: &Reply) -> Result<Response<Body>, Failure> {
    let Some(body) = &reply.body else {
        let message = format!(
            "the call with this key ran, with status {}; its answer was too large to be kept",
            reply.status
        );
        return Err(Failure::new(Kind::OutcomeUnknown, message).ran(Ran::Yes));
    };
    let status = StatusCode::from_u16(reply.status).unwrap_or(StatusCode::OK);
    let body = Bytes::from(body.as_bytes().to_vec());
    let mut response = answer(status, &reply.content_type, body);
    response.headers_mut().insert(
        "idempotent-replayed",
        header::HeaderValue::from_static("true"),
    );
    Ok(response)
}

fn key_hash(service: &PlainService, call: &Call, key: &IdempotencyKey) -> KeyHash {
    let text = format!("{}\n{}\n{}", service.name, call.caller, key.text);
    let hash = xxh3_128(text.as_bytes());
    KeyHash((hash >> 64) as u64, hash as u64)
}

/// Two calls of one key are the same only if their keys' times are, too.
fn call_digest(call: &Call, key: &IdempotencyKey) -> u64 {
    let head = format!("{} {} {}\n", call.method, call.path, key.made_at_ms);
    xxh3_64(&[head.as_bytes(), &call.body[..]].concat())
}
