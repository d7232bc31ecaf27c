//! The messages by which a VM obtains the directory or the configuration from another VM.

use crate::gateway::crash_message::ContainedCauseMessage;
use crate::gateway::directory_updates::ServerUpdate;
use prost::Message;

/// The part of a VM's state that is requested.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, prost::Enumeration)]
#[repr(i32)]
pub(crate) enum Part {
    /// The directory of backend servers.
    Directory = 0,
    /// The configuration.
    Configuration = 1,
}

impl Part {
    /// Returns the name of the part in logs.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Directory => "directory",
            Self::Configuration => "configuration",
        }
    }
}

/// A request for one part of the state.
#[derive(Clone, PartialEq, Message)]
pub(super) struct SyncRequest {
    #[prost(enumeration = "Part", tag = "1")]
    pub(super) part: i32,
    /// The offset up to which the sender has the part; absent if it has none of it.
    #[prost(uint64, optional, tag = "2")]
    pub(super) from: Option<u64>,
    /// Whether the sender reads packed configurations.
    #[prost(bool, tag = "3")]
    pub(super) accepts_packed: bool,
    /// The digest of the configuration that the sender has.
    #[prost(fixed64, optional, tag = "4")]
    pub(super) base_digest: Option<u64>,
}

/// The requested part, or the reason why it is not sent.
#[derive(Clone, PartialEq, Message)]
pub(super) struct SyncReply {
    /// Whether the sender transfers to as many VMs as it can.
    #[prost(bool, tag = "1")]
    pub(super) is_busy: bool,
    /// Whether the part follows.
    #[prost(bool, tag = "2")]
    pub(super) has_part: bool,
    /// Addresses of VMs that have received the part from the sender, or are receiving it.
    #[prost(string, repeated, tag = "3")]
    pub(super) referrals: Vec<String>,
    /// The offset at which to continue reading the log.
    #[prost(uint64, tag = "4")]
    pub(super) next: u64,
    /// The time since the sender knew that the log contained nothing newer, in milliseconds.
    #[prost(uint64, tag = "5")]
    pub(super) confirmed_age_ms: u64,
    /// Whether `changes` is the whole directory rather than its changes since the requested offset.
    #[prost(bool, tag = "6")]
    pub(super) is_whole: bool,
    #[prost(message, repeated, tag = "7")]
    pub(super) changes: Vec<ServerUpdate>,
    /// The configuration as the operator published it, if it is not packed.
    #[prost(bytes = "bytes", tag = "8")]
    pub(super) document: bytes::Bytes,
    /// The packed configuration.
    #[prost(bytes = "bytes", tag = "9")]
    pub(super) packed: bytes::Bytes,
    /// The digest of the configuration to which `packed` is a difference, if it is one.
    #[prost(fixed64, optional, tag = "10")]
    pub(super) base_digest: Option<u64>,
    /// The same as `lists_all_contained`, for VMs of earlier releases. Theirs may state it although nobody
    /// has told them, so that it isn't read.
    #[prost(bool, tag = "11")]
    pub(super) knows_contained: bool,
    /// Whether `contained` is all that is contained, as the sender was told.
    #[prost(bool, tag = "15")]
    pub(super) lists_all_contained: bool,
    /// What the sender contains because it crashes servers; sent with the whole configuration.
    #[prost(message, repeated, tag = "12")]
    pub(super) contained: Vec<ContainedCauseMessage>,
    /// Whether the sender does not have the part and is reading the log.
    #[prost(bool, tag = "13")]
    pub(super) is_reading: bool,
    /// For how much longer there may be late entries of servers whose removal the sender does not know, in
    /// milliseconds; sent with the whole directory.
    #[prost(uint64, optional, tag = "14")]
    pub(super) removals_unknown_ms: Option<u64>,
}
