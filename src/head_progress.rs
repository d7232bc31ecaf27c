//! How far a client has come with its next request head, shared by the stream and the timer of its
//! connection.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU32, AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// What is known of bytes that a client has sent and `hyper` has not been given yet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Unread {
    /// Nobody has looked.
    Unknown,
    /// The stream is to look when it is read next.
    Wanted,
    /// There are none.
    Absent,
    /// There are some.
    Present,
}

impl Unread {
    const ALL: [Self; 4] = [Self::Unknown, Self::Wanted, Self::Absent, Self::Present];
}

/// How far a client has come with its next request head.
#[derive(Clone, Debug)]
pub(crate) struct HeadProgress(Arc<SharedProgress>);

#[derive(Debug)]
struct SharedProgress {
    opened: Instant,
    /// The number of [`AwaitedHead`]s.
    awaited: AtomicU32,
    /// When the last one began, in milliseconds since `opened`.
    awaited_since_ms: AtomicU64,
    /// The number of heads that were waited for so far.
    heads: AtomicU64,
    /// Bytes of the head that have arrived.
    received_bytes: AtomicU64,
    /// When the first of them arrived, in milliseconds since `opened`.
    first_byte_ms: AtomicU64,
    /// The place in [`Unread::ALL`].
    unread: AtomicU8,
    /// Whether the stream has last kept bytes back, so that others have their turn.
    is_held_back: AtomicBool,
}

/// A request head that is waited for, until dropped.
#[derive(Debug)]
pub(crate) struct AwaitedHead(HeadProgress);

impl Drop for AwaitedHead {
    fn drop(&mut self) {
        self.0.0.awaited.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Default for HeadProgress {
    fn default() -> Self {
        Self(Arc::new(SharedProgress {
            opened: Instant::now(),
            awaited: AtomicU32::default(),
            awaited_since_ms: AtomicU64::default(),
            heads: AtomicU64::default(),
            received_bytes: AtomicU64::default(),
            first_byte_ms: AtomicU64::default(),
            unread: AtomicU8::default(),
            is_held_back: AtomicBool::default(),
        }))
    }
}

impl HeadProgress {
    /// Waits for a head from here on.
    pub(crate) fn await_head(&self) -> AwaitedHead {
        self.0.received_bytes.store(0, Ordering::Relaxed);
        let millis = self.age().as_millis() as u64;
        self.0.awaited_since_ms.store(millis, Ordering::Relaxed);
        self.0.heads.fetch_add(1, Ordering::Relaxed);
        self.0.awaited.fetch_add(1, Ordering::Relaxed);
        self.set_unread(Unread::Unknown);
        AwaitedHead(self.clone())
    }

    /// Whether no request is in work, so that the next bytes belong to a head.
    pub(crate) fn is_awaited(&self) -> bool {
        self.0.awaited.load(Ordering::Relaxed) > 0
    }

    /// For how long a head has been waited for; `None` while a request is in work.
    pub(crate) fn awaited_for(&self) -> Option<Duration> {
        let since_ms = self.0.awaited_since_ms.load(Ordering::Relaxed);
        let waited = self.age().saturating_sub(Duration::from_millis(since_ms));
        self.is_awaited().then_some(waited)
    }

    /// Whether a request was served before the head that is waited for.
    pub(crate) fn has_served(&self) -> bool {
        self.0.heads.load(Ordering::Relaxed) > 1
    }

    /// Counts bytes that `hyper` is given.
    pub(crate) fn add(&self, bytes: usize) {
        self.0.is_held_back.store(false, Ordering::Relaxed);
        if !self.is_awaited() || bytes == 0 {
            return;
        }
        let before = self
            .0
            .received_bytes
            .fetch_add(bytes as u64, Ordering::Relaxed);
        if before == 0 {
            let millis = self.age().as_millis() as u64;
            self.0.first_byte_ms.store(millis, Ordering::Relaxed);
        }
    }

    /// The bytes of an incomplete head that have arrived.
    pub(crate) fn received_bytes(&self) -> u64 {
        match self.is_awaited() {
            true => self.0.received_bytes.load(Ordering::Relaxed),
            false => 0,
        }
    }

    /// When the first byte of an incomplete head arrived.
    pub(crate) fn first_byte_at(&self) -> Option<Instant> {
        let millis = self.0.first_byte_ms.load(Ordering::Relaxed);
        (self.received_bytes() > 0).then(|| self.0.opened + Duration::from_millis(millis))
    }

    /// The time since the connection was opened.
    pub(crate) fn age(&self) -> Duration {
        self.0.opened.elapsed()
    }

    /// Records that the stream keeps bytes back, or has to wait for more.
    pub(crate) fn hold_back(&self, is_held_back: bool) {
        self.0.is_held_back.store(is_held_back, Ordering::Relaxed);
    }

    /// What is known of bytes that were not read.
    pub(crate) fn unread(&self) -> Unread {
        if self.0.is_held_back.load(Ordering::Relaxed) {
            return Unread::Present;
        }
        let place = usize::from(self.0.unread.load(Ordering::Relaxed));
        Unread::ALL.get(place).copied().unwrap_or(Unread::Unknown)
    }

    /// States what is known of bytes that were not read.
    pub(crate) fn set_unread(&self, unread: Unread) {
        let place = Unread::ALL.iter().position(|it| *it == unread);
        let place = place.map_or(0, |place| place as u8);
        self.0.unread.store(place, Ordering::Relaxed);
    }
}
