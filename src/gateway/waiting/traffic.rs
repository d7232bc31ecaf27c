//! How often requests of each priority arrive at this VM, and how many are sent in time.

use crate::gateway::waiting::reserve::MIN_PATIENCE_RATIO;
use crate::inventory::Name;
use std::cell::RefCell;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Time constant of the decay. A VM of a large fleet gets a few requests of a kind per second.
const DECAY_TIME: Duration = Duration::from_secs(5);
/// Ended requests, decayed, below which the share that was sent in time is not known.
const MIN_ENDED: f64 = 3.0;

/// The requests of one priority of a service.
#[derive(Clone, Copy, Debug)]
struct Kind {
    arrived: f64,
    ended: f64,
    in_time: f64,
    /// The shortest target among those that arrived lately.
    target: Duration,
    updated_at: Instant,
}

impl Kind {
    fn decayed(mut self, now: Instant) -> Self {
        let age = now.saturating_duration_since(self.updated_at);
        let factor = (-age.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp();
        self.arrived *= factor;
        self.ended *= factor;
        self.in_time *= factor;
        self.updated_at = now;
        self
    }

    fn in_time_share(&self) -> Option<f64> {
        (self.ended >= MIN_ENDED).then(|| self.in_time / self.ended)
    }
}

/// The requests for streams that this VM receives, by service and priority.
#[derive(Debug, Default)]
pub(crate) struct Traffic {
    kinds: RefCell<HashMap<(Name, u32), Kind>>,
}

impl Traffic {
    /// Counts a request that has arrived.
    pub(crate) fn note_arrival(
        &self,
        service: &Name,
        priority: u32,
        target: Duration,
        now: Instant,
    ) {
        self.update(service, priority, now, |kind| {
            kind.target = match kind.arrived < MIN_ENDED {
                true => target,
                false => kind.target.min(target),
            };
            kind.arrived += 1.0;
        });
    }

    /// Counts a request that was sent or refused, and whether it was sent in time.
    pub(crate) fn note_end(&self, service: &Name, priority: u32, is_in_time: bool, now: Instant) {
        self.update(service, priority, now, |kind| {
            kind.ended += 1.0;
            kind.in_time += f64::from(u8::from(is_in_time));
        });
    }

    /// Returns the rate of arrivals that are more urgent than a priority and can wait for much less
    /// time than a target, in requests per second.
    pub(crate) fn urgent_per_s(
        &self,
        service: &Name,
        priority: u32,
        target: Duration,
        now: Instant,
    ) -> f64 {
        let kinds = self.kinds.borrow();
        let urgent = kinds.iter().filter(|((of_service, of_priority), kind)| {
            let is_pressing = kind.target.mul_f64(MIN_PATIENCE_RATIO) <= target;
            of_service == service && *of_priority < priority && is_pressing
        });
        let arrived: f64 = urgent.map(|(_, kind)| kind.decayed(now).arrived).sum();
        arrived / DECAY_TIME.as_secs_f64()
    }

    /// Whether no more urgent kind of a service is sent in time less often than this one.
    pub(crate) fn may_advance(&self, service: &Name, priority: u32, now: Instant) -> bool {
        let kinds = self.kinds.borrow();
        let share = |kind: &Kind| kind.decayed(now).in_time_share();
        let own = kinds.get(&(service.clone(), priority)).and_then(share);
        let own = own.unwrap_or(0.0);
        let urgent = kinds.iter().filter(|((of_service, of_priority), _)| {
            of_service == service && *of_priority < priority
        });
        urgent
            .filter_map(|(_, kind)| share(kind))
            .all(|urgent| urgent >= own)
    }

    fn update(&self, service: &Name, priority: u32, now: Instant, change: impl Fn(&mut Kind)) {
        let mut kinds = self.kinds.borrow_mut();
        let kind = kinds
            .entry((service.clone(), priority))
            .or_insert_with(|| Kind {
                arrived: 0.0,
                ended: 0.0,
                in_time: 0.0,
                target: Duration::ZERO,
                updated_at: now,
            });
        *kind = kind.decayed(now);
        change(kind);
    }
}
