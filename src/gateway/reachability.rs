//! Decides whether this VM can open connections to backend servers at all.
//!
//! A VM may be cut off from all backend servers while callers, the log and the other VMs still reach
//! it. Each failed connection alone looks like the failure of one server, and several like that of
//! a zone. The VM counts as cut off once connections to servers of several zones have failed for a
//! while and none that was begun since has opened. Many servers that crash at the same moment refuse
//! connections within milliseconds too; while that is in doubt, connections to others are tried.
//! A VM that wrongly counts as cut off gives up the orders and forwards requests that it could serve.

use crate::gateway::exchange::CONNECT_TIMEOUT;
use crate::inventory::Name;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// The number of different servers that must have failed, unless fewer are listed.
const MIN_FAILED_SERVERS: usize = 3;
/// The number of different zones that they must be in, unless the servers are in one.
const MIN_FAILED_ZONES: usize = 2;
/// The time for which connections must have failed. A single one that gets no response takes as long.
/// When a quarter of the servers crash, a VM with a tenth of a core handles the refusals and the
/// connections to the others over several hundred milliseconds, so that 50 ms was too short.
pub(crate) const CONFIRMATION_TIME: Duration = CONNECT_TIMEOUT;

/// The listed servers, as far as they matter for the decision.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct ListedServers {
    /// The number of servers.
    pub(crate) servers: usize,
    /// The number of availability zones that they are in.
    pub(crate) zones: usize,
}

/// A change in what this VM reaches.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ReachabilityChange {
    /// No server is reached any more.
    Lost,
    /// Servers are reached again; holds when they were lost.
    Regained(Instant),
}

/// The time without any response after which a request that gets none is a reason for doubt.
const QUIET_TIME: Duration = Duration::from_millis(400);

/// The outcomes of connections to backend servers since one last opened.
#[derive(Debug, Default)]
pub(crate) struct Reachability {
    /// When a server last responded.
    answered_at: Option<Instant>,
    /// Whether a request got no response while no server responded to any other.
    is_silent: bool,
    /// When the last connection opened.
    opened_at: Option<Instant>,
    /// The zones of the servers that were not reached since, by server.
    failed: HashMap<Name, Name>,
    /// When the first connection that failed since was begun.
    failing_since: Option<Instant>,
    lost_at: Option<Instant>,
}

impl Reachability {
    /// Whether this VM reaches no server.
    pub(crate) fn is_lost(&self) -> bool {
        self.lost_at.is_some()
    }

    /// Whether connections have failed or requests got no response, and none has opened since.
    pub(crate) fn is_doubted(&self) -> bool {
        self.is_silent || !self.failed.is_empty()
    }

    /// Whether the server was not reached since a connection last opened.
    pub(crate) fn has_failed(&self, server: &Name) -> bool {
        self.failed.contains_key(server)
    }

    /// Records that a server responded.
    pub(crate) fn record_answer(&mut self, now: Instant) {
        self.answered_at = Some(now);
    }

    /// Records that a request gets no response.
    pub(crate) fn record_silence(&mut self, now: Instant) {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < QUIET_TIME;
        let last = self.answered_at.max(self.opened_at);
        self.is_silent |= !last.is_some_and(is_recent);
    }

    /// Records that a connection opened.
    pub(crate) fn record_opened(&mut self, now: Instant) -> Option<ReachabilityChange> {
        self.opened_at = Some(now);
        self.is_silent = false;
        self.failed.clear();
        self.failing_since = None;
        self.lost_at.take().map(ReachabilityChange::Regained)
    }

    /// Records that a connection to a server in `zone`, begun at a time, did not open.
    pub(crate) fn record_failed(
        &mut self,
        server: &Name,
        zone: &Name,
        begun_at: Instant,
        listed: ListedServers,
        now: Instant,
    ) -> Option<ReachabilityChange> {
        if self.opened_at.is_some_and(|opened_at| opened_at > begun_at) {
            return None;
        }
        self.failed.insert(server.clone(), zone.clone());
        let failing_since = *self.failing_since.get_or_insert(begun_at);
        let is_confirmed = now.saturating_duration_since(failing_since) >= CONFIRMATION_TIME;
        let mut zones: Vec<&Name> = self.failed.values().collect();
        zones.sort();
        zones.dedup();
        let is_lost = is_confirmed
            && self.failed.len() >= MIN_FAILED_SERVERS.min(listed.servers)
            && zones.len() >= MIN_FAILED_ZONES.min(listed.zones);
        if self.is_lost() || !is_lost {
            return None;
        }
        self.lost_at = Some(now);
        Some(ReachabilityChange::Lost)
    }
}
