//! What the headers of a caller's request say.

use crate::error::{Failure, Kind};
use crate::inventory::{Caller, Inventory, Name, Priority};
use crate::plain_service::IdempotencyKey;
use hyper::{HeaderMap, header};
use serde_json::{Map, Value, json};

/// Who sends a request, and how urgent it is.
#[derive(Clone, Debug)]
pub(crate) struct Sender {
    pub(crate) name: Name,
    pub(crate) priority: Priority,
    pub(crate) deadline_ms: u64,
    pub(crate) first_token_ms: Option<u64>,
    pub(crate) max_concurrent: u32,
}

/// The caller's own request id if it is a plain token, else a new one.
pub(crate) fn request_id(headers: &HeaderMap) -> Name {
    headers
        .get("x-request-id")
        .and_then(|value| value.to_str().ok())
        .filter(|id| !id.is_empty() && id.len() <= 64)
        .filter(|id| {
            id.bytes()
                .all(|byte| byte.is_ascii_alphanumeric() || byte == b'-')
        })
        .map_or_else(|| uuid::Uuid::now_v7().to_string().into(), Name::from)
}

/// Who sends a request, by its API key.
///
/// # Errors
///
/// Fails for a key that is not listed, and without one where the inventory allows no anonymous
/// callers.
pub(crate) fn sender(inventory: &Inventory, headers: &HeaderMap) -> Result<Sender, Failure> {
    let token = headers
        .get(header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "));
    if let Some(token) = token {
        return inventory
            .caller(token)
            .map(Sender::from)
            .ok_or_else(|| Failure::new(Kind::UnknownCaller, "the API key is not listed"));
    }
    match inventory.rules.anonymous_priority {
        Some(priority) => Ok(Sender {
            name: arcstr::literal!("anonymous"),
            priority,
            deadline_ms: 30_000,
            first_token_ms: None,
            max_concurrent: 0,
        }),
        None => Err(Failure::new(Kind::UnknownCaller, "an API key is required")),
    }
}

impl From<&Caller> for Sender {
    fn from(caller: &Caller) -> Self {
        Self {
            name: caller.name.clone(),
            priority: caller.priority,
            deadline_ms: caller.deadline_ms,
            first_token_ms: caller.first_token_ms,
            max_concurrent: caller.max_concurrent,
        }
    }
}

/// How long the caller waits, where it tells.
///
/// # Errors
///
/// Fails for what is no whole number.
pub(crate) fn deadline_ms(headers: &HeaderMap) -> Result<Option<u64>, Failure> {
    let Some(value) = headers.get("x-deadline-ms") else {
        return Ok(None);
    };
    value
        .to_str()
        .ok()
        .and_then(|text| text.parse().ok())
        .map(Some)
        .ok_or_else(|| Failure::new(Kind::Malformed, "x-deadline-ms must be a whole number"))
}

/// The key of a call that must not be repeated.
///
/// # Errors
///
/// Fails where it is missing or malformed.
pub(crate) fn idempotency_key(headers: &HeaderMap) -> Result<IdempotencyKey, Failure> {
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let Some(key) = text("idempotency-key") else {
        let message = "this route needs an Idempotency-Key header; the call was not made";
        return Err(Failure::new(Kind::KeyRequired, message));
    };
    IdempotencyKey::parse(key, text("idempotency-time"))
}

/// The same for each sending of a request, through whichever VM.
pub(crate) fn fingerprint(body: &Map<String, Value>) -> u64 {
    let text = json!([body.get("model"), body.get("messages")]).to_string();
    xxhash_rust::xxh3::xxh3_64(text.as_bytes())
}
