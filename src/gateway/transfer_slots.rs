//! Decides which of the VMs that request a part of the state get it now, and names those that have
//! it to the others.
//!
//! With few transfers at a time the first receivers have the part early and pass it on, so that the
//! number of senders doubles with each transfer.

use crate::gateway::sync_message::Part;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Maximum number of transfers at a time.
pub(super) const MAX_TRANSFERS: usize = 2;
/// Maximum number of addresses that a VM is referred to.
const MAX_REFERRALS: usize = 8;
/// How long a VM that received a part is named to others.
const REFERRAL_TTL: Duration = Duration::from_secs(5);

/// A VM that received a part, or is receiving it.
#[derive(Debug)]
struct Receiver {
    address: SocketAddr,
    part: Part,
    at: Instant,
}

/// The transfers in progress at one VM, and their recent receivers.
#[derive(Debug, Default)]
pub(super) struct TransferSlots {
    open: usize,
    receivers: VecDeque<Receiver>,
}

impl TransferSlots {
    /// Takes a slot for a transfer.
    ///
    /// # Errors
    ///
    /// If none is free, returns VMs that received the part recently.
    pub(super) fn take(
        &mut self,
        part: Part,
        receiver: SocketAddr,
        now: Instant,
    ) -> Result<(), Vec<SocketAddr>> {
        if self.open < MAX_TRANSFERS {
            self.open += 1;
            return Ok(());
        }
        let is_recent = |it: &Receiver| now.saturating_duration_since(it.at) < REFERRAL_TTL;
        self.receivers.retain(is_recent);
        let others = self.receivers.iter().rev();
        let others = others.filter(|it| it.part == part && it.address != receiver);
        Err(others.map(|it| it.address).take(MAX_REFERRALS).collect())
    }

    /// Records that a VM receives a part.
    pub(super) fn note_receiver(&mut self, part: Part, address: SocketAddr, at: Instant) {
        let is_other = |it: &Receiver| it.address != address || it.part != part;
        self.receivers.retain(is_other);
        self.receivers.push_back(Receiver { address, part, at });
    }

    /// Frees the slot of a transfer that has ended.
    pub(super) fn release(&mut self) {
        self.open -= 1;
    }
}
