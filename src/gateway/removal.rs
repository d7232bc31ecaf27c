//! The removal of a server's directory entry, and what shows that the server is alive nevertheless.
//!
//! A write that got no answer may be executed seconds later, when its server has left and its entry
//! was removed. So an entry that is read after a removal may have been written before it. It counts
//! again once one of these excludes that:
//!
//! - Its number is higher than any that the run can have reached before the removal ([`ReportPace`]).
//! - It was written when no write from before the removal could be pending any more.
//! - The log may have dropped the entry of a living server while it was unavailable, and the number is
//!   one that the run reached only when the log was available again.
//! - The log lists it for longer than it keeps the entry of a silent server.
//! - Another VM, which knows all earlier changes of the log, has such a proof.
//!
//! Neither a number above the last one that was read nor several entries in rising order are a proof:
//! some writes may be pending at once. Entries of other runs under the same id and entries of a
//! restored log are not affected.

use crate::gateway::Position;
use crate::gateway::fleet::{Entry, ServerState};
use crate::gateway::report_pace::{ReportPace, least_reports, most_reports};
use crate::inventory::Name;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How long a write that got no answer may be pending.
pub(crate) const MAX_WRITE_DELAY: Duration = Duration::from_millis(8_000);
/// The number of report intervals of silence after which the log removes an entry.
const EXPIRY_INTERVALS: u32 = 3;
/// The number of report intervals without a removal after which an entry is known to be kept alive. The
/// log may be late to remove the entry of a silent server.
const KEPT_INTERVALS: u32 = 2 * EXPIRY_INTERVALS + 1;
/// The number of report intervals without a successful read from which on entries of living servers may
/// have lapsed meanwhile.
const MIN_LAPSE_INTERVALS: u32 = EXPIRY_INTERVALS - 1;
/// The number of entries by which one may be behind another one of its run that was read before.
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

/// How many entries a server may write from one report to the next.
const ENTRIES_PER_REPORT: u64 = 2;
/// The number of the first entry of a run.
pub(crate) const FIRST_SEQUENCE: u64 = 1;

/// When and how directory changes were read.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReadContext {
    /// The time of the read.
    pub(crate) now: Instant,
    /// A time at which the log did not hold the changes yet; `None` if none is known.
    pub(crate) written_after: Option<Instant>,
    /// The position of the log up to which the changes were read.
    pub(crate) position: u64,
    /// Where the changes come from.
    pub(crate) source: ChangeSource,
    /// Whether the changes list the whole directory.
    pub(crate) is_whole: bool,
    /// When the log was last unavailable, if that was shortly before, so that entries of living servers
    /// may have lapsed.
    pub(crate) unavailable_at: Option<Instant>,
}

impl ReadContext {
    /// The context of a read about which only its time is known.
    pub(crate) fn at(now: Instant) -> Self {
        Self {
            now,
            written_after: None,
            position: 0,
            source: ChangeSource::Log,
            is_whole: false,
            unavailable_at: None,
        }
    }

    /// The era of the log.
    pub(crate) fn era(&self) -> u64 {
        Position::from_u64(self.position).era
    }

    /// Returns when the log was last unavailable, if entries may have lapsed since the read before.
    pub(crate) fn lapse_end(&self, report_interval: Duration) -> Option<Instant> {
        let unknown_for = self
            .written_after
            .map(|at| self.now.saturating_duration_since(at));
        let is_long = unknown_for.is_none_or(|it| it >= report_interval * MIN_LAPSE_INTERVALS);
        self.unavailable_at.filter(|_| is_long)
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
    /// The entry lapsed while the log was unavailable, and the run reached the number after that.
    WrittenAfterOutage,
    /// The number is too far below the last one for a delayed write.
    NumbersRestarted,
    /// It is the first entry of a run that is not known to be removed.
    FirstEntry,
    /// Another VM has the proof.
    Told,
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
    /// The lowest number of an entry written since the log was available again; `None` unless the entry may
    /// have lapsed while the log was unavailable.
    pub(crate) returning_sequence: Option<u64>,
    /// How long the server had been silent at most; `None` if it is not known.
    pub(crate) silence: Option<Duration>,
    /// When the first VM learned of the removal.
    pub(crate) removed_at: Instant,
    /// A position of the log that is past the removal.
    pub(crate) position: u64,
    candidate: Option<Candidate>,
}

impl Removal {
    /// The removal of a listed entry. `pace` is that of its run.
    pub(crate) fn of_listed(
        entry: &Entry,
        pace: &ReportPace,
        report_interval: Duration,
        read: &ReadContext,
    ) -> Self {
        let silence = pace.silence(read.now);
        let is_silent = silence.is_none_or(|it| it >= report_interval * EXPIRY_INTERVALS);
        let may_have_lapsed = is_silent && entry.state != ServerState::Draining;
        let lapse_end = read.lapse_end(report_interval).filter(|_| may_have_lapsed);
        Self {
            run: Some(RunAddress::of(entry)),
            last_sequence: Some(pace.last_sequence()),
            reachable_sequence: pace.highest_by(read.now, report_interval),
            returning_sequence: lapse_end.map(|at| pace.lowest_by(at, report_interval)),
            silence,
            removed_at: read.now,
            position: read.position,
            candidate: None,
        }
    }

    /// A removal of which only the time is known by which it had happened.
    pub(crate) fn of_unknown(run: Option<RunAddress>, removed_at: Instant, position: u64) -> Self {
        Self {
            run,
            last_sequence: None,
            reachable_sequence: u64::MAX,
            returning_sequence: None,
            silence: None,
            removed_at,
            position,
            candidate: None,
        }
    }

    /// The era of the log in which the entry was removed.
    pub(crate) fn era(&self) -> u64 {
        Position::from_u64(self.position).era
    }

    /// Whether an entry is of the removed run, as far as known.
    pub(crate) fn is_of_run(&self, entry: &Entry) -> bool {
        self.run.is_none_or(|run| run == RunAddress::of(entry))
    }

    /// Records that the log removed the entry again, which it listed since the removal. The server may have
    /// been alive in between although its entries did not show it.
    pub(crate) fn note_repeated(&mut self, report_interval: Duration, read: &ReadContext) {
        self.move_to(read.now, report_interval);
        if read.lapse_end(report_interval).is_none() {
            self.returning_sequence = None;
        }
        self.position = self.position.max(read.position);
        self.candidate = None;
    }

    /// Records what another VM tells of the removal of the same run.
    pub(crate) fn merge(&mut self, other: &Self, report_interval: Duration) {
        let mut other = other.clone();
        let removed_at = self.removed_at.max(other.removed_at);
        self.move_to(removed_at, report_interval);
        other.move_to(removed_at, report_interval);
        if other.last_sequence.is_some() {
            self.returning_sequence = match self.last_sequence {
                Some(_) => self
                    .returning_sequence
                    .zip(other.returning_sequence)
                    .map(|(known, told)| known.max(told)),
                None => other.returning_sequence,
            };
        }
        self.run = self.run.or(other.run);
        self.last_sequence = self.last_sequence.max(other.last_sequence);
        self.reachable_sequence = self.reachable_sequence.min(other.reachable_sequence);
        self.position = self.position.max(other.position);
        self.candidate = None;
    }

    /// Takes a later time for that of the removal.
    fn move_to(&mut self, removed_at: Instant, report_interval: Duration) {
        let passed = removed_at.saturating_duration_since(self.removed_at);
        let most = most_reports(passed, report_interval);
        self.reachable_sequence = self.reachable_sequence.saturating_add(most);
        let least = least_reports(passed, report_interval);
        self.returning_sequence = self.returning_sequence.map(|it| it.saturating_add(least));
        self.removed_at = self.removed_at.max(removed_at);
    }

    /// Records that this VM has learned of the removal, and of the entry after it, only now.
    pub(crate) fn note_learned(&mut self, now: Instant) {
        self.removed_at = now;
        if let Some(candidate) = &mut self.candidate {
            candidate.read_at = now;
        }
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
        report_interval: Duration,
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
        let behind_by = last_sequence.saturating_sub(entry.sequence);
        let is_far_behind = behind_by > entries_per_pending_write(report_interval);
        let lowest = self.lowest_returning(report_interval, read);
        let is_returning = lowest.is_some_and(|lowest| entry.sequence >= lowest);
        let is_first = self.last_sequence.is_none() && entry.sequence <= FIRST_SEQUENCE;
        let proofs = [
            (read.era() > self.era(), Proof::LaterEra),
            (
                entry.sequence > self.reachable_sequence,
                Proof::UnreachableNumber,
            ),
            (is_settled, Proof::NoWritePending),
            (is_far_behind, Proof::NumbersRestarted),
            (is_returning, Proof::WrittenAfterOutage),
            (is_first, Proof::FirstEntry),
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

    /// Returns the lowest number of an entry that a living server has written since the read before, if its
    /// entry may have lapsed while the log was unavailable.
    fn lowest_returning(&self, report_interval: Duration, read: &ReadContext) -> Option<u64> {
        let returning_sequence = self.returning_sequence?;
        let written_after = read.written_after.unwrap_or(self.removed_at);
        let passed = written_after.saturating_duration_since(self.removed_at);
        let reports = least_reports(passed, report_interval);
        Some(returning_sequence.saturating_add(reports))
    }

    /// Judges the entry of the run that another VM lists as that of a living server, as of the position up
    /// to which that VM has read.
    pub(crate) fn judge_told(
        &mut self,
        entry: &Entry,
        report_interval: Duration,
        read: &ReadContext,
    ) -> Verdict {
        match read.position >= self.position {
            true => Verdict::Alive(Proof::Told),
            false => self.judge(entry, false, report_interval, read),
        }
    }

    /// Takes the entry that was read since the removal, if the log is known to have listed it at
    /// `current_at` for longer than it keeps the entry of a silent server.
    pub(crate) fn take_kept(
        &mut self,
        current_at: Instant,
        report_interval: Duration,
    ) -> Option<Entry> {
        // Until then, pending writes may have renewed the entry.
        let renewed_by = self.removed_at + MAX_WRITE_DELAY;
        let expires_by = renewed_by + report_interval * (EXPIRY_INTERVALS + 1);
        let is_kept = |it: &mut Candidate| {
            let kept_by = it.read_at + report_interval * KEPT_INTERVALS;
            current_at >= kept_by.max(expires_by)
        };
        self.candidate.take_if(is_kept).map(|it| it.entry)
    }
}

/// Returns how many entries a server may write while a write is pending.
pub(crate) fn entries_per_pending_write(report_interval: Duration) -> u64 {
    let reports = MAX_WRITE_DELAY.as_secs_f64() / report_interval.as_secs_f64();
    reports.ceil() as u64 * ENTRIES_PER_REPORT
}
