//! Writes snapshots of the control stream before the log drops what they cover.

use crate::events::{Event, emit};
use crate::membership::Membership;
use crate::server::ControlStream;
use crate::service_registry::ServiceRegistry;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Snapshots written in the time that the log keeps a record.
const SNAPSHOTS_PER_RETENTION: u64 = 4;
/// The time between two looks.
const LOOK_INTERVAL: Duration = Duration::from_millis(500);

/// The snapshot keeper of one VM; the first of the live VMs writes.
pub(crate) struct SnapshotWriter {
    control: Rc<ControlStream>,
    membership: Rc<Membership>,
    interval: Duration,
    started_at: Instant,
}

impl SnapshotWriter {
    /// A keeper for a log that keeps records for `retention_ms`.
    pub(crate) fn new(registry: &ServiceRegistry, retention_ms: u64) -> Self {
        Self {
            control: registry.find(),
            membership: registry.find(),
            interval: Duration::from_millis(retention_ms / SNAPSHOTS_PER_RETENTION),
            started_at: Instant::now(),
        }
    }

    /// Writes snapshots until the process ends.
    pub(crate) async fn run(self) {
        loop {
            compio::time::sleep(LOOK_INTERVAL).await;
            if !self.is_due() {
                continue;
            }
            let written = self.control.write_snapshot().await.is_ok();
            if written {
                emit(
                    Event::SnapshotWritten,
                    format_args!("stream=control offset={}", self.control.next_offset()),
                );
                // The reader sees the snapshot a moment later.
                compio::time::sleep(self.interval / 8).await;
            }
        }
    }

    /// A VM that is not the first writes as well, if the first is late.
    fn is_due(&self) -> bool {
        if !self.control.is_writable() || self.control.next_offset() == 0 {
            return false;
        }
        let age = self
            .control
            .snapshot_age()
            .unwrap_or_else(|| self.started_at.elapsed());
        let first = self.membership.is_assigned("snapshot");
        age >= if first {
            self.interval
        } else {
            self.interval * 2
        }
    }
}
