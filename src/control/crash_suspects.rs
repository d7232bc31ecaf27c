//! Requests that were aboard when runners crashed, and runners that test them alone.

use super::Verdict;
use crate::inventory::Name;
use crate::replica::Position;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Runs of runners that one request may crash before it is refused.
const MAX_CRASHES: usize = 2;
/// How long a suspect is remembered, by the log's clock.
const SUSPECT_KEPT_MS: u64 = 3_600_000;
/// Suspects remembered at most; the oldest goes first.
const MAX_SUSPECTS: usize = 1_024;
/// How long a runner stays isolated unless it is released, by the log's clock.
const ISOLATION_MS: u64 = 5_000;

/// What a writer asks for about suspects.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) enum SuspectCommand {
    /// Notes that a runner crashed with this request aboard.
    Crashed {
        fingerprint: u64,
        runner: Name,
        boot: u64,
    },
    /// Takes a runner for one suspect; nobody else sends it new requests.
    Isolate { runner: Name },
    /// Gives an isolated runner back.
    Release { runner: Name, isolation: u64 },
    /// Notes that the request ran where it would have crashed a runner.
    Clear { fingerprint: u64 },
}

/// What is known of a request by its fingerprint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum SuspectStatus {
    /// No runner crashed with it aboard.
    Clear,
    /// A runner crashed with it aboard; it may run alone.
    Suspect,
    /// It has crashed as many runners as one request may.
    Poison,
}

#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
struct Crashes {
    runs: BTreeSet<(Name, u64)>,
    at_ms: u64,
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
struct Isolation {
    fence: u64,
    at_ms: u64,
}

impl Isolation {
    fn is_over(self, now_ms: u64) -> bool {
        self.at_ms + ISOLATION_MS < now_ms
    }
}

/// The suspects and the isolated runners.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub(crate) struct Suspects {
    crashes: BTreeMap<u64, Crashes>,
    isolations: BTreeMap<Name, Isolation>,
}

impl Suspects {
    /// What is known of a request.
    pub(crate) fn standing(&self, fingerprint: u64) -> SuspectStatus {
        match self.crashes.get(&fingerprint) {
            None => SuspectStatus::Clear,
            Some(crashes) if crashes.runs.len() < MAX_CRASHES => SuspectStatus::Suspect,
            Some(_) => SuspectStatus::Poison,
        }
    }

    /// Whether a runner takes one suspect only, at a time of the platform's clock.
    pub(crate) fn is_isolated(&self, runner: &str, now_ms: u64) -> bool {
        self.isolations
            .get(runner)
            .is_some_and(|isolation| !isolation.is_over(now_ms))
    }

    pub(super) fn apply(&mut self, position: Position, command: SuspectCommand) -> Verdict {
        match command {
            SuspectCommand::Crashed {
                fingerprint,
                runner,
                boot,
            } => {
                let crashes = self.crashes.entry(fingerprint).or_default();
                crashes.runs.insert((runner, boot));
                crashes.at_ms = position.at_ms;
                self.forget_old(position.at_ms);
                Verdict::Accepted
            }
            SuspectCommand::Isolate { runner } => self.isolate(position, runner),
            SuspectCommand::Release { runner, isolation } => {
                let held = self.isolations.get(&runner);
                if held.is_none_or(|held| held.fence != isolation) {
                    return Verdict::Refused;
                }
                self.isolations.remove(&runner);
                Verdict::Accepted
            }
            SuspectCommand::Clear { fingerprint } => {
                if self.standing(fingerprint) != SuspectStatus::Suspect {
                    return Verdict::Refused;
                }
                self.crashes.remove(&fingerprint);
                Verdict::Accepted
            }
        }
    }

    fn isolate(&mut self, position: Position, runner: Name) -> Verdict {
        if self.is_isolated(&runner, position.at_ms) {
            return Verdict::Refused;
        }
        self.isolations
            .retain(|_, isolation| !isolation.is_over(position.at_ms));
        let isolation = Isolation {
            fence: position.fence,
            at_ms: position.at_ms,
        };
        self.isolations.insert(runner, isolation);
        Verdict::Accepted
    }

    fn forget_old(&mut self, now_ms: u64) {
        self.crashes
            .retain(|_, crashes| crashes.at_ms + SUSPECT_KEPT_MS >= now_ms);
        while self.crashes.len() > MAX_SUSPECTS {
            let oldest = self.crashes.iter().min_by_key(|(_, it)| it.at_ms);
            let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) else {
                return;
            };
            self.crashes.remove(&oldest);
        }
    }
}
