//! Parsing of the headers of a caller's request: identity, request id, deadline, idempotency key.

use crate::error::{Failure, Kind};
use crate::inventory::{Caller, Inventory, Name, Priority};
use crate::plain_service::IdempotencyKey;
use hyper::{HeaderMap, header};
use serde_json::{Map, Value, json};

/// The identity, priority, time limits (in milliseconds) and concurrency limit of a caller.
///
/// A `max_concurrent` of 0 means no limit.
#[derive(Clone, Debug)]
pub(crate) struct CallerProfile {
    pub(crate) name: Name,
    pub(crate) priority: Priority,
    pub(crate) deadline_ms: u64,
    pub(crate) first_token_ms: Option<u64>,
    pub(crate) max_concurrent: u32,
}

/// Returns the caller's `x-request-id`, or a new version 7 UUID if there is none or it is invalid.
///
/// A valid id has 1 to 64 ASCII letters, digits and hyphens.
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

/// Identifies the caller by the API key in the `Authorization` header.
///
/// # Errors
///
/// Fails if the key is not in the inventory, or if there is no key and the inventory does not
/// allow anonymous callers.
pub(crate) fn authenticate(
    inventory: &Inventory,
    headers: &HeaderMap,
) -> Result<CallerProfile, Failure> {
    let api_key = headers
        .get(header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "));
    if let Some(api_key) = api_key {
        return inventory
            .caller(api_key)
            .map(CallerProfile::from)
            .ok_or_else(|| {
                Failure::new(Kind::UnknownCaller, "the API key is not in the inventory")
            });
    }
    match inventory.rules.anonymous_priority {
        Some(priority) => Ok(CallerProfile {
            name: arcstr::literal!("anonymous"),
            priority,
            deadline_ms: 30_000,
            first_token_ms: None,
            max_concurrent: 0,
        }),
        None => Err(Failure::new(Kind::UnknownCaller, "an API key is required")),
    }
}

impl From<&Caller> for CallerProfile {
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

/// Returns the deadline that the caller set in `x-deadline-ms`, in milliseconds, if any.
///
/// # Errors
///
/// Fails if the value is not a whole number.
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

/// Returns the idempotency key that a non-idempotent call must carry.
///
/// # Errors
///
/// Fails if the key is missing or malformed.
pub(crate) fn idempotency_key(headers: &HeaderMap) -> Result<IdempotencyKey, Failure> {
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let Some(key) = text("idempotency-key") else {
        let message = "this route requires an Idempotency-Key header; the call was not sent";
        return Err(Failure::new(Kind::KeyRequired, message));
    };
    IdempotencyKey::parse(key, text("idempotency-time"))
}

/// Hashes the model and the messages of a completion request.
///
/// Every VM computes the same fingerprint, so a request that the caller sends again is recognised.
pub(crate) fn fingerprint(body: &Map<String, Value>) -> u64 {
    let text = json!([body.get("model"), body.get("messages")]).to_string();
    xxhash_rust::xxh3::xxh3_64(text.as_bytes())
}
