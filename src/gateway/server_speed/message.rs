//! Evidence on the speed of servers in gossip messages.

use crate::gateway::server_speed::evidence::Evidence;
use prost::Message;
use std::time::Duration;

/// Bounds on a logarithm: times from a tenth of a millisecond to two hours.
const MEAN_BOUNDS: (f64, f64) = (-9.0, 9.0);
/// Units of a logarithm, of a weight and of an age in messages.
const MEANS_PER_UNIT: f64 = 100.0;
const WEIGHTS_PER_UNIT: f64 = 20.0;
const AGE_UNIT: Duration = Duration::from_millis(100);

/// What the sender, or its zone, has seen of the effects of some servers and of the usual times of
/// some kinds of work. All lists are in the same order.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct ServerSpeedsPart {
    /// The short ids of runs of servers and of kinds of work.
    #[prost(fixed32, repeated, tag = "1")]
    ids: Vec<u32>,
    /// The logarithm of the time relative to the usual one, or of the usual time, in hundredths.
    #[prost(sint32, repeated, tag = "2")]
    means: Vec<i32>,
    /// The weight of the evidence, in twentieths of a long stream.
    #[prost(uint32, repeated, tag = "3")]
    weights: Vec<u32>,
    /// The time since the latest observation, in tenths of a second.
    #[prost(uint32, repeated, tag = "4")]
    ages: Vec<u32>,
}

impl ServerSpeedsPart {
    pub(super) fn of(figures: &[(u32, Evidence)]) -> Self {
        let evidence = figures.iter().map(|(_, it)| it);
        Self {
            ids: figures.iter().map(|(id, _)| *id).collect(),
            means: evidence
                .clone()
                .map(|it| (it.mean * MEANS_PER_UNIT).round() as i32)
                .collect(),
            weights: evidence
                .clone()
                .map(|it| (it.weight * WEIGHTS_PER_UNIT).round() as u32)
                .collect(),
            ages: evidence
                .map(|it| it.age.div_duration_f64(AGE_UNIT) as u32)
                .collect(),
        }
    }

    /// The figures by short id. A logarithm beyond the bounds counts as the bound.
    pub(super) fn figures(&self) -> impl Iterator<Item = (u32, Evidence)> {
        let figures = self.means.iter().zip(&self.weights).zip(&self.ages);
        let figures = figures.map(|((mean, weight), age)| Evidence {
            mean: (f64::from(*mean) / MEANS_PER_UNIT).clamp(MEAN_BOUNDS.0, MEAN_BOUNDS.1),
            weight: f64::from(*weight) / WEIGHTS_PER_UNIT,
            age: AGE_UNIT.saturating_mul(*age),
        });
        self.ids.iter().copied().zip(figures)
    }
}
