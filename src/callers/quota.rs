//! What an organisation may ask for, and how exactly that is kept.

use std::time::Duration;

/// What requests are counted in.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Measure {
    /// Each request counts as one.
    Requests,
    /// A request counts as the tokens that it tells, those of its prompt and the most that may
    /// be generated.
    Tokens {
        /// What a request counts as that tells none.
        default_tokens: f64,
    },
}

/// What an organisation may ask for over all VMs together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Quota {
    /// What is counted.
    pub(crate) measure: Measure,
    /// The amount a second, on average.
    pub(crate) rate_per_s: f64,
    /// The amount that may be asked for at once after a pause.
    pub(crate) burst: f64,
}

impl Quota {
    /// What a request counts as that tells so many tokens, or none.
    pub(crate) fn amount(&self, tokens: Option<f64>) -> f64 {
        match self.measure {
            Measure::Requests => 1.0,
            Measure::Tokens { default_tokens } => tokens.unwrap_or(default_tokens),
        }
    }
}

/// How exactly quotas are kept, over all VMs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct QuotaBounds {
    /// The window over which grants are counted.
    pub(crate) window: Duration,
    /// The part of what a window allows that may be granted beyond it.
    pub(crate) overage: f64,
    /// The amount that may be granted beyond that.
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
