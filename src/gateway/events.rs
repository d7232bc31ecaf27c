//! Splits a stream of server-sent events into whole events.

use bytes::{Buf, Bytes, BytesMut};

/// The empty line that ends an event.
const EVENT_END: &[u8] = b"\n\n";
/// Prefix of the line that holds the id of an event.
const ID_LINE: &[u8] = b"id:";
/// Maximum size of an event, in bytes; far above any that a runner sends. Hundreds of streams may
/// each hold a part of one.
pub(super) const MAX_EVENT_BYTES: usize = 128 * 1024;

/// What a buffer takes that holds the longest event and what was received with its end, in bytes.
pub(crate) const MAX_BUFFER_BYTES: usize = 160 * 1024;
/// The longest event that is copied, in bytes.
const MAX_COPIED_BYTES: usize = 8 * 1024;

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
    /// Allocates the memory for the longest event at once, so that it is not copied while it grows.
    pub(crate) fn make_room(&mut self) {
        let missing = MAX_BUFFER_BYTES.saturating_sub(self.bytes.len());
        self.bytes.reserve(missing);
    }

    /// The memory that an event of this length holds once it has been taken.
    pub(crate) fn held_bytes(event_bytes: usize) -> usize {
        if event_bytes > MAX_COPIED_BYTES {
            MAX_BUFFER_BYTES
        } else {
            event_bytes
        }
    }

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
        // A part of a buffer keeps all of it, so that either the event or the rest is copied.
        let bytes = if end > MAX_COPIED_BYTES {
            let rest = BytesMut::from(&self.bytes[end..]);
            let mut event = std::mem::replace(&mut self.bytes, rest);
            event.truncate(end);
            event.freeze()
        } else {
            let event = Bytes::copy_from_slice(&self.bytes[..end]);
            self.bytes.advance(end);
            event
        };
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

    /// The number of bytes that are buffered.
    pub(crate) fn len(&self) -> usize {
        self.bytes.len()
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
