//! The backend servers as this VM knows them, from the directory, the leader and its own requests.

use crate::gateway::ServerChange;
use crate::gateway::Weights;
use crate::gateway::backlog::Backlog;
use crate::gateway::coming_copy::ComingCopy;
use crate::gateway::log_clock::LogClock;
use crate::gateway::reachability::ListedServers;
use crate::gateway::removal::{
    FIRST_SEQUENCE, Judgement, MAX_DELAYED_ENTRIES, MAX_WRITE_DELAY, ReadContext, Removal,
    RunAddress, Verdict, entries_per_pending_write,
};
use crate::gateway::report_pace::ReportPace;
use crate::inventory::Name;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long other servers are preferred to one after its first failed connection.
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);
/// The longest backoff of a server whose connections continue to fail.
const MAX_BACKOFF: Duration = Duration::from_millis(2_000);
/// How long weights that a server reported as missing are assumed to be missing; by then the
/// directory contains a newer entry.
const MISSING_RETENTION: Duration = Duration::from_millis(1_000);
/// The age at which the holdings that the leader advertised for a server are no longer used. The
/// leader sends them at each change and again every few seconds.
const LEADER_VIEW_MAX_AGE: Duration = Duration::from_millis(6_000);

/// The longest pause that a server may ask for.
const MAX_PAUSE: Duration = Duration::from_secs(3_600);

/// The start of a run that does not state when it started.
pub(crate) const UNKNOWN_START_MS: u64 = 0;

/// Maximum number of removed servers whose last run is remembered. Entries of earlier runs stay in
/// the log for minutes.
const MAX_REMOVED_RUNS: usize = 10_000;

/// For how long a server may have been silent before a removal after which nothing was read.
const UNKNOWN_SILENCE: Duration = Duration::from_secs(3_600);

/// Maximum number of judgements that are kept until they are taken.
const MAX_JUDGEMENTS: usize = 16;

/// Of how many servers the changes are read at least: servers may have left since.
const MIN_SERVERS: usize = 8;

/// How often servers report unless the settings say otherwise.
const DEFAULT_REPORT_INTERVAL: Duration = Duration::from_millis(1_200);

/// The state that a backend server announces in its directory entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ServerState {
    /// The server accepts new requests.
    Ready,
    /// The server is about to leave and accepts no new requests.
    Draining,
}

/// A model that is loaded on a runner, with its adapters.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Holding {
    /// The name of the model.
    pub(crate) model: Name,
    /// The version of its weights.
    pub(crate) version: u64,
    /// The adapters of the model that are loaded.
    pub(crate) adapters: Vec<Name>,
}

impl Holding {
    /// Whether both are equal, in any order of the adapters.
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
    /// The server's name, which it may keep after a restart.
    pub(crate) id: Name,
    /// When the server's process started, in Unix milliseconds; identifies one run under the id.
    pub(crate) started_ms: u64,
    /// The number of this entry among those that this run wrote.
    pub(crate) sequence: u64,
    /// The service that the server belongs to.
    pub(crate) service: Name,
    /// The version of the server's software, not of weights; empty if it is not known.
    pub(crate) software_version: Name,
    /// The address that the server listens on.
    pub(crate) address: SocketAddr,
    /// The availability zone that the server is in.
    pub(crate) availability_zone: Name,
    /// The number of requests that the server executes concurrently.
    pub(crate) slots: u32,
    /// Whether the server accepts new requests.
    pub(crate) state: ServerState,
    /// The models that are loaded on the server.
    pub(crate) holdings: Vec<Holding>,
    /// Models whose weights are kept in host memory.
    pub(crate) in_memory: Vec<Name>,
    /// Models whose weights are kept on disk.
    pub(crate) on_disk: Vec<Name>,
}

impl Entry {
    /// Whether this entry is of an earlier run than another one. Runs whose start is not known follow
    /// each other as they are read.
    fn is_of_earlier_run(&self, other_started_ms: u64) -> bool {
        let is_known = self.started_ms != UNKNOWN_START_MS && other_started_ms != UNKNOWN_START_MS;
        is_known && self.started_ms < other_started_ms
    }

    /// Whether this entry was written before another one that was read earlier. An entry that is further
    /// behind than any delay explains shows that the number of the other one was wrong.
    fn is_outdated(&self, other: &Self) -> bool {
        let is_delayed = self.started_ms == other.started_ms
            && self.sequence < other.sequence
            && other.sequence - self.sequence <= MAX_DELAYED_ENTRIES;
        is_delayed || self.is_of_earlier_run(other.started_ms)
    }
}

/// Identifies one run of a backend server's process; a restarted server keeps its id.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) struct Incarnation {
    /// The server's name.
    pub(crate) id: Name,
    /// When the process started, in Unix milliseconds.
    pub(crate) started_ms: u64,
}

/// One run of a backend server's process, with what this VM knows of it.
#[derive(Debug)]
pub(crate) struct Server {
    /// The server's name.
    pub(crate) id: Name,
    /// When this run started, in Unix milliseconds.
    pub(crate) started_ms: u64,
    /// The address that the server listens on.
    pub(crate) address: SocketAddr,
    /// Whether this is another VM, which forwards requests to backend servers.
    pub(crate) is_vm: bool,
    /// The prefill time of the prompts queued at the server.
    pub(crate) backlog: Backlog,
    entry: RefCell<Entry>,
    /// The numbers of the entries that were read.
    pace: Cell<Option<ReportPace>>,
    /// Requests of this VM that are in flight on the server, by model.
    in_flight: RefCell<HashMap<Name, u32>>,
    /// Failed connections in a row.
    failures: Cell<u32>,
    backoff_until: Cell<Option<Instant>>,
    /// When the server's entry was removed from the directory.
    removed_at: Cell<Option<Instant>>,
    /// When this VM learned that the log lost the server's entry, if it did. The server is alive as
    /// far as known, and writes the entry again.
    lost_at: Cell<Option<Instant>>,
    /// When this VM learned that the server is about to leave, if it is. It never takes that back.
    leaving_since: Cell<Option<Instant>>,
    /// Until when the server wants no requests from this VM.
    paused_until: Cell<Option<Instant>>,
    /// Weights that the server reported as missing, and until when they are assumed to be.
    missing_weights: RefCell<Vec<(Weights, Instant)>>,
    /// When the leader last advertised the server's holdings, and which.
    leader_view: RefCell<Option<(Instant, Vec<Holding>)>>,
    /// The copy that the server is loading, as far as this VM was told.
    coming: RefCell<Option<ComingCopy>>,
}

/// Keeps a request counted as in flight on a server until dropped.
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
            is_vm: false,
            backlog: Backlog::default(),
            entry: RefCell::new(entry),
            pace: Cell::new(None),
            in_flight: RefCell::default(),
            failures: Cell::new(0),
            backoff_until: Cell::new(None),
            removed_at: Cell::new(None),
            lost_at: Cell::new(None),
            leaving_since: Cell::new(None),
            paused_until: Cell::new(None),
            missing_weights: RefCell::default(),
            leader_view: RefCell::new(None),
            coming: RefCell::new(None),
        }
    }

    /// Creates the stand-in for a VM that takes forwarded requests at an address.
    pub(crate) fn of_vm(address: SocketAddr) -> Rc<Self> {
        let entry = Entry {
            id: format!("vm {address}").into(),
            started_ms: 0,
            sequence: 0,
            service: Name::default(),
            software_version: Name::default(),
            address,
            availability_zone: Name::default(),
            slots: u32::MAX,
            state: ServerState::Ready,
            holdings: Vec::new(),
            in_memory: Vec::new(),
            on_disk: Vec::new(),
        };
        Rc::new(Self {
            is_vm: true,
            ..Self::new(entry)
        })
    }

    /// Lists the server again, which was removed.
    fn restore(&self, entry: Entry) {
        let mut entry = entry;
        if entry.software_version.is_empty() {
            // A VM of an earlier release does not pass it on.
            entry.software_version = self.software_version();
        }
        self.removed_at.set(None);
        self.lost_at.set(None);
        self.entry.replace(entry);
    }

    /// Records the number of an entry that was read.
    fn note_number(&self, sequence: u64, report_interval: Duration, read: &ReadContext) {
        let mut pace = self.pace.get();
        match &mut pace {
            Some(pace) => pace.note(sequence, report_interval, read),
            None => pace = Some(ReportPace::new(sequence, read)),
        }
        self.pace.set(pace);
    }

    /// Returns the removal of the server's entry, which a read showed.
    fn removal(&self, report_interval: Duration, read: &ReadContext) -> Removal {
        let entry = self.entry.borrow();
        let unknown_time = ReadContext::at(read.now);
        let pace = self.pace.get();
        let pace = pace.unwrap_or_else(|| ReportPace::new(entry.sequence, &unknown_time));
        Removal::of_listed(&entry, &pace, report_interval, read)
    }

    /// Whether the entry belongs to this run of the server.
    fn is_run_of(&self, entry: &Entry) -> bool {
        self.started_ms == entry.started_ms && self.address == entry.address
    }

    /// Returns the identifier of this run.
    pub(crate) fn incarnation(&self) -> Incarnation {
        Incarnation {
            id: self.id.clone(),
            started_ms: self.started_ms,
        }
    }

    /// Calls `read` with the server's directory entry.
    pub(crate) fn with_entry<R>(&self, read: impl FnOnce(&Entry) -> R) -> R {
        read(&self.entry.borrow())
    }

    /// Returns the version of the server's software.
    pub(crate) fn software_version(&self) -> Name {
        self.entry.borrow().software_version.clone()
    }

    /// Whether the server accepts new requests: the directory lists it as ready, and the server has
    /// not said that it leaves.
    pub(crate) fn accepts_requests(&self) -> bool {
        self.is_listed_ready() && self.leaving_since.get().is_none()
    }

    /// Whether the directory lists the server as ready although it has said that it leaves, less
    /// than `grace` ago.
    pub(crate) fn has_begun_leaving(&self, grace: Duration, now: Instant) -> bool {
        let leaving_since = self.leaving_since.get();
        let is_recent = |since| now.saturating_duration_since(since) < grace;
        self.is_listed_ready() && leaving_since.is_some_and(is_recent)
    }

    /// Returns when this VM learned that the server is about to leave, if it is.
    pub(crate) fn leaving_since(&self) -> Option<Instant> {
        self.leaving_since.get()
    }

    fn is_listed_ready(&self) -> bool {
        self.removed_at.get().is_none() && self.entry.borrow().state == ServerState::Ready
    }

    /// Whether the server's entry has been removed from the directory.
    pub(crate) fn is_marked_removed(&self) -> bool {
        self.removed_at.get().is_some()
    }

    /// Whether the log lost the server's entry, and the server has not written it again.
    pub(crate) fn is_entry_lost(&self) -> bool {
        self.lost_at.get().is_some()
    }

    /// Records that the server wants no requests from this VM for a time. An earlier pause that ends
    /// later still holds.
    pub(crate) fn note_pause(&self, pause: Duration, now: Instant) {
        let until = now + pause.min(MAX_PAUSE);
        self.paused_until
            .set(self.paused_until.get().max(Some(until)));
    }

    /// Returns until when the server wants no requests from this VM; `None` if it takes them now.
    pub(crate) fn paused_until(&self, now: Instant) -> Option<Instant> {
        self.paused_until.get().filter(|until| now < *until)
    }

    /// Records that the server is about to leave; returns whether that was not known.
    pub(crate) fn note_leaving(&self, now: Instant) -> bool {
        let is_new = self.leaving_since.get().is_none();
        if is_new {
            self.leaving_since.set(Some(now));
        }
        is_new
    }

    /// Whether a connection to the server failed recently, so that other servers are preferred.
    pub(crate) fn is_in_backoff(&self, now: Instant) -> bool {
        self.backoff_until.get().is_some_and(|until| now < until)
    }

    /// Returns the number of requests of this VM that are in flight on the server.
    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight.borrow().values().sum()
    }

    /// Returns the number of requests of this VM that are in flight on the server, by model. The
    /// empty name denotes requests to plain services.
    pub(crate) fn in_flight_by_model(&self) -> Vec<(Name, u32)> {
        let in_flight = self.in_flight.borrow();
        let counts = in_flight.iter();
        counts
            .map(|(model, count)| (model.clone(), *count))
            .collect()
    }

    /// Counts a request for a model as in flight until the guard is dropped. The empty name
    /// denotes requests to plain services.
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

    /// Records that a connection was refused, broke or gave no response; doubles the backoff.
    pub(crate) fn note_failure(&self, now: Instant) {
        let failures = self.failures.get().min(8);
        let backoff = (INITIAL_BACKOFF * 2_u32.pow(failures)).min(MAX_BACKOFF);
        self.failures.set(failures + 1);
        self.backoff_until.set(Some(now + backoff));
    }

    /// Records a complete response; ends the backoff.
    pub(crate) fn note_success(&self) {
        self.failures.set(0);
        self.backoff_until.set(None);
    }

    /// Records that the server reported these weights as missing.
    pub(crate) fn note_missing(&self, weights: Weights, now: Instant) {
        let mut missing_weights = self.missing_weights.borrow_mut();
        missing_weights.retain(|(_, until)| *until > now);
        missing_weights.push((weights, now + MISSING_RETENTION));
    }

    /// Whether the server's entry lists exactly these models, in any order.
    pub(crate) fn lists(&self, holdings: &[Holding]) -> bool {
        let entry = self.entry.borrow();
        entry.holdings.len() == holdings.len()
            && holdings
                .iter()
                .all(|held| entry.holdings.iter().any(|listed| listed.is_same(held)))
    }

    /// Records the holdings that the leader advertises for the server.
    pub(crate) fn note_leader_view(&self, holdings: Vec<Holding>, now: Instant) {
        self.missing_weights.borrow_mut().clear();
        *self.leader_view.borrow_mut() = Some((now, holdings));
    }

    /// Records the copy that the server is loading, if it is loading one.
    pub(crate) fn note_coming(&self, coming: Option<ComingCopy>) {
        *self.coming.borrow_mut() = coming;
    }

    /// Returns the copy that the server is loading, unless it is loaded or no longer expected.
    pub(crate) fn coming(&self, now: Instant) -> Option<ComingCopy> {
        let coming = self.coming.borrow();
        let coming = coming.as_ref().filter(|it| it.is_expected(now))?;
        let is_held = self.with_holdings(now, |holdings| {
            holdings.iter().any(|held| held.model == coming.model)
        });
        (!is_held).then(|| coming.clone())
    }

    /// Whether the server holds these weights, as far as this VM knows.
    pub(crate) fn holds(&self, weights: &Weights, now: Instant) -> bool {
        let missing_weights = self.missing_weights.borrow();
        let is_missing = |(missing, until): &(Weights, Instant)| missing == weights && *until > now;
        if missing_weights.iter().any(is_missing) {
            return false;
        }
        self.with_holdings(now, |holdings| holds(holdings, weights))
    }

    /// Calls `read` with the server's holdings: those that the leader advertised, or those of the
    /// directory entry if the leader advertised none recently.
    pub(crate) fn with_holdings<R>(&self, now: Instant, read: impl FnOnce(&[Holding]) -> R) -> R {
        let view = self.leader_view.borrow();
        match view.as_ref() {
            Some((at, holdings)) if now.duration_since(*at) < LEADER_VIEW_MAX_AGE => read(holdings),
            _ => read(&self.entry.borrow().holdings),
        }
    }
}

/// Whether the holdings contain the weights.
pub(crate) fn holds(holdings: &[Holding], weights: &Weights) -> bool {
    let of_model = holdings
        .iter()
        .find(|holding| holding.model == weights.model);
    of_model.is_some_and(|holding| match &weights.adapter {
        Some(adapter) => holding.adapters.contains(adapter),
        None => true,
    })
}

/// What a received directory entry changed, from the least to the most significant.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum EntryChange {
    /// Nothing: the entry is outdated or only shows that the server is alive.
    Renewed,
    /// The entry is of a removed run, and does not show yet that the server is alive.
    Unproven,
    /// The server's holdings or slots changed.
    ContentChanged,
    /// The server is new or its state changed.
    AvailabilityChanged,
    /// The server, which was removed, is alive.
    Revived,
}

/// The last run of a removed server.
#[derive(Debug)]
struct RemovedRun {
    removal: Removal,
    /// The run, if this VM had it listed. What this VM knows of the run still holds if it comes back.
    server: Option<Rc<Server>>,
}

/// All backend servers in the directory.
#[derive(Debug)]
pub(crate) struct Fleet {
    servers: RefCell<HashMap<Name, Rc<Server>>>,
    /// The last run of each removed server: entries of this run and of earlier ones may still arrive.
    /// A server that is not purged yet is among `servers` as well.
    removed_runs: RefCell<HashMap<Name, RemovedRun>>,
    /// Whether there may be entries of removed runs that do not show yet that their servers are alive.
    has_candidates: Cell<bool>,
    /// Until when there may be late entries of servers whose removal this VM does not know.
    removals_unknown_until: Cell<Option<Instant>>,
    /// The latest judgements on entries of removed runs that were not taken yet.
    judgements: RefCell<Vec<Judgement>>,
    /// How often servers renew their entries.
    report_interval: Duration,
}

impl Default for Fleet {
    fn default() -> Self {
        Self::new(None)
    }
}

impl Fleet {
    /// Creates a fleet without servers. `report_interval` is how often servers renew their entries.
    pub(crate) fn new(report_interval: Option<Duration>) -> Self {
        Self {
            servers: RefCell::default(),
            removed_runs: RefCell::default(),
            has_candidates: Cell::new(false),
            removals_unknown_until: Cell::new(None),
            judgements: RefCell::default(),
            report_interval: report_interval.unwrap_or(DEFAULT_REPORT_INTERVAL),
        }
    }

    /// Applies a directory entry; returns what it changed. `may_be_restored` says that it may be older
    /// than the last restore of the log.
    ///
    /// A server that restarted under its id replaces the previous run, and none of that run's
    /// holdings are kept. Entries that are older than the current one are ignored, and those of a
    /// removed run count only once they show that the server is alive ([`Removal`]).
    pub(crate) fn apply_entry(
        &self,
        entry: Entry,
        may_be_restored: bool,
        read: &ReadContext,
    ) -> EntryChange {
        let report_interval = self.report_interval;
        let judge = |removal: &mut Removal, entry: &Entry| {
            removal.judge(entry, may_be_restored, report_interval, read)
        };
        self.apply_judged(entry, judge, read)
    }

    /// Applies the entry of a server that another VM knows to have written it after its removal.
    pub(crate) fn apply_revival(&self, entry: Entry, read: &ReadContext) -> EntryChange {
        let report_interval = self.report_interval;
        let judge =
            |removal: &mut Removal, entry: &Entry| removal.judge_told(entry, report_interval, read);
        self.apply_judged(entry, judge, read)
    }

    fn apply_judged(
        &self,
        entry: Entry,
        judge: impl Fn(&mut Removal, &Entry) -> Verdict,
        read: &ReadContext,
    ) -> EntryChange {
        let mut servers = self.servers.borrow_mut();
        let mut removed_runs = self.removed_runs.borrow_mut();
        let removed = match removed_runs.get_mut(&entry.id) {
            None if !servers.contains_key(&entry.id) && self.may_be_removed(read) => {
                Some(removed_runs.entry(entry.id.clone()).or_insert(RemovedRun {
                    removal: self.earlier_removal(RunAddress::of(&entry), read),
                    server: None,
                }))
            }
            removed => removed,
        };
        if let Some(RemovedRun { removal, server }) = removed {
            let started_ms = removal.run.map_or(UNKNOWN_START_MS, |run| run.started_ms);
            if entry.is_of_earlier_run(started_ms) {
                return EntryChange::Renewed;
            }
            if removal.is_of_run(&entry) {
                let verdict = judge(removal, &entry);
                self.record_judgement(&entry, verdict, removal);
                match verdict {
                    Verdict::Outdated => return EntryChange::Renewed,
                    Verdict::Unproven => {
                        self.has_candidates.set(true);
                        return EntryChange::Unproven;
                    }
                    Verdict::Alive(_) => {}
                }
            }
            let server = server.take().filter(|server| server.is_run_of(&entry));
            removed_runs.remove(&entry.id);
            let sequence = entry.sequence;
            let server = match server {
                Some(server) => {
                    server.restore(entry);
                    server
                }
                None => Rc::new(Server::new(entry)),
            };
            server.note_number(sequence, self.report_interval, read);
            servers.insert(server.id.clone(), server);
            return EntryChange::Revived;
        }
        let current = servers.get(&entry.id);
        if let Some(server) = current.filter(|server| server.is_run_of(&entry)) {
            server.lost_at.set(None);
        }
        if current.is_some_and(|server| entry.is_outdated(&server.entry.borrow())) {
            return EntryChange::Renewed;
        }
        let same_run = current.filter(|server| server.is_run_of(&entry));
        if let Some(server) = same_run {
            let mut entry = entry;
            if entry.software_version.is_empty() {
                // A VM of an earlier release does not pass it on.
                entry.software_version = server.software_version();
            }
            let before = server.entry.replace(entry.clone());
            server.note_number(entry.sequence, self.report_interval, read);
            if before.state != entry.state || before.software_version != entry.software_version {
                return EntryChange::AvailabilityChanged;
            }
            let is_same = before.holdings == entry.holdings && before.slots == entry.slots;
            return match is_same {
                true => EntryChange::Renewed,
                false => EntryChange::ContentChanged,
            };
        }
        let server = Server::new(entry);
        let sequence = server.entry.borrow().sequence;
        server.note_number(sequence, self.report_interval, read);
        servers.insert(server.id.clone(), Rc::new(server));
        EntryChange::AvailabilityChanged
    }

    fn record_judgement(&self, entry: &Entry, verdict: Verdict, removal: &Removal) {
        let mut judgements = self.judgements.borrow_mut();
        if judgements.len() < MAX_JUDGEMENTS {
            judgements.push(Judgement {
                id: entry.id.clone(),
                sequence: entry.sequence,
                verdict,
                removal: removal.clone(),
            });
        }
    }

    /// Returns the judgements on entries of removed runs since the last call, the first
    /// [`MAX_JUDGEMENTS`] of them.
    pub(crate) fn take_judgements(&self) -> Vec<Judgement> {
        self.judgements.take()
    }

    /// Whether an entry of a server that this VM has not seen may be a late one of a removed run.
    fn may_be_removed(&self, read: &ReadContext) -> bool {
        let unknown_until = self.removals_unknown_until.get();
        !read.is_whole && unknown_until.is_some_and(|until| read.now < until)
    }

    /// The removal of a run that was removed before this VM knew of removals, if it was removed at all.
    fn earlier_removal(&self, run: RunAddress, read: &ReadContext) -> Removal {
        let known_since = self
            .removals_unknown_until
            .get()
            .and_then(|until| until.checked_sub(MAX_WRITE_DELAY));
        let removed_at = known_since.unwrap_or(read.now);
        self.unknown_removal(Some(run), removed_at, read)
    }

    /// The removal of a server that was not listed here.
    fn unknown_removal(
        &self,
        run: Option<RunAddress>,
        removed_at: Instant,
        read: &ReadContext,
    ) -> Removal {
        let lapse_end = read.lapse_end(self.report_interval);
        let mut removal = Removal::of_unknown(run, removed_at, read.position);
        removal.returning_sequence = lapse_end.map(|_| FIRST_SEQUENCE);
        removal
    }

    /// How much longer there may be late entries of servers whose removal this VM does not know.
    pub(crate) fn removals_unknown_for(&self, now: Instant) -> Duration {
        let unknown_until = self.removals_unknown_until.get();
        unknown_until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Records for how much longer there may be late entries of servers whose removal this VM does not
    /// know.
    pub(crate) fn set_removals_unknown_for(&self, unknown_for: Duration, now: Instant) {
        self.removals_unknown_until.set(Some(now + unknown_for));
    }

    /// Applies the removal of a server's entry; returns the removal to tell other VMs.
    /// [`Fleet::purge_removed`] removes the server itself.
    pub(crate) fn apply_removal(&self, id: &Name, read: &ReadContext) -> Removal {
        let listed = self.server(id).filter(|it| !it.is_marked_removed());
        let removal = match &listed {
            Some(server) => server.removal(self.report_interval, read),
            None => {
                let mut removed_runs = self.removed_runs.borrow_mut();
                if let Some(known) = removed_runs.get_mut(id) {
                    known.removal.note_repeated(self.report_interval, read);
                    return known.removal.clone();
                }
                self.unknown_removal(None, read.now, read)
            }
        };
        self.record_removal(id, listed, removal, read.now)
    }

    /// Applies a removal of which another VM told; returns it for further VMs, or `None` if it is of an
    /// earlier run than the one that is listed.
    pub(crate) fn apply_removal_notice(
        &self,
        id: &Name,
        removal: Removal,
        now: Instant,
    ) -> Option<Removal> {
        let listed = self.server(id).filter(|it| !it.is_marked_removed());
        let is_earlier = |server: &Rc<Server>| {
            let is_known = server.started_ms != UNKNOWN_START_MS;
            let started_ms = removal.run.map(|run| run.started_ms);
            is_known
                && started_ms.is_some_and(|it| it != UNKNOWN_START_MS && it < server.started_ms)
        };
        if listed.as_ref().is_some_and(is_earlier) {
            return None;
        }
        Some(self.record_removal(id, listed, removal, now))
    }

    /// Marks a server as removed whose entry is still listed, since another server answers at its address.
    pub(crate) fn mark_removed(&self, id: &str, now: Instant) {
        if let Some(server) = self.server(id).filter(|it| !it.is_marked_removed()) {
            let id = server.id.clone();
            let removal = server.removal(self.report_interval, &ReadContext::at(now));
            self.record_removal(&id, Some(server), removal, now);
        }
    }

    fn record_removal(
        &self,
        id: &Name,
        listed: Option<Rc<Server>>,
        removal: Removal,
        now: Instant,
    ) -> Removal {
        if let Some(server) = &listed {
            server.removed_at.set(Some(now));
        }
        let mut removed_runs = self.removed_runs.borrow_mut();
        let known = removed_runs.get_mut(id).filter(|_| listed.is_none());
        let is_same_run = |known: &&mut RemovedRun| {
            let runs = (known.removal.run, removal.run);
            !matches!(runs, (Some(known), Some(told)) if known != told)
        };
        if let Some(known) = known.filter(is_same_run) {
            known.removal.merge(&removal, self.report_interval);
            return known.removal.clone();
        }
        let server = listed.filter(|it| removal.is_of_run(&it.entry.borrow()));
        let run = RemovedRun {
            removal: removal.clone(),
            server,
        };
        removed_runs.insert(id.clone(), run);
        drop_oldest(&mut removed_runs);
        removal
    }

    /// Whether there may be entries of removed runs that do not show yet that their servers are alive.
    pub(crate) fn has_candidates(&self) -> bool {
        self.has_candidates.get()
    }

    /// Whether an entry of a removed server was read that does not show yet that the server is alive.
    pub(crate) fn has_candidate(&self, id: &Name) -> bool {
        let removed_runs = self.removed_runs.borrow();
        let run = removed_runs.get(id);
        run.is_some_and(|run| run.removal.candidate().is_some())
    }

    /// Restores removed servers whose later entries the log has listed for so long, as of `current_at`,
    /// that it keeps them alive; returns their ids.
    pub(crate) fn restore_kept(&self, current_at: Instant) -> Vec<Name> {
        let mut removed_runs = self.removed_runs.borrow_mut();
        let mut servers = self.servers.borrow_mut();
        let mut restored = Vec::new();
        let mut has_candidates = false;
        removed_runs.retain(|id, run| {
            let Some(entry) = run.removal.take_kept(current_at, self.report_interval) else {
                has_candidates |= run.removal.candidate().is_some();
                return true;
            };
            let server = run.server.take();
            let server = server.unwrap_or_else(|| Rc::new(Server::new(entry.clone())));
            server.restore(entry);
            servers.insert(id.clone(), server);
            restored.push(id.clone());
            false
        });
        self.has_candidates.set(has_candidates);
        restored
    }

    /// The number of entries that servers may write while a write is pending, for a number of servers.
    pub(crate) fn entries_while_pending(&self, servers: usize) -> u64 {
        servers.max(MIN_SERVERS) as u64 * entries_per_pending_write(self.report_interval)
    }

    /// Returns the removals among the changes before the directory at offset `end`, with the entries that
    /// were written after them. The times of the changes are estimated from the numbers of the entries.
    pub(crate) fn past_removals(
        &self,
        changes: Vec<ServerChange>,
        end: u64,
        unavailable_at: Option<Instant>,
        now: Instant,
    ) -> Vec<(Name, Removal)> {
        let mut clock = LogClock::new(self.report_interval);
        let passed = changes.iter().map(|change| match change {
            ServerChange::Upserted(entry) => Some(clock.advance(entry)),
            _ => None,
        });
        let passed: Vec<Option<Duration>> = passed.collect();
        let total = passed.iter().flatten().max().copied().unwrap_or_default();
        let began = now.checked_sub(total).unwrap_or(now);
        let past = Self::new(Some(self.report_interval));
        for (index, change) in changes.into_iter().enumerate() {
            match change {
                ServerChange::Upserted(entry) => {
                    let written_at = began + passed[index].unwrap_or_default();
                    let read = ReadContext {
                        position: end,
                        is_whole: true,
                        written_after: Some(written_at),
                        ..ReadContext::at(written_at)
                    };
                    past.apply_entry(entry, false, &read);
                }
                ServerChange::Removed(id) => {
                    let next = passed[index..].iter().flatten().next();
                    let removed_by = next.map_or(now + UNKNOWN_SILENCE, |passed| began + *passed);
                    let read = ReadContext {
                        position: end,
                        is_whole: true,
                        unavailable_at,
                        ..ReadContext::at(removed_by)
                    };
                    past.apply_removal(&id, &read);
                }
                _ => {}
            }
        }
        let removed_runs = past.removed_runs.take().into_iter();
        let removals = removed_runs.map(|(id, run)| {
            let mut removal = run.removal;
            removal.note_learned(now);
            (id, removal)
        });
        removals.collect()
    }

    /// Takes over removals that precede the directory, with the entries that were read after them.
    pub(crate) fn adopt_removals(&self, removals: Vec<(Name, Removal)>) {
        let mut removed_runs = self.removed_runs.borrow_mut();
        let has_candidates = removals
            .iter()
            .any(|(_, removal)| removal.candidate().is_some());
        for (id, removal) in removals {
            let server = None;
            removed_runs.insert(id, RemovedRun { removal, server });
        }
        if has_candidates {
            self.has_candidates.set(true);
        }
    }

    /// Returns the removals after which late entries may still be read, by server.
    pub(crate) fn recent_removals(&self, now: Instant) -> Vec<(Name, Removal)> {
        let removed_runs = self.removed_runs.borrow();
        let is_recent = |removal: &Removal| {
            let age = now.saturating_duration_since(removal.removed_at);
            age < MAX_WRITE_DELAY || removal.candidate().is_some()
        };
        let recent = removed_runs.iter();
        let recent = recent.filter(|(_, run)| is_recent(&run.removal));
        recent
            .map(|(id, run)| (id.clone(), run.removal.clone()))
            .collect()
    }

    /// Drops what was read of removed servers since their removal and is not among the listed ones.
    pub(crate) fn drop_unlisted_candidates(&self, listed: &HashSet<&Name>) {
        for (id, run) in self.removed_runs.borrow_mut().iter_mut() {
            if !listed.contains(id) {
                run.removal.drop_candidate();
            }
        }
    }

    /// Records that the log lost the entry of a server; returns whether that was not known.
    pub(crate) fn note_lost(&self, id: &str, now: Instant) -> bool {
        let servers = self.servers.borrow();
        let listed = servers.get(id).filter(|server| !server.is_marked_removed());
        listed.is_some_and(|server| {
            let is_new = !server.is_entry_lost();
            if is_new {
                server.lost_at.set(Some(now));
            }
            is_new
        })
    }

    /// Marks the servers as removed whose entry was lost at least `limit` ago and was not written
    /// again; returns their ids.
    pub(crate) fn expire_lost(&self, limit: Duration, now: Instant) -> Vec<Name> {
        let servers = self.servers.borrow();
        let is_expired = |server: &&Rc<Server>| {
            let lost_at = server.lost_at.get();
            lost_at.is_some_and(|at| now.saturating_duration_since(at) >= limit)
        };
        let expired: Vec<Name> = servers
            .values()
            .filter(is_expired)
            .map(|server| server.id.clone())
            .collect();
        drop(servers);
        for id in &expired {
            self.mark_removed(id, now);
        }
        expired
    }

    /// Removes servers whose entry was removed at least `grace` ago; returns their ids.
    pub(crate) fn purge_removed(&self, grace: Duration, now: Instant) -> Vec<Name> {
        let mut gone = Vec::new();
        self.servers.borrow_mut().retain(|id, server| {
            let is_gone = server
                .removed_at
                .get()
                .is_some_and(|at| now.duration_since(at) >= grace);
            if is_gone {
                gone.push(id.clone());
            }
            !is_gone
        });
        gone
    }

    /// Returns a server if its current run is the given one.
    pub(crate) fn run(&self, incarnation: &Incarnation) -> Option<Rc<Server>> {
        let server = self.server(&incarnation.id)?;
        (server.started_ms == incarnation.started_ms).then_some(server)
    }

    /// Returns a server by its id.
    pub(crate) fn server(&self, id: &str) -> Option<Rc<Server>> {
        self.servers.borrow().get(id).cloned()
    }

    /// Returns the servers of a service.
    pub(crate) fn of_service(&self, service: &str) -> Vec<Rc<Server>> {
        let servers = self.servers.borrow();
        let of_service = servers
            .values()
            .filter(|server| server.entry.borrow().service == service);
        of_service.cloned().collect()
    }

    /// Returns how many servers are listed, and in how many zones.
    pub(crate) fn listed_servers(&self) -> ListedServers {
        let servers = self.servers.borrow();
        let listed = servers.values().filter(|it| !it.is_marked_removed());
        let zones: Vec<Name> = listed
            .map(|it| it.entry.borrow().availability_zone.clone())
            .collect();
        ListedServers {
            servers: zones.len(),
            zones: zones.iter().collect::<HashSet<_>>().len(),
        }
    }

    /// Returns all servers.
    pub(crate) fn servers(&self) -> Vec<Rc<Server>> {
        self.servers.borrow().values().cloned().collect()
    }
}

/// Forgets the oldest tenth of the removals once there are more than [`MAX_REMOVED_RUNS`].
fn drop_oldest(removed_runs: &mut HashMap<Name, RemovedRun>) {
    if removed_runs.len() <= MAX_REMOVED_RUNS {
        return;
    }
    let by_age = removed_runs.iter();
    let by_age = by_age.map(|(id, run)| (run.removal.removed_at, id.clone()));
    let mut by_age: Vec<(Instant, Name)> = by_age.collect();
    by_age.sort();
    for (_, id) in &by_age[..MAX_REMOVED_RUNS / 10] {
        removed_runs.remove(id);
    }
}

/// Builds a [`Holding`] from the parts that messages carry.
pub(crate) fn holding(model: &str, version: u64, adapters: &[String]) -> Holding {
    Holding {
        model: model.into(),
        version,
        adapters: adapters.iter().map(|name| name.as_str().into()).collect(),
    }
}
