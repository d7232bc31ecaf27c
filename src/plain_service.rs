//! Calls to plain services; non-idempotent calls are sent at most once.
//!
//! A non-idempotent call requires an idempotency key. The key is claimed in the log before the
//! call is sent. Only the holder of the first claim sends the call, once and over a new
//! connection. The outcome is then the service's answer, or unknown if no answer was received;
//! the call is not sent again in either case.

#[cfg(test)]
mod tests;

use crate::client::{Connection, SendError};
use crate::client_memory::{ClientAccount, read_answer};
use crate::engine::build_request;
use crate::error::{Failure, Kind, Ran};
use crate::events::{Event, emit};
use crate::http::Body;
use crate::idempotency::{KeyCommand, KeyHash, KeyVerdict, KeyWindow, Reply};
use crate::inventory::{BackendServer, Name, PlainService};
use crate::membership::Membership;
use crate::response_body::is_final;
use crate::server::{ControlStream, KeyStream};
use crate::service_registry::Service;
use crate::shutdown::Shutdown;
use bytes::Bytes;
use futures_channel::oneshot;
use http_body_util::Limited;
use hyper::{Method, Response, StatusCode, header};
use std::cell::Cell;
use std::net::SocketAddr;
use std::num::NonZeroU64;
use std::rc::Rc;
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::{xxh3_64, xxh3_128};

/// Time limit for connecting to a service.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time limit for the log to return the verdict on a claim.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long a repeated call waits for the outcome of the first call while that is in flight.
const OUTCOME_WAIT: Duration = Duration::from_millis(3_000);
/// The largest answer accepted from a service, in bytes.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;
/// The largest answer body stored in the log for repeated calls, in bytes.
const MAX_STORED_BODY_BYTES: usize = 4 * 1024;
/// Maximum number of servers that an idempotent call is sent to.
const IDEMPOTENT_ATTEMPTS: usize = 3;
/// Maximum number of claims by one call, if other calls claim the key first and release it.
const MAX_CLAIMS: usize = 3;
/// Maximum number of attempts to record the outcome of a claim in the log.
const RECORD_ATTEMPTS: u32 = 60;
/// The pause between two attempts to record an outcome.
const RECORD_RETRY_INTERVAL: Duration = Duration::from_millis(1_000);

/// A call to a plain service.
#[derive(Clone, Debug)]
pub(crate) struct ServiceCall {
    /// The request id, which is passed on to the service.
    pub(crate) id: Name,
    /// The caller's name.
    pub(crate) caller: Name,
    /// The HTTP method.
    pub(crate) method: Method,
    /// The path with its query.
    pub(crate) path: Name,
    /// The request body.
    pub(crate) body: Bytes,
    /// What is held for the client.
    pub(crate) account: ClientAccount,
}

/// An idempotency key and its creation time.
#[derive(Clone, Debug)]
pub(crate) struct IdempotencyKey {
    /// The key as the caller sent it.
    pub(crate) text: Name,
    /// When the key was created, in milliseconds since the Unix epoch.
    pub(crate) made_at_ms: u64,
}

impl IdempotencyKey {
    /// Parses a key; its creation time is `time_ms` if given, else that of a version 7 UUID.
    ///
    /// # Errors
    ///
    /// Fails if the key is not 1 to 128 visible ASCII characters, or has no valid creation time.
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

/// Sends calls to plain services.
pub(crate) struct PlainServiceClient {
    control: Rc<ControlStream>,
    keys: Rc<KeyStream>,
    membership: Rc<Membership>,
    shutdown: Rc<Shutdown>,
    window: KeyWindow,
    rotation: Cell<usize>,
}

impl Service for PlainServiceClient {
    const NAME: &'static str = "plain_calls";
}

/// The outcome of sending a call to one server.
enum CallOutcome {
    Answered(StatusCode, Name, Bytes),
    NotSent,
    Unknown,
}

impl PlainServiceClient {
    /// Creates a client; `window` limits the age of the idempotency keys that it claims.
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
            rotation: Cell::new(0),
        }
    }

    /// Sends an idempotent call and retries it on other servers if a server does not answer.
    pub(crate) async fn call_idempotent(
        &self,
        service: &PlainService,
        call: ServiceCall,
    ) -> Result<Response<Body>, Failure> {
        let mut ran = false;
        for server in self
            .servers(service)
            .await
            .into_iter()
            .take(IDEMPOTENT_ATTEMPTS)
        {
            match self.try_server(service, &server, &call).await {
                CallOutcome::Answered(status, content_type, body) => {
                    return Ok(build_response(status, &content_type, body));
                }
                CallOutcome::NotSent => {}
                CallOutcome::Unknown => ran = true,
            }
        }
        let failure = Failure::new(Kind::Unavailable, "no server of the service answered");
        Err(if ran { failure.ran(Ran::Yes) } else { failure })
    }

    /// Sends a non-idempotent call at most once.
    ///
    /// The call continues if the caller disconnects, so that its outcome is recorded.
    pub(crate) async fn call_at_most_once(
        self: Rc<Self>,
        service: PlainService,
        call: ServiceCall,
        key: IdempotencyKey,
    ) -> Result<Response<Body>, Failure> {
        let (sender, receiver) = oneshot::channel();
        let guard = self.shutdown.enter();
        compio::runtime::spawn(async move {
            let _guard = guard;
            let outcome = self.claim_and_send(&service, &call, &key).await;
            // The receiver is gone if the caller disconnected; the outcome is in the log.
            let _ = sender.send(outcome);
        })
        .detach();
        receiver.await.unwrap_or_else(|_gone| {
            Err(Failure::new(
                Kind::OutcomeUnknown,
                "the call ended without an outcome",
            ))
        })
    }

    async fn claim_and_send(
        self: &Rc<Self>,
        service: &PlainService,
        call: &ServiceCall,
        key: &IdempotencyKey,
    ) -> Result<Response<Body>, Failure> {
        let hash = key_hash(service, call, key);
        let digest = call_digest(call, key);
        for _ in 0..MAX_CLAIMS {
            let verdict = match self.keys.with(|keys| keys.lookup(hash, digest)) {
                Some(verdict) => verdict,
                None => match self.claim(hash, digest, key.made_at_ms).await? {
                    (KeyVerdict::First, claim) => {
                        return self.send_once(service, call, hash, claim).await;
                    }
                    (verdict, _) => verdict,
                },
            };
            if let Some(outcome) = self.outcome_for_repeat(hash, digest, verdict).await {
                return outcome;
            }
        }
        let message = "other calls claimed the key and released it; this call was not sent";
        Err(Failure::new(Kind::Overloaded, message))
    }

    /// Claims a key in the log; returns the verdict and the claim's fence.
    ///
    /// If the verdict does not arrive in time, the call fails, and the claim is released as soon
    /// as it turns out to be the first.
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
        let client = self.clone();
        let deadline = Instant::now() + CLAIM_TIMEOUT;
        compio::runtime::spawn(async move {
            let Ok(recorded) = client.keys.propose_by(command, deadline).await else {
                return;
            };
            let claim = recorded.position.fence;
            let first = recorded.verdict == KeyVerdict::First;
            if sender.send((recorded.verdict, claim)).is_err() && first {
                client.release_key(key, claim).await;
            }
        })
        .detach();
        let unavailable = || {
            Failure::new(
                Kind::LogUnavailable,
                "the platform's log cannot record the key now; the call was not sent",
            )
        };
        match compio::time::timeout(CLAIM_TIMEOUT, &mut receiver).await {
            Ok(verdict) => verdict.map_err(|_not_recorded| unavailable()),
            Err(_elapsed) => {
                // After closing, the spawned task releases the claim, unless its verdict was
                // sent just before and is still in the channel.
                receiver.close();
                let verdict = receiver.try_recv().ok().flatten();
                verdict.ok_or_else(unavailable)
            }
        }
    }

    /// Releases a key whose call was not sent and will not be sent.
    async fn release_key(&self, key: KeyHash, claim: u64) {
        self.record(KeyCommand::Release { key, claim }).await;
    }

    /// Records the outcome of a claim, with retries while the log is down.
    ///
    /// Without this record, repeated calls are answered that the outcome is unknown.
    async fn record(&self, command: KeyCommand) {
        let _guard = self.shutdown.enter();
        for _ in 0..RECORD_ATTEMPTS {
            if self.keys.propose(command.clone()).await.is_ok() {
                return;
            }
            compio::time::sleep(RECORD_RETRY_INTERVAL).await;
        }
    }

    async fn send_once(
        self: &Rc<Self>,
        service: &PlainService,
        call: &ServiceCall,
        key: KeyHash,
        claim: u64,
    ) -> Result<Response<Body>, Failure> {
        for server in self.servers(service).await {
            match self.try_server(service, &server, call).await {
                CallOutcome::Answered(status, content_type, body) => {
                    self.store_reply(key, claim, status, &content_type, &body);
                    return Ok(build_response(status, &content_type, body));
                }
                CallOutcome::NotSent => {}
                CallOutcome::Unknown => {
                    return Err(Failure::new(
                        Kind::OutcomeUnknown,
                        "the call was sent but not answered; it will not be sent again",
                    ));
                }
            }
        }
        let client = self.clone();
        compio::runtime::spawn(async move { client.release_key(key, claim).await }).detach();
        Err(Failure::new(
            Kind::Unavailable,
            "no server of the service accepted the call",
        ))
    }

    fn store_reply(
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
                .filter(|text| text.len() <= MAX_STORED_BODY_BYTES)
                .map(Name::from),
        });
        let client = self.clone();
        let command = KeyCommand::Reply { key, claim, reply };
        compio::runtime::spawn(async move { client.record(command).await }).detach();
    }

    /// Returns the answer to a call that repeats a key; `None` if the key was released.
    async fn outcome_for_repeat(
        &self,
        key: KeyHash,
        digest: u64,
        verdict: KeyVerdict,
    ) -> Option<Result<Response<Body>, Failure>> {
        match verdict {
            KeyVerdict::Replied(fence) => Some(self.stored_reply(fence).await),
            KeyVerdict::Mismatch => Some(Err(Failure::new(
                Kind::KeyReused,
                "the idempotency key was already used with another request or creation time",
            ))),
            KeyVerdict::Expired => Some(Err(Failure::new(
                Kind::KeyExpired,
                "the idempotency key's creation time is too old or in the future",
            ))),
            KeyVerdict::Pending | KeyVerdict::First | KeyVerdict::Processed => {
                self.wait_for_outcome(key, digest).await
            }
        }
    }

    /// Returns the answer recorded at `fence`, from the cache or else from the log.
    async fn stored_reply(&self, fence: NonZeroU64) -> Result<Response<Body>, Failure> {
        if let Some(reply) = self.keys.with(|keys| keys.recent_reply(fence)) {
            return replay_response(&reply);
        }
        if let Ok(Some(KeyCommand::Reply { reply, .. })) = self.keys.command_at(fence.get()).await {
            return replay_response(&reply);
        }
        let message = "the call with this key ran, but its answer cannot be read from the log now";
        let failure = Failure::new(Kind::OutcomeUnknown, message);
        Err(failure.ran(Ran::Yes).retry_after_s(5))
    }

    async fn wait_for_outcome(
        &self,
        key: KeyHash,
        digest: u64,
    ) -> Option<Result<Response<Body>, Failure>> {
        let start = Instant::now();
        while start.elapsed() < OUTCOME_WAIT {
            let changed = self.keys.changed();
            if let KeyVerdict::Replied(fence) = self.keys.with(|keys| keys.lookup(key, digest))? {
                return Some(self.stored_reply(fence).await);
            }
            let left = OUTCOME_WAIT.saturating_sub(start.elapsed());
            if compio::time::timeout(left, changed).await.is_err() {
                break;
            }
        }
        let message = "a call with this key was claimed before, and its outcome is not known";
        Some(Err(
            Failure::new(Kind::OutcomeUnknown, message).retry_after_s(5)
        ))
    }

    /// Returns the servers of a service that are not leaving, rotated by one for each call.
    ///
    /// The list is empty if this VM's view of the fleet cannot be refreshed.
    async fn servers(&self, service: &PlainService) -> Vec<BackendServer> {
        if !self.membership.wait_until_current(&self.control).await {
            return Vec::new();
        }
        let rotation = self.rotation.get();
        self.rotation.set(rotation.wrapping_add(1));
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
            let start = rotation % servers.len();
            servers.rotate_left(start);
        }
        servers
    }

    /// Sends a call once to a server, over a new connection.
    async fn try_server(
        &self,
        service: &PlainService,
        server: &BackendServer,
        call: &ServiceCall,
    ) -> CallOutcome {
        emit(
            Event::CallRouted,
            format_args!(
                "request={} service={} backend_server={}",
                call.id, service.name, server.name
            ),
        );
        let chosen_at = Instant::now();
        let Ok(connection) = Connection::open(server.address, CONNECT_TIMEOUT).await else {
            return CallOutcome::NotSent;
        };
        if !self
            .membership
            .may_send(&self.control, &server.name, chosen_at)
        {
            return CallOutcome::NotSent;
        }
        let timeout = Duration::from_millis(service.timeout_ms);
        let exchange = send_and_read(connection, server.address, call);
        match compio::time::timeout(timeout, exchange).await {
            Ok(outcome) => outcome,
            Err(_elapsed) => CallOutcome::Unknown,
        }
    }
}

async fn send_and_read(
    mut connection: Connection,
    address: SocketAddr,
    call: &ServiceCall,
) -> CallOutcome {
    let mut request = build_request(
        call.method.clone(),
        address,
        &call.path,
        Body::full(call.body.clone()),
    );
    let id = header::HeaderValue::from_str(&call.id).expect("request ids are valid header values");
    request.headers_mut().insert("x-request-id", id);
    let response = match connection.send(request).await {
        Ok(response) => response,
        Err(SendError::NotSent) => return CallOutcome::NotSent,
        Err(SendError::MaybeSent) => return CallOutcome::Unknown,
    };
    let status = response.status();
    let content_type = response
        .headers()
        .get(header::CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .map_or_else(|| arcstr::literal!("application/octet-stream"), Name::from);
    let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
    match read_answer(body, &call.account).await {
        Ok(body) => CallOutcome::Answered(status, content_type, body),
        Err(_) => CallOutcome::Unknown,
    }
}

fn build_response(status: StatusCode, content_type: &str, body: Bytes) -> Response<Body> {
    let mut response = Response::new(Body::full(body));
    *response.status_mut() = status;
    if let Ok(value) = header::HeaderValue::from_str(content_type) {
        response.headers_mut().insert(header::CONTENT_TYPE, value);
    }
    response
}

fn replay_response(reply: &Reply) -> Result<Response<Body>, Failure> {
    let Some(body) = &reply.body else {
        let message = format!(
            "the call with this key ran with status {}; its answer body was not stored, \
             as it was too large or not text",
            reply.status
        );
        return Err(Failure::new(Kind::OutcomeUnknown, message).ran(Ran::Yes));
    };
    let status = StatusCode::from_u16(reply.status).ok();
    let Some(status) = status.filter(|status| is_final(*status)) else {
        let message = format!(
            "the call with this key ran, but its recorded status {} is none of an answer",
            reply.status
        );
        return Err(Failure::new(Kind::OutcomeUnknown, message).ran(Ran::Yes));
    };
    let body = Bytes::from(body.as_bytes().to_vec());
    let mut response = build_response(status, &reply.content_type, body);
    response.headers_mut().insert(
        "idempotent-replayed",
        header::HeaderValue::from_static("true"),
    );
    Ok(response)
}

fn key_hash(service: &PlainService, call: &ServiceCall, key: &IdempotencyKey) -> KeyHash {
    let text = format!("{}\n{}\n{}", service.name, call.caller, key.text);
    let hash = xxh3_128(text.as_bytes());
    KeyHash((hash >> 64) as u64, hash as u64)
}

/// Hashes the content of a call, to detect a key that is reused for another call.
///
/// The key's creation time is part of the digest, so a repeat must carry the same one.
fn call_digest(call: &ServiceCall, key: &IdempotencyKey) -> u64 {
    let head = format!("{} {} {}\n", call.method, call.path, key.made_at_ms);
    xxh3_64(&[head.as_bytes(), &call.body[..]].concat())
}
