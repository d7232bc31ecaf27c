//! The part of a gossip message about the requests of other zones at runners.

use prost::Message;
use std::time::Duration;

/// The requests of other zones at some runners, with the age of each figure.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct RunnerLoadsPart {
    /// The short ids of the runs.
    #[prost(fixed32, repeated, tag = "1")]
    runs: Vec<u32>,
    /// The requests at each runner, in the same order.
    #[prost(uint32, repeated, tag = "2")]
    remote: Vec<u32>,
    /// The age of each figure in milliseconds, in the same order.
    #[prost(uint32, repeated, tag = "3")]
    ages_ms: Vec<u32>,
}

impl RunnerLoadsPart {
    /// Encodes runs with the requests at each and the age of the figure.
    pub(crate) fn of(figures: impl Iterator<Item = (u32, u32, Duration)>) -> Self {
        let mut part = Self::default();
        for (run, remote, age) in figures {
            part.runs.push(run);
            part.remote.push(remote);
            part.ages_ms.push(age.as_millis() as u32);
        }
        part
    }

    /// Whether there are no figures.
    pub(super) fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// Returns the runs with the requests at each and the age of the figure.
    pub(crate) fn figures(&self) -> impl Iterator<Item = (u32, u32, Duration)> {
        let runs = self.runs.iter().copied();
        let remote = self.remote.iter().copied();
        let ages = self.ages_ms.iter().copied();
        let figures = runs.zip(remote).zip(ages);
        figures
            .map(|((run, remote), age_ms)| (run, remote, Duration::from_millis(u64::from(age_ms))))
    }
}
