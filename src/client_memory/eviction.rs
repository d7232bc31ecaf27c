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

/// The part of the usual wait after which a connection that has sent no request, or not gone on with
/// one, is closed for others if that is not enough.
const SHORT_WAIT_SHARE: f64 = 0.25;

impl Holding {
    /// Whether the connection may be closed for others at all.
    fn may_give_way(&self, min_wait: Duration) -> bool {
        let needed_wait = match self.waiting {
            Waiting::Begun | Waiting::Unused => min_wait.mul_f64(SHORT_WAIT_SHARE),
            Waiting::Idle => min_wait,
        };
        self.waited >= needed_wait
    }

    /// Those between two requests give way after all others, and before them those that have not
    /// waited for long.
    fn turn(&self, min_wait: Duration) -> (bool, bool) {
        (self.waiting == Waiting::Idle, self.waited < min_wait)
    }
}

/// Chooses connections to close so that `needed_bytes` become free: those that have waited for
/// `min_wait` and held most for longest, then those that have waited for a part of it, and those
/// between two requests last.
pub(super) fn choose_for_memory(
    mut holdings: Vec<Holding>,
    needed_bytes: usize,
    min_wait: Duration,
) -> Vec<u64> {
    holdings.retain(|it| it.may_give_way(min_wait) && it.bytes > 0);
    holdings.sort_by_key(|it| (it.turn(min_wait), u128::MAX - it.weight()));
    let mut free_bytes = 0;
    let chosen = holdings.iter().take_while(|it| {
        let is_needed = free_bytes < needed_bytes;
        free_bytes += it.bytes;
        is_needed
    });
    chosen.map(|it| it.id).collect()
}

/// Chooses the connection that gives its place to another: the one that has waited longest, those that
/// are in the middle of something first.
pub(super) fn choose_for_place(holdings: &[Holding], min_wait: Duration) -> Option<u64> {
    let waited = holdings.iter().filter(|it| it.may_give_way(min_wait));
    let chosen = waited.min_by_key(|it| {
        let longest_first = Duration::MAX - it.waited;
        (it.turn(min_wait), it.waiting, longest_first)
    });
    chosen.map(|it| it.id)
}
