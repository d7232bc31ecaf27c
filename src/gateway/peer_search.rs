//! The search for a VM that sends a part of the state.

use std::net::SocketAddr;
use std::time::Duration;

/// The shortest and the longest pause before another VM is asked; drawn, so that VMs that look for
/// the same part spread out.
const MIN_PAUSE: Duration = Duration::from_millis(30);
const MAX_PAUSE: Duration = Duration::from_millis(150);
/// The same for the first requests, which find a VM with the state soon if the VMs
/// are not overloaded.
const MIN_FIRST_PAUSE: Duration = Duration::from_millis(8);
const MAX_FIRST_PAUSE: Duration = Duration::from_millis(25);
/// The number of requests after which the pause is longer: eight for each part.
const FIRST_REQUESTS: usize = 16;
/// The number of requests after which the pause grows with each further one. A few listed VMs
/// receive the requests of all VMs that start, so that requests at a fixed rate from hundreds of
/// VMs would take up their processors.
pub(super) const REGULAR_REQUESTS: usize = 24;
/// The longest pause is this many times the regular one.
const MAX_PAUSE_FACTOR: usize = 8;

/// The VMs that may send the part.
#[derive(Debug)]
pub(super) struct PeerSearch {
    /// The VM that is no longer asked once it turns out to lack the part.
    first: Option<SocketAddr>,
    candidates: Vec<SocketAddr>,
}

impl PeerSearch {
    /// Starts with one VM.
    pub(super) fn new(first: SocketAddr) -> Self {
        Self {
            first: Some(first),
            candidates: vec![first],
        }
    }

    /// Starts with VMs that have the part or are about to obtain it.
    pub(super) fn of_members(members: Vec<SocketAddr>) -> Self {
        Self {
            first: None,
            candidates: members,
        }
    }

    /// Picks the VM to ask next by `draw`, a random number from 0 to 1; `None` if none is left.
    pub(super) fn next(&self, draw: f64) -> Option<SocketAddr> {
        let index = (draw * self.candidates.len() as f64) as usize;
        self.candidates.get(index).copied()
    }

    /// Records that a VM transfers to others now, and whom it named instead.
    pub(super) fn note_busy(&mut self, referrals: impl IntoIterator<Item = SocketAddr>) {
        for referral in referrals {
            if !self.candidates.contains(&referral) {
                self.candidates.push(referral);
            }
        }
    }

    /// Records that a VM does not have the part. One that another VM named may still be receiving
    /// it, and is kept.
    pub(super) fn note_lacking(&mut self, peer: SocketAddr) {
        if self.first == Some(peer) {
            self.candidates.retain(|it| *it != peer);
        }
    }

    /// Records that a VM did not answer.
    pub(super) fn note_unreachable(&mut self, peer: SocketAddr) {
        self.candidates.retain(|it| *it != peer);
    }

    /// Returns the pause after `requests` requests in a row that brought nothing, by `draw`, a random
    /// number from 0 to 1.
    pub(super) fn pause(requests: usize, draw: f64) -> Duration {
        let (min, max) = match requests {
            ..=FIRST_REQUESTS => (MIN_FIRST_PAUSE, MAX_FIRST_PAUSE),
            _ => (MIN_PAUSE, MAX_PAUSE),
        };
        let excess = requests.saturating_sub(REGULAR_REQUESTS);
        let factor = (1 + excess / 2).min(MAX_PAUSE_FACTOR) as u32;
        (min + (max - min).mul_f64(draw)) * factor
    }
}
