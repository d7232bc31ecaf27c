//! Order in which waiting requests get a free slot.
//!
//! By priority, then by the latest time at which the request can be sent and still be in time.
//! Requests that can no longer be in time come after all that can, since sending them sooner gains
//! nothing; until their hold ends they also leave free slots to others. A request that can wait for seconds loses to each more urgent arrival under steady load,
//! so it counts as one of the most urgent shortly before it would be late, provided that its kind is
//! not already served more often than more urgent ones.

use std::cmp::Ordering;
use std::time::{Duration, Instant};

/// The part of the time that a request can wait, at its end, in which it counts as one of the most
/// urgent.
pub(super) const LAST_CHANCE_SHARE: f64 = 0.2;
/// The priority of the most urgent requests.
const MOST_URGENT: u32 = 0;

/// What decides on the place of a request among those that wait.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Urgency {
    /// The priority; 0 is the most urgent.
    pub(crate) priority: u32,
    /// When the request arrived.
    pub(crate) arrived: Instant,
    /// The latest time at which the request can be sent and still be in time.
    pub(crate) send_by: Instant,
    /// Until when the request leaves the last slots of a runner to more urgent ones.
    pub(crate) yields_until: Instant,
    /// Whether requests of its kind are served less often than all more urgent ones.
    pub(crate) may_advance: bool,
}

impl Urgency {
    /// Whether the request leaves the last slots of a runner to more urgent ones: it has much time,
    /// or can no longer be in time.
    pub(crate) fn yields(&self, now: Instant) -> bool {
        now < self.yields_until || self.is_late(now)
    }

    /// Whether the request can no longer be in time.
    fn is_late(&self, now: Instant) -> bool {
        self.send_by < now
    }

    /// Returns the priority; the least urgent one for a request that can no longer be in time.
    pub(crate) fn effective_priority(&self, now: Instant) -> u32 {
        match self.is_late(now) {
            true => u32::MAX,
            false => self.priority,
        }
    }

    /// Compares the places of two requests; the lesser goes first.
    pub(super) fn compare(&self, other: &Self, now: Instant) -> Ordering {
        self.is_late(now)
            .cmp(&other.is_late(now))
            .then(self.level(now).cmp(&other.level(now)))
            .then(self.send_by.cmp(&other.send_by))
    }

    fn level(&self, now: Instant) -> u32 {
        let left = self.send_by.saturating_duration_since(now);
        let whole = self.send_by.saturating_duration_since(self.arrived);
        let is_last_chance = left > Duration::ZERO && left < whole.mul_f64(LAST_CHANCE_SHARE);
        match is_last_chance && self.may_advance {
            true => MOST_URGENT,
            false => self.priority,
        }
    }
}
