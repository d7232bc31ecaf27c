//! The pace of a writer's appends, so that all VMs together keep to the log's budget.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// The shortest pause after a refusal.
const MIN_PAUSE: Duration = Duration::from_millis(10);
/// The longest pause between two appends, so that a claim is tried in its time.
const MAX_PAUSE: Duration = Duration::from_millis(400);
/// Refusals in a row that still double the pause.
const MAX_DOUBLINGS: u32 = 5;

/// Spaces one writer's appends: evenly, and wider while the log refuses them.
#[derive(Debug, Default)]
pub(crate) struct AppendPacer {
    interval: Cell<Duration>,
    refusals: Cell<u32>,
    last_at: Cell<Option<Instant>>,
}

impl AppendPacer {
    /// Takes an even share of a budget of appends a second.
    pub(crate) fn share(&self, appends_per_s: u32, writers: usize) {
        let interval_s = writers as f64 / f64::from(appends_per_s.max(1));
        self.interval.set(Duration::from_secs_f64(interval_s));
    }

    /// Notes that the log took an append.
    pub(crate) fn record_accepted(&self) {
        self.refusals.set(0);
    }

    /// Notes that the log refused an append as one too many.
    pub(crate) fn record_refused(&self) {
        self.refusals.set(self.refusals.get() + 1);
    }

    /// Waits until the next append is due, and counts it as made.
    pub(crate) async fn wait_until_due(&self) {
        if let Some(last_at) = self.last_at.get() {
            compio::time::sleep_until(last_at + self.pause()).await;
        }
        self.last_at.set(Some(Instant::now()));
    }

    /// Writers refused together do not come back together.
    fn pause(&self) -> Duration {
        let interval = self.interval.get();
        if self.refusals.get() == 0 {
            return interval.min(MAX_PAUSE);
        }
        let doublings = self.refusals.get().min(MAX_DOUBLINGS);
        let pause = interval.max(MIN_PAUSE) * 2_u32.pow(doublings);
        pause.min(MAX_PAUSE).mul_f64(rand::random_range(0.5..1.0))
    }
}
