//! How demand spreads over the copies of models, and what a change of the copies is worth.
//!
//! Requests go to the least loaded runner that holds their model, so each model's demand levels
//! its copies' runners as far as it reaches. What all models on one runner ask of it together
//! decides how many of its requests are answered late or not at all.

/// The load of a runner, as a part of its time, up to which its streams are in time: beyond it
/// prompts meet each other, and streams pause while they are read.
const EASY_LOAD: f64 = 0.45;
/// The load from which hardly any of its streams is in time.
const LATE_LOAD: f64 = 1.0;
/// What a late answer loses against none at all: a caller that gets it late is served, one that
/// is refused twice is not. With 0.7 and the shorter holds and returns of then, callers of a
/// deployment whose loads take 9 s got 0.35 of what full service is worth, with these 0.43 (ten
/// plays each of days with trouble or high load).
const LATE_LOSS: f64 = 0.4;
/// What a load below the easy one costs: little, so that equal choices level the runners.
const UNEVEN_LOSS: f64 = 0.05;

/// What is asked of one model.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ModelDemand {
    /// What it takes of runners' time: 1 keeps one runner busy.
    pub(crate) runners: f64,
    /// Requests a second.
    pub(crate) requests_per_s: f64,
    /// Requests a second that are taken to be lost beside those while nobody holds it.
    pub(crate) reach_per_s: f64,
}

/// Demand over the copies of models; models and runners are known by their places.
#[derive(Clone, Debug)]
pub(crate) struct Spread {
    models: Vec<SpreadModel>,
    runners: Vec<Load>,
}

#[derive(Clone, Debug, Default)]
struct SpreadModel {
    demand: ModelDemand,
    /// The runners that hold it, with the part of its demand that goes there.
    copies: Vec<(usize, f64)>,
}

/// What one runner is asked.
#[derive(Clone, Copy, Debug, Default)]
struct Load {
    runners: f64,
    requests_per_s: f64,
}

impl Load {
    /// Requests a second that are lost, late ones in part.
    fn cost(self) -> f64 {
        let late = (self.runners - EASY_LOAD) / (LATE_LOAD - EASY_LOAD);
        let late = late.clamp(0.0, 1.0) * LATE_LOSS;
        // What a runner has no time for is not answered.
        let refused = (1.0 - 1.0 / self.runners.max(1.0)).max(0.0);
        let lost = late + (1.0 - late) * refused;
        let uneven = UNEVEN_LOSS * self.runners.min(1.0);
        self.requests_per_s * (uneven + (1.0 - UNEVEN_LOSS) * lost)
    }
}

/// What a change of one runner's models is worth, in requests a second.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Worth {
    /// What the new copy gains once it is there.
    pub(crate) gain: f64,
    /// What those that make room lose at once.
    pub(crate) loss: f64,
}

impl Spread {
    /// Spreads the demand for models over the runners that hold them.
    pub(crate) fn new(demands: Vec<ModelDemand>, holders: &[Vec<usize>], runners: usize) -> Self {
        let models = demands.into_iter().zip(holders);
        let models = models.map(|(demand, holders)| SpreadModel {
            demand,
            copies: holders.iter().map(|runner| (*runner, 0.0)).collect(),
        });
        let mut spread = Self {
            models: models.collect(),
            runners: vec![Load::default(); runners],
        };
        spread.level();
        spread
    }

    /// Places all demand anew, models with the fewest copies first, then once more over what
    /// the others take.
    fn level(&mut self) {
        let mut order: Vec<usize> = (0..self.models.len()).collect();
        order.sort_by_key(|model| self.models[*model].copies.len());
        for model in &order {
            self.place(*model);
        }
        for model in order {
            self.lift(model);
            self.place(model);
        }
    }

    /// How many runners hold a model.
    pub(crate) fn copies(&self, model: usize) -> usize {
        self.models[model].copies.len()
    }

    /// What a model takes of runners' time.
    pub(crate) fn demand(&self, model: usize) -> f64 {
        self.models[model].demand.runners
    }

    /// The load of a runner, as a part of its time.
    pub(crate) fn load(&self, runner: usize) -> f64 {
        self.runners[runner].runners
    }

    /// Requests a second for a model that are lost now.
    pub(crate) fn lost(&self, model: usize) -> f64 {
        let known = &self.models[model];
        if known.copies.is_empty() {
            return known.demand.requests_per_s + known.demand.reach_per_s;
        }
        let lost = known.copies.iter().map(|(runner, part)| {
            let load = self.runners[*runner];
            let share = load.cost() / load.requests_per_s.max(f64::MIN_POSITIVE);
            share * part * known.demand.requests_per_s
        });
        lost.sum()
    }

    /// What it is worth to drop models on a runner and to load one there.
    pub(crate) fn worth(&mut self, runner: usize, load: usize, drop: &[usize]) -> Worth {
        let before = self.clone_touched(load, drop);
        let touched = self.touched(runner, load, drop);
        let cost_before = self.cost(&touched, load, drop);
        for model in drop {
            self.drop_copy(*model, runner);
        }
        let cost_without = self.cost(&touched, load, drop);
        self.add_copy(load, runner);
        let cost_after = self.cost(&touched, load, drop);
        self.restore(before);
        Worth {
            gain: cost_without - cost_after,
            loss: cost_without - cost_before,
        }
    }

    /// Carries out such a change.
    pub(crate) fn change(&mut self, runner: usize, load: usize, drop: &[usize]) {
        for model in drop {
            self.drop_copy(*model, runner);
        }
        self.add_copy(load, runner);
    }

    fn add_copy(&mut self, model: usize, runner: usize) {
        self.lift(model);
        self.models[model].copies.push((runner, 0.0));
        self.place(model);
    }

    fn drop_copy(&mut self, model: usize, runner: usize) {
        self.lift(model);
        self.models[model]
            .copies
            .retain(|(holder, _)| *holder != runner);
        self.place(model);
    }

    /// The cost of some runners, and of models that nobody holds.
    fn cost(&self, runners: &[usize], load: usize, drop: &[usize]) -> f64 {
        let of_runners = runners.iter().map(|runner| self.runners[*runner].cost());
        let models = drop.iter().chain([&load]).map(|model| &self.models[*model]);
        let of_missing = models
            .filter(|model| model.copies.is_empty())
            .map(|model| model.demand.requests_per_s + model.demand.reach_per_s);
        of_runners.sum::<f64>() + of_missing.sum::<f64>()
    }

    /// The runners that a change bears on.
    fn touched(&self, runner: usize, load: usize, drop: &[usize]) -> Vec<usize> {
        let models = drop.iter().chain([&load]);
        let copies = models.flat_map(|model| &self.models[*model].copies);
        let mut touched: Vec<usize> = copies.map(|(holder, _)| *holder).collect();
        touched.push(runner);
        touched.sort_unstable();
        touched.dedup();
        touched
    }

    fn clone_touched(&self, load: usize, drop: &[usize]) -> Saved {
        let models = drop.iter().chain([&load]);
        Saved {
            models: models
                .map(|model| (*model, self.models[*model].copies.clone()))
                .collect(),
            runners: self.runners.clone(),
        }
    }

    fn restore(&mut self, saved: Saved) {
        for (model, copies) in saved.models {
            self.models[model].copies = copies;
        }
        self.runners = saved.runners;
    }

    /// Takes a model's demand off its runners.
    fn lift(&mut self, model: usize) {
        let SpreadModel { demand, copies } = &mut self.models[model];
        for (runner, part) in copies {
            let load = &mut self.runners[*runner];
            load.runners = (load.runners - *part * demand.runners).max(0.0);
            load.requests_per_s = (load.requests_per_s - *part * demand.requests_per_s).max(0.0);
            *part = 0.0;
        }
    }

    /// Puts a model's demand onto its runners so that it levels them as far as it reaches.
    fn place(&mut self, model: usize) {
        let SpreadModel { demand, copies } = &mut self.models[model];
        if copies.is_empty() {
            return;
        }
        copies.sort_by(|left, right| {
            let load = |copy: &(usize, f64)| self.runners[copy.0].runners;
            load(left).total_cmp(&load(right))
        });
        let level = level_of(
            copies.iter().map(|copy| self.runners[copy.0].runners),
            demand.runners,
        );
        let equal = 1.0 / copies.len() as f64;
        for (runner, part) in copies {
            let load = &mut self.runners[*runner];
            *part = if demand.runners > 0.0 {
                (level - load.runners).max(0.0) / demand.runners
            } else {
                equal
            };
            load.runners += *part * demand.runners;
            load.requests_per_s += *part * demand.requests_per_s;
        }
    }
}

/// What a change bears on, as it was.
struct Saved {
    models: Vec<(usize, Vec<(usize, f64)>)>,
    runners: Vec<Load>,
}

/// The level that loads, lowest first, reach when `demand` is poured onto them.
fn level_of(loads: impl Iterator<Item = f64>, demand: f64) -> f64 {
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
