//! Splits a stream of server-sent events into whole events.

use bytes::{Bytes, BytesMut};

/// The empty line that ends an event.
const EVENT_END: &[u8] = b"\n\n";
/// Prefix of the line that holds the id of an event.
const ID_LINE: &[u8] = b"id:";
/// Maximum size of an event, in bytes; far above any that a runner sends. Hundreds of streams may
/// each hold a part of one.
pub(super) const MAX_EVENT_BYTES: usize = 128 * 1024;

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
    /// The number of bytes at the start in which no event ends.
    searched: usize,
}

impl EventBuffer {
    /// Appends received bytes, after all whole events have been taken; returns false if an event
    /// exceeds the maximum size.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> bool {
        self.bytes.extend_from_slice(bytes);
        self.bytes.len() <= MAX_EVENT_BYTES
            || self.find_end().is_some_and(|end| end <= MAX_EVENT_BYTES)
    }

    /// Removes and returns the next whole event; `None` if more bytes are needed.
    pub(crate) fn next(&mut self) -> Option<StreamEvent> {
        let end = self.find_end()?;
        let bytes = self.bytes.split_to(end).freeze();
        self.searched = 0;
        let id = event_id(&bytes);
        Some(StreamEvent { bytes, id })
    }

    /// The length of the first whole event. Bytes that were searched before are not searched again.
    fn find_end(&mut self) -> Option<usize> {
        let mut windows = self.bytes[self.searched..].windows(EVENT_END.len());
        match windows.position(|window| window == EVENT_END) {
            Some(position) => Some(self.searched + position + EVENT_END.len()),
            None => {
                self.searched = self.bytes.len().saturating_sub(EVENT_END.len() - 1);
                None
            }
        }
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
