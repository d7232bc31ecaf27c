//! The memory for all clients of a process.

use super::account::{AccountState, ClientAccount};
use super::eviction::{EvictionCause, choose_for_memory, choose_for_place};
use super::{CONNECTION_BYTES, SHORT_BYTES};
use crate::head_progress::HeadProgress;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::{Duration, Instant};

/// The share of the memory for clients that long reservations may take together.
const LONG_SHARE: f64 = 0.75;
/// The share that connections may take, besides what is reserved for each.
const CONNECTIONS_SHARE: f64 = 0.75;
/// The part of a process's memory, in bytes, that is not held for clients whatever the process does.
const OWN_BYTES: usize = 28_000_000;
/// The smallest share of a process's memory that is held for clients.
const MIN_SHARE: f64 = 0.1;
/// How long a connection waits for its client before it may be closed for others.
const DEFAULT_MIN_WAIT: Duration = Duration::from_millis(1_000);
/// The time between two searches for connections to close after one that found none.
const SEARCH_INTERVAL: Duration = Duration::from_millis(20);

/// The label of connections that are counted by why they were closed.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct EvictionLabels {
    /// Why they were closed.
    pub(crate) reason: &'static str,
}

impl From<EvictionCause> for EvictionLabels {
    fn from(cause: EvictionCause) -> Self {
        Self {
            reason: cause.name(),
        }
    }
}

/// The memory for all clients of a process; copies share it.
#[derive(Clone, Debug)]
pub(crate) struct ClientMemory(Arc<Shared>);

/// Says which connections share their places.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct ListenerId(u64);

#[derive(Debug)]
struct Shared {
    max_bytes: usize,
    max_long_bytes: usize,
    min_wait: Duration,
    evictions: Family<EvictionLabels, Counter>,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    reserved_bytes: usize,
    /// The part of them in long reservations.
    long_bytes: usize,
    accounts: BTreeMap<u64, Weak<AccountState>>,
    /// The number of accounts and listeners so far.
    numbered: u64,
    /// When a search last found no connection to close.
    searched_at: Option<Instant>,
}

/// Bytes, and the part of them in long reservations.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct HeldBytes {
    pub(super) all: usize,
    pub(super) long: usize,
}

impl HeldBytes {
    /// Those of a reservation.
    pub(super) fn of(reserved_bytes: usize) -> Self {
        Self {
            all: reserved_bytes,
            long: if reserved_bytes > SHORT_BYTES {
                reserved_bytes
            } else {
                0
            },
        }
    }
}

impl ClientMemory {
    /// Creates a bound of `max_bytes`, which connections may hold for `min_wait` while they wait for
    /// their clients even if others need them.
    pub(crate) fn new(max_bytes: usize, min_wait: Duration) -> Self {
        Self::counted(max_bytes, min_wait, Family::default())
    }

    /// Like [`Self::new`]; `evictions` counts the connections that are closed for others.
    pub(crate) fn counted(
        max_bytes: usize,
        min_wait: Duration,
        evictions: Family<EvictionLabels, Counter>,
    ) -> Self {
        for cause in EvictionCause::ALL {
            // The counter is shown from the start.
            drop(evictions.get_or_create(&cause.into()));
        }
        Self(Arc::new(Shared {
            max_bytes,
            max_long_bytes: (max_bytes as f64 * LONG_SHARE) as usize,
            min_wait,
            evictions,
            state: Mutex::default(),
        }))
    }

    /// The memory for clients of a process with this memory: a `share` of what it does not need itself.
    pub(crate) fn bytes_of_process(memory_bytes: f64, share: f64) -> usize {
        let own_bytes = OWN_BYTES as f64;
        let bytes = ((memory_bytes - own_bytes) * share).max(memory_bytes * MIN_SHARE);
        bytes as usize
    }

    /// Creates memory without a bound.
    pub(crate) fn unbounded() -> Self {
        Self::new(usize::MAX, DEFAULT_MIN_WAIT)
    }

    /// The most bytes that can be reserved.
    pub(crate) fn max_bytes(&self) -> usize {
        self.0.max_bytes
    }

    /// The length of the longest reservation.
    pub(crate) fn longest_bytes(&self) -> usize {
        self.0.max_long_bytes
    }

    /// The bytes that are reserved now.
    pub(crate) fn reserved_bytes(&self) -> usize {
        self.state().reserved_bytes
    }

    /// The part of them in long reservations.
    #[cfg(test)]
    pub(super) fn long_bytes(&self) -> usize {
        self.state().long_bytes
    }

    /// The number of open connections.
    pub(crate) fn connections(&self) -> usize {
        self.state().accounts.len()
    }

    /// Begins to count the connections of one listener.
    pub(crate) fn add_listener(&self) -> ListenerId {
        ListenerId(self.state().next_number())
    }

    /// Whether there is room for one more connection; makes some if others can be closed for it.
    pub(crate) fn has_connection_room(&self) -> bool {
        let max_connection_bytes = (self.0.max_bytes as f64 * CONNECTIONS_SHARE) as usize;
        let (has_share, has_room) = {
            let state = self.state();
            let connection_bytes = (state.accounts.len() + 1).saturating_mul(CONNECTION_BYTES);
            let all_bytes = state.reserved_bytes.saturating_add(CONNECTION_BYTES);
            (
                connection_bytes <= max_connection_bytes,
                all_bytes <= self.0.max_bytes,
            )
        };
        if !has_share {
            // The share is that of all listeners.
            return self.free_place(None);
        }
        has_room || self.make_room(HeldBytes::of(CONNECTION_BYTES))
    }

    /// Adds a connection, and reserves what each takes, whether there is room or not.
    pub(crate) fn open_account(&self, listener: ListenerId, head: HeadProgress) -> ClientAccount {
        let mut state = self.state();
        let id = state.next_number();
        let account = Arc::new(AccountState::new(id, self.clone(), listener, head));
        state.accounts.insert(id, Arc::downgrade(&account));
        state.reserved_bytes = state.reserved_bytes.saturating_add(CONNECTION_BYTES);
        ClientAccount::new(account)
    }

    pub(super) fn close_account(&self, id: u64) {
        let mut state = self.state();
        state.accounts.remove(&id);
        state.reserved_bytes -= CONNECTION_BYTES;
    }

    /// Reserves more bytes if there is room.
    pub(super) fn try_reserve(&self, more: HeldBytes) -> bool {
        let mut state = self.state();
        let all = state.reserved_bytes.saturating_add(more.all);
        let long = state.long_bytes.saturating_add(more.long);
        let has_long_room = more.long == 0 || long <= self.0.max_long_bytes;
        let has_room = all <= self.0.max_bytes && has_long_room;
        if has_room {
            state.reserved_bytes = all;
            state.long_bytes = long;
        }
        has_room
    }

    /// Reserves more bytes, whether there is room or not.
    pub(super) fn reserve_beyond(&self, more: HeldBytes) {
        let mut state = self.state();
        state.reserved_bytes = state.reserved_bytes.saturating_add(more.all);
        state.long_bytes = state.long_bytes.saturating_add(more.long);
    }

    pub(super) fn give_back(&self, unused: HeldBytes) {
        let mut state = self.state();
        state.reserved_bytes -= unused.all;
        state.long_bytes -= unused.long;
    }

    /// Closes connections so that there is room for `more`; returns whether there will be once they
    /// are closed.
    pub(super) fn make_room(&self, more: HeldBytes) -> bool {
        let now = Instant::now();
        let (missing_bytes, is_long) = {
            let state = self.state();
            let recently = state.searched_at.map(|at| now.duration_since(at));
            if recently.is_some_and(|since| since < SEARCH_INTERVAL) {
                return false;
            }
            let all = state.reserved_bytes.saturating_add(more.all);
            let long = state.long_bytes.saturating_add(more.long);
            let missing = all.saturating_sub(self.0.max_bytes);
            let missing_long = long.saturating_sub(self.0.max_long_bytes);
            match more.long > 0 && missing_long > missing {
                true => (missing_long, true),
                false => (missing, false),
            }
        };
        let accounts = self.accounts();
        let held_bytes = |account: &AccountState| {
            let held = account.held();
            if is_long { held.long } else { held.all }
        };
        let closing = accounts.iter().filter(|account| account.is_evicted());
        let coming_bytes: usize = closing.map(|account| held_bytes(account)).sum();
        let Some(needed_bytes) = missing_bytes.checked_sub(coming_bytes).filter(|it| *it > 0)
        else {
            return true;
        };
        let open = accounts.iter().filter(|account| !account.is_evicted());
        let holdings = open.filter_map(|account| account.holding(held_bytes(account), now));
        let chosen = choose_for_memory(holdings.collect(), needed_bytes, self.0.min_wait);
        let mut free_bytes = 0;
        for account in accounts.iter().filter(|it| chosen.contains(&it.id())) {
            free_bytes += held_bytes(account);
            self.evict(account, EvictionCause::Memory);
        }
        let is_enough = free_bytes >= needed_bytes;
        if !is_enough {
            self.state().searched_at = Some(now);
        }
        is_enough
    }

    /// Closes a connection of a listener whose places are all taken, or of any listener; returns whether
    /// there is one that can be closed.
    pub(crate) fn free_place(&self, listener: Option<ListenerId>) -> bool {
        let now = Instant::now();
        let accounts = self.accounts();
        let is_own = |it: &AccountState| listener.is_none_or(|listener| it.listener() == listener);
        let own = accounts.iter().filter(|it| is_own(it));
        let open = own.filter(|account| !account.is_evicted());
        let holdings: Vec<_> = open.filter_map(|it| it.holding(0, now)).collect();
        let chosen = choose_for_place(&holdings, self.0.min_wait);
        let account = chosen.and_then(|id| accounts.iter().find(|it| it.id() == id));
        if let Some(account) = account {
            self.evict(account, EvictionCause::Place);
        }
        account.is_some()
    }

    fn evict(&self, account: &AccountState, cause: EvictionCause) {
        self.0.evictions.get_or_create(&cause.into()).inc();
        account.evict(cause);
    }

    /// The connections that are open. They are not locked, so that the last copy of one can be dropped.
    fn accounts(&self) -> Vec<Arc<AccountState>> {
        let state = self.state();
        state.accounts.values().filter_map(Weak::upgrade).collect()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        let state = &self.0.state;
        // The state is consistent between any two statements that can panic.
        state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn next_number(&mut self) -> u64 {
        self.numbered += 1;
        self.numbered
    }
}
