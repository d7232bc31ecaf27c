//! Selects the recipients of one gossip round: all VMs of a small fleet, a part of a large one.

use crate::inventory::Name;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The maximum number of messages that a VM sends to remote zones per round. Traffic between zones
/// is expensive: with 76 VMs, messages to all of them made up 0.3 of 0.38 GB in an idle minute.
const MAX_REMOTE_MESSAGES: usize = 12;
/// The maximum number of messages that a VM sends to its own zone per round. In a large zone a
/// single VM adds little to the load of a runner, so that its report may come later. With fewer
/// messages the sightings of 410 VMs spread too slowly (`tests/views.rs`).
const MAX_LOCAL_MESSAGES: usize = 28;

/// How many times per round a VM is listed in the messages that one VM receives from its own zone,
/// on average. The listed VMs are drawn at random; with three, every view stays up to date even
/// when a tenth of the messages is lost (`tests/views.rs`).
const MENTIONS_PER_ROUND: usize = 3;
/// The maximum number of VMs that a message to the local zone lists. Each takes 10 bytes, so that
/// they fit one datagram.
const MAX_VMS_PER_MESSAGE: usize = 110;

/// The maximum number of VMs that report their demand to the leader in one round.
const MAX_DEMANDS_PER_ROUND: usize = 100;

/// The recipients of gossip messages.
#[derive(Debug, Default)]
pub(super) struct Targets {
    /// The addresses of the VMs in remote zones, by zone.
    pub(super) remote: BTreeMap<Name, Vec<SocketAddr>>,
    /// The addresses of the VMs in the local zone, and of those whose zone is not known yet.
    pub(super) local: Vec<SocketAddr>,
}

impl Targets {
    /// All VMs.
    pub(super) fn all(&self) -> impl Iterator<Item = SocketAddr> {
        let remote = self.remote.values().flatten();
        self.local.iter().chain(remote).copied()
    }

    /// The number of VMs in remote zones.
    fn remote_count(&self) -> usize {
        self.remote.values().map(Vec::len).sum()
    }

    /// The number of rounds in which every VM in a remote zone is sent to once.
    pub(super) fn remote_rounds(&self) -> usize {
        self.remote_count().div_ceil(MAX_REMOTE_MESSAGES).max(1)
    }

    /// The number of rounds in which every VM in the local zone is sent to once.
    pub(super) fn local_rounds(&self) -> usize {
        self.local.len().div_ceil(MAX_LOCAL_MESSAGES).max(1)
    }

    /// The number of rounds in which every VM reports its demand to the leader once.
    pub(super) fn demand_rounds(&self) -> usize {
        let vms = self.remote_count() + self.local.len() + 1;
        vms.div_ceil(MAX_DEMANDS_PER_ROUND)
    }

    /// The number of VMs that a message to the local zone lists.
    pub(super) fn vms_per_message(&self) -> usize {
        let vms = self.remote_count() + self.local.len();
        let received = self.local.len() / self.local_rounds();
        let listed = (vms * MENTIONS_PER_ROUND).div_ceil(received.max(1));
        listed.min(MAX_VMS_PER_MESSAGE)
    }

    /// The VMs of the local zone that are sent to in this `round`.
    pub(super) fn local_part(&self, round: usize) -> Vec<SocketAddr> {
        part(&self.local, round, self.local_rounds())
    }

    /// The VMs of each remote zone that are sent to in this `round`. Every VM is sent to once in
    /// [`Self::remote_rounds`] rounds, and a zone with at least that many VMs receives messages in
    /// every round.
    pub(super) fn remote_part(
        &self,
        round: usize,
    ) -> impl Iterator<Item = (&Name, Vec<SocketAddr>)> {
        let parts = self.remote_rounds();
        let zones = self.remote.iter();
        zones.map(move |(zone, vms)| (zone, part(vms, round, parts)))
    }
}

/// The part of the VMs whose index modulo `parts` is that of the round.
fn part(vms: &[SocketAddr], round: usize, parts: usize) -> Vec<SocketAddr> {
    let of_part = vms.iter().skip(round % parts).step_by(parts);
    of_part.copied().collect()
}
