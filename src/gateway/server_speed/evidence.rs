//! What some VMs have seen of the effect of one server or of the usual time of one kind of work.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// The time in which evidence loses half of its weight. Servers keep their speed while they run; it
/// limits how long a speed that changed after all, or a VM that ended, still counts.
pub(super) const HALF_LIFE: Duration = Duration::from_secs(30);
/// The age of the latest observation at which evidence no longer counts.
pub(super) const MAX_AGE: Duration = Duration::from_secs(120);
/// The largest effect that evidence may state, as a logarithm: a factor of 4.5. A greater one is a
/// fault of the server or of the VM, which slowness does not describe.
pub(super) const MAX_EFFECT: f64 = 1.5;

/// Evidence by the short id of a server or a kind of work.
pub(super) type Figures = HashMap<u32, Evidence>;

/// Adds evidence to other evidence.
pub(super) fn add(sums: &mut Figures, figures: &Figures) {
    for (id, evidence) in figures {
        let sum = sums.entry(*id).or_default();
        *sum = sum.merged(*evidence);
    }
}

/// A mean with its weight and age.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Evidence {
    /// The mean of the logarithms: of times in seconds, or of times relative to the usual ones.
    pub(crate) mean: f64,
    /// The weight, in long streams.
    pub(crate) weight: f64,
    /// The time since the latest observation.
    pub(crate) age: Duration,
}

impl Evidence {
    /// The evidence of both.
    pub(super) fn merged(self, other: Self) -> Self {
        let weight = self.weight + other.weight;
        if weight <= 0.0 {
            return Self::default();
        }
        let age = match (self.weight > 0.0, other.weight > 0.0) {
            (true, true) => self.age.min(other.age),
            (true, false) => self.age,
            (false, _) => other.age,
        };
        Self {
            mean: (self.mean * self.weight + other.mean * other.weight) / weight,
            weight,
            age,
        }
    }

    /// What the evidence that was received at a time is worth now.
    pub(super) fn aged(self, at: Instant, now: Instant) -> Self {
        let elapsed = now.saturating_duration_since(at);
        let age = self.age + elapsed;
        let weight = match age < MAX_AGE {
            true => self.weight * decay(elapsed),
            false => 0.0,
        };
        Self {
            weight,
            age,
            ..self
        }
    }
}

/// The share of its weight that evidence keeps over a time.
pub(super) fn decay(elapsed: Duration) -> f64 {
    0.5_f64.powf(elapsed.div_duration_f64(HALF_LIFE))
}
