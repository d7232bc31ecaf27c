//! Paces a writer's appends, so that all VMs together stay within the log's append budget.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// The base of the backoff after a refusal, if the interval is shorter.
const MIN_BACKOFF: Duration = Duration::from_millis(10);
/// The longest delay between two appends, so that a claim is attempted before its deadline.
const MAX_DELAY: Duration = Duration::from_millis(400);
/// The number of consecutive refusals after which the delay is no longer doubled.
const MAX_DOUBLINGS: u32 = 5;

/// Spaces one writer's appends evenly, with exponential backoff while the log refuses them.
#[derive(Debug, Default)]
pub(crate) struct AppendPacer {
    interval: Cell<Duration>,
    refusals: Cell<u32>,
    last_at: Cell<Option<Instant>>,
}

impl AppendPacer {
    /// Sets the interval to an even share of a budget of appends per second over `writers`.
    pub(crate) fn set_share(&self, appends_per_s: u32, writers: usize) {
        let interval_s = writers as f64 / f64::from(appends_per_s.max(1));
        self.interval.set(Duration::from_secs_f64(interval_s));
    }

    /// Records that the log accepted an append.
    pub(crate) fn record_accepted(&self) {
        self.refusals.set(0);
    }

    /// Records that the log refused an append because of its rate limit.
    pub(crate) fn record_refused(&self) {
        self.refusals.set(self.refusals.get() + 1);
    }

    /// Waits until the next append is due, and records it as made now.
    pub(crate) async fn wait_until_due(&self) {
        if let Some(last_at) = self.last_at.get() {
            compio::time::sleep_until(last_at + self.delay()).await;
        }
        self.last_at.set(Some(Instant::now()));
    }

    /// The delay after the last append; randomised after a refusal, so that writers that were
    /// refused together do not retry together.
    fn delay(&self) -> Duration {
        let interval = self.interval.get();
        if self.refusals.get() == 0 {
            return interval.min(MAX_DELAY);
        }
        let doublings = self.refusals.get().min(MAX_DOUBLINGS);
        let delay = interval.max(MIN_BACKOFF) * 2_u32.pow(doublings);
        delay.min(MAX_DELAY).mul_f64(rand::random_range(0.5..1.0))
    }
}
