//! Decides which requests are refused because they would crash servers.
//!
//! A crash is charged to all that its unanswered requests have: the parts of their prompts and the
//! requests themselves. A cause crashes every server that begins to answer it, so that an answer
//! that begins clears all that its request has. What is left and explains most crashes is contained.
//! A crash that a contained part explains is charged to nothing else. Servers that crash together,
//! most of them without the suspected cause, crash for a reason outside the requests. So do servers
//! that crash at the same moment with equal requests of different ages, since a cause crashes each
//! server at about the same age.

use crate::gateway::PromptPart;
use crate::gateway::begun_parts::BegunParts;
use crate::gateway::crash_evidence::{CRASH_RETENTION, Charges, CrashEvidence};
use crate::gateway::crash_report::{CrashCause, CrashReport, MAX_REPORTED_PARTS, ServerRunId};
use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

/// The number of servers that a request crashes before it is contained.
const REQUEST_CRASHES: usize = 2;
/// The same for a part with which no answer is known to have begun. As many different requests must
/// have had it, since a sound one may be sent from one crash into the next.
const NEW_PART_CRASHES: usize = 2;
/// The same for any other part.
const KNOWN_PART_CRASHES: usize = 4;
/// The number of answers that must have begun since the first crash, all without the part, before a
/// part is contained with which answers had begun before.
const MIN_ANSWERS_WITHOUT_PART: u64 = 10;
/// The number of answers that must have begun at this VM and at the other VMs that report crashes
/// with a part before the part is taken for new. In a large fleet one VM sees few answers. The
/// reporting VMs tell each other if one of theirs had the part, within [`CONFIRM_DELAY`].
const MIN_ANSWERS_SEEN: u64 = 20;
/// How long the evidence must hold before other VMs are told to contain the cause; by then what
/// they know of it has arrived.
const CONFIRM_DELAY: Duration = Duration::from_millis(700);
/// How long a cause stays contained after the last request that was refused for it.
const CONTAINMENT_RETENTION: Duration = CRASH_RETENTION;
/// The maximum number of contained causes; the one refused least recently is dropped first.
const MAX_CONTAINED: usize = 256;

/// A contained cause.
#[derive(Clone, Copy, Debug)]
struct Containment {
    since: Instant,
    /// When a VM last refused a request for it.
    refused_at: Instant,
    /// Whether the containment stays in force whatever is learnt later.
    is_confirmed: bool,
    /// The number of crashes charged to it.
    crashes: usize,
}

/// A change of what is contained.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct ContainmentChange {
    pub(crate) cause: CrashCause,
    pub(crate) is_contained: bool,
    /// The number of crashes charged to the cause.
    pub(crate) crashes: usize,
}

/// Crashes, answers and contained causes, as observed by this VM and its peers.
#[derive(Debug, Default)]
pub(crate) struct CrashContainment {
    evidence: CrashEvidence,
    contained: HashMap<CrashCause, Containment>,
    /// Parts with which answers began at this VM.
    begun_here: BegunParts,
    /// Parts with which answers began at other VMs.
    begun_elsewhere: BegunParts,
    /// The number of answers that began at this VM.
    begun_answers: u64,
}

impl CrashContainment {
    /// Counts a crash that this VM or a peer observed; returns false if it is known.
    pub(crate) fn record_crash(&mut self, report: &CrashReport, now: Instant) -> bool {
        self.evidence.prune_expired(now);
        self.evidence.add(report, self.begun_answers, now)
    }

    /// The number of answers that began at this VM.
    pub(crate) fn begun_answers(&self) -> u64 {
        self.begun_answers
    }

    /// Records that a server has begun to answer a request that was sent at a time. A part may have
    /// turned bad since, while equal requests are all alike. Returns what is cleared by that, with
    /// the runs whose crashes it is no longer charged with.
    pub(crate) fn record_begun_answer(
        &mut self,
        request: u64,
        parts: &[PromptPart],
        sent_at: Instant,
    ) -> Vec<(CrashCause, Vec<ServerRunId>)> {
        self.begun_answers += 1;
        for part in parts {
            self.begun_here.insert(*part);
        }
        if self.evidence.is_empty() {
            return Vec::new();
        }
        let mut cleared = Vec::new();
        for part in parts {
            let cause = CrashCause::Part(*part);
            cleared.push((cause, self.evidence.clear_known_at(cause, sent_at)));
        }
        let cause = CrashCause::Request(request);
        cleared.push((cause, self.evidence.clear_all(cause)));
        cleared.retain(|(_, runs)| !runs.is_empty());
        cleared
    }

    /// Applies what the answer to a request of a peer has cleared; returns whether that is news.
    pub(crate) fn clear(&mut self, cause: CrashCause, runs: &[ServerRunId]) -> bool {
        if let CrashCause::Part(part) = cause {
            self.begun_elsewhere.insert(part);
        }
        self.evidence.clear_runs(cause, runs)
    }

    /// Records that an answer with a part began at a peer; returns whether that is news.
    pub(crate) fn record_begun_elsewhere(&mut self, part: PromptPart) -> bool {
        let is_news = !self.begun_elsewhere.contains(part);
        self.begun_elsewhere.insert(part);
        is_news
    }

    /// Whether an answer with the part began at this VM.
    pub(crate) fn has_begun_here(&self, part: PromptPart) -> bool {
        self.begun_here.contains(part)
    }

    /// The parts that a report names: as many as it may, those first with which no answer is known to
    /// have begun.
    pub(crate) fn reportable_parts(&self, parts: &[PromptPart]) -> Vec<PromptPart> {
        let mut parts = parts.to_vec();
        parts.sort_by_key(|part| self.is_known(*part));
        parts.truncate(MAX_REPORTED_PARTS);
        parts
    }

    fn is_known(&self, part: PromptPart) -> bool {
        self.begun_here.contains(part) || self.begun_elsewhere.contains(part)
    }

    /// Whether there is a part with which no answer is known to have begun.
    pub(crate) fn has_unknown_part(&self, parts: &[PromptPart]) -> bool {
        parts.iter().any(|part| !self.is_known(*part))
    }

    /// Whether a part may be the cause of a crash: it is charged with one, and no answer with it is
    /// known to have begun.
    pub(crate) fn has_suspect(&self, parts: &[PromptPart]) -> bool {
        let mut unknown = parts.iter().filter(|part| !self.is_known(**part));
        unknown.any(|part| self.evidence.is_charged(CrashCause::Part(*part)))
    }

    /// The contained cause that a request has, if it has one. The refusal that follows keeps the
    /// cause contained.
    pub(crate) fn cause_of(
        &mut self,
        request: u64,
        parts: &[PromptPart],
        now: Instant,
    ) -> Option<CrashCause> {
        if self.contained.is_empty() {
            return None;
        }
        let causes = parts.iter().copied().map(CrashCause::Part);
        let mut causes = causes.chain([CrashCause::Request(request)]);
        let cause = causes.find(|cause| self.contained.contains_key(cause))?;
        if let Some(containment) = self.contained.get_mut(&cause) {
            containment.refused_at = now;
        }
        Some(cause)
    }

    /// Contains a cause that a peer contains, which last refused a request for it `idle` ago.
    /// Returns whether that is news.
    pub(crate) fn contain(&mut self, cause: CrashCause, idle: Duration, now: Instant) -> bool {
        let refused_at = now.checked_sub(idle).unwrap_or(now);
        if idle >= CONTAINMENT_RETENTION {
            return false;
        }
        let known = self.contained.get(&cause).copied();
        let is_news = !known.is_some_and(|known| known.is_confirmed);
        let containment = Containment {
            since: known.map_or(now, |known| known.since),
            refused_at: known.map_or(refused_at, |known| known.refused_at.max(refused_at)),
            is_confirmed: true,
            crashes: known.map_or(0, |known| known.crashes),
        };
        self.contained.insert(cause, containment);
        self.evict_excess();
        is_news
    }

    /// Decides anew what is contained; returns what has changed.
    pub(crate) fn update(&mut self, now: Instant) -> Vec<ContainmentChange> {
        self.evidence.prune_expired(now);
        let before = self.contained.clone();
        self.contained.retain(|_, containment| {
            let idle = now.saturating_duration_since(containment.refused_at);
            containment.is_confirmed && idle < CONTAINMENT_RETENTION
        });
        if !self.evidence.is_empty() {
            for (cause, crashes) in self.convicted() {
                let earlier = before.get(&cause);
                let since = earlier.map_or(now, |earlier| earlier.since);
                let containment = Containment {
                    since,
                    refused_at: earlier.map_or(now, |earlier| earlier.refused_at),
                    is_confirmed: now.saturating_duration_since(since) >= CONFIRM_DELAY,
                    crashes,
                };
                self.contained.insert(cause, containment);
            }
            self.evict_excess();
        }
        let mut changes = Vec::new();
        for (cause, containment) in &self.contained {
            if !before.contains_key(cause) {
                changes.push(ContainmentChange {
                    cause: *cause,
                    is_contained: true,
                    crashes: containment.crashes,
                });
            }
        }
        for (cause, containment) in before {
            if !self.contained.contains_key(&cause) {
                changes.push(ContainmentChange {
                    cause,
                    is_contained: false,
                    crashes: containment.crashes,
                });
            }
        }
        changes
    }

    /// The causes that the evidence convicts and that are not confirmed yet, each with the number
    /// of crashes charged to it.
    fn convicted(&self) -> Vec<(CrashCause, usize)> {
        let confirmed = self.contained.keys();
        let parts = confirmed.filter(|cause| matches!(cause, CrashCause::Part(_)));
        let mut explained: HashSet<ServerRunId> = parts
            .flat_map(|cause| self.evidence.runs_with(*cause))
            .collect();
        let mut convicted = Vec::new();
        loop {
            let charges = self.evidence.charges(&explained);
            let Some((cause, charges)) = self.strongest_part(&charges, &explained) else {
                break;
            };
            convicted.push((cause, charges.runs.len()));
            explained.extend(self.evidence.runs_with(cause));
        }
        for (cause, charges) in self.evidence.charges(&explained) {
            let is_request = matches!(cause, CrashCause::Request(_));
            let is_contained = self.contained.contains_key(&cause);
            let is_convicted = || {
                charges.runs.len() >= REQUEST_CRASHES
                    && self.evidence.successive_crashes(cause, &explained) >= REQUEST_CRASHES
            };
            if is_request && !is_contained && is_convicted() {
                convicted.push((cause, charges.runs.len()));
            }
        }
        convicted
    }

    /// The part that most likely caused crashes, if the charges suffice. Parts with which no answer
    /// has begun come first: the others share the prompts of the requests that crashed servers.
    fn strongest_part<'a>(
        &self,
        charges: &'a HashMap<CrashCause, Charges>,
        explained: &HashSet<ServerRunId>,
    ) -> Option<(CrashCause, &'a Charges)> {
        let parts = charges.iter().filter_map(|(cause, charges)| match cause {
            CrashCause::Part(part) => Some((*part, charges)),
            CrashCause::Request(_) => None,
        });
        let sufficient =
            parts.filter(|(part, charges)| self.is_sufficient(*part, charges, explained));
        let strongest = sufficient.max_by_key(|(part, charges)| {
            let is_new = !self.is_known(*part);
            (is_new, charges.runs.len(), charges.requests.len(), *part)
        });
        strongest.map(|(part, charges)| (CrashCause::Part(part), charges))
    }

    fn is_sufficient(
        &self,
        part: PromptPart,
        charges: &Charges,
        explained: &HashSet<ServerRunId>,
    ) -> bool {
        let is_new = !self.is_known(part) && charges.answers_seen() >= MIN_ANSWERS_SEEN;
        let answers_since = self.begun_answers - charges.begun_answers;
        let needed = match is_new {
            true => NEW_PART_CRASHES,
            false if answers_since >= MIN_ANSWERS_WITHOUT_PART => KNOWN_PART_CRASHES,
            false => return false,
        };
        if charges.runs.len().min(charges.requests.len()) < needed {
            return false;
        }
        let cause = CrashCause::Part(part);
        let independent = self.evidence.independent_crashes(cause, explained);
        independent.runs.min(independent.requests) >= needed
    }

    fn evict_excess(&mut self) {
        while self.contained.len() > MAX_CONTAINED {
            let contained = self.contained.iter();
            let oldest = contained.min_by_key(|(_, containment)| containment.refused_at);
            let Some(oldest) = oldest.map(|(cause, _)| *cause) else {
                return;
            };
            self.contained.remove(&oldest);
        }
    }

    /// The confirmed causes, the one refused last first, each with the time since then.
    pub(crate) fn confirmed(&self, now: Instant) -> Vec<(CrashCause, Duration)> {
        let confirmed = self.contained.iter().filter(|(_, it)| it.is_confirmed);
        let mut confirmed: Vec<(CrashCause, Duration)> = confirmed
            .map(|(cause, it)| (*cause, now.saturating_duration_since(it.refused_at)))
            .collect();
        confirmed.sort_by_key(|(cause, idle)| (*idle, *cause));
        confirmed
    }

    /// The number of contained causes.
    pub(crate) fn contained_count(&self) -> usize {
        self.contained.len()
    }
}
