//! The signals that the operating system sends to this process.

use futures_channel::mpsc::{self, UnboundedReceiver};
use futures_util::StreamExt;
use nix::sys::signal::{SigSet, Signal};
use std::io;

/// The stack size of the thread that waits for signals.
const STACK_BYTES: usize = 64 * 1024;

/// Receives signals for as long as the process lives; they no longer have their default action, even
/// once this is dropped.
///
/// A thread waits for them, without a signal handler: a handler that wakes a task can interrupt the
/// runtime in the middle of a change to its queue of tasks.
#[derive(Debug)]
pub(crate) struct ProcessSignals {
    received: UnboundedReceiver<Signal>,
}

impl ProcessSignals {
    /// Takes over `signals`. To be called before any other thread is started, since threads inherit
    /// the set of blocked signals.
    ///
    /// # Errors
    ///
    /// Fails if the signals cannot be blocked or the thread cannot be started.
    pub(crate) fn take_over(signals: impl IntoIterator<Item = Signal>) -> io::Result<Self> {
        let signals: SigSet = signals.into_iter().collect();
        signals.thread_block()?;
        let (sender, received) = mpsc::unbounded();
        std::thread::Builder::new()
            .name("signals".into())
            .stack_size(STACK_BYTES)
            .spawn(move || {
                while let Ok(signal) = signals.wait() {
                    // Sending fails once nobody reacts to signals any more.
                    let _ = sender.unbounded_send(signal);
                }
            })?;
        Ok(Self { received })
    }

    /// Waits for the next signal.
    pub(crate) async fn next(&mut self) -> Signal {
        match self.received.next().await {
            Some(signal) => signal,
            // The thread never ends: waiting fails only for an invalid set of signals.
            None => std::future::pending().await,
        }
    }
}
