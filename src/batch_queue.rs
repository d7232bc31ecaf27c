//! Batch requests that wait at this VM for a place that urgent ones leave.

use crate::inventory::Name;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The weight of the newest wait in the mean.
const LEARNING_RATE: f64 = 0.2;

/// The requests that wait, by model and then by deadline.
#[derive(Debug, Default)]
pub(crate) struct BatchQueue {
    waiting: RefCell<BTreeSet<(Name, Instant, u64)>>,
    next: Cell<u64>,
    waited_s: Cell<f64>,
}

/// One request's place in the queue, given up when dropped.
#[derive(Debug)]
pub(crate) struct Ticket {
    queue: Rc<BatchQueue>,
    place: (Name, Instant, u64),
    entered_at: Instant,
}

impl BatchQueue {
    /// Enters a request.
    pub(crate) fn enter(self: &Rc<Self>, model: &Name, deadline: Instant) -> Ticket {
        let number = self.next.get();
        self.next.set(number + 1);
        let place = (model.clone(), deadline, number);
        self.waiting.borrow_mut().insert(place.clone());
        Ticket {
            queue: self.clone(),
            place,
            entered_at: Instant::now(),
        }
    }

    /// How long one more request for a model would wait, as those before it did.
    pub(crate) fn expected_wait(&self, model: &Name) -> Duration {
        let waiting = self.waiting.borrow();
        if waiting.iter().any(|(waits, ..)| waits == model) {
            Duration::from_secs_f64(self.waited_s.get())
        } else {
            Duration::ZERO
        }
    }
}

impl Ticket {
    /// Whether no request for the same model has an earlier deadline.
    pub(crate) fn is_first(&self) -> bool {
        let waiting = self.queue.waiting.borrow();
        let before = waiting.range(..&self.place).next_back();
        before.is_none_or(|(model, ..)| *model != self.place.0)
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.queue.waiting.borrow_mut().remove(&self.place);
        let waited_s = self.entered_at.elapsed().as_secs_f64();
        let mean_s = self.queue.waited_s.get();
        self.queue
            .waited_s
            .set(mean_s + LEARNING_RATE * (waited_s - mean_s));
    }
}
