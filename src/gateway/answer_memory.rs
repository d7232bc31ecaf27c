//! Reads answers into memory, within a bound for each and one for all of them together.

use crate::gateway::byte_budget::{ByteBudget, Reservation};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body;
use std::fmt;
use std::time::Duration;

/// The longest answer, in bytes.
pub(super) const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// The most pieces of an answer, so that one in tiny pieces does not take the processor for long.
const MAX_PIECES: usize = 256 * 1024;
/// The length up to which an answer needs no reservation, in bytes: short answers never wait for
/// long ones.
pub(super) const UNRESERVED_BYTES: usize = 64 * 1024;
/// How often an answer that waits for memory checks whether there is some.
const RESERVATION_INTERVAL: Duration = Duration::from_millis(5);

/// The reason why an answer was not read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum AnswerError {
    /// The answer ended before it was whole.
    Broken,
    /// The answer is longer than [`MAX_ANSWER_BYTES`] or has more than [`MAX_PIECES`].
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

/// The memory that long answers may take together.
#[derive(Debug)]
pub(crate) struct AnswerMemory {
    budget: ByteBudget,
}

impl AnswerMemory {
    /// Creates memory for answers of `max_bytes` together, at least one of the greatest length.
    pub(crate) fn new(max_bytes: usize) -> Self {
        Self {
            budget: ByteBudget::new(max_bytes.max(MAX_ANSWER_BYTES)),
        }
    }

    /// The memory that is reserved now.
    #[cfg(test)]
    pub(super) fn reserved_bytes(&self) -> usize {
        self.budget.reserved_bytes()
    }

    /// Waits until there is memory for another `bytes`. All that an answer may need is reserved at
    /// once, so that answers never wait for each other in a circle.
    async fn reserve(&self, bytes: usize) -> Reservation {
        let mut reservation = self.budget.empty_reservation();
        while !reservation.try_grow_to(bytes) {
            compio::time::sleep(RESERVATION_INTERVAL).await;
        }
        reservation
    }
}

/// Reads an answer to its end.
///
/// # Errors
///
/// Fails if the answer breaks off or is too long.
pub(crate) async fn read_answer<B>(mut body: B, memory: &AnswerMemory) -> Result<Bytes, AnswerError>
where
    B: Body<Data = Bytes> + Unpin,
{
    let stated_bytes = body.size_hint().exact().map(|bytes| bytes as usize);
    let longest_bytes = stated_bytes.unwrap_or(MAX_ANSWER_BYTES);
    if longest_bytes > MAX_ANSWER_BYTES {
        return Err(AnswerError::TooLong);
    }
    let mut bytes = BytesMut::with_capacity(stated_bytes.unwrap_or(0).min(UNRESERVED_BYTES));
    let mut reservation = None;
    let mut pieces = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_error| AnswerError::Broken)?;
        let Some(data) = frame.data_ref() else {
            continue;
        };
        pieces += 1;
        let length = bytes.len() + data.len();
        if length > MAX_ANSWER_BYTES || pieces > MAX_PIECES {
            return Err(AnswerError::TooLong);
        }
        if length > UNRESERVED_BYTES && reservation.is_none() {
            reservation = Some(memory.reserve(longest_bytes).await);
            // The memory of the whole answer, so that it is not copied while it grows.
            bytes.reserve(longest_bytes.saturating_sub(bytes.len()));
        }
        bytes.extend_from_slice(data);
    }
    if stated_bytes.is_some_and(|stated_bytes| stated_bytes != bytes.len()) {
        return Err(AnswerError::Broken);
    }
    let bytes = bytes.freeze();
    let Some(mut reservation) = reservation else {
        return Ok(bytes);
    };
    reservation.shrink_to(bytes.len());
    Ok(reservation.hold(bytes))
}
