//! The order in which requests that wait for the same weights are sent.
//!
//! The one that must be sent first to be answered in time goes first; one that is late already
//! stands behind all that can still be in time, since it gains nothing by hurry.

use crate::gateway::Weights;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Instant;

/// The requests that wait, by what they wait for.
#[derive(Debug, Default)]
pub(crate) struct WaitQueues {
    waiting: RefCell<HashMap<Weights, Vec<Place>>>,
    next: Cell<u64>,
}

/// One request's place among those that wait for the same weights; left when dropped.
#[derive(Debug)]
pub(crate) struct QueuedRequest {
    turns: Rc<WaitQueues>,
    weights: Weights,
    place: Place,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Place {
    /// When it must be sent to be answered in time.
    send_by: Instant,
    /// Grows with each arrival.
    number: u64,
}

impl Place {
    fn rank(self, now: Instant) -> (bool, Instant, u64) {
        (self.send_by < now, self.send_by, self.number)
    }
}

impl WaitQueues {
    /// Begins to wait.
    pub(crate) fn enqueue(self: &Rc<Self>, weights: &Weights, send_by: Instant) -> QueuedRequest {
        let place = self.newcomer(send_by);
        self.next.set(place.number + 1);
        let mut waiting = self.waiting.borrow_mut();
        waiting.entry(weights.clone()).or_default().push(place);
        QueuedRequest {
            turns: self.clone(),
            weights: weights.clone(),
            place,
        }
    }

    /// Whether a request that does not wait yet would stand before all that do.
    pub(crate) fn would_be_first(&self, weights: &Weights, send_by: Instant, now: Instant) -> bool {
        self.is_before_all(weights, self.newcomer(send_by), now)
    }

    /// How many wait.
    pub(crate) fn count(&self, weights: &Weights) -> usize {
        self.waiting.borrow().get(weights).map_or(0, Vec::len)
    }

    fn newcomer(&self, send_by: Instant) -> Place {
        Place {
            send_by,
            number: self.next.get(),
        }
    }

    fn is_before_all(&self, weights: &Weights, place: Place, now: Instant) -> bool {
        let waiting = self.waiting.borrow();
        let others = waiting.get(weights).into_iter().flatten();
        others
            .filter(|other| **other != place)
            .all(|other| place.rank(now) < other.rank(now))
    }
}

impl QueuedRequest {
    /// Whether no other one stands before it.
    pub(crate) fn is_next(&self, now: Instant) -> bool {
        self.turns.is_before_all(&self.weights, self.place, now)
    }
}

impl Drop for QueuedRequest {
    fn drop(&mut self) {
        let mut waiting = self.turns.waiting.borrow_mut();
        if let Some(places) = waiting.get_mut(&self.weights) {
            places.retain(|place| *place != self.place);
            if places.is_empty() {
                waiting.remove(&self.weights);
            }
        }
    }
}
