//! What one VM believes: configuration, backend servers, peers.

use crate::callers::Ledger;
use crate::gateway::call::Cost;
use crate::gateway::crash_suspects::CrashSuspects;
use crate::gateway::demand::Demand;
use crate::gateway::directory_updates::{Assembly, DirectoryUpdate};
use crate::gateway::fleet::{EntryChange, Fleet, Holding, Incarnation};
use crate::gateway::log_follower::{FollowerState, Readings, follows_closely};
use crate::gateway::peers::{DemandRate, Peers, UpdateScope};
use crate::gateway::speeds::Speeds;
use crate::gateway::{
    Changes, Configuration, Generation, Metrics, ServerChange, Settings, Weights,
};
use crate::shutdown::Shutdown;
use crate::signal::Signal;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::{debug, info};

/// How long an entry that lapsed in a shaken directory has to come back.
const LAPSE_LIMIT: Duration = Duration::from_millis(2_000);

/// The beliefs that all parts of the process share.
#[derive(Debug)]
pub(crate) struct State {
    /// What is counted and measured.
    pub(crate) metrics: Rc<Metrics>,
    /// The settings that the process was started with.
    pub(crate) settings: Settings,
    configuration: RefCell<Option<Rc<Configuration>>>,
    /// The backend servers.
    pub(crate) fleet: Fleet,
    /// Whether the directory was read since the start.
    pub(crate) is_directory_known: Cell<bool>,
    /// The other VMs.
    pub(crate) peers: Peers,
    /// What this VM read of the log.
    pub(crate) following: FollowerState,
    /// Requests that were aboard when servers crashed.
    pub(crate) suspects: CrashSuspects,
    /// The demand that this VM sees.
    pub(crate) demand: Demand,
    /// How fast runners work on each model.
    pub(crate) speeds: Speeds,
    /// What organisations were granted, here and at other VMs.
    pub(crate) ledger: RefCell<Ledger>,
    waiting: RefCell<HashMap<Weights, u32>>,
    /// What runners hold, while this VM leads; told to all others.
    pub(crate) leader_view: RefCell<Vec<(Incarnation, Vec<Holding>)>>,
    /// The fence under which this VM gives orders; 0 if it gives none.
    pub(crate) fence: Cell<u64>,
    /// Changes of the directory as far as their parts have come.
    assembly: RefCell<Assembly>,
    /// Notified when a server or what it holds has changed.
    pub(crate) changed: Signal,
    /// Whether the process is about to end.
    pub(crate) shutdown: Rc<Shutdown>,
}

/// Counts a request as waiting for weights until dropped.
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
    /// A state that knows nothing yet.
    pub(crate) fn new(settings: Settings, metrics: Rc<Metrics>) -> Self {
        Self {
            metrics,
            configuration: RefCell::default(),
            fleet: Fleet::default(),
            is_directory_known: Cell::new(false),
            peers: Peers::new(settings.peer_address, Instant::now()),
            following: FollowerState::default(),
            suspects: CrashSuspects::default(),
            demand: Demand::default(),
            speeds: Speeds::default(),
            ledger: RefCell::new(Ledger::new(settings.bounds.quota, Instant::now())),
            waiting: RefCell::default(),
            leader_view: RefCell::default(),
            fence: Cell::new(0),
            assembly: RefCell::default(),
            changed: Signal::default(),
            shutdown: Rc::default(),
            settings,
        }
    }

    /// The configuration in force.
    pub(crate) fn configuration(&self) -> Option<Rc<Configuration>> {
        self.configuration.borrow().clone()
    }

    /// Puts a configuration in force unless it is older than the present one.
    pub(crate) fn apply_configuration(&self, configuration: Configuration) {
        let mut present = self.configuration.borrow_mut();
        let before = present.as_ref().map_or(0, |present| present.version);
        if present.is_some() && configuration.version <= before {
            return;
        }
        info!(
            version = configuration.version,
            before,
            routes = configuration.route_count(),
            "configuration in force"
        );
        *present = Some(Rc::new(configuration));
    }

    /// What a generation costs a runner; nothing where the configuration lacks its model.
    pub(crate) fn cost(&self, generation: &Generation) -> Cost {
        let configuration = self.configuration.borrow();
        let known = configuration.as_ref();
        let Some((engine, model)) = known.and_then(|known| known.model(&generation.model)) else {
            return Cost::default();
        };
        let read_ms = self.speeds.read_ms(model, generation.prompt_tokens);
        let stream_ms = self.speeds.stream_ms(model, generation.max_tokens);
        Cost {
            read_ms,
            busy_ms: read_ms + stream_ms / f64::from(engine.slots.max(1)),
            stream_ms,
        }
    }

    /// All metrics as text, gauges as of now.
    pub(crate) fn metrics_text(&self) -> String {
        let metrics = &self.metrics;
        let version = self.configuration().map_or(0, |it| it.version);
        metrics.configuration_version.set(version as i64);
        metrics.servers.set(self.fleet.servers().len() as i64);
        metrics.vms.set(self.peers.vms() as i64);
        metrics.open_connections.set(self.shutdown.open() as i64);
        metrics.to_text()
    }

    /// Whether this VM is to follow the log closely.
    pub(crate) fn follows_closely(&self, now: Instant) -> bool {
        let zone = &self.settings.availability_zone;
        follows_closely(self.settings.peer_address, self.peers.readings(zone), now)
    }

    /// The news of which VMs tell that follow the log closely for this one; `None` if this VM is
    /// to follow it itself.
    pub(crate) fn advertised_readings(&self, now: Instant) -> Option<Readings> {
        // Whoever gives orders has to know what servers hold as soon as they tell.
        if self.fence.get() > 0 || self.follows_closely(now) {
            return None;
        }
        let told = self.peers.readings(&self.settings.availability_zone);
        told.into_iter()
            .map(|(_, readings)| readings)
            .filter(|readings| readings.is_fresh(now))
            .max_by_key(|readings| (readings.configuration.news, readings.directory.news))
    }

    /// Takes over changes of the directory that the VM that follows it passed on.
    pub(super) fn apply_directory_update(&self, news: DirectoryUpdate, now: Instant) {
        let is_shaken = news.is_shaken;
        let end = self.following.directory_end.get();
        let changes = self.assembly.borrow_mut().take(news, end);
        let Some(changes) = changes else {
            return;
        };
        if is_shaken {
            self.following.disrupted_at.set(Some(now));
        }
        debug!(
            from = end,
            next = changes.next,
            changes = changes.items.len(),
            "directory told"
        );
        let next = changes.next;
        self.apply_directory_changes(changes, now);
        self.following.note_received_update(next);
        self.purge_removed(now);
    }

    /// Takes changes of the directory over; returns those that others are to be told of, and
    /// whether servers came, left or changed their state.
    pub(super) fn apply_directory_changes(
        &self,
        changes: Changes<ServerChange>,
        now: Instant,
    ) -> (Vec<ServerChange>, bool) {
        let mut has_news = false;
        let mut told = Vec::new();
        for change in changes.items {
            match change {
                ServerChange::Upserted(entry) => {
                    let taken = self.fleet.take(entry.clone());
                    if taken == EntryChange::AvailabilityChanged {
                        has_news = true;
                        info!(server = %entry.id, state = ?entry.state, "server listed");
                    }
                    if taken > EntryChange::Renewed {
                        told.push(ServerChange::Upserted(entry));
                    }
                }
                ServerChange::Removed(id) => {
                    has_news |= self.fleet.server(&id).is_some();
                    self.fleet.mark_removed(&id, now);
                    // Others may know it still, where this VM alone met another one at its address.
                    told.push(ServerChange::Removed(id));
                }
            }
        }
        self.is_directory_known.set(true);
        self.changed.notify();
        (told, has_news)
    }

    /// Servers whose entry lapsed are gone, at once unless the log itself was away.
    pub(super) fn purge_removed(&self, now: Instant) {
        let is_shaken = self.following.is_shaken(now);
        let limit = if is_shaken {
            LAPSE_LIMIT
        } else {
            Duration::ZERO
        };
        for id in self.fleet.purge_removed(limit, now) {
            info!(server = %id, is_shaken, "server gone");
        }
    }

    /// How many VMs of the own zone come before this one by address.
    pub(crate) fn zone_rank(&self) -> usize {
        self.peers.rank_in(&self.settings.availability_zone)
    }

    /// Whether callers can be served.
    pub(crate) fn is_ready(&self) -> bool {
        !self.shutdown.is_leaving()
            && self.is_directory_known.get()
            && self.peers.is_discovery_done(Instant::now())
            && self.configuration.borrow().is_some()
    }

    /// Counts a request that waits for weights.
    pub(crate) fn count_waiting(self: &Rc<Self>, weights: &Weights) -> WaitingGuard {
        let mut waiting = self.waiting.borrow_mut();
        *waiting.entry(weights.clone()).or_default() += 1;
        self.peers.trigger_update(UpdateScope::Leader);
        WaitingGuard {
            state: self.clone(),
            weights: weights.clone(),
        }
    }

    /// The demand at this VM.
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

    /// The demand at all VMs.
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
