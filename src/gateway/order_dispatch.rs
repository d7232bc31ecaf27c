//! Sends the leader's orders to model runners and tracks the state of these runners.

use crate::gateway::fleet::{Incarnation, Server};
use crate::gateway::load_limit::LoadRateLimit;
use crate::gateway::order_queue::OrderTarget;
use crate::gateway::peers::{DemandRate, UpdateScope};
use crate::gateway::planning::{PlacementPlanner, RunnerPlan, RunnerView};
use crate::gateway::runner_state::RunnerState;
use crate::gateway::state::State;
use crate::gateway::{RunnerControl, RunnerReport, Weights};
use crate::inventory::Name;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::info;

/// Age from which a runner's report is requested again.
const MAX_REPORT_AGE: Duration = Duration::from_secs(5);
/// Delay before a report that did not arrive is requested again.
const REPORT_RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Fence of the first leadership claim in the log.
const FIRST_FENCE: u64 = 1;
/// Time for which a requested model is expected to be requested again.
const RECENT_REQUEST_PERIOD: Duration = Duration::from_secs(20);

/// Plans and sends orders while this VM is the leader.
pub(crate) struct OrderDispatcher<R> {
    pub(super) state: Rc<State>,
    pub(super) runner_control: R,
    pub(super) fence: Cell<Option<u64>>,
    pub(super) was_fenced: Cell<bool>,
    pub(super) runner_states: RefCell<BTreeMap<Incarnation, RunnerState>>,
    ceiling: LoadRateLimit,
    /// When each model was last requested.
    last_requested_at: RefCell<HashMap<Name, Instant>>,
}

impl<R: RunnerControl> OrderDispatcher<R> {
    /// Creates a dispatcher that sends no orders until [`start`](Self::start).
    pub(crate) fn new(state: Rc<State>, runner_control: R) -> Rc<Self> {
        let ceiling = LoadRateLimit::new(state.settings.bounds.load_window);
        Rc::new(Self {
            state,
            runner_control,
            fence: Cell::new(None),
            was_fenced: Cell::new(false),
            runner_states: RefCell::default(),
            ceiling,
            last_requested_at: RefCell::default(),
        })
    }

    /// Returns the fence under which this VM sends orders, if it is the leader.
    pub(crate) fn fence(&self) -> Option<u64> {
        self.fence.get()
    }

    /// Whether this VM is the leader.
    pub(crate) fn is_leader(&self) -> bool {
        self.fence.get().is_some()
    }

    /// Starts sending orders under a fence. Every fence but the first follows another leader, whose
    /// loads still count towards the load limit.
    pub(crate) fn start(&self, fence: u64) {
        if fence > FIRST_FENCE {
            self.ceiling.note_takeover(Instant::now());
        }
        self.runner_states.borrow_mut().clear();
        self.state.metrics.is_leading.set(1);
        self.fence.set(Some(fence));
        self.state.fence.set(fence);
        self.state.peers.trigger_update_to_all();
    }

    /// Stops sending orders.
    pub(crate) fn stop(&self) {
        self.fence.set(None);
        self.state.fence.set(0);
        self.state.metrics.is_leading.set(0);
        self.runner_states.borrow_mut().clear();
        self.state.leader_view.borrow_mut().clear();
    }

    /// Returns whether a runner refused an order because of a later leader since the last call.
    pub(crate) fn take_fenced(&self) -> bool {
        self.was_fenced.replace(false)
    }

    /// Updates the state of all runners, plans, and starts the orders of the plan.
    pub(crate) fn tick(self: &Rc<Self>) {
        self.sync_runner_states();
        self.refresh_reports();
        self.advertise_holdings();
        let Some(configuration) = self.state.configuration() else {
            return;
        };
        let now = Instant::now();
        let demand = self.state.demand(now);
        let recently_requested = self.recently_requested_models(&demand, now);
        for (service, engine) in configuration.engines() {
            let runners = self.views(&service.name);
            let planner = PlacementPlanner {
                engine,
                runners: &runners,
                demand: &demand,
                recently_requested: &recently_requested,
                cold_loads: self.ceiling.left(engine.loads_per_s, now),
            };
            for (runner, runner_plan) in planner.plan() {
                self.start_orders(&runner, runner_plan, now);
            }
        }
    }

    /// Returns the models that were requested within [`RECENT_REQUEST_PERIOD`].
    fn recently_requested_models(
        &self,
        demand: &HashMap<Weights, DemandRate>,
        now: Instant,
    ) -> HashSet<Name> {
        let mut last_requested_at = self.last_requested_at.borrow_mut();
        for weights in demand.keys() {
            last_requested_at.insert(weights.model.clone(), now);
        }
        last_requested_at.retain(|_, at| now.duration_since(*at) < RECENT_REQUEST_PERIOD);
        last_requested_at.keys().cloned().collect()
    }

    /// Adds newly listed runners and removes those that are gone. A runner that executes orders
    /// stays until these end, since the directory may list it again in the meantime.
    fn sync_runner_states(&self) {
        let Some(configuration) = self.state.configuration() else {
            return;
        };
        let mut tracked = self.runner_states.borrow_mut();
        tracked.retain(|run, it| it.is_executing || self.state.fleet.run(run).is_some());
        for (service, _) in configuration.engines() {
            for server in self.state.fleet.of_service(&service.name) {
                tracked.entry(server.incarnation()).or_default();
            }
        }
    }

    /// Requests the reports that are old or missing.
    fn refresh_reports(self: &Rc<Self>) {
        let now = Instant::now();
        let mut tracked = self.runner_states.borrow_mut();
        for (run, tracked) in tracked.iter_mut() {
            let limit = match tracked.report {
                Some(_) if !tracked.last_report_missed => MAX_REPORT_AGE,
                _ => REPORT_RETRY_INTERVAL,
            };
            let is_old = tracked
                .report_requested_at
                .is_none_or(|at| now.duration_since(at) >= limit);
            if tracked.is_executing || !is_old {
                continue;
            }
            let Some(server) = self.state.fleet.run(run) else {
                continue;
            };
            tracked.report_requested_at = Some(now);
            let dispatcher = self.clone();
            compio::runtime::spawn(async move {
                dispatcher.fetch_report(&server).await;
            })
            .detach();
        }
    }

    /// Requests a runner's report and stores it. Returns `None` if it did not arrive or is
    /// outdated, or if the leadership changed in the meantime.
    pub(super) async fn fetch_report(&self, server: &Server) -> Option<RunnerReport> {
        let fence = self.fence.get();
        let report = self.runner_control.report(server.address, &server.id).await;
        if self.fence.get() != fence {
            return None;
        }
        let mut all = self.runner_states.borrow_mut();
        let tracked = all.get_mut(&server.incarnation())?;
        let Some(report) = report else {
            let is_missed = tracked.last_report_missed;
            info!(server = %server.id, is_missed, "runner gave no report");
            tracked.note_missed_report();
            return None;
        };
        tracked.last_report_missed = false;
        // A restarted runner is included in plans once the directory lists its new run.
        if report.started_ms != server.started_ms {
            tracked.report = None;
            return None;
        }
        if report.is_leaving {
            self.state.note_leaving(server, Instant::now());
        }
        // The report predates an order that the runner has accepted since.
        let known = tracked.report.as_ref().map_or(0, |known| known.orders);
        if report.orders < known {
            return None;
        }
        tracked.report_requested_at = Some(Instant::now());
        tracked.report = Some(report.clone());
        Some(report)
    }

    /// Publishes what the runners hold to this VM's routing and, if changed, to all other VMs.
    pub(super) fn advertise_holdings(&self) {
        let now = Instant::now();
        let mut view = Vec::new();
        for (run, tracked) in self.runner_states.borrow().iter() {
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
        let tracked = self.runner_states.borrow();
        let servers = self.state.fleet.of_service(service);
        let mut views: Vec<RunnerView> = servers
            .iter()
            .filter(|server| server.accepts_requests())
            .filter_map(|server| {
                tracked
                    .get(&server.incarnation())?
                    .view(server, &self.state)
            })
            .collect();
        views.sort_by(|left, right| left.id.cmp(&right.id));
        views
    }

    fn start_orders(self: &Rc<Self>, runner: &Name, runner_plan: RunnerPlan, now: Instant) {
        let Some(server) = self.state.fleet.server(runner) else {
            return;
        };
        let Some(fence) = self.fence.get() else {
            return;
        };
        {
            let mut all = self.runner_states.borrow_mut();
            let Some(tracked) = all.get_mut(&server.incarnation()) else {
                return;
            };
            tracked.is_executing = true;
            let is_model = |weights: &&Weights| weights.adapter.is_none();
            let loading = runner_plan.load.iter().find(is_model);
            tracked.loading = loading.map(|weights| weights.model.clone());
        }
        if runner_plan.is_cold {
            self.ceiling.note(now);
        }
        let dispatcher = self.clone();
        let target = OrderTarget { server, fence };
        compio::runtime::spawn(async move {
            dispatcher.execute_plan(&target, &runner_plan).await;
            dispatcher.finish_orders(&target);
        })
        .detach();
    }
}
