//! What requests ask of each model, as rates that fade.

use crate::gateway::Weights;
use std::cell::RefCell;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// How fast a rate follows: half of a shift of demand shows after 0.7 of this.
const FADE: Duration = Duration::from_millis(1_500);
/// A rate below this, in tokens a second, is forgotten.
const MIN_RATE: f64 = 0.5;

#[derive(Clone, Copy, Debug)]
struct Rate {
    tokens_per_s: f64,
    at: Instant,
}

impl Rate {
    fn now(self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        self.tokens_per_s * (-age / FADE.as_secs_f64()).exp()
    }
}

/// The demand that this VM sees.
#[derive(Debug, Default)]
pub(crate) struct Demand {
    rates: RefCell<HashMap<Weights, Rate>>,
}

impl Demand {
    /// Counts a request for some weights.
    pub(crate) fn note(&self, weights: &Weights, tokens: u32, now: Instant) {
        let mut rates = self.rates.borrow_mut();
        let before = rates.get(weights).map_or(0.0, |rate| rate.now(now));
        let rate = Rate {
            tokens_per_s: before + f64::from(tokens) / FADE.as_secs_f64(),
            at: now,
        };
        rates.insert(weights.clone(), rate);
    }

    /// The rates now, in tokens a second.
    pub(crate) fn rates(&self, now: Instant) -> Vec<(Weights, f64)> {
        let mut rates = self.rates.borrow_mut();
        rates.retain(|_, rate| rate.now(now) >= MIN_RATE);
        let rates = rates.iter();
        rates
            .map(|(weights, rate)| (weights.clone(), rate.now(now)))
            .collect()
    }
}
