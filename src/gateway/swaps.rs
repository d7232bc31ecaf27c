//! Which models change places on the runners.
//!
//! Answers a load that keeps moving: a few models take most requests, others are asked for now
//! and then, and which these are changes within seconds. A swap is made where the requests that
//! the new copy answers in time, from when it is there, exceed what the dropped ones answered.

use crate::gateway::planning::{Planning, RunnerView, Steps, whole};
use crate::gateway::spread::{ModelDemand, Spread, Worth};
use crate::gateway::{Model, Weights};
use crate::inventory::Name;
use std::collections::HashMap;
use tracing::info;

/// The gain from which one more copy is loaded, in requests a second: above what chance lets the
/// demand of equal models differ, so that they do not take turns.
const MIN_GAIN_PER_S: f64 = 0.3;
/// The same for a model that no runner holds.
const MIN_FIRST_GAIN_PER_S: f64 = 0.02;
/// What a load from the weight store costs, in requests a second: a third of a request's worth
/// over the time for which demand stays.
const COLD_COST_PER_S: f64 = 0.03;
/// What the loss of a copy that adapters need costs, in requests a second.
const ADAPTER_LACK_PER_S: f64 = 0.1;
/// What is taken to be lost, in requests a second, while nobody holds a model that was asked for
/// lately, and one that was not: those that come for it are to be served as well.
const ASKED_REACH_PER_S: f64 = 0.3;
const IDLE_REACH_PER_S: f64 = 0.05;
/// The same for each request that waits for a model that nobody holds.
const WAITING_REACH_PER_S: f64 = 0.5;
/// How long demand stays with a model on average, in milliseconds: a copy that is there later
/// meets less of it.
const DEMAND_STAYS_MS: f64 = 12_000.0;
/// What it costs, in requests a second, that a runner takes no other order for a second: what
/// it has at hand may be wanted meanwhile, and a load from the weight store takes many seconds.
const BUSY_COST_PER_S: f64 = 0.1;
/// How much later a copy is there if others make room for it that have requests under way, in
/// milliseconds: half of a usual stream.
const DROP_WAIT_MS: f64 = 1_000.0;
/// The part of the runners on which swaps may be under way: each takes a runner's copy away.
const SWAP_SHARE: f64 = 0.75;
/// Loads from the weight store that filling a runner leaves to models that are missed.
const FILL_RESERVE: usize = 4;
/// Models and runners that are looked at for one swap: those that lose most, and those with the
/// least to do; bounds the work of a plan in a large fleet.
const MAX_MODELS: usize = 6;
const MAX_RUNNERS: usize = 8;

/// Plans swaps over the demand as it spreads now.
pub(super) struct Swaps<'a> {
    planning: &'a Planning<'a>,
    spread: Spread,
    places: HashMap<&'a Name, usize>,
}

/// A swap on one runner with what it gains, in requests a second.
struct Swap {
    net_per_s: f64,
    worth: Worth,
    runner: usize,
    load: usize,
    drop: Vec<usize>,
    is_cold: bool,
}

impl<'a> Swaps<'a> {
    /// Spreads the demand over the copies that there are or will be.
    pub(super) fn new(planning: &'a Planning<'a>) -> Self {
        let models = &planning.engine.models;
        let places: HashMap<&Name, usize> = models
            .iter()
            .enumerate()
            .map(|(place, model)| (&model.name, place))
            .collect();
        let mut demands: Vec<ModelDemand> = models
            .iter()
            .map(|model| ModelDemand {
                reach_per_s: reach_per_s(planning.asked.contains(&model.name)),
                ..ModelDemand::default()
            })
            .collect();
        for (weights, rate) in planning.demand {
            if let Some(place) = places.get(&weights.model) {
                let demand = &mut demands[*place];
                demand.reach_per_s += f64::from(rate.waiting) * WAITING_REACH_PER_S;
                demand.runners += rate.busy_ms_per_s / 1_000.0;
                demand.requests_per_s += rate.requests_per_s;
            }
        }
        let mut holders = vec![Vec::new(); models.len()];
        for (runner, view) in planning.runners.iter().enumerate() {
            for model in view.models.iter().chain(&view.coming) {
                if let Some(place) = places.get(model) {
                    holders[*place].push(runner);
                }
            }
        }
        Self {
            spread: Spread::new(demands, &holders, planning.runners.len()),
            planning,
            places,
        }
    }

    /// Makes the swaps that gain most, one after the other, then fills runners with room left.
    pub(super) fn plan(mut self, steps: &mut HashMap<Name, Steps>) {
        let runners = self.planning.runners;
        let under_way = runners.iter().filter(|it| it.coming.is_some()).count();
        let max_swaps = (runners.len() as f64 * SWAP_SHARE).ceil() as usize;
        let mut cold_loads = self.planning.cold_loads;
        for _ in under_way..max_swaps {
            let Some(swap) = self.best(steps, cold_loads) else {
                break;
            };
            cold_loads -= usize::from(swap.is_cold);
            self.log(&swap);
            self.carry_out(swap, steps);
        }
        self.fill(steps, cold_loads);
    }

    /// The swap that gains most, if it gains enough.
    fn best(&mut self, steps: &HashMap<Name, Steps>, cold_loads: usize) -> Option<Swap> {
        let mut losing: Vec<(f64, usize)> = (0..self.planning.engine.models.len())
            .map(|model| (self.spread.lost(model), model))
            .filter(|(lost, _)| *lost >= MIN_FIRST_GAIN_PER_S)
            .collect();
        losing.sort_by(|left, right| right.0.total_cmp(&left.0));
        losing.truncate(MAX_MODELS);
        let mut best: Option<Swap> = None;
        for (_, model) in losing {
            for runner in self.free_runners(model, steps) {
                let is_cold = self.is_cold(model, runner);
                if is_cold && cold_loads == 0 {
                    continue;
                }
                for drop in self.drops(model, runner) {
                    let swap = self.weigh(model, runner, drop);
                    let is_better = |best: &Swap| swap.net_per_s > best.net_per_s;
                    if self.is_enough(&swap) && best.as_ref().is_none_or(is_better) {
                        best = Some(swap);
                    }
                }
            }
        }
        best
    }

    /// Whether a swap gains enough; a model that nobody holds is loaded where that costs
    /// others less than it gains, however long it takes.
    fn is_enough(&self, swap: &Swap) -> bool {
        match self.spread.copies(swap.load) {
            0 => swap.worth.gain - swap.worth.loss >= MIN_FIRST_GAIN_PER_S,
            _ => swap.net_per_s >= MIN_GAIN_PER_S,
        }
    }

    fn weigh(&mut self, load: usize, runner: usize, drop: Vec<usize>) -> Swap {
        let worth = self.spread.worth(runner, load, &drop);
        let is_cold = self.is_cold(load, runner);
        let after_ms = self.there_after_ms(load, runner, &drop);
        let met = (-after_ms / DEMAND_STAYS_MS).exp();
        let busy = after_ms / 1_000.0 * BUSY_COST_PER_S;
        let cold = if is_cold { COLD_COST_PER_S } else { 0.0 };
        let lacks = drop.iter().filter(|model| self.lacks_adapters(**model));
        let lack = lacks.count() as f64 * ADAPTER_LACK_PER_S;
        Swap {
            net_per_s: worth.gain * met - worth.loss - busy - cold - lack,
            worth,
            runner,
            load,
            drop,
            is_cold,
        }
    }

    /// When a copy can be there, in milliseconds from now.
    fn there_after_ms(&self, load: usize, runner: usize, drop: &[usize]) -> f64 {
        let model = self.model(load);
        let view = &self.planning.runners[runner];
        let load_ms = if view.in_memory.contains(&model.name) {
            model.warm_load_ms
        } else if view.on_disk.contains(&model.name) {
            model.disk_load_ms
        } else {
            model.load_ms
        };
        let is_under_way = |model: &&usize| {
            let name = &self.model(**model).name;
            view.in_flight.get(name).is_some_and(|count| *count > 0)
        };
        let waits = drop.iter().any(|model| is_under_way(&model));
        load_ms as f64 + if waits { DROP_WAIT_MS } else { 0.0 }
    }

    /// Whether copies beyond these are needed for all adapters to have a place.
    fn lacks_adapters(&self, model: usize) -> bool {
        self.spread.copies(model) <= self.planning.copies_for_adapters(self.model(model))
    }

    /// Runners that can load a model, those first that have the least to do: some that have it
    /// at hand and some that have not.
    fn free_runners(&self, model: usize, steps: &HashMap<Name, Steps>) -> Vec<usize> {
        let name = &self.model(model).name;
        let runners = self.planning.runners.iter().enumerate();
        let free = runners.filter(|(_, view)| {
            view.is_free() && !view.models.contains(name) && !steps.contains_key(&view.id)
        });
        let mut free: Vec<usize> = free.map(|(runner, _)| runner).collect();
        let load = |runner: &usize| self.spread.load(*runner);
        free.sort_by(|left, right| load(left).total_cmp(&load(right)));
        let (mut at_hand, mut cold): (Vec<usize>, Vec<usize>) = free
            .into_iter()
            .partition(|runner| !self.is_cold(model, *runner));
        at_hand.truncate(MAX_RUNNERS);
        cold.truncate(MAX_RUNNERS);
        at_hand.extend(cold);
        at_hand
    }

    /// The sets of models that could make room for one on a runner.
    fn drops(&self, load: usize, runner: usize) -> Vec<Vec<usize>> {
        let view = &self.planning.runners[runner];
        let needed_mb = self.model(load).weights_mb - self.planning.free_mb(view);
        if needed_mb <= 0.0 {
            return vec![Vec::new()];
        }
        let held = view.models.iter().filter(|it| !view.settling.contains(it));
        let mut held: Vec<usize> = held.filter_map(|it| self.places.get(it).copied()).collect();
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
        let mut drop = Vec::new();
        for model in held {
            freed_mb += self.model(model).weights_mb;
            drop.push(model);
            if freed_mb >= needed_mb {
                return vec![drop];
            }
        }
        Vec::new()
    }

    /// Fills runners that have room left with the model that gains most there.
    fn fill(&mut self, steps: &mut HashMap<Name, Steps>, mut cold_loads: usize) {
        for runner in 0..self.planning.runners.len() {
            let view = &self.planning.runners[runner];
            if !view.is_free() || steps.contains_key(&view.id) {
                continue;
            }
            let free_mb = self.planning.free_mb(view);
            let mut best: Option<Swap> = None;
            for model in 0..self.planning.engine.models.len() {
                let known = self.model(model);
                let fits = free_mb >= known.weights_mb && !view.models.contains(&known.name);
                if !fits || (self.is_cold(model, runner) && cold_loads <= FILL_RESERVE) {
                    continue;
                }
                let swap = self.weigh(model, runner, Vec::new());
                let rank =
                    |swap: &Swap| (swap.net_per_s, !swap.is_cold, self.needs_copies(swap.load));
                if best.as_ref().is_none_or(|best| rank(&swap) > rank(best)) {
                    best = Some(swap);
                }
            }
            if let Some(swap) = best {
                cold_loads -= usize::from(swap.is_cold);
                self.carry_out(swap, steps);
            }
        }
    }

    fn needs_copies(&self, model: usize) -> bool {
        self.spread.copies(model) < self.planning.copies_for_adapters(self.model(model))
    }

    fn carry_out(&mut self, swap: Swap, steps: &mut HashMap<Name, Steps>) {
        self.spread.change(swap.runner, swap.load, &swap.drop);
        let name = |model: usize| whole(self.model(model).name.clone());
        let drop: Vec<Weights> = swap.drop.iter().map(|model| name(*model)).collect();
        let of_runner = Steps {
            drop,
            load: vec![name(swap.load)],
            is_cold: swap.is_cold,
        };
        let id = self.planning.runners[swap.runner].id.clone();
        steps.insert(id, of_runner);
    }

    /// Tells what decided.
    fn log(&self, swap: &Swap) {
        let dropped = swap.drop.iter().map(|model| &*self.model(*model).name);
        info!(
            server = %self.planning.runners[swap.runner].id,
            model = %self.model(swap.load).name,
            dropped = dropped.collect::<Vec<_>>().join(","),
            net_per_s = swap.net_per_s,
            gain_per_s = swap.worth.gain,
            loss_per_s = swap.worth.loss,
            demand_runners = self.spread.demand(swap.load),
            copies = self.spread.copies(swap.load),
            runner_load = self.spread.load(swap.runner),
            is_cold = swap.is_cold,
            "swap planned"
        );
    }

    fn model(&self, place: usize) -> &'a Model {
        &self.planning.engine.models[place]
    }

    fn is_cold(&self, model: usize, runner: usize) -> bool {
        let view: &RunnerView = &self.planning.runners[runner];
        !view.has_at_hand(&self.model(model).name)
    }
}

fn reach_per_s(is_asked: bool) -> f64 {
    if is_asked {
        ASKED_REACH_PER_S
    } else {
        IDLE_REACH_PER_S
    }
}
