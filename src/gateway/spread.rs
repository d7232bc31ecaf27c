//! How demand spreads over the copies of models, and what a change of the copies is worth.
//!
//! Requests go to the least loaded runner that holds their model, so each model's demand levels
//! its copies' runners as far as it reaches. What all models on one runner ask of it together
//! decides how many of its requests are answered late or not at all.

/// The load of a runner, as a part of its time, up to which its streams are in time: beyond it
/// prompts meet each other, and streams pause while they are read.
const MAX_ON_TIME_LOAD: f64 = 0.45;
/// The load from which hardly any of its streams is in time.
const ALL_LATE_LOAD: f64 = 1.0;
/// What a late answer loses against none at all: a caller that gets it late is served, one that
/// is refused twice is not. With 0.7 and the shorter holds and returns of then, callers of a
/// deployment whose loads take 9 s got 0.35 of what full service is worth, with these 0.43 (ten
/// plays each of days with trouble or high load).
const LATE_ANSWER_COST: f64 = 0.4;
/// What a load below the easy one costs: little, so that equal choices level the runners.
const IMBALANCE_COST: f64 = 0.05;

/// What is asked of one model.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ModelDemand {
    /// What it takes of runners' time: 1 keeps one runner busy.
    pub(crate) busy_runners: f64,
    /// Requests a second.
    pub(crate) requests_per_s: f64,
    /// Requests a second that are taken to be lost beside those while nobody holds it.
    pub(crate) missing_cost_per_s: f64,
}

/// Demand over the copies of models; models and runners are known by their places.
#[derive(Clone, Debug)]
pub(crate) struct DemandSpread {
    models: Vec<ModelCopies>,
    runners: Vec<RunnerLoad>,
}

#[derive(Clone, Debug, Default)]
struct ModelCopies {
    demand: ModelDemand,
    /// The runners that hold it, with the part of its demand that goes there.
    copies: Vec<(usize, f64)>,
}

/// What one runner is asked.
#[derive(Clone, Copy, Debug, Default)]
struct RunnerLoad {
    utilisation: f64,
    requests_per_s: f64,
}

impl RunnerLoad {
    /// Requests a second that are lost, late ones in part.
    fn cost(self) -> f64 {
        let late = (self.utilisation - MAX_ON_TIME_LOAD) / (ALL_LATE_LOAD - MAX_ON_TIME_LOAD);
        let late = late.clamp(0.0, 1.0) * LATE_ANSWER_COST;
        // What a runner has no time for is not answered.
        let refused = (1.0 - 1.0 / self.utilisation.max(1.0)).max(0.0);
        let lost = late + (1.0 - late) * refused;
        let imbalance = IMBALANCE_COST * self.utilisation.min(1.0);
        self.requests_per_s * (imbalance + (1.0 - IMBALANCE_COST) * lost)
    }
}

/// What a change of one runner's models is worth, in requests a second.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SwapValue {
    /// What the new copy gains once it is there.
    pub(crate) gain: f64,
    /// What those that make room lose at once.
    pub(crate) loss: f64,
}

impl DemandSpread {
    /// Spreads the demand for models over the runners that hold them.
    pub(crate) fn new(
        demands: Vec<ModelDemand>,
        copy_runners: &[Vec<usize>],
        runners: usize,
    ) -> Self {
        let models = demands.into_iter().zip(copy_runners);
        let models = models.map(|(demand, copy_runners)| ModelCopies {
            demand,
            copies: copy_runners.iter().map(|runner| (*runner, 0.0)).collect(),
        });
        let mut spread = Self {
            models: models.collect(),
            runners: vec![RunnerLoad::default(); runners],
        };
        spread.balance();
        spread
    }

    /// Places all demand anew, models with the fewest copies first, then once more over what
    /// the others take.
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

    /// How many runners hold a model.
    pub(crate) fn copy_count(&self, model: usize) -> usize {
        self.models[model].copies.len()
    }

    /// What a model takes of runners' time.
    pub(crate) fn demand(&self, model: usize) -> f64 {
        self.models[model].demand.busy_runners
    }

    /// The load of a runner, as a part of its time.
    pub(crate) fn load(&self, runner: usize) -> f64 {
        self.runners[runner].utilisation
    }

    /// Requests a second for a model that are lost now.
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

    /// What it is worth to drop models on a runner and to load one there.
    pub(crate) fn swap_value(&mut self, runner: usize, load: usize, unload: &[usize]) -> SwapValue {
        let before = self.save_affected(load, unload);
        let affected = self.affected_runners(runner, load, unload);
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

    /// Carries out such a change.
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

    /// The cost of some runners, and of models that nobody holds.
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

    /// The runners that a change bears on.
    fn affected_runners(&self, runner: usize, load: usize, unload: &[usize]) -> Vec<usize> {
        let models = unload.iter().chain([&load]);
        let copies = models.flat_map(|model| &self.models[*model].copies);
        let mut affected: Vec<usize> = copies.map(|(copy_runner, _)| *copy_runner).collect();
        affected.push(runner);
        affected.sort_unstable();
        affected.dedup();
        affected
    }

    fn save_affected(&self, load: usize, unload: &[usize]) -> SavedState {
        let models = unload.iter().chain([&load]);
        SavedState {
            models: models
                .map(|model| (*model, self.models[*model].copies.clone()))
                .collect(),
            runners: self.runners.clone(),
        }
    }

    fn restore(&mut self, saved: SavedState) {
        for (model, copies) in saved.models {
            self.models[model].copies = copies;
        }
        self.runners = saved.runners;
    }

    /// Takes a model's demand off its runners.
    fn remove_demand(&mut self, model: usize) {
        let ModelCopies { demand, copies } = &mut self.models[model];
        for (runner, fraction) in copies {
            let load = &mut self.runners[*runner];
            load.utilisation = (load.utilisation - *fraction * demand.busy_runners).max(0.0);
            load.requests_per_s =
                (load.requests_per_s - *fraction * demand.requests_per_s).max(0.0);
            *fraction = 0.0;
        }
    }

    /// Puts a model's demand onto its runners so that it levels them as far as it reaches.
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
            copies.iter().map(|copy| self.runners[copy.0].utilisation),
            demand.busy_runners,
        );
        let equal = 1.0 / copies.len() as f64;
        for (runner, fraction) in copies {
            let load = &mut self.runners[*runner];
            *fraction = if demand.busy_runners > 0.0 {
                (level - load.utilisation).max(0.0) / demand.busy_runners
            } else {
                equal
            };
            load.utilisation += *fraction * demand.busy_runners;
            load.requests_per_s += *fraction * demand.requests_per_s;
        }
    }
}

/// What a change bears on, as it was.
struct SavedState {
    models: Vec<(usize, Vec<(usize, f64)>)>,
    runners: Vec<RunnerLoad>,
}

/// The level that loads, lowest first, reach when `demand` is poured onto them.
fn water_fill_level(loads: impl Iterator<Item = f64>, demand: f64) -> f64 {
    let mut sum = demand;
    let mut level = 0.0;
    for (count, load) in loads.enumerate() {
        if count > 0 && load >= level {
            break;
        }
        sum += load;
        level = sum / (count + 1) as f64;
    }
    level
}
