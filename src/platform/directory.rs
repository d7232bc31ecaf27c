//! The directory of backend servers, read from records in the platform's store.

use crate::gateway::{Changes, ServerChange};
use crate::inventory::Name;
use crate::platform::entries;
use crate::platform::store::KeyedRecord;
use crate::platform::unreadable_records::UnreadableRecords;

/// The keyed topic to which backend servers write their entries.
pub(super) const SERVERS_TOPIC: &str = "keyed.servers";

/// Decodes records into changes to the directory. Each record concerns its own server only; what cannot
/// be read changes nothing.
pub(super) fn server_changes(
    records: Changes<KeyedRecord>,
    unreadable: &mut UnreadableRecords,
) -> Changes<ServerChange> {
    let changes = records.items.into_iter().filter_map(|record| {
        let Ok(id) = std::str::from_utf8(&record.key).map(Name::from) else {
            let key = String::from_utf8_lossy(&record.key);
            unreadable.report(SERVERS_TOPIC, &key, &record.value, "the key is not text");
            return None;
        };
        if record.value.is_empty() {
            return Some(ServerChange::Removed(id));
        }
        match entries::decode(id.clone(), &record.value) {
            Ok(entry) if record.may_be_restored => Some(ServerChange::Restored(entry)),
            Ok(entry) => Some(ServerChange::Upserted(entry)),
            Err(error) => {
                unreadable.report(SERVERS_TOPIC, &id, &record.value, error);
                Some(ServerChange::Unreadable(id))
            }
        }
    });
    Changes {
        items: changes.collect(),
        next_offset: records.next_offset,
    }
}
