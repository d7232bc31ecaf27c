//! Reads request bodies into memory, within a bound for each and one for all of them together.

use crate::gateway::byte_budget::{ByteBudget, Reservation};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body;

/// The share of a VM's memory that long request bodies may take together.
const MEMORY_SHARE: f64 = 0.4;
/// The length up to which a body needs no reservation, in bytes: short requests are never refused
/// for long ones.
pub(super) const UNRESERVED_BYTES: usize = 64 * 1024;

/// The reason why a request body was not read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum BodyError {
    /// The body ended before it was whole.
    Broken,
    /// Other bodies take the memory now.
    NoRoom,
    /// The body is longer than allowed, or than all memory for bodies.
    TooLong,
}

/// Returns the budget for the request bodies of a VM with this memory.
pub(super) fn body_budget(memory_bytes: usize) -> ByteBudget {
    ByteBudget::new((memory_bytes as f64 * MEMORY_SHARE) as usize)
}

/// Reads a request body of up to `limit_bytes` to its end. Its memory stays reserved until the last
/// copy of it is dropped.
///
/// # Errors
///
/// Fails if the body breaks off, is too long, or finds no room in `budget`. The rest of the body is
/// then not read.
pub(super) async fn read_request_body<B>(
    mut body: B,
    limit_bytes: usize,
    budget: &ByteBudget,
) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
{
    let max_bytes = limit_bytes.min(budget.max_bytes().max(UNRESERVED_BYTES));
    let mut bytes = BytesMut::new();
    let mut room_bytes = 0;
    let mut reservation = budget.empty_reservation();
    if let Some(stated_bytes) = body.size_hint().exact() {
        let stated_bytes = usize::try_from(stated_bytes).unwrap_or(usize::MAX);
        if stated_bytes > max_bytes {
            return Err(BodyError::TooLong);
        }
        room_bytes = stated_bytes;
        make_room(&mut bytes, room_bytes, &mut reservation)?;
    }
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
            let is_short = length <= UNRESERVED_BYTES;
            let most_bytes = if is_short {
                UNRESERVED_BYTES
            } else {
                max_bytes
            };
            room_bytes = (2 * length).min(most_bytes);
            make_room(&mut bytes, room_bytes, &mut reservation)?;
        }
        bytes.extend_from_slice(data);
    }
    Ok(reservation.hold(bytes.freeze()))
}

/// Makes room for `room_bytes` in all.
fn make_room(
    bytes: &mut BytesMut,
    room_bytes: usize,
    reservation: &mut Reservation,
) -> Result<(), BodyError> {
    if room_bytes > UNRESERVED_BYTES && !reservation.try_grow_to(room_bytes) {
        return Err(BodyError::NoRoom);
    }
    bytes.reserve(room_bytes - bytes.len());
    Ok(())
}
