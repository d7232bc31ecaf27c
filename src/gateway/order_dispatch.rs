//! The orders that the leading VM gives, and what it knows of the runners by them.

use crate::gateway::fleet::{Incarnation, Server};
use crate::gateway::load_limit::LoadRateLimit;
use crate::gateway::order_queue::Chain;
use crate::gateway::peers::{DemandRate, UpdateScope};
use crate::gateway::planning::{Planning, RunnerView, Steps};
use crate::gateway::runner_state::Tracked;
use crate::gateway::state::State;
use crate::gateway::{RunnerControl, RunnerReport, Weights};
use crate::inventory::Name;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::info;

/// How old a runner's account may get before it is asked for again.
const REFRESH_INTERVAL: Duration = Duration::from_secs(5);
/// The pause before asking again a runner whose account did not come.
const REFRESH_PAUSE: Duration = Duration::from_millis(500);
/// The fence of the first claim ever.
const FIRST_FENCE: u64 = 1;
/// For how long a model that was asked for counts as one that will be asked for again.
const ASKED_FOR: Duration = Duration::from_secs(20);

/// Gives orders while this VM holds the claim.
pub(crate) struct Ordering<R> {
    pub(super) state: Rc<State>,
    pub(super) runners: R,
    pub(super) fence: Cell<Option<u64>>,
    pub(super) is_fenced: Cell<bool>,
    pub(super) tracked: RefCell<BTreeMap<Incarnation, Tracked>>,
    ceiling: LoadRateLimit,
    /// When models were last asked for.
    asked: RefCell<HashMap<Name, Instant>>,
}

impl<R: RunnerControl> Ordering<R> {
    /// Gives no orders yet.
    pub(crate) fn new(state: Rc<State>, runners: R) -> Rc<Self> {
        let ceiling = LoadRateLimit::new(state.settings.bounds.load_window);
        Rc::new(Self {
            state,
            runners,
            fence: Cell::new(None),
            is_fenced: Cell::new(false),
            tracked: RefCell::default(),
            ceiling,
            asked: RefCell::default(),
        })
    }

    /// The fence under which this VM gives orders.
    pub(crate) fn fence(&self) -> Option<u64> {
        self.fence.get()
    }

    /// Whether this VM holds the claim.
    pub(crate) fn is_holder(&self) -> bool {
        self.fence.get().is_some()
    }

    /// Begins to give orders under a fence; every fence but the first had a holder before.
    pub(crate) fn start(&self, fence: u64) {
        if fence > FIRST_FENCE {
            self.ceiling.note_takeover(Instant::now());
        }
        self.tracked.borrow_mut().clear();
        self.state.metrics.is_leading.set(1);
        self.fence.set(Some(fence));
        self.state.fence.set(fence);
        self.state.peers.trigger_update_to_all();
    }

    /// Gives no further order.
    pub(crate) fn stop(&self) {
        self.fence.set(None);
        self.state.fence.set(0);
        self.state.metrics.is_leading.set(0);
        self.tracked.borrow_mut().clear();
        self.state.leader_view.borrow_mut().clear();
    }

    /// Whether a later holder was met since the last call.
    pub(crate) fn take_fenced(&self) -> bool {
        self.is_fenced.replace(false)
    }

    /// Looks at all runners and begins what is to be done.
    pub(crate) fn tick(self: &Rc<Self>) {
        self.follow_fleet();
        self.refresh();
        self.tell();
        let Some(configuration) = self.state.configuration() else {
            return;
        };
        let now = Instant::now();
        let demand = self.state.demand(now);
        let asked = self.asked_lately(&demand, now);
        for (service, engine) in configuration.engines() {
            let runners = self.views(&service.name);
            let planning = Planning {
                engine,
                runners: &runners,
                demand: &demand,
                asked: &asked,
                cold_loads: self.ceiling.left(engine.loads_per_s, now),
            };
            for (runner, steps) in planning.plan() {
                self.begin(&runner, steps, now);
            }
        }
    }

    /// The models that were asked for lately.
    fn asked_lately(&self, demand: &HashMap<Weights, DemandRate>, now: Instant) -> HashSet<Name> {
        let mut asked = self.asked.borrow_mut();
        for weights in demand.keys() {
            asked.insert(weights.model.clone(), now);
        }
        asked.retain(|_, at| now.duration_since(*at) < ASKED_FOR);
        asked.keys().cloned().collect()
    }

    /// Tracks each listed runner, and none that is gone; one that is given orders stays until these
    /// end, since its entry may come back meanwhile.
    fn follow_fleet(&self) {
        let Some(configuration) = self.state.configuration() else {
            return;
        };
        let mut tracked = self.tracked.borrow_mut();
        tracked.retain(|run, it| it.is_working || self.state.fleet.run(run).is_some());
        for (service, _) in configuration.engines() {
            for server in self.state.fleet.of_service(&service.name) {
                tracked.entry(server.incarnation()).or_default();
            }
        }
    }

    /// Asks runners whose account is old or missing.
    fn refresh(self: &Rc<Self>) {
        let now = Instant::now();
        let mut tracked = self.tracked.borrow_mut();
        for (run, tracked) in tracked.iter_mut() {
            let limit = match tracked.report {
                Some(_) if !tracked.is_missed => REFRESH_INTERVAL,
                _ => REFRESH_PAUSE,
            };
            let is_old = tracked
                .asked_at
                .is_none_or(|at| now.duration_since(at) >= limit);
            if tracked.is_working || !is_old {
                continue;
            }
            let Some(server) = self.state.fleet.run(run) else {
                continue;
            };
            tracked.asked_at = Some(now);
            let ordering = self.clone();
            compio::runtime::spawn(async move {
                ordering.ask(&server).await;
            })
            .detach();
        }
    }

    /// Asks a runner for its account and takes it over.
    pub(super) async fn ask(&self, server: &Server) -> Option<RunnerReport> {
        let fence = self.fence.get();
        let report = self.runners.report(server.address, &server.id).await;
        if self.fence.get() != fence {
            return None;
        }
        let mut all = self.tracked.borrow_mut();
        let tracked = all.get_mut(&server.incarnation())?;
        let Some(report) = report else {
            let is_missed = tracked.is_missed;
            info!(server = %server.id, is_missed, "runner gives no account");
            tracked.note_missed();
            return None;
        };
        tracked.is_missed = false;
        // One that has started again is planned for once the directory lists its new run.
        if report.started_ms != server.started_ms {
            tracked.report = None;
            return None;
        }
        // An account that is older than an order accepted meanwhile says nothing.
        let known = tracked.report.as_ref().map_or(0, |known| known.orders);
        if report.orders < known {
            return None;
        }
        tracked.asked_at = Some(Instant::now());
        tracked.report = Some(report.clone());
        Some(report)
    }

    /// Tells all VMs what runners hold.
    pub(super) fn tell(&self) {
        let now = Instant::now();
        let mut view = Vec::new();
        for (run, tracked) in self.tracked.borrow().iter() {
            let Some(holdings) = tracked.usable() else {
                continue;
            };
            if let Some(server) = self.state.fleet.run(run) {
                server.note_leader_view(holdings.clone(), now);
            }
            view.push((run.clone(), holdings));
        }
        let has_changed = *self.state.leader_view.borrow() != view;
        if has_changed {
            *self.state.leader_view.borrow_mut() = view;
            self.state.changed.notify();
            self.state.peers.trigger_update(UpdateScope::Holdings);
        }
    }

    fn views(&self, service: &str) -> Vec<RunnerView> {
        let tracked = self.tracked.borrow();
        let servers = self.state.fleet.of_service(service);
        let mut views: Vec<RunnerView> = servers
            .iter()
            .filter(|server| server.is_listed_ready())
            .filter_map(|server| {
                tracked
                    .get(&server.incarnation())?
                    .view(server, &self.state)
            })
            .collect();
        views.sort_by(|left, right| left.id.cmp(&right.id));
        views
    }

    fn begin(self: &Rc<Self>, runner: &Name, steps: Steps, now: Instant) {
        let Some(server) = self.state.fleet.server(runner) else {
            return;
        };
        let Some(fence) = self.fence.get() else {
            return;
        };
        {
            let mut all = self.tracked.borrow_mut();
            let Some(tracked) = all.get_mut(&server.incarnation()) else {
                return;
            };
            tracked.is_working = true;
            let is_model = |weights: &&Weights| weights.adapter.is_none();
            let loading = steps.load.iter().find(is_model);
            tracked.loading = loading.map(|weights| weights.model.clone());
        }
        if steps.is_cold {
            self.ceiling.note(now);
        }
        let ordering = self.clone();
        let chain = Chain { server, fence };
        compio::runtime::spawn(async move {
            ordering.carry_out(&chain, &steps).await;
            ordering.end(&chain);
        })
        .detach();
    }
}
