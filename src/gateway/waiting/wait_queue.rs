//! Orders the requests that wait for the same weights.
//!
//! Earliest deadline first. Requests that have already missed their deadline come after all that
//! can still meet theirs, since sending them sooner gains nothing.

use crate::gateway::Weights;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Instant;

/// Waiting requests, by the weights that they wait for.
#[derive(Debug, Default)]
pub(crate) struct WaitQueues {
    waiting: RefCell<HashMap<Weights, Vec<Position>>>,
    next_arrival: Cell<u64>,
}

/// A request in the queue for its weights; leaves the queue when dropped.
#[derive(Debug)]
pub(crate) struct QueuedRequest {
    queues: Rc<WaitQueues>,
    weights: Weights,
    position: Position,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Position {
    /// The latest time at which the request can be sent and still be answered before its deadline.
    send_by: Instant,
    /// Arrival number of the request; breaks ties between equal deadlines.
    arrival: u64,
}

impl Position {
    fn sort_key(self, now: Instant) -> (bool, Instant, u64) {
        (self.send_by < now, self.send_by, self.arrival)
    }
}

impl WaitQueues {
    /// Adds a request that has to be sent by `send_by`.
    pub(crate) fn enqueue(self: &Rc<Self>, weights: &Weights, send_by: Instant) -> QueuedRequest {
        let position = self.new_position(send_by);
        self.next_arrival.set(position.arrival + 1);
        let mut waiting = self.waiting.borrow_mut();
        waiting.entry(weights.clone()).or_default().push(position);
        QueuedRequest {
            queues: self.clone(),
            weights: weights.clone(),
            position,
        }
    }

    /// Whether a request that is not queued yet would come before all queued ones.
    pub(crate) fn would_be_first(&self, weights: &Weights, send_by: Instant, now: Instant) -> bool {
        self.is_before_all(weights, self.new_position(send_by), now)
    }

    /// Returns the number of requests that wait for the weights.
    pub(crate) fn count(&self, weights: &Weights) -> usize {
        self.waiting.borrow().get(weights).map_or(0, Vec::len)
    }

    fn new_position(&self, send_by: Instant) -> Position {
        Position {
            send_by,
            arrival: self.next_arrival.get(),
        }
    }

    fn is_before_all(&self, weights: &Weights, position: Position, now: Instant) -> bool {
        let waiting = self.waiting.borrow();
        let others = waiting.get(weights).into_iter().flatten();
        others
            .filter(|other| **other != position)
            .all(|other| position.sort_key(now) < other.sort_key(now))
    }
}

impl QueuedRequest {
    /// Whether the request is at the head of its queue.
    pub(crate) fn is_next(&self, now: Instant) -> bool {
        self.queues.is_before_all(&self.weights, self.position, now)
    }
}

impl Drop for QueuedRequest {
    fn drop(&mut self) {
        let mut waiting = self.queues.waiting.borrow_mut();
        if let Some(positions) = waiting.get_mut(&self.weights) {
            positions.retain(|position| *position != self.position);
            if positions.is_empty() {
                waiting.remove(&self.weights);
            }
        }
    }
}
