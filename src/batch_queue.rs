//! The queue of batch requests that wait on this VM for a free slot.

use crate::inventory::Name;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The weight of the newest wait in the exponentially weighted moving average.
const EWMA_WEIGHT: f64 = 0.2;

/// The queued requests, ordered by model, deadline and arrival.
#[derive(Debug, Default)]
pub(crate) struct BatchQueue {
    waiting: RefCell<BTreeSet<(Name, Instant, u64)>>,
    next_number: Cell<u64>,
    mean_wait_s: Cell<f64>,
}

/// A request's position in the queue, removed when dropped.
#[derive(Debug)]
pub(crate) struct Ticket {
    queue: Rc<BatchQueue>,
    position: (Name, Instant, u64),
    entered_at: Instant,
}

impl BatchQueue {
    /// Adds a request to the queue.
    pub(crate) fn enter(self: &Rc<Self>, model: &Name, deadline: Instant) -> Ticket {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let position = (model.clone(), deadline, number);
        self.waiting.borrow_mut().insert(position.clone());
        Ticket {
            queue: self.clone(),
            position,
            entered_at: Instant::now(),
        }
    }

    /// Returns how long one more request for a model is expected to wait: the mean of past waits
    /// over all models if requests for this one are queued, otherwise zero.
    pub(crate) fn expected_wait(&self, model: &Name) -> Duration {
        let waiting = self.waiting.borrow();
        if waiting
            .iter()
            .any(|(queued_model, ..)| queued_model == model)
        {
            Duration::from_secs_f64(self.mean_wait_s.get())
        } else {
            Duration::ZERO
        }
    }
}

impl Ticket {
    /// Whether the request is first in the queue for its model, by deadline, then by arrival.
    pub(crate) fn is_first(&self) -> bool {
        let waiting = self.queue.waiting.borrow();
        let before = waiting.range(..&self.position).next_back();
        before.is_none_or(|(model, ..)| *model != self.position.0)
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.queue.waiting.borrow_mut().remove(&self.position);
        let waited_s = self.entered_at.elapsed().as_secs_f64();
        let previous_s = self.queue.mean_wait_s.get();
        self.queue
            .mean_wait_s
            .set(previous_s + EWMA_WEIGHT * (waited_s - previous_s));
    }
}
