//! Decides which VMs of a fleet that starts at once read the log first, and whom the others ask.
//!
//! Every VM joins the group when it starts and then reads the list of members. The VMs that joined
//! first see a short list and read the log at once. All others ask the listed members, which have
//! the state or are about to have it. If nobody sends it, the listed VMs read the log one after the
//! other, in the order of their addresses. That is so when all VMs restart before their earlier
//! memberships have lapsed, since then no list is short.
//!
//! While the list cannot be read, [`ReadTurn`](crate::gateway::read_turn::ReadTurn) alone decides.

use std::time::{Duration, Instant};

/// The number of VMs that may read the log because they joined the group first. As many VMs as a
/// small fleet has, so that none of them waits for another.
pub(crate) const MAX_FIRST_READERS: usize = 6;
/// The time for which the first listed VM asks the others before it reads the log.
const ASK_TIME: Duration = Duration::from_millis(60);
/// The time between the reads of two listed VMs that follow each other, so that a later one can
/// learn of the read of an earlier one.
const RANK_INTERVAL: Duration = Duration::from_millis(60);
/// The number of listed VMs that read the log in this order. If all of them fail or are gone, the
/// turns of [`ReadTurn`](crate::gateway::read_turn::ReadTurn) decide.
const MAX_LISTED_READERS: usize = 3;
/// The time for which a VM relies on another one that said that it is reading the log. On a slow
/// processor the read may take longer than the turns.
const READER_TRUST: Duration = Duration::from_millis(300);

/// What a VM knows for its first read since its start.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FirstRead {
    /// When the list of members was read.
    pub(crate) read_at: Instant,
    /// The number of listed members before this VM; `None` if the list does not name this VM.
    pub(crate) rank: Option<usize>,
    /// Whether this VM is one of the first that joined the group.
    pub(crate) is_first_joiner: bool,
    /// Whether other members are listed.
    pub(crate) has_members: bool,
    /// When another VM last said that it is reading the log.
    pub(crate) reader_heard_at: Option<Instant>,
}

impl FirstRead {
    /// The time from which this VM may read the log; `None` if it is not one of the first readers.
    pub(crate) fn turn_at(&self) -> Option<Instant> {
        if self.is_first_joiner {
            return Some(self.read_at);
        }
        let rank = self.rank.filter(|rank| *rank < MAX_LISTED_READERS)?;
        let turn_at = self.read_at + ASK_TIME + RANK_INTERVAL * rank as u32;
        let trusted_until = self.reader_heard_at.map(|at| at + READER_TRUST);
        Some(trusted_until.map_or(turn_at, |until| until.max(turn_at)))
    }

    /// Whether this VM may read the log now.
    pub(crate) fn is_turn(&self, now: Instant) -> bool {
        self.turn_at().is_some_and(|at| now >= at)
    }
}
