//! The members of the group that the log lists.

use std::net::SocketAddr;
use std::time::Instant;

/// How many VMs stay members of the log's group for each partition that the log assigns to them.
/// With more than one, its list of partition owners is still full after the loss of a zone or two.
/// A shorter list is taken for the whole fleet.
pub(super) const MEMBERS_PER_PARTITION: usize = 2;
/// The number of partitions until the list was read: as many as any deployment has.
const DEFAULT_PARTITIONS: usize = 24;

/// The members that the log listed when the list was last read, without this VM. In a large fleet
/// these are only some of the VMs.
#[derive(Clone, Debug)]
pub(super) struct GroupMembers {
    pub(super) listed: Vec<SocketAddr>,
    /// Whether the list was read since the start.
    pub(super) was_read: bool,
    /// Whether all members were listed.
    pub(super) is_complete: bool,
    /// The number of partitions that the log assigns to members.
    pub(super) partitions: usize,
    /// What the first list since the start means for the first reads of this VM.
    pub(super) first_list: Option<FirstList>,
    /// When a VM last said that it is reading the log.
    pub(super) reader_heard_at: Option<Instant>,
}

/// What a VM learns from the first list of members that it reads.
#[derive(Clone, Copy, Debug)]
pub(super) struct FirstList {
    /// When the list was read.
    pub(super) read_at: Instant,
    /// The number of listed members with a lower address; `None` if this VM is not listed.
    pub(super) rank: Option<usize>,
    /// Whether so few members were listed that this VM is one of the first that joined.
    pub(super) is_short: bool,
}

impl GroupMembers {
    /// The number of VMs that stay members.
    pub(super) fn max_members(&self) -> usize {
        self.partitions * MEMBERS_PER_PARTITION
    }
}

impl Default for GroupMembers {
    fn default() -> Self {
        Self {
            listed: Vec::new(),
            was_read: false,
            is_complete: false,
            partitions: DEFAULT_PARTITIONS,
            first_list: None,
            reader_heard_at: None,
        }
    }
}
