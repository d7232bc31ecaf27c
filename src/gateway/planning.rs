//! Which runner should hold which model and adapter.
//!
//! Answers a load that keeps moving: a few models take most requests, others are asked for
//! now and then, and which these are changes within seconds. A swap is made where the demand
//! that the new copy answers in time exceeds what the dropped ones answered.

use crate::gateway::backlog::READ_TOKENS_PER_MS;
use crate::gateway::peers::WantedRate;
use crate::gateway::pressure::Pressure;
use crate::gateway::{Engine, Model, Weights};
use crate::inventory::Name;
use std::collections::HashMap;
use tracing::info;

/// The gain from which one more copy is loaded; keeps models with equal demand from taking
/// turns.
const MIN_GAIN: f64 = 0.08;
/// The gain from which a model that no runner holds is loaded.
const MIN_FIRST_GAIN: f64 = 0.02;
/// What a load from the weight store costs more than one from a runner's disk.
const COLD_COST: f64 = 0.05;
/// What dropping a model costs for each of its requests there: it waits for their end, and
/// the runner has one model less meanwhile.
const DROP_COST: f64 = 0.0015;
/// What the loss of a copy that adapters need costs.
const ADAPTER_LACK: f64 = 0.05;
/// The part of the runners on which swaps may be under way: four of nine, since each takes a
/// runner's copy away for about two seconds; with three quarters worth did not change.
const SWAP_SHARE: f64 = 0.44;
/// The demand for an adapter copy, in tokens a second, from which a second one is placed.
const ADAPTER_CROWDED: f64 = 3_000.0;
/// Loads from the weight store that filling a runner leaves to models that are missed.
const FILL_RESERVE: usize = 4;
/// Adapters that may be on their way to one runner.
const MAX_ADAPTERS_COMING: usize = 4;

/// A model runner as the planner sees it.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunnerView {
    /// The runner.
    pub(crate) id: Name,
    /// The models that it holds and that are to stay.
    pub(crate) models: Vec<Name>,
    /// The model that is being loaded there.
    pub(crate) coming: Option<Name>,
    /// The adapters that it holds.
    pub(crate) adapters: Vec<Weights>,
    /// Whether steps are being carried out there.
    pub(crate) is_working: bool,
    /// Models whose weights it keeps in host memory.
    pub(crate) in_memory: Vec<Name>,
    /// Models whose weights it keeps on disk.
    pub(crate) on_disk: Vec<Name>,
    /// Requests on it, by model.
    pub(crate) in_flight: HashMap<Name, u32>,
    /// Models that were loaded a moment ago and stay for now.
    pub(crate) settling: Vec<Name>,
}

impl RunnerView {
    /// Whether a model can be loaded there without the weight store.
    fn has_at_hand(&self, model: &Name) -> bool {
        self.in_memory.contains(model) || self.on_disk.contains(model)
    }
}

/// What one runner is to do, in this order.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Steps {
    /// What is dropped.
    pub(crate) drop: Vec<Weights>,
    /// What is loaded.
    pub(crate) load: Vec<Weights>,
    /// Whether a load comes from the weight store.
    pub(crate) is_cold: bool,
}

/// The state that a plan is made from.
#[derive(Debug)]
pub(crate) struct Planning<'a> {
    /// The models and the room of a runner.
    pub(crate) engine: &'a Engine,
    /// The runners.
    pub(crate) runners: &'a [RunnerView],
    /// The demand at all VMs.
    pub(crate) demand: &'a HashMap<Weights, WantedRate>,
    /// Loads from the weight store that may begin now.
    pub(crate) cold_loads: usize,
}

/// A swap on one runner with what it gains.
struct Swap {
    gain: f64,
    runner: Name,
    steps: Steps,
}

impl Swap {
    /// Tells what decided; the figures count this swap already.
    fn log(&self, pressures: &HashMap<Name, Pressure>) {
        let Some(loaded) = self.steps.load.first() else {
            return;
        };
        let pressure = pressures.get(&loaded.model).copied().unwrap_or_default();
        let dropped = self.steps.drop.iter().map(|weights| &*weights.model);
        info!(
            server = %self.runner,
            model = %loaded.model,
            dropped = dropped.collect::<Vec<_>>().join(","),
            gain = self.gain,
            demand_runners = pressure.runners,
            waiting = pressure.waiting,
            copies = pressure.copies,
            is_cold = self.steps.is_cold,
            "swap planned"
        );
    }
}

impl Planning<'_> {
    /// What each runner is to do; runners without steps are left out.
    pub(crate) fn plan(&self) -> HashMap<Name, Steps> {
        let mut steps = HashMap::new();
        self.plan_models(&mut steps);
        self.plan_adapters(&mut steps);
        steps
    }

    fn pressures(&self) -> HashMap<Name, Pressure> {
        let models = self.engine.models.iter();
        let mut pressures: HashMap<Name, Pressure> = models
            .map(|model| (model.name.clone(), Pressure::default()))
            .collect();
        for (weights, rate) in self.demand {
            if let Some(pressure) = pressures.get_mut(&weights.model) {
                pressure.runners += rate.tokens_per_s / (READ_TOKENS_PER_MS * 1_000.0);
                pressure.waiting += rate.waiting;
            }
        }
        for runner in self.runners {
            for model in runner.models.iter().chain(&runner.coming) {
                if let Some(pressure) = pressures.get_mut(model) {
                    pressure.copies += 1;
                }
            }
        }
        pressures
    }

    /// Makes the swaps that gain most, one after the other.
    fn plan_models(&self, steps: &mut HashMap<Name, Steps>) {
        let mut pressures = self.pressures();
        let under_way = self.runners.iter().filter(|it| it.coming.is_some()).count();
        let mut cold_loads = self.cold_loads;
        for _ in under_way..self.max_swaps() {
            let models = self.engine.models.iter();
            let swaps =
                models.filter_map(|model| self.best_swap(model, &pressures, steps, cold_loads));
            let best = swaps.max_by(|left, right| left.gain.total_cmp(&right.gain));
            let Some(swap) = best else {
                break;
            };
            for dropped in &swap.steps.drop {
                if let Some(pressure) = pressures.get_mut(&dropped.model) {
                    pressure.copies -= 1;
                }
            }
            for loaded in &swap.steps.load {
                if let Some(pressure) = pressures.get_mut(&loaded.model) {
                    pressure.copies += 1;
                }
            }
            cold_loads -= usize::from(swap.steps.is_cold);
            swap.log(&pressures);
            steps.insert(swap.runner, swap.steps);
        }
        self.fill(&mut pressures, steps);
    }

    fn max_swaps(&self) -> usize {
        (self.runners.len() as f64 * SWAP_SHARE).ceil() as usize
    }

    /// The runner on which one more copy of `model` gains most, with what makes room there.
    fn best_swap(
        &self,
        model: &Model,
        pressures: &HashMap<Name, Pressure>,
        steps: &HashMap<Name, Steps>,
        cold_loads: usize,
    ) -> Option<Swap> {
        let free = self.runners.iter().filter(|runner| {
            !runner.is_working
                && runner.coming.is_none()
                && !runner.models.contains(&model.name)
                && !steps.contains_key(&runner.id)
        });
        let pressure = pressures[&model.name];
        let gain = pressure.gain();
        let min_gain = if pressure.copies == 0 {
            MIN_FIRST_GAIN
        } else {
            MIN_GAIN
        };
        let swaps = free.filter_map(|runner| {
            let is_cold = !runner.has_at_hand(&model.name);
            if is_cold && cold_loads == 0 {
                return None;
            }
            let (drop, loss) = self.room_for(model, runner, pressures)?;
            let cold = if is_cold { COLD_COST } else { 0.0 };
            let in_flight = drop.iter().filter_map(|model| runner.in_flight.get(model));
            let waits: u32 = in_flight.sum();
            Some(Swap {
                gain: gain - loss - cold - f64::from(waits) * DROP_COST,
                runner: runner.id.clone(),
                steps: Steps {
                    drop: drop.into_iter().map(whole).collect(),
                    load: vec![whole(model.name.clone())],
                    is_cold,
                },
            })
        });
        let best = swaps.max_by(|left, right| left.gain.total_cmp(&right.gain))?;
        (best.gain >= min_gain).then_some(best)
    }

    /// What is dropped on a runner for `model` to fit, and the loss; `None` if it never does.
    fn room_for(
        &self,
        model: &Model,
        runner: &RunnerView,
        pressures: &HashMap<Name, Pressure>,
    ) -> Option<(Vec<Name>, f64)> {
        let mut victims: Vec<(f64, &Name)> = runner
            .models
            .iter()
            .filter(|held| !runner.settling.contains(held))
            .map(|held| {
                let pressure = pressures.get(held).copied().unwrap_or_default();
                let lacks = pressure.copies <= self.copies_for_adapters(held);
                let lack = if lacks { ADAPTER_LACK } else { 0.0 };
                (pressure.loss() + lack, held)
            })
            .collect();
        victims.sort_by(|left, right| left.0.total_cmp(&right.0));
        let mut free_mb = self.free_mb(runner);
        let mut drop = Vec::new();
        let mut lost = 0.0;
        let mut victims = victims.into_iter();
        while free_mb < model.weights_mb {
            let (loss, victim) = victims.next()?;
            free_mb += self.size_mb(victim);
            lost += loss;
            drop.push(victim.clone());
        }
        Some((drop, lost))
    }

    /// The copies of a model that hold all its adapters.
    fn copies_for_adapters(&self, model: &str) -> usize {
        let adapters = self.engine.model(model).map_or(0, |model| model.adapters);
        adapters.div_ceil(self.engine.adapter_slots.max(1)) as usize
    }

    /// Fills runners that have room left with the model that is most wanted for each copy.
    fn fill(&self, pressures: &mut HashMap<Name, Pressure>, steps: &mut HashMap<Name, Steps>) {
        for runner in self.runners {
            if runner.is_working || runner.coming.is_some() || steps.contains_key(&runner.id) {
                continue;
            }
            let fitting = self.engine.models.iter().filter(|model| {
                let is_at_hand =
                    runner.in_memory.contains(&model.name) || runner.on_disk.contains(&model.name);
                !runner.models.contains(&model.name)
                    && (is_at_hand || self.cold_loads > FILL_RESERVE)
                    && self.free_mb(runner) >= model.weights_mb
            });
            let wanted = fitting.max_by(|left, right| {
                let worth = |model: &Model| {
                    let pressure = pressures[&model.name];
                    let lacks = pressure.copies < self.copies_for_adapters(&model.name);
                    (pressure.each(), lacks, runner.has_at_hand(&model.name))
                };
                let (left, right) = (worth(left), worth(right));
                left.partial_cmp(&right)
                    .unwrap_or(std::cmp::Ordering::Equal)
            });
            let Some(model) = wanted else {
                continue;
            };
            if let Some(pressure) = pressures.get_mut(&model.name) {
                pressure.copies += 1;
            }
            let is_cold =
                !runner.in_memory.contains(&model.name) && !runner.on_disk.contains(&model.name);
            let fill = Steps {
                drop: Vec::new(),
                load: vec![whole(model.name.clone())],
                is_cold,
            };
            steps.insert(runner.id.clone(), fill);
        }
    }

    /// Room for models on a runner.
    fn free_mb(&self, runner: &RunnerView) -> f64 {
        let held = runner.models.iter().map(|held| self.size_mb(held));
        self.engine.weights_mb - self.adapter_room_mb() - held.sum::<f64>()
    }

    fn size_mb(&self, model: &str) -> f64 {
        let model = self.engine.model(model);
        // A model that the configuration does not list fills the runner, to be safe.
        model.map_or(self.engine.weights_mb, |model| model.weights_mb)
    }

    /// Room that adapters may need beside the models.
    fn adapter_room_mb(&self) -> f64 {
        let sizes = self.engine.models.iter().map(|model| model.adapter_mb);
        sizes.fold(0.0, f64::max) * f64::from(self.engine.adapter_slots)
    }

    fn plan_adapters(&self, steps: &mut HashMap<Name, Steps>) {
        let mut views: Vec<RunnerView> = self
            .runners
            .iter()
            .filter(|runner| !runner.is_working && !steps.contains_key(&runner.id))
            .cloned()
            .collect();
        let mut placed: HashMap<Weights, usize> = HashMap::new();
        for runner in self.runners {
            for adapter in &runner.adapters {
                *placed.entry(adapter.clone()).or_default() += 1;
            }
        }
        for wanted in self.wanted_adapters(&placed) {
            let rate = self.demand.get(&wanted).copied().unwrap_or_default();
            let copies = placed.get(&wanted).copied().unwrap_or(0);
            let is_crowded = rate.tokens_per_s / (copies.max(1) as f64) > ADAPTER_CROWDED;
            if copies > 0 && !is_crowded {
                continue;
            }
            let is_asked_for = rate.waiting > 0 || rate.tokens_per_s > 0.0;
            self.place_adapter(&wanted, copies == 0 && is_asked_for, &mut views, steps);
        }
    }

    /// All adapters of models that some runner holds, the most wanted first.
    fn wanted_adapters(&self, placed: &HashMap<Weights, usize>) -> Vec<Weights> {
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
                let is_missing = !placed.contains_key(weights);
                (is_missing, rate.waiting, rate.tokens_per_s)
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
        steps: &mut HashMap<Name, Steps>,
    ) {
        let slots = self.engine.adapter_slots as usize;
        let fitting = views.iter_mut().filter(|runner| {
            let coming = steps.get(&runner.id).map_or(0, |steps| steps.load.len());
            runner.models.contains(&wanted.model)
                && !runner.adapters.contains(wanted)
                && coming < MAX_ADAPTERS_COMING
        });
        let Some(runner) = fitting.min_by_key(|runner| runner.adapters.len()) else {
            return;
        };
        let mut drop = Vec::new();
        if runner.adapters.len() >= slots {
            // What this very plan loads is no victim: drops are carried out before loads.
            let planned = steps.get(&runner.id).map_or(&[][..], |steps| &steps.load);
            let Some(victim) = may_evict
                .then(|| self.idlest_adapter(runner, wanted, planned))
                .flatten()
            else {
                return;
            };
            runner.adapters.retain(|held| *held != victim);
            drop.push(victim);
        }
        runner.adapters.push(wanted.clone());
        let steps = steps.entry(runner.id.clone()).or_default();
        steps.drop.extend(drop);
        steps.load.push(wanted.clone());
    }

    /// The adapter on a runner that is asked for least, if less than `wanted`.
    fn idlest_adapter(
        &self,
        runner: &RunnerView,
        wanted: &Weights,
        planned: &[Weights],
    ) -> Option<Weights> {
        let rate = |weights: &Weights| {
            let rate = self.demand.get(weights).copied().unwrap_or_default();
            rate.tokens_per_s + f64::from(rate.waiting) * 1_000.0
        };
        let held = runner
            .adapters
            .iter()
            .filter(|held| !planned.contains(held));
        let idlest = held.min_by(|left, right| rate(left).total_cmp(&rate(right)))?;
        (rate(idlest) < rate(wanted)).then(|| idlest.clone())
    }
}

/// The model itself, without an adapter.
fn whole(model: Name) -> Weights {
    Weights {
        model,
        adapter: None,
    }
}
