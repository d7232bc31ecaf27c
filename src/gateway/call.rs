//! One request under way.

use crate::gateway::failure::Failure;
use crate::gateway::{Ask, Route, Weights};
use crate::inventory::Name;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// One request under way.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) ask: Ask,
    pub(crate) route: Rc<Route>,
    pub(crate) service: Name,
    pub(crate) arrived: Instant,
    /// When the caller, or the operator, wants it ended.
    pub(crate) deadline: Instant,
    pub(crate) fingerprint: u64,
    /// Servers that may have begun it.
    pub(crate) runs: u32,
    /// Servers that refused it without running it.
    pub(crate) refused: u32,
    /// Servers that it was sent to.
    pub(crate) tried: Vec<Name>,
}

impl Call {
    /// The time that is left.
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Whether it may be begun at one more server.
    pub(crate) fn may_run_again(&self) -> bool {
        self.route.is_repeatable() && self.runs < self.route.max_attempts
    }

    /// The weights that it needs; plain calls need none.
    pub(crate) fn weights(&self) -> Option<Weights> {
        let generation = self.ask.generation.as_ref()?;
        Some(Weights {
            model: generation.model.clone(),
            adapter: generation.adapter.clone(),
        })
    }

    /// The model that it asks for; empty for plain calls.
    pub(crate) fn model(&self) -> Name {
        let generation = self.ask.generation.as_ref();
        generation.map_or_else(Name::default, |generation| generation.model.clone())
    }

    /// The failure once its time is up.
    pub(crate) fn late(&self) -> Failure {
        if self.runs > 0 {
            Failure::TimedOut
        } else {
            Failure::Late
        }
    }
}
