//! Requests that were in flight when runners crashed, and runners isolated to run one alone.

use super::Verdict;
use crate::inventory::Name;
use crate::replica::Position;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Number of distinct engine runs that a request crashes before it is refused.
const MAX_CRASHES: usize = 2;
/// How long a suspect is remembered after its last crash, by the log's clock.
const SUSPECT_RETENTION_MS: u64 = 3_600_000;
/// Maximum number of suspects; the one with the oldest last crash is evicted first.
const MAX_SUSPECTS: usize = 1_024;
/// How long a runner stays isolated unless it is released, by the log's clock.
const ISOLATION_MS: u64 = 5_000;

/// A command about suspects and isolated runners.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) enum SuspectCommand {
    /// Records that a runner crashed with this request in flight.
    Crashed {
        fingerprint: u64,
        runner: Name,
        boot: u64,
    },
    /// Isolates a runner for one suspect; no VM sends it other new requests.
    Isolate { runner: Name },
    /// Ends the isolation of a runner whose fence is `isolation`.
    Release { runner: Name, isolation: u64 },
    /// Records that the request ran to where it would have crashed a runner, and did not; it is
    /// no longer a suspect.
    Clear { fingerprint: u64 },
}

/// Status of a request, by its fingerprint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum SuspectStatus {
    /// No runner is recorded to have crashed with the request in flight.
    Clear,
    /// A runner crashed with the request in flight; it may run only on an isolated runner.
    Suspect,
    /// The request reached the maximum number of crashes and is refused.
    Poison,
}

#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
struct CrashRecord {
    runs: BTreeSet<(Name, u64)>,
    at_ms: u64,
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
struct Isolation {
    fence: u64,
    at_ms: u64,
}

impl Isolation {
    fn has_expired(self, now_ms: u64) -> bool {
        self.at_ms + ISOLATION_MS < now_ms
    }
}

/// The suspects and the isolated runners.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub(crate) struct Suspects {
    crashes: BTreeMap<u64, CrashRecord>,
    isolations: BTreeMap<Name, Isolation>,
}

impl Suspects {
    /// The status of the request with a fingerprint.
    pub(crate) fn status(&self, fingerprint: u64) -> SuspectStatus {
        match self.crashes.get(&fingerprint) {
            None => SuspectStatus::Clear,
            Some(crashes) if crashes.runs.len() < MAX_CRASHES => SuspectStatus::Suspect,
            Some(_) => SuspectStatus::Poison,
        }
    }

    /// Whether a runner is reserved for a single suspect request at `now_ms`, in the time of the
    /// platform's clock.
    pub(crate) fn is_isolated(&self, runner: &str, now_ms: u64) -> bool {
        self.isolations
            .get(runner)
            .is_some_and(|isolation| !isolation.has_expired(now_ms))
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
                self.evict_old(position.at_ms);
                Verdict::Accepted
            }
            SuspectCommand::Isolate { runner } => self.isolate(position, runner),
            SuspectCommand::Release { runner, isolation } => {
                let current = self.isolations.get(&runner);
                if current.is_none_or(|current| current.fence != isolation) {
                    return Verdict::Refused;
                }
                self.isolations.remove(&runner);
                Verdict::Accepted
            }
            SuspectCommand::Clear { fingerprint } => {
                if self.status(fingerprint) != SuspectStatus::Suspect {
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
            .retain(|_, isolation| !isolation.has_expired(position.at_ms));
        let isolation = Isolation {
            fence: position.fence,
            at_ms: position.at_ms,
        };
        self.isolations.insert(runner, isolation);
        Verdict::Accepted
    }

    fn evict_old(&mut self, now_ms: u64) {
        self.crashes
            .retain(|_, crashes| crashes.at_ms + SUSPECT_RETENTION_MS >= now_ms);
        while self.crashes.len() > MAX_SUSPECTS {
            let oldest = self.crashes.iter().min_by_key(|(_, crashes)| crashes.at_ms);
            let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) else {
                return;
            };
            self.crashes.remove(&oldest);
        }
    }
}
