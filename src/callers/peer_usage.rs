//! What others told of their grants.

use crate::callers::UsageReport;
use crate::callers::usage::Usage;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// How long a telling counts whole at least; an older one fades over the quota's window.
const MIN_FRESH: Duration = Duration::from_millis(1_000);
/// Tellings of a VM after which the one before counts whole no more, where it speaks seldom.
const FRESH_TELLINGS: f64 = 2.5;

/// What a VM, or a zone, told last, with the moment of each figure.
#[derive(Debug)]
pub(super) struct Told {
    pub(super) at: Instant,
    /// How long a figure counts whole.
    fresh_for: Duration,
    pub(super) vms: u32,
    pub(super) remembering_vms: f64,
    pub(super) usages: HashMap<u32, (Usage, Instant)>,
}

impl Told {
    /// Whether its sender still counts as heard.
    pub(super) fn is_fresh(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.at) < self.fresh_for
    }

    /// The part of an organisation's figures that counts, and these.
    pub(super) fn figures(&self, id: u32, window: Duration, now: Instant) -> Option<(f64, &Usage)> {
        let (usage, at) = self.usages.get(&id)?;
        let age = now.saturating_duration_since(*at);
        let stale = age.saturating_sub(self.fresh_for);
        let part = 1.0 - stale.as_secs_f64() / window.as_secs_f64();
        (part > 0.0).then_some((part, usage))
    }

    /// Drops the figures that count no more; tells whether anything is left to wait for.
    pub(super) fn prune(&mut self, window: Duration, now: Instant) -> bool {
        let limit = self.fresh_for + window;
        let counts = |at: Instant| now.saturating_duration_since(at) < limit;
        self.usages.retain(|_, (_, at)| counts(*at));
        counts(self.at)
    }

    /// Nothing told yet.
    pub(super) fn nothing(now: Instant) -> Self {
        Self {
            at: now,
            fresh_for: MIN_FRESH,
            vms: 0,
            remembering_vms: 0.0,
            usages: HashMap::new(),
        }
    }

    /// Takes over a tally, whose sender will tell again after `next_in`.
    pub(super) fn take(&mut self, tally: UsageReport, next_in: Duration, now: Instant) {
        self.at = now;
        self.fresh_for = MIN_FRESH.max(next_in.mul_f64(FRESH_TELLINGS));
        self.vms = tally.vms;
        self.remembering_vms = tally.remembering_vms;
        let figures = tally.usages.into_iter();
        self.usages
            .extend(figures.map(|(id, usage)| (id, (usage, now))));
    }
}
