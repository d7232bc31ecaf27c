//! The planner of a group: claims it in the log, decides moves, gives orders.
//!
//! An order is sent only once its intent was read back as accepted under the
//! present claim. Time decides when a takeover is tried, the log whether it
//! holds; so two planners never act on memory that is set aside only once.

use crate::control::{Artifact, Claim, Command, CopyState, Outcome, Under, Verdict};
use crate::demand::Demand;
use crate::engine::{EngineClient, Order, OrderAnswer, Report, ReportedState};
use crate::events::{Event, emit};
use crate::fleet::Fleet;
use crate::inventory::{BackendServer, Name};
use crate::kernel::Service;
use crate::membership::Membership;
use crate::metrics::{Metrics, OrderLabels};
use crate::placement::{Move, Planning};
use crate::server::ControlStream;
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

/// The hour of the day, UTC.
fn hour_utc() -> u8 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |since| (since.as_secs() / 3_600 % 24) as u8)
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
    attempts: RefCell<HashMap<u64, Attempts>>,
}

impl Service for Planner {
    const NAME: &'static str = "planner";
}

impl Planner {
    /// A planner over the services it reads; `writer` names this run in the log.
    pub(crate) fn new(kernel: &crate::kernel::Kernel, vm: Name, writer: Name) -> Self {
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
            attempts: RefCell::default(),
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
            _ => self.membership.is_first_for(group),
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
        let under = Under {
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
            Planning::new(control, group, |name| {
                let known = control.books.get(name).is_some_and(|book| book.boot != 0);
                known
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

    async fn record(&self, under: &Under, decided: Move) {
        let under = under.clone();
        match decided {
            Move::Load {
                runner,
                artifact,
                mib,
                room_mib,
                reason,
                others,
            } => {
                let line = format!("artifact={artifact} runner={runner}");
                let command = Command::Load {
                    under,
                    runner,
                    artifact,
                    mib,
                    room_mib,
                };
                if let Some(fence) = self.propose(command).await {
                    self.metrics
                        .orders
                        .get_or_create(&OrderLabels { order: "load" })
                        .inc();
                    emit(
                        Event::LoadPlaced,
                        format_args!("{line} intent={fence} reason={reason} others={others}"),
                    );
                }
            }
            Move::Unload {
                runner,
                artifact,
                reason,
            } => {
                let line = format!("artifact={artifact} runner={runner}");
                let command = Command::Unload {
                    under,
                    runner,
                    artifact,
                };
                if let Some(fence) = self.propose(command).await {
                    self.metrics
                        .orders
                        .get_or_create(&OrderLabels { order: "unload" })
                        .inc();
                    emit(
                        Event::UnloadPlaced,
                        format_args!("{line} intent={fence} reason={reason}"),
                    );
                }
            }
        }
    }

    /// Brings one runner's open orders forward and its book up to date.
    async fn drive(&self, under: &Under, server: &BackendServer) {
        let Some(report) = self.engines.report(server.address).await else {
            return;
        };
        let book = self.control.with(|control| control.book(&server.name));
        if book.boot != report.boot {
            self.reset(under, server, book.boot, report.boot).await;
            return;
        }
        self.adopt(under, server, &report).await;
        let mut copies: Vec<_> = book.copies.iter().collect();
        // A fencing engine refuses an order that comes after a later one.
        copies.sort_by_key(|(_, copy)| copy.intent);
        for (artifact, copy) in copies {
            match copy.state {
                CopyState::Loading => {
                    self.drive_load(under, server, &report, artifact, copy.mib, copy.intent)
                        .await;
                }
                CopyState::Unloading => {
                    self.drive_unload(under, server, &report, artifact, copy.intent)
                        .await;
                }
                CopyState::Resident | CopyState::Reserved => {}
            }
        }
    }

    /// Follows an engine that started anew; old orders are outdated first.
    async fn reset(&self, under: &Under, server: &BackendServer, known: u64, boot: u64) {
        if server.checks_fencing && known != 0 {
            let command = Command::Fence {
                under: under.clone(),
                runner: server.name.clone(),
            };
            let Some(fence) = self.propose(command).await else {
                return;
            };
            let order = Order {
                order: "fence",
                artifact: "",
                mib: 0,
                fence,
            };
            if self.engines.order(server.address, &order).await != OrderAnswer::Accepted {
                return;
            }
        }
        let command = Command::Reset {
            under: under.clone(),
            runner: server.name.clone(),
            boot,
        };
        if self.propose(command).await.is_some() {
            emit(
                Event::RunnerReset,
                format_args!("runner={} boot={boot} before={known}", server.name),
            );
        }
    }

    /// Enters into the book what the engine holds though nothing of ours is open for it.
    async fn adopt(&self, under: &Under, server: &BackendServer, report: &Report) {
        for held in &report.artifacts {
            let unknown = self.control.with(|control| {
                let artifact = Artifact::parse(&held.name, &control.inventory)?;
                let known = control
                    .book(&server.name)
                    .copies
                    .get(&artifact)
                    .is_some_and(|copy| copy.state != CopyState::Reserved);
                (!known).then_some(artifact)
            });
            if let Some(artifact) = unknown {
                let command = Command::Adopt {
                    under: under.clone(),
                    runner: server.name.clone(),
                    artifact,
                    mib: held.mib,
                    boot: report.boot,
                };
                // A refusal means that the book has moved on meanwhile.
                let _ = self.propose(command).await;
            }
        }
    }

    async fn drive_load(
        &self,
        under: &Under,
        server: &BackendServer,
        report: &Report,
        artifact: &Artifact,
        mib: u64,
        intent: u64,
    ) {
        let name = artifact.to_string();
        match report.artifacts.iter().find(|held| held.name == name) {
            Some(held) if held.state == ReportedState::Ready => {
                self.settle(under, server, artifact, intent, Outcome::Done)
                    .await;
            }
            Some(_) => {}
            None => {
                let order = Order {
                    order: "load",
                    artifact: &name,
                    mib,
                    fence: intent,
                };
                self.send(under, server, artifact, &order).await;
            }
        }
    }

    async fn drive_unload(
        &self,
        under: &Under,
        server: &BackendServer,
        report: &Report,
        artifact: &Artifact,
        intent: u64,
    ) {
        let name = artifact.to_string();
        match report.artifacts.iter().find(|held| held.name == name) {
            None => {
                self.settle(under, server, artifact, intent, Outcome::Done)
                    .await
            }
            Some(held) if held.state == ReportedState::Unloading => {}
            Some(_) => {
                let order = Order {
                    order: "unload",
                    artifact: &name,
                    mib: 0,
                    fence: intent,
                };
                self.send(under, server, artifact, &order).await;
            }
        }
    }

    /// Gives an order, unless it was given a moment ago.
    async fn send(
        &self,
        under: &Under,
        server: &BackendServer,
        artifact: &Artifact,
        order: &Order<'_>,
    ) {
        let recent = self
            .attempts
            .borrow()
            .get(&order.fence)
            .and_then(|attempts| attempts.sent_at)
            .is_some_and(|at| at.elapsed() < RESEND_AFTER);
        if recent || !self.still_holds(under) {
            return;
        }
        self.attempts
            .borrow_mut()
            .entry(order.fence)
            .or_default()
            .sent_at = Some(Instant::now());
        match self.engines.order(server.address, order).await {
            OrderAnswer::Accepted | OrderAnswer::NotSent => {}
            OrderAnswer::Unanswered => {
                self.attempts
                    .borrow_mut()
                    .entry(order.fence)
                    .or_default()
                    .unanswered = true;
            }
            OrderAnswer::Fenced => self.check_fenced(under, server, artifact, order).await,
            OrderAnswer::Refused => {
                self.settle(under, server, artifact, order.fence, Outcome::Failed)
                    .await;
            }
        }
    }

    /// Ends an outdated order, unless an earlier sending of it had arrived.
    async fn check_fenced(
        &self,
        under: &Under,
        server: &BackendServer,
        artifact: &Artifact,
        order: &Order<'_>,
    ) {
        let Some(report) = self.engines.report(server.address).await else {
            return;
        };
        let held = report
            .artifacts
            .iter()
            .find(|held| held.name == order.artifact);
        let failed = match order.order {
            "load" => held.is_none(),
            _ => held.is_some_and(|held| held.state == ReportedState::Ready),
        };
        if failed {
            self.settle(under, server, artifact, order.fence, Outcome::Failed)
                .await;
        }
    }

    fn still_holds(&self, under: &Under) -> bool {
        self.control.with(|control| {
            control
                .claims
                .get(&under.group)
                .is_some_and(|claim| claim.fence == under.claim)
        })
    }

    /// Whether no copy of the order can arrive any more.
    fn is_clean(&self, under: &Under, server: &BackendServer, intent: u64) -> bool {
        if server.checks_fencing {
            return true;
        }
        let all_answered = self
            .attempts
            .borrow()
            .get(&intent)
            .is_none_or(|attempts| !attempts.unanswered);
        // An intent older than the claim was sent by somebody else as well.
        intent > under.claim && all_answered
    }

    async fn settle(
        &self,
        under: &Under,
        server: &BackendServer,
        artifact: &Artifact,
        intent: u64,
        outcome: Outcome,
    ) {
        let clean = self.is_clean(under, server, intent);
        let command = Command::Settle {
            under: under.clone(),
            runner: server.name.clone(),
            intent,
            outcome,
            clean,
        };
        if self.propose(command).await.is_some() {
            self.attempts.borrow_mut().remove(&intent);
            emit(
                Event::OrderSettled,
                format_args!(
                    "intent={intent} runner={} artifact={artifact} outcome={outcome:?} clean={clean}",
                    server.name
                ),
            );
        }
    }
}
