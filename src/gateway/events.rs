//! Splits a stream of server-sent events into whole events.

use bytes::{Bytes, BytesMut};

/// The empty line that ends an event.
const EVENT_END: &[u8] = b"\n\n";
/// Prefix of the line that holds the id of an event.
const ID_LINE: &[u8] = b"id:";
/// Maximum size of an event, in bytes; far above any that a runner sends.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// A whole event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct StreamEvent {
    /// The event as received, including the empty line that ends it.
    pub(crate) bytes: Bytes,
    /// Id of the event, if it has a numeric one.
    pub(crate) id: Option<u64>,
}

/// Buffers received bytes until they make up whole events.
#[derive(Debug, Default)]
pub(crate) struct EventBuffer {
    bytes: BytesMut,
}

impl EventBuffer {
    /// Appends received bytes; returns false if the buffer then exceeds the maximum event size.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> bool {
        self.bytes.extend_from_slice(bytes);
        self.bytes.len() <= MAX_EVENT_BYTES
    }

    /// Removes and returns the next whole event; `None` if more bytes are needed.
    pub(crate) fn next(&mut self) -> Option<StreamEvent> {
        let end = self
            .bytes
            .windows(EVENT_END.len())
            .position(|window| window == EVENT_END)?;
        let bytes = self.bytes.split_to(end + EVENT_END.len()).freeze();
        let id = event_id(&bytes);
        Some(StreamEvent { bytes, id })
    }

    /// Whether the buffer holds no part of an event.
    pub(crate) fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let number = lines.find_map(|line| line.strip_prefix(ID_LINE))?;
    std::str::from_utf8(number).ok()?.trim().parse().ok()
}
