//! A signal that wakes every task waiting for it.

use futures_channel::oneshot;
use std::cell::RefCell;

/// Wakes all present waiters; a later waiter waits for the next signal.
#[derive(Debug, Default)]
pub(crate) struct Signal {
    waiters: RefCell<Vec<oneshot::Sender<()>>>,
}

impl Signal {
    /// Wakes every task that waits now.
    pub(crate) fn notify(&self) {
        for waiter in self.waiters.take() {
            // A waiter that is gone needs no signal.
            let _ = waiter.send(());
        }
    }

    /// Waits for the next signal; registered as soon as this is called.
    pub(crate) fn wait(&self) -> impl Future<Output = ()> + use<> {
        let (sender, receiver) = oneshot::channel();
        let mut waiters = self.waiters.borrow_mut();
        waiters.retain(|waiter| !waiter.is_canceled());
        waiters.push(sender);
        async move {
            // The sender is dropped only together with the signal.
            let _ = receiver.await;
        }
    }
}
