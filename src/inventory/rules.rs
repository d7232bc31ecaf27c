//! Rules for priorities, routing, admission and placement.

use super::{Priority, Problem};
use serde::{Deserialize, Serialize};

/// Rules that operators set in addition to the contents of the asset register.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rules {
    /// The priority of requests without an API key; `None` refuses them.
    pub anonymous_priority: Option<Priority>,
    /// Whether copies of a model are preferably placed in different availability zones.
    pub spread_zones: bool,
    /// The costs that decide whether a move is worthwhile.
    pub moves: MovePolicy,
    /// How a runner is chosen for a request.
    pub routing: RoutingRule,
    /// How the copies of models follow the demand.
    pub placement: PlacementRule,
    /// The fraction of a runner's slots that may be in use once a batch request is added; 1 for
    /// no limit. The rest stays free for urgent requests.
    pub batch_fill: f64,
    /// Whether running batch requests release their slots to waiting urgent requests and continue
    /// later.
    pub batch_yields: bool,
    /// Whether requests that cannot meet their deadlines are refused at once.
    pub admission: AdmissionRule,
}

/// Whether requests that cannot meet their deadlines are refused at once.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AdmissionRule {
    /// Every request is admitted, and refused only when its deadline has passed.
    Unlimited,
    /// A request that is not expected to meet its deadlines is refused on arrival.
    #[default]
    Deadline,
}

/// How a runner is chosen among those that have the model and adapter of a request loaded.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RoutingRule {
    /// The runner with the fewest requests in flight per slot, counting this VM's requests and
    /// those that peers report in heartbeats.
    #[default]
    LeastInFlight,
    /// The runner with the fewest running and waiting requests per slot by its own report.
    LeastReported,
    /// Every runner in rotation.
    RoundRobin,
}

/// How the copies of models follow the demand.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PlacementRule {
    /// Places the required copies, then spare ones; demand has no influence.
    Static,
    /// Adds a copy where its benefit over the payback time exceeds the cost of the moves.
    #[default]
    Demand,
    /// Adds a copy as soon as a model's requests exceed the slots of its copies. If it does not
    /// fit, the model with the lowest weighted demand is evicted from that runner.
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
    /// Appends a problem for each value that is out of range.
    pub(crate) fn check(&self, problems: &mut Vec<Problem>) {
        self.moves.check(problems);
        if !(self.batch_fill > 0.0 && self.batch_fill <= 1.0) {
            let message = "must be a number above 0 and at most 1";
            problems.push(Problem::new("rules.batch_fill", message));
        }
    }
}

/// The cost of a move, which is the load or unload of a model on one runner, and the benefit that
/// is required of it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct MovePolicy {
    /// The cost of a move: the number of requests it must improve within `payback_ms`.
    pub cost_requests: f64,
    /// The time in which the benefit of a move must reach its cost, in milliseconds.
    pub payback_ms: u64,
    /// Hours of the day (UTC, 0 to 23) in which moves cost `busy_factor` times as much.
    pub busy_hours: Vec<u8>,
    /// The factor on the cost of moves in busy hours.
    pub busy_factor: f64,
    /// The factor by which urgent demand may rise suddenly; enough copies for that are loaded in
    /// advance.
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
