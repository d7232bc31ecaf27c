//! Quotas of organisations, and how precisely they are enforced.

use crate::callers::Urgency;
use std::time::Duration;

/// The unit in which a quota counts requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Measure {
    /// Each request counts as one.
    Requests,
    /// A request counts as the tokens that it declares: those of its prompt plus the maximum to be
    /// generated.
    Tokens {
        /// The number of tokens charged for a request that declares none.
        default_tokens: f64,
    },
}

/// The quota of an organisation, over all VMs together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Quota {
    /// The unit in which requests are counted.
    pub(crate) measure: Measure,
    /// The average amount per second.
    pub(crate) rate_per_s: f64,
    /// The amount that may be granted at once after a pause.
    pub(crate) burst: f64,
}

/// An amount that is charged against a quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Charge {
    /// The quota that limits the amount.
    pub(crate) quota: Quota,
    /// The amount, in the unit of the quota.
    pub(crate) amount: f64,
    /// The urgency of the request.
    pub(crate) urgency: Urgency,
}

impl Quota {
    /// Returns the charge for a request of the highest urgency that declares `tokens`, or none.
    pub(crate) fn charge(self, tokens: Option<f64>) -> Charge {
        let amount = match self.measure {
            Measure::Requests => 1.0,
            Measure::Tokens { default_tokens } => tokens.unwrap_or(default_tokens),
        };
        Charge {
            quota: self,
            amount,
            urgency: Urgency::default(),
        }
    }
}

impl Charge {
    /// Returns the charge for a request of an urgency.
    pub(crate) fn with_urgency(self, urgency: Urgency) -> Self {
        Self { urgency, ..self }
    }
}

/// How precisely quotas are enforced, over all VMs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct QuotaBounds {
    /// The sliding window over which grants are counted.
    pub(crate) window: Duration,
    /// The amount that may be granted beyond the quota of a window, as a fraction of that quota.
    pub(crate) overage: f64,
    /// The absolute amount that may be granted on top of `overage`.
    pub(crate) slack: f64,
}

impl Default for QuotaBounds {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(10),
            overage: 0.0,
            slack: 0.0,
        }
    }
}
