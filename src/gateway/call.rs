//! One request under way.

use crate::callers::Organisation;
use crate::gateway::failure::Failure;
use crate::gateway::grant::Grant;
use crate::gateway::hold_time::RequestTiming;
use crate::gateway::{CallerRequest, Route, Weights};
use crate::inventory::Name;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// What a request costs a runner.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Cost {
    /// The time in which its prompt is read and nothing else goes on, in milliseconds.
    pub(crate) read_ms: f64,
    /// With it, its share of the time in which all streams go on, in milliseconds.
    pub(crate) busy_ms: f64,
    /// How long its stream lasts from the first event on, in milliseconds.
    pub(crate) stream_ms: f64,
}

/// How a request was sent to a runner.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sending {
    pub(crate) at: Instant,
    /// Whether it met no other prompt there and a free place, as far as was known.
    pub(crate) is_alone: bool,
}

/// One request under way.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) ask: CallerRequest,
    pub(crate) cost: Cost,
    /// The last sending.
    pub(crate) sending: Option<Sending>,
    pub(crate) route: Rc<Route>,
    /// The caller's organisation, where the configuration has any.
    pub(crate) organisation: Option<Rc<Organisation>>,
    /// Its part of the organisation's quota, if that has any.
    pub(crate) grant: Option<Grant>,
    pub(crate) service: Name,
    pub(crate) arrived: Instant,
    /// When the caller, or the operator, wants it ended.
    pub(crate) deadline: Instant,
    pub(crate) fingerprint: u64,
    /// Servers that may have begun it.
    pub(crate) runs: u32,
    /// Whether a retry was taken from the budget and not used yet.
    pub(crate) has_retry: Cell<bool>,
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

    /// Notes whether a server may run it, or has: only then does it use up its grant.
    pub(crate) fn note_running(&mut self, may_run: bool) {
        let may_have_run = may_run || self.runs > 0;
        if let Some(grant) = &mut self.grant {
            grant.may_have_run = may_have_run;
        }
    }

    /// The name of the caller's organisation; empty where there is none.
    pub(crate) fn organisation_name(&self) -> &str {
        let organisation = self.organisation.as_ref();
        organisation.map_or("", |organisation| organisation.name.as_str())
    }

    /// Its rank; 0 is the most urgent.
    pub(crate) fn priority(&self) -> u32 {
        let organisation = self.organisation.as_ref();
        let own = organisation.and_then(|organisation| organisation.priority);
        own.unwrap_or(self.route.priority)
    }

    /// The times that bear on its beginning.
    pub(crate) fn patience(&self) -> RequestTiming {
        RequestTiming {
            arrived: self.arrived,
            target: Duration::from_millis(self.route.target_latency_ms),
            max_pause: Duration::from_millis(self.route.max_pause_ms),
            deadline: self.deadline,
        }
    }

    /// How long its prompt is read.
    pub(crate) fn read_time(&self) -> Duration {
        Duration::from_secs_f64(self.cost.read_ms / 1_000.0)
    }

    /// Until when it may be held: its caller must not have left, and the answer must fit in.
    pub(crate) fn hold_until(&self) -> Instant {
        let answer = Duration::from_secs_f64(self.cost.stream_ms / 1_000.0) + self.read_time();
        let latest = self.deadline.checked_sub(answer).unwrap_or(self.arrived);
        self.patience().hold_limit().min(latest).max(self.arrived)
    }

    /// How long it may be held in all.
    pub(crate) fn hold_time(&self) -> Duration {
        self.hold_until() - self.arrived
    }

    /// Whether no server has begun it, and its caller has nothing of an answer yet.
    pub(crate) fn is_new(&self) -> bool {
        self.runs == 0 && self.ask.last_event.is_none()
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
