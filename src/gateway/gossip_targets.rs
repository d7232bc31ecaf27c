//! Which VMs are spoken to in one turn: all of a small fleet, parts of a large one.

use crate::inventory::Name;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Messages to other zones that a VM sends in one turn, at most: bytes between zones cost, and with
/// 76 VMs messages to all were 0.3 of 0.38 GB in a quiet minute.
const MAX_FAR_MESSAGES: usize = 12;
/// Messages to the own zone that a VM sends in one turn, at most: the load of one VM of a large zone
/// changes a runner's little. With fewer, signs of life of 410 VMs spread too slowly
/// (`tests/views.rs`).
const MAX_NEAR_MESSAGES: usize = 28;

/// How often a VM hears of each VM in one turn, over all messages from its own zone: many of them are
/// drawn, and a tenth of the messages lost still leaves no view without a sign of life for long
/// (`tests/views.rs`).
const TELLINGS_A_TURN: usize = 3;
/// VMs that a message to the own zone tells of at most, 25 bytes each: they fit one datagram.
const MAX_VMS_A_MESSAGE: usize = 40;

/// Where messages go.
#[derive(Debug, Default)]
pub(super) struct Targets {
    /// VMs in other zones, by zone and address.
    pub(super) far: BTreeMap<Name, Vec<SocketAddr>>,
    /// VMs in the own zone, and those whose zone is not known yet.
    pub(super) near: Vec<SocketAddr>,
}

impl Targets {
    /// How many VMs stand in other zones.
    fn far_count(&self) -> usize {
        self.far.values().map(Vec::len).sum()
    }

    /// After how many turns each VM in another zone has been spoken to once.
    pub(super) fn remote_rounds(&self) -> usize {
        self.far_count().div_ceil(MAX_FAR_MESSAGES).max(1)
    }

    /// After how many turns each VM in the own zone has been spoken to once.
    pub(super) fn local_rounds(&self) -> usize {
        self.near.len().div_ceil(MAX_NEAR_MESSAGES).max(1)
    }

    /// How many VMs a message to the own zone tells of.
    pub(super) fn vms_per_message(&self) -> usize {
        let vms = self.far_count() + self.near.len();
        let heard = self.near.len() / self.local_rounds();
        let told = (vms * TELLINGS_A_TURN).div_ceil(heard.max(1));
        told.min(MAX_VMS_A_MESSAGE)
    }

    /// The part of the own zone that is spoken to in this `turn`.
    pub(super) fn local_part(&self, turn: usize) -> Vec<SocketAddr> {
        part(&self.near, turn, self.local_rounds())
    }

    /// The part of the VMs in other zones that is spoken to in this `turn`: so many of each zone
    /// that all have been in as many turns as there are parts, and that each zone hears something
    /// in each turn.
    pub(super) fn remote_part(
        &self,
        turn: usize,
    ) -> impl Iterator<Item = (&Name, Vec<SocketAddr>)> {
        let parts = self.remote_rounds();
        let far = self.far.iter();
        far.map(move |(zone, vms)| (zone, part(vms, turn, parts)))
    }
}

/// One of `parts` parts of the VMs, by the turn.
fn part(vms: &[SocketAddr], turn: usize, parts: usize) -> Vec<SocketAddr> {
    let of_part = vms.iter().skip(turn % parts).step_by(parts);
    of_part.copied().collect()
}
