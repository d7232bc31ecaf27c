//! The directory of backend servers, read from records in the platform's store.

use crate::gateway::{Changes, ServerChange};
use crate::inventory::Name;
use crate::platform::entries::{self, UNKNOWN_START};
use crate::platform::store::KeyedRecord;
use std::cell::Cell;

/// Decodes records into changes to the directory.
///
/// `servers_report_start` is set once any entry has a start time. From then on an entry without one
/// was left by another writer, and its server is reported as removed.
pub(super) fn server_changes(
    records: Changes<KeyedRecord>,
    servers_report_start: &Cell<bool>,
) -> Changes<ServerChange> {
    let changes = records.items.into_iter().filter_map(|record| {
        let id = Name::from(std::str::from_utf8(&record.key).ok()?);
        if record.value.is_empty() {
            return Some(ServerChange::Removed(id));
        }
        match entries::decode(id.clone(), &record.value) {
            Ok(entry) if record.may_be_restored => Some(ServerChange::Restored(entry)),
            Ok(entry) => Some(ServerChange::Upserted(entry)),
            // The server cannot be used by this entry; if it is running, it writes a new one.
            Err(error) => {
                tracing::warn!(server = %id, %error, "server's entry unreadable");
                Some(ServerChange::Removed(id))
            }
        }
    });
    let mut items: Vec<ServerChange> = changes.collect();
    let has_start = |change: &ServerChange| match change {
        ServerChange::Upserted(entry) | ServerChange::Restored(entry) => {
            entry.started_ms != UNKNOWN_START
        }
        ServerChange::Removed(_) | ServerChange::Lost(_) => false,
    };
    servers_report_start.set(servers_report_start.get() || items.iter().any(has_start));
    if servers_report_start.get() {
        items = items.into_iter().map(require_start).collect();
    }
    Changes {
        items,
        next_offset: records.next_offset,
    }
}

/// Replaces an entry without a start time by the removal of its server.
fn require_start(change: ServerChange) -> ServerChange {
    match change {
        ServerChange::Upserted(entry) | ServerChange::Restored(entry)
            if entry.started_ms == UNKNOWN_START =>
        {
            tracing::warn!(server = %entry.id, "server's entry without start time");
            ServerChange::Removed(entry.id)
        }
        change => change,
    }
}
