//! Who follows the log closely, and what the others learn of it from them.
//!
//! Every reading of the log costs, and most bring nothing. So one VM in each zone follows it
//! closely and tells up to where it has read news; the others read for themselves when they are
//! told of some, and now and then. Changes of the directory are passed on with their offsets
//! (`directory_updates.rs`), so that no VM needs to read them that has missed none. Everybody
//! follows closely while nobody tells of fresh readings, so that a VM that is cut off from the log
//! or stands still delays the others by no more than [`FRESH_FOR`].

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// For how long what was read counts as all that there is: a reading each 0.5 s, held for as long
/// where it waits for a change, and its way to the others in a message each 0.2 s.
pub(crate) const FRESH_FOR: Duration = Duration::from_millis(1_200);

/// How long after a failed read the directory counts as shaken.
const SHAKEN_FOR: Duration = Duration::from_millis(4_000);

/// The state of one part of the log, as it was read last.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Reading {
    /// The offset after the last change that others must know of at once.
    pub(crate) news: u64,
    /// When it was read.
    pub(crate) at: Instant,
}

impl Reading {
    /// Whether hardly anything can have changed since.
    pub(crate) fn is_fresh(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.at) < FRESH_FOR
    }
}

/// What a VM that follows the log closely has read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Readings {
    /// Of the directory of backend servers.
    pub(crate) directory: Reading,
    /// The offset up to which the directory was read: nothing that matters comes between its news
    /// and there.
    pub(crate) directory_end: u64,
    /// Of the configuration.
    pub(crate) configuration: Reading,
}

impl Readings {
    /// Whether hardly anything can have changed since.
    pub(crate) fn is_fresh(&self, now: Instant) -> bool {
        self.directory.is_fresh(now) && self.configuration.is_fresh(now)
    }
}

/// This VM's own readings.
#[derive(Debug, Default)]
pub(crate) struct FollowerState {
    /// Of the directory of backend servers.
    pub(crate) directory: Cell<Option<Reading>>,
    /// Of the configuration.
    pub(crate) configuration: Cell<Option<Reading>>,
    /// The offset from which the directory is read on; `None` where all of it is to be read.
    pub(crate) directory_end: Cell<Option<u64>>,
    /// Up to where the zone was told the directory's changes.
    pub(crate) told_to: Cell<Option<u64>>,
    /// When the log was last found away.
    pub(crate) disrupted_at: Cell<Option<Instant>>,
}

impl FollowerState {
    /// Notes that changes of the directory up to `next` came from another VM: what this one tells
    /// its zone later goes on from there.
    pub(crate) fn note_received_update(&self, next: u64) {
        self.directory_end.set(Some(next));
        self.told_to.set(None);
        if let Some(mut reading) = self.directory.get() {
            reading.news = reading.news.max(next);
            self.directory.set(Some(reading));
        }
    }

    /// Whether entries may lapse because the log itself was away.
    pub(crate) fn is_shaken(&self, now: Instant) -> bool {
        let disrupted_at = self.disrupted_at.get();
        disrupted_at.is_some_and(|at| now.saturating_duration_since(at) < SHAKEN_FOR)
    }

    /// Both readings, once there are both.
    pub(crate) fn readings(&self) -> Option<Readings> {
        Some(Readings {
            directory: self.directory.get()?,
            directory_end: self.directory_end.get()?,
            configuration: self.configuration.get()?,
        })
    }
}

/// Whether a VM is to follow the log closely, by what others in its zone tell of their own
/// readings: the first by address that reads does so for all.
pub(crate) fn follows_closely(
    own: SocketAddr,
    told: impl IntoIterator<Item = (SocketAddr, Readings)>,
    now: Instant,
) -> bool {
    let mut told = told.into_iter();
    !told.any(|(peer, readings)| peer < own && readings.is_fresh(now))
}
