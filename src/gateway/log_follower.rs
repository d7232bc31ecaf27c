//! Selects the VM that follows the log for its zone, and keeps the state of this VM's reads.
//!
//! Each read of the log has a cost, and most return nothing new. So one VM in each zone follows the
//! log closely, with frequent reads, and advertises the offsets of the last changes that it read.
//! The other VMs read the log when an advertised offset is ahead of theirs, and otherwise rarely.
//! Directory changes are forwarded together with their offsets (`directory_updates.rs`), so a VM
//! reads them from the log only if it missed some. While no VM of a zone advertises a fresh read,
//! all of them follow the log closely: a follower that hangs or is cut off from the log delays the
//! others by at most [`FRESH_FOR`].

use crate::gateway::boot_time::BootTime;
use crate::gateway::sync_message::Part;
use std::cell::Cell;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How long a read counts as current. This covers the interval of 0.5 s between two reads, a read
/// that is held for another 0.5 s while it waits for a change, and the round of 0.2 s in which its
/// offsets are sent to the other VMs.
pub(crate) const FRESH_FOR: Duration = Duration::from_millis(1_200);

/// How long the directory counts as disrupted after a failed read.
const DISRUPTED_FOR: Duration = Duration::from_millis(4_000);

/// Returns a time at which the log held nothing newer than what a read returned. `waited` is how long
/// the log waited in vain for a change; zero if the read returned one.
///
/// The arrival of the answer does not show this: on a slow path a large configuration takes seconds,
/// and a VM that was stopped finds an answer from before the stop. If the VM that follows the log
/// dated its reads by their arrival, its zone would miss the changes made in between, for up to
/// [`FRESH_FOR`] and the wait until the VMs read for themselves.
pub(crate) fn read_as_of(sent_at: Instant, waited: Duration, received_at: Instant) -> Instant {
    (sent_at + waited).min(received_at)
}

/// Result of the last read of one part of the log: the directory or the configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Reading {
    /// Offset just past the last change that other VMs must learn of at once.
    pub(crate) last_change: u64,
    /// A time at which the log contained nothing newer ([`read_as_of`]).
    pub(crate) at: Instant,
}

impl Reading {
    /// Whether the read is recent enough to count as the current state of the log.
    pub(crate) fn is_fresh(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.at) < FRESH_FOR
    }
}

/// Last reads of a VM that follows the log closely.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Readings {
    /// Last read of the directory of backend servers.
    pub(crate) directory: Reading,
    /// Offset up to which the directory was read. No record between `directory.last_change` and
    /// this offset matters to other VMs.
    pub(crate) directory_end: u64,
    /// Last read of the configuration.
    pub(crate) configuration: Reading,
}

impl Readings {
    /// The last read of one part.
    pub(crate) fn of(&self, part: Part) -> Reading {
        match part {
            Part::Directory => self.directory,
            Part::Configuration => self.configuration,
        }
    }

    /// Whether both reads are recent enough to count as the current state of the log.
    pub(crate) fn is_fresh(&self, now: Instant) -> bool {
        self.directory.is_fresh(now) && self.configuration.is_fresh(now)
    }
}

/// State of this VM's own reads of the log.
#[derive(Debug, Default)]
pub(crate) struct FollowerState {
    /// Last read of the directory of backend servers.
    pub(crate) directory: Cell<Option<Reading>>,
    /// Last read of the configuration.
    pub(crate) configuration: Cell<Option<Reading>>,
    /// Offset of the next read of the directory; `None` if the whole directory has to be read.
    pub(crate) directory_end: Cell<Option<u64>>,
    /// Offset up to which directory changes were sent to the zone.
    pub(crate) sent_to: Cell<Option<u64>>,
    /// When the directory was last known to be current.
    pub(crate) directory_confirmed_at: Cell<Option<Instant>>,
    /// When the configuration was last known to be current.
    pub(crate) configuration_confirmed_at: Cell<Option<Instant>>,
    /// When this VM sent the last request by which it read the directory from the log itself.
    pub(crate) directory_read_at: Cell<Option<BootTime>>,
    /// When a read of the directory from the log was last asked for.
    pub(crate) directory_read_wanted_at: Cell<Option<BootTime>>,
    /// When a read of the directory last failed, here or at the VM that forwarded an update.
    pub(crate) disrupted_at: Cell<Option<Instant>>,
    /// When that read was begun.
    pub(crate) unavailable_at: Cell<Option<Instant>>,
}

impl FollowerState {
    /// Records that another VM sent the directory changes up to `next`. Updates that this VM sends
    /// to its zone later start from there.
    pub(crate) fn note_received_update(&self, next: u64) {
        self.directory_end.set(Some(next));
        self.sent_to.set(None);
        if let Some(mut reading) = self.directory.get() {
            reading.last_change = reading.last_change.max(next);
            self.directory.set(Some(reading));
        }
    }

    /// The last read of one part; `None` until it was read.
    pub(crate) fn last_read(&self, part: Part) -> Option<Reading> {
        match part {
            Part::Directory => self.directory.get(),
            Part::Configuration => self.configuration.get(),
        }
    }

    /// Records that a part was current at a time; returns the latest such time.
    pub(crate) fn confirm(&self, part: Part, at: Instant) -> Instant {
        let confirmed_at = match part {
            Part::Directory => &self.directory_confirmed_at,
            Part::Configuration => &self.configuration_confirmed_at,
        };
        let latest = confirmed_at.get().map_or(at, |before| before.max(at));
        confirmed_at.set(Some(latest));
        latest
    }

    /// Whether this VM has read the directory from the log within `limit`.
    pub(crate) fn has_read_directory_within(&self, limit: Duration) -> bool {
        let read_at = self.directory_read_at.get();
        read_at.is_some_and(|at| at.elapsed() < limit)
    }

    /// Whether a read of the directory from the log was asked for within `limit`, and has not
    /// happened since.
    pub(crate) fn is_directory_read_wanted(&self, limit: Duration) -> bool {
        let wanted_at = self.directory_read_wanted_at.get();
        let wanted_at = wanted_at.filter(|at| at.elapsed() < limit);
        wanted_at.is_some_and(|wanted_at| self.directory_read_at.get() < Some(wanted_at))
    }

    /// Whether the log failed recently, so that entries may lapse although their servers are alive.
    pub(crate) fn was_recently_disrupted(&self, now: Instant) -> bool {
        let disrupted_at = self.disrupted_at.get();
        disrupted_at.is_some_and(|at| now.saturating_duration_since(at) < DISRUPTED_FOR)
    }

    /// Returns when the last read of the directory failed, if that was recently.
    pub(crate) fn recently_unavailable_at(&self, now: Instant) -> Option<Instant> {
        self.unavailable_at
            .get()
            .filter(|_| self.was_recently_disrupted(now))
    }

    /// Last reads of the directory and the configuration; `None` until both were read.
    pub(crate) fn readings(&self) -> Option<Readings> {
        Some(Readings {
            directory: self.directory.get()?,
            directory_end: self.directory_end.get()?,
            configuration: self.configuration.get()?,
        })
    }
}

/// Whether the VM at `own` has to follow the log closely, given the last reads that other VMs of
/// its zone advertised. Of the VMs with fresh reads, the one with the lowest address follows the
/// log for the zone.
pub(crate) fn follows_closely(
    own: SocketAddr,
    advertised: impl IntoIterator<Item = (SocketAddr, Readings)>,
    now: Instant,
) -> bool {
    let mut advertised = advertised.into_iter();
    !advertised.any(|(peer, readings)| peer < own && readings.is_fresh(now))
}
