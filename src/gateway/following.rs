//! Who follows the log closely, and what the others learn of it from them.
//!
//! Every reading of the log costs, and most bring nothing. So one VM in each zone follows it
//! closely and tells up to where it has read news; the others read for themselves when they are
//! told of some, and now and then. Nobody takes over what another one read, and everybody
//! follows closely while nobody tells of fresh readings, so that a VM that is cut off from the
//! log or stands still delays the others by no more than [`FRESH_FOR`].

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// For how long what was read counts as all that there is: a reading each 0.5 s, held for as long
/// where it waits for a change, and its way to the others in a message each 0.2 s.
pub(crate) const FRESH_FOR: Duration = Duration::from_millis(1_200);

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
pub(crate) struct Following {
    /// Of the directory of backend servers.
    pub(crate) directory: Cell<Option<Reading>>,
    /// Of the configuration.
    pub(crate) configuration: Cell<Option<Reading>>,
}

impl Following {
    /// Both readings, once there are both.
    pub(crate) fn readings(&self) -> Option<Readings> {
        Some(Readings {
            directory: self.directory.get()?,
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
