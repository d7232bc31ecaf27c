//! What a VM knows of the leader, from its own messages and from those of other VMs.
//!
//! The leader sends to as few VMs in a round as any other VM does. These report to others when they
//! heard from it, so that within a few rounds every VM knows that the leader is alive. While the
//! leader is silent the age of its last message only grows, through however many VMs it is reported.

use crate::gateway::peers::MIN_STATE_TTL;
use std::net::SocketAddr;
use std::time::Instant;

/// A leader and when it was last known to lead.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct LeaderSighting {
    /// The address at which the leader receives messages.
    pub(crate) address: SocketAddr,
    /// The fence that it leads with.
    pub(crate) fence: u64,
    /// When any VM last received a message from it.
    pub(crate) seen_at: Instant,
}

/// The leader that a VM knows.
#[derive(Debug, Default)]
pub(crate) struct LeaderView {
    latest: Option<LeaderSighting>,
    /// When the last known leader gave up leadership, if it did.
    released_at: Option<Instant>,
}

impl LeaderView {
    /// Records that a VM leads, as it states itself.
    pub(crate) fn record_leader(&mut self, sighting: LeaderSighting) {
        let is_outdated = |latest: LeaderSighting| {
            let age = sighting.seen_at.saturating_duration_since(latest.seen_at);
            latest.fence > sighting.fence && age < MIN_STATE_TTL
        };
        if !self.latest.is_some_and(is_outdated) {
            self.latest = Some(sighting);
            self.released_at = None;
        }
    }

    /// Records that another VM heard from a leader.
    pub(crate) fn record_report(&mut self, sighting: LeaderSighting) {
        let is_later = self
            .latest
            .is_none_or(|latest| latest.seen_at < sighting.seen_at);
        let is_released = self.released_at.is_some_and(|at| sighting.seen_at <= at);
        if is_later && !is_released {
            self.record_leader(sighting);
        }
    }

    /// Records that a VM does not lead. If it was the leader, it gave up leadership.
    pub(crate) fn record_follower(&mut self, address: SocketAddr, now: Instant) {
        if self.latest.is_some_and(|latest| latest.address == address) {
            self.latest = None;
            self.released_at = Some(now);
        }
    }

    /// Returns the leader, unless nothing was heard of it for too long.
    pub(crate) fn current(&self, now: Instant) -> Option<LeaderSighting> {
        let is_current =
            |it: &LeaderSighting| now.saturating_duration_since(it.seen_at) < MIN_STATE_TTL;
        self.latest.filter(is_current)
    }

    /// Whether the last known leader gave up leadership.
    pub(crate) fn is_released(&self) -> bool {
        self.released_at.is_some()
    }
}
