//! Notices that this process was paused: what it knows may then be outdated.

use crate::signal::Signal;
use std::cell::Cell;
use std::time::{Duration, Instant};

/// The time between two beats.
const BEAT: Duration = Duration::from_millis(50);
/// A beat that comes this late means that the process stood still.
const PAUSE_LIMIT: Duration = Duration::from_millis(500);

/// Watches over the process's own progress.
#[derive(Debug)]
pub(crate) struct PauseDetector {
    beat_at: Cell<Instant>,
    woke_at: Cell<Option<Instant>>,
    woken: Signal,
}

impl Default for PauseDetector {
    fn default() -> Self {
        Self {
            beat_at: Cell::new(Instant::now()),
            woke_at: Cell::new(None),
            woken: Signal::default(),
        }
    }
}

impl PauseDetector {
    /// Beats until the process ends.
    pub(crate) async fn run(&self) {
        loop {
            self.woke_at();
            self.beat_at.set(Instant::now());
            compio::time::sleep(BEAT).await;
        }
    }

    /// When the last pause ended; also sees one that no beat has shown yet.
    pub(crate) fn woke_at(&self) -> Option<Instant> {
        if self.beat_at.get().elapsed() >= PAUSE_LIMIT {
            let now = Instant::now();
            self.beat_at.set(now);
            self.woke_at.set(Some(now));
            self.woken.notify();
        }
        self.woke_at.get()
    }

    /// Waits for the end of the next pause.
    pub(crate) fn woken(&self) -> impl Future<Output = ()> + use<> {
        self.woken.wait()
    }
}
