//! Requests and responses in the platform's format.

use crate::callers::ApiKey;
use crate::gateway::{
    CallerRequest, Generation, Malformed, PromptPart, Protocol, Refusal, Reply, SendOptions,
    StatedLoad,
};
use crate::http::Body;
use crate::inventory::Name;
use bytes::Bytes;
use hyper::ext::ReasonPhrase;
use hyper::header::{self, HeaderName, HeaderValue};
use hyper::http::uri::PathAndQuery;
use hyper::http::{request, response};
use hyper::{HeaderMap, Request, Response, StatusCode, Uri};
use std::time::Duration;
use tracing::warn;

/// The id of one attempt of a caller to send a request.
const REQUEST_ID: HeaderName = HeaderName::from_static("x-attempt-id");
/// How long the sender waits for the complete response, in milliseconds.
const DEADLINE_MS: HeaderName = HeaderName::from_static("x-deadline-ms");
/// The last event of a stream that the receiver has; the stream resumes after it.
const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
/// The id of the attempt that brought the first event of the stream that a caller resumes.
const RESUMES: HeaderName = HeaderName::from_static("resumes");
/// The model, optionally followed by a slash and one of its adapters.
const MODEL: HeaderName = HeaderName::from_static("x-model");
/// The number of tokens in the prompt and the most that may be generated, with a comma between.
const TOKEN_USAGE: HeaderName = HeaderName::from_static("x-token-usage");
/// The parts of the prompt in order, as pairs of id and tokens; the last one is the request's own.
const PROMPT_PARTS: HeaderName = HeaderName::from_static("x-prompt-prefix");
/// The id of the only server process that may execute the request.
const EXPECT_SERVER: HeaderName = HeaderName::from_static("x-expect-instance");
/// The only version of the weights with which the request may be executed.
const EXPECT_WEIGHTS_VERSION: HeaderName = HeaderName::from_static("x-expect-version");
/// The priority at the runner; 0 is the most urgent.
const PRIORITY: HeaderName = HeaderName::from_static("x-request-priority");
/// The digest with which a server signs its response.
const SIGNATURE: HeaderName = HeaderName::from_static("x-server-signature");
/// Present if the server did not execute the request.
const NOT_EXECUTED: HeaderName = HeaderName::from_static("x-not-executed");
/// The id of the server process that responds.
const SERVER_ID: HeaderName = HeaderName::from_static("x-instance-id");
/// The requests per second that the server accepts from all VMs together.
const RATE_LIMIT: HeaderName = HeaderName::from_static("server-limit");
/// The requests that the server runs, those that wait, its slots and, from some servers, how long work
/// takes at the moment, in percent of the usual time.
const SERVER_LOAD: HeaderName = HeaderName::from_static("x-server-load");
/// Present if the server is about to leave and accepts no new requests.
const LEAVING: HeaderName = HeaderName::from_static("server-leaving");
/// The version of the weights that the server used.
const WEIGHTS_VERSION: HeaderName = HeaderName::from_static("x-weight-versions");

/// The caller's API key.
const API_KEY: HeaderName = HeaderName::from_static("x-credential");
/// The name of the caller's organisation, for the backend server.
const ORGANISATION: HeaderName = HeaderName::from_static("x-tenant");

/// The maximum number of parts in a prompt whose parts are read.
const MAX_PARTS: usize = 64;

/// The greatest priority value that runners accept, which is the least urgent.
const MAX_PRIORITY: u32 = 9;

/// The statuses with which a server turns a request away and may ask for a pause.
const TURNED_AWAY: [StatusCode; 2] = [
    StatusCode::SERVICE_UNAVAILABLE,
    StatusCode::TOO_MANY_REQUESTS,
];

/// What the first line of a response begins with.
const STATUS_LINE: &[u8] = b"HTTP/1.";

/// Headers that apply to one connection only and are not forwarded.
const HOP_BY_HOP_HEADERS: [HeaderName; 10] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::EXPECT,
];

/// Headers that are meant for this system or set by it; a caller's values are not forwarded.
const RESERVED_HEADERS: [HeaderName; 11] = [
    API_KEY,
    ORGANISATION,
    DEADLINE_MS,
    EXPECT_SERVER,
    EXPECT_WEIGHTS_VERSION,
    PRIORITY,
    HeaderName::from_static("x-pin-ms"),
    HeaderName::from_static("x-hold"),
    HeaderName::from_static("x-kv-backup"),
    HeaderName::from_static("kv-from"),
    HeaderName::from_static("kv-fetch"),
];

/// The platform's request protocol.
#[derive(Debug)]
pub(crate) struct PlatformProtocol;

fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok().map(str::trim)
}

fn header_number<T: std::str::FromStr>(headers: &HeaderMap, name: &HeaderName) -> Option<T> {
    header_text(headers, name)?.parse().ok()
}

/// Removes the headers that apply to one connection only, with those that `Connection` names.
fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP_HEADERS) {
        headers.remove(name);
    }
    headers.remove(header::CONTENT_LENGTH);
}

/// Parses the number of tokens in the prompt and the most to generate.
fn tokens_of(headers: &HeaderMap) -> Option<(u32, u32)> {
    let (prompt, max) = header_text(headers, &TOKEN_USAGE)?.split_once(',')?;
    Some((prompt.trim().parse().ok()?, max.trim().parse().ok()?))
}

/// Parses the parts of the prompt that other requests may share: all but the last. Returns `None` if
/// the list is malformed, too long or names a part twice.
fn shared_parts_of(headers: &HeaderMap) -> Option<Vec<PromptPart>> {
    if !headers.contains_key(&PROMPT_PARTS) {
        return Some(Vec::new());
    }
    let mut parts = Vec::new();
    for pair in header_text(headers, &PROMPT_PARTS)?.split(',') {
        let (id, tokens) = pair.trim().split_once(':')?;
        let is_hexadecimal = !id.is_empty() && id.bytes().all(|byte| byte.is_ascii_hexdigit());
        let part = PromptPart::of(&id.to_ascii_lowercase());
        if !is_hexadecimal || tokens.parse::<u32>().is_err() || parts.contains(&part) {
            return None;
        }
        parts.push(part);
        if parts.len() > MAX_PARTS {
            return None;
        }
    }
    parts.pop();
    Some(parts)
}

fn generation_of(headers: &HeaderMap) -> Option<Generation> {
    let model = header_text(headers, &MODEL)?;
    let (model, adapter) = match model.split_once('/') {
        Some((model, adapter)) => (model, Some(Name::from(adapter))),
        None => (model, None),
    };
    let (prompt_tokens, max_tokens) = tokens_of(headers).unwrap_or_default();
    Some(Generation {
        model: model.into(),
        adapter,
        prompt_tokens,
        max_tokens,
    })
}

/// Returns the caller's key; `None` unless the request has exactly one.
fn key_of(headers: &HeaderMap) -> Option<ApiKey> {
    let mut keys = headers.get_all(API_KEY).iter();
    let key = keys.next()?;
    if keys.next().is_some() {
        return None;
    }
    Some(ApiKey::new(key.as_bytes()))
}

/// Parses the rate limit that a server states, in requests per second.
fn rate_limit_of(headers: &HeaderMap) -> Option<f64> {
    let value = headers.get(&RATE_LIMIT)?;
    let rate_per_s = header_number(headers, &RATE_LIMIT);
    let valid = rate_per_s.filter(|rate_per_s: &f64| rate_per_s.is_finite() && *rate_per_s >= 0.0);
    if valid.is_none() {
        warn!(?value, "server's rate limit unreadable");
    }
    valid
}

/// Parses what a server states of its load.
fn stated_load_of(headers: &HeaderMap) -> Option<StatedLoad> {
    let value = headers.get(&SERVER_LOAD)?;
    let load = header_text(headers, &SERVER_LOAD).and_then(parse_load);
    if load.is_none() {
        warn!(?value, "server's stated load unreadable");
    }
    load
}

/// Parses three or four numbers. A fourth one that is unreadable is left out.
fn parse_load(text: &str) -> Option<StatedLoad> {
    let mut figures = text.split(',').map(str::trim);
    let mut count = || figures.next()?.parse().ok();
    Some(StatedLoad {
        running: count()?,
        waiting: count()?,
        slots: count()?,
        slowness_percent: count(),
    })
}

/// Parses the time for which a server that turned a request away wants no more of them, in seconds.
fn pause_of(head: &response::Parts) -> Option<Duration> {
    if !TURNED_AWAY.contains(&head.status) {
        return None;
    }
    let value = head.headers.get(header::RETRY_AFTER)?;
    let seconds: Option<f64> = header_number(&head.headers, &header::RETRY_AFTER);
    let pause = seconds.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
    if pause.is_none() {
        warn!(?value, "server's pause unreadable");
    }
    pause
}

/// Whether the headers of a server's response say that the server is about to leave.
pub(super) fn is_leaving(headers: &HeaderMap) -> bool {
    header_text(headers, &LEAVING) == Some("1")
}

/// Whether a head names several requests, or was cut off in a line and goes on with another head.
fn is_ambiguous(head: &response::Parts) -> bool {
    let mut ids = head.headers.get_all(REQUEST_ID).iter();
    let first_id = ids.next();
    let reason = head.extensions.get::<ReasonPhrase>();
    let lines = head
        .headers
        .iter()
        .filter(|(name, _)| **name != header::VIA);
    let texts = lines.map(|(_, value)| value.as_bytes());
    let mut texts = texts.chain(reason.map(ReasonPhrase::as_bytes));
    ids.any(|id| Some(id) != first_id) || texts.any(|text| contains(text, STATUS_LINE))
}

fn contains(text: &[u8], part: &[u8]) -> bool {
    text.windows(part.len()).any(|window| window == part)
}

/// Parses the timeout of a `Keep-Alive` header.
fn keep_alive_of(headers: &HeaderMap) -> Option<Duration> {
    let value = header_text(headers, &HeaderName::from_static("keep-alive"))?;
    let seconds = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    Some(Duration::from_secs(seconds.trim().parse().ok()?))
}

/// Builds a request with what a caller sent, and the time left.
fn forwarded_request(caller_request: &CallerRequest, time_left: Duration) -> Request<Body> {
    let body = if caller_request.body.is_empty() {
        Body::empty()
    } else {
        Body::full(caller_request.body.clone())
    };
    let mut request = Request::new(body);
    *request.method_mut() = caller_request.method.clone();
    *request.uri_mut() = Uri::from(caller_request.path.clone());
    *request.headers_mut() = caller_request.headers.clone();
    let time_left_ms = time_left.as_millis() as u64;
    request
        .headers_mut()
        .insert(DEADLINE_MS, time_left_ms.into());
    request
}

impl Protocol for PlatformProtocol {
    fn read_caller_request(head: &request::Parts) -> Result<CallerRequest, Malformed> {
        let id = header_text(&head.headers, &REQUEST_ID).ok_or(Malformed("no request id"))?;
        let host = head
            .uri
            .authority()
            .map(|authority| authority.host())
            .or_else(|| header_text(&head.headers, &header::HOST))
            .ok_or(Malformed("no host"))?;
        let host = host.rsplit_once(':').map_or(host, |(host, _port)| host);
        let path = head.uri.path_and_query().cloned();
        let mut headers = head.headers.clone();
        strip_hop_by_hop(&mut headers);
        for name in &RESERVED_HEADERS {
            headers.remove(name);
        }
        let shared_parts = shared_parts_of(&head.headers);
        Ok(CallerRequest {
            has_unreadable_parts: shared_parts.is_none(),
            shared_parts: shared_parts.unwrap_or_default(),
            id: id.into(),
            method: head.method.clone(),
            host: host.to_ascii_lowercase().into(),
            path: path.unwrap_or_else(|| PathAndQuery::from_static("/")),
            time_limit: header_number(&head.headers, &DEADLINE_MS).map(Duration::from_millis),
            last_event: header_number(&head.headers, &LAST_EVENT_ID),
            resumes: header_text(&head.headers, &RESUMES).map(Name::from),
            tokens: tokens_of(&head.headers),
            key: key_of(&head.headers),
            generation: generation_of(&head.headers),
            headers,
            body: Bytes::new(),
        })
    }

    fn to_server(caller_request: &CallerRequest, options: &SendOptions<'_>) -> Request<Body> {
        let mut request = forwarded_request(caller_request, options.time_left);
        let headers = request.headers_mut();
        headers.insert(PRIORITY, options.priority.min(MAX_PRIORITY).into());
        if let Ok(server) = HeaderValue::from_str(options.server) {
            headers.insert(EXPECT_SERVER, server);
        }
        let organisation = options.organisation.map(HeaderValue::from_str);
        if let Some(Ok(organisation)) = organisation {
            headers.insert(ORGANISATION, organisation);
        }
        if let Some(last_event) = options.last_event {
            headers.insert(LAST_EVENT_ID, last_event.into());
        }
        if let Some(weights_version) = options.weights_version {
            headers.insert(EXPECT_WEIGHTS_VERSION, weights_version.into());
        }
        request
    }

    fn to_vm(
        caller_request: &CallerRequest,
        time_left: Duration,
        last_event: Option<u64>,
    ) -> Request<Body> {
        let mut request = forwarded_request(caller_request, time_left);
        let headers = request.headers_mut();
        if let Ok(host) = HeaderValue::from_str(&caller_request.host) {
            headers.insert(header::HOST, host);
        }
        let key = caller_request.key.as_ref();
        let key = key.and_then(|key| HeaderValue::from_bytes(key.bytes()).ok());
        if let Some(mut key) = key {
            key.set_sensitive(true);
            headers.insert(API_KEY, key);
        }
        if let Some(last_event) = last_event {
            headers.insert(LAST_EVENT_ID, last_event.into());
        }
        request
    }

    fn read_reply(head: &response::Parts) -> Reply {
        let headers = &head.headers;
        Reply {
            request_id: header_text(headers, &REQUEST_ID).map(Name::from),
            is_ambiguous: is_ambiguous(head),
            is_not_executed: headers.contains_key(&NOT_EXECUTED),
            server: header_text(headers, &SERVER_ID).map(Name::from),
            is_signed: headers.contains_key(&SIGNATURE),
            weights_version: header_number(headers, &WEIGHTS_VERSION),
            keep_alive: keep_alive_of(headers),
            rate_limit_per_s: rate_limit_of(headers),
            is_leaving: is_leaving(headers),
            pause: pause_of(head),
            stated_load: stated_load_of(headers),
        }
    }

    fn to_caller(head: &response::Parts, body: Body) -> Response<Body> {
        let mut response = Response::new(body);
        *response.status_mut() = head.status;
        let mut headers = head.headers.clone();
        strip_hop_by_hop(&mut headers);
        *response.headers_mut() = headers;
        response
    }

    fn refuse(refusal: Refusal) -> Response<Body> {
        let mut response = Response::new(Body::empty());
        *response.status_mut() = refusal.status;
        if let Some(after) = refusal.retry_after {
            let seconds = format!("{:.3}", after.as_secs_f64());
            let seconds = HeaderValue::from_str(&seconds).expect("a number is a header value");
            response.headers_mut().insert(header::RETRY_AFTER, seconds);
        }
        response
    }
}
