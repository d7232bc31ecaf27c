//! Bounds the number of log lines about events that come in large numbers, such as the discovery of
//! all VMs of a fleet at a start.

use std::time::{Duration, Instant};

/// Maximum number of lines in one period.
const MAX_LINES: u32 = 10;
/// Length of a period.
const PERIOD: Duration = Duration::from_secs(1);

/// Counts the lines of one kind.
#[derive(Debug, Default)]
pub(crate) struct LineBudget {
    period_began_at: Option<Instant>,
    lines: u32,
    unlogged: u64,
}

impl LineBudget {
    /// Whether another line may be written. If not, it is counted as unlogged.
    pub(crate) fn take_line(&mut self, now: Instant) -> bool {
        let is_over = |began_at| now.saturating_duration_since(began_at) >= PERIOD;
        if self.period_began_at.is_none_or(is_over) {
            self.period_began_at = Some(now);
            self.lines = 0;
        }
        let may_write = self.lines < MAX_LINES;
        match may_write {
            true => self.lines += 1,
            false => self.unlogged += 1,
        }
        may_write
    }

    /// Returns the number of events that were not logged since the last call.
    pub(crate) fn take_unlogged(&mut self) -> u64 {
        std::mem::take(&mut self.unlogged)
    }
}
