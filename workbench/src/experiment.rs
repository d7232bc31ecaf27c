//! Experiments: real VMs and stand-in engines under an agency's load, by policy.

use crate::cluster::{Cluster, Plan};
use crate::journal::now_ms;
use crate::load_client::{Asker, End, Outcome, Question};
use crate::report::{Costs, PolicyReport, Sample};
use crate::sample_inventory::Shape;
use crate::traffic::{Arrival, Class, Traffic};
use compio::time::{sleep, timeout};
use futures_util::future::join_all;
use rattanjunction::{AdmissionRule, Inventory, MovePolicy, PlacementRule, Priority, RoutingRule};
use serde_json::{Value, json};
use std::cell::RefCell;
use std::time::{Duration, Instant};

/// How long a site may take to load what it needs.
const SETTLE_LIMIT: Duration = Duration::from_secs(60);
/// Loads a second of the weight store, in the measured part.
const LOADS_PER_S: f64 = 1.6;
/// Requests that a runner runs at once.
const SLOTS: u32 = 8;
/// The time of a step of a runner's batch, and what each request adds.
const STEP_MS: f64 = 30.0;
const STEP_PER_REQUEST_MS: f64 = 1.25;
/// Memory of a model's weights: three fit on a runner.
const MODEL_MIB: u64 = 19_000;
/// Our VMs.
const VMS: usize = 9;
/// The part of a run from which on moves are costly, where the scenario has such hours.
const BUSY_FROM: f64 = 0.3;

/// An agency's site and load.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The name.
    pub name: &'static str,
    shape: Shape,
    classes: Vec<Class>,
    moves: MovePolicy,
    has_busy_hours: bool,
}

impl Scenario {
    /// Vltava: clearance desks over overnight batches.
    pub fn vltava() -> Self {
        Self {
            name: "vltava",
            shape: Shape {
                model_mib: MODEL_MIB,
                ..Shape::vltava(60)
            },
            classes: vec![live("desk", 26.0, 2.5), batch(16.0)],
            moves: MovePolicy {
                cost_requests: 5.0,
                payback_ms: 20_000,
                ..MovePolicy::default()
            },
            has_busy_hours: false,
        }
    }

    /// KAOF: loading bays, with yard hours in which a move is costly.
    pub fn kaof() -> Self {
        Self {
            name: "kaof",
            shape: Shape {
                model_mib: MODEL_MIB,
                ..Shape::kaof(55)
            },
            classes: vec![live("desk", 30.0, 2.0), batch(10.0)],
            moves: MovePolicy {
                cost_requests: 5.0,
                payback_ms: 20_000,
                busy_factor: 4.0,
                ..MovePolicy::default()
            },
            has_busy_hours: true,
        }
    }

    /// Finds a scenario by its name.
    pub fn find(name: &str) -> Option<Self> {
        [Self::vltava(), Self::kaof()]
            .into_iter()
            .find(|scenario| scenario.name == name)
    }
}

fn live(caller: &'static str, rate_per_s: f64, burst_factor: f64) -> Class {
    Class {
        caller,
        rate_per_s,
        burst_factor,
        tokens: 20,
        first_token: Some(Duration::from_millis(1_000)),
        whole: Duration::from_millis(2_500),
    }
}

fn batch(rate_per_s: f64) -> Class {
    Class {
        caller: "office",
        rate_per_s,
        burst_factor: 1.0,
        tokens: 60,
        first_token: None,
        whole: Duration::from_secs(12),
    }
}

/// A way to decide, as rules of the inventory.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// The name.
    pub name: &'static str,
    routing: RoutingRule,
    placement: PlacementRule,
    batch_fill: f64,
    batch_yields: bool,
    admission: AdmissionRule,
}

impl Policy {
    /// A baseline: nothing is refused, held back or given up.
    const fn baseline(name: &'static str, routing: RoutingRule, placement: PlacementRule) -> Self {
        Self {
            name,
            routing,
            placement,
            batch_fill: 1.0,
            batch_yields: false,
            admission: AdmissionRule::Unlimited,
        }
    }
}

const STATIC: Policy =
    Policy::baseline("static", RoutingRule::LeastInFlight, PlacementRule::Static);

const SHIPPED: Policy = Policy {
    name: "shipped",
    placement: PlacementRule::Demand,
    batch_fill: 0.9,
    batch_yields: true,
    admission: AdmissionRule::Deadline,
    ..STATIC
};

/// The baselines, what is shipped, and what is shipped with one rule left out.
pub const POLICIES: [Policy; 8] = [
    Policy::baseline(
        "round_robin",
        RoutingRule::RoundRobin,
        PlacementRule::Static,
    ),
    Policy::baseline(
        "least_reported",
        RoutingRule::LeastReported,
        PlacementRule::Static,
    ),
    STATIC,
    Policy::baseline(
        "on_demand",
        RoutingRule::LeastInFlight,
        PlacementRule::OnDemand,
    ),
    SHIPPED,
    Policy {
        name: "no_demand",
        placement: PlacementRule::Static,
        ..SHIPPED
    },
    Policy {
        name: "no_yields",
        batch_yields: false,
        ..SHIPPED
    },
    Policy {
        name: "no_admission",
        admission: AdmissionRule::Unlimited,
        ..SHIPPED
    },
];

/// One run: a scenario under a policy.
#[derive(Clone, Debug)]
pub struct Experiment {
    /// The scenario.
    pub scenario: Scenario,
    /// The policy.
    pub policy: Policy,
    /// How long load is offered.
    pub length: Duration,
    /// The seed of the load.
    pub seed: u64,
    /// The factor of all rates.
    pub load: f64,
}

impl Experiment {
    /// Starts a site, offers the load and reports.
    pub async fn run(&self) -> PolicyReport {
        let cluster = self.start().await;
        let traffic = self.traffic(&cluster.inventory);
        let arrivals = traffic.draw(self.seed);
        let before = Costs::of(&cluster).await;
        let started_ms = now_ms();
        let driver = Driver {
            cluster: &cluster,
            asker: Asker::default(),
            classes: &traffic.classes,
            started: Instant::now(),
            samples: RefCell::default(),
        };
        let asking = join_all(arrivals.iter().enumerate().map(|(n, a)| driver.ask(n, a)));
        futures_util::join!(asking, self.enter_busy_hours(&cluster));
        let after = Costs::of(&cluster).await;
        let busy_from_ms = self
            .scenario
            .has_busy_hours
            .then(|| started_ms + (self.length.as_secs_f64() * BUSY_FROM * 1_000.0) as u64);
        let samples = driver.samples.take();
        PolicyReport::new(
            self,
            samples,
            &traffic.classes,
            after.since(&before),
            crate::report::Moves::read(&cluster, started_ms, busy_from_ms),
        )
    }

    /// Runners in the site.
    pub fn runners(&self) -> usize {
        self.scenario.shape.runners
    }

    async fn start(&self) -> Cluster {
        let mut plan = Plan::new(self.scenario.shape.clone(), VMS);
        plan.platform.loads_per_s = LOADS_PER_S;
        plan.step_ms = STEP_MS;
        plan.step_per_request_ms = STEP_PER_REQUEST_MS;
        plan.max_batch = SLOTS as usize;
        plan.holds = self.scenario.shape.spread_holds();
        let mut cluster = Cluster::start(plan).await;
        self.set_rules(&mut cluster.inventory);
        cluster.publish_and_settle(SETTLE_LIMIT).await;
        cluster
    }

    fn set_rules(&self, inventory: &mut Inventory) {
        for server in &mut inventory.backend_servers {
            server.slots = SLOTS;
        }
        for caller in &mut inventory.callers {
            let class = self.class_of(&caller.name);
            caller.deadline_ms = class.whole.as_millis() as u64;
            caller.first_token_ms = class.first_token.map(|time| time.as_millis() as u64);
            debug_assert_eq!(caller.priority == Priority::Urgent, caller.name == "desk");
        }
        inventory.rules.routing = self.policy.routing;
        inventory.rules.placement = self.policy.placement;
        inventory.rules.batch_fill = self.policy.batch_fill;
        inventory.rules.batch_yields = self.policy.batch_yields;
        inventory.rules.admission = self.policy.admission;
        inventory.rules.moves = self.scenario.moves.clone();
    }

    fn class_of(&self, caller: &str) -> &Class {
        let mut classes = self.scenario.classes.iter();
        classes
            .find(|class| class.caller == caller)
            .expect("every caller of a shape has a class")
    }

    fn traffic(&self, inventory: &Inventory) -> Traffic {
        let mut classes = self.scenario.classes.clone();
        for class in &mut classes {
            class.rate_per_s *= self.load;
        }
        let models = inventory.models.iter().map(|model| {
            let adapters = model.adapters.iter();
            let adapters = adapters.map(|adapter| adapter.name.to_string()).collect();
            (model.name.to_string(), adapters)
        });
        Traffic {
            classes,
            models: models.collect(),
            vms: VMS,
            length: self.length,
        }
    }

    /// Publishes that all hours are busy, once the run comes to them.
    async fn enter_busy_hours(&self, cluster: &Cluster) {
        if !self.scenario.has_busy_hours {
            return;
        }
        sleep(self.length.mul_f64(BUSY_FROM)).await;
        let mut inventory = cluster.inventory.clone();
        inventory.rules.moves.busy_hours = (0..24).collect();
        let published = cluster.publish(0, &inventory, None).await;
        published.expect("the busy hours are accepted");
    }
}

struct Driver<'a> {
    cluster: &'a Cluster,
    asker: Asker,
    classes: &'a [Class],
    started: Instant,
    samples: RefCell<Vec<Sample>>,
}

impl Driver<'_> {
    /// Sends one request when its time has come, again when a refusal says when, and gives up
    /// at its deadline.
    async fn ask(&self, number: usize, arrival: &Arrival) {
        sleep(arrival.at.saturating_sub(self.started.elapsed())).await;
        let class = &self.classes[arrival.class];
        let mut question = Question::new(&arrival.model, &format!("ask {number}"), class.tokens);
        question.api_key = Some(format!("key-{}", class.caller));
        let address = self.cluster.caller_address(arrival.vm);
        let begun = Instant::now();
        let mut sample = Sample::new(arrival.at, arrival.class);
        loop {
            let left = class.whole.saturating_sub(begun.elapsed());
            question.deadline_ms = Some(left.as_millis() as u64);
            let sent_after = begun.elapsed();
            let asked = timeout(left, self.asker.ask(address, &question)).await;
            let Ok(outcome) = asked else {
                sample.end = "late".to_owned();
                break;
            };
            let pause = sample.take(&outcome, sent_after);
            match pause {
                Some(pause) if begun.elapsed() + pause < class.whole => {
                    sample.resent += 1;
                    sleep(pause).await;
                }
                _ => break,
            }
        }
        sample.judge(class);
        self.samples.borrow_mut().push(sample);
    }
}

impl Sample {
    /// Takes over an outcome; how long to wait before sending again, if that is of use.
    fn take(&mut self, outcome: &Outcome, sent_after: Duration) -> Option<Duration> {
        self.total = sent_after + outcome.total;
        match &outcome.end {
            End::Complete(_) => {
                self.end = "complete".to_owned();
                self.first_token = outcome.first_token.map(|time| sent_after + time);
                self.gaps.clone_from(&outcome.gaps);
                None
            }
            End::Error(error) => {
                self.end.clone_from(&error.code);
                if error.ran == "no" {
                    self.refused_after.push(outcome.total);
                }
                error.retry_after_s.map(Duration::from_secs)
            }
            End::Cut(_) => {
                self.end = "cut".to_owned();
                None
            }
            End::Truncated(_) => {
                self.end = "truncated".to_owned();
                None
            }
            End::NoConnection => {
                self.end = "no_connection".to_owned();
                None
            }
        }
    }
}

/// Runs a scenario under each of the policies in turn.
pub async fn run_all(
    scenario: &Scenario,
    names: &[String],
    length: Duration,
    seed: u64,
    load: f64,
) -> Vec<PolicyReport> {
    let mut reports = Vec::new();
    let chosen = POLICIES.iter().filter(|policy| {
        names
            .iter()
            .any(|name| name == policy.name || name == "all")
    });
    for policy in chosen {
        let experiment = Experiment {
            scenario: scenario.clone(),
            policy: *policy,
            length,
            seed,
            load,
        };
        reports.push(experiment.run().await);
    }
    reports
}

/// The shared part of a JSON report.
pub fn header(scenario: &Scenario, length: Duration, seed: u64, load: f64) -> Value {
    json!({
        "scenario": scenario.name,
        "seed": seed,
        "load": load,
        "length_s": length.as_secs_f64(),
        "runners": scenario.shape.runners,
        "slots": SLOTS,
        "models": scenario.shape.models,
        "adapters": scenario.shape.adapters,
        "vms": VMS,
        "note": "one machine, shared with other work",
    })
}
