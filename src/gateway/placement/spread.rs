//! Estimates how demand spreads over the copies of models, and the value of changing the copies.
//!
//! Requests go to the least loaded runner that holds their model, so the demand for a model evens
//! out the load of these runners, as far as there is enough demand. The total load of a runner
//! determines how many of its requests are answered late or not at all. A request takes the time of
//! its model multiplied by the slowness of the runner, so that slow runners count as less capacity.

/// Load of a runner, as a share of its time, up to which its streams are on time. Above it,
/// prompts arrive while others are being processed, and streams pause during each prefill.
const MAX_ON_TIME_LOAD: f64 = 0.45;
/// Load of a runner above which hardly any of its streams is on time.
const ALL_LATE_LOAD: f64 = 1.0;
/// Cost of a late answer relative to no answer: a caller that is answered late is still served,
/// one that is refused twice is not. Where loads take 9 s, callers got 0.43 of the value of full
/// service with this cost, against 0.35 with 0.7 and shorter hold and return times.
const LATE_ANSWER_COST: f64 = 0.4;
/// Small cost of load that causes no late answers, so that otherwise equal choices even out the
/// load of the runners.
const IMBALANCE_COST: f64 = 0.05;

/// Demand for one model.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ModelDemand {
    /// Runner time that the requests take: 1 keeps one runner busy.
    pub(crate) busy_runners: f64,
    /// Requests per second.
    pub(crate) requests_per_s: f64,
    /// Additional requests per second that are assumed lost while no runner holds the model.
    pub(crate) missing_cost_per_s: f64,
}

/// Demand spread over the copies of models; models and runners are identified by their indices.
#[derive(Clone, Debug)]
pub(crate) struct DemandSpread {
    models: Vec<ModelCopies>,
    runners: Vec<RunnerLoad>,
}

/// Demand for a model and its copies.
#[derive(Clone, Debug, Default)]
struct ModelCopies {
    demand: ModelDemand,
    /// Runners that hold the model, each with the fraction of the demand that it serves.
    copies: Vec<(usize, f64)>,
}

/// Load of one runner: the share of its time that is used, above 1 if overloaded, and requests
/// per second.
#[derive(Clone, Copy, Debug)]
struct RunnerLoad {
    utilisation: f64,
    requests_per_s: f64,
    /// Time that the runner takes relative to others for the same work; 1.0 is usual.
    slowness: f64,
}

impl RunnerLoad {
    fn idle(slowness: f64) -> Self {
        Self {
            utilisation: 0.0,
            requests_per_s: 0.0,
            slowness,
        }
    }

    /// Returns the requests per second that are lost; late ones count in part.
    fn cost(self) -> f64 {
        let late = (self.utilisation - MAX_ON_TIME_LOAD) / (ALL_LATE_LOAD - MAX_ON_TIME_LOAD);
        let late = late.clamp(0.0, 1.0) * LATE_ANSWER_COST;
        // Requests beyond the capacity of a runner are not answered.
        let refused = (1.0 - 1.0 / self.utilisation.max(1.0)).max(0.0);
        let lost = late + (1.0 - late) * refused;
        let imbalance = IMBALANCE_COST * self.utilisation.min(1.0);
        self.requests_per_s * (imbalance + (1.0 - IMBALANCE_COST) * lost)
    }
}

/// Value of a swap on one runner, in requests per second.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SwapValue {
    /// Gain from the new copy once it is loaded.
    pub(crate) gain: f64,
    /// Immediate loss from the unloaded copies.
    pub(crate) loss: f64,
}

impl DemandSpread {
    /// Spreads the demand for models over the runners that hold them; `copy_runners` lists these
    /// by model and `slowness` the time that each runner takes relative to others.
    pub(crate) fn new(
        demands: Vec<ModelDemand>,
        copy_runners: &[Vec<usize>],
        slowness: &[f64],
    ) -> Self {
        let models = demands.into_iter().zip(copy_runners);
        let models = models.map(|(demand, copy_runners)| ModelCopies {
            demand,
            copies: copy_runners.iter().map(|runner| (*runner, 0.0)).collect(),
        });
        let mut spread = Self {
            models: models.collect(),
            runners: slowness.iter().copied().map(RunnerLoad::idle).collect(),
        };
        spread.balance();
        spread
    }

    /// Assigns all demand, models with the fewest copies first, then reassigns each model's demand
    /// around the load of the others.
    fn balance(&mut self) {
        let mut order: Vec<usize> = (0..self.models.len()).collect();
        order.sort_by_key(|model| self.models[*model].copies.len());
        for model in &order {
            self.assign_demand(*model);
        }
        for model in order {
            self.remove_demand(model);
            self.assign_demand(model);
        }
    }

    /// Returns the number of runners that hold a model.
    pub(crate) fn copy_count(&self, model: usize) -> usize {
        self.models[model].copies.len()
    }

    /// Returns the runner time that a model's demand takes, in runners.
    pub(crate) fn demand(&self, model: usize) -> f64 {
        self.models[model].demand.busy_runners
    }

    /// Returns the load of a runner as a share of its time.
    pub(crate) fn load(&self, runner: usize) -> f64 {
        self.runners[runner].utilisation
    }

    /// Returns the load of a runner, plus the extra time that it would take because of its speed
    /// for an equal part of a model's demand. It ranks runners for another copy of the model.
    pub(crate) fn load_with_slowness(&self, model: usize, runner: usize) -> f64 {
        let entry = &self.models[model];
        let part = entry.demand.busy_runners / (entry.copies.len() + 1) as f64;
        let load = self.runners[runner];
        load.utilisation + (load.slowness - 1.0) * part
    }

    /// Returns the requests per second for a model that are currently lost.
    pub(crate) fn lost_per_s(&self, model: usize) -> f64 {
        let entry = &self.models[model];
        if entry.copies.is_empty() {
            return entry.demand.requests_per_s + entry.demand.missing_cost_per_s;
        }
        let lost = entry.copies.iter().map(|(runner, fraction)| {
            let load = self.runners[*runner];
            let share = load.cost() / load.requests_per_s.max(f64::MIN_POSITIVE);
            share * fraction * entry.demand.requests_per_s
        });
        lost.sum()
    }

    /// Returns the value of unloading models from a runner and loading another there.
    pub(crate) fn swap_value(&mut self, runner: usize, load: usize, unload: &[usize]) -> SwapValue {
        let affected = self.affected_runners(runner, load, unload);
        let before = self.save_affected(&affected, load, unload);
        let cost_before = self.cost(&affected, load, unload);
        for model in unload {
            self.remove_copy(*model, runner);
        }
        let cost_without = self.cost(&affected, load, unload);
        self.add_copy(load, runner);
        let cost_after = self.cost(&affected, load, unload);
        self.restore(before);
        SwapValue {
            gain: cost_without - cost_after,
            loss: cost_without - cost_before,
        }
    }

    /// Applies a swap to the spread.
    pub(crate) fn apply_swap(&mut self, runner: usize, load: usize, unload: &[usize]) {
        for model in unload {
            self.remove_copy(*model, runner);
        }
        self.add_copy(load, runner);
    }

    fn add_copy(&mut self, model: usize, runner: usize) {
        self.remove_demand(model);
        self.models[model].copies.push((runner, 0.0));
        self.assign_demand(model);
    }

    fn remove_copy(&mut self, model: usize, runner: usize) {
        self.remove_demand(model);
        self.models[model]
            .copies
            .retain(|(copy_runner, _)| *copy_runner != runner);
        self.assign_demand(model);
    }

    /// Returns the cost of `runners`, plus that of the swapped models that no runner holds.
    fn cost(&self, runners: &[usize], load: usize, unload: &[usize]) -> f64 {
        let of_runners = runners.iter().map(|runner| self.runners[*runner].cost());
        let models = unload
            .iter()
            .chain([&load])
            .map(|model| &self.models[*model]);
        let of_missing = models
            .filter(|model| model.copies.is_empty())
            .map(|model| model.demand.requests_per_s + model.demand.missing_cost_per_s);
        of_runners.sum::<f64>() + of_missing.sum::<f64>()
    }

    /// Returns the runners whose load a swap changes.
    fn affected_runners(&self, runner: usize, load: usize, unload: &[usize]) -> Vec<usize> {
        let models = unload.iter().chain([&load]);
        let copies = models.flat_map(|model| &self.models[*model].copies);
        let mut affected: Vec<usize> = copies.map(|(copy_runner, _)| *copy_runner).collect();
        affected.push(runner);
        affected.sort_unstable();
        affected.dedup();
        affected
    }

    fn save_affected(&self, affected: &[usize], load: usize, unload: &[usize]) -> SavedState {
        let models = unload.iter().chain([&load]);
        SavedState {
            models: models
                .map(|model| (*model, self.models[*model].copies.clone()))
                .collect(),
            runners: affected
                .iter()
                .map(|runner| (*runner, self.runners[*runner]))
                .collect(),
        }
    }

    fn restore(&mut self, saved: SavedState) {
        for (model, copies) in saved.models {
            self.models[model].copies = copies;
        }
        for (runner, load) in saved.runners {
            self.runners[runner] = load;
        }
    }

    /// Removes a model's demand from its runners.
    fn remove_demand(&mut self, model: usize) {
        let ModelCopies { demand, copies } = &mut self.models[model];
        for (runner, fraction) in copies {
            let load = &mut self.runners[*runner];
            let used = *fraction * demand.busy_runners * load.slowness;
            load.utilisation = (load.utilisation - used).max(0.0);
            load.requests_per_s =
                (load.requests_per_s - *fraction * demand.requests_per_s).max(0.0);
            *fraction = 0.0;
        }
    }

    /// Assigns a model's demand to its runners, the least loaded first, so that their loads become
    /// as equal as the demand allows.
    fn assign_demand(&mut self, model: usize) {
        let ModelCopies { demand, copies } = &mut self.models[model];
        if copies.is_empty() {
            return;
        }
        copies.sort_by(|left, right| {
            let load = |copy: &(usize, f64)| self.runners[copy.0].utilisation;
            load(left).total_cmp(&load(right))
        });
        let level = water_fill_level(
            copies.iter().map(|copy| self.runners[copy.0]),
            demand.busy_runners,
        );
        let equal = 1.0 / copies.len() as f64;
        for (runner, fraction) in copies {
            let load = &mut self.runners[*runner];
            *fraction = if demand.busy_runners > 0.0 {
                (level - load.utilisation).max(0.0) / (demand.busy_runners * load.slowness)
            } else {
                equal
            };
            load.utilisation += *fraction * demand.busy_runners * load.slowness;
            load.requests_per_s += *fraction * demand.requests_per_s;
        }
    }
}

/// State before a swap, to restore after it has been evaluated.
struct SavedState {
    models: Vec<(usize, Vec<(usize, f64)>)>,
    runners: Vec<(usize, RunnerLoad)>,
}

/// Returns the utilisation to which `demand` raises the least loaded runners (water filling). The
/// runners must be in ascending order of utilisation.
fn water_fill_level(runners: impl Iterator<Item = RunnerLoad>, demand: f64) -> f64 {
    let mut work = demand;
    let mut speed = 0.0;
    let mut level = 0.0;
    for (count, runner) in runners.enumerate() {
        if count > 0 && runner.utilisation >= level {
            break;
        }
        work += runner.utilisation / runner.slowness;
        speed += 1.0 / runner.slowness;
        level = work / speed;
    }
    level
}
