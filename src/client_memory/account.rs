//! What is held for one client's connection.

use super::eviction::{EvictionCause, Holding, Waiting};
use super::memory::{ClientMemory, HeldBytes, ListenerId};
use super::{CONNECTION_BYTES, Reservation};
use crate::head_progress::HeadProgress;
use futures_util::task::AtomicWaker;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, AtomicU64, AtomicUsize, Ordering};
use std::task::Poll;
use std::time::{Duration, Instant};

/// What is held for one client's connection; copies share it. Requests carry it as an extension.
#[derive(Clone, Debug)]
pub(crate) struct ClientAccount(Arc<AccountState>);

#[derive(Debug)]
pub(super) struct AccountState {
    id: u64,
    memory: ClientMemory,
    listener: ListenerId,
    opened: Instant,
    head: HeadProgress,
    /// What is reserved beyond what each connection takes.
    held_bytes: AtomicUsize,
    /// The part of it in long reservations.
    long_bytes: AtomicUsize,
    /// Since when an answer waits to be read.
    unread: Stopwatch,
    /// Since when a body is being received.
    receiving: Stopwatch,
    /// One more than the cause's place in [`EvictionCause::ALL`]; 0 while the connection may stay.
    eviction: AtomicU8,
    closer: AtomicWaker,
}

/// A time that may be set, in milliseconds after the connection was opened, plus one; 0 if it is not.
#[derive(Debug, Default)]
struct Stopwatch(AtomicU64);

impl Stopwatch {
    /// Starts, unless it runs.
    fn start(&self, opened: Instant) {
        let millis = opened.elapsed().as_millis() as u64 + 1;
        // It runs already if this fails.
        let _ = self
            .0
            .compare_exchange(0, millis, Ordering::Relaxed, Ordering::Relaxed);
    }

    fn stop(&self) {
        self.0.store(0, Ordering::Relaxed);
    }

    /// For how long it has run, at a time since the connection was opened.
    fn running_for(&self, age: Duration) -> Option<Duration> {
        let millis = self.0.load(Ordering::Relaxed).checked_sub(1)?;
        Some(age.saturating_sub(Duration::from_millis(millis)))
    }
}

impl AccountState {
    pub(super) fn new(
        id: u64,
        memory: ClientMemory,
        listener: ListenerId,
        head: HeadProgress,
    ) -> Self {
        Self {
            id,
            memory,
            listener,
            opened: Instant::now(),
            head,
            held_bytes: AtomicUsize::default(),
            long_bytes: AtomicUsize::default(),
            unread: Stopwatch::default(),
            receiving: Stopwatch::default(),
            eviction: AtomicU8::default(),
            closer: AtomicWaker::new(),
        }
    }

    pub(super) fn id(&self) -> u64 {
        self.id
    }

    pub(super) fn listener(&self) -> ListenerId {
        self.listener
    }

    /// What becomes free when the connection is closed.
    pub(super) fn held(&self) -> HeldBytes {
        HeldBytes {
            all: CONNECTION_BYTES + self.held_bytes.load(Ordering::Relaxed),
            long: self.long_bytes.load(Ordering::Relaxed),
        }
    }

    /// Whether the connection is being closed for others.
    pub(super) fn is_evicted(&self) -> bool {
        self.eviction.load(Ordering::Relaxed) > 0
    }

    pub(super) fn evict(&self, cause: EvictionCause) {
        let place = EvictionCause::ALL.iter().position(|it| *it == cause);
        let number = place.map_or(0, |place| place as u8 + 1);
        self.eviction.store(number, Ordering::Relaxed);
        self.closer.wake();
    }

    /// What the connection holds while it waits for its client; `None` if it does not.
    pub(super) fn holding(&self, bytes: usize, now: Instant) -> Option<Holding> {
        let age = now.saturating_duration_since(self.opened);
        let head_for = self.head.first_byte_at();
        let head_for = head_for.map(|at| now.saturating_duration_since(at));
        let begun = [
            self.unread.running_for(age),
            self.receiving.running_for(age),
            head_for,
        ];
        let (waiting, waited) = match begun.into_iter().flatten().max() {
            Some(waited) => (Waiting::Begun, waited),
            None => {
                let idle_for = self.head.awaited_for()?;
                let waiting = match self.head.has_served() {
                    true => Waiting::Idle,
                    false => Waiting::Unused,
                };
                (waiting, idle_for)
            }
        };
        Some(Holding {
            id: self.id,
            waiting,
            waited,
            bytes,
        })
    }
}

impl Drop for AccountState {
    fn drop(&mut self) {
        self.memory.close_account(self.id);
    }
}

impl ClientAccount {
    pub(super) fn new(state: Arc<AccountState>) -> Self {
        Self(state)
    }

    /// The memory of all clients.
    pub(crate) fn memory(&self) -> &ClientMemory {
        &self.0.memory
    }

    /// Creates a reservation of no bytes for this client.
    pub(crate) fn reservation(&self) -> Reservation {
        Reservation::new(self.clone())
    }

    pub(super) fn add(&self, more: HeldBytes) {
        self.0.held_bytes.fetch_add(more.all, Ordering::Relaxed);
        self.0.long_bytes.fetch_add(more.long, Ordering::Relaxed);
    }

    pub(super) fn subtract(&self, less: HeldBytes) {
        self.0.held_bytes.fetch_sub(less.all, Ordering::Relaxed);
        self.0.long_bytes.fetch_sub(less.long, Ordering::Relaxed);
    }

    /// Records that a part of an answer waits for the client to read.
    pub(crate) fn note_unread(&self) {
        self.0.unread.start(self.0.opened);
    }

    /// Records that the client has read all that was sent, as far as the socket shows.
    pub(crate) fn note_read(&self) {
        self.0.unread.stop();
    }

    /// Records that the body of a request is being received, until the result is dropped.
    pub(crate) fn receive(&self) -> ReceivingGuard {
        self.0.receiving.start(self.0.opened);
        ReceivingGuard(self.clone())
    }

    /// Waits until the connection is to be closed for others.
    pub(crate) async fn evicted(&self) -> EvictionCause {
        std::future::poll_fn(|cx| {
            self.0.closer.register(cx.waker());
            let number = usize::from(self.0.eviction.load(Ordering::Relaxed));
            let cause = number
                .checked_sub(1)
                .and_then(|it| EvictionCause::ALL.get(it));
            cause.map_or(Poll::Pending, |cause| Poll::Ready(*cause))
        })
        .await
    }
}

impl ClientMemory {
    /// Adds an account that no connection belongs to.
    pub(crate) fn account(&self) -> ClientAccount {
        self.open_account(self.add_listener(), HeadProgress::default())
    }
}

/// The body of a request that is being received.
#[derive(Debug)]
pub(crate) struct ReceivingGuard(ClientAccount);

impl Drop for ReceivingGuard {
    fn drop(&mut self) {
        self.0.0.receiving.stop();
    }
}
