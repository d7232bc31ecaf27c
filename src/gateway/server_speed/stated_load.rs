//! What servers state of their load, and how far that is to be believed.
//!
//! A statement is older than the next request by the time between two responses of a server to this
//! VM, so it counts for a moment only. The counts are believed unless they contradict each other or
//! stay the same while the known load changes. The slowness is believed only while the server's own
//! responses take longer when it states more; otherwise it has no effect.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// How long the counts of a statement are used: one gossip round, after which other VMs' messages
/// are newer.
const COUNTS_MAX_AGE: Duration = Duration::from_millis(200);
/// How long the stated slowness is used; it changes many times per second.
const SLOWNESS_MAX_AGE: Duration = Duration::from_millis(100);
/// The number of equal statements at different known loads from which a statement is stuck.
const MAX_REPEATS: u32 = 4;
/// The most requests that a server is believed to queue, per slot.
const MAX_WAITING_PER_SLOT: u32 = 8;
/// The range in which a stated slowness is plausible, in percent.
const PLAUSIBLE_PERCENT: std::ops::RangeInclusive<u32> = 20..=500;
/// The share of the earlier responses that counts when another one is added: some 50 count.
const RETENTION: f64 = 0.98;
/// The number of responses from which the stated slowness may be used.
const MIN_RESPONSES: f64 = 15.0;
/// The share of the variation of the times that the stated slowness must explain. Fewer than 2 of
/// 100 servers that state random figures reach it with the least number of responses.
const MIN_EXPLAINED: f64 = 0.3;

/// The variation of the stated slowness from which a server may be found to state a false one: that
/// of some four responses with two and a half times the usual one.
const MIN_STATED_VARIATION: f64 = 3.0;

/// What a server states of its load in a response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct StatedLoad {
    /// The requests that the server works on.
    pub(crate) running: u32,
    /// The requests that wait for a slot.
    pub(crate) waiting: u32,
    pub(crate) slots: u32,
    /// How long work currently takes on the server's machine; 100 is usual.
    pub(crate) slowness_percent: Option<u32>,
}

impl StatedLoad {
    /// Whether the counts are within what a server with `slots` according to the directory can hold. A
    /// runner may let requests wait while slots are free: it reads one prompt after the other.
    pub(crate) fn is_possible(&self, slots: u32) -> bool {
        self.slots == slots
            && self.running <= slots
            && self.waiting <= slots.saturating_mul(MAX_WAITING_PER_SLOT)
    }

    /// Whether the counts are possible and do not contradict each other.
    fn is_plausible(&self, slots: u32) -> bool {
        self.is_possible(slots) && (self.waiting == 0 || self.running == slots)
    }

    /// The logarithm of the stated slowness, if that is plausible.
    fn log_slowness(&self) -> Option<f64> {
        let percent = self.slowness_percent?;
        PLAUSIBLE_PERCENT
            .contains(&percent)
            .then(|| (f64::from(percent) / 100.0).ln())
    }
}

/// What came of a statement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Verdict {
    Used,
    /// The counts are impossible.
    Absurd,
    /// The counts stay the same while the load changes.
    Stuck,
}

impl Verdict {
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Used => "used",
            Self::Absurd => "absurd",
            Self::Stuck => "stuck",
        }
    }
}

/// The relation between the stated slowness and the times of responses, both as logarithms.
#[derive(Debug, Default)]
struct SlownessFit {
    responses: f64,
    stated: f64,
    took: f64,
    stated_squared: f64,
    took_squared: f64,
    product: f64,
}

impl SlownessFit {
    fn stated_variation(&self) -> f64 {
        self.stated_squared - self.stated * self.stated / self.responses.max(1.0)
    }

    fn add(&mut self, stated: f64, took: f64) {
        let add = |sum: &mut f64, value: f64| *sum = *sum * RETENTION + value;
        add(&mut self.responses, 1.0);
        add(&mut self.stated, stated);
        add(&mut self.took, took);
        add(&mut self.stated_squared, stated * stated);
        add(&mut self.took_squared, took * took);
        add(&mut self.product, stated * took);
    }

    /// The expected effect of a stated slowness, relative to the server's mean; `None` if what the
    /// server states does not explain how long its responses take.
    fn effect(&self, stated: f64) -> Option<f64> {
        if self.responses < MIN_RESPONSES {
            return None;
        }
        let mean = self.stated / self.responses;
        let stated_variation = self.stated_squared - self.stated * mean;
        let took_variation = self.took_squared - self.took * self.took / self.responses;
        let product = self.product - mean * self.took;
        let explained = product * product / (stated_variation * took_variation);
        // Not a number if either figure is always the same.
        let is_true = product > 0.0 && explained >= MIN_EXPLAINED;
        is_true.then(|| (product / stated_variation).min(1.0) * (stated - mean))
    }
}

/// The statements of one run of a server.
#[derive(Debug)]
struct Statements {
    last: StatedLoad,
    at: Instant,
    verdict: Verdict,
    /// The requests in flight, as known when the counts were first stated.
    known_in_flight: u32,
    /// How often the same counts were stated at another known load.
    repeats: u32,
    fit: SlownessFit,
}

/// The statements of all servers.
#[derive(Debug, Default)]
pub(super) struct StatedLoads {
    runs: HashMap<u32, Statements>,
}

impl StatedLoads {
    /// Records a statement of a server with `slots` and `known_in_flight` requests, as far as this VM
    /// knows; returns what came of it, and whether that is a change.
    pub(super) fn note(
        &mut self,
        run: u32,
        load: StatedLoad,
        slots: u32,
        known_in_flight: u32,
        now: Instant,
    ) -> (Verdict, bool) {
        let statements = self.runs.entry(run).or_insert_with(|| Statements {
            last: load,
            at: now,
            verdict: Verdict::Used,
            known_in_flight,
            repeats: 0,
            fit: SlownessFit::default(),
        });
        let counts = |it: &StatedLoad| (it.running, it.waiting);
        if counts(&statements.last) != counts(&load) {
            statements.known_in_flight = known_in_flight;
            statements.repeats = 0;
        } else if statements.known_in_flight != known_in_flight {
            statements.repeats += 1;
        }
        statements.last = load;
        statements.at = now;
        let verdict = match statements.repeats {
            _ if !load.is_plausible(slots) => Verdict::Absurd,
            MAX_REPEATS.. => Verdict::Stuck,
            _ => Verdict::Used,
        };
        let is_change = verdict != statements.verdict;
        statements.verdict = verdict;
        (verdict, is_change)
    }

    /// Records how long a response took, as the logarithm of the time relative to the expected one.
    pub(super) fn note_time(&mut self, run: u32, load: StatedLoad, took: f64) {
        if let (Some(statements), Some(stated)) = (self.runs.get_mut(&run), load.log_slowness()) {
            statements.fit.add(stated, took);
        }
    }

    /// The requests in flight at a server by its own statement, if that is recent and plausible.
    pub(super) fn in_flight(&self, run: u32, now: Instant) -> Option<u32> {
        let statements = self.runs.get(&run)?;
        let age = now.saturating_duration_since(statements.at);
        let is_used = statements.verdict == Verdict::Used && age < COUNTS_MAX_AGE;
        is_used.then_some(statements.last.running + statements.last.waiting)
    }

    /// The time that work currently takes relative to the usual time at the same server, by its own
    /// statement; 1.0 unless that is recent, plausible and confirmed by its responses.
    pub(super) fn momentary_slowness(&self, run: u32, now: Instant) -> f64 {
        let recent = self.runs.get(&run).filter(|it| {
            let age = now.saturating_duration_since(it.at);
            age < SLOWNESS_MAX_AGE
        });
        let effect = recent.and_then(|it| it.fit.effect(it.last.log_slowness()?));
        effect.map_or(1.0, f64::exp)
    }

    /// What came of the last statement of a run.
    pub(super) fn verdict(&self, run: u32) -> Option<Verdict> {
        Some(self.runs.get(&run)?.verdict)
    }

    /// Whether the stated slowness of a run varies and the times of its responses contradict it.
    pub(super) fn has_false_slowness(&self, run: u32) -> bool {
        let fit = self.runs.get(&run).map(|it| &it.fit);
        fit.is_some_and(|it| {
            it.stated_variation() >= MIN_STATED_VARIATION
                && it.responses >= MIN_RESPONSES
                && it.effect(0.0).is_none()
        })
    }

    /// Removes the statements of runs that are not listed.
    pub(super) fn retain(&mut self, is_listed: impl Fn(u32) -> bool) {
        self.runs.retain(|run, _| is_listed(*run));
    }
}
