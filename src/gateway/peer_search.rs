//! The search for a VM that sends a part of the state.

use std::net::SocketAddr;
use std::time::Duration;

/// The shortest and the longest pause before another VM is asked; drawn, so that VMs that look for
/// the same part spread out.
const MIN_PAUSE: Duration = Duration::from_millis(30);
const MAX_PAUSE: Duration = Duration::from_millis(150);

/// The VMs that may send the part.
#[derive(Debug)]
pub(super) struct PeerSearch {
    first: SocketAddr,
    candidates: Vec<SocketAddr>,
}

impl PeerSearch {
    /// Starts with one VM.
    pub(super) fn new(first: SocketAddr) -> Self {
        Self {
            first,
            candidates: vec![first],
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
        if peer == self.first {
            self.candidates.retain(|it| *it != peer);
        }
    }

    /// Records that a VM did not answer.
    pub(super) fn note_unreachable(&mut self, peer: SocketAddr) {
        self.candidates.retain(|it| *it != peer);
    }

    /// Returns the pause before the next request, by `draw`, a random number from 0 to 1.
    pub(super) fn pause(draw: f64) -> Duration {
        MIN_PAUSE + (MAX_PAUSE - MIN_PAUSE).mul_f64(draw)
    }
}
