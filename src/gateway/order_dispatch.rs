//! Sends the leader's orders to model runners and tracks the state of these runners.

use crate::gateway::demand_rate::DemandRate;
use crate::gateway::fleet::{Incarnation, Server};
use crate::gateway::load_limit::LoadRateLimit;
use crate::gateway::order_queue::OrderTarget;
use crate::gateway::outbox::UpdateScope;
use crate::gateway::placement::{PlacementPlanner, RunnerPlan, RunnerView};
use crate::gateway::report_schedule::ReportSchedule;
use crate::gateway::runner_state::RunnerState;
use crate::gateway::state::State;
use crate::gateway::{RunnerControl, RunnerReport, Weights};
use crate::inventory::Name;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::info;

/// Age up to which an order is sent on the report of its runner.
const MAX_ORDER_REPORT_AGE: Duration = Duration::from_secs(5);
/// How long a new leader waits for reports before it plans on what the directory lists.
const MAX_REPORTS_WAIT: Duration = Duration::from_millis(1_500);
/// The share of the runners that counts as most of them.
const MOST_RUNNERS: f64 = 0.9;
/// The time without planning that follows a plan, as a multiple of the time that the plan took.
const PLANNING_PAUSE_FACTOR: u32 = 4;
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
    reports: RefCell<ReportSchedule>,
    /// When this VM became the leader.
    started_at: Cell<Instant>,
    /// When the next plan is due.
    next_plan_at: Cell<Instant>,
    ceiling: Rc<LoadRateLimit>,
    /// When each model was last requested.
    last_requested_at: RefCell<HashMap<Name, Instant>>,
}

impl<R: RunnerControl> OrderDispatcher<R> {
    /// Creates a dispatcher that sends no orders until [`start`](Self::start).
    pub(crate) fn new(state: Rc<State>, runner_control: R) -> Rc<Self> {
        let ceiling = Rc::new(LoadRateLimit::new(state.settings.bounds.load_window));
        let now = Instant::now();
        Rc::new(Self {
            reports: RefCell::new(ReportSchedule::new(state.settings.cpu_cores, now)),
            started_at: Cell::new(now),
            next_plan_at: Cell::new(now),
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
        self.started_at.set(Instant::now());
        self.state.metrics.is_leading.set(1);
        self.fence.set(Some(fence));
        self.state.fence.set(fence);
        self.state.peers.outbox.trigger_update_to_all();
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

    /// Updates the state of all runners, plans, and starts the orders of the plan. The longer a plan
    /// takes, the rarer it is made, so that it leaves most of the processor time to other tasks.
    pub(crate) fn tick(self: &Rc<Self>) {
        let began = Instant::now();
        if began < self.next_plan_at.get() {
            return;
        }
        self.sync_runner_states();
        self.refresh_reports();
        self.advertise_holdings();
        let knows_runners = self.knows_most_runners();
        let is_waiting_over = self.started_at.get().elapsed() >= MAX_REPORTS_WAIT;
        if knows_runners || is_waiting_over {
            self.plan(knows_runners);
        }
        let pause = began.elapsed() * PLANNING_PAUSE_FACTOR;
        self.next_plan_at.set(Instant::now() + pause);
    }

    /// Whether most runners have reported what they hold, not counting those that did not answer.
    pub(super) fn knows_most_runners(&self) -> bool {
        let tracked = self.runner_states.borrow();
        let is_silent = |runner: &RunnerState| runner.report.is_none() && runner.last_report_missed;
        let answering = tracked.values().filter(|it| !is_silent(it)).count();
        let known = tracked.values().filter(|it| it.report.is_some()).count();
        known as f64 >= answering as f64 * MOST_RUNNERS
    }

    /// Plans, and starts the orders of the plan. `knows_runners` tells whether the reports of most
    /// runners were received.
    fn plan(self: &Rc<Self>, knows_runners: bool) {
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
                knows_runners,
                cold_loads: self.ceiling.left(engine.loads_per_s, now),
            };
            for (runner, runner_plan) in planner.plan() {
                self.start_orders(&runner, runner_plan);
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

    /// Requests the reports that are missing or old, the oldest first, as far as the rate allows.
    fn refresh_reports(self: &Rc<Self>) {
        let now = Instant::now();
        let mut tracked = self.runner_states.borrow_mut();
        let mut schedule = self.reports.borrow_mut();
        let runners = tracked.len();
        let is_due = |runner: &RunnerState| {
            let is_known = runner.report.is_some() && !runner.last_report_missed;
            let interval = schedule.interval(runners, is_known);
            let requested_at = runner.report_requested_at;
            !runner.is_executing && requested_at.is_none_or(|at| now.duration_since(at) >= interval)
        };
        let due = tracked.iter().filter(|(_, runner)| is_due(runner));
        let mut due: Vec<(Option<Instant>, Incarnation)> = due
            .map(|(run, runner)| (runner.report_requested_at, run.clone()))
            .collect();
        due.sort();
        due.truncate(schedule.take(due.len(), now));
        for (_, run) in due {
            let Some(server) = self.state.fleet.run(&run) else {
                continue;
            };
            if let Some(runner) = tracked.get_mut(&run) {
                runner.report_requested_at = Some(now);
            }
            let dispatcher = self.clone();
            compio::runtime::spawn(async move {
                dispatcher.fetch_report(&server).await;
            })
            .detach();
        }
    }

    /// Requests the report of a runner that orders are about to be sent to, unless it is recent.
    pub(super) async fn refresh_before_orders(&self, server: &Server) {
        let is_recent = {
            let tracked = self.runner_states.borrow();
            let tracked = tracked.get(&server.incarnation());
            tracked.is_some_and(|runner| {
                let requested_at = runner.report_requested_at;
                runner.report.is_some()
                    && requested_at.is_some_and(|at| at.elapsed() < MAX_ORDER_REPORT_AGE)
            })
        };
        if !is_recent {
            self.fetch_report(server).await;
        }
    }

    /// Requests a runner's report and stores it. Returns `None` if it did not arrive or is
    /// outdated, or if the leadership changed in the meantime.
    pub(super) async fn fetch_report(&self, server: &Server) -> Option<RunnerReport> {
        let fence = self.fence.get();
        let report = self.runner_control.report(server.address, &server.id).await;
        match report {
            Some(_) => self.state.record_server_answer(Instant::now()),
            None => self.state.record_server_silence(Instant::now()),
        }
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
            self.state
                .peers
                .outbox
                .trigger_update(UpdateScope::Holdings);
        }
    }

    fn views(&self, service: &str) -> Vec<RunnerView> {
        let tracked = self.runner_states.borrow();
        let servers = self.state.fleet.of_service(service);
        let peers_in_flight = self.state.peers.in_flight_by_model();
        let mut views: Vec<RunnerView> = servers
            .iter()
            .filter(|server| server.accepts_requests())
            .filter_map(|server| {
                let runner = tracked.get(&server.incarnation())?;
                let in_flight = peers_in_flight.get(&server.id);
                let view = runner.view(server, in_flight);
                let view = view.or_else(|| runner.listed_view(server))?;
                Some(RunnerView {
                    slowness: self.state.server_speeds.slowness(&server.incarnation()),
                    ..view
                })
            })
            .collect();
        views.sort_by(|left, right| left.id.cmp(&right.id));
        views
    }

    fn start_orders(self: &Rc<Self>, runner: &Name, runner_plan: RunnerPlan) {
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
        let dispatcher = self.clone();
        let target = OrderTarget {
            server,
            fence,
            cold_load: runner_plan.is_cold.then(|| self.ceiling.reserve()),
        };
        compio::runtime::spawn(async move {
            dispatcher.execute_plan(&target, &runner_plan).await;
            dispatcher.finish_orders(&target);
        })
        .detach();
    }
}
