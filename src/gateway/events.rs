//! A stream of server-sent events, cut into whole events.

use bytes::{Bytes, BytesMut};

/// The end of an event.
const EVENT_END: &[u8] = b"\n\n";
/// The beginning of the line with an event's number.
const ID_LINE: &[u8] = b"id:";
/// The largest event, in bytes; far above any that a runner makes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// One whole event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct StreamEvent {
    /// The event as it came, with the empty line that ends it.
    pub(crate) bytes: Bytes,
    /// Its number, where it has one.
    pub(crate) id: Option<u64>,
}

/// Bytes that have come and are not a whole event yet.
#[derive(Debug, Default)]
pub(crate) struct EventBuffer {
    bytes: BytesMut,
}

impl EventBuffer {
    /// Takes in bytes; false once an event is too long to be one.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> bool {
        self.bytes.extend_from_slice(bytes);
        self.bytes.len() <= MAX_EVENT_BYTES
    }

    /// The next whole event.
    pub(crate) fn next(&mut self) -> Option<StreamEvent> {
        let end = self
            .bytes
            .windows(EVENT_END.len())
            .position(|window| window == EVENT_END)?;
        let bytes = self.bytes.split_to(end + EVENT_END.len()).freeze();
        let id = event_id(&bytes);
        Some(StreamEvent { bytes, id })
    }

    /// Whether no part of an event is left over.
    pub(crate) fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let number = lines.find_map(|line| line.strip_prefix(ID_LINE))?;
    std::str::from_utf8(number).ok()?.trim().parse().ok()
}
