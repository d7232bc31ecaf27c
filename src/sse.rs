//! Server-sent events of a completion, read one by one.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::Deserialize;
use std::borrow::Cow;
use std::time::Duration;

/// The end of an event.
const EVENT_END: &[u8] = b"\n\n";
/// The prefix of an event's data.
const DATA: &[u8] = b"data: ";
/// The data of the last event of a complete stream.
const DONE: &[u8] = b"[DONE]";
/// The largest event, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Why a stream ended before its last event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Broken {
    /// The connection ended or broke.
    Cut,
    /// Nothing came for too long, not even a comment.
    Silent,
    /// What came is not an event of a completion.
    Garbled,
}

/// One event.
#[derive(Debug, PartialEq)]
pub(crate) enum SseEvent {
    /// A token, with the event as it came and the token's text.
    Token(Bytes, String),
    /// The event with the finish reason.
    Finish(Bytes, String),
    /// The stream is complete.
    Done(Bytes),
    /// An event without a token, such as one with the role or the usage.
    Other(Bytes),
    /// A comment: the other end lives.
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

/// The events of one answer.
#[derive(Debug)]
pub(crate) struct SseReader {
    body: Incoming,
    buffer: BytesMut,
}

impl SseReader {
    /// Reads events from an answer's body.
    pub(crate) fn new(body: Incoming) -> Self {
        Self {
            body,
            buffer: BytesMut::new(),
        }
    }

    /// Waits for the next event, at most `silence` between two chunks.
    pub(crate) async fn next(&mut self, silence: Duration) -> Result<SseEvent, Broken> {
        loop {
            if let Some(event) = self.take_event() {
                return parse(event);
            }
            if self.buffer.len() > MAX_EVENT_BYTES {
                return Err(Broken::Garbled);
            }
            let frame = compio::time::timeout(silence, self.body.frame())
                .await
                .map_err(|_elapsed| Broken::Silent)?;
            match frame {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.buffer.extend_from_slice(&data);
                    }
                }
                Some(Err(_)) | None => return Err(Broken::Cut),
            }
        }
    }

    /// Reads on to the end of the body; true if its connection can be used again.
    pub(crate) async fn finish(mut self, silence: Duration) -> bool {
        if !self.buffer.is_empty() {
            return false;
        }
        matches!(
            compio::time::timeout(silence, self.body.frame()).await,
            Ok(None)
        )
    }

    fn take_event(&mut self) -> Option<Bytes> {
        let end = self
            .buffer
            .windows(EVENT_END.len())
            .position(|window| window == EVENT_END)?;
        Some(self.buffer.split_to(end + EVENT_END.len()).freeze())
    }
}

fn parse(event: Bytes) -> Result<SseEvent, Broken> {
    if event.starts_with(b":") {
        return Ok(SseEvent::Comment);
    }
    let data = event.strip_prefix(DATA).ok_or(Broken::Garbled)?;
    let data = data.strip_suffix(EVENT_END).unwrap_or(data);
    if data == DONE {
        return Ok(SseEvent::Done(event));
    }
    let chunk: Chunk<'_> = serde_json::from_slice(data).map_err(|_unknown| Broken::Garbled)?;
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
