//! Plans which runner loads and unloads which models and adapters: models with [`SwapPlanner`],
//! then adapters.

use crate::gateway::demand_rate::DemandRate;
use crate::gateway::placement::swaps::SwapPlanner;
use crate::gateway::{Engine, Model, Weights};
use crate::inventory::Name;
use std::collections::{HashMap, HashSet};
use std::ops::RangeInclusive;

/// Demand per copy of an adapter above which another copy is placed, in milliseconds of runner
/// time per second.
const CROWDED_ADAPTER_MS_PER_S: f64 = 100.0;
/// Demand that each request waiting for an adapter adds, in milliseconds of runner time per
/// second.
const WAITING_REQUEST_MS_PER_S: f64 = 30.0;
/// Maximum number of adapters that one runner loads at a time.
const MAX_ADAPTER_LOADS: usize = 4;

/// Range within which the slowness of a runner is believed. Runners take 0.6 to 2.7 times the usual
/// time; figures far outside are measurement errors.
const SLOWNESS_RANGE: RangeInclusive<f64> = 0.25..=8.0;

/// State of a model runner that a plan is based on.
#[derive(Clone, Debug)]
pub(crate) struct RunnerView {
    /// ID of the runner.
    pub(crate) id: Name,
    /// Models that the runner holds, without one that is being unloaded.
    pub(crate) models: Vec<Name>,
    /// Model that is being loaded.
    pub(crate) loading: Option<Name>,
    /// Adapters that the runner holds or is loading.
    pub(crate) adapters: Vec<Weights>,
    /// Whether the runner is executing orders.
    pub(crate) is_executing: bool,
    /// Models whose weights the runner keeps in host memory.
    pub(crate) in_memory: Vec<Name>,
    /// Models whose weights the runner keeps on disk.
    pub(crate) on_disk: Vec<Name>,
    /// Number of requests in flight on the runner, by model.
    pub(crate) in_flight: HashMap<Name, u32>,
    /// Models that were loaded too recently to be unloaded.
    pub(crate) recently_loaded: Vec<Name>,
    /// Time that the runner takes relative to others for the same work; 1.0 is usual.
    pub(crate) slowness: f64,
}

impl Default for RunnerView {
    fn default() -> Self {
        Self {
            id: Name::default(),
            models: Vec::new(),
            loading: None,
            adapters: Vec::new(),
            is_executing: false,
            in_memory: Vec::new(),
            on_disk: Vec::new(),
            in_flight: HashMap::new(),
            recently_loaded: Vec::new(),
            slowness: 1.0,
        }
    }
}

impl RunnerView {
    /// Returns the slowness that plans count with: usual if the figure is not a number, and within
    /// the plausible range.
    pub(super) fn slowness(&self) -> f64 {
        if self.slowness.is_nan() {
            return 1.0;
        }
        self.slowness
            .clamp(*SLOWNESS_RANGE.start(), *SLOWNESS_RANGE.end())
    }

    /// Whether the runner can be sent an order.
    pub(super) fn is_free(&self) -> bool {
        !self.is_executing && self.loading.is_none()
    }

    /// Whether the runner can load a model without the weight store.
    pub(super) fn has_cached(&self, model: &Name) -> bool {
        self.in_memory.contains(model) || self.on_disk.contains(model)
    }
}

/// Unloads and loads for one runner, executed in this order.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct RunnerPlan {
    /// Weights to unload.
    pub(crate) unload: Vec<Weights>,
    /// Weights to load.
    pub(crate) load: Vec<Weights>,
    /// Whether a load fetches its weights from the weight store.
    pub(crate) is_cold: bool,
}

/// Plans the loads and unloads of all runners of a service from their state and the demand.
#[derive(Debug)]
pub(crate) struct PlacementPlanner<'a> {
    /// Models of the service and memory of a runner.
    pub(crate) engine: &'a Engine,
    /// Runners of the service.
    pub(crate) runners: &'a [RunnerView],
    /// Demand summed over all VMs.
    pub(crate) demand: &'a HashMap<Weights, DemandRate>,
    /// Models that were requested recently.
    pub(crate) recently_requested: &'a HashSet<Name>,
    /// Whether the reports of most runners were received. Otherwise the adapters that runners hold
    /// are not known, and only those that requests wait for are loaded.
    pub(crate) knows_runners: bool,
    /// Number of loads from the weight store that may start now.
    pub(crate) cold_loads: usize,
}

impl PlacementPlanner<'_> {
    /// Returns the plan of each runner that has something to load or unload.
    pub(crate) fn plan(&self) -> HashMap<Name, RunnerPlan> {
        let mut plans = HashMap::new();
        SwapPlanner::new(self).plan(&mut plans);
        self.plan_adapters(&mut plans);
        plans
    }

    /// Returns how many copies of a model are needed to hold all its adapters.
    pub(super) fn min_copies_for_adapters(&self, model: &Model) -> usize {
        let slots = self.engine.adapter_slots.max(1);
        model.adapters.div_ceil(slots) as usize
    }

    /// Returns the memory that is free for models on a runner, in MB.
    pub(super) fn free_mb(&self, runner: &RunnerView) -> f64 {
        let held = runner.models.iter().map(|held| self.size_mb(held));
        self.engine.weights_mb - self.adapter_reserve_mb() - held.sum::<f64>()
    }

    fn size_mb(&self, model: &str) -> f64 {
        let model = self.engine.model(model);
        // A model missing from the configuration has an unknown size, so it counts as filling the
        // runner.
        model.map_or(self.engine.weights_mb, |model| model.weights_mb)
    }

    /// Returns the memory reserved for adapters on a runner, in MB.
    fn adapter_reserve_mb(&self) -> f64 {
        let sizes = self.engine.models.iter().map(|model| model.adapter_mb);
        sizes.fold(0.0, f64::max) * f64::from(self.engine.adapter_slots)
    }

    fn plan_adapters(&self, plans: &mut HashMap<Name, RunnerPlan>) {
        let mut views: Vec<RunnerView> = self
            .runners
            .iter()
            .filter(|runner| !runner.is_executing && !plans.contains_key(&runner.id))
            .cloned()
            .collect();
        let mut copy_counts: HashMap<Weights, usize> = HashMap::new();
        for runner in self.runners {
            for adapter in &runner.adapters {
                *copy_counts.entry(adapter.clone()).or_default() += 1;
            }
        }
        for wanted in self.adapters_by_urgency(&copy_counts) {
            let rate = self.demand.get(&wanted).copied().unwrap_or_default();
            let copies = copy_counts.get(&wanted).copied().unwrap_or(0);
            let is_crowded = rate.busy_ms_per_s / (copies.max(1) as f64) > CROWDED_ADAPTER_MS_PER_S;
            if copies > 0 && !is_crowded {
                continue;
            }
            if !self.knows_runners && rate.waiting == 0 {
                continue;
            }
            let is_requested = rate.waiting > 0 || rate.busy_ms_per_s > 0.0;
            self.place_adapter(&wanted, copies == 0 && is_requested, &mut views, plans);
        }
    }

    /// Returns all adapters, those that no runner holds first, then by waiting requests and demand.
    fn adapters_by_urgency(&self, copy_counts: &HashMap<Weights, usize>) -> Vec<Weights> {
        let models = self.engine.models.iter();
        let mut wanted: Vec<Weights> = models.flat_map(Model::adapter_weights).collect();
        wanted.sort_by(|left, right| {
            let urgency = |weights: &Weights| {
                let rate = self.demand.get(weights).copied().unwrap_or_default();
                let is_missing = !copy_counts.contains_key(weights);
                (is_missing, rate.waiting, rate.busy_ms_per_s)
            };
            let (left, right) = (urgency(left), urgency(right));
            right
                .partial_cmp(&left)
                .unwrap_or(std::cmp::Ordering::Equal)
        });
        wanted
    }

    fn place_adapter(
        &self,
        wanted: &Weights,
        may_evict: bool,
        views: &mut [RunnerView],
        plans: &mut HashMap<Name, RunnerPlan>,
    ) {
        let slots = self.engine.adapter_slots as usize;
        let fitting = views.iter_mut().filter(|runner| {
            let planned_loads = plans
                .get(&runner.id)
                .map_or(0, |runner_plan| runner_plan.load.len());
            runner.models.contains(&wanted.model)
                && !runner.adapters.contains(wanted)
                && planned_loads < MAX_ADAPTER_LOADS
        });
        let fewest = fitting.min_by(|left, right| {
            let count = left.adapters.len().cmp(&right.adapters.len());
            count.then(left.slowness().total_cmp(&right.slowness()))
        });
        let Some(runner) = fewest else {
            return;
        };
        let mut unload = Vec::new();
        if runner.adapters.len() >= slots {
            // An adapter that this plan loads cannot be evicted: unloads are executed before loads.
            let planned = plans
                .get(&runner.id)
                .map_or(&[][..], |runner_plan| &runner_plan.load);
            let Some(evicted) = may_evict
                .then(|| self.least_demanded_adapter(runner, wanted, planned))
                .flatten()
            else {
                return;
            };
            runner.adapters.retain(|held| *held != evicted);
            unload.push(evicted);
        }
        runner.adapters.push(wanted.clone());
        let runner_plan = plans.entry(runner.id.clone()).or_default();
        runner_plan.unload.extend(unload);
        runner_plan.load.push(wanted.clone());
    }

    /// Returns the adapter on a runner with the least demand, if that is less than for `wanted`.
    fn least_demanded_adapter(
        &self,
        runner: &RunnerView,
        wanted: &Weights,
        planned: &[Weights],
    ) -> Option<Weights> {
        let rate = |weights: &Weights| {
            let rate = self.demand.get(weights).copied().unwrap_or_default();
            rate.busy_ms_per_s + f64::from(rate.waiting) * WAITING_REQUEST_MS_PER_S
        };
        let held = runner
            .adapters
            .iter()
            .filter(|held| !planned.contains(held));
        let least_demanded = held.min_by(|left, right| rate(left).total_cmp(&rate(right)))?;
        (rate(least_demanded) < rate(wanted)).then(|| least_demanded.clone())
    }
}

/// Returns the weights of the model itself, without an adapter.
pub(super) fn model_weights(model: Name) -> Weights {
    Weights {
        model,
        adapter: None,
    }
}
