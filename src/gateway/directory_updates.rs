//! Changes of the directory as the VM that follows it passes them on to its zone.
//!
//! A message covers a stretch of the log: whoever has read up to some place within it knows all
//! that matters up to its end once the message is taken over, and whoever has not reached its
//! beginning missed something and reads the log itself. Entries that servers only renew are
//! passed over.

use crate::gateway::fleet::{Entry, Holding, ServerState};
use crate::gateway::gossip_message::ModelHolding;
use crate::gateway::peers::holding;
use crate::gateway::{Changes, ServerChange};
use crate::inventory::Name;
use prost::Message;

/// Bytes of changes in one message, so that it fits one datagram with what is around it.
const MAX_PART_BYTES: usize = 1_100;
/// Messages that one stretch is passed on in, at most; a longer one, as at the start of a whole
/// fleet, is left to be read from the log, which takes a call a VM instead of datagrams to all.
const MAX_PARTS: usize = 16;

/// A part of the changes in a stretch of the directory's log.
#[derive(Clone, PartialEq, Message)]
pub(super) struct DirectoryUpdate {
    /// The offset from which on the changes are told.
    #[prost(uint64, tag = "1")]
    pub(super) from: u64,
    /// The offset up to which they are told.
    #[prost(uint64, tag = "2")]
    pub(super) next: u64,
    /// The place of this part, from 0.
    #[prost(uint32, tag = "3")]
    pub(super) part: u32,
    /// The number of parts.
    #[prost(uint32, tag = "4")]
    pub(super) parts: u32,
    /// Whether entries may have lapsed because the log itself was away.
    #[prost(bool, tag = "5")]
    pub(super) is_shaken: bool,
    #[prost(message, repeated, tag = "6")]
    pub(super) changes: Vec<ToldServer>,
}

/// A server's entry, or that there is none any more.
#[derive(Clone, PartialEq, Message)]
pub(super) struct ToldServer {
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
}

impl ToldServer {
    fn of(change: &ServerChange) -> Self {
        let strings = |names: &[Name]| names.iter().map(Name::to_string).collect();
        match change {
            ServerChange::Removed(id) => Self {
                id: id.to_string(),
                is_gone: true,
                ..Self::default()
            },
            ServerChange::Upserted(entry) => Self {
                id: entry.id.to_string(),
                is_gone: false,
                started_ms: entry.started_ms,
                sequence: entry.sequence,
                service: entry.service.to_string(),
                address: entry.address.to_string(),
                availability_zone: entry.availability_zone.to_string(),
                slots: entry.slots,
                is_draining: entry.state == ServerState::Draining,
                holdings: entry.holdings.iter().map(encode_holding).collect(),
                in_memory: strings(&entry.in_memory),
                on_disk: strings(&entry.on_disk),
            },
        }
    }

    /// The change; `None` if it names no address.
    fn change(self) -> Option<ServerChange> {
        let names = |names: Vec<String>| names.into_iter().map(Name::from).collect();
        let id = Name::from(self.id);
        if self.is_gone {
            return Some(ServerChange::Removed(id));
        }
        let state = match self.is_draining {
            true => ServerState::Draining,
            false => ServerState::Ready,
        };
        let holdings = self.holdings.iter();
        Some(ServerChange::Upserted(Entry {
            id,
            started_ms: self.started_ms,
            sequence: self.sequence,
            service: self.service.into(),
            address: self.address.parse().ok()?,
            availability_zone: self.availability_zone.into(),
            slots: self.slots,
            state,
            holdings: holdings
                .map(|it| holding(&it.model, it.version, &it.adapters))
                .collect(),
            in_memory: names(self.in_memory),
            on_disk: names(self.on_disk),
        }))
    }
}

/// What a runner holds of one model, as messages tell it.
pub(super) fn encode_holding(holding: &Holding) -> ModelHolding {
    ModelHolding {
        model: holding.model.to_string(),
        version: holding.version,
        adapters: holding.adapters.iter().map(Name::to_string).collect(),
    }
}

/// The messages that tell of `changes` between two offsets; `None` where they are too many.
pub(super) fn news_of(
    changes: &[ServerChange],
    from: u64,
    next: u64,
    is_shaken: bool,
) -> Option<Vec<DirectoryUpdate>> {
    let mut parts = vec![Vec::new()];
    let mut bytes = 0;
    for told in changes.iter().map(ToldServer::of) {
        let length = told.encoded_len();
        if bytes > 0 && bytes + length > MAX_PART_BYTES {
            parts.push(Vec::new());
            bytes = 0;
        }
        bytes += length;
        parts.last_mut()?.push(told);
    }
    let count = parts.len();
    if count > MAX_PARTS {
        return None;
    }
    let parts = parts.into_iter().enumerate();
    let news = parts.map(|(part, changes)| DirectoryUpdate {
        from,
        next,
        part: part as u32,
        parts: count as u32,
        is_shaken,
        changes,
    });
    Some(news.collect())
}

/// Puts the parts of a stretch together, in whatever order they come.
#[derive(Debug, Default)]
pub(super) struct Assembly {
    from: u64,
    next: u64,
    parts: Vec<Option<Vec<ToldServer>>>,
}

impl Assembly {
    /// Takes a part; once all are there, the changes for a reader that has read up to `end`, if
    /// they go on from there.
    pub(super) fn take(
        &mut self,
        news: DirectoryUpdate,
        end: Option<u64>,
    ) -> Option<Changes<ServerChange>> {
        let count = (news.parts as usize).clamp(1, MAX_PARTS);
        let is_other = self.from != news.from || self.next != news.next;
        if is_other || self.parts.len() != count {
            self.from = news.from;
            self.next = news.next;
            self.parts = vec![None; count];
        }
        *self.parts.get_mut(news.part as usize)? = Some(news.changes);
        if self.parts.iter().any(Option::is_none) {
            return None;
        }
        let told = std::mem::take(&mut self.parts);
        let goes_on = end.is_some_and(|end| self.from <= end && end < self.next);
        let told = told.into_iter().flatten().flatten();
        let items: Option<Vec<ServerChange>> = told.map(ToldServer::change).collect();
        Some(Changes {
            items: items.filter(|_| goes_on)?,
            next: self.next,
        })
    }
}
