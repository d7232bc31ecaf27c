//! The state that all tasks of one VM share: configuration, backend servers and peers.

use crate::callers::Ledger;
use crate::client_memory::ClientMemory;
use crate::gateway::boot_time::BootTime;
use crate::gateway::call::Cost;
use crate::gateway::change_history::ChangeHistory;
use crate::gateway::configuration_check::{self, PeerConfiguration};
use crate::gateway::crash_containment::CrashContainment;
use crate::gateway::demand::Demand;
use crate::gateway::demand_rate::DemandRate;
use crate::gateway::directory_updates::{Assembly, DirectoryUpdate};
use crate::gateway::document_history::DocumentHistory;
use crate::gateway::fleet::{EntryChange, Fleet, Holding, Incarnation, Server};
use crate::gateway::log_follower::{FollowerState, Reading, Readings, follows_closely};
use crate::gateway::outbox::UpdateScope;
use crate::gateway::peer_loads::PeerLoads;
use crate::gateway::peers::Peers;
use crate::gateway::plain_load::PlainLoads;
use crate::gateway::reachability::{Reachability, ReachabilityChange};
use crate::gateway::read_deadline::ReadDeadline;
use crate::gateway::read_turn::ReadTurn;
use crate::gateway::removal::{ChangeSource, ReadContext, Removal};
use crate::gateway::runner_load::{RunnerLoads, counted, is_believed};
use crate::gateway::server_limits::{LimitStatement, ServerLimits};
use crate::gateway::server_speed::{ListedRun, ServerSpeeds, StatedLoad, run_id};
use crate::gateway::software_versions::{
    ListedVersions, MAX_KNOWLEDGE_AGE, STREAM_LIFETIME, SoftwareVersions,
};
use crate::gateway::source_selector::Source;
use crate::gateway::speeds::Speeds;
use crate::gateway::start_knowledge::StartKnowledge;
use crate::gateway::stream_versions::{StreamKey, StreamVersions};
use crate::gateway::sync_message::Part;
use crate::gateway::version_search::{VersionAnswer, VersionSearch};
use crate::gateway::waiting::{ReturnCalendar, Traffic, WaitQueues};
use crate::gateway::{
    Changes, Configuration, Generation, Limits, Metrics, Position, Reply, ServerChange, Settings,
    Weights,
};
use crate::idle_timer::ClientTimeouts;
use crate::inventory::Name;
use crate::open_requests::OpenRequests;
use crate::server_sockets::ServerSockets;
use crate::shutdown::Shutdown;
use crate::signal::Signal;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};
use tracing::{debug, info, warn};

/// The fraction of the memory for clients that is set apart for connections of other VMs and of those
/// that ask for readiness and metrics.
const PEER_MEMORY_FRACTION: usize = 8;

/// How long a server is kept after its directory entry was removed, if the log was unavailable
/// shortly before: the server may be alive and add its entry again.
const REMOVAL_GRACE: Duration = Duration::from_millis(2_000);

/// How long servers may take to write their entries again after the log lost them, before they
/// count as gone. The platform does not state the interval at which they write; this is three
/// intervals of 5 s. A server that is gone takes no requests meanwhile, since connections to it fail.
const REWRITE_TIME: Duration = Duration::from_millis(15_000);

/// How much longer than the configured timeouts a caller's connection is kept open, so that it isn't
/// closed while a request is on its way.
const TIMEOUT_SLACK: Duration = Duration::from_millis(2_000);

/// The largest fleet in which a VM that cannot read the log asks VMs of other zones.
const MAX_VMS_ASKING_ZONES: usize = 12;

/// How long a read of the directory that was asked for may take.
const WANTED_READ_TIME: Duration = Duration::from_millis(300);

/// Maximum number of log lines about listed servers for one set of changes.
const MAX_LISTED_LINES: usize = 16;

/// The state that all tasks of the process share.
#[derive(Debug)]
pub(crate) struct State {
    /// The metrics of this VM.
    pub(crate) metrics: Rc<Metrics>,
    /// The memory for what is held for callers.
    pub(crate) client_memory: ClientMemory,
    /// The memory for connections of other VMs and of those that ask for readiness and metrics, which
    /// callers cannot take.
    pub(crate) peer_memory: ClientMemory,
    /// The sockets for connections to servers.
    pub(crate) server_sockets: ServerSockets,
    /// The requests in work.
    pub(crate) open_requests: Rc<OpenRequests>,
    /// How long callers' connections may be idle, and their requests' heads take.
    pub(crate) client_timeouts: ClientTimeouts,
    /// The settings that the process was started with.
    pub(crate) settings: Settings,
    configuration: RefCell<Option<Rc<Configuration>>>,
    /// When the first configuration was received.
    configuration_known_at: Cell<Option<Instant>>,
    /// When the process was started.
    started_at: Instant,
    /// Whether a configuration was in force when the log was restored, or was compared with those of
    /// other VMs since.
    is_configuration_compared: Cell<bool>,
    /// The texts of the configurations before it.
    pub(super) documents: RefCell<DocumentHistory>,
    /// The backend servers.
    pub(crate) fleet: Fleet,
    /// Whether the directory has been received since the process started.
    pub(crate) is_directory_known: Cell<bool>,
    /// The other VMs, as known from gossip messages.
    pub(crate) peers: Peers,
    /// How far this VM has read the log.
    pub(crate) following: FollowerState,
    /// The latest known era of the log ([`Position::era`]).
    era: Cell<u64>,
    /// When this VM learned of that era; `None` in era 0.
    era_known_at: Cell<Option<Instant>>,
    /// The recent changes of the directory, for VMs that missed them.
    pub(super) history: RefCell<ChangeHistory>,
    /// What crashes servers.
    pub(crate) containment: RefCell<CrashContainment>,
    /// Whether the log or another VM has told what is contained.
    pub(super) containment_knowledge: Cell<StartKnowledge>,
    /// Whether this VM has begun to read a part of its state from the log, and that has not failed.
    pub(super) reads_log: Cell<bool>,
    /// The demand for weights by the requests that this VM receives.
    pub(crate) demand: Demand,
    /// Estimates of how fast runners process each model.
    pub(crate) speeds: Speeds,
    /// How often requests of each priority arrive, and are sent in time.
    pub(crate) traffic: Traffic,
    /// The requests of this VM that wait for runners.
    pub(crate) wait_queues: Rc<WaitQueues>,
    /// When callers that were refused have been asked to come again.
    pub(crate) returns: ReturnCalendar,
    /// How fast each backend server is compared with others.
    pub(crate) server_speeds: ServerSpeeds,
    /// The requests of other zones at runners, as these state.
    pub(crate) runner_loads: RunnerLoads,
    /// The load of plain servers.
    pub(crate) plain_loads: PlainLoads,
    /// The quota usage of organisations, at this VM and at others.
    pub(crate) ledger: RefCell<Ledger>,
    /// The rate limits that backend servers state.
    pub(crate) server_limits: RefCell<ServerLimits>,
    /// Whether this VM can open connections to backend servers.
    reachability: RefCell<Reachability>,
    /// Notified when that becomes doubtful.
    pub(crate) reachability_doubted: Signal,
    /// The software versions of the servers of each service.
    pub(crate) software_versions: RefCell<SoftwareVersions>,
    /// Notified when a read of the directory from the log is asked for.
    pub(super) directory_read_wanted: Signal,
    /// At which software versions streams began.
    pub(crate) stream_versions: RefCell<StreamVersions>,
    /// The searches for the software versions of streams that are taken up.
    version_searches: RefCell<HashMap<StreamKey, Weak<VersionSearch>>>,
    /// The number of requests that wait for weights to be loaded.
    waiting: RefCell<HashMap<Weights, u32>>,
    /// What each runner holds, while this VM is the leader; advertised to all other VMs.
    pub(crate) leader_view: RefCell<Vec<(Incarnation, Vec<Holding>)>>,
    /// The fencing token that this VM sends with orders; 0 if this VM is not the leader.
    pub(crate) fence: Cell<u64>,
    /// Reassembles directory updates of other VMs, which may arrive in several parts.
    assembly: RefCell<Assembly>,
    /// Notified when a server or its holdings have changed.
    pub(crate) changed: Signal,
    /// The state of the graceful shutdown.
    pub(crate) shutdown: Rc<Shutdown>,
}

/// Keeps a request counted as waiting for weights until dropped.
#[derive(Debug)]
pub(crate) struct WaitingGuard {
    state: Rc<State>,
    weights: Weights,
}

impl Drop for WaitingGuard {
    fn drop(&mut self) {
        let mut waiting = self.state.waiting.borrow_mut();
        if let Some(count) = waiting.get_mut(&self.weights) {
            *count -= 1;
            if *count == 0 {
                waiting.remove(&self.weights);
            }
        }
    }
}

impl State {
    /// Creates the state of a process that has received neither configuration nor directory.
    pub(crate) fn new(settings: Settings, metrics: Rc<Metrics>) -> Self {
        Self {
            open_requests: Rc::new(OpenRequests::new(metrics.request_ends.clone())),
            client_memory: ClientMemory::counted(
                settings.client_memory_bytes - settings.client_memory_bytes / PEER_MEMORY_FRACTION,
                settings.client_min_wait,
                metrics.evicted_connections.clone(),
            ),
            peer_memory: ClientMemory::counted(
                settings.client_memory_bytes / PEER_MEMORY_FRACTION,
                settings.client_min_wait,
                metrics.evicted_connections.clone(),
            ),
            server_sockets: ServerSockets::new(settings.sockets.max_shared),
            client_timeouts: ClientTimeouts::new(
                idle_time(Limits::default()),
                head_time(Limits::default()),
            ),
            metrics,
            configuration: RefCell::default(),
            configuration_known_at: Cell::new(None),
            started_at: Instant::now(),
            is_configuration_compared: Cell::new(false),
            documents: RefCell::default(),
            fleet: Fleet::new(settings.report_interval),
            is_directory_known: Cell::new(false),
            peers: Peers::new(settings.peer_address, Instant::now())
                .with_cpu_cores(settings.cpu_cores),
            following: FollowerState::default(),
            era: Cell::new(0),
            era_known_at: Cell::new(None),
            history: RefCell::default(),
            containment: RefCell::default(),
            containment_knowledge: Cell::default(),
            reads_log: Cell::new(false),
            demand: Demand::default(),
            speeds: Speeds::default(),
            traffic: Traffic::default(),
            wait_queues: Rc::default(),
            returns: ReturnCalendar::new(Instant::now()),
            server_speeds: ServerSpeeds::default(),
            runner_loads: RunnerLoads::default(),
            plain_loads: PlainLoads::default(),
            ledger: RefCell::new(Ledger::new(settings.bounds.quota, Instant::now())),
            server_limits: RefCell::new(ServerLimits::new(Instant::now())),
            reachability: RefCell::default(),
            reachability_doubted: Signal::default(),
            software_versions: RefCell::default(),
            directory_read_wanted: Signal::default(),
            stream_versions: RefCell::default(),
            version_searches: RefCell::default(),
            waiting: RefCell::default(),
            leader_view: RefCell::default(),
            fence: Cell::new(0),
            assembly: RefCell::default(),
            changed: Signal::default(),
            shutdown: Rc::default(),
            settings,
        }
    }

    /// Returns the configuration in force; `None` until the first one is received.
    pub(crate) fn configuration(&self) -> Option<Rc<Configuration>> {
        self.configuration.borrow().clone()
    }

    /// Puts a configuration in force, unless its version is not newer than the current one.
    pub(crate) fn apply_configuration(&self, configuration: Configuration, source: Source) {
        let mut current = self.configuration.borrow_mut();
        let before = current.as_ref().map_or(0, |current| current.version);
        if current.is_some() && configuration.version <= before {
            return;
        }
        info!(
            version = configuration.version,
            before,
            source = source.name(),
            routes = configuration.route_count(),
            bytes = configuration.document.len(),
            "configuration in force"
        );
        let bytes = configuration.document.len();
        self.client_timeouts.set(
            idle_time(configuration.limits),
            head_time(configuration.limits),
        );
        self.metrics.configuration_bytes.set(bytes as i64);
        if let Some(replaced) = current.replace(Rc::new(configuration)) {
            self.documents.borrow_mut().push(replaced.document.clone());
        } else {
            self.configuration_known_at.set(Some(Instant::now()));
        }
    }

    /// Whether requests may be served by the configuration as far as a restore of the log is
    /// concerned ([`configuration_check`]).
    pub(crate) fn is_configuration_checked(&self, now: Instant) -> bool {
        if self.era.get() == 0 || self.is_configuration_compared.get() {
            return true;
        }
        let Some(known_at) = self.configuration_known_at.get() else {
            return false;
        };
        let version = self.configuration().map_or(0, |it| it.version);
        let known_for = now.saturating_duration_since(known_at);
        let passes = configuration_check::passes(version, known_for, self.peers.configurations());
        self.is_configuration_compared.set(passes);
        passes
    }

    /// What this VM states of its configuration to others; nothing unless the log was restored.
    pub(super) fn stated_configuration(&self, now: Instant) -> PeerConfiguration {
        match self.configuration() {
            Some(configuration) if self.era.get() > 0 => PeerConfiguration {
                version: configuration.version,
                is_checked: self.is_configuration_checked(now),
            },
            _ => PeerConfiguration::default(),
        }
    }

    /// Learns the era of the log from a position that a read returned (`source` is `log`) or another
    /// VM sent (`vm`).
    pub(super) fn note_position(&self, position: u64, source: &'static str, now: Instant) {
        let era = Position::from_u64(position).era;
        let before = self.era.get();
        if era <= before {
            return;
        }
        if before == 0 && self.configuration.borrow().is_some() {
            self.is_configuration_compared.set(true);
        }
        self.era.set(era);
        self.era_known_at.set(Some(now));
        self.metrics.log_era.set(era as i64);
        warn!(era, before, source, "log restored from a copy");
    }

    /// The latest known era of the log.
    pub(super) fn era(&self) -> u64 {
        self.era.get()
    }

    /// Whether the log was restored so recently that servers may not have written their entries
    /// again.
    pub(super) fn was_log_restored(&self, now: Instant) -> bool {
        let known_at = self.era_known_at.get();
        known_at.is_some_and(|at| now.saturating_duration_since(at) < REWRITE_TIME)
    }

    /// Estimates the cost of a generation to a runner; zero if the configuration doesn't contain
    /// its model.
    pub(crate) fn cost(&self, generation: &Generation) -> Cost {
        let configuration = self.configuration.borrow();
        let current = configuration.as_ref();
        let Some((engine, model)) = current.and_then(|it| it.model(&generation.model)) else {
            return Cost::default();
        };
        let prefill_ms = self.speeds.prefill_ms(model, generation.prompt_tokens);
        let stream_duration_ms = self.speeds.stream_duration_ms(model, generation.max_tokens);
        Cost {
            prefill_ms,
            busy_ms: prefill_ms + stream_duration_ms / f64::from(engine.slots.max(1)),
            stream_duration_ms,
        }
    }

    /// Encodes all metrics as text, with gauges updated to their current values.
    pub(crate) fn metrics_text(&self) -> String {
        let metrics = &self.metrics;
        let version = self.configuration().map_or(0, |it| it.version);
        metrics.configuration_version.set(version as i64);
        metrics.servers.set(self.fleet.servers().len() as i64);
        metrics.vms.set(self.peers.vms() as i64);
        let limited_servers = self.server_limits.borrow().limited_servers();
        metrics.limited_servers.set(limited_servers as i64);
        metrics.set_waiting(&self.wait_queues.counts_by_priority());
        let slow_servers = self.server_speeds.slow_servers();
        metrics.slow_servers.set(slow_servers as i64);
        metrics.is_cut_off.set(i64::from(self.is_cut_off()));
        let unconfirmed = self.unconfirmed_time(Part::Configuration, Instant::now());
        let unconfirmed = unconfirmed.unwrap_or_default();
        metrics
            .configuration_unconfirmed
            .set(unconfirmed.as_secs_f64());
        metrics.open_connections.set(self.shutdown.open() as i64);
        let memory = &self.client_memory;
        metrics.client_memory.set(memory.reserved_bytes() as i64);
        metrics.client_memory_limit.set(memory.max_bytes() as i64);
        metrics.to_text()
    }

    /// Whether this VM has to follow the log closely, because no VM of its zone with a lower
    /// address does.
    pub(crate) fn follows_closely(&self, now: Instant) -> bool {
        let zone = &self.settings.availability_zone;
        follows_closely(self.settings.peer_address, self.peers.readings(zone), now)
    }

    /// Returns the most recent log positions that a VM of the zone advertises; `None` if this VM
    /// has to follow the log itself.
    pub(crate) fn advertised_readings(&self, now: Instant) -> Option<Readings> {
        // The leader has to know what servers hold as soon as they report it.
        if self.fence.get() > 0 || self.follows_closely(now) {
            return None;
        }
        let advertised = self.peers.readings(&self.settings.availability_zone);
        advertised
            .into_iter()
            .map(|(_, readings)| readings)
            .filter(|readings| readings.is_fresh(now))
            .max_by_key(|readings| {
                (
                    readings.configuration.last_change,
                    readings.directory.last_change,
                )
            })
    }

    /// Returns the address of a VM of the zone whose current read of the log is ahead of `from`.
    pub(crate) fn peer_ahead(&self, part: Part, from: u64, now: Instant) -> Option<SocketAddr> {
        let advertised = self.peers.readings(&self.settings.availability_zone);
        let fresh = advertised.into_iter().filter(|(_, it)| it.is_fresh(now));
        let newest = fresh.max_by_key(|(_, readings)| readings.of(part).last_change)?;
        (newest.1.of(part).last_change > from).then_some(newest.0)
    }

    /// Returns the address of a VM whose last known read of the log is ahead of `from`, however old
    /// the read is. VMs of other zones count in a small fleet, or if this VM is alone in its zone:
    /// otherwise all VMs of a large fleet would ask the same one after an outage of the log.
    pub(super) fn any_peer_ahead(&self, part: Part, from: u64) -> Option<SocketAddr> {
        let zone = &self.settings.availability_zone;
        let may_leave_zone =
            self.peers.vms() <= MAX_VMS_ASKING_ZONES || self.peers.vms_in(zone) == 0;
        let advertised = self.peers.all_readings().into_iter();
        let ahead = advertised.filter_map(|(peer, vm_zone, readings)| {
            let is_local = vm_zone == *zone;
            let last_change = readings.of(part).last_change;
            let is_asked = last_change > from && (is_local || may_leave_zone);
            is_asked.then_some(((is_local, last_change), peer))
        });
        Some(ahead.max_by_key(|(rating, _)| *rating)?.1)
    }

    /// Whether this VM knows all that it needs to know to route a request that arrives now.
    pub(crate) fn can_route(&self, now: Instant) -> bool {
        self.has_state()
            && self.containment_knowledge.get().may_serve()
            && self.is_configuration_checked(now)
    }

    /// The time since the process was started.
    pub(crate) fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.started_at)
    }

    /// Whether this VM has the directory and the configuration.
    pub(crate) fn has_state(&self) -> bool {
        self.is_directory_known.get() && self.configuration.borrow().is_some()
    }

    /// Whether this VM takes requests that other VMs forward.
    pub(crate) fn accepts_forwarded(&self) -> bool {
        self.can_route(Instant::now()) && !self.is_cut_off() && !self.shutdown.is_leaving()
    }

    /// Returns the offset in the log up to which this VM has a part of the state.
    pub(super) fn synced_to(&self, part: Part) -> Option<u64> {
        let known = match part {
            Part::Directory => self.is_directory_known.get(),
            Part::Configuration => self.configuration.borrow().is_some(),
        };
        let end = match part {
            Part::Directory => self.following.directory_end.get(),
            Part::Configuration => self.following.configuration.get().map(|it| it.last_change),
        };
        end.filter(|_| known)
    }

    /// Returns when this VM last knew that the log contained nothing newer than its copy: at its own
    /// read, or at one that another VM of the zone advertised.
    pub(super) fn confirmed_at(&self, part: Part, now: Instant) -> Option<Instant> {
        let end = self.synced_to(part)?;
        let own: Reading = self.following.last_read(part)?;
        let advertised = self.peers.readings(&self.settings.availability_zone);
        let advertised = advertised
            .into_iter()
            .map(|(_, readings)| readings.of(part))
            .filter(|reading| reading.is_fresh(now) && reading.last_change <= end);
        let latest = advertised.map(|reading| reading.at).max();
        let confirmed_at = latest.map_or(own.at, |at| at.max(own.at));
        Some(self.following.confirm(part, confirmed_at))
    }

    /// Returns the time since this VM last knew that its copy of a part was current.
    pub(super) fn unconfirmed_time(&self, part: Part, now: Instant) -> Option<Duration> {
        let confirmed_at = self.confirmed_at(part, now)?;
        Some(now.saturating_duration_since(confirmed_at))
    }

    /// Returns when this VM has to read a part from the log, whatever other VMs do; `None` while it
    /// does not have the part.
    pub(super) fn read_deadline(&self, part: Part, now: Instant) -> Option<Instant> {
        let confirmed_at = self.confirmed_at(part, now)?;
        let deadline = ReadDeadline {
            max_delay: self.max_delay(part),
            read_time: match part {
                // Changes of the directory are small.
                Part::Directory => Duration::ZERO,
                Part::Configuration => self.configuration_transfer_time(),
            },
            rank: self.zone_rank(),
            vms: self.peers.vms_in(&self.settings.availability_zone) + 1,
        };
        Some(confirmed_at + deadline.delay())
    }

    /// The longest time from the acknowledgement of a change of a part until it has to take effect.
    pub(super) fn max_delay(&self, part: Part) -> Duration {
        match part {
            Part::Directory => self.settings.bounds.drain,
            Part::Configuration => self.settings.bounds.configuration_delay,
        }
    }

    /// How long the configuration takes on the link of this VM.
    fn configuration_transfer_time(&self) -> Duration {
        let bytes = self.configuration().map_or(0, |it| it.document.len());
        let link_bytes_per_s = self.settings.link_bytes_per_s;
        let seconds = link_bytes_per_s.map_or(0.0, |rate| bytes as f64 / rate);
        Duration::from_secs_f64(seconds)
    }

    /// What decides on when this VM may read the log while no VM of its zone advertises a read.
    pub(crate) fn read_turn(&self, failures: u32, now: Instant) -> ReadTurn {
        ReadTurn {
            rank: self.zone_rank(),
            is_fleet_small: self.peers.is_fleet_small(),
            uptime: self.peers.uptime(now),
            failures,
        }
    }

    /// Applies a directory update sent by the VM that follows the directory for this one.
    pub(super) fn apply_directory_update(&self, update: DirectoryUpdate, now: Instant) {
        let was_log_unavailable = update.was_log_unavailable;
        let end = self.following.directory_end.get();
        let changes = self.assembly.borrow_mut().add_part(update, end);
        let Some(changes) = changes else {
            return;
        };
        if was_log_unavailable {
            self.following.disrupted_at.set(Some(now));
            self.following.unavailable_at.set(Some(now));
        }
        debug!(
            from = end,
            next = changes.next_offset,
            changes = changes.items.len(),
            "directory update applied"
        );
        let next = changes.next_offset;
        self.note_position(next, "vm", now);
        self.apply_directory_changes(changes, end, ChangeSource::Vm, now);
        self.following.note_received_update(next);
        self.purge_removed(now);
    }

    /// Applies changes of the directory since offset `from`, or the whole directory if that is
    /// `None`. Returns the changes to send to other VMs, and whether servers were added or removed
    /// or changed their state.
    pub(super) fn apply_directory_changes(
        &self,
        changes: Changes<ServerChange>,
        from: Option<u64>,
        source: ChangeSource,
        now: Instant,
    ) -> (Vec<ServerChange>, bool) {
        let next = changes.next_offset;
        let mut has_availability_change = false;
        let mut to_send = Vec::new();
        let mut listed: Vec<Name> = Vec::new();
        let mut lost = 0;
        let mut outdated = 0;
        let mut removals = 0;
        let mut passed = ListedVersions::new();
        let read = ReadContext {
            now,
            written_after: self.confirmed_at(Part::Directory, now),
            position: next,
            source,
            is_whole: from.is_none(),
            unavailable_at: self.following.recently_unavailable_at(now),
        };
        for change in changes.items {
            let may_be_restored = matches!(change, ServerChange::Restored(_));
            let is_revived = matches!(change, ServerChange::Revived(_));
            match change {
                ServerChange::Upserted(entry)
                | ServerChange::Restored(entry)
                | ServerChange::Revived(entry) => {
                    let applied = entry.clone();
                    let entry_change = match is_revived {
                        true => self.fleet.apply_revival(applied, &read),
                        false => self.fleet.apply_entry(applied, may_be_restored, &read),
                    };
                    if may_be_restored && self.fleet.server(&entry.id).is_none() {
                        outdated += 1;
                    }
                    if entry_change >= EntryChange::AvailabilityChanged {
                        has_availability_change = true;
                        if listed.len() < MAX_LISTED_LINES {
                            info!(server = %entry.id, state = ?entry.state, "server listed");
                        }
                        listed.push(entry.id.clone());
                    }
                    if entry_change >= EntryChange::AvailabilityChanged {
                        let versions = passed.entry(entry.service.clone()).or_default();
                        versions.insert(entry.software_version.clone());
                    }
                    match entry_change {
                        EntryChange::Renewed => {}
                        EntryChange::Revived => to_send.push(ServerChange::Revived(entry)),
                        _ => to_send.push(ServerChange::Upserted(entry)),
                    }
                }
                ServerChange::Removed(id) => {
                    has_availability_change |= self.fleet.server(&id).is_some();
                    // Sent even if this VM has already removed the server, because another server
                    // answered at its address: other VMs may still list it.
                    let removal = self.fleet.apply_removal(&id, &read);
                    if removals < MAX_LISTED_LINES {
                        report_removal(&id, &removal, &read);
                    }
                    removals += 1;
                    to_send.push(ServerChange::RemovedRun(id, removal));
                }
                ServerChange::RemovedRun(id, removal) => {
                    has_availability_change |= self.fleet.server(&id).is_some();
                    if let Some(removal) = self.fleet.apply_removal_notice(&id, removal, now) {
                        to_send.push(ServerChange::RemovedRun(id, removal));
                    }
                }
                ServerChange::Unreadable(_) => {}
                ServerChange::Lost(id) => {
                    if self.fleet.note_lost(&id, now) {
                        lost += 1;
                        to_send.push(ServerChange::Lost(id));
                    }
                }
            }
        }
        self.report_judgements(&read);
        if lost > 0 || outdated > 0 {
            info!(lost, outdated, next, "directory restored from a copy");
        }
        if listed.len() > MAX_LISTED_LINES {
            info!(servers = listed.len(), next, "further servers listed");
        }
        let mut history = self.history.borrow_mut();
        match from {
            Some(from) => history.push(from, next, to_send.clone()),
            None => history.restart(next),
        }
        if has_availability_change || !self.is_directory_known.get() {
            self.update_software_versions(passed, now);
        }
        self.is_directory_known.set(true);
        self.changed.notify();
        (to_send, has_availability_change)
    }

    /// Logs how entries of removed servers were judged.
    fn report_judgements(&self, read: &ReadContext) {
        for judgement in self.fleet.take_judgements() {
            let removal = &judgement.removal;
            let age = read.now.saturating_duration_since(removal.removed_at);
            info!(
                server = %judgement.id,
                sequence = judgement.sequence,
                verdict = ?judgement.verdict,
                last_sequence = removal.last_sequence,
                reachable_sequence = removal.reachable_sequence,
                returning_sequence = removal.returning_sequence,
                silence_ms = removal.silence.map(|it| it.as_millis() as u64),
                removal_age_ms = age.as_millis() as u64,
                removal_era = removal.era(),
                era = read.era(),
                source = read.source.name(),
                is_whole = read.is_whole,
                "entry of a removed server judged"
            );
        }
    }

    /// Records the versions of the listed servers. `passed` are those of entries that were read, some of
    /// which may have been removed again by the same read.
    fn update_software_versions(&self, passed: ListedVersions, now: Instant) {
        let mut listed = ListedVersions::new();
        for server in self.fleet.servers() {
            if !server.is_marked_removed() {
                server.with_entry(|entry| {
                    let versions = listed.entry(entry.service.clone()).or_default();
                    versions.insert(entry.software_version.clone());
                });
            }
        }
        let mut software_versions = self.software_versions.borrow_mut();
        for (service, software) in software_versions.update(listed, &passed, now) {
            info!(%service, %software, "software version joins");
        }
    }

    /// Records that the directory is about to be replaced as a whole. Unless this VM has read it just
    /// before, versions may have come and gone that it does not know.
    pub(super) fn note_directory_replaced(&self, now: Instant) {
        if !self.following.has_read_directory_within(MAX_KNOWLEDGE_AGE) {
            self.software_versions.borrow_mut().forget_age(now);
        }
    }

    /// Whether a read of the directory from the log is asked for and has not happened yet.
    pub(super) fn is_directory_read_wanted(&self) -> bool {
        self.following.is_directory_read_wanted(WANTED_READ_TIME)
    }

    /// Has the directory read from the log; returns once that has happened or taken too long.
    pub(super) async fn read_directory_soon(&self) {
        let asked_at = BootTime::now();
        let following = &self.following;
        following.directory_read_wanted_at.set(Some(asked_at));
        self.directory_read_wanted.notify();
        let is_read = async {
            while following.directory_read_at.get() < Some(asked_at) {
                self.changed.wait().await;
            }
        };
        // Without the read, the caller knows no more than before.
        let _ = compio::time::timeout(WANTED_READ_TIME, is_read).await;
    }

    /// Whether other VMs have to be told at which version a stream of a service begins.
    pub(crate) fn must_tell_version(&self, service: &str, now: Instant) -> bool {
        // VMs that have started lack what was not told before.
        let is_fleet_changed = self.peers.unchanged_for(now) < STREAM_LIFETIME;
        let unconfirmed = self.unconfirmed_time(Part::Directory, now);
        let is_confirmed = unconfirmed.is_some_and(|age| age < MAX_KNOWLEDGE_AGE);
        is_fleet_changed || !is_confirmed || self.software_versions.borrow().must_tell(service, now)
    }

    /// What this VM knows of the software version of a stream.
    pub(crate) fn version_answer(
        &self,
        key: StreamKey,
        service: &str,
        now: Instant,
    ) -> VersionAnswer {
        let software_versions = self.software_versions.borrow();
        let is_young = software_versions.is_young(now);
        // Other VMs may have seen more versions.
        let has_heard_others = !is_young || self.peers.vms() > 1 || self.peers.is_alone();
        let untold = software_versions.untold(service, now);
        let is_current = self.following.has_read_directory_within(MAX_KNOWLEDGE_AGE);
        VersionAnswer {
            version: self.stream_versions.borrow().find(key),
            only: software_versions.only(service, now).filter(|_| is_current),
            untold: untold.filter(|_| has_heard_others),
            is_young,
        }
    }

    /// Returns the search for the software version of a stream, if there is one.
    pub(super) fn version_search(&self, key: StreamKey) -> Option<Rc<VersionSearch>> {
        self.version_searches.borrow().get(&key)?.upgrade()
    }

    /// Returns the search for the software version of a stream, or begins one.
    pub(super) fn begin_version_search(&self, key: StreamKey) -> Rc<VersionSearch> {
        if let Some(search) = self.version_search(key) {
            return search;
        }
        let search = Rc::new(VersionSearch::default());
        let mut searches = self.version_searches.borrow_mut();
        searches.retain(|_, search| search.strong_count() > 0);
        searches.insert(key, Rc::downgrade(&search));
        search
    }

    /// Removes servers whose directory entry is gone: at once, or after [`REMOVAL_GRACE`] if the
    /// log was recently unavailable, since entries may then expire although their servers still
    /// run.
    pub(super) fn purge_removed(&self, now: Instant) {
        let was_log_unavailable = self.following.was_recently_disrupted(now);
        let grace = if was_log_unavailable {
            REMOVAL_GRACE
        } else {
            Duration::ZERO
        };
        let expired = self.fleet.expire_lost(REWRITE_TIME, now);
        if !expired.is_empty() {
            for id in expired.iter().take(MAX_LISTED_LINES) {
                info!(server = %id, "server's entry not written again");
            }
            self.update_software_versions(ListedVersions::new(), now);
            self.changed.notify();
        }
        self.restore_kept(now);
        for id in self.fleet.purge_removed(grace, now) {
            info!(server = %id, is_shaken = was_log_unavailable, "server gone");
        }
    }

    /// Learns from the changes before the directory at offset `end` which servers were removed.
    pub(super) fn learn_removals(&self, recent: Vec<ServerChange>, end: u64, now: Instant) {
        let unavailable_at = self.following.recently_unavailable_at(now);
        let removals = self.fleet.past_removals(recent, end, unavailable_at, now);
        if !removals.is_empty() {
            info!(servers = removals.len(), "recent removals read");
        }
        self.fleet.adopt_removals(removals);
    }

    /// Takes over which servers another VM lists, of those whose entries do not show yet that they are
    /// alive. `next` is the position up to which that VM has read the directory.
    pub(super) fn confirm_candidates(&self, listed: Vec<ServerChange>, next: u64, now: Instant) {
        let read = ReadContext {
            position: next,
            source: ChangeSource::Vm,
            ..ReadContext::at(now)
        };
        let mut confirmed = 0;
        for change in listed {
            if let ServerChange::Revived(entry) = change
                && self.fleet.has_candidate(&entry.id)
            {
                let change = self.fleet.apply_revival(entry, &read);
                confirmed += usize::from(change == EntryChange::Revived);
            }
        }
        self.report_judgements(&read);
        if confirmed > 0 {
            info!(servers = confirmed, next, "removed servers are alive");
            self.update_software_versions(ListedVersions::new(), now);
            self.changed.notify();
        }
    }

    /// Restores removed servers whose later entries the log keeps.
    fn restore_kept(&self, now: Instant) {
        if !self.fleet.has_candidates() {
            return;
        }
        let Some(current_at) = self.confirmed_at(Part::Directory, now) else {
            return;
        };
        let restored = self.fleet.restore_kept(current_at);
        if restored.is_empty() {
            return;
        }
        for id in restored.iter().take(MAX_LISTED_LINES) {
            info!(server = %id, "removed server is alive");
        }
        self.update_software_versions(ListedVersions::new(), now);
        self.changed.notify();
    }

    /// Records what a server's response states about the server itself.
    pub(crate) fn note_server_statements(&self, reply: &Reply, server: &Server, now: Instant) {
        let run = server.incarnation();
        let rate_per_s = reply.rate_limit_per_s;
        let mut limits = self.server_limits.borrow_mut();
        if limits.record_response(&run, rate_per_s, now) {
            self.log_rate_limit(&server.id, rate_per_s);
        }
        if reply.is_leaving {
            self.note_leaving(server, now);
        }
        if let Some(pause) = reply.pause {
            server.note_pause(pause, now);
        }
        if let Some(load) = reply.stated_load {
            self.note_stated_load(load, server, now);
        }
    }

    /// Returns the requests that all VMs have in flight at a server, as far as this VM knows.
    pub(crate) fn known_in_flight(
        &self,
        server: &Server,
        peer_loads: &PeerLoads<'_>,
        now: Instant,
    ) -> u32 {
        let remote = match self.peers.is_remote_load_stale() {
            true => self.runner_loads.remote(run_id(&server.incarnation()), now),
            false => None,
        };
        let others = match remote {
            Some(remote) => peer_loads.of_single(&server.id) + remote,
            None => peer_loads.in_flight(&server.id),
        };
        server.in_flight() + others
    }

    fn note_stated_load(&self, load: StatedLoad, server: &Server, now: Instant) {
        let peer_loads = self.peers.loads();
        let known_in_flight = server.in_flight() + peer_loads.in_flight(&server.id);
        let slots = server.with_entry(|entry| entry.slots);
        let run = server.incarnation();
        let is_runner = server.with_entry(|entry| !entry.holdings.is_empty());
        let counted = match is_runner {
            true => counted(load, slots),
            false => load,
        };
        let (verdict, is_change) =
            self.server_speeds
                .note_stated(&run, counted, slots, known_in_flight, now);
        let is_shared = is_runner && self.peers.is_remote_load_stale();
        if is_shared && is_believed(&counted, verdict) {
            let local = server.in_flight() + peer_loads.of_single(&server.id);
            let stated = counted.running + counted.waiting;
            self.runner_loads.note(run_id(&run), stated, local, now);
        }
        self.metrics.note_stated_load(verdict.name());
        if is_change {
            let verdict = verdict.name();
            info!(server = %server.id, ?load, slots, verdict, "server's stated load judged");
        }
    }

    /// Records that a server is about to leave, as one of its responses to this VM or another one
    /// states.
    pub(crate) fn note_leaving(&self, server: &Server, now: Instant) {
        if server.note_leaving(now) {
            info!(server = %server.id, "server is leaving");
            self.changed.notify();
        }
    }

    /// Applies what another VM sent of the rate limit of a server.
    pub(super) fn merge_limit_statement(&self, statement: &LimitStatement, now: Instant) {
        let mut limits = self.server_limits.borrow_mut();
        if self.fleet.run(&statement.server).is_some() && limits.merge(statement, now) {
            self.log_rate_limit(&statement.server.id, statement.rate_per_s);
        }
    }

    fn log_rate_limit(&self, server: &Name, rate_per_s: Option<f64>) {
        match rate_per_s {
            Some(rate_per_s) => info!(server = %server, rate_per_s, "server stated a rate limit"),
            None => info!(server = %server, "server lifted its rate limit"),
        }
        // Requests may wait for a server whose limit has changed.
        self.changed.notify();
    }

    /// Returns whether the rate limit of a server, if it has one, allows another request of this VM,
    /// and counts the request as sent if so.
    pub(crate) fn take_rate_limit(&self, server: &Server, now: Instant) -> bool {
        let vms = self.peers.confirmed_peak_vms(now);
        let mut limits = self.server_limits.borrow_mut();
        limits.try_send(&server.incarnation(), vms, rand::random(), now)
    }

    /// Returns the rate limit of a server in requests per second, if it has one.
    pub(crate) fn rate_limit_per_s(&self, server: &Server) -> Option<f64> {
        self.server_limits
            .borrow()
            .rate_per_s(&server.incarnation())
    }

    /// Renews the estimates of how fast the listed servers are.
    pub(crate) fn refresh_server_speeds(&self, now: Instant) {
        let listed = || {
            let servers = self.fleet.servers().into_iter();
            let runs = servers.map(|server| ListedRun {
                run: server.incarnation(),
                service: server.with_entry(|entry| entry.service.clone()),
            });
            runs.collect()
        };
        let Some(listed) = self.server_speeds.refresh(listed, now) else {
            return;
        };
        let changes = self.server_speeds.take_changes(&listed);
        for (run, slowness) in changes.iter().take(MAX_LISTED_LINES) {
            info!(server = %run.id, slowness, "server's speed changed");
        }
    }

    /// Records that a connection to a backend server opened.
    pub(crate) fn record_server_reached(&self, now: Instant) {
        let change = self.reachability.borrow_mut().record_opened(now);
        self.note_reachability(change, now);
    }

    /// Records that a connection to a backend server, begun at a time, did not open.
    pub(crate) fn record_server_unreached(&self, server: &Server, begun_at: Instant) {
        let now = Instant::now();
        let zone = server.with_entry(|entry| entry.availability_zone.clone());
        let listed = self.fleet.listed_servers();
        let mut reachability = self.reachability.borrow_mut();
        let change = reachability.record_failed(&server.id, &zone, begun_at, listed, now);
        drop(reachability);
        self.note_reachability(change, now);
        self.reachability_doubted.notify();
    }

    /// Records that a backend server responded.
    pub(crate) fn record_server_answer(&self, now: Instant) {
        self.reachability.borrow_mut().record_answer(now);
    }

    /// Records that a request to a backend server gets no response.
    pub(crate) fn record_server_silence(&self, now: Instant) {
        self.reachability.borrow_mut().record_silence(now);
        self.reachability_doubted.notify();
    }

    /// Whether it is in doubt that this VM reaches any backend server.
    pub(crate) fn is_reachability_doubted(&self) -> bool {
        self.reachability.borrow().is_doubted()
    }

    /// Whether no connection to the server opened since one to any server last did.
    pub(crate) fn has_unreached(&self, server: &Server) -> bool {
        self.reachability.borrow().has_failed(&server.id)
    }

    /// Whether this VM reaches no backend server.
    pub(crate) fn is_cut_off(&self) -> bool {
        self.reachability.borrow().is_lost()
    }

    fn note_reachability(&self, change: Option<ReachabilityChange>, now: Instant) {
        match change {
            Some(ReachabilityChange::Lost) => warn!("no server reached"),
            Some(ReachabilityChange::Regained(lost_at)) => {
                let lost_ms = now.saturating_duration_since(lost_at).as_millis() as u64;
                info!(lost_ms, "servers reached again");
            }
            None => return,
        }
        // Requests may wait for a server.
        self.changed.notify();
    }

    /// Returns the number of VMs in the local zone with a lower address than this one.
    pub(crate) fn zone_rank(&self) -> usize {
        self.peers.rank_in(&self.settings.availability_zone)
    }

    /// Whether this VM can serve callers.
    pub(crate) fn is_ready(&self) -> bool {
        !self.shutdown.is_leaving()
            && self.is_directory_known.get()
            && self.containment_knowledge.get().may_serve()
            && self.peers.is_discovery_done(Instant::now())
            && self.is_configuration_checked(Instant::now())
            && !self
                .software_versions
                .borrow()
                .is_waiting_to_open(Instant::now())
            && self.configuration.borrow().is_some()
    }

    /// Counts a request as waiting for weights until the guard is dropped, and reports the demand
    /// to the leader.
    pub(crate) fn count_waiting(self: &Rc<Self>, weights: &Weights) -> WaitingGuard {
        let mut waiting = self.waiting.borrow_mut();
        *waiting.entry(weights.clone()).or_default() += 1;
        self.peers.outbox.trigger_update(UpdateScope::Leader);
        WaitingGuard {
            state: self.clone(),
            weights: weights.clone(),
        }
    }

    /// Returns the demand at this VM, by weights.
    pub(crate) fn own_demand(&self, now: Instant) -> Vec<(Weights, DemandRate)> {
        let mut demand: HashMap<Weights, DemandRate> = HashMap::new();
        for (weights, rate) in self.demand.rates(now) {
            demand.insert(weights, rate);
        }
        for (weights, waiting) in self.waiting.borrow().iter() {
            demand.entry(weights.clone()).or_default().waiting = *waiting;
        }
        demand.into_iter().collect()
    }

    /// Returns the demand on all VMs, by weights.
    pub(crate) fn demand(&self, now: Instant) -> HashMap<Weights, DemandRate> {
        let mut demand: HashMap<Weights, DemandRate> = HashMap::new();
        let all = self.own_demand(now).into_iter().chain(self.peers.demands());
        for (weights, rate) in all {
            let sum = demand.entry(weights).or_default();
            sum.busy_ms_per_s += rate.busy_ms_per_s;
            sum.requests_per_s += rate.requests_per_s;
            sum.waiting += rate.waiting;
        }
        demand
    }
}

/// How long a caller's connection is kept open while it is idle.
fn idle_time(limits: Limits) -> Duration {
    Duration::from_millis(limits.idle_timeout_ms).saturating_add(TIMEOUT_SLACK)
}

/// How long a caller may take for a request head.
fn head_time(limits: Limits) -> Duration {
    Duration::from_millis(limits.header_timeout_ms).saturating_add(TIMEOUT_SLACK)
}

/// Logs the removal of a server's entry and what it shows.
fn report_removal(id: &Name, removal: &Removal, read: &ReadContext) {
    info!(
        server = %id,
        last_sequence = removal.last_sequence,
        reachable_sequence = removal.reachable_sequence,
        returning_sequence = removal.returning_sequence,
        silence_ms = removal.silence.map(|it| it.as_millis() as u64),
        was_log_unavailable = read.unavailable_at.is_some(),
        is_whole = read.is_whole,
        "server's entry removed"
    );
}
