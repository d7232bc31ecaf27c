//! The memory that is held for clients: one bound for all of it, and which connections are closed when
//! it is short.
//!
//! Whatever is held for a client is reserved from [`ClientMemory`] before it is held: its connection,
//! heads, bodies, answers and events. When a reservation finds no room, the connections that have
//! held most for longest while they waited for their clients are closed.

mod account;
mod answer;
mod body;
mod eviction;
mod memory;
mod reservation;
#[cfg(test)]
mod tests;

pub(crate) use account::ClientAccount;
#[cfg(test)]
pub(crate) use answer::MAX_ANSWER_BYTES;
pub(crate) use answer::{AnswerError, read_answer};
pub(crate) use body::{BodyError, read_request_body};
pub(crate) use eviction::EvictionCause;
pub(crate) use memory::{ClientMemory, EvictionLabels, ListenerId};
pub(crate) use reservation::Reservation;

/// What an open connection takes besides what is reserved for it: its task, its buffers, and answers
/// and events of up to [`COVERED_BYTES`].
pub(crate) const CONNECTION_BYTES: usize = 48 * 1024;
/// What a request in work takes besides.
pub(crate) const REQUEST_BYTES: usize = 12 * 1024;
/// What its connection to a server takes, with its buffers.
pub(crate) const SERVER_BYTES: usize = 48 * 1024;
/// The length up to which a body, an answer or an event needs no reservation, in bytes.
pub(crate) const COVERED_BYTES: usize = 512;
/// The length up to which reservations are short, in bytes: long ones leave them a part of the memory.
pub(crate) const SHORT_BYTES: usize = 64 * 1024;
