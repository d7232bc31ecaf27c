//! Memory that is reserved for a client.

use super::account::ClientAccount;
use super::memory::HeldBytes;
use bytes::Bytes;
use std::time::Duration;

/// The first and the longest pause between two attempts of a reservation that waits for room.
const MIN_RETRY_INTERVAL: Duration = Duration::from_millis(2);
const MAX_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// How long connections that are being closed may take until their memory is free.
const CLOSE_TIME: Duration = Duration::from_millis(100);

/// Bytes that are reserved for a client until this is dropped.
#[derive(Debug)]
pub(crate) struct Reservation {
    bytes: usize,
    account: ClientAccount,
}

impl Reservation {
    pub(super) fn new(account: ClientAccount) -> Self {
        Self { bytes: 0, account }
    }

    /// The bytes that are reserved.
    #[cfg(test)]
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Reserves `bytes` in all, if there is room for them; returns whether there is.
    pub(crate) fn try_grow_to(&mut self, bytes: usize) -> bool {
        if bytes <= self.bytes {
            return true;
        }
        let more = self.more(bytes);
        let is_reserved = self.account.memory().try_reserve(more);
        if is_reserved {
            self.account.add(more);
            self.bytes = bytes;
        }
        is_reserved
    }

    /// Like [`Self::try_grow_to`], and reserves the bytes as well if there will be room once other
    /// connections are closed, for callers that cannot wait for that.
    pub(crate) fn grow_to_or_evict(&mut self, bytes: usize) -> bool {
        if self.try_grow_to(bytes) {
            return true;
        }
        let more = self.more(bytes);
        let is_coming = self.account.memory().make_room(more);
        if is_coming {
            self.account.memory().reserve_beyond(more);
            self.account.add(more);
            self.bytes = bytes;
        }
        is_coming
    }

    /// Like [`Self::try_grow_to`], and closes other connections for it if that makes room.
    pub(crate) async fn grow_to_or_fail(&mut self, bytes: usize) -> bool {
        if self.try_grow_to(bytes) {
            return true;
        }
        if !self.account.memory().make_room(self.more(bytes)) {
            return false;
        }
        let growing = self.grow_to(bytes);
        compio::time::timeout(CLOSE_TIME, growing).await.is_ok()
    }

    /// Waits until there is room for `bytes` in all. Connections that hold most for longest are closed
    /// meanwhile.
    pub(crate) async fn grow_to(&mut self, bytes: usize) {
        let mut pause = MIN_RETRY_INTERVAL;
        while !self.try_grow_to(bytes) {
            self.account.memory().make_room(self.more(bytes));
            compio::time::sleep(pause).await;
            pause = (pause * 2).min(MAX_RETRY_INTERVAL);
        }
    }

    /// Gives back what exceeds `bytes`.
    pub(crate) fn shrink_to(&mut self, bytes: usize) {
        if bytes >= self.bytes {
            return;
        }
        let (before, after) = (HeldBytes::of(self.bytes), HeldBytes::of(bytes));
        let unused = HeldBytes {
            all: before.all - after.all,
            long: before.long - after.long,
        };
        self.account.subtract(unused);
        self.account.memory().give_back(unused);
        self.bytes = bytes;
    }

    /// Returns `bytes` so that this reservation lasts until their last copy is dropped.
    pub(crate) fn hold(self, bytes: Bytes) -> Bytes {
        match self.bytes {
            0 => bytes,
            _ => Bytes::from_owner(ReservedBytes {
                bytes,
                _reservation: self,
            }),
        }
    }

    /// What has to be reserved beside this for `bytes` in all.
    fn more(&self, bytes: usize) -> HeldBytes {
        let (before, after) = (HeldBytes::of(self.bytes), HeldBytes::of(bytes));
        HeldBytes {
            all: after.all - before.all,
            long: after.long - before.long,
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.shrink_to(0);
    }
}

/// Bytes with the reservation for them.
struct ReservedBytes {
    bytes: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
