//! Chooses a runner for each request.

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
    /// The adapter on top of the model, if the request names one.
    pub(crate) adapter: Option<Artifact>,
}

impl Target {
    /// Resolves the model name of a request to the versions in force; `None` if it is not listed.
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

    /// Whether all artifacts of the target are resident or loading, by a runner's memory ledger.
    pub(crate) fn is_resident_or_loading_in(&self, memory_ledger: &MemoryLedger) -> bool {
        std::iter::once(&self.base)
            .chain(&self.adapter)
            .all(|artifact| memory_ledger.is_resident_or_loading(artifact))
    }

    /// Returns the names of the artifacts, as engines use them.
    pub(crate) fn artifacts(&self) -> Vec<String> {
        let artifacts = std::iter::once(&self.base).chain(&self.adapter);
        artifacts.map(ToString::to_string).collect()
    }

    /// Returns the same target in the other versions that the memory ledgers list.
    fn other_versions(&self, control: &Control) -> Vec<Self> {
        let mut found = Vec::new();
        for memory_ledger in control.ledgers.values() {
            let bases = memory_ledger
                .copies
                .keys()
                .filter(|held| held.has_same_name(&self.base));
            for base in bases {
                let target = match &self.adapter {
                    None => Some(Self {
                        base: base.clone(),
                        adapter: None,
                    }),
                    Some(adapter) => memory_ledger
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
    /// The versions that the request uses there.
    pub(crate) target: Target,
    /// The score by which the runner was chosen, lowest first: requests per slot, by the routing
    /// rule in force, plus random noise.
    pub(crate) score: f64,
    /// The other candidates with their scores, for the log.
    pub(crate) others: String,
    /// When the runner was chosen.
    pub(crate) chosen_at: Instant,
}

/// Chooses runners by the routing rule in force; the default rule uses the requests in flight of
/// this VM and those that its peers report.
pub(crate) struct Router {
    pub(crate) control: Rc<ControlStream>,
    pub(crate) fleet: Rc<Fleet>,
    pub(crate) membership: Rc<Membership>,
    demand: Rc<Demand>,
    pub(crate) batch_queue: Rc<BatchQueue>,
    round_robin_counter: Cell<usize>,
}

impl Service for Router {
    const NAME: &'static str = "router";
}

impl Router {
    /// Creates a router over the services that it reads.
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
            round_robin_counter: Cell::new(0),
        }
    }

    /// Counts an arriving request towards the demand, whether or not it is admitted.
    pub(crate) fn note_arrival(&self, request: &CompletionRequest) {
        self.demand.note_arrival(
            &request.target.base.model,
            request.priority,
            request.max_tokens(),
        );
    }

    /// Updates the estimated service time from a complete answer.
    pub(crate) fn note_answer(&self, tokens: u32, streaming: Duration) {
        self.demand.note_answer(tokens, streaming);
    }

    /// Waits until this VM's view of the fleet is newer than its last pause; returns false if that
    /// cannot be achieved.
    pub(crate) async fn wait_until_current(&self) -> bool {
        self.membership.wait_until_current(&self.control).await
    }

    /// Whether a request may still be sent to the chosen runner: this VM has not paused since the
    /// choice, and the runner is not leaving.
    pub(crate) fn may_send(&self, choice: &Choice) -> bool {
        let runner = &choice.runner.name;
        self.membership
            .may_send(&self.control, runner, choice.chosen_at)
    }

    /// Chooses a runner for a request by the routing rule, by default the least loaded one.
    ///
    /// With `exact_version`, only the versions that the request targets are accepted; otherwise
    /// other versions are the fallback. Runners in `excluded` are chosen only when there is no
    /// other. With `keep_urgent_slots`, runners are skipped whose remaining slots are kept for
    /// urgent requests.
    pub(crate) fn choose(
        &self,
        request: &CompletionRequest,
        exact_version: bool,
        keep_urgent_slots: bool,
        excluded: &[Name],
    ) -> Option<Choice> {
        let wanted = &request.target;
        self.choose_for(wanted, keep_urgent_slots, excluded)
            .or_else(|| {
                if exact_version {
                    return None;
                }
                let other_versions = self.control.with(|control| wanted.other_versions(control));
                other_versions
                    .iter()
                    .find_map(|target| self.choose_for(target, keep_urgent_slots, excluded))
            })
    }

    /// Whether a runner is expected to be able to serve `wanted` soon.
    ///
    /// This holds while a runner that answers has all artifacts resident or loading, by its memory
    /// ledger. Otherwise a planner has to load them, which needs the model to be in force (with
    /// `exact_version`, in the target's version), a writable log and a runner that answers and is
    /// not leaving.
    pub(crate) fn is_expected(&self, wanted: &Target, exact_version: bool) -> bool {
        let answers = |name: &str| self.fleet.runner(name).is_some_and(|it| it.is_answering());
        self.control.with(|control| {
            let in_ledger = control
                .ledgers
                .iter()
                .any(|(name, memory)| wanted.is_resident_or_loading_in(memory) && answers(name));
            let in_force = control
                .inventory
                .model(&wanted.base.model)
                .is_some_and(|model| !exact_version || model.version == wanted.base.version);
            let loadable = || {
                let mut runners = control.inventory.runners();
                runners.any(|server| !server.leaving && answers(&server.name))
            };
            in_ledger || in_force && self.control.is_writable() && loadable()
        })
    }

    fn routing(&self) -> RoutingRule {
        self.control.with(|control| control.inventory.rules.routing)
    }

    /// Returns how long a request is expected to occupy a slot.
    pub(crate) fn service_time(&self, request: &CompletionRequest) -> Duration {
        self.demand.service_time(request.max_tokens())
    }

    /// Whether any runner can serve the target, even if it has no slots left for batch requests.
    pub(crate) fn has_ready_runner(&self, wanted: &Target) -> bool {
        !self.scored_runners(wanted, false).is_empty()
    }

    /// Adds a batch request that found no slot to this VM's queue.
    pub(crate) fn queue(&self, request: &CompletionRequest) -> Ticket {
        self.batch_queue
            .enter(&request.target.base.model, request.deadline)
    }

    /// Chooses a runner for these very versions.
    fn choose_for(
        &self,
        target: &Target,
        keep_urgent_slots: bool,
        excluded: &[Name],
    ) -> Option<Choice> {
        let mut scored_runners = self.scored_runners(target, keep_urgent_slots);
        if scored_runners
            .iter()
            .any(|(_, runner)| !excluded.contains(&runner.name))
        {
            scored_runners.retain(|(_, runner)| !excluded.contains(&runner.name));
        }
        if self.routing() == RoutingRule::RoundRobin {
            self.round_robin_counter
                .set(self.round_robin_counter.get() + 1);
            let first = self.round_robin_counter.get() % scored_runners.len().max(1);
            scored_runners.rotate_left(first);
        } else {
            scored_runners.sort_by(|left, right| left.0.total_cmp(&right.0));
        }
        let mut others = String::new();
        for (score, runner) in scored_runners.iter().skip(1) {
            let _ = write!(others, "{}:{score:.2},", runner.name);
        }
        let (score, runner) = scored_runners.into_iter().next()?;
        Some(Choice {
            runner,
            target: target.clone(),
            score,
            others,
            chosen_at: Instant::now(),
        })
    }

    /// Returns the runners that can serve `target`, with their scores. With `keep_urgent_slots`,
    /// runners are skipped whose remaining slots are kept for urgent requests.
    pub(crate) fn scored_runners(
        &self,
        target: &Target,
        keep_urgent_slots: bool,
    ) -> Vec<(f64, Rc<Runner>)> {
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
                    if keep_urgent_slots
                        && !has_batch_slot(&control.inventory.rules, server.slots, in_flight)
                    {
                        return None;
                    }
                    let requests = match control.inventory.rules.routing {
                        RoutingRule::LeastInFlight => in_flight,
                        RoutingRule::LeastReported => runner
                            .report(|report| report.running + report.waiting)
                            .unwrap_or(0),
                        RoutingRule::RoundRobin => 0,
                    };
                    // Random noise keeps VMs from all choosing the same runner on equal loads.
                    let noise = rand::random::<f64>() * 0.01;
                    let load = f64::from(requests) / f64::from(server.slots.max(1));
                    Some((load + noise, runner))
                })
                .collect()
        })
    }
}

/// Whether one more batch request stays within `batch_fill`, the fraction of a runner's slots that
/// batch requests may fill.
fn has_batch_slot(rules: &Rules, slots: u32, in_flight: u32) -> bool {
    rules.batch_fill >= 1.0 || f64::from(in_flight + 1) <= rules.batch_fill * f64::from(slots)
}

/// Returns the wall-clock time in milliseconds since the Unix epoch. A wrong clock only makes an
/// isolation end early or late.
fn now_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}
