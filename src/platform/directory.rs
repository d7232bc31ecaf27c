//! The directory of backend servers, from the records of the platform's store.

use crate::gateway::{Changes, ServerChange};
use crate::inventory::Name;
use crate::platform::entries::{self, UNTOLD_START};
use crate::platform::store::KeyedRecord;
use std::cell::Cell;

/// The changes of the directory; `tells_start` says whether its servers tell their start, and
/// an entry without one is then another writer's.
pub(super) fn server_changes(
    records: Changes<KeyedRecord>,
    tells_start: &Cell<bool>,
) -> Changes<ServerChange> {
    let changes = records.items.into_iter().filter_map(|record| {
        let id = Name::from(std::str::from_utf8(&record.key).ok()?);
        if record.value.is_empty() {
            return Some(ServerChange::Removed(id));
        }
        match entries::decode(id.clone(), &record.value) {
            Ok(entry) => Some(ServerChange::Upserted(entry)),
            // Whoever wrote it, it names no server to use; one that lives writes anew.
            Err(error) => {
                tracing::warn!(server = %id, %error, "server's entry unreadable");
                Some(ServerChange::Removed(id))
            }
        }
    });
    let mut items: Vec<ServerChange> = changes.collect();
    let started = |change: &ServerChange| match change {
        ServerChange::Upserted(entry) => entry.started_ms != UNTOLD_START,
        ServerChange::Removed(_) => false,
    };
    tells_start.set(tells_start.get() || items.iter().any(started));
    if tells_start.get() {
        items = items.into_iter().map(with_start).collect();
    }
    Changes {
        items,
        next: records.next,
    }
}

/// The change, if it is one of a server that tells its start.
fn with_start(change: ServerChange) -> ServerChange {
    match change {
        ServerChange::Upserted(entry) if entry.started_ms == UNTOLD_START => {
            tracing::warn!(server = %entry.id, "server's entry without its start");
            ServerChange::Removed(entry.id)
        }
        change => change,
    }
}
