//! Rules on priority and placement.

use super::{Priority, Problem};
use serde::{Deserialize, Serialize};

/// Rules on top of the asset register.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rules {
    /// The priority of requests without an API key; `None` refuses them.
    pub anonymous_priority: Option<Priority>,
    /// Whether copies of a model are put into different availability zones first.
    pub spread_zones: bool,
    /// When a move is worth its cost.
    pub moves: MovePolicy,
    /// How a runner is chosen.
    pub routing: RoutingRule,
    /// How copies follow the demand.
    pub placement: PlacementRule,
    /// The part of a runner's slots up to which batch requests may fill it; 1 for no limit.
    pub batch_fill: f64,
    /// Whether batch requests that run give up their slots, and go on later, while urgent ones
    /// wait.
    pub batch_yields: bool,
    /// Whether requests are refused that cannot meet their deadlines.
    pub admission: AdmissionRule,
}

/// Whether requests are refused that cannot meet their deadlines.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AdmissionRule {
    /// Every request is taken; it is refused once its deadline has passed.
    Unlimited,
    /// A request that is not expected to meet its deadlines is refused at once.
    #[default]
    Deadline,
}

/// How a runner is chosen among those that hold what a request needs.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RoutingRule {
    /// The fewest requests in flight per slot, own and as peers tell in heartbeats.
    #[default]
    LeastInFlight,
    /// The fewest requests running and waiting per slot, as the runner's report says.
    LeastReported,
    /// Each in turn.
    RoundRobin,
}

/// How copies follow the demand.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PlacementRule {
    /// First copies, then spare ones; demand changes nothing.
    Static,
    /// One more copy where what it gains over the pay-back time beats the moves' cost.
    #[default]
    Demand,
    /// A copy as soon as requests exceed the slots of those there are, in the place of the
    /// least recently used.
    OnDemand,
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            anonymous_priority: Some(Priority::Normal),
            spread_zones: true,
            moves: MovePolicy::default(),
            routing: RoutingRule::default(),
            placement: PlacementRule::default(),
            batch_fill: 0.9,
            batch_yields: true,
            admission: AdmissionRule::default(),
        }
    }
}

impl Rules {
    pub(crate) fn check(&self, problems: &mut Vec<Problem>) {
        self.moves.check(problems);
        if !(self.batch_fill > 0.0 && self.batch_fill <= 1.0) {
            let message = "must be a number above 0, at most 1";
            problems.push(Problem::new("rules.batch_fill", message));
        }
    }
}

/// What a move costs against what it gains.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct MovePolicy {
    /// Requests that a move must serve better, over the time to pay back, to be worth it.
    pub cost_requests: f64,
    /// The time over which a move must pay back.
    pub payback_ms: u64,
    /// Hours of the day, UTC, in which moves cost `busy_factor` times as much.
    pub busy_hours: Vec<u8>,
    /// The factor for moves in busy hours.
    pub busy_factor: f64,
    /// The factor by which urgent demand may rise at once; copies are made ahead for it.
    pub burst_factor: f64,
}

impl Default for MovePolicy {
    fn default() -> Self {
        Self {
            cost_requests: 20.0,
            payback_ms: 60_000,
            busy_hours: Vec::new(),
            busy_factor: 1.0,
            burst_factor: 2.0,
        }
    }
}

impl MovePolicy {
    fn check(&self, problems: &mut Vec<Problem>) {
        if !(self.cost_requests >= 0.0 && self.cost_requests.is_finite()) {
            let field = "rules.moves.cost_requests";
            problems.push(Problem::new(field, "must be a number of at least 0"));
        }
        if !(self.busy_factor >= 1.0 && self.busy_factor.is_finite()) {
            let field = "rules.moves.busy_factor";
            problems.push(Problem::new(field, "must be a number of at least 1"));
        }
        if !(self.burst_factor >= 1.0 && self.burst_factor.is_finite()) {
            let field = "rules.moves.burst_factor";
            problems.push(Problem::new(field, "must be a number of at least 1"));
        }
        if self.payback_ms == 0 {
            problems.push(Problem::new("rules.moves.payback_ms", "must be at least 1"));
        }
        if let Some(hour) = self.busy_hours.iter().find(|hour| **hour > 23) {
            let message = format!("{hour} is not an hour from 0 to 23");
            problems.push(Problem::new("rules.moves.busy_hours", message));
        }
    }
}
