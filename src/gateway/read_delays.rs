//! How long a VM spends on each step until it has the current state.

use std::time::{Duration, Instant};

/// A step between two times at which a part of the state was known to be current.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ReadStep {
    /// Waiting for the turn to read the log, or for a change to be advertised.
    Turn,
    /// Requesting the part from another VM.
    Peer,
    /// Reading the log.
    Log,
    /// Pausing after a failure.
    Pause,
}

/// The time spent on each step since the part was last obtained.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ReadDelays {
    pub(super) turn: Duration,
    pub(super) peer: Duration,
    pub(super) log: Duration,
    pub(super) pause: Duration,
}

impl ReadDelays {
    /// Adds the time since `began` to a step.
    pub(super) fn add(&mut self, step: ReadStep, began: Instant) {
        let spent = match step {
            ReadStep::Turn => &mut self.turn,
            ReadStep::Peer => &mut self.peer,
            ReadStep::Log => &mut self.log,
            ReadStep::Pause => &mut self.pause,
        };
        *spent += began.elapsed();
    }
}
