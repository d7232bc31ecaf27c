//! Measures the demand for each model as exponentially decaying rates.

use crate::gateway::Weights;
use crate::gateway::demand_rate::DemandRate;
use std::cell::RefCell;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Time constant of the decay: half of a change in demand shows after 0.7 of this time.
const DECAY_TIME: Duration = Duration::from_millis(1_500);
/// Rates below this are removed.
const MIN_REQUESTS_PER_S: f64 = 0.001;

#[derive(Clone, Copy, Debug)]
struct DecayingRate {
    wanted: DemandRate,
    updated_at: Instant,
}

impl DecayingRate {
    fn decayed(self, now: Instant) -> DemandRate {
        let age = now.saturating_duration_since(self.updated_at).as_secs_f64();
        let factor = (-age / DECAY_TIME.as_secs_f64()).exp();
        DemandRate {
            busy_ms_per_s: self.wanted.busy_ms_per_s * factor,
            requests_per_s: self.wanted.requests_per_s * factor,
            waiting: 0,
        }
    }
}

/// The demand of the requests that this VM receives.
#[derive(Debug, Default)]
pub(crate) struct Demand {
    rates: RefCell<HashMap<Weights, DecayingRate>>,
}

impl Demand {
    /// Counts a request for `weights` that keeps a runner busy for `busy_ms`.
    pub(crate) fn note(&self, weights: &Weights, busy_ms: f64, now: Instant) {
        let mut rates = self.rates.borrow_mut();
        let before = rates.get(weights).map(|rate| rate.decayed(now));
        let mut wanted = before.unwrap_or_default();
        wanted.busy_ms_per_s += busy_ms / DECAY_TIME.as_secs_f64();
        wanted.requests_per_s += 1.0 / DECAY_TIME.as_secs_f64();
        rates.insert(
            weights.clone(),
            DecayingRate {
                wanted,
                updated_at: now,
            },
        );
    }

    /// Returns the current rates.
    pub(crate) fn rates(&self, now: Instant) -> Vec<(Weights, DemandRate)> {
        let mut rates = self.rates.borrow_mut();
        rates.retain(|_, rate| rate.decayed(now).requests_per_s >= MIN_REQUESTS_PER_S);
        let rates = rates.iter();
        rates
            .map(|(weights, rate)| (weights.clone(), rate.decayed(now)))
            .collect()
    }
}
