//! The backend servers as this VM sees them.

use crate::gateway::Weights;
use crate::gateway::backlog::Backlog;
use crate::inventory::Name;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long a server that broke a connection or refused one is passed over at first.
const FIRST_PAUSE: Duration = Duration::from_millis(200);
/// How long it is passed over at most, while it goes on failing.
const LONGEST_PAUSE: Duration = Duration::from_millis(2_000);
/// How long a server that said it lacks a model is taken at its word; by then the
/// directory has a newer entry.
const MISSING_PAUSE: Duration = Duration::from_millis(1_000);
/// How old what the leading VM says of a server's models may be: it says so at each change, and
/// again every few seconds.
const LEADER_VIEW_LIMIT: Duration = Duration::from_millis(6_000);

/// Servers that are gone whose last run is kept in mind, at most: what they wrote before is
/// in the log for minutes.
const MAX_ENDED: usize = 10_000;

/// Whether a backend server takes new requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ServerState {
    /// It does.
    Ready,
    /// It is about to leave.
    Draining,
}

/// A model that a runner holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Holding {
    /// The model.
    pub(crate) model: Name,
    /// The version of its weights.
    pub(crate) version: u64,
    /// The adapters over it.
    pub(crate) adapters: Vec<Name>,
}

impl Holding {
    /// Whether both are the same, with the adapters in whatever order.
    fn is_same(&self, other: &Self) -> bool {
        self.model == other.model
            && self.version == other.version
            && self.adapters.len() == other.adapters.len()
            && self
                .adapters
                .iter()
                .all(|adapter| other.adapters.contains(adapter))
    }
}

/// A backend server's entry in the directory.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Entry {
    /// The server's name, which it may keep when it starts again.
    pub(crate) id: Name,
    /// When the server's process started, in Unix milliseconds: names one run under the id.
    pub(crate) started_ms: u64,
    /// Counts what this run wrote of itself.
    pub(crate) sequence: u64,
    /// The service that it belongs to.
    pub(crate) service: Name,
    /// Where it listens.
    pub(crate) address: SocketAddr,
    /// The availability zone that it stands in.
    pub(crate) availability_zone: Name,
    /// Requests that it runs at a time.
    pub(crate) slots: u32,
    /// Whether it takes new requests.
    pub(crate) state: ServerState,
    /// The models that it holds.
    pub(crate) holdings: Vec<Holding>,
    /// Models whose weights it keeps in host memory.
    pub(crate) in_memory: Vec<Name>,
    /// Models whose weights it keeps on disk.
    pub(crate) on_disk: Vec<Name>,
}

impl Entry {
    /// Whether the same server wrote `other` before this, in this run or in an earlier one.
    fn is_newer_than(&self, other: &Self) -> bool {
        (self.started_ms, self.sequence) >= (other.started_ms, other.sequence)
    }
}

/// One run of a backend server's process; the server may start again under its id.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) struct Incarnation {
    /// The server's name.
    pub(crate) id: Name,
    /// When the process started, in Unix milliseconds.
    pub(crate) started_ms: u64,
}

/// One run of a backend server's process.
#[derive(Debug)]
pub(crate) struct Server {
    /// The server's name.
    pub(crate) id: Name,
    /// When this run started, in Unix milliseconds.
    pub(crate) started_ms: u64,
    /// Where it listens.
    pub(crate) address: SocketAddr,
    /// The prompts that wait there.
    pub(crate) backlog: Backlog,
    entry: RefCell<Entry>,
    in_flight: RefCell<HashMap<Name, u32>>,
    failures: Cell<u32>,
    passed_over_until: Cell<Option<Instant>>,
    lapsed_at: Cell<Option<Instant>>,
    missing: RefCell<Vec<(Weights, Instant)>>,
    leader_view: RefCell<Option<(Instant, Vec<Holding>)>>,
}

/// Counts a request as in flight on a server until dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard {
    server: Rc<Server>,
    model: Name,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut in_flight = self.server.in_flight.borrow_mut();
        if let Some(count) = in_flight.get_mut(&self.model) {
            *count -= 1;
            if *count == 0 {
                in_flight.remove(&self.model);
            }
        }
    }
}

impl Server {
    fn new(entry: Entry) -> Self {
        Self {
            id: entry.id.clone(),
            started_ms: entry.started_ms,
            address: entry.address,
            backlog: Backlog::default(),
            entry: RefCell::new(entry),
            in_flight: RefCell::default(),
            failures: Cell::new(0),
            passed_over_until: Cell::new(None),
            lapsed_at: Cell::new(None),
            missing: RefCell::default(),
            leader_view: RefCell::new(None),
        }
    }

    /// What names this run.
    pub(crate) fn incarnation(&self) -> Incarnation {
        Incarnation {
            id: self.id.clone(),
            started_ms: self.started_ms,
        }
    }

    /// Looks at the server's entry.
    pub(crate) fn with_entry<R>(&self, look: impl FnOnce(&Entry) -> R) -> R {
        look(&self.entry.borrow())
    }

    /// Whether it takes new requests, as far as the directory tells.
    pub(crate) fn is_listed_ready(&self) -> bool {
        self.lapsed_at.get().is_none() && self.entry.borrow().state == ServerState::Ready
    }

    /// Whether its entry is gone.
    pub(crate) fn is_marked_removed(&self) -> bool {
        self.lapsed_at.get().is_some()
    }

    /// Whether it broke or refused a connection a moment ago.
    pub(crate) fn is_in_backoff(&self, now: Instant) -> bool {
        self.passed_over_until
            .get()
            .is_some_and(|until| now < until)
    }

    /// Requests of this VM on the server.
    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight.borrow().values().sum()
    }

    /// Requests of this VM on the server by model; the empty name stands for plain calls.
    pub(crate) fn in_flight_by_model(&self) -> Vec<(Name, u32)> {
        let in_flight = self.in_flight.borrow();
        let counts = in_flight.iter();
        counts
            .map(|(model, count)| (model.clone(), *count))
            .collect()
    }

    /// Counts one more request for a model; the empty name stands for plain calls.
    pub(crate) fn track_in_flight(self: &Rc<Self>, model: Name) -> InFlightGuard {
        *self
            .in_flight
            .borrow_mut()
            .entry(model.clone())
            .or_default() += 1;
        InFlightGuard {
            server: self.clone(),
            model,
        }
    }

    /// Notes that a connection was refused, broke or stayed silent.
    pub(crate) fn note_failure(&self, now: Instant) {
        let failures = self.failures.get().min(8);
        let pause = (FIRST_PAUSE * 2_u32.pow(failures)).min(LONGEST_PAUSE);
        self.failures.set(failures + 1);
        self.passed_over_until.set(Some(now + pause));
    }

    /// Notes a whole answer.
    pub(crate) fn note_success(&self) {
        self.failures.set(0);
        self.passed_over_until.set(None);
    }

    /// Notes that the server said it lacks these weights.
    pub(crate) fn note_missing(&self, weights: Weights, now: Instant) {
        let mut missing = self.missing.borrow_mut();
        missing.retain(|(_, until)| *until > now);
        missing.push((weights, now + MISSING_PAUSE));
    }

    /// Whether the server's entry lists these models, in whatever order.
    pub(crate) fn lists(&self, holdings: &[Holding]) -> bool {
        let entry = self.entry.borrow();
        entry.holdings.len() == holdings.len()
            && holdings
                .iter()
                .all(|held| entry.holdings.iter().any(|listed| listed.is_same(held)))
    }

    /// Takes over what the leading VM says of the server's models.
    pub(crate) fn note_leader_view(&self, holdings: Vec<Holding>, now: Instant) {
        self.missing.borrow_mut().clear();
        *self.leader_view.borrow_mut() = Some((now, holdings));
    }

    /// Whether the server holds these weights, as far as is known.
    pub(crate) fn holds(&self, weights: &Weights, now: Instant) -> bool {
        let missing = self.missing.borrow();
        let is_missing = |(what, until): &(Weights, Instant)| what == weights && *until > now;
        if missing.iter().any(is_missing) {
            return false;
        }
        self.with_holdings(now, |holdings| holds(holdings, weights))
    }

    /// Looks at the models that the server holds, as far as is known.
    pub(crate) fn with_holdings<R>(&self, now: Instant, look: impl FnOnce(&[Holding]) -> R) -> R {
        let view = self.leader_view.borrow();
        match view.as_ref() {
            Some((at, holdings)) if now.duration_since(*at) < LEADER_VIEW_LIMIT => look(holdings),
            _ => look(&self.entry.borrow().holdings),
        }
    }
}

/// Whether the weights are among the holdings.
pub(crate) fn holds(holdings: &[Holding], weights: &Weights) -> bool {
    let of_model = holdings
        .iter()
        .find(|holding| holding.model == weights.model);
    of_model.is_some_and(|holding| match &weights.adapter {
        Some(adapter) => holding.adapters.contains(adapter),
        None => true,
    })
}

/// What an entry brought.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum EntryChange {
    /// Nothing, or only that the server lives.
    Renewed,
    /// The server holds something else, or its entry is back.
    Changed,
    /// The server is new or changed its state.
    AvailabilityChanged,
}

/// All backend servers in the directory.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    servers: RefCell<HashMap<Name, Rc<Server>>>,
    /// The last run of each server that is gone: what an earlier one wrote comes late.
    ended: RefCell<HashMap<Name, u64>>,
}

impl Fleet {
    /// Takes over an entry; tells what is new in it.
    ///
    /// A server that started again under its id is a new one, which holds nothing of before;
    /// an entry that it wrote earlier than the present one is passed over.
    pub(crate) fn take(&self, entry: Entry) -> EntryChange {
        let mut servers = self.servers.borrow_mut();
        let ended = self.ended.borrow_mut().remove(&entry.id);
        if let Some(ended) = ended.filter(|ended| *ended > entry.started_ms) {
            self.ended.borrow_mut().insert(entry.id, ended);
            return EntryChange::Renewed;
        }
        let known = servers.get(&entry.id);
        if known.is_some_and(|server| !entry.is_newer_than(&server.entry.borrow())) {
            return EntryChange::Renewed;
        }
        let same = known.filter(|server| {
            server.started_ms == entry.started_ms && server.address == entry.address
        });
        if let Some(server) = same {
            let was_lapsed = server.lapsed_at.take().is_some();
            let before = server.entry.replace(entry.clone());
            if before.state != entry.state {
                return EntryChange::AvailabilityChanged;
            }
            let is_same = before.holdings == entry.holdings && before.slots == entry.slots;
            return match is_same && !was_lapsed {
                true => EntryChange::Renewed,
                false => EntryChange::Changed,
            };
        }
        servers.insert(entry.id.clone(), Rc::new(Server::new(entry)));
        EntryChange::AvailabilityChanged
    }

    /// Marks a server's entry as gone; [`Fleet::purge_removed`] takes it away.
    pub(crate) fn mark_removed(&self, id: &str, now: Instant) {
        if let Some(server) = self.servers.borrow().get(id) {
            server.lapsed_at.set(Some(now));
        }
    }

    /// Takes away servers whose entry has been gone for `limit`; returns their ids.
    pub(crate) fn purge_removed(&self, limit: Duration, now: Instant) -> Vec<Name> {
        let mut gone = Vec::new();
        let mut ended = self.ended.borrow_mut();
        if ended.len() >= MAX_ENDED {
            ended.clear();
        }
        self.servers.borrow_mut().retain(|id, server| {
            let is_gone = server
                .lapsed_at
                .get()
                .is_some_and(|at| now.duration_since(at) >= limit);
            if is_gone {
                gone.push(id.clone());
                ended.insert(id.clone(), server.started_ms);
            }
            !is_gone
        });
        gone
    }

    /// Finds a run of a server.
    pub(crate) fn run(&self, incarnation: &Incarnation) -> Option<Rc<Server>> {
        let server = self.server(&incarnation.id)?;
        (server.started_ms == incarnation.started_ms).then_some(server)
    }

    /// Finds a server.
    pub(crate) fn server(&self, id: &str) -> Option<Rc<Server>> {
        self.servers.borrow().get(id).cloned()
    }

    /// The servers of a service.
    pub(crate) fn of_service(&self, service: &str) -> Vec<Rc<Server>> {
        let servers = self.servers.borrow();
        let of_service = servers
            .values()
            .filter(|server| server.entry.borrow().service == service);
        of_service.cloned().collect()
    }

    /// All servers.
    pub(crate) fn servers(&self) -> Vec<Rc<Server>> {
        self.servers.borrow().values().cloned().collect()
    }
}
