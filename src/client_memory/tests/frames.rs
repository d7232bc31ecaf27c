//! Frames come out as they were sent, and their memory is reserved while they arrive.

use crate::client_memory::tests::{memory_for_long, reserved_bytes};
use crate::frame_codec::FrameCodec;
use bytes::{Bytes, BytesMut};
use proptest::prelude::*;
use std::io;
use tokio_util::codec::{Decoder, Encoder};

const MAX_FRAME_BYTES: usize = 100_000;
/// What frames and all else that is long may take together.
const LONG_BYTES: usize = 4 * MAX_FRAME_BYTES;
/// What the memory of a connection covers.
const COVERED_BYTES: usize = 16 * 1024;

proptest! {
    #[test]
    fn frames_in_pieces_are_reserved_until_they_are_whole(
        lengths in prop::collection::vec(0_usize..MAX_FRAME_BYTES, 1..6),
        piece_bytes in 1_usize..40_000,
    ) {
        let mut sent = BytesMut::new();
        for (number, length) in lengths.iter().enumerate() {
            let frame = Bytes::from(vec![number as u8; *length]);
            FrameCodec::new(MAX_FRAME_BYTES).encode(frame, &mut sent).expect("it is short enough");
        }
        let account = memory_for_long(LONG_BYTES).account();
        let reservation = account.reservation();
        let mut codec = FrameCodec::reserving(MAX_FRAME_BYTES, reservation, Default::default());
        let (mut received, mut frames) = (BytesMut::new(), Vec::new());
        for piece in sent.chunks(piece_bytes) {
            received.extend_from_slice(piece);
            while let Some(frame) = codec.decode(&mut received).expect("there is room") {
                prop_assert_eq!(reserved_bytes(&account), 0);
                frames.push(frame);
            }
            let next_bytes = lengths.get(frames.len()).copied().unwrap_or(0);
            let is_reserved = reserved_bytes(&account) == next_bytes;
            prop_assert!(is_reserved || received.len() < 4 || next_bytes <= COVERED_BYTES);
        }
        prop_assert_eq!(frames.iter().map(|it| it.len()).collect::<Vec<_>>(), lengths);
        let is_own = |(number, it): (usize, &BytesMut)| it.iter().all(|byte| *byte == number as u8);
        prop_assert!(frames.iter().enumerate().all(is_own));
        prop_assert_eq!(reserved_bytes(&account), 0);
    }
}

#[test]
fn a_frame_without_room_ends_its_connection_and_a_short_one_needs_none() {
    let memory = memory_for_long(LONG_BYTES);
    let (account, other) = (memory.account(), memory.account());
    let mut held = other.reservation();
    assert!(held.try_grow_to(LONG_BYTES - MAX_FRAME_BYTES / 2));
    let reservation = account.reservation();
    let mut codec = FrameCodec::reserving(MAX_FRAME_BYTES, reservation, Default::default());
    let mut short = BytesMut::from(&[0, 0, 0, 1, 7][..]);
    let frame = codec.decode(&mut short).expect("it is covered");
    assert_eq!(frame.as_deref(), Some(&[7][..]));
    let mut long = BytesMut::from(&(MAX_FRAME_BYTES as u32).to_be_bytes()[..]);
    let error = codec.decode(&mut long).expect_err("there is no room");
    assert_eq!(error.kind(), io::ErrorKind::OutOfMemory);
}
