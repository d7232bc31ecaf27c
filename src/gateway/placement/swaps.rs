//! Plans swaps: loading a model on a runner and unloading others where memory is short.
//!
//! The demand shifts quickly: a few models receive most requests, others are requested now and
//! then, and which these are changes within seconds. A swap is made if the new copy, from when it
//! is loaded, answers more requests in time than the unloaded copies did.

use crate::gateway::placement::planning::{
    PlacementPlanner, RunnerPlan, RunnerView, model_weights,
};
use crate::gateway::placement::spread::{DemandSpread, ModelDemand, SwapValue};
use crate::gateway::{Model, Weights};
use crate::inventory::Name;
use std::collections::HashMap;
use tracing::info;

/// Minimum net gain for an additional copy, in requests per second. It is above the random
/// difference in demand between equal models, which would otherwise keep replacing each other.
const MIN_GAIN_PER_S: f64 = 0.3;
/// Minimum gain for the first copy of a model, in requests per second.
const MIN_FIRST_COPY_GAIN_PER_S: f64 = 0.02;
/// Cost of a load from the weight store, in requests per second: a third of the value of one
/// request, spread over [`DEMAND_LIFETIME_MS`].
const COLD_LOAD_COST_PER_S: f64 = 0.03;
/// Cost of unloading a copy that is needed to hold all adapters, in requests per second.
const ADAPTER_SHORTAGE_COST_PER_S: f64 = 0.1;
/// Assumed loss while no runner holds a recently requested model, in requests per second: more
/// requests for it are expected.
const REQUESTED_MISSING_COST_PER_S: f64 = 0.3;
/// Assumed loss while no runner holds a model without recent requests, in requests per second.
const IDLE_MISSING_COST_PER_S: f64 = 0.05;
/// Assumed loss for each request that waits for a model that no runner holds, in requests per
/// second.
const WAITING_MISSING_COST_PER_S: f64 = 0.5;
/// Mean time for which the demand for a model lasts, in milliseconds: the later a copy is loaded,
/// the less demand remains for it.
const DEMAND_LIFETIME_MS: f64 = 12_000.0;
/// Cost of each second in which a runner accepts no other order, in requests per second: models
/// in its memory or on its disk may be requested in the meantime, and a load from the weight store
/// takes many seconds.
const BUSY_COST_PER_S: f64 = 0.1;
/// Delay of a load if a model to unload first has requests in flight, in milliseconds: half the
/// duration of a typical stream.
const UNLOAD_WAIT_MS: f64 = 1_000.0;
/// Maximum share of runners on which swaps may be in progress at a time, since each swap takes a
/// copy out of service.
const MAX_SWAPPING_SHARE: f64 = 0.75;
/// Maximum number of swaps in one plan. The next plan, a tenth of a second later, continues with the
/// demand as it is then.
const MAX_SWAPS_PER_PLAN: usize = 100;
/// Demand per copy, in runners, up to which a model with several copies gets no further one where
/// memory is free.
const IDLE_COPY_DEMAND: f64 = 0.05;
/// Copies that a model gets where memory is free, whatever its demand.
const MIN_COPIES: usize = 2;
/// Loads from the weight store that filling free memory leaves to models that no runner holds.
const RESERVED_COLD_LOADS: usize = 4;
/// Maximum number of models considered for one swap, those with the highest losses first; bounds
/// the work of a plan in a large fleet.
const MAX_CANDIDATE_MODELS: usize = 6;
/// Maximum number of runners considered per model, the least loaded first: as many that have its
/// weights cached, and as many that have not.
const MAX_CANDIDATE_RUNNERS: usize = 8;

/// Plans swaps from the current spread of the demand; models and runners are identified by index.
pub(super) struct SwapPlanner<'a> {
    planner: &'a PlacementPlanner<'a>,
    spread: DemandSpread,
    model_indices: HashMap<&'a Name, usize>,
}

/// A swap on one runner with its value and its net gain in requests per second.
struct Swap {
    net_per_s: f64,
    value: SwapValue,
    runner: usize,
    load: usize,
    unload: Vec<usize>,
    is_cold: bool,
}

impl<'a> SwapPlanner<'a> {
    /// Spreads the demand over the copies that are loaded or being loaded.
    pub(super) fn new(planner: &'a PlacementPlanner<'a>) -> Self {
        let models = &planner.engine.models;
        let model_indices: HashMap<&Name, usize> = models
            .iter()
            .enumerate()
            .map(|(index, model)| (&model.name, index))
            .collect();
        let mut demands: Vec<ModelDemand> = models
            .iter()
            .map(|model| ModelDemand {
                missing_cost_per_s: missing_cost_per_s(
                    planner.recently_requested.contains(&model.name),
                ),
                ..ModelDemand::default()
            })
            .collect();
        for (weights, rate) in planner.demand {
            if let Some(index) = model_indices.get(&weights.model) {
                let demand = &mut demands[*index];
                demand.missing_cost_per_s += f64::from(rate.waiting) * WAITING_MISSING_COST_PER_S;
                demand.busy_runners += rate.busy_ms_per_s / 1_000.0;
                demand.requests_per_s += rate.requests_per_s;
            }
        }
        let mut copy_runners = vec![Vec::new(); models.len()];
        for (runner, view) in planner.runners.iter().enumerate() {
            for model in view.models.iter().chain(&view.loading) {
                if let Some(index) = model_indices.get(model) {
                    copy_runners[*index].push(runner);
                }
            }
        }
        let slowness: Vec<f64> = planner.runners.iter().map(RunnerView::slowness).collect();
        Self {
            spread: DemandSpread::new(demands, &copy_runners, &slowness),
            planner,
            model_indices,
        }
    }

    /// Plans the swaps that gain most, one after the other, then fills runners with free memory.
    pub(super) fn plan(mut self, plans: &mut HashMap<Name, RunnerPlan>) {
        let runners = self.planner.runners;
        let in_progress = runners.iter().filter(|it| it.loading.is_some()).count();
        let max_swaps = (runners.len() as f64 * MAX_SWAPPING_SHARE).ceil() as usize;
        let swaps = max_swaps
            .saturating_sub(in_progress)
            .min(MAX_SWAPS_PER_PLAN);
        let mut cold_loads = self.planner.cold_loads;
        for _ in 0..swaps {
            let Some(swap) = self.best_swap(plans, cold_loads) else {
                break;
            };
            cold_loads -= usize::from(swap.is_cold);
            self.log_swap(&swap);
            self.commit(swap, plans);
        }
        self.fill_free_memory(plans, cold_loads);
    }

    /// Returns the swap with the highest net gain among those that gain enough.
    fn best_swap(&mut self, plans: &HashMap<Name, RunnerPlan>, cold_loads: usize) -> Option<Swap> {
        let mut candidates: Vec<(f64, usize)> = (0..self.planner.engine.models.len())
            .map(|model| (self.spread.lost_per_s(model), model))
            .filter(|(lost, _)| *lost >= MIN_FIRST_COPY_GAIN_PER_S)
            .collect();
        candidates.sort_by(|left, right| right.0.total_cmp(&left.0));
        candidates.truncate(MAX_CANDIDATE_MODELS);
        let mut best: Option<Swap> = None;
        for (_, model) in candidates {
            for runner in self.free_runners(model, plans) {
                let is_cold = self.is_cold(model, runner);
                if is_cold && cold_loads == 0 {
                    continue;
                }
                for unload in self.unload_candidates(model, runner) {
                    let swap = self.evaluate(model, runner, unload);
                    let is_better = |best: &Swap| swap.net_per_s > best.net_per_s;
                    if self.gains_enough(&swap) && best.as_ref().is_none_or(is_better) {
                        best = Some(swap);
                    }
                }
            }
        }
        best
    }

    /// Whether a swap gains enough. A model that no runner holds is loaded where it gains more than
    /// the other models lose, however long the load takes.
    fn gains_enough(&self, swap: &Swap) -> bool {
        match self.spread.copy_count(swap.load) {
            0 => swap.value.gain - swap.value.loss >= MIN_FIRST_COPY_GAIN_PER_S,
            _ => swap.net_per_s >= MIN_GAIN_PER_S,
        }
    }

    fn evaluate(&mut self, load: usize, runner: usize, unload: Vec<usize>) -> Swap {
        let value = self.spread.swap_value(runner, load, &unload);
        let is_cold = self.is_cold(load, runner);
        let wait_ms = self.ready_in_ms(load, runner, &unload);
        let remaining_demand = (-wait_ms / DEMAND_LIFETIME_MS).exp();
        let busy_cost = wait_ms / 1_000.0 * BUSY_COST_PER_S;
        let cold_cost = if is_cold { COLD_LOAD_COST_PER_S } else { 0.0 };
        let needed = unload
            .iter()
            .filter(|model| self.is_needed_for_adapters(**model));
        let shortage_cost = needed.count() as f64 * ADAPTER_SHORTAGE_COST_PER_S;
        Swap {
            net_per_s: value.gain * remaining_demand
                - value.loss
                - busy_cost
                - cold_cost
                - shortage_cost,
            value,
            runner,
            load,
            unload,
            is_cold,
        }
    }

    /// Returns the time until a copy would be loaded, in milliseconds.
    fn ready_in_ms(&self, load: usize, runner: usize, unload: &[usize]) -> f64 {
        let model = self.model(load);
        let view = &self.planner.runners[runner];
        let load_ms = if view.in_memory.contains(&model.name) {
            model.warm_load_ms
        } else if view.on_disk.contains(&model.name) {
            model.disk_load_ms
        } else {
            model.load_ms
        };
        let has_in_flight = |model: &&usize| {
            let name = &self.model(**model).name;
            view.in_flight.get(name).is_some_and(|count| *count > 0)
        };
        let must_wait = unload.iter().any(|model| has_in_flight(&model));
        load_ms as f64 + if must_wait { UNLOAD_WAIT_MS } else { 0.0 }
    }

    /// Whether all present copies of a model are needed to hold its adapters.
    fn is_needed_for_adapters(&self, model: usize) -> bool {
        self.spread.copy_count(model) <= self.planner.min_copies_for_adapters(self.model(model))
    }

    /// Returns runners that can load a model: the least loaded ones that have its weights cached,
    /// then the least loaded ones that have not.
    fn free_runners(&self, model: usize, plans: &HashMap<Name, RunnerPlan>) -> Vec<usize> {
        let name = &self.model(model).name;
        let runners = self.planner.runners.iter().enumerate();
        let free = runners.filter(|(_, view)| {
            view.is_free() && !view.models.contains(name) && !plans.contains_key(&view.id)
        });
        let mut free: Vec<usize> = free.map(|(runner, _)| runner).collect();
        let load = |runner: &usize| self.spread.load_with_slowness(model, *runner);
        free.sort_by(|left, right| load(left).total_cmp(&load(right)));
        let (mut cached, mut cold): (Vec<usize>, Vec<usize>) = free
            .into_iter()
            .partition(|runner| !self.is_cold(model, *runner));
        cached.truncate(MAX_CANDIDATE_RUNNERS);
        cold.truncate(MAX_CANDIDATE_RUNNERS);
        cached.extend(cold);
        cached
    }

    /// Returns the sets of models that could be unloaded from a runner to make room for another.
    fn unload_candidates(&self, load: usize, runner: usize) -> Vec<Vec<usize>> {
        let view = &self.planner.runners[runner];
        let needed_mb = self.model(load).weights_mb - self.planner.free_mb(view);
        if needed_mb <= 0.0 {
            return vec![Vec::new()];
        }
        let held = view
            .models
            .iter()
            .filter(|it| !view.recently_loaded.contains(it));
        let mut held: Vec<usize> = held
            .filter_map(|it| self.model_indices.get(it).copied())
            .collect();
        let single: Vec<Vec<usize>> = held
            .iter()
            .filter(|model| self.model(**model).weights_mb >= needed_mb)
            .map(|model| vec![*model])
            .collect();
        if !single.is_empty() {
            return single;
        }
        held.sort_by(|left, right| {
            self.spread
                .demand(*left)
                .total_cmp(&self.spread.demand(*right))
        });
        let mut freed_mb = 0.0;
        let mut unload = Vec::new();
        for model in held {
            freed_mb += self.model(model).weights_mb;
            unload.push(model);
            if freed_mb >= needed_mb {
                return vec![unload];
            }
        }
        Vec::new()
    }

    /// Fills each runner that has free memory with the model that gains most there. A runner that
    /// already holds models gets only those whose copies are few or in use. The fastest runners are
    /// filled first, so that they get the models with the highest demand.
    fn fill_free_memory(&mut self, plans: &mut HashMap<Name, RunnerPlan>, mut cold_loads: usize) {
        let all: Vec<usize> = (0..self.planner.engine.models.len()).collect();
        let mut wanted = all.clone();
        wanted.retain(|model| !self.has_idle_copies(*model));
        let mut order: Vec<usize> = (0..self.planner.runners.len()).collect();
        let slowness = |runner: &usize| self.planner.runners[*runner].slowness();
        order.sort_by(|left, right| slowness(left).total_cmp(&slowness(right)));
        for runner in order {
            let view = &self.planner.runners[runner];
            if !view.is_free() || plans.contains_key(&view.id) {
                continue;
            }
            let free_mb = self.planner.free_mb(view);
            let mut best: Option<Swap> = None;
            let is_empty = view.models.is_empty();
            let candidates = if is_empty { &all } else { &wanted };
            for model in candidates.iter().copied() {
                let known = self.model(model);
                let fits = free_mb >= known.weights_mb && !view.models.contains(&known.name);
                if !fits
                    || (!is_empty && self.has_idle_copies(model))
                    || (self.is_cold(model, runner) && cold_loads <= RESERVED_COLD_LOADS)
                {
                    continue;
                }
                let swap = self.evaluate(model, runner, Vec::new());
                let rank =
                    |swap: &Swap| (swap.net_per_s, !swap.is_cold, self.lacks_copies(swap.load));
                if best.as_ref().is_none_or(|best| rank(&swap) > rank(best)) {
                    best = Some(swap);
                }
            }
            if let Some(swap) = best {
                cold_loads -= usize::from(swap.is_cold);
                self.commit(swap, plans);
            }
        }
    }

    /// Whether a model has copies enough for its adapters and failures, and its demand hardly uses
    /// them.
    fn has_idle_copies(&self, model: usize) -> bool {
        let copies = self.spread.copy_count(model);
        let demand_per_copy = self.spread.demand(model) / copies.max(1) as f64;
        copies >= MIN_COPIES && !self.lacks_copies(model) && demand_per_copy < IDLE_COPY_DEMAND
    }

    fn lacks_copies(&self, model: usize) -> bool {
        self.spread.copy_count(model) < self.planner.min_copies_for_adapters(self.model(model))
    }

    fn commit(&mut self, swap: Swap, plans: &mut HashMap<Name, RunnerPlan>) {
        self.spread.apply_swap(swap.runner, swap.load, &swap.unload);
        let name = |model: usize| model_weights(self.model(model).name.clone());
        let unload: Vec<Weights> = swap.unload.iter().map(|model| name(*model)).collect();
        let of_runner = RunnerPlan {
            unload,
            load: vec![name(swap.load)],
            is_cold: swap.is_cold,
        };
        let id = self.planner.runners[swap.runner].id.clone();
        plans.insert(id, of_runner);
    }

    /// Logs a swap with the figures that decided it.
    fn log_swap(&self, swap: &Swap) {
        let unloaded = swap.unload.iter().map(|model| &*self.model(*model).name);
        info!(
            server = %self.planner.runners[swap.runner].id,
            model = %self.model(swap.load).name,
            dropped = unloaded.collect::<Vec<_>>().join(","),
            net_per_s = swap.net_per_s,
            gain_per_s = swap.value.gain,
            loss_per_s = swap.value.loss,
            demand_runners = self.spread.demand(swap.load),
            copies = self.spread.copy_count(swap.load),
            runner_load = self.spread.load(swap.runner),
            is_cold = swap.is_cold,
            "swap planned"
        );
    }

    fn model(&self, index: usize) -> &'a Model {
        &self.planner.engine.models[index]
    }

    fn is_cold(&self, model: usize, runner: usize) -> bool {
        let view: &RunnerView = &self.planner.runners[runner];
        !view.has_cached(&self.model(model).name)
    }
}

fn missing_cost_per_s(is_requested: bool) -> f64 {
    if is_requested {
        REQUESTED_MISSING_COST_PER_S
    } else {
        IDLE_MISSING_COST_PER_S
    }
}
