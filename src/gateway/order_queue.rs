//! Executes the orders for one runner in sequence: each is sent once the previous one is complete.

use crate::gateway::coming_copy::ComingCopy;
use crate::gateway::fleet::{Server, holds};
use crate::gateway::load_limit::LoadReservation;
use crate::gateway::order_dispatch::OrderDispatcher;
use crate::gateway::outbox::UpdateScope;
use crate::gateway::placement::RunnerPlan;
use crate::gateway::runner_state::{MIN_RESIDENCE, apply_order};
use crate::gateway::{Order, OrderOutcome, RunnerControl, RunnerReport, Weights};
use crate::inventory::Name;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::{info, warn};

/// Delay with which a runner's report reflects its state.
const REPORT_LAG: Duration = Duration::from_millis(250);
/// Interval between checks whether a load or unload is complete.
const POLL_INTERVAL: Duration = Duration::from_millis(120);
/// Time after which a load or unload is abandoned and the runner is planned for again.
const ORDER_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum number of attempts to send one order.
const MAX_ATTEMPTS: u32 = 4;

/// Runner that a sequence of orders is sent to, and the fence under which they are sent.
pub(super) struct OrderTarget {
    pub(super) server: Rc<Server>,
    pub(super) fence: u64,
    /// The load from the weight store among the orders, if there is one.
    pub(super) cold_load: Option<LoadReservation>,
}

impl<R: RunnerControl> OrderDispatcher<R> {
    /// Whether this VM still leads under the fence of the orders.
    pub(super) fn is_current(&self, target: &OrderTarget) -> bool {
        self.fence.get() == Some(target.fence)
    }

    /// Makes the runner available to the planner again. If this VM has lost or renewed its
    /// leadership in the meantime, the present state of the runner is left unchanged.
    pub(super) fn finish_orders(&self, target: &OrderTarget) {
        if !self.is_current(target) {
            return;
        }
        if let Some(tracked) = self
            .runner_states
            .borrow_mut()
            .get_mut(&target.server.incarnation())
        {
            tracked.is_executing = false;
            tracked.loading = None;
            tracked.unloading = None;
        }
        target.server.note_coming(None);
        self.advertise_holdings();
    }

    pub(super) async fn execute_plan(&self, target: &OrderTarget, runner_plan: &RunnerPlan) {
        let server = &target.server;
        self.refresh_before_orders(server).await;
        let unloads = runner_plan.unload.iter().map(|weights| (weights, false));
        let loads = runner_plan.load.iter().map(|weights| (weights, true));
        for (weights, is_load) in unloads.chain(loads) {
            if !is_load && weights.adapter.is_none() {
                self.set_unloading(server, Some(weights.model.clone()));
            }
            let began = Instant::now();
            let done = self.execute_order(target, weights, is_load).await;
            info!(
                server = %server.id,
                model = %weights.model,
                adapter = weights.adapter.as_deref().unwrap_or(""),
                is_load,
                done,
                took_ms = began.elapsed().as_millis() as u64,
                "order carried out"
            );
            if !done {
                return;
            }
            self.set_unloading(server, None);
            if is_load && weights.adapter.is_none() {
                self.note_loaded(server, &weights.model);
            }
            self.advertise_holdings();
        }
    }

    fn note_loaded(&self, server: &Server, model: &Name) {
        if let Some(tracked) = self
            .runner_states
            .borrow_mut()
            .get_mut(&server.incarnation())
        {
            tracked
                .recent_loads
                .retain(|(_, at)| at.elapsed() < MIN_RESIDENCE);
            tracked.recent_loads.push((model.clone(), Instant::now()));
        }
    }

    fn set_unloading(&self, server: &Server, model: Option<Name>) {
        if let Some(tracked) = self
            .runner_states
            .borrow_mut()
            .get_mut(&server.incarnation())
        {
            tracked.unloading = model;
        }
        self.advertise_holdings();
    }

    /// Sends one order and waits for its completion; returns whether it completed.
    async fn execute_order(&self, target: &OrderTarget, weights: &Weights, is_load: bool) -> bool {
        let server = &target.server;
        for _ in 0..MAX_ATTEMPTS {
            let Some(outcome) = self.send_order(target, weights, is_load).await else {
                return false;
            };
            match outcome {
                OrderOutcome::Accepted => {
                    self.note_accepted(server, weights, is_load);
                    if is_load && weights.adapter.is_none() {
                        self.note_load_begun(server, weights);
                    }
                    let cold_load = target.cold_load.as_ref();
                    if let Some(load) = cold_load.filter(|_| is_load && weights.adapter.is_none()) {
                        load.note_started(Instant::now());
                    }
                    // An adapter loads within milliseconds; one that is unloaded while in
                    // use keeps its slot until its runs have ended.
                    let is_quick = is_load && weights.adapter.is_some();
                    return is_quick || self.wait_until_complete(target, weights, is_load).await;
                }
                OrderOutcome::Held => {
                    self.note_already_done(server, weights, is_load);
                    return true;
                }
                OrderOutcome::Fenced => {
                    warn!(server = %server.id, "a later leader sends orders");
                    self.was_fenced.set(true);
                    self.stop();
                    return false;
                }
                OrderOutcome::Invalid | OrderOutcome::NotSent => {
                    self.note_unreachable(server);
                    return false;
                }
                OrderOutcome::Busy | OrderOutcome::Unanswered => {
                    compio::time::sleep(REPORT_LAG).await;
                    self.fetch_report(server).await;
                }
            }
        }
        false
    }

    /// Excludes an unreachable runner from plans until it sends a report again.
    fn note_unreachable(&self, server: &Server) {
        let now = Instant::now();
        server.note_failure(now);
        if let Some(tracked) = self
            .runner_states
            .borrow_mut()
            .get_mut(&server.incarnation())
        {
            tracked.report = None;
            tracked.last_report_missed = true;
            tracked.report_requested_at = Some(now);
        }
    }

    /// Sends an order. Returns `None` if it may not be sent, or if the leadership ended in the
    /// meantime.
    async fn send_order(
        &self,
        target: &OrderTarget,
        weights: &Weights,
        is_load: bool,
    ) -> Option<OrderOutcome> {
        let OrderTarget { server, fence, .. } = target;
        if !self.is_current(target) {
            return None;
        }
        let expected_orders = {
            let tracked = self.runner_states.borrow();
            let report = tracked.get(&server.incarnation())?.report.as_ref()?;
            // The report does not say what an order in progress loads, while its number of orders
            // already includes that order, so the runner could accept a load that does not fit.
            if is_load && report.is_busy {
                info!(server = %server.id, ?weights, "load waits for an order in progress");
                return Some(OrderOutcome::Busy);
            }
            if is_load && !self.fits(server, report, weights) {
                warn!(server = %server.id, ?weights, held = ?report.holdings, "load does not fit");
                return None;
            }
            report.orders
        };
        let order = Order {
            server: &server.id,
            is_load,
            weights,
            expected_orders: Some(expected_orders),
            leader: &self.state.settings.vm,
            fence: *fence,
        };
        let outcome = self.runner_control.order(server.address, &order).await;
        let operation = if is_load { "load" } else { "drop" };
        self.state.metrics.note_order(operation, outcome.name());
        info!(
            server = %server.id,
            model = %weights.model,
            adapter = weights.adapter.as_deref().unwrap_or(""),
            is_load,
            fence,
            expected_orders,
            ?outcome,
            "order given"
        );
        self.is_current(target).then_some(outcome)
    }

    /// Whether a runner has memory for the weights beside what it reports. A runner that is ordered
    /// to load more than fits crashes.
    fn fits(&self, server: &Server, report: &RunnerReport, weights: &Weights) -> bool {
        let configuration = self.state.configuration();
        let engine = configuration.as_ref().and_then(|configuration| {
            let service = server.with_entry(|entry| entry.service.clone());
            configuration.services.get(&service)?.engine.as_ref()
        });
        engine.is_some_and(|engine| {
            engine.has_room(&report.holdings, &report.loading_adapters, weights)
        })
    }

    /// Counts an accepted order in the runner's report; a loaded adapter is held from then on.
    fn note_accepted(&self, server: &Server, weights: &Weights, is_load: bool) {
        let mut all = self.runner_states.borrow_mut();
        let tracked = all.get_mut(&server.incarnation());
        if let Some(report) = tracked.and_then(|it| it.report.as_mut()) {
            report.orders += 1;
            if is_load && weights.adapter.is_some() {
                apply_order(&mut report.holdings, weights, is_load);
            }
        }
    }

    /// Records when the copy that a runner began to load is expected, and tells the other VMs.
    fn note_load_begun(&self, server: &Server, weights: &Weights) {
        // The runner's report shows a copy with this delay, and requests are sent from then on.
        let ready_in = self.min_duration(server, weights, true) + REPORT_LAG;
        info!(
            server = %server.id,
            model = %weights.model,
            ready_in_ms = ready_in.as_millis() as u64,
            "copy expected"
        );
        server.note_coming(Some(ComingCopy {
            model: weights.model.clone(),
            ready_at: Instant::now() + ready_in,
        }));
        self.state.changed.notify();
        self.state
            .peers
            .outbox
            .trigger_update(UpdateScope::Holdings);
    }

    fn note_already_done(&self, server: &Server, weights: &Weights, is_load: bool) {
        let mut all = self.runner_states.borrow_mut();
        let tracked = all.get_mut(&server.incarnation());
        if let Some(report) = tracked.and_then(|it| it.report.as_mut()) {
            let was_unloaded = !is_load && holds(&report.holdings, weights);
            if was_unloaded && weights.adapter.is_some() {
                // The runner unloads an unused adapter at once, and counts that as an order.
                report.orders += 1;
            }
            apply_order(&mut report.holdings, weights, is_load);
        }
    }

    /// Waits until the runner reports the weights as loaded, or as unloaded.
    async fn wait_until_complete(
        &self,
        target: &OrderTarget,
        weights: &Weights,
        is_load: bool,
    ) -> bool {
        let server = &target.server;
        let began = Instant::now();
        compio::time::sleep(self.min_duration(server, weights, is_load)).await;
        while began.elapsed() < ORDER_TIMEOUT && self.is_current(target) {
            if let Some(report) = self.fetch_report(server).await {
                let holds = holds(&report.holdings, weights);
                if !report.is_busy && holds == is_load {
                    return true;
                }
            }
            compio::time::sleep(POLL_INTERVAL).await;
        }
        false
    }

    /// Returns the time that an order takes at least.
    fn min_duration(&self, server: &Server, weights: &Weights, is_load: bool) -> Duration {
        if !is_load {
            return REPORT_LAG;
        }
        let configuration = self.state.configuration();
        let model = configuration.as_ref().and_then(|configuration| {
            let mut engines = configuration.engines();
            engines.find_map(|(_, engine)| engine.model(&weights.model))
        });
        let Some(model) = model else {
            return REPORT_LAG;
        };
        let millis = server.with_entry(|entry| {
            if entry.in_memory.contains(&weights.model) {
                model.warm_load_ms
            } else if entry.on_disk.contains(&weights.model) {
                model.disk_load_ms
            } else {
                model.load_ms
            }
        });
        Duration::from_millis(millis)
    }
}
