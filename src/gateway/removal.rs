//! The removal of a server's directory entry, and what shows that the server is alive nevertheless.
//!
//! A write that got no answer may be executed seconds later, when its server has left and its entry
//! was removed. So an entry that is read after a removal may have been written before it. It counts
//! again once one of these excludes that:
//!
//! - Its number is higher than any that the run can have reached before the removal.
//! - It was written when no write from before the removal could be pending any more.
//! - A later entry follows it. This holds only if the server may have been silent for long enough to
//!   lapse: then few writes can be pending, and a living server goes on writing.
//! - The log lists it for longer than it keeps the entry of a silent server.
//!
//! Entries of other runs under the same id and entries of a restored log are not affected.

use crate::gateway::fleet::{Entry, ServerState};
use crate::inventory::Name;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How long a write that got no answer may be pending.
pub(crate) const MAX_WRITE_DELAY: Duration = Duration::from_millis(8_000);
/// The number of report intervals of silence after which the log removes an entry.
const EXPIRY_INTERVALS: u32 = 3;
/// The number of report intervals without another entry and without a removal after which an entry
/// is known to be kept alive. One interval is left for the time that reads take.
const KEPT_INTERVALS: u32 = EXPIRY_INTERVALS + 1;
/// The shortest time between two reports, as a fraction of the interval.
const SHORTEST_INTERVAL: f64 = 0.8;
/// The number of entries that a run may write before a delayed one takes effect.
pub(crate) const MAX_DELAYED_ENTRIES: u64 = 1_000;

/// Where directory changes come from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ChangeSource {
    /// They were read from the log.
    Log,
    /// Another VM sent them.
    Vm,
}

impl ChangeSource {
    /// The name that the log lines use.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Log => "log",
            Self::Vm => "vm",
        }
    }
}

/// When and how directory changes were read.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReadContext {
    /// The time of the read.
    pub(crate) now: Instant,
    /// A time at which the log did not hold the changes yet; `None` if none is known.
    pub(crate) written_after: Option<Instant>,
    /// The era of the log.
    pub(crate) era: u64,
    /// Where the changes come from.
    pub(crate) source: ChangeSource,
    /// Whether the changes list the whole directory.
    pub(crate) is_whole: bool,
    /// Whether the log was unavailable shortly before, so that entries of living servers may lapse.
    pub(crate) was_log_unavailable: bool,
}

impl ReadContext {
    /// The context of a read about which only its time is known.
    pub(crate) fn at(now: Instant) -> Self {
        Self {
            now,
            written_after: None,
            era: 0,
            source: ChangeSource::Log,
            is_whole: false,
            was_log_unavailable: false,
        }
    }
}

/// What identifies a run of a server beside its id.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct RunAddress {
    /// When the run started, in Unix milliseconds.
    pub(crate) started_ms: u64,
    /// The address that it listens on.
    pub(crate) address: SocketAddr,
}

impl RunAddress {
    /// Returns the run that an entry is of.
    pub(crate) fn of(entry: &Entry) -> Self {
        Self {
            started_ms: entry.started_ms,
            address: entry.address,
        }
    }
}

/// What shows that a server wrote an entry after its removal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Proof {
    /// The entry is of a restored log, and newer than the last one read.
    Restored,
    /// The log was restored after the removal.
    LaterEra,
    /// The run cannot have reached the number before the removal.
    UnreachableNumber,
    /// No write from before the removal can be pending any more.
    NoWritePending,
    /// The number is too far below the last one for a delayed write.
    NumbersRestarted,
    /// A later entry followed.
    LaterEntry,
}

/// What an entry of a removed run shows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Verdict {
    /// The server is alive.
    Alive(Proof),
    /// Nothing yet. The entry may count later.
    Unproven,
    /// Nothing: the entry was read before, or is from before the removal.
    Outdated,
}

/// The judgement on one entry of a removed run, for the log.
#[derive(Clone, Debug)]
pub(crate) struct Judgement {
    /// The server.
    pub(crate) id: Name,
    /// The number of the entry.
    pub(crate) sequence: u64,
    /// What the entry shows.
    pub(crate) verdict: Verdict,
    /// The removal by which it was judged.
    pub(crate) removal: Removal,
}

/// An entry that was read after the removal of its run.
#[derive(Clone, Debug, PartialEq)]
struct Candidate {
    entry: Entry,
    read_at: Instant,
}

/// The removal of the entry of one run, as VMs tell it each other.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Removal {
    /// The run whose entry was removed; `None` if it is not known.
    pub(crate) run: Option<RunAddress>,
    /// The highest number read from the run; `None` if none was.
    pub(crate) last_sequence: Option<u64>,
    /// The highest number that the run can have reached before the removal.
    pub(crate) reachable_sequence: u64,
    /// Whether the server may have been silent for long enough to lapse.
    pub(crate) may_have_lapsed: bool,
    /// How long the server had been silent at most; `None` if it is not known.
    pub(crate) silence: Option<Duration>,
    /// When the first VM learned of the removal.
    pub(crate) removed_at: Instant,
    /// The era of the log in which it was removed.
    pub(crate) era: u64,
    candidate: Option<Candidate>,
}

impl Removal {
    /// The removal of a listed entry that was written after `written_after`, by a server that reports
    /// at an interval.
    pub(crate) fn of_listed(
        entry: &Entry,
        written_after: Option<Instant>,
        report_interval: Duration,
        read: &ReadContext,
    ) -> Self {
        let silence = written_after.map(|at| read.now.saturating_duration_since(at));
        let is_silent = silence.is_none_or(|it| it >= report_interval * EXPIRY_INTERVALS);
        let shortest_interval = report_interval.mul_f64(SHORTEST_INTERVAL);
        let unread = silence.map(|it| it.as_millis() / shortest_interval.as_millis().max(1));
        let reachable = unread.map(|it| entry.sequence.saturating_add(it as u64 + 1));
        Self {
            run: Some(RunAddress::of(entry)),
            last_sequence: Some(entry.sequence),
            reachable_sequence: reachable.unwrap_or(u64::MAX),
            may_have_lapsed: entry.state != ServerState::Draining
                && (is_silent || read.was_log_unavailable),
            silence,
            removed_at: read.now,
            era: read.era,
            candidate: None,
        }
    }

    /// A removal of which only the time is known by which it had happened.
    pub(crate) fn of_unknown(run: Option<RunAddress>, removed_at: Instant, era: u64) -> Self {
        Self {
            run,
            last_sequence: None,
            reachable_sequence: u64::MAX,
            may_have_lapsed: true,
            silence: None,
            removed_at,
            era,
            candidate: None,
        }
    }

    /// Whether an entry is of the removed run, as far as known.
    pub(crate) fn is_of_run(&self, entry: &Entry) -> bool {
        self.run.is_none_or(|run| run == RunAddress::of(entry))
    }

    /// Records that the entry was removed again, or that another VM tells of the same removal.
    pub(crate) fn merge(&mut self, other: &Self) {
        self.run = self.run.or(other.run);
        self.last_sequence = self.last_sequence.max(other.last_sequence);
        self.reachable_sequence = self.reachable_sequence.min(other.reachable_sequence);
        self.may_have_lapsed &= other.may_have_lapsed;
        self.removed_at = self.removed_at.min(other.removed_at);
        self.era = self.era.max(other.era);
        self.candidate = None;
    }

    /// Drops the entry that was read since, because the log no longer lists it.
    pub(crate) fn drop_candidate(&mut self) {
        self.candidate = None;
    }

    /// Returns the entry that was read since the removal and does not count yet.
    pub(crate) fn candidate(&self) -> Option<&Entry> {
        self.candidate.as_ref().map(|it| &it.entry)
    }

    /// Judges an entry of the run that was read after the removal. `may_be_restored` says that it may
    /// be older than the last restore of the log.
    pub(crate) fn judge(
        &mut self,
        entry: &Entry,
        may_be_restored: bool,
        read: &ReadContext,
    ) -> Verdict {
        let last_sequence = self.last_sequence.unwrap_or(0);
        if may_be_restored {
            let is_newer = self.last_sequence.is_none_or(|last| entry.sequence > last);
            return match is_newer {
                true => Verdict::Alive(Proof::Restored),
                false => Verdict::Outdated,
            };
        }
        let is_known = |it: &Candidate| it.entry.sequence == entry.sequence;
        if self.candidate.as_ref().is_some_and(is_known) {
            return Verdict::Outdated;
        }
        let is_later = |it: &Candidate| entry.sequence > it.entry.sequence;
        let follows_another = self.candidate.as_ref().is_some_and(is_later);
        let is_settled = read
            .written_after
            .is_some_and(|at| at.saturating_duration_since(self.removed_at) >= MAX_WRITE_DELAY);
        // The number of the earlier entry was wrong, or the numbers began anew.
        let is_far_behind = last_sequence.saturating_sub(entry.sequence) > MAX_DELAYED_ENTRIES;
        let proofs = [
            (read.era > self.era, Proof::LaterEra),
            (
                entry.sequence > self.reachable_sequence,
                Proof::UnreachableNumber,
            ),
            (is_settled, Proof::NoWritePending),
            (is_far_behind, Proof::NumbersRestarted),
            (self.may_have_lapsed && follows_another, Proof::LaterEntry),
        ];
        if let Some((_, proof)) = proofs.into_iter().find(|(holds, _)| *holds) {
            return Verdict::Alive(proof);
        }
        let is_highest = self.candidate.is_none() || follows_another;
        let entry = match self.candidate.take() {
            Some(candidate) if !is_highest => candidate.entry,
            _ => entry.clone(),
        };
        self.candidate = Some(Candidate {
            entry,
            read_at: read.now,
        });
        Verdict::Unproven
    }

    /// Takes the entry that was read since the removal, if the log is known to have listed it at
    /// `current_at` for longer than it keeps the entry of a silent server.
    pub(crate) fn take_kept(
        &mut self,
        current_at: Instant,
        report_interval: Duration,
    ) -> Option<Entry> {
        let kept_for = report_interval * KEPT_INTERVALS;
        let is_kept =
            |it: &mut Candidate| current_at.saturating_duration_since(it.read_at) >= kept_for;
        self.candidate.take_if(is_kept).map(|it| it.entry)
    }
}
