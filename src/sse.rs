//! Parser for the server-sent events (SSE) of a streamed completion.

use crate::response_body::ResponseBody;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use serde::Deserialize;
use std::borrow::Cow;
use std::time::Duration;

/// The blank line that ends an event.
const EVENT_END: &[u8] = b"\n\n";
/// The prefix of an event's data line.
const DATA_PREFIX: &[u8] = b"data: ";
/// The data of the last event of a complete stream.
const DONE_DATA: &[u8] = b"[DONE]";
/// The largest event accepted, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// The reason a stream ended before its last event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StreamError {
    /// The connection was closed or reset.
    Disconnected,
    /// No data arrived within the idle timeout, not even a comment.
    TimedOut,
    /// The received data is not an event of a completion, or the event is too large.
    Malformed,
}

/// One event of a completion stream.
#[derive(Debug, PartialEq)]
pub(crate) enum SseEvent {
    /// A token: the raw event and the token's text.
    Token(Bytes, String),
    /// The finish reason: the raw event and the reason.
    Finish(Bytes, String),
    /// The `[DONE]` event that ends a complete stream.
    Done(Bytes),
    /// An event without a token, such as one with the role or the usage.
    Other(Bytes),
    /// A comment, which the engine sends to keep the connection alive.
    Comment,
}

#[derive(Deserialize)]
struct Chunk<'a> {
    #[serde(borrow)]
    choices: Vec<ChunkChoice<'a>>,
}

#[derive(Deserialize)]
struct ChunkChoice<'a> {
    #[serde(borrow, default)]
    delta: Delta<'a>,
    #[serde(borrow, default)]
    finish_reason: Option<Cow<'a, str>>,
}

#[derive(Default, Deserialize)]
struct Delta<'a> {
    #[serde(borrow, default)]
    content: Option<Cow<'a, str>>,
}

/// Reads events from the body of one streamed response.
#[derive(Debug)]
pub(crate) struct SseReader {
    body: ResponseBody,
    buffer: BytesMut,
}

impl SseReader {
    /// Creates a reader over a response body.
    pub(crate) fn new(body: ResponseBody) -> Self {
        Self {
            body,
            buffer: BytesMut::new(),
        }
    }

    /// Waits for the next event, for at most `idle_timeout` between two chunks of the body.
    ///
    /// # Errors
    ///
    /// Fails when the stream ends, stalls or is malformed before a whole event has arrived.
    pub(crate) async fn next(&mut self, idle_timeout: Duration) -> Result<SseEvent, StreamError> {
        loop {
            if let Some(event) = self.split_event() {
                return parse(event);
            }
            if self.buffer.len() > MAX_EVENT_BYTES {
                return Err(StreamError::Malformed);
            }
            let frame = compio::time::timeout(idle_timeout, self.body.frame())
                .await
                .map_err(|_elapsed| StreamError::TimedOut)?;
            match frame {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.buffer.extend_from_slice(&data);
                    }
                }
                Some(Err(_)) | None => return Err(StreamError::Disconnected),
            }
        }
    }

    /// Waits for the end of the body after the last event.
    ///
    /// Returns true if the body ended cleanly, so that the connection can be reused.
    pub(crate) async fn read_to_end(mut self, idle_timeout: Duration) -> bool {
        if !self.buffer.is_empty() {
            return false;
        }
        matches!(
            compio::time::timeout(idle_timeout, self.body.frame()).await,
            Ok(None)
        )
    }

    fn split_event(&mut self) -> Option<Bytes> {
        let end = self
            .buffer
            .windows(EVENT_END.len())
            .position(|window| window == EVENT_END)?;
        Some(self.buffer.split_to(end + EVENT_END.len()).freeze())
    }
}

fn parse(event: Bytes) -> Result<SseEvent, StreamError> {
    if event.starts_with(b":") {
        return Ok(SseEvent::Comment);
    }
    let data = event
        .strip_prefix(DATA_PREFIX)
        .ok_or(StreamError::Malformed)?;
    let data = data.strip_suffix(EVENT_END).unwrap_or(data);
    if data == DONE_DATA {
        return Ok(SseEvent::Done(event));
    }
    let chunk: Chunk<'_> =
        serde_json::from_slice(data).map_err(|_unknown| StreamError::Malformed)?;
    let Some(choice) = chunk.choices.into_iter().next() else {
        return Ok(SseEvent::Other(event));
    };
    if let Some(reason) = choice.finish_reason {
        let reason = reason.into_owned();
        return Ok(SseEvent::Finish(event, reason));
    }
    let content = choice.delta.content.unwrap_or_default().into_owned();
    if content.is_empty() {
        return Ok(SseEvent::Other(event));
    }
    Ok(SseEvent::Token(event, content))
}
