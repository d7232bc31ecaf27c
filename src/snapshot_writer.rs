//! Writes snapshots of the control stream before the log drops what they cover.

use crate::events::{Event, emit};
use crate::membership::Membership;
use crate::server::ControlStream;
use crate::service_registry::Kernel;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Number of snapshots per retention time of the log.
const SNAPSHOTS_PER_RETENTION: u64 = 4;
/// Interval between checks whether a snapshot is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Writes snapshots of the control stream; normally only the first live VM does.
pub(crate) struct SnapshotWriter {
    control: Rc<ControlStream>,
    membership: Rc<Membership>,
    interval: Duration,
    started_at: Instant,
}

impl SnapshotWriter {
    /// Creates a writer for a log that retains records for `retention_ms`.
    pub(crate) fn new(kernel: &Kernel, retention_ms: u64) -> Self {
        Self {
            control: kernel.find(),
            membership: kernel.find(),
            interval: Duration::from_millis(retention_ms / SNAPSHOTS_PER_RETENTION),
            started_at: Instant::now(),
        }
    }

    /// Writes snapshots until the process ends.
    pub(crate) async fn run(self) {
        loop {
            compio::time::sleep(CHECK_INTERVAL).await;
            if !self.is_due() {
                continue;
            }
            let written = self.control.write_snapshot().await.is_ok();
            if written {
                emit(
                    Event::SnapshotWritten,
                    format_args!("stream=control offset={}", self.control.next_offset()),
                );
                // Lets the reader see the new snapshot before its age is checked again.
                compio::time::sleep(self.interval / 8).await;
            }
        }
    }

    /// Whether this VM has to write a snapshot. VMs other than the first wait twice as long, in
    /// case the first does not write.
    fn is_due(&self) -> bool {
        if !self.control.is_writable() || self.control.next_offset() == 0 {
            return false;
        }
        let age = self
            .control
            .snapshot_age()
            .unwrap_or_else(|| self.started_at.elapsed());
        let first = self.membership.is_first_for("snapshot");
        age >= if first {
            self.interval
        } else {
            self.interval * 2
        }
    }
}
