//! Batch requests that wait at this VM for a place that urgent ones leave.

use crate::inventory::Name;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Instant;

/// The requests that wait, by model and then by deadline.
#[derive(Debug, Default)]
pub(crate) struct BatchQueue {
    waiting: RefCell<BTreeSet<(Name, Instant, u64)>>,
    next: Cell<u64>,
}

/// One request's place in the queue, given up when dropped.
#[derive(Debug)]
pub(crate) struct Ticket {
    queue: Rc<BatchQueue>,
    place: (Name, Instant, u64),
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
    }
}
