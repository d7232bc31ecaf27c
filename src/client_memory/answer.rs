//! Reads answers into memory that is reserved for the client that asked.

use super::{COVERED_BYTES, ClientAccount, SHORT_BYTES};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body;
use std::fmt;

/// The longest answer, in bytes.
pub(crate) const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// The most pieces of an answer, so that one in tiny pieces does not take the processor for long.
const MAX_PIECES: usize = 256 * 1024;

/// The reason why an answer was not read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum AnswerError {
    /// The answer ended before it was whole.
    Broken,
    /// The answer is longer than [`MAX_ANSWER_BYTES`] or the memory for clients, or has more than
    /// [`MAX_PIECES`].
    TooLong,
}

impl fmt::Display for AnswerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Broken => "broken off",
            Self::TooLong => "too long",
        })
    }
}

/// Reads an answer to its end, as far as there is memory for it. The memory stays reserved until the
/// last copy of the answer is dropped.
///
/// # Errors
///
/// Fails if the answer breaks off or is too long.
pub(crate) async fn read_answer<B>(
    mut body: B,
    account: &ClientAccount,
) -> Result<Bytes, AnswerError>
where
    B: Body<Data = Bytes> + Unpin,
{
    let max_bytes = MAX_ANSWER_BYTES.min(account.memory().longest_bytes());
    let stated_bytes = body.size_hint().exact().map(|bytes| bytes as usize);
    if stated_bytes.is_some_and(|bytes| bytes > max_bytes) {
        return Err(AnswerError::TooLong);
    }
    let mut reservation = account.reservation();
    let mut bytes = BytesMut::new();
    let mut room_bytes = stated_bytes.unwrap_or(COVERED_BYTES);
    if room_bytes > COVERED_BYTES {
        reservation.grow_to(room_bytes).await;
    }
    bytes.reserve(room_bytes);
    let mut pieces = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_error| AnswerError::Broken)?;
        let Some(data) = frame.data_ref() else {
            continue;
        };
        pieces += 1;
        let length = bytes.len() + data.len();
        if length > max_bytes || pieces > MAX_PIECES {
            return Err(AnswerError::TooLong);
        }
        if length > room_bytes {
            // All that the answer may need is reserved at once, so that answers never wait for each
            // other in a circle.
            room_bytes = if length > SHORT_BYTES {
                max_bytes
            } else {
                SHORT_BYTES
            };
            reservation.grow_to(room_bytes).await;
            bytes.reserve(room_bytes - bytes.len());
        }
        bytes.extend_from_slice(data);
    }
    if stated_bytes.is_some_and(|stated_bytes| stated_bytes != bytes.len()) {
        return Err(AnswerError::Broken);
    }
    if room_bytes > 2 * bytes.len() {
        bytes = BytesMut::from(&bytes[..]);
    }
    reservation.shrink_to(if bytes.len() > COVERED_BYTES {
        bytes.len()
    } else {
        0
    });
    Ok(reservation.hold(bytes.freeze()))
}
