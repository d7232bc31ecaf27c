//! What a client sends on its connection, observed while it is read.

use crate::client_memory::{ClientAccount, Reservation};
use crate::head_progress::{HeadProgress, Unread};
use crate::response_progress::ReadObserver;
use compio::net::TcpStream;
use socket2::SockRef;
use std::cell::RefCell;
use std::mem::MaybeUninit;
use std::rc::Rc;

/// The most unread bytes that are counted.
const MAX_COUNTED_BYTES: usize = 4 * 1024;
/// The length of a head, in bytes, up to which the memory of its connection covers it, and by which
/// the reservation for a longer one grows.
const HEAD_STEP_BYTES: usize = 8 * 1024;

/// What a client sends on its connection.
#[derive(Clone, Debug)]
pub(crate) struct ClientInput {
    head: HeadProgress,
    socket: TcpStream,
    /// What is reserved for a long head.
    reservation: Rc<RefCell<Reservation>>,
}

impl ClientInput {
    /// Observes a connection whose request heads are waited for as `head` says.
    pub(crate) fn new(socket: TcpStream, head: HeadProgress, account: &ClientAccount) -> Self {
        let reservation = Rc::new(RefCell::new(account.reservation()));
        Self {
            head,
            socket,
            reservation,
        }
    }

    /// Reserves the memory for the head that arrives; returns whether there is some.
    fn hold_head(&self) -> bool {
        let steps = self.head.received_bytes() / HEAD_STEP_BYTES as u64;
        let mut reservation = self.reservation.borrow_mut();
        // The buffer for a head doubles as it grows.
        let needed_bytes = 2 * steps as usize * HEAD_STEP_BYTES;
        reservation.shrink_to(needed_bytes);
        reservation.grow_to_or_evict(needed_bytes)
    }

    /// The bytes in the socket that have not been read, as far as they are counted.
    pub(crate) fn unread_bytes(&self) -> usize {
        let mut bytes = [MaybeUninit::uninit(); MAX_COUNTED_BYTES];
        // The socket does not block; an error is met again by the next read.
        SockRef::from(&self.socket).peek(&mut bytes).unwrap_or(0)
    }

    /// Whether a client has begun to send a request whose head has not been read.
    pub(crate) fn has_begun_head(&self) -> bool {
        self.head.is_awaited() && (self.head.received_bytes() > 0 || self.unread_bytes() > 0)
    }
}

impl ReadObserver for ClientInput {
    fn note_bytes(&self, bytes: usize) -> bool {
        self.head.add(bytes);
        self.hold_head()
    }

    fn note_wait(&self, is_held_back: bool) {
        self.head.hold_back(is_held_back);
        if self.head.unread() == Unread::Wanted {
            let unread = match self.unread_bytes() {
                0 => Unread::Absent,
                _ => Unread::Present,
            };
            self.head.set_unread(unread);
        }
    }
}
