//! A bound on the bytes that are held in memory for several requests together.

use bytes::Bytes;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// A number of bytes that reservations share.
#[derive(Clone, Debug)]
pub(crate) struct ByteBudget {
    max_bytes: usize,
    reserved_bytes: Arc<AtomicUsize>,
}

impl ByteBudget {
    /// Creates a budget of which nothing is reserved.
    pub(crate) fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            reserved_bytes: Arc::default(),
        }
    }

    /// The most bytes that can be reserved.
    pub(super) fn max_bytes(&self) -> usize {
        self.max_bytes
    }

    /// The bytes that are reserved now.
    pub(super) fn reserved_bytes(&self) -> usize {
        self.reserved_bytes.load(Ordering::Relaxed)
    }

    /// Creates a reservation of no bytes.
    pub(super) fn empty_reservation(&self) -> Reservation {
        Reservation {
            bytes: 0,
            budget: self.clone(),
        }
    }
}

/// Bytes of a budget that are reserved until this is dropped.
#[derive(Debug)]
pub(super) struct Reservation {
    bytes: usize,
    budget: ByteBudget,
}

impl Reservation {
    /// Reserves `bytes` in all, if the budget has room for them; returns whether it does.
    pub(super) fn try_grow_to(&mut self, bytes: usize) -> bool {
        let budget = &self.budget;
        let more_bytes = bytes.saturating_sub(self.bytes);
        let reserved = budget.reserved_bytes.try_update(
            Ordering::Relaxed,
            Ordering::Relaxed,
            |reserved_bytes| {
                let sum = reserved_bytes.checked_add(more_bytes)?;
                (sum <= budget.max_bytes).then_some(sum)
            },
        );
        if reserved.is_ok() {
            self.bytes += more_bytes;
        }
        reserved.is_ok()
    }

    /// Gives back what exceeds `bytes`.
    pub(super) fn shrink_to(&mut self, bytes: usize) {
        let unused = self.bytes.saturating_sub(bytes);
        self.bytes -= unused;
        self.budget
            .reserved_bytes
            .fetch_sub(unused, Ordering::Relaxed);
    }

    /// Returns `bytes` so that this reservation lasts until their last copy is dropped.
    pub(super) fn hold(self, bytes: Bytes) -> Bytes {
        match self.bytes {
            0 => bytes,
            _ => Bytes::from_owner(HeldBytes {
                bytes,
                _reservation: self,
            }),
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.shrink_to(0);
    }
}

/// Bytes with the reservation for them.
struct HeldBytes {
    bytes: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
