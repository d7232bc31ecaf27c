//! What requests ask of each model, as rates that fade.

use crate::gateway::Weights;
use crate::gateway::peers::DemandRate;
use std::cell::RefCell;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// How fast a rate follows: half of a shift of demand shows after 0.7 of this.
const FADE: Duration = Duration::from_millis(1_500);
/// A rate below this is forgotten.
const MIN_REQUESTS_PER_S: f64 = 0.001;

#[derive(Clone, Copy, Debug)]
struct Rate {
    wanted: DemandRate,
    at: Instant,
}

impl Rate {
    fn now(self, now: Instant) -> DemandRate {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        let left = (-age / FADE.as_secs_f64()).exp();
        DemandRate {
            busy_ms_per_s: self.wanted.busy_ms_per_s * left,
            requests_per_s: self.wanted.requests_per_s * left,
            waiting: 0,
        }
    }
}

/// The demand that this VM sees.
#[derive(Debug, Default)]
pub(crate) struct Demand {
    rates: RefCell<HashMap<Weights, Rate>>,
}

impl Demand {
    /// Counts a request for some weights that keeps a runner busy for so long.
    pub(crate) fn note(&self, weights: &Weights, busy_ms: f64, now: Instant) {
        let mut rates = self.rates.borrow_mut();
        let before = rates.get(weights).map(|rate| rate.now(now));
        let mut wanted = before.unwrap_or_default();
        wanted.busy_ms_per_s += busy_ms / FADE.as_secs_f64();
        wanted.requests_per_s += 1.0 / FADE.as_secs_f64();
        rates.insert(weights.clone(), Rate { wanted, at: now });
    }

    /// The rates now.
    pub(crate) fn rates(&self, now: Instant) -> Vec<(Weights, DemandRate)> {
        let mut rates = self.rates.borrow_mut();
        rates.retain(|_, rate| rate.now(now).requests_per_s >= MIN_REQUESTS_PER_S);
        let rates = rates.iter();
        rates
            .map(|(weights, rate)| (weights.clone(), rate.now(now)))
            .collect()
    }
}
