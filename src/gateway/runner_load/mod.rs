//! Decides how many requests of other availability zones a runner holds, from what the runner states.
//!
//! It addresses large fleets under load, in which the requests in flight from other zones are known a
//! second late, while a stream lasts little longer: a runner that looks idle is chosen by all zones at
//! once, and half of the requests that reach a full runner find another one with free slots. A runner
//! states all that it runs and queues in each response. A single VM gets few responses of a runner, so
//! the VMs of a zone share these statements in the messages that they send each other anyway.
//!
//! A statement less the requests of the local zone, which are known soon, gives those of the others.

mod message;

pub(crate) use message::RunnerLoadsPart;

use crate::gateway::server_speed::{StatedLoad, Verdict};
use std::cell::RefCell;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// The age up to which a figure is used. Older ones are worse than the sums that zones exchange, which
/// are a second old on average.
const MAX_AGE: Duration = Duration::from_millis(1_000);
/// The maximum number of figures in a message, the latest first. Each takes some ten bytes.
const MAX_FIGURES: usize = 24;

/// The most requests of other zones at a runner, so that a faulty VM cannot make sums overflow.
const MAX_REMOTE: u32 = 10_000;

/// Returns a statement of a runner in which requests wait only while no slot is free, as in those of
/// plain servers. A runner counts requests as waiting until it reads their prompts, one after the
/// other, also while it has free slots. Counts that no runner with `slots` can hold are left as they
/// are.
pub(crate) fn counted(load: StatedLoad, slots: u32) -> StatedLoad {
    if !load.is_possible(slots) {
        return load;
    }
    let moved = load.waiting.min(slots - load.running);
    StatedLoad {
        running: load.running + moved,
        waiting: load.waiting - moved,
        ..load
    }
}

/// Whether the counts of a runner are used. Those that stay the same while the known load changes are
/// believed only if all slots are in use: a full runner states the same each time.
pub(crate) fn is_believed(load: &StatedLoad, verdict: Verdict) -> bool {
    match verdict {
        Verdict::Used => true,
        Verdict::Stuck => load.running >= load.slots,
        Verdict::Absurd => false,
    }
}

/// The requests of other zones at a runner, by a statement of the runner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Figure {
    remote: u32,
    stated_at: Instant,
}

/// The requests of other zones at each runner, as the VMs of the local zone know them.
#[derive(Debug, Default)]
pub(crate) struct RunnerLoads {
    /// The latest figure of each run of a runner, by its short id.
    figures: RefCell<HashMap<u32, Figure>>,
    /// The figures from responses to this VM that others of its zone do not have yet, with the number
    /// of rounds in which each was sent.
    unsent: RefCell<HashMap<u32, (Figure, usize)>>,
}

impl RunnerLoads {
    /// Records that a runner states that it holds `stated` requests, of which `local` are known to be
    /// from the local zone.
    pub(crate) fn note(&self, run: u32, stated: u32, local: u32, now: Instant) {
        let figure = Figure {
            remote: stated.saturating_sub(local),
            stated_at: now,
        };
        self.figures.borrow_mut().insert(run, figure);
        self.unsent.borrow_mut().insert(run, (figure, 0));
    }

    /// Returns the requests of other zones at a runner, if a recent statement is known.
    pub(crate) fn remote(&self, run: u32, now: Instant) -> Option<u32> {
        let figures = self.figures.borrow();
        let figure = figures.get(&run)?;
        let age = now.saturating_duration_since(figure.stated_at);
        (age < MAX_AGE).then_some(figure.remote)
    }

    /// Takes the figures that other VMs of the zone do not have yet, where each of them is sent to once
    /// in so many rounds. Figures beyond the maximum of a message are left for the next round.
    pub(crate) fn take_part(&self, rounds: usize, now: Instant) -> Option<RunnerLoadsPart> {
        let is_recent = |it: &Figure| now.saturating_duration_since(it.stated_at) < MAX_AGE;
        self.figures.borrow_mut().retain(|_, it| is_recent(it));
        let mut unsent = self.unsent.borrow_mut();
        unsent.retain(|_, (figure, _)| is_recent(figure));
        let mut latest: Vec<(&u32, &mut (Figure, usize))> = unsent.iter_mut().collect();
        latest.sort_unstable_by_key(|(_, (figure, _))| std::cmp::Reverse(figure.stated_at));
        latest.truncate(MAX_FIGURES);
        let figures = latest.into_iter().map(|(run, (figure, sent))| {
            *sent += 1;
            let age = now.saturating_duration_since(figure.stated_at);
            (*run, figure.remote, age)
        });
        let part = RunnerLoadsPart::of(figures);
        unsent.retain(|_, (_, sent)| *sent < rounds);
        (!part.is_empty()).then_some(part)
    }

    /// Applies the figures of another VM of the zone. Later ones replace earlier ones, so that
    /// messages may come in any order, twice or not at all.
    pub(crate) fn apply(&self, part: &RunnerLoadsPart, now: Instant) {
        let mut figures = self.figures.borrow_mut();
        for (run, remote, age) in part.figures().take(MAX_FIGURES) {
            let Some(stated_at) = now.checked_sub(age).filter(|_| age < MAX_AGE) else {
                continue;
            };
            let remote = remote.min(MAX_REMOTE);
            let figure = Figure { remote, stated_at };
            let known = figures.entry(run).or_insert(figure);
            if known.stated_at < stated_at {
                *known = figure;
            }
        }
    }
}
