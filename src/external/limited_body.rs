//! Reads response bodies of the platform's services up to a limit.

use futures_util::StreamExt;
use std::pin::pin;
use std::time::Duration;

/// Reads a whole body, and tells `note_bytes` what arrives; `None` if the body is longer than
/// `limit_bytes`, breaks off or stops arriving for `max_stall`.
pub(super) async fn read_limited(
    response: cyper::Response,
    limit_bytes: usize,
    max_stall: Duration,
    note_bytes: impl Fn(u64),
) -> Option<Vec<u8>> {
    let mut chunks = pin!(response.bytes_stream());
    let mut body = Vec::new();
    loop {
        let chunk = compio::time::timeout(max_stall, chunks.next()).await.ok()?;
        let Some(chunk) = chunk else {
            return Some(body);
        };
        let chunk = chunk.ok()?;
        note_bytes(chunk.len() as u64);
        if body.len() + chunk.len() > limit_bytes {
            tracing::warn!(limit_bytes, "response of the platform too long");
            return None;
        }
        body.extend_from_slice(&chunk);
    }
}
