//! Contained causes of crashes as records of a keyed topic.

use crate::gateway::{CrashCause, PromptPart, StoredCause};
use crate::platform::store::KeyedRecord;
use serde::{Deserialize, Serialize};
use tracing::warn;

/// The beginning of the key of a part of prompts, which its id follows in hexadecimal.
const PART_PREFIX: &str = "part-";
/// The beginning of the key of a single request, which its fingerprint follows in hexadecimal.
const REQUEST_PREFIX: &str = "request-";

#[derive(Deserialize, Serialize)]
struct WireCause {
    refused_ms: u64,
}

/// Encodes a record: the length of the key in a byte, the key and the value.
pub(super) fn encode(stored: &StoredCause) -> Vec<u8> {
    let key = match stored.cause {
        CrashCause::Part(part) => format!("{PART_PREFIX}{:016x}", part.0),
        CrashCause::Request(fingerprint) => format!("{REQUEST_PREFIX}{fingerprint:016x}"),
    };
    let value = WireCause {
        refused_ms: stored.refused_unix_ms,
    };
    let mut record = vec![key.len() as u8];
    record.extend(key.as_bytes());
    record.extend(serde_json::to_vec(&value).expect("numbers serialize"));
    record
}

/// Decodes a record; `None` if it is unreadable.
pub(super) fn decode(record: &KeyedRecord) -> Option<StoredCause> {
    let cause = str::from_utf8(&record.key).ok().and_then(decode_key);
    let value: Option<WireCause> = serde_json::from_slice(&record.value).ok();
    let (Some(cause), Some(value)) = (cause, value) else {
        warn!(key = ?record.key, "contained cause unreadable");
        return None;
    };
    Some(StoredCause {
        cause,
        refused_unix_ms: value.refused_ms,
    })
}

fn decode_key(key: &str) -> Option<CrashCause> {
    let id = |hexadecimal| u64::from_str_radix(hexadecimal, 16).ok();
    if let Some(part) = key.strip_prefix(PART_PREFIX) {
        return Some(CrashCause::Part(PromptPart(id(part)?)));
    }
    let fingerprint = key.strip_prefix(REQUEST_PREFIX)?;
    Some(CrashCause::Request(id(fingerprint)?))
}
