//! Choosing a runner for a request.

use crate::batch_queue::{BatchQueue, Ticket};
use crate::completion::CompletionRequest;
use crate::control::{Artifact, Control, MemoryLedger};
use crate::demand::Demand;
use crate::fleet::{Fleet, Runner};
use crate::inventory::{Name, RoutingRule, Rules};
use crate::membership::Membership;
use crate::server::ControlStream;
use crate::service_registry::Service;
use std::cell::Cell;
use std::fmt::Write;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The artifacts that a request needs on one runner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Target {
    /// The model.
    pub(crate) base: Artifact,
    /// The adapter over it, if the caller named one.
    pub(crate) adapter: Option<Artifact>,
}

impl Target {
    /// The target in force for a caller's model name.
    pub(crate) fn resolve(control: &Control, name: &str) -> Option<Self> {
        let artifact = Artifact::resolve(&control.inventory, name)?;
        if artifact.adapter.is_none() {
            return Some(Self {
                base: artifact,
                adapter: None,
            });
        }
        let base = Artifact::resolve(&control.inventory, &artifact.model)?;
        Some(Self {
            base,
            adapter: Some(artifact),
        })
    }

    fn is_ready_on(&self, runner: &Runner) -> bool {
        self.artifacts().iter().all(|name| runner.is_ready(name))
    }

    /// Whether a runner holds all that the target needs, or was ordered to load it.
    pub(crate) fn is_resident_or_loading_in(&self, ledger: &MemoryLedger) -> bool {
        std::iter::once(&self.base)
            .chain(&self.adapter)
            .all(|artifact| ledger.is_coming(artifact))
    }

    /// The artifacts by the names that engines use.
    pub(crate) fn artifacts(&self) -> Vec<String> {
        let artifacts = std::iter::once(&self.base).chain(&self.adapter);
        artifacts.map(ToString::to_string).collect()
    }

    /// The same target in other versions that some runner may still hold.
    fn older(&self, control: &Control) -> Vec<Self> {
        let mut found = Vec::new();
        for ledger in control.ledgers.values() {
            let bases = ledger
                .copies
                .keys()
                .filter(|held| held.has_same_name(&self.base));
            for base in bases {
                let target = match &self.adapter {
                    None => Some(Self {
                        base: base.clone(),
                        adapter: None,
                    }),
                    Some(adapter) => ledger
                        .copies
                        .keys()
                        .find(|held| held.has_same_name(adapter))
                        .map(|held| Self {
                            base: base.clone(),
                            adapter: Some(held.clone()),
                        }),
                };
                found.extend(target.filter(|target| target != self));
            }
        }
        found.dedup();
        found
    }
}

/// A runner chosen for a request.
#[derive(Debug)]
pub(crate) struct Choice {
    /// The runner.
    pub(crate) runner: Rc<Runner>,
    /// What the request runs on there.
    pub(crate) target: Target,
    /// The load by which it was chosen: requests in flight per slot.
    pub(crate) score: f64,
    /// The other candidates with their scores, for the log.
    pub(crate) others: String,
    /// When it was chosen.
    pub(crate) made_at: Instant,
}

/// Chooses runners by the requests in flight that this VM and its peers know of.
pub(crate) struct Router {
    pub(crate) control: Rc<ControlStream>,
    pub(crate) fleet: Rc<Fleet>,
    pub(crate) membership: Rc<Membership>,
    demand: Rc<Demand>,
    pub(crate) batch_queue: Rc<BatchQueue>,
    turn: Cell<usize>,
}

impl Service for Router {
    const NAME: &'static str = "router";
}

impl Router {
    /// A router over the services it reads.
    pub(crate) fn new(
        control: Rc<ControlStream>,
        fleet: Rc<Fleet>,
        membership: Rc<Membership>,
        demand: Rc<Demand>,
    ) -> Self {
        Self {
            control,
            fleet,
            membership,
            demand,
            batch_queue: Rc::default(),
            turn: Cell::new(0),
        }
    }

    /// Counts a request that came, whatever becomes of it.
    pub(crate) fn note_arrival(&self, ask: &CompletionRequest) {
        self.demand
            .note_arrival(&ask.target.base.model, ask.priority, ask.max_tokens());
    }

    /// Learns from an answer that was complete.
    pub(crate) fn note_answer(&self, tokens: u32, streaming: Duration) {
        self.demand.note_answer(tokens, streaming);
    }

    /// Waits until the choice can be made from a view newer than this VM's last pause.
    pub(crate) async fn refreshed(&self) -> bool {
        self.membership.refreshed(&self.control).await
    }

    /// Whether a request may still be sent where it was to go when the choice was made.
    pub(crate) fn may_send(&self, choice: &Choice) -> bool {
        let runner = &choice.runner.name;
        self.membership
            .may_send(&self.control, runner, choice.made_at)
    }

    /// Chooses the least loaded runner that can serve `wanted`.
    ///
    /// With `pinned`, only that very version will do. Runners in `avoid` are
    /// taken only when there is no other.
    /// With `yields`, runners are left out on which urgent requests should find a slot.
    pub(crate) fn choose(
        &self,
        ask: &CompletionRequest,
        pinned: bool,
        yields: bool,
        avoid: &[Name],
    ) -> Option<Choice> {
        let wanted = &ask.target;
        self.choose_for(wanted, yields, avoid).or_else(|| {
            if pinned {
                return None;
            }
            let older = self.control.with(|control| wanted.older(control));
            older
                .iter()
                .find_map(|target| self.choose_for(target, yields, avoid))
        })
    }

    /// Whether a runner can be expected to serve `wanted` before long.
    ///
    /// A copy in some runner's book counts, with its adapter, while the runner answers. Otherwise
    /// a planner has to load one: for the version in force, over a log that
    /// takes orders, onto a runner that answers.
    pub(crate) fn is_coming(&self, wanted: &Target, pinned: bool) -> bool {
        let answers = |name: &str| self.fleet.runner(name).is_some_and(|it| it.is_answering());
        self.control.with(|control| {
            let in_book = control
                .ledgers
                .iter()
                .any(|(name, ledger)| wanted.is_resident_or_loading_in(ledger) && answers(name));
            let in_force = control
                .inventory
                .model(&wanted.base.model)
                .is_some_and(|model| !pinned || model.version == wanted.base.version);
            let loadable = || {
                let mut runners = control.inventory.runners();
                runners.any(|server| !server.leaving && answers(&server.name))
            };
            in_book || in_force && self.control.is_writable() && loadable()
        })
    }

    fn routing(&self) -> RoutingRule {
        self.control.with(|control| control.inventory.rules.routing)
    }

    /// How long a runner is expected to be busy with a request.
    pub(crate) fn service_time(&self, ask: &CompletionRequest) -> Duration {
        self.demand.service_time(ask.max_tokens())
    }

    /// Whether any runner serves the model, though it may be full for batch requests.
    pub(crate) fn has_ready_runner(&self, wanted: &Target) -> bool {
        !self.scored(wanted, false).is_empty()
    }

    /// Enters a batch request that found no place into the queue of this VM.
    pub(crate) fn queue(&self, ask: &CompletionRequest) -> Ticket {
        self.batch_queue.enter(&ask.target.base.model, ask.deadline)
    }

    fn choose_for(&self, target: &Target, yields: bool, avoid: &[Name]) -> Option<Choice> {
        let mut scored = self.scored(target, yields);
        if scored
            .iter()
            .any(|(_, runner)| !avoid.contains(&runner.name))
        {
            scored.retain(|(_, runner)| !avoid.contains(&runner.name));
        }
        if self.routing() == RoutingRule::RoundRobin {
            self.turn.set(self.turn.get() + 1);
            let first = self.turn.get() % scored.len().max(1);
            scored.rotate_left(first);
        } else {
            scored.sort_by(|left, right| left.0.total_cmp(&right.0));
        }
        let mut others = String::new();
        for (score, runner) in scored.iter().skip(1) {
            let _ = write!(others, "{}:{score:.2},", runner.name);
        }
        let (score, runner) = scored.into_iter().next()?;
        Some(Choice {
            runner,
            target: target.clone(),
            score,
            others,
            made_at: Instant::now(),
        })
    }

    /// The runners that serve `target` with their loads; with `yields`, without those where
    /// urgent requests should find a slot.
    pub(crate) fn scored(&self, target: &Target, yields: bool) -> Vec<(f64, Rc<Runner>)> {
        let peer_loads = self.membership.peer_loads();
        let now_ms = now_ms();
        self.control.with(|control| {
            self.fleet
                .runners()
                .into_iter()
                .filter(|runner| runner.is_up() && target.is_ready_on(runner))
                .filter(|runner| !self.membership.is_server_leaving(&runner.name))
                .filter(|runner| !control.suspects.is_isolated(&runner.name, now_ms))
                .filter_map(|runner| {
                    let server = control.inventory.backend_server(&runner.name)?;
                    if server.leaving {
                        return None;
                    }
                    let peers = peer_loads.get(&runner.name).copied().unwrap_or_default();
                    let in_flight = runner.in_flight().all + peers.all;
                    if yields && !has_place(&control.inventory.rules, server.slots, in_flight) {
                        return None;
                    }
                    let requests = match control.inventory.rules.routing {
                        RoutingRule::LeastInFlight => in_flight,
                        RoutingRule::LeastReported => runner
                            .report(|report| report.running + report.waiting)
                            .unwrap_or(0),
                        RoutingRule::RoundRobin => 0,
                    };
                    // A little noise keeps VMs from choosing alike on equal loads.
                    let noise = rand::random::<f64>() * 0.01;
                    let load = f64::from(requests) / f64::from(server.slots.max(1));
                    Some((load + noise, runner))
                })
                .collect()
        })
    }
}

/// Whether one more batch request leaves the slots free that urgent ones are to find.
fn has_place(rules: &Rules, slots: u32, in_flight: u32) -> bool {
    rules.batch_fill >= 1.0 || f64::from(in_flight + 1) <= rules.batch_fill * f64::from(slots)
}

/// The wall clock; one that is off only lets an isolation end early or late.
fn now_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}
