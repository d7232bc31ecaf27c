//! Which connections are closed when memory or places are short.

use std::time::Duration;

/// Why a connection is closed for the sake of others.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum EvictionCause {
    /// The memory for clients is short.
    Memory,
    /// All places for connections are taken.
    Place,
}

impl EvictionCause {
    pub(super) const ALL: [Self; 2] = [Self::Memory, Self::Place];

    /// Returns the name in metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Memory => "memory",
            Self::Place => "place",
        }
    }
}

/// What a connection waits for.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Waiting {
    /// Its client is to go on with what it has begun: to read an answer, or to send a request.
    Begun,
    /// Its client has sent nothing yet.
    Unused,
    /// Its client may send the next request.
    Idle,
}

/// What is known of a connection that waits for its client.
#[derive(Clone, Copy, Debug)]
pub(super) struct Holding {
    pub(super) id: u64,
    pub(super) waiting: Waiting,
    /// For how long it has waited.
    pub(super) waited: Duration,
    /// What would become free.
    pub(super) bytes: usize,
}

impl Holding {
    /// The bytes times the time for which they were held.
    fn weight(&self) -> u128 {
        self.bytes as u128 * self.waited.as_millis()
    }
}

/// Chooses connections to close so that `needed_bytes` become free, among those that have waited for
/// `min_wait`: those that have held most for longest, and those between two requests last.
pub(super) fn choose_for_memory(
    mut holdings: Vec<Holding>,
    needed_bytes: usize,
    min_wait: Duration,
) -> Vec<u64> {
    holdings.retain(|it| it.waited >= min_wait && it.bytes > 0);
    holdings.sort_by_key(|it| (it.waiting == Waiting::Idle, u128::MAX - it.weight()));
    let mut free_bytes = 0;
    let chosen = holdings.iter().take_while(|it| {
        let is_needed = free_bytes < needed_bytes;
        free_bytes += it.bytes;
        is_needed
    });
    chosen.map(|it| it.id).collect()
}

/// The part of the usual wait after which a connection without any request gives its place to another.
const UNUSED_WAIT_SHARE: f64 = 0.25;

/// Chooses the connection that gives its place to another: the one that has waited longest, those that
/// are in the middle of something first.
pub(super) fn choose_for_place(holdings: &[Holding], min_wait: Duration) -> Option<u64> {
    let unused_wait = min_wait.mul_f64(UNUSED_WAIT_SHARE);
    let waited = holdings.iter().filter(|it| match it.waiting {
        Waiting::Unused => it.waited >= unused_wait,
        Waiting::Begun | Waiting::Idle => it.waited >= min_wait,
    });
    let chosen = waited.min_by_key(|it| (it.waiting, Duration::MAX - it.waited));
    chosen.map(|it| it.id)
}
