//! Length-delimited frames whose memory can be reserved before they are received.

use crate::client_memory::Reservation;
use crate::head_progress::HeadProgress;
use bytes::{Bytes, BytesMut};
use std::io;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// The length of the number before each frame, in bytes.
const PREFIX_BYTES: usize = 4;
/// The length of a frame up to which the memory of its connection covers it, in bytes.
const COVERED_BYTES: usize = 16 * 1024;

/// Length-delimited frames of up to a maximum length.
#[derive(Debug)]
pub(crate) struct FrameCodec {
    codec: LengthDelimitedCodec,
    max_bytes: usize,
    incoming: Option<Incoming>,
}

/// The frame that is being received on a connection whose memory is bounded.
#[derive(Debug)]
struct Incoming {
    reservation: Reservation,
    progress: HeadProgress,
    /// Whether the length of the frame is known.
    has_begun: bool,
}

impl FrameCodec {
    /// Creates a codec for frames of up to `max_bytes`.
    pub(crate) fn new(max_bytes: usize) -> Self {
        let codec = LengthDelimitedCodec::builder()
            .length_field_length(PREFIX_BYTES)
            .max_frame_length(max_bytes)
            .new_codec();
        Self {
            codec,
            max_bytes,
            incoming: None,
        }
    }

    /// Like [`Self::new`]; each received frame that the memory of its connection does not cover is
    /// reserved before it is held, and `progress` knows since when a frame is being received. Decoding
    /// fails if there is no room for it.
    pub(crate) fn reserving(
        max_bytes: usize,
        reservation: Reservation,
        progress: HeadProgress,
    ) -> Self {
        Self {
            incoming: Some(Incoming {
                reservation,
                progress,
                has_begun: false,
            }),
            ..Self::new(max_bytes)
        }
    }
}

impl Incoming {
    /// Reserves the frame that begins with `received`, once its length is known.
    fn begin(&mut self, received: &[u8], max_bytes: usize) -> io::Result<()> {
        if received.is_empty() || self.has_begun {
            return Ok(());
        }
        self.progress.add(received.len());
        let Some(prefix) = received.first_chunk::<PREFIX_BYTES>() else {
            return Ok(());
        };
        self.has_begun = true;
        let frame_bytes = u32::from_be_bytes(*prefix) as usize;
        // The codec refuses longer ones.
        let held_bytes = frame_bytes.min(max_bytes);
        match held_bytes <= COVERED_BYTES || self.reservation.grow_to_or_evict(held_bytes) {
            true => Ok(()),
            false => Err(io::ErrorKind::OutOfMemory.into()),
        }
    }

    fn end(&mut self) {
        self.has_begun = false;
        self.reservation.shrink_to(0);
    }
}

impl Decoder for FrameCodec {
    type Item = BytesMut;
    type Error = io::Error;

    fn decode(&mut self, received: &mut BytesMut) -> io::Result<Option<BytesMut>> {
        if let Some(incoming) = &mut self.incoming {
            incoming.begin(received, self.max_bytes)?;
        }
        let frame = self.codec.decode(received)?;
        if let Some(incoming) = self.incoming.as_mut().filter(|_| frame.is_some()) {
            incoming.end();
        }
        Ok(frame)
    }
}

impl Encoder<Bytes> for FrameCodec {
    type Error = io::Error;

    fn encode(&mut self, frame: Bytes, buffer: &mut BytesMut) -> io::Result<()> {
        self.codec.encode(frame, buffer)
    }
}
