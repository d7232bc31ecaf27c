//! Open-loop load of an agency's day in a minute, from a seed.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

/// The part of the run after which the popularity of models shifts.
pub const SHIFT_AT: f64 = 0.4;
/// The part of the run in which the burst lies.
pub const BURST: std::ops::Range<f64> = 0.7..0.85;
/// How much more popular the most popular model is than others.
const HOT_WEIGHT: f64 = 10.0;
/// Models popular at a time.
const HOT_MODELS: usize = 2;

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// The caller's name in the inventory.
    pub caller: &'static str,
    /// Requests a second, outside of bursts.
    pub rate_per_s: f64,
    /// The factor of the rate in the burst.
    pub burst_factor: f64,
    /// Tokens of an answer.
    pub tokens: u32,
    /// The deadline for the first token.
    pub first_token: Option<Duration>,
    /// The deadline for the whole answer.
    pub whole: Duration,
}

/// One request to come.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When it comes, from the start of the run.
    pub at: Duration,
    /// The model, or `model/adapter`.
    pub model: String,
    /// The index of its class.
    pub class: usize,
    /// The index of the VM it comes to.
    pub vm: usize,
}

/// What the load is drawn from.
#[derive(Clone, Debug)]
pub struct Traffic {
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// Models of the inventory, each with its adapters' names.
    pub models: Vec<(String, Vec<String>)>,
    /// VMs that take requests.
    pub vms: usize,
    /// How long the run is.
    pub length: Duration,
}

impl Traffic {
    /// Draws all arrivals of a run, in the order of their times.
    pub fn draw(&self, seed: u64) -> Vec<Arrival> {
        let mut random = StdRng::seed_from_u64(seed);
        let mut arrivals = Vec::new();
        for class in 0..self.classes.len() {
            self.draw_class(class, &mut random, &mut arrivals);
        }
        arrivals.sort_by_key(|arrival| arrival.at);
        arrivals
    }

    fn draw_class(&self, class: usize, random: &mut StdRng, arrivals: &mut Vec<Arrival>) {
        let shape = &self.classes[class];
        let length_s = self.length.as_secs_f64();
        let mut at_s = 0.0;
        loop {
            let part = at_s / length_s;
            let in_burst = BURST.contains(&part);
            let factor = if in_burst { shape.burst_factor } else { 1.0 };
            let gap = -(1.0 - random.random::<f64>()).ln();
            at_s += gap / (shape.rate_per_s * factor);
            if at_s >= length_s {
                return;
            }
            arrivals.push(Arrival {
                at: Duration::from_secs_f64(at_s),
                model: self.draw_model(part, random),
                class,
                vm: random.random_range(0..self.vms),
            });
        }
    }

    /// A model by its popularity at a part of the run; half of the requests name an adapter.
    fn draw_model(&self, part: f64, random: &mut StdRng) -> String {
        let weights: Vec<f64> = (0..self.models.len())
            .map(|index| popularity(index, part))
            .collect();
        let mut place = random.random::<f64>() * weights.iter().sum::<f64>();
        let index = weights
            .iter()
            .position(|weight| {
                place -= weight;
                place < 0.0
            })
            .unwrap_or(0);
        let (model, adapters) = &self.models[index];
        if adapters.is_empty() || random.random::<bool>() {
            return model.clone();
        }
        let adapter = random.random_range(0..adapters.len());
        format!("{model}/{}", adapters[adapter])
    }
}

/// How popular the nth model is: the first ones until the shift, the next ones after it.
fn popularity(index: usize, part: f64) -> f64 {
    let hot = if part < SHIFT_AT {
        0..HOT_MODELS
    } else {
        HOT_MODELS..2 * HOT_MODELS
    };
    if hot.contains(&index) {
        HOT_WEIGHT
    } else {
        1.0
    }
}
