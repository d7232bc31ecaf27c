//! Reads request bodies into memory that is reserved for the client that sends them.

use super::{COVERED_BYTES, ClientAccount, Reservation, SHORT_BYTES};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body;

/// The reason why a request body was not read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum BodyError {
    /// The body ended before it was whole.
    Broken,
    /// What is held for other clients takes the memory now.
    NoRoom,
    /// The body is longer than allowed, or than all memory for bodies.
    TooLong,
}

/// Reads a request body of up to `limit_bytes` to its end. Its memory stays reserved until the last
/// copy of it is dropped.
///
/// # Errors
///
/// Fails if the body breaks off, is too long, or finds no room. The rest of the body is then not read.
pub(crate) async fn read_request_body<B>(
    mut body: B,
    limit_bytes: usize,
    account: &ClientAccount,
) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
{
    let longest_bytes = account.memory().longest_bytes();
    let max_bytes = limit_bytes.min(longest_bytes.max(SHORT_BYTES));
    let mut bytes = BytesMut::new();
    let mut room_bytes = 0;
    let mut reservation = account.reservation();
    if let Some(stated_bytes) = body.size_hint().exact() {
        let stated_bytes = usize::try_from(stated_bytes).unwrap_or(usize::MAX);
        if stated_bytes > max_bytes {
            return Err(BodyError::TooLong);
        }
        room_bytes = stated_bytes;
        make_room(&mut bytes, room_bytes, &mut reservation).await?;
    }
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let _receiving = account.receive();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_error| BodyError::Broken)?;
        let Some(data) = frame.data_ref() else {
            continue;
        };
        let length = bytes.len() + data.len();
        if length > max_bytes {
            return Err(BodyError::TooLong);
        }
        if length > room_bytes {
            let is_short = length <= SHORT_BYTES;
            let most_bytes = if is_short { SHORT_BYTES } else { max_bytes };
            room_bytes = (2 * length).min(most_bytes);
            make_room(&mut bytes, room_bytes, &mut reservation).await?;
        }
        bytes.extend_from_slice(data);
    }
    Ok(reservation.hold(bytes.freeze()))
}

/// Makes room for `room_bytes` in all.
async fn make_room(
    bytes: &mut BytesMut,
    room_bytes: usize,
    reservation: &mut Reservation,
) -> Result<(), BodyError> {
    if room_bytes > COVERED_BYTES && !reservation.grow_to_or_fail(room_bytes).await {
        return Err(BodyError::NoRoom);
    }
    bytes.reserve(room_bytes - bytes.len());
    Ok(())
}
