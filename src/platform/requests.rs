//! Requests and answers as the platform words them.

use crate::callers::ApiKey;
use crate::gateway::{CallerRequest, Generation, Malformed, Protocol, Refusal, Reply, SendOptions};
use crate::http::Body;
use crate::inventory::Name;
use bytes::Bytes;
use hyper::header::{self, HeaderName, HeaderValue};
use hyper::http::uri::PathAndQuery;
use hyper::http::{request, response};
use hyper::{HeaderMap, Request, Response, Uri};
use std::time::Duration;

/// Names one sending of a request by its caller.
const REQUEST_ID: HeaderName = HeaderName::from_static("x-attempt-id");
/// How long the sender waits, in milliseconds.
const DEADLINE_MS: HeaderName = HeaderName::from_static("x-deadline-ms");
/// The last event of a stream that need not be sent again.
const LAST_EVENT: HeaderName = HeaderName::from_static("last-event-id");
/// The model, and after a slash an adapter of it.
const MODEL: HeaderName = HeaderName::from_static("x-model");
/// Tokens of the prompt, and the most that may be generated.
const TOKENS: HeaderName = HeaderName::from_static("x-token-usage");
/// The one server process that may run the request.
const EXPECT_SERVER: HeaderName = HeaderName::from_static("x-expect-instance");
/// The one version of the weights that may run the request.
const EXPECT_WEIGHTS: HeaderName = HeaderName::from_static("x-expect-version");
/// The rank at a runner, 0 first.
const PRIORITY: HeaderName = HeaderName::from_static("x-request-priority");
/// The digest of a server's answer.
const SIGNATURE: HeaderName = HeaderName::from_static("x-server-signature");
/// Says that the request did not run.
const NOT_RUN: HeaderName = HeaderName::from_static("x-not-executed");
/// The server process that answers.
const SERVER: HeaderName = HeaderName::from_static("x-instance-id");
/// The version of the weights.
const WEIGHTS: HeaderName = HeaderName::from_static("x-weight-versions");

/// The caller's key.
const KEY: HeaderName = HeaderName::from_static("x-credential");
/// The caller's organisation, as backend servers are told.
const ORGANISATION: HeaderName = HeaderName::from_static("x-tenant");

/// The lowest rank that a runner knows.
const MAX_PRIORITY: u32 = 9;

/// Headers that are about one connection only.
const HOP_BY_HOP: [HeaderName; 10] = [
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

/// Headers that are for this system alone, or its to set, whatever a caller sends.
const OWN: [HeaderName; 11] = [
    KEY,
    ORGANISATION,
    DEADLINE_MS,
    EXPECT_SERVER,
    EXPECT_WEIGHTS,
    PRIORITY,
    HeaderName::from_static("x-pin-ms"),
    HeaderName::from_static("x-hold"),
    HeaderName::from_static("x-kv-backup"),
    HeaderName::from_static("kv-from"),
    HeaderName::from_static("kv-fetch"),
];

/// The platform's protocol of requests.
#[derive(Debug)]
pub(crate) struct PlatformProtocol;

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok().map(str::trim)
}

fn number<T: std::str::FromStr>(headers: &HeaderMap, name: &HeaderName) -> Option<T> {
    text(headers, name)?.parse().ok()
}

/// Takes away what concerns one connection only.
fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
    headers.remove(header::CONTENT_LENGTH);
}

/// Tokens of the prompt and those to generate at most.
fn tokens_of(headers: &HeaderMap) -> Option<(u32, u32)> {
    let (prompt, most) = text(headers, &TOKENS)?.split_once(',')?;
    Some((prompt.trim().parse().ok()?, most.trim().parse().ok()?))
}

fn generation_of(headers: &HeaderMap) -> Option<Generation> {
    let model = text(headers, &MODEL)?;
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

/// The key of a caller that sends exactly one.
fn key_of(headers: &HeaderMap) -> Option<ApiKey> {
    let mut keys = headers.get_all(KEY).iter();
    let key = keys.next()?;
    if keys.next().is_some() {
        return None;
    }
    Some(ApiKey::new(key.as_bytes()))
}

/// The timeout of a `Keep-Alive` header.
fn keep_alive_of(headers: &HeaderMap) -> Option<Duration> {
    let value = text(headers, &HeaderName::from_static("keep-alive"))?;
    let seconds = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    Some(Duration::from_secs(seconds.trim().parse().ok()?))
}

impl Protocol for PlatformProtocol {
    fn read_caller_request(head: &request::Parts) -> Result<CallerRequest, Malformed> {
        let id = text(&head.headers, &REQUEST_ID).ok_or(Malformed("no request id"))?;
        let host = head
            .uri
            .authority()
            .map(|authority| authority.host())
            .or_else(|| text(&head.headers, &header::HOST))
            .ok_or(Malformed("no host"))?;
        let host = host.rsplit_once(':').map_or(host, |(host, _port)| host);
        let path = head.uri.path_and_query().cloned();
        let mut headers = head.headers.clone();
        strip_hop_by_hop(&mut headers);
        for name in &OWN {
            headers.remove(name);
        }
        Ok(CallerRequest {
            id: id.into(),
            method: head.method.clone(),
            host: host.to_ascii_lowercase().into(),
            path: path.unwrap_or_else(|| PathAndQuery::from_static("/")),
            patience: number(&head.headers, &DEADLINE_MS).map(Duration::from_millis),
            last_event: number(&head.headers, &LAST_EVENT),
            tokens: tokens_of(&head.headers),
            key: key_of(&head.headers),
            generation: generation_of(&head.headers),
            headers,
            body: Bytes::new(),
        })
    }

    fn to_server(ask: &CallerRequest, options: &SendOptions<'_>) -> Request<Body> {
        let body = if ask.body.is_empty() {
            Body::empty()
        } else {
            Body::full(ask.body.clone())
        };
        let mut request = Request::new(body);
        *request.method_mut() = ask.method.clone();
        *request.uri_mut() = Uri::from(ask.path.clone());
        let headers = request.headers_mut();
        *headers = ask.headers.clone();
        headers.insert(DEADLINE_MS, (options.time_left.as_millis() as u64).into());
        headers.insert(PRIORITY, options.priority.min(MAX_PRIORITY).into());
        if let Ok(server) = HeaderValue::from_str(options.server) {
            headers.insert(EXPECT_SERVER, server);
        }
        let organisation = options.organisation.map(HeaderValue::from_str);
        if let Some(Ok(organisation)) = organisation {
            headers.insert(ORGANISATION, organisation);
        }
        if let Some(last_event) = options.last_event {
            headers.insert(LAST_EVENT, last_event.into());
        }
        if let Some(weights_version) = options.weights_version {
            headers.insert(EXPECT_WEIGHTS, weights_version.into());
        }
        request
    }

    fn read_reply(head: &response::Parts) -> Reply {
        let headers = &head.headers;
        Reply {
            request_id: text(headers, &REQUEST_ID).map(Name::from),
            is_not_executed: headers.contains_key(&NOT_RUN),
            server: text(headers, &SERVER).map(Name::from),
            is_signed: headers.contains_key(&SIGNATURE),
            weights_version: number(headers, &WEIGHTS),
            keep_alive: keep_alive_of(headers),
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
