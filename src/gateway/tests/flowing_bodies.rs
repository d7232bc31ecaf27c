//! A body that flows is read however long it takes, and one that trickles is given up.

use crate::http::{ReadError, read_flowing_body};
use bytes::Bytes;
use futures_util::future::join;
use futures_util::stream;
use http_body_util::StreamBody;
use hyper::body::Frame;
use std::cell::Cell;
use std::convert::Infallible;
use std::time::{Duration, Instant};

/// The time between two pieces of a body.
const PAUSE: Duration = Duration::from_millis(100);

/// Reads a body of pieces of the given length, one at a time; returns how long it took.
async fn read(pieces: u32, piece_bytes: usize) -> (Result<usize, ReadError>, Duration) {
    let began = Instant::now();
    let pieces = stream::unfold(pieces, async |left| {
        compio::time::sleep(PAUSE).await;
        let piece: Result<_, Infallible> = Ok(Frame::data(Bytes::from(vec![b'a'; piece_bytes])));
        Some((piece, left.checked_sub(1)?))
    });
    let max_stall = Duration::from_millis(700);
    let received_bytes = Cell::new(0);
    let body = StreamBody::new(pieces);
    let read = read_flowing_body(body, 1 << 25, max_stall, &received_bytes).await;
    (read.map(|bytes| bytes.len()), began.elapsed())
}

#[test]
fn a_body_that_trickles_without_end_is_given_up_while_a_slow_one_is_read_whole() {
    let runtime = compio::runtime::Runtime::new().expect("a runtime starts");
    runtime.block_on(async {
        let (endless, slow) = join(read(u32::MAX, 10), read(65, 8_192)).await;
        assert!(matches!(endless.0, Err(ReadError::Stalled)), "{endless:?}");
        assert!(endless.1 < Duration::from_secs(6), "{endless:?}");
        assert_eq!(slow.0.ok(), Some(65 * 8_192));
        assert!(slow.1 > endless.1, "{:?}", slow.1);
    });
}
