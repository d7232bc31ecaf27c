//! Plans groups of runners: appends leadership claims to the log, decides moves and sends the
//! orders to the runners.
//!
//! An order is sent only once its intent has been read back from the log as accepted under the
//! current claim. Timeouts only decide when a takeover is tried; the log decides whether it
//! succeeds. So two planners never use the same reserved memory twice.

use crate::control::{
    Artifact, Claim, ClaimRef, Command, Copy, CopyState, HeldCopy, MemoryLedger, Outcome, Verdict,
};
use crate::demand::Demand;
use crate::engine::{EngineClient, Order, OrderAnswer, Report, ReportedArtifact, ReportedState};
use crate::events::{Event, emit};
use crate::fleet::Fleet;
use crate::inventory::{BackendServer, Inventory, Name};
use crate::membership::Membership;
use crate::metrics::{Metrics, OrderLabels};
use crate::placement::{Move, PlacementPlanner};
use crate::server::ControlStream;
use crate::service_registry::Service;
use crate::shutdown::Shutdown;
use futures_util::future::join_all;
use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The interval between two planning passes.
const PLAN_INTERVAL: Duration = Duration::from_millis(200);
/// The interval after which an order is sent again.
const RESEND_AFTER: Duration = Duration::from_millis(1_000);

/// How long a runner may fail to report before it is marked down and its open loads are
/// abandoned.
const MARK_DOWN_AFTER: Duration = Duration::from_millis(2_000);

/// An order whose outcome is not yet recorded in the log.
struct OpenOrder<'a> {
    under: &'a ClaimRef,
    server: &'a BackendServer,
    artifact: &'a Artifact,
    copy: &'a Copy,
}

impl OpenOrder<'_> {
    fn key(&self) -> (u64, Artifact) {
        (self.copy.intent, self.artifact.clone())
    }
}

/// What this process has sent for one intent.
#[derive(Debug, Default)]
struct SendState {
    sent_at: Option<Instant>,
    /// Whether any attempt was left without an answer, so that it may still reach the runner.
    unanswered: bool,
}

/// The planner service of one VM.
pub(crate) struct Planner {
    control: Rc<ControlStream>,
    demand: Rc<Demand>,
    fleet: Rc<Fleet>,
    membership: Rc<Membership>,
    metrics: Rc<Metrics>,
    shutdown: Rc<Shutdown>,
    vm: Name,
    writer: Name,
    engines: EngineClient,
    send_states: RefCell<HashMap<(u64, Artifact), SendState>>,
    silent_since: RefCell<HashMap<Name, Instant>>,
    /// When a fence was last proposed for each runner, until the engine accepts it.
    fenced_at: RefCell<HashMap<Name, Instant>>,
}

impl Service for Planner {
    const NAME: &'static str = "planner";
}

impl Planner {
    /// Creates a planner with its services from `kernel`; `writer` identifies this run of the
    /// process in the log.
    pub(crate) fn new(kernel: &crate::service_registry::Kernel, vm: Name, writer: Name) -> Self {
        let metrics: Rc<Metrics> = kernel.find();
        Self {
            control: kernel.find(),
            demand: kernel.find(),
            fleet: kernel.find(),
            membership: kernel.find(),
            engines: EngineClient::new(metrics.leg("reports")),
            metrics,
            shutdown: kernel.find(),
            vm,
            writer,
            send_states: RefCell::default(),
            silent_since: RefCell::default(),
            fenced_at: RefCell::default(),
        }
    }

    /// Runs the planning loop over all groups until the VM leaves.
    pub(crate) async fn run(self: Rc<Self>) {
        while !self.shutdown.is_leaving() {
            compio::time::sleep(PLAN_INTERVAL).await;
            if !self.control.is_writable() {
                continue;
            }
            for group in self.groups() {
                self.run_group(&group).await;
            }
        }
    }

    fn groups(&self) -> BTreeSet<Name> {
        self.control.with(|control| {
            control
                .inventory
                .runners()
                .map(|runner| runner.group.clone())
                .collect()
        })
    }

    /// Plans a group if this process is its leader, or tries to take over a group without a live
    /// leader.
    async fn run_group(&self, group: &Name) {
        let claim = self
            .control
            .with(|control| control.claims.get(group).cloned());
        match claim {
            Some(claim) if claim.writer == self.writer => self.plan(group, claim.fence).await,
            held if self.may_take_over(group, held.as_ref()) => {
                self.claim(group, held.map_or(0, |claim| claim.fence)).await;
            }
            _ => {}
        }
    }

    /// Whether this VM may claim a group: the claim is from an earlier run on this VM, or there is
    /// no claim of a live VM and this VM comes first in the rendezvous order.
    fn may_take_over(&self, group: &str, held: Option<&Claim>) -> bool {
        match held {
            Some(claim) if claim.vm == self.vm => true,
            Some(claim) if self.membership.is_alive(&claim.vm) => false,
            _ => self.membership.is_first_for(group),
        }
    }

    /// Appends a leadership claim; it is accepted only if `after` is the fence of the current one.
    async fn claim(&self, group: &Name, after: u64) {
        let command = Command::Claim {
            group: group.clone(),
            vm: self.vm.clone(),
            after,
        };
        let accepted = self.propose(command).await.is_some();
        emit(
            Event::GroupClaimed,
            format_args!("group={group} after={after} accepted={accepted}"),
        );
    }

    /// Proposes a command and returns its fence if it was accepted.
    async fn propose(&self, command: Command) -> Option<u64> {
        let recorded = self.control.propose(command).await.ok()?;
        (recorded.verdict == Verdict::Accepted).then_some(recorded.position.fence)
    }

    /// Advances the open orders of all runners of a group, then records new moves.
    async fn plan(&self, group: &Name, claim: u64) {
        let under = ClaimRef {
            group: group.clone(),
            claim,
        };
        let runners: Vec<BackendServer> = self.control.with(|control| {
            control
                .inventory
                .runners()
                .filter(|runner| runner.group == *group)
                .cloned()
                .collect()
        });
        join_all(
            runners
                .iter()
                .map(|runner| self.reconcile_runner(&under, runner)),
        )
        .await;
        let moves = self.control.with(|control| {
            let demand = self.demand.total(&control.inventory, control.revision);
            PlacementPlanner::new(control, group, |name| {
                let has_started =
                    |memory_ledger: &MemoryLedger| memory_ledger.boot != 0 && !memory_ledger.down;
                control.ledgers.get(name).is_some_and(has_started)
                    && self.fleet.runner(name).is_some_and(|runner| runner.is_up())
                    && !self.membership.is_server_leaving(name)
            })
            .with_demand(demand, self.demand.service_time(None), hour_utc())
            .moves()
        });
        join_all(
            moves
                .into_iter()
                .map(|planned| self.record(&under, planned)),
        )
        .await;
    }

    /// Records a move as an intent in the log. The order is sent in a later pass, once the intent
    /// has been read back.
    async fn record(&self, under: &ClaimRef, planned: Move) {
        let under = under.clone();
        match planned {
            Move::Load {
                runner,
                artifact,
                reason,
                others,
                ..
            } => {
                let rationale = format!("reason={reason} others={others}");
                let subject = format!("artifact={artifact} runner={runner}");
                let command = Command::Load {
                    under,
                    runner,
                    artifact,
                };
                self.record_order("load", Event::LoadPlaced, command, &subject, &rationale)
                    .await;
            }
            Move::Unload {
                runner,
                artifact,
                reason,
            } => {
                let rationale = format!("reason={reason}");
                let subject = format!("artifact={artifact} runner={runner}");
                let command = Command::Unload {
                    under,
                    runner,
                    artifact,
                };
                self.record_order("unload", Event::UnloadPlaced, command, &subject, &rationale)
                    .await;
            }
        }
    }

    async fn record_order(
        &self,
        order: &'static str,
        event: Event,
        command: Command,
        subject: &str,
        rationale: &str,
    ) {
        if let Some(fence) = self.propose(command).await {
            let labels = OrderLabels { order };
            self.metrics.orders.get_or_create(&labels).inc();
            emit(event, format_args!("{subject} intent={fence} {rationale}"));
        }
    }

    /// Updates a runner's memory ledger from its report and advances its open orders.
    async fn reconcile_runner(&self, under: &ClaimRef, server: &BackendServer) {
        let Some(report) = self.engines.report(server.address).await else {
            return self.mark_down_if_silent(under, server).await;
        };
        self.silent_since.borrow_mut().remove(&server.name);
        let memory_ledger = self
            .control
            .with(|control| control.ledger(&server.name).clone());
        let is_outdated = memory_ledger.boot != report.boot || memory_ledger.down;
        if is_outdated || (server.checks_fencing && memory_ledger.has_reserved()) {
            return self
                .reset_ledger(under, server, &memory_ledger, report)
                .await;
        }
        self.record_lost_copies(under, server, &memory_ledger, &report)
            .await;
        self.adopt_unlisted_copies(under, server, &report).await;
        let mut copies: Vec<_> = memory_ledger.copies.iter().collect();
        // An engine that checks fences refuses an order that arrives after one with a higher
        // fence, so orders are sent by ascending intent.
        copies.sort_by_key(|(_, copy)| copy.intent);
        for (artifact, copy) in copies {
            let open = OpenOrder {
                under,
                server,
                artifact,
                copy,
            };
            match copy.state {
                CopyState::Loading => self.advance_load(&open, &report).await,
                CopyState::Unloading => self.advance_unload(&open, &report).await,
                CopyState::Resident | CopyState::Reserved => {}
            }
        }
    }

    /// Marks a runner as down if it has not reported for `MARK_DOWN_AFTER`, so that its open loads
    /// no longer count towards the limit on open loads.
    async fn mark_down_if_silent(&self, under: &ClaimRef, server: &BackendServer) {
        let since = *self
            .silent_since
            .borrow_mut()
            .entry(server.name.clone())
            .or_insert_with(Instant::now);
        let memory_ledger = self
            .control
            .with(|control| control.ledger(&server.name).clone());
        if since.elapsed() < MARK_DOWN_AFTER || memory_ledger.down || memory_ledger.boot == 0 {
            return;
        }
        let command = Command::MarkDown {
            under: under.clone(),
            runner: server.name.clone(),
        };
        if self.propose(command).await.is_some() {
            emit(Event::RunnerDown, format_args!("runner={}", server.name));
        }
    }

    /// Resets a runner's memory ledger to what the engine reports. An engine that checks fences is
    /// fenced first, so that it refuses earlier orders.
    async fn reset_ledger(
        &self,
        under: &ClaimRef,
        server: &BackendServer,
        memory_ledger: &MemoryLedger,
        report: Report,
    ) {
        let boot = report.boot;
        let report = if server.checks_fencing {
            self.fence(under, server).await
        } else {
            Some(report)
        };
        // An engine that restarted in the meantime may not have received the fence.
        let Some(report) = report.filter(|report| report.boot == boot) else {
            return;
        };
        let command = Command::Reset {
            under: under.clone(),
            runner: server.name.clone(),
            boot,
            fenced: server.checks_fencing,
            held: self.reported_copies(&report),
        };
        if self.propose(command).await.is_some() {
            emit(
                Event::RunnerReset,
                format_args!(
                    "runner={} boot={boot} before={}",
                    server.name, memory_ledger.boot
                ),
            );
        }
    }

    /// Sends a fence, after which the engine refuses all earlier orders, and returns a report
    /// fetched after it. A failed fence is retried after `RESEND_AFTER`.
    async fn fence(&self, under: &ClaimRef, server: &BackendServer) -> Option<Report> {
        let last = self.fenced_at.borrow().get(&server.name).copied();
        if last.is_some_and(|at| at.elapsed() < RESEND_AFTER) {
            return None;
        }
        let now = Instant::now();
        self.fenced_at.borrow_mut().insert(server.name.clone(), now);
        let command = Command::Fence {
            under: under.clone(),
            runner: server.name.clone(),
        };
        let order = Order {
            order: "fence",
            artifact: "",
            mib: 0,
            fence: self.propose(command).await?,
        };
        if self.engines.order(server.address, &order).await != OrderAnswer::Accepted {
            return None;
        }
        let report = self.engines.report(server.address).await;
        self.fenced_at.borrow_mut().remove(&server.name);
        report
    }

    /// Returns the artifacts in an engine's report, as the log records them.
    fn reported_copies(&self, report: &Report) -> Vec<HeldCopy> {
        self.control.with(|control| {
            let held = report.artifacts.iter();
            held.map(|held| self.to_held(held, &control.inventory))
                .collect()
        })
    }

    fn to_held(&self, reported: &ReportedArtifact, inventory: &Inventory) -> HeldCopy {
        let state = match reported.state {
            ReportedState::Loading => CopyState::Loading,
            ReportedState::Ready => CopyState::Resident,
            ReportedState::Unloading => CopyState::Unloading,
        };
        HeldCopy {
            artifact: Artifact::parse(&reported.name, inventory),
            mib: reported.mib,
            state,
        }
    }

    /// Records resident copies that the engine no longer reports, for example because a delayed
    /// order unloaded them.
    async fn record_lost_copies(
        &self,
        under: &ClaimRef,
        server: &BackendServer,
        memory_ledger: &MemoryLedger,
        report: &Report,
    ) {
        for (artifact, copy) in &memory_ledger.copies {
            if copy.state != CopyState::Resident || report.find(&artifact.to_string()).is_some() {
                continue;
            }
            let command = Command::Lose {
                under: under.clone(),
                runner: server.name.clone(),
                artifact: artifact.clone(),
                boot: report.boot,
            };
            if self.propose(command).await.is_some() {
                emit(
                    Event::CopyLost,
                    format_args!("artifact={artifact} runner={}", server.name),
                );
            }
        }
    }

    /// Adds artifacts to the memory ledger that the engine reports but the ledger does not list,
    /// or lists only as reserved.
    async fn adopt_unlisted_copies(
        &self,
        under: &ClaimRef,
        server: &BackendServer,
        report: &Report,
    ) {
        let memory_ledger = self
            .control
            .with(|control| control.ledger(&server.name).clone());
        for (held, reported) in self
            .reported_copies(report)
            .into_iter()
            .zip(&report.artifacts)
        {
            let is_listed = memory_ledger.copies.iter().any(|(artifact, copy)| {
                copy.state != CopyState::Reserved && artifact.to_string() == reported.name
            });
            if is_listed {
                continue;
            }
            let command = Command::Adopt {
                under: under.clone(),
                runner: server.name.clone(),
                held,
                boot: report.boot,
            };
            // A refusal means that the memory ledger has changed in the meantime.
            let _ = self.propose(command).await;
        }
    }

    /// Settles a load once the engine reports the artifact ready; sends the order if it does not
    /// report the artifact at all.
    async fn advance_load(&self, open: &OpenOrder<'_>, report: &Report) {
        match report.find(&open.artifact.to_string()) {
            Some(held) if held.state == ReportedState::Ready => {
                self.settle(open, Outcome::Done, false).await;
            }
            Some(_) => {}
            None => self.send_order(open, "load").await,
        }
    }

    /// Settles an unload once the engine no longer reports the artifact; sends the order unless the
    /// artifact is being unloaded.
    async fn advance_unload(&self, open: &OpenOrder<'_>, report: &Report) {
        match report.find(&open.artifact.to_string()) {
            None => self.settle(open, Outcome::Done, false).await,
            Some(held) if held.state == ReportedState::Unloading => {}
            Some(_) => self.send_order(open, "unload").await,
        }
    }

    /// Sends an order, unless it was sent within `RESEND_AFTER` or the claim has been superseded.
    async fn send_order(&self, open: &OpenOrder<'_>, kind: &str) {
        let key = open.key();
        let sent_recently = self
            .send_states
            .borrow()
            .get(&key)
            .and_then(|state| state.sent_at)
            .is_some_and(|at| at.elapsed() < RESEND_AFTER);
        if sent_recently || !self.still_holds_claim(open.under) {
            return;
        }
        self.send_states
            .borrow_mut()
            .entry(key.clone())
            .or_default()
            .sent_at = Some(Instant::now());
        let name = open.artifact.to_string();
        let order = Order {
            order: kind,
            artifact: &name,
            mib: open.copy.mib,
            fence: open.copy.intent,
        };
        match self.engines.order(open.server.address, &order).await {
            OrderAnswer::Accepted | OrderAnswer::NotSent => {}
            OrderAnswer::Unanswered => {
                let mut send_states = self.send_states.borrow_mut();
                send_states.entry(key).or_default().unanswered = true;
            }
            OrderAnswer::Fenced => self.settle_fenced_order(open, &name).await,
            OrderAnswer::Refused => self.settle(open, Outcome::Failed, false).await,
        }
    }

    /// Settles an order that was refused for its fence as failed, unless the engine's report shows
    /// that an earlier attempt had reached it.
    async fn settle_fenced_order(&self, open: &OpenOrder<'_>, name: &str) {
        let Some(report) = self.engines.report(open.server.address).await else {
            return;
        };
        let held = report.find(name);
        let failed = match open.copy.state {
            CopyState::Loading => held.is_none(),
            _ => held.is_some_and(|held| held.state == ReportedState::Ready),
        };
        if failed {
            self.settle(open, Outcome::Failed, true).await;
        }
    }

    /// Whether the claim is still the current one of its group.
    fn still_holds_claim(&self, under: &ClaimRef) -> bool {
        self.control.with(|control| {
            control
                .claims
                .get(&under.group)
                .is_some_and(|claim| claim.fence == under.claim)
        })
    }

    /// Whether no attempt to send the order can still arrive and take effect.
    fn is_clean(&self, open: &OpenOrder<'_>, outcome: Outcome, fenced: bool) -> bool {
        if open.server.checks_fencing {
            return fenced || outcome == Outcome::Done;
        }
        let all_answered = self
            .send_states
            .borrow()
            .get(&open.key())
            .is_none_or(|state| !state.unanswered);
        // An order from an earlier claim may also have been sent by another process.
        open.copy.claim == open.under.claim && all_answered
    }

    /// Records the outcome of an order.
    async fn settle(&self, open: &OpenOrder<'_>, outcome: Outcome, fenced: bool) {
        let clean = self.is_clean(open, outcome, fenced);
        let intent = open.copy.intent;
        let command = Command::Settle {
            under: open.under.clone(),
            runner: open.server.name.clone(),
            artifact: open.artifact.clone(),
            intent,
            outcome,
            clean,
        };
        if self.propose(command).await.is_some() {
            self.send_states.borrow_mut().remove(&open.key());
            emit(
                Event::OrderSettled,
                format_args!(
                    "intent={intent} runner={} artifact={} outcome={outcome:?} clean={clean}",
                    open.server.name, open.artifact
                ),
            );
        }
    }
}

/// Returns the hour of the day, UTC.
fn hour_utc() -> u8 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |since| (since.as_secs() / 3_600 % 24) as u8)
}
