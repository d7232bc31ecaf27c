//! Which runner should hold which model and adapter: models by [`SwapPlanner`], then adapters.

use crate::gateway::peers::WantedRate;
use crate::gateway::swaps::SwapPlanner;
use crate::gateway::{Engine, Model, Weights};
use crate::inventory::Name;
use std::collections::{HashMap, HashSet};

/// The demand for an adapter copy from which a second one is placed, in milliseconds of a
/// runner's time a second.
const CROWDED_ADAPTER_MS_PER_S: f64 = 100.0;
/// What a request that waits for an adapter counts beside the demand, in milliseconds of a
/// runner's time a second.
const WAITING_REQUEST_MS_PER_S: f64 = 30.0;
/// Adapters that may be on their way to one runner.
const MAX_ADAPTER_LOADS: usize = 4;

/// A model runner as the planner sees it.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunnerView {
    /// The runner.
    pub(crate) id: Name,
    /// The models that it holds and that are to stay.
    pub(crate) models: Vec<Name>,
    /// The model that is being loaded there.
    pub(crate) loading: Option<Name>,
    /// The adapters that it holds.
    pub(crate) adapters: Vec<Weights>,
    /// Whether steps are being carried out there.
    pub(crate) is_executing: bool,
    /// Models whose weights it keeps in host memory.
    pub(crate) in_memory: Vec<Name>,
    /// Models whose weights it keeps on disk.
    pub(crate) on_disk: Vec<Name>,
    /// Requests on it, by model.
    pub(crate) in_flight: HashMap<Name, u32>,
    /// Models that were loaded a moment ago and stay for now.
    pub(crate) recently_loaded: Vec<Name>,
}

impl RunnerView {
    /// Whether an order can be given there.
    pub(super) fn is_free(&self) -> bool {
        !self.is_executing && self.loading.is_none()
    }

    /// Whether a model can be loaded there without the weight store.
    pub(super) fn has_cached(&self, model: &Name) -> bool {
        self.in_memory.contains(model) || self.on_disk.contains(model)
    }
}

/// What one runner is to do, in this order.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct RunnerPlan {
    /// What is dropped.
    pub(crate) unload: Vec<Weights>,
    /// What is loaded.
    pub(crate) load: Vec<Weights>,
    /// Whether a load comes from the weight store.
    pub(crate) is_cold: bool,
}

/// The state that a plan is made from.
#[derive(Debug)]
pub(crate) struct PlacementPlanner<'a> {
    /// The models and the room of a runner.
    pub(crate) engine: &'a Engine,
    /// The runners.
    pub(crate) runners: &'a [RunnerView],
    /// The demand at all VMs.
    pub(crate) demand: &'a HashMap<Weights, WantedRate>,
    /// Models that were asked for lately.
    pub(crate) recently_requested: &'a HashSet<Name>,
    /// Loads from the weight store that may begin now.
    pub(crate) cold_loads: usize,
}

impl PlacementPlanner<'_> {
    /// What each runner is to do; runners without steps are left out.
    pub(crate) fn plan(&self) -> HashMap<Name, RunnerPlan> {
        let mut plans = HashMap::new();
        SwapPlanner::new(self).plan(&mut plans);
        self.plan_adapters(&mut plans);
        plans
    }

    /// The copies of a model that hold all its adapters.
    pub(super) fn min_copies_for_adapters(&self, model: &Model) -> usize {
        let slots = self.engine.adapter_slots.max(1);
        model.adapters.div_ceil(slots) as usize
    }

    /// Room for models on a runner.
    pub(super) fn free_mb(&self, runner: &RunnerView) -> f64 {
        let held = runner.models.iter().map(|held| self.size_mb(held));
        self.engine.weights_mb - self.adapter_reserve_mb() - held.sum::<f64>()
    }

    fn size_mb(&self, model: &str) -> f64 {
        let model = self.engine.model(model);
        // A model that the configuration does not list fills the runner, to be safe.
        model.map_or(self.engine.weights_mb, |model| model.weights_mb)
    }

    /// Room that adapters may need beside the models.
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
            let is_requested = rate.waiting > 0 || rate.busy_ms_per_s > 0.0;
            self.place_adapter(&wanted, copies == 0 && is_requested, &mut views, plans);
        }
    }

    /// All adapters of models that some runner holds, the most wanted first.
    fn adapters_by_urgency(&self, copy_counts: &HashMap<Weights, usize>) -> Vec<Weights> {
        let models = self.engine.models.iter();
        let mut wanted: Vec<Weights> = models
            .flat_map(|model| {
                (1..=model.adapters).map(|number| Weights {
                    model: model.name.clone(),
                    adapter: Some(format!("a{number}").into()),
                })
            })
            .collect();
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
        let Some(runner) = fitting.min_by_key(|runner| runner.adapters.len()) else {
            return;
        };
        let mut unload = Vec::new();
        if runner.adapters.len() >= slots {
            // What this very plan loads is no victim: drops are carried out before loads.
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

    /// The adapter on a runner that is asked for least, if less than `wanted`.
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

/// The model itself, without an adapter.
pub(super) fn model_weights(model: Name) -> Weights {
    Weights {
        model,
        adapter: None,
    }
}
