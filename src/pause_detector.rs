//! Detects that this process was paused, after which its state may be outdated.

use crate::signal::Signal;
use std::cell::Cell;
use std::time::{Duration, Instant};

/// The interval between two checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// A gap between two checks of at least this length counts as a pause of the process.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(500);

/// Detects pauses by gaps between periodic checks.
#[derive(Debug)]
pub(crate) struct PauseDetector {
    checked_at: Cell<Instant>,
    resumed_at: Cell<Option<Instant>>,
    resumed: Signal,
}

impl Default for PauseDetector {
    fn default() -> Self {
        Self {
            checked_at: Cell::new(Instant::now()),
            resumed_at: Cell::new(None),
            resumed: Signal::default(),
        }
    }
}

impl PauseDetector {
    /// Runs the periodic check until the process ends.
    pub(crate) async fn run(&self) {
        loop {
            self.resumed_at();
            self.checked_at.set(Instant::now());
            compio::time::sleep(CHECK_INTERVAL).await;
        }
    }

    /// The time at which the last pause was detected, if any; itself checks for a pause that the
    /// periodic check has not detected yet.
    pub(crate) fn resumed_at(&self) -> Option<Instant> {
        if self.checked_at.get().elapsed() >= PAUSE_THRESHOLD {
            let now = Instant::now();
            self.checked_at.set(now);
            self.resumed_at.set(Some(now));
            self.resumed.notify();
        }
        self.resumed_at.get()
    }

    /// Waits until the next pause is detected.
    pub(crate) fn resumed(&self) -> impl Future<Output = ()> + use<> {
        self.resumed.wait()
    }
}
