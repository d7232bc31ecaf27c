//! The requests of this VM that wait, grouped by what they wait for.

use crate::gateway::Weights;
use crate::gateway::waiting::{Urgency, WaitingCount};
use crate::inventory::Name;
use std::cell::{Cell, RefCell};
use std::cmp::Ordering;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Instant;

/// What a request waits for: a runner of a service with weights loaded.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Need {
    pub(crate) service: Name,
    pub(crate) weights: Weights,
}

/// Waiting requests, by what they wait for.
#[derive(Debug, Default)]
pub(crate) struct WaitQueues {
    waiting: RefCell<HashMap<Need, Vec<Position>>>,
    next_arrival: Cell<u64>,
}

/// A request in the queue; leaves the queue when dropped.
#[derive(Debug)]
pub(crate) struct QueuedRequest {
    queues: Rc<WaitQueues>,
    need: Need,
    position: Position,
}

#[derive(Clone, Copy, Debug)]
struct Position {
    urgency: Urgency,
    /// Arrival number of the request; breaks ties.
    arrival: u64,
}

impl Position {
    fn is_before(&self, other: &Self, now: Instant) -> bool {
        let order = self.urgency.compare(&other.urgency, now);
        order.then(self.arrival.cmp(&other.arrival)) == Ordering::Less
    }

    /// Whether this request comes first at a runner that can serve both. One that leaves the last
    /// slots to others holds up only requests that do so too: these need the same free slots.
    fn holds_up(&self, other: &Self, now: Instant) -> bool {
        let competes = !self.urgency.yields(now) || other.urgency.yields(now);
        competes && self.is_before(other, now)
    }
}

/// The number of waiting requests that come before a request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Ahead {
    /// Those that wait for the same weights.
    pub(crate) same_weights: usize,
    /// Those for other weights on the runner in question.
    pub(crate) other_weights: usize,
}

fn count(positions: &[Position]) -> WaitingCount {
    let mut count = WaitingCount::default();
    for position in positions {
        count.add_one(position.urgency.priority);
    }
    count
}

impl WaitQueues {
    /// Adds a request.
    pub(crate) fn enqueue(self: &Rc<Self>, need: Need, urgency: Urgency) -> QueuedRequest {
        let position = self.new_position(urgency);
        self.next_arrival.set(position.arrival + 1);
        let mut waiting = self.waiting.borrow_mut();
        waiting.entry(need.clone()).or_default().push(position);
        QueuedRequest {
            queues: self.clone(),
            need,
            position,
        }
    }

    /// Counts the waiting requests that come before one that is not queued yet; `is_served` tells
    /// whether the runner in question can serve what others need.
    pub(crate) fn ahead_of_new(
        &self,
        need: &Need,
        urgency: Urgency,
        is_served: impl Fn(&Need) -> bool,
        now: Instant,
    ) -> Ahead {
        self.ahead_of(need, &self.new_position(urgency), is_served, now)
    }

    /// Returns the number of requests that wait for the same.
    pub(crate) fn count(&self, need: &Need) -> WaitingCount {
        let waiting = self.waiting.borrow();
        waiting.get(need).map(|it| count(it)).unwrap_or_default()
    }

    /// Returns the number of waiting requests by what they wait for, the largest first. Those that
    /// can no longer be in time count as the least urgent.
    pub(crate) fn counts(&self, now: Instant) -> Vec<(Need, WaitingCount)> {
        let waiting = self.waiting.borrow();
        let counts = waiting.iter().map(|(need, positions)| {
            let mut count = WaitingCount::default();
            for position in positions {
                count.add_one(position.urgency.effective_priority(now));
            }
            (need.clone(), count)
        });
        let mut counts: Vec<_> = counts.collect();
        counts.sort_unstable_by_key(|(_, count)| std::cmp::Reverse(count.total()));
        counts
    }

    /// Returns the number of waiting requests by priority.
    pub(crate) fn counts_by_priority(&self) -> BTreeMap<u32, usize> {
        let mut counts = BTreeMap::new();
        for position in self.waiting.borrow().values().flatten() {
            *counts.entry(position.urgency.priority).or_default() += 1;
        }
        counts
    }

    fn new_position(&self, urgency: Urgency) -> Position {
        Position {
            urgency,
            arrival: self.next_arrival.get(),
        }
    }

    fn ahead_of(
        &self,
        need: &Need,
        position: &Position,
        is_served: impl Fn(&Need) -> bool,
        now: Instant,
    ) -> Ahead {
        let mut ahead = Ahead::default();
        for (other_need, positions) in self.waiting.borrow().iter() {
            let before = positions.iter().filter(|it| it.holds_up(position, now));
            let count = before.count();
            if other_need == need {
                ahead.same_weights = count;
            } else if count > 0 && is_served(other_need) {
                ahead.other_weights += count;
            }
        }
        ahead
    }
}

impl QueuedRequest {
    /// Counts the waiting requests that come before this one.
    pub(crate) fn ahead(&self, is_served: impl Fn(&Need) -> bool, now: Instant) -> Ahead {
        let Self {
            queues,
            need,
            position,
        } = self;
        queues.ahead_of(need, position, is_served, now)
    }
}

impl Drop for QueuedRequest {
    fn drop(&mut self) {
        let mut waiting = self.queues.waiting.borrow_mut();
        if let Some(positions) = waiting.get_mut(&self.need) {
            positions.retain(|position| position.arrival != self.position.arrival);
            if positions.is_empty() {
                waiting.remove(&self.need);
            }
        }
    }
}
