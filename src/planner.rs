//! The planner of a group: claims it in the log, decides moves, gives orders.
//!
//! An order is sent only once its intent was read back as accepted under the
//! present claim. Time decides when a takeover is tried, the log whether it
//! holds; so two planners never act on memory that is set aside only once.

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

/// The time between two looks at the books.
const TICK: Duration = Duration::from_millis(200);
/// How long to wait before an order is given again.
const RESEND_AFTER: Duration = Duration::from_millis(1_000);

/// How long a runner may be silent before its orders are given up.
const DOWN_AFTER: Duration = Duration::from_millis(2_000);

/// An order that is not settled.
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
struct Attempts {
    sent_at: Option<Instant>,
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
    attempts: RefCell<HashMap<(u64, Artifact), Attempts>>,
    silent_since: RefCell<HashMap<Name, Instant>>,
    fenced_at: RefCell<HashMap<Name, Instant>>,
}

impl Service for Planner {
    const NAME: &'static str = "planner";
}

impl Planner {
    /// A planner over the services it reads; `writer` names this run in the log.
    pub(crate) fn new(
        registry: &crate::service_registry::ServiceRegistry,
        vm: Name,
        writer: Name,
    ) -> Self {
        let metrics: Rc<Metrics> = registry.find();
        Self {
            control: registry.find(),
            demand: registry.find(),
            fleet: registry.find(),
            membership: registry.find(),
            engines: EngineClient::new(metrics.control_traffic_counter("reports")),
            metrics,
            shutdown: registry.find(),
            vm,
            writer,
            attempts: RefCell::default(),
            silent_since: RefCell::default(),
            fenced_at: RefCell::default(),
        }
    }

    /// Tends every group until the VM leaves.
    pub(crate) async fn run(self: Rc<Self>) {
        while !self.shutdown.is_leaving() {
            compio::time::sleep(TICK).await;
            if !self.control.is_writable() {
                continue;
            }
            for group in self.groups() {
                self.tend(&group).await;
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

    async fn tend(&self, group: &Name) {
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

    fn may_take_over(&self, group: &str, held: Option<&Claim>) -> bool {
        match held {
            Some(claim) if claim.vm == self.vm => true,
            Some(claim) if self.membership.is_alive(&claim.vm) => false,
            _ => self.membership.is_assigned(group),
        }
    }

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

    /// Proposes a command; its fence if it was accepted.
    async fn propose(&self, command: Command) -> Option<u64> {
        let recorded = self.control.propose(command).await.ok()?;
        (recorded.verdict == Verdict::Accepted).then_some(recorded.position.fence)
    }

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
        join_all(runners.iter().map(|runner| self.drive(&under, runner))).await;
        let moves = self.control.with(|control| {
            let demand = self.demand.total(&control.inventory, control.revision);
            PlacementPlanner::new(control, group, |name| {
                let known = |ledger: &MemoryLedger| ledger.boot != 0 && !ledger.down;
                control.ledgers.get(name).is_some_and(known)
                    && self.fleet.runner(name).is_some_and(|runner| runner.is_up())
                    && !self.membership.is_server_leaving(name)
            })
            .with_demand(demand, self.demand.service_time(None), hour_utc())
            .moves()
        });
        join_all(
            moves
                .into_iter()
                .map(|decided| self.record(&under, decided)),
        )
        .await;
    }

    /// Writes a decision as an intent; its order is given once it is read back.
    async fn record(&self, under: &ClaimRef, decided: Move) {
        let under = under.clone();
        match decided {
            Move::Load {
                runner,
                artifact,
                reason,
                others,
                ..
            } => {
                let why = format!("reason={reason} others={others}");
                let line = format!("artifact={artifact} runner={runner}");
                let command = Command::Load {
                    under,
                    runner,
                    artifact,
                };
                self.record_order("load", Event::LoadPlaced, command, &line, &why)
                    .await;
            }
            Move::Unload {
                runner,
                artifact,
                reason,
            } => {
                let why = format!("reason={reason}");
                let line = format!("artifact={artifact} runner={runner}");
                let command = Command::Unload {
                    under,
                    runner,
                    artifact,
                };
                self.record_order("unload", Event::UnloadPlaced, command, &line, &why)
                    .await;
            }
        }
    }

    async fn record_order(
        &self,
        order: &'static str,
        event: Event,
        command: Command,
        line: &str,
        why: &str,
    ) {
        if let Some(fence) = self.propose(command).await {
            let labels = OrderLabels { order };
            self.metrics.orders.get_or_create(&labels).inc();
            emit(event, format_args!("{line} intent={fence} {why}"));
        }
    }

    /// Brings one runner's open orders forward and its book up to date.
    async fn drive(&self, under: &ClaimRef, server: &BackendServer) {
        let Some(report) = self.engines.report(server.address).await else {
            return self.note_silent(under, server).await;
        };
        self.silent_since.borrow_mut().remove(&server.name);
        let ledger = self
            .control
            .with(|control| control.ledger(&server.name).clone());
        let is_behind = ledger.boot != report.boot || ledger.down;
        if is_behind || (server.checks_fencing && ledger.has_reserved()) {
            return self.reset(under, server, &ledger, report).await;
        }
        self.note_lost(under, server, &ledger, &report).await;
        self.adopt(under, server, &report).await;
        let mut copies: Vec<_> = ledger.copies.iter().collect();
        // A fencing engine refuses an order that comes after a later one.
        copies.sort_by_key(|(_, copy)| copy.intent);
        for (artifact, copy) in copies {
            let open = OpenOrder {
                under,
                server,
                artifact,
                copy,
            };
            match copy.state {
                CopyState::Loading => self.drive_load(&open, &report).await,
                CopyState::Unloading => self.drive_unload(&open, &report).await,
                CopyState::Resident | CopyState::Reserved => {}
            }
        }
    }

    /// Gives up a runner that has been silent for too long, so that its loads hold no slot.
    async fn note_silent(&self, under: &ClaimRef, server: &BackendServer) {
        let since = *self
            .silent_since
            .borrow_mut()
            .entry(server.name.clone())
            .or_insert_with(Instant::now);
        let ledger = self
            .control
            .with(|control| control.ledger(&server.name).clone());
        if since.elapsed() < DOWN_AFTER || ledger.down || ledger.boot == 0 {
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

    /// Begins a book anew with what the engine holds; old orders are outdated first.
    async fn reset(
        &self,
        under: &ClaimRef,
        server: &BackendServer,
        ledger: &MemoryLedger,
        report: Report,
    ) {
        let boot = report.boot;
        let report = if server.checks_fencing {
            self.fence(under, server).await
        } else {
            Some(report)
        };
        // An engine that started in between may not know the fence.
        let Some(report) = report.filter(|report| report.boot == boot) else {
            return;
        };
        let command = Command::Reset {
            under: under.clone(),
            runner: server.name.clone(),
            boot,
            fenced: server.checks_fencing,
            held: self.held(&report),
        };
        if self.propose(command).await.is_some() {
            emit(
                Event::RunnerReset,
                format_args!("runner={} boot={boot} before={}", server.name, ledger.boot),
            );
        }
    }

    /// Outdates every order to a fencing engine so far; its report from after that.
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

    fn held(&self, report: &Report) -> Vec<HeldCopy> {
        self.control.with(|control| {
            let held = report.artifacts.iter();
            held.map(|held| self.as_held(held, &control.inventory))
                .collect()
        })
    }

    fn as_held(&self, reported: &ReportedArtifact, inventory: &Inventory) -> HeldCopy {
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

    /// Notes what the engine does not hold any more, such as after a late order to unload.
    async fn note_lost(
        &self,
        under: &ClaimRef,
        server: &BackendServer,
        ledger: &MemoryLedger,
        report: &Report,
    ) {
        for (artifact, copy) in &ledger.copies {
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

    /// Enters into the book what the engine holds though nothing of ours is open for it.
    async fn adopt(&self, under: &ClaimRef, server: &BackendServer, report: &Report) {
        let ledger = self
            .control
            .with(|control| control.ledger(&server.name).clone());
        for (held, reported) in self.held(report).into_iter().zip(&report.artifacts) {
            let known = ledger.copies.iter().any(|(artifact, copy)| {
                copy.state != CopyState::Reserved && artifact.to_string() == reported.name
            });
            if known {
                continue;
            }
            let command = Command::Adopt {
                under: under.clone(),
                runner: server.name.clone(),
                held,
                boot: report.boot,
            };
            // A refusal means that the book has moved on meanwhile.
            let _ = self.propose(command).await;
        }
    }

    async fn drive_load(&self, open: &OpenOrder<'_>, report: &Report) {
        match report.find(&open.artifact.to_string()) {
            Some(held) if held.state == ReportedState::Ready => {
                self.settle(open, Outcome::Done, false).await;
            }
            Some(_) => {}
            None => self.send(open, "load").await,
        }
    }

    async fn drive_unload(&self, open: &OpenOrder<'_>, report: &Report) {
        match report.find(&open.artifact.to_string()) {
            None => self.settle(open, Outcome::Done, false).await,
            Some(held) if held.state == ReportedState::Unloading => {}
            Some(_) => self.send(open, "unload").await,
        }
    }

    /// Gives an order, unless it was given a moment ago.
    async fn send(&self, open: &OpenOrder<'_>, kind: &str) {
        let key = open.key();
        let recent = self
            .attempts
            .borrow()
            .get(&key)
            .and_then(|attempts| attempts.sent_at)
            .is_some_and(|at| at.elapsed() < RESEND_AFTER);
        if recent || !self.still_holds(open.under) {
            return;
        }
        self.attempts
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
                let mut attempts = self.attempts.borrow_mut();
                attempts.entry(key).or_default().unanswered = true;
            }
            OrderAnswer::Fenced => self.check_fenced(open, &name).await,
            OrderAnswer::Refused => self.settle(open, Outcome::Failed, false).await,
        }
    }

    /// Ends an outdated order, unless an earlier sending of it had arrived.
    async fn check_fenced(&self, open: &OpenOrder<'_>, name: &str) {
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

    fn still_holds(&self, under: &ClaimRef) -> bool {
        self.control.with(|control| {
            control
                .claims
                .get(&under.group)
                .is_some_and(|claim| claim.fence == under.claim)
        })
    }

    /// Whether no sending of the order can arrive, or have an effect, any more.
    fn is_clean(&self, open: &OpenOrder<'_>, outcome: Outcome, fenced: bool) -> bool {
        if open.server.checks_fencing {
            return fenced || outcome == Outcome::Done;
        }
        let all_answered = self
            .attempts
            .borrow()
            .get(&open.key())
            .is_none_or(|attempts| !attempts.unanswered);
        // An order given under another claim was sent by somebody else as well.
        open.copy.claim == open.under.claim && all_answered
    }

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
            self.attempts.borrow_mut().remove(&open.key());
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

/// The hour of the day, UTC.
fn hour_utc() -> u8 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |since| (since.as_secs() / 3_600 % 24) as u8)
}
