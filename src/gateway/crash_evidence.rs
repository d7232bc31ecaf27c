//! The crashes that this VM knows of, and what each cause is charged with.

use crate::gateway::crash_report::{CrashCause, CrashReport, ServerRunId};
use std::collections::{HashMap, HashSet, VecDeque};
use std::time::{Duration, Instant};

/// How long a crash counts.
pub(super) const CRASH_RETENTION: Duration = Duration::from_secs(600);
/// The maximum number of reports; the oldest one is dropped first.
const MAX_REPORTS: usize = 512;

/// How far apart the reports of servers that crashed at the same moment arrive.
const COINCIDENCE_TIME: Duration = Duration::from_millis(500);
/// The number of other servers that must crash at the same moment for their crashes to have a common
/// cause outside the requests, such as an outage. Several bad parts at a time crash fewer.
const MIN_COINCIDENT_RUNS: usize = 5;
/// How many times as many servers these must be as crashed with the suspected cause.
const COINCIDENT_RATIO: usize = 3;

/// A reported request, and which of the possible causes have been cleared since.
#[derive(Debug)]
struct Crash {
    report: CrashReport,
    heard_at: Instant,
    /// When the server was sent the request.
    sent_at: Instant,
    /// When the connection broke.
    broken_at: Instant,
    /// The number of answers that had begun at this VM by then.
    begun_answers: u64,
    cleared: Vec<CrashCause>,
}

impl Crash {
    fn open_causes(&self) -> impl Iterator<Item = CrashCause> + '_ {
        let causes = self.report.causes();
        causes.filter(|cause| !self.cleared.contains(cause))
    }

    fn is_coincident(&self, other: &Self) -> bool {
        let (first, last) = (
            self.heard_at.min(other.heard_at),
            self.heard_at.max(other.heard_at),
        );
        last.duration_since(first) < COINCIDENCE_TIME
    }

    fn in_flight(&self) -> Duration {
        self.broken_at.saturating_duration_since(self.sent_at)
    }

    /// Whether something other than their equal requests ended this server and one that crashed
    /// before: the crashes are closer in time than the ages that the requests had reached, and this
    /// one was sent before the other crash.
    fn is_simultaneous(&self, earlier: &Self) -> bool {
        let apart = self.broken_at.saturating_duration_since(earlier.broken_at);
        let ages_apart = self.in_flight().abs_diff(earlier.in_flight());
        self.sent_at < earlier.broken_at && apart < COINCIDENCE_TIME.min(ages_apart)
    }
}

/// The crashes that a cause is charged with.
#[derive(Debug)]
pub(super) struct Charges {
    /// The runs of servers that crashed.
    pub(super) runs: HashSet<ServerRunId>,
    /// The fingerprints of the requests that they had not begun to answer.
    pub(super) requests: HashSet<u64>,
    /// The number of answers that had begun at this VM before the first of these crashes.
    pub(super) begun_answers: u64,
    /// The same for the other VMs that reported these crashes.
    begun_elsewhere: HashMap<u64, u64>,
}

impl Charges {
    /// The number of answers that had begun before at the VMs that reported these crashes and at
    /// this one.
    pub(super) fn answers_seen(&self) -> u64 {
        self.begun_answers + self.begun_elsewhere.values().sum::<u64>()
    }
}

/// The crashes with a cause that no outage of many servers explains.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct IndependentCrashes {
    /// The number of runs of servers that crashed.
    pub(super) runs: usize,
    /// The number of different requests that they had not begun to answer.
    pub(super) requests: usize,
}

/// The reports of all VMs, each counted once.
#[derive(Debug, Default)]
pub(super) struct CrashEvidence {
    crashes: VecDeque<Crash>,
}

impl CrashEvidence {
    /// Adds a report; returns false if it is known.
    pub(super) fn add(&mut self, report: &CrashReport, begun_answers: u64, now: Instant) -> bool {
        let broken_at = now.checked_sub(report.since_break).unwrap_or(now);
        let sent_at = broken_at.checked_sub(report.in_flight);
        let sent_at = sent_at.unwrap_or(broken_at);
        let known = self
            .crashes
            .iter_mut()
            .find(|crash| crash.report.run == report.run && crash.report.request == report.request);
        if let Some(known) = known {
            // The server would have begun with the oldest of equal requests.
            known.sent_at = known.sent_at.min(sent_at);
            return false;
        }
        if self.crashes.len() >= MAX_REPORTS {
            self.crashes.pop_front();
        }
        self.crashes.push_back(Crash {
            report: report.clone(),
            heard_at: now,
            sent_at,
            broken_at,
            begun_answers,
            cleared: Vec::new(),
        });
        true
    }

    /// Drops reports that no longer count.
    pub(super) fn prune_expired(&mut self, now: Instant) {
        let is_expired =
            |crash: &Crash| now.saturating_duration_since(crash.heard_at) >= CRASH_RETENTION;
        while self.crashes.front().is_some_and(is_expired) {
            self.crashes.pop_front();
        }
    }

    /// Whether there is no report.
    pub(super) fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    /// Clears a cause of the crashes that were known when a request with it was sent, since a server
    /// has begun to answer that request. Returns the runs of which the cause is cleared now.
    pub(super) fn clear_known_at(
        &mut self,
        cause: CrashCause,
        sent_at: Instant,
    ) -> Vec<ServerRunId> {
        self.clear(cause, |crash| crash.heard_at <= sent_at)
    }

    /// Clears a cause of all known crashes, since a server has run a request that is nothing but this
    /// cause. Returns the runs of which the cause is cleared now.
    pub(super) fn clear_all(&mut self, cause: CrashCause) -> Vec<ServerRunId> {
        self.clear(cause, |_| true)
    }

    /// Clears a cause of the crashes of these runs; returns whether anything changed.
    pub(super) fn clear_runs(&mut self, cause: CrashCause, runs: &[ServerRunId]) -> bool {
        let cleared = self.clear(cause, |crash| runs.contains(&crash.report.run));
        !cleared.is_empty()
    }

    fn clear(&mut self, cause: CrashCause, is_meant: impl Fn(&Crash) -> bool) -> Vec<ServerRunId> {
        let mut runs = Vec::new();
        for crash in &mut self.crashes {
            if is_meant(crash) && crash.open_causes().any(|open| open == cause) {
                crash.cleared.push(cause);
                runs.push(crash.report.run);
            }
        }
        runs.sort();
        runs.dedup();
        runs
    }

    /// Whether the cause is charged with a crash.
    pub(super) fn is_charged(&self, cause: CrashCause) -> bool {
        let mut open = self.crashes.iter().flat_map(Crash::open_causes);
        open.any(|it| it == cause)
    }

    /// The runs that ended with a request of this cause, cleared or not.
    pub(super) fn runs_with(&self, cause: CrashCause) -> impl Iterator<Item = ServerRunId> + '_ {
        let crashes = self.crashes.iter();
        let with_cause = crashes.filter(move |crash| crash.report.causes().any(|it| it == cause));
        with_cause.map(|crash| crash.report.run)
    }

    /// Counts the crashes with a cause, without those of servers that crashed at the same moment as many
    /// others without it. Runs whose crash is explained do not count as others.
    pub(super) fn independent_crashes(
        &self,
        cause: CrashCause,
        explained: &HashSet<ServerRunId>,
    ) -> IndependentCrashes {
        let independent = self.crashes_without_outages(cause, explained);
        let runs: HashSet<ServerRunId> = independent.iter().map(|it| it.report.run).collect();
        let requests: HashSet<u64> = independent.iter().map(|it| it.report.request).collect();
        IndependentCrashes {
            runs: runs.len(),
            requests: requests.len(),
        }
    }

    /// Counts the same crashes, simultaneous ones once.
    pub(super) fn successive_crashes(
        &self,
        cause: CrashCause,
        explained: &HashSet<ServerRunId>,
    ) -> usize {
        let mut crashes = self.crashes_without_outages(cause, explained);
        crashes.sort_by_key(|crash| crash.broken_at);
        let mut counted: Option<&Crash> = None;
        let mut count = 0;
        for crash in crashes {
            if !counted.is_some_and(|earlier| crash.is_simultaneous(earlier)) {
                counted = Some(crash);
                count += 1;
            }
        }
        count
    }

    fn crashes_without_outages(
        &self,
        cause: CrashCause,
        explained: &HashSet<ServerRunId>,
    ) -> Vec<&Crash> {
        let has_cause = |crash: &Crash| crash.open_causes().any(|open| open == cause);
        let (own, others): (Vec<&Crash>, Vec<&Crash>) =
            self.crashes.iter().partition(|crash| has_cause(crash));
        let own_runs: HashSet<ServerRunId> = own.iter().map(|it| it.report.run).collect();
        let runs_at = |crash: &Crash, all: &[&Crash]| {
            let near = all.iter().filter(|other| crash.is_coincident(other));
            let runs: HashSet<ServerRunId> = near.map(|other| other.report.run).collect();
            runs
        };
        let is_independent = |crash: &Crash| {
            let own_here = runs_at(crash, &own).len();
            let mut others_here = runs_at(crash, &others);
            others_here.retain(|run| !own_runs.contains(run) && !explained.contains(run));
            others_here.len() < MIN_COINCIDENT_RUNS.max(COINCIDENT_RATIO * own_here)
        };
        let independent = own.iter().filter(|crash| is_independent(crash));
        independent.copied().collect()
    }

    /// What each cause is charged with, without the runs whose crash is explained.
    pub(super) fn charges(&self, explained: &HashSet<ServerRunId>) -> HashMap<CrashCause, Charges> {
        let mut charges: HashMap<CrashCause, Charges> = HashMap::new();
        let crashes = self.crashes.iter();
        for crash in crashes.filter(|crash| !explained.contains(&crash.report.run)) {
            for cause in crash.open_causes() {
                let charge = charges.entry(cause).or_insert_with(|| Charges {
                    runs: HashSet::new(),
                    requests: HashSet::new(),
                    begun_answers: crash.begun_answers,
                    begun_elsewhere: HashMap::new(),
                });
                if let Some(witness) = crash.report.witness {
                    let first = charge.begun_elsewhere.entry(witness.vm);
                    first.or_insert(witness.begun_answers);
                }
                charge.runs.insert(crash.report.run);
                charge.requests.insert(crash.report.request);
            }
        }
        charges
    }
}
