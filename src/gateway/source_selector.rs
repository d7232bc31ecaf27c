//! Selects where a VM obtains the directory or the configuration: from the log or from another VM.

use crate::gateway::state::State;
use crate::gateway::sync_message::Part;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time between two checks while a VM waits for its turn to read the log.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// The least time between two checks of a VM that has none of its state and refuses all requests.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The time between two such checks is this share of the time since the start: it delays the state
/// by little, and VMs that take long to start on overloaded processors check rarely.
const POLL_SHARE: f64 = 0.1;
/// Time for which the listed members are asked at most, before the other sources are considered
/// again.
const MAX_MEMBERS_TIME: Duration = Duration::from_millis(300);
/// Time after the start for which a VM waits for the list of members before it asks any VM.
const LIST_TIME: Duration = Duration::from_millis(400);
/// Number of failed requests to other VMs after which a VM may read the log.
const MAX_SYNC_FAILURES: u32 = 3;

/// Where a VM obtains what it lacks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Source {
    /// The log.
    Log,
    /// Another VM.
    Peer(SocketAddr),
    /// One of the members that the log lists, until the given time at the latest.
    Members(Instant),
    /// Nowhere: another VM has read the log meanwhile and found nothing newer.
    Unneeded,
}

impl Source {
    /// Returns the name of the source in logs.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Log => "log",
            Self::Peer(_) | Self::Members(_) => "vm",
            Self::Unneeded => "none",
        }
    }
}

/// Selects the source of one part of the state.
#[derive(Debug)]
pub(crate) struct SourceSelector {
    state: Rc<State>,
    part: Part,
    /// Failed reads of the log in a row.
    log_failures: Cell<u32>,
    /// Failed requests to other VMs in a row.
    sync_failures: Cell<u32>,
    /// Since when this VM waits for its turn to read the log.
    waiting_since: Cell<Option<Instant>>,
    /// Whether the log has just answered that the records to read next were dropped.
    is_compacted: Cell<bool>,
}

impl SourceSelector {
    /// Creates a selector for a part that this VM does not have yet.
    pub(crate) fn new(state: Rc<State>, part: Part) -> Self {
        Self {
            state,
            part,
            log_failures: Cell::new(0),
            sync_failures: Cell::new(0),
            waiting_since: Cell::new(None),
            is_compacted: Cell::new(false),
        }
    }

    /// Records that the log dropped the records that this VM was to read next. The log is available
    /// then, and it was this VM's turn, so it reads on there.
    pub(crate) fn note_compacted(&self) {
        self.is_compacted.set(true);
    }

    /// The number of failed reads of the log in a row.
    pub(crate) fn log_failures(&self) -> u32 {
        self.log_failures.get()
    }

    /// Records that the part was obtained.
    pub(crate) fn note_success(&self) {
        self.log_failures.set(0);
        self.sync_failures.set(0);
        self.waiting_since.set(None);
    }

    /// Records a failed read of the log. Other VMs may be asked again.
    pub(crate) fn note_log_failure(&self) {
        self.sync_failures.set(0);
        self.log_failures.set(self.log_failures.get() + 1);
    }

    /// Whether this VM should obtain a change from another VM, since its own reads of the log fail
    /// and the other one is ahead of `from`.
    pub(crate) fn has_alternative(&self, from: u64) -> bool {
        self.alternative(from).is_some()
    }

    /// Records that another VM did not send the part.
    pub(crate) fn note_sync_failure(&self) {
        self.sync_failures.set(self.sync_failures.get() + 1);
    }

    /// Selects where to obtain what is newer than `from`, or the whole part if that is `None`; waits
    /// for the turn of this VM to read the log if no other VM has the part.
    pub(crate) async fn select(&self, from: Option<u64>) -> Source {
        if from.is_some() {
            self.waiting_since.set(None);
        }
        loop {
            if let Some(source) = self.select_now(from, Instant::now()) {
                if source != Source::Log && self.sync_failures.get() >= MAX_SYNC_FAILURES {
                    self.sync_failures.set(0);
                }
                return source;
            }
            let interval = match from {
                None => start_poll_interval(self.state.peers.uptime(Instant::now())),
                Some(_) => POLL_INTERVAL,
            };
            compio::time::sleep(interval).await;
        }
    }

    /// The source at this time; `None` while this VM waits for its turn.
    pub(crate) fn select_now(&self, from: Option<u64>, now: Instant) -> Option<Source> {
        match from {
            None => self.whole_source(now),
            Some(from) => self.update_source(from, now),
        }
    }

    fn whole_source(&self, now: Instant) -> Option<Source> {
        let reads_first = self.is_leader() || self.is_follower(now) || self.is_overdue(now);
        if self.is_compacted.take() || (reads_first && self.log_failures.get() == 0) {
            return Some(Source::Log);
        }
        let peers = &self.state.peers;
        let zone = &self.state.settings.availability_zone;
        let with_state = peers.random_peer_with_state(zone, rand::random());
        if let Some(peer) = with_state.filter(|_| self.may_sync()) {
            return Some(Source::Peer(peer));
        }
        let first_read = peers.first_read();
        let is_first_turn = first_read.is_some_and(|it| it.is_turn(now));
        if (is_first_turn && self.log_failures.get() == 0) || self.is_turn(now) {
            return Some(Source::Log);
        }
        match first_read {
            Some(first_read) if first_read.has_members && self.may_sync() => {
                let until = now + MAX_MEMBERS_TIME;
                let turn_at = first_read.turn_at().filter(|at| *at > now);
                return Some(Source::Members(turn_at.unwrap_or(until).min(until)));
            }
            None if peers.uptime(now) < LIST_TIME => return None,
            _ => {}
        }
        // In a large fleet most VMs are heard rarely, so any of them may have the state.
        let peer = match peers.is_fleet_small() {
            true => None,
            false => peers.random_peer(zone, rand::random()),
        };
        peer.map(Source::Peer)
    }

    fn update_source(&self, from: u64, now: Instant) -> Option<Source> {
        if let Some(peer) = self.alternative(from) {
            return Some(Source::Peer(peer));
        }
        let is_wanted = self.part == Part::Directory && self.state.is_directory_read_wanted();
        // The leader has to know what servers hold as soon as they report it.
        if self.is_leader() || self.is_overdue(now) || is_wanted {
            return Some(Source::Log);
        }
        let ahead = self.state.peer_ahead(self.part, from, now);
        let ahead = ahead.filter(|_| self.may_sync()).map(Source::Peer);
        if self.state.advertised_readings(now).is_some() {
            let was_waiting = self.waiting_since.get().is_some();
            // Otherwise this is one of the rare reads.
            let otherwise = if was_waiting {
                Source::Unneeded
            } else {
                Source::Log
            };
            return Some(ahead.unwrap_or(otherwise));
        }
        (self.is_follower(now) || self.is_turn(now)).then_some(Source::Log)
    }

    /// A VM that is ahead of `from`, while this VM's reads of the log fail: the log may be out of
    /// reach of this VM only.
    fn alternative(&self, from: u64) -> Option<SocketAddr> {
        if self.log_failures.get() == 0 || !self.may_sync() {
            return None;
        }
        self.state.any_peer_ahead(self.part, from)
    }

    fn is_leader(&self) -> bool {
        self.state.fence.get() > 0
    }

    /// Whether other VMs have not failed to send the part too often.
    fn may_sync(&self) -> bool {
        self.sync_failures.get() < MAX_SYNC_FAILURES
    }

    /// Whether this VM no longer waits for others, since a change could take effect too late.
    fn is_overdue(&self, now: Instant) -> bool {
        let deadline = self.state.read_deadline(self.part, now);
        deadline.is_some_and(|deadline| now >= deadline)
    }

    /// Whether this VM follows the log for its zone now.
    fn is_follower(&self, now: Instant) -> bool {
        let own_read = self.state.following.last_read(self.part);
        self.state.advertised_readings(now).is_none()
            && own_read.is_some_and(|own| own.is_fresh(now))
    }

    /// Whether this VM has waited long enough for another VM to read the log.
    fn is_turn(&self, now: Instant) -> bool {
        let waiting_since = self.waiting_since.get().unwrap_or(now);
        self.waiting_since.set(Some(waiting_since));
        let waited = now.saturating_duration_since(waiting_since);
        waited >= self.state.read_turn(self.log_failures.get(), now).delay()
    }
}

/// The time between two checks of a VM that has none of its state, by the time since its start.
pub(crate) fn start_poll_interval(uptime: Duration) -> Duration {
    let interval = uptime.mul_f64(POLL_SHARE);
    interval.clamp(MIN_POLL_INTERVAL, POLL_INTERVAL)
}
