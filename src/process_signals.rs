//! The signals that the operating system sends to this process.

use futures_channel::mpsc::{self, UnboundedReceiver, UnboundedSender};
use futures_util::StreamExt;
use nix::sys::signal::{SigSet, Signal};
use std::io;
use std::thread;
use std::time::Duration;

/// The stack size of a thread that waits for a signal.
const STACK_BYTES: usize = 64 * 1024;
/// The shortest time between two receipts of the same signal. The kernel merges those that arrive
/// meanwhile into one.
const REPEAT_INTERVAL: Duration = Duration::from_millis(20);

/// Receives signals for as long as the process lives; they no longer have their default action, even
/// once this is dropped.
///
/// A thread waits for each of them, without a signal handler: a handler that wakes a task can interrupt
/// the runtime in the middle of a change to its queue of tasks. With one thread for all of them, a
/// signal that keeps coming would hold up those with a higher number.
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
        for signal in &signals {
            let sender = sender.clone();
            thread::Builder::new()
                .name(signal.as_str().to_lowercase())
                .stack_size(STACK_BYTES)
                .spawn(move || forward_repeatedly(signal, &sender))?;
        }
        Ok(Self { received })
    }

    /// Waits for the next signal.
    pub(crate) async fn next(&mut self) -> Signal {
        match self.received.next().await {
            Some(signal) => signal,
            // The threads never end: waiting fails only for an invalid set of signals.
            None => std::future::pending().await,
        }
    }
}

/// Sends `signal` whenever it arrived, at most once in [`REPEAT_INTERVAL`].
fn forward_repeatedly(signal: Signal, sender: &UnboundedSender<Signal>) {
    let awaited = SigSet::from(signal);
    while awaited.wait().is_ok() {
        // Sending fails once nobody reacts to signals any more.
        let _ = sender.unbounded_send(signal);
        thread::sleep(REPEAT_INTERVAL);
    }
}
