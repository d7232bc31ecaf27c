//! Frames come out as they were sent, and their memory is reserved while they arrive.

use crate::client_memory::SHORT_BYTES;
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
            let reserved = reserved_bytes(&account);
            match next_bytes > COVERED_BYTES {
                // The length of the frame has to arrive first.
                true if reserved == 0 => prop_assert!(received.len() < 4),
                true => prop_assert_eq!(reserved, next_bytes),
                false => prop_assert_eq!(reserved, 0),
            }
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
    // All memory is held, but for less than a frame.
    let mut held = Vec::new();
    for bytes in [SHORT_BYTES, COVERED_BYTES] {
        loop {
            let mut more = other.reservation();
            if !more.try_grow_to(bytes) {
                break;
            }
            held.push(more);
        }
    }
    let reservation = account.reservation();
    let mut codec = FrameCodec::reserving(MAX_FRAME_BYTES, reservation, Default::default());
    let mut received = BytesMut::from(&(COVERED_BYTES as u32).to_be_bytes()[..]);
    received.resize(received.len() + COVERED_BYTES, 7);
    let frame = codec.decode(&mut received).expect("it is covered");
    assert_eq!(frame.map(|frame| frame.len()), Some(COVERED_BYTES));
    received.extend_from_slice(&(COVERED_BYTES as u32 + 1).to_be_bytes());
    let error = codec.decode(&mut received).expect_err("there is no room");
    assert_eq!(error.kind(), io::ErrorKind::OutOfMemory);
}
