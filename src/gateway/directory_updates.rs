//! Directory changes, as the VM that follows the log forwards them to the other VMs of its zone.
//!
//! An update covers a range of offsets in the log. A receiver that has read up to an offset within
//! the range is current up to the end of the range once it has applied the update. A receiver that
//! has not reached the start of the range missed earlier changes and reads the log itself. Entries
//! that servers only renewed are left out.

use crate::gateway::fleet::holding;
use crate::gateway::fleet::{Entry, Holding, ServerState};
use crate::gateway::gossip_message::ModelHolding;
use crate::gateway::removal::{Removal, RunAddress};
use crate::gateway::{Changes, Position, ServerChange};
use crate::inventory::Name;
use prost::Message;
use std::time::{Duration, Instant};

/// Maximum size of the changes in one message, in bytes, so that the whole message fits into one
/// datagram.
const MAX_PART_BYTES: usize = 1_100;
/// Maximum number of messages for one range of the log. Receivers read a longer range, such as the
/// start of a whole fleet, from the log: that takes one call per VM instead of many datagrams to
/// all.
const MAX_PARTS: usize = 16;

/// One part of the directory changes in a range of the log.
#[derive(Clone, PartialEq, Message)]
pub(super) struct DirectoryUpdate {
    /// Offset at which the range starts.
    #[prost(uint64, tag = "1")]
    pub(super) from: u64,
    /// Offset just past the end of the range.
    #[prost(uint64, tag = "2")]
    pub(super) next: u64,
    /// Index of this part, from 0.
    #[prost(uint32, tag = "3")]
    pub(super) part: u32,
    /// Number of parts.
    #[prost(uint32, tag = "4")]
    pub(super) parts: u32,
    /// Whether entries may have lapsed only because the log was unavailable.
    #[prost(bool, tag = "5")]
    pub(super) was_log_unavailable: bool,
    #[prost(message, repeated, tag = "6")]
    pub(super) changes: Vec<ServerUpdate>,
}

/// The entry of a backend server, or its removal.
#[derive(Clone, PartialEq, Message)]
pub(super) struct ServerUpdate {
    #[prost(string, tag = "1")]
    id: String,
    #[prost(bool, tag = "2")]
    is_gone: bool,
    #[prost(uint64, tag = "3")]
    started_ms: u64,
    #[prost(uint64, tag = "4")]
    sequence: u64,
    #[prost(string, tag = "5")]
    service: String,
    #[prost(string, tag = "6")]
    address: String,
    #[prost(string, tag = "7")]
    availability_zone: String,
    #[prost(uint32, tag = "8")]
    slots: u32,
    #[prost(bool, tag = "9")]
    is_draining: bool,
    #[prost(message, repeated, tag = "10")]
    holdings: Vec<ModelHolding>,
    #[prost(string, repeated, tag = "11")]
    in_memory: Vec<String>,
    #[prost(string, repeated, tag = "12")]
    on_disk: Vec<String>,
    #[prost(string, tag = "13")]
    software_version: String,
    /// Whether the log lost the entry when it was restored from a copy. A VM of an earlier version
    /// cannot read such a change and reads the log instead.
    #[prost(bool, tag = "14")]
    is_lost: bool,
    /// Whether the sender cannot read the entry.
    #[prost(bool, tag = "15")]
    is_unreadable: bool,
    /// What the sender knows of the removal, if the entry was removed. The fields of the entry hold the
    /// run whose entry it was, as far as it is known.
    #[prost(message, optional, tag = "16")]
    removal: Option<RemovalUpdate>,
    /// Whether the sender knows that the server wrote the entry after its removal.
    #[prost(bool, tag = "17")]
    is_revived: bool,
}

/// What a VM knows of the removal of an entry.
#[derive(Clone, Copy, PartialEq, Message)]
pub(super) struct RemovalUpdate {
    /// The highest number read from the run.
    #[prost(uint64, optional, tag = "1")]
    last_sequence: Option<u64>,
    /// The highest number that the run can have reached before the removal.
    #[prost(uint64, tag = "2")]
    reachable_sequence: u64,
    /// Whether `returning_sequence` is stated, for VMs of earlier releases.
    #[prost(bool, tag = "3")]
    may_have_lapsed: bool,
    /// The time since the first VM learned of the removal, in milliseconds.
    #[prost(uint64, tag = "4")]
    age_ms: u64,
    /// The era of the log in which it was removed, for VMs of earlier releases.
    #[prost(uint64, tag = "5")]
    era: u64,
    /// The lowest number of an entry written since the log was available again; none unless the entry may have
    /// lapsed while the log was unavailable.
    #[prost(uint64, optional, tag = "6")]
    returning_sequence: Option<u64>,
    /// A position of the log that is past the removal; only its era is known of earlier releases.
    #[prost(uint64, tag = "7")]
    position: u64,
}

impl RemovalUpdate {
    fn of(removal: &Removal) -> Self {
        Self {
            last_sequence: removal.last_sequence,
            reachable_sequence: removal.reachable_sequence,
            may_have_lapsed: removal.returning_sequence.is_some(),
            age_ms: removal.removed_at.elapsed().as_millis() as u64,
            era: removal.era(),
            position: removal.position,
            returning_sequence: removal.returning_sequence,
        }
    }

    fn into_removal(self, run: Option<RunAddress>) -> Removal {
        let now = Instant::now();
        let removed_at = now.checked_sub(Duration::from_millis(self.age_ms));
        let era_start = Position {
            era: self.era,
            offset: 0,
        };
        let position = self.position.max(era_start.to_u64());
        let mut removal = Removal::of_unknown(run, removed_at.unwrap_or(now), position);
        removal.last_sequence = self.last_sequence;
        removal.reachable_sequence = self.reachable_sequence;
        removal.returning_sequence = self.returning_sequence;
        removal
    }
}

impl ServerUpdate {
    pub(super) fn from_change(change: &ServerChange) -> Self {
        let strings = |names: &[Name]| names.iter().map(Name::to_string).collect();
        match change {
            ServerChange::Removed(id) => Self {
                id: id.to_string(),
                is_gone: true,
                ..Self::default()
            },
            ServerChange::RemovedRun(id, removal) => Self {
                id: id.to_string(),
                is_gone: true,
                started_ms: removal.run.map_or(0, |run| run.started_ms),
                address: removal
                    .run
                    .map_or_else(String::new, |run| run.address.to_string()),
                removal: Some(RemovalUpdate::of(removal)),
                ..Self::default()
            },
            ServerChange::Lost(id) => Self {
                id: id.to_string(),
                is_lost: true,
                ..Self::default()
            },
            ServerChange::Unreadable(id) => Self {
                id: id.to_string(),
                is_unreadable: true,
                ..Self::default()
            },
            ServerChange::Upserted(entry)
            | ServerChange::Restored(entry)
            | ServerChange::Revived(entry) => Self {
                id: entry.id.to_string(),
                is_gone: false,
                is_lost: false,
                is_unreadable: false,
                started_ms: entry.started_ms,
                sequence: entry.sequence,
                service: entry.service.to_string(),
                software_version: entry.software_version.to_string(),
                address: entry.address.to_string(),
                availability_zone: entry.availability_zone.to_string(),
                slots: entry.slots,
                is_draining: entry.state == ServerState::Draining,
                holdings: entry.holdings.iter().map(encode_holding).collect(),
                in_memory: strings(&entry.in_memory),
                on_disk: strings(&entry.on_disk),
                removal: None,
                is_revived: matches!(change, ServerChange::Revived(_)),
            },
        }
    }

    /// Decodes the change; `None` if its address cannot be parsed.
    pub(super) fn into_change(self) -> Option<ServerChange> {
        let names = |names: Vec<String>| names.into_iter().map(Name::from).collect();
        let id = Name::from(self.id);
        if self.is_gone {
            let run = self.address.parse().ok().map(|address| RunAddress {
                started_ms: self.started_ms,
                address,
            });
            return Some(match self.removal {
                Some(removal) => ServerChange::RemovedRun(id, removal.into_removal(run)),
                None => ServerChange::Removed(id),
            });
        }
        if self.is_lost {
            return Some(ServerChange::Lost(id));
        }
        if self.is_unreadable {
            return Some(ServerChange::Unreadable(id));
        }
        let state = match self.is_draining {
            true => ServerState::Draining,
            false => ServerState::Ready,
        };
        let holdings = self.holdings.iter();
        let entry = Entry {
            id,
            started_ms: self.started_ms,
            sequence: self.sequence,
            service: self.service.into(),
            software_version: self.software_version.into(),
            address: self.address.parse().ok()?,
            availability_zone: self.availability_zone.into(),
            slots: self.slots,
            state,
            holdings: holdings
                .map(|it| holding(&it.model, it.version, &it.adapters))
                .collect(),
            in_memory: names(self.in_memory),
            on_disk: names(self.on_disk),
        };
        Some(match self.is_revived {
            true => ServerChange::Revived(entry),
            false => ServerChange::Upserted(entry),
        })
    }
}

/// Converts a runner's holding of one model into its message form.
pub(super) fn encode_holding(holding: &Holding) -> ModelHolding {
    ModelHolding {
        model: holding.model.to_string(),
        version: holding.version,
        adapters: holding.adapters.iter().map(Name::to_string).collect(),
    }
}

/// Splits the `changes` between two offsets into messages; `None` if they need more than
/// [`MAX_PARTS`].
pub(super) fn update_messages(
    changes: &[ServerChange],
    from: u64,
    next: u64,
    was_log_unavailable: bool,
) -> Option<Vec<DirectoryUpdate>> {
    let mut parts = vec![Vec::new()];
    let mut bytes = 0;
    for change in changes.iter().map(ServerUpdate::from_change) {
        let length = change.encoded_len();
        if bytes > 0 && bytes + length > MAX_PART_BYTES {
            parts.push(Vec::new());
            bytes = 0;
        }
        bytes += length;
        parts.last_mut()?.push(change);
    }
    let count = parts.len();
    if count > MAX_PARTS {
        return None;
    }
    let parts = parts.into_iter().enumerate();
    let messages = parts.map(|(part, changes)| DirectoryUpdate {
        from,
        next,
        part: part as u32,
        parts: count as u32,
        was_log_unavailable,
        changes,
    });
    Some(messages.collect())
}

/// Reassembles an update from its parts, which may arrive in any order.
#[derive(Debug, Default)]
pub(super) struct Assembly {
    from: u64,
    next: u64,
    parts: Vec<Option<Vec<ServerUpdate>>>,
}

impl Assembly {
    /// Adds a part. Once all parts are there, returns the changes if a reader that has read up to
    /// offset `end` can apply them: `end` has to lie within the range of the update.
    pub(super) fn add_part(
        &mut self,
        update: DirectoryUpdate,
        end: Option<u64>,
    ) -> Option<Changes<ServerChange>> {
        let count = (update.parts as usize).clamp(1, MAX_PARTS);
        let is_other = self.from != update.from || self.next != update.next;
        if is_other || self.parts.len() != count {
            self.from = update.from;
            self.next = update.next;
            self.parts = vec![None; count];
        }
        *self.parts.get_mut(update.part as usize)? = Some(update.changes);
        if self.parts.iter().any(Option::is_none) {
            return None;
        }
        let parts = std::mem::take(&mut self.parts);
        let is_applicable = end.is_some_and(|end| self.from <= end && end < self.next);
        let changes = parts.into_iter().flatten().flatten();
        let items: Option<Vec<ServerChange>> = changes.map(ServerUpdate::into_change).collect();
        Some(Changes {
            items: items.filter(|_| is_applicable)?,
            next_offset: self.next,
        })
    }
}
