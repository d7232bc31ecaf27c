//! A broadcast signal between the tasks of one thread.

use futures_channel::oneshot;
use std::cell::RefCell;

/// Wakes all tasks that wait when it is sent; a task that waits later gets the next signal.
#[derive(Debug, Default)]
pub(crate) struct Signal {
    waiters: RefCell<Vec<oneshot::Sender<()>>>,
}

impl Signal {
    /// Wakes every task that is waiting.
    pub(crate) fn notify(&self) {
        for waiter in self.waiters.take() {
            // Sending fails if the waiting task was cancelled.
            let _ = waiter.send(());
        }
    }

    /// Waits for the next signal; the waiter is registered by the call, before the first poll.
    pub(crate) fn wait(&self) -> impl Future<Output = ()> + use<> {
        let (sender, receiver) = oneshot::channel();
        let mut waiters = self.waiters.borrow_mut();
        waiters.retain(|waiter| !waiter.is_canceled());
        waiters.push(sender);
        async move {
            // Receiving fails only if the signal itself is dropped.
            let _ = receiver.await;
        }
    }
}
