//! What this VM and others have last heard of each run of a plain server.
//!
//! Figures are kept by who sent them and replaced by later ones. They are merged by a mean that
//! weighs recent ones more, so that it does not matter that a figure arrives by several paths.

use crate::inventory::Name;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The time in which a figure loses half of its weight compared with newer ones. Calls last some 60
/// ms, so that a count from two such times ago says little beside a newer one.
const HALF_LIFE: Duration = Duration::from_millis(100);
/// The age at which a figure no longer counts.
const MAX_AGE: Duration = Duration::from_millis(2_500);
/// How long what a VM or a zone stated counts after its last message. VMs send five times per second,
/// and messages may be lost for some time; a VM that is gone is not counted for longer.
const SENDER_TIMEOUT: Duration = Duration::from_millis(4_000);
/// How fast a stated slowness loses its meaning. Machines are slow for 0.6 s and usual for 3.6 s on
/// average; the correlation of such a process decays with 1 / (1 / 0.6 + 1 / 3.6) s.
const SLOWNESS_PERSISTENCE: Duration = Duration::from_millis(500);
/// The range of slowness that counts, as a factor.
const SLOWNESS_BOUNDS: (f64, f64) = (0.2, 5.0);
/// The time over which arriving calls are counted.
const RATE_WINDOW: Duration = Duration::from_millis(1_000);
/// The maximum number of arrivals that are kept for one service.
const MAX_ARRIVALS: usize = 4_096;

/// What a run of a server stated in one response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Figure {
    /// The requests that run and wait there.
    pub(crate) in_system: u32,
    /// How long work currently takes there; 100 is usual.
    pub(crate) slowness_percent: Option<u32>,
    /// The requests that were there when it last rejected one.
    pub(crate) limit: Option<u32>,
    /// When it was stated.
    pub(crate) at: Instant,
}

impl Figure {
    pub(super) fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.at)
    }
}

/// What one VM or one zone stated.
#[derive(Debug)]
pub(super) struct Statement {
    pub(super) figures: HashMap<u32, Figure>,
    /// The calls per second by the short name of the service.
    pub(super) calls: HashMap<u32, f64>,
    pub(super) received_at: Instant,
}

/// What is known of the load of one run of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Known {
    /// The requests that run and wait there.
    pub(crate) in_system: f64,
    /// The time that work takes there at the moment, relative to the usual time at the same server.
    pub(crate) slowness: f64,
    /// The requests from which it rejects more, if it has rejected any.
    pub(crate) limit: Option<u32>,
    /// The mean age of what was stated.
    pub(crate) age: Duration,
}

/// The figures of this VM and those received, with the calls that arrive.
#[derive(Debug, Default)]
pub(super) struct Figures {
    own: HashMap<u32, Figure>,
    arrivals: HashMap<u32, VecDeque<Instant>>,
    /// Sorted, so that sums over floating-point figures do not depend on the order of a hash map.
    vms: BTreeMap<SocketAddr, Statement>,
    zones: BTreeMap<Name, Statement>,
}

impl Figures {
    /// Records a statement of a server in a response to this VM. `is_rejected` tells whether the
    /// response is a rejection, so that the server was full.
    pub(super) fn note(&mut self, run: u32, figure: Figure, is_rejected: bool) {
        let known_limit = self.own.get(&run).and_then(|it| it.limit);
        let limit = match is_rejected {
            true => Some(figure.in_system.max(1)),
            // A server that holds more than at its last rejection has another limit.
            false => known_limit.filter(|limit| figure.in_system <= *limit),
        };
        self.own.insert(run, Figure { limit, ..figure });
    }

    /// Records the arrival of a call at this VM.
    pub(super) fn note_arrival(&mut self, service: u32, now: Instant) {
        let arrivals = self.arrivals.entry(service).or_default();
        if arrivals.len() == MAX_ARRIVALS {
            arrivals.pop_front();
        }
        arrivals.push_back(now);
        expire_arrivals(arrivals, now);
    }

    pub(super) fn apply_vm(&mut self, sender: SocketAddr, statement: Statement) {
        self.vms.insert(sender, statement);
    }

    pub(super) fn apply_zone(&mut self, zone: &Name, statement: Statement) {
        self.zones.insert(zone.clone(), statement);
    }

    /// Drops what a VM stated that is gone.
    pub(super) fn forget_vm(&mut self, sender: &SocketAddr) {
        self.vms.remove(sender);
    }

    /// Drops what is too old.
    pub(super) fn expire(&mut self, now: Instant) {
        self.own.retain(|_, figure| figure.age(now) < MAX_AGE);
        for arrivals in self.arrivals.values_mut() {
            expire_arrivals(arrivals, now);
        }
        self.arrivals.retain(|_, arrivals| !arrivals.is_empty());
        let is_heard =
            |it: &Statement| now.saturating_duration_since(it.received_at) < SENDER_TIMEOUT;
        self.vms.retain(|_, it| is_heard(it));
        self.zones.retain(|_, it| is_heard(it));
    }

    /// What is known of a run of a server; `None` if no VM has heard of it recently.
    pub(super) fn known(&self, run: u32, now: Instant) -> Option<Known> {
        let statements = self.vms.values().chain(self.zones.values());
        let received = statements.filter_map(|it| it.figures.get(&run));
        let figures = self.own.get(&run).into_iter().chain(received);
        let (mut weights, mut in_system, mut slowness, mut ages) = (0.0, 0.0, 0.0, 0.0);
        let mut limit: Option<u32> = None;
        for figure in figures.filter(|it| it.age(now) < MAX_AGE) {
            let age = figure.age(now);
            let weight = 0.5_f64.powf(age.div_duration_f64(HALF_LIFE));
            let percent = f64::from(figure.slowness_percent.unwrap_or(100));
            let stated = (percent / 100.0).clamp(SLOWNESS_BOUNDS.0, SLOWNESS_BOUNDS.1);
            let persisting = (-age.div_duration_f64(SLOWNESS_PERSISTENCE)).exp();
            weights += weight;
            in_system += weight * f64::from(figure.in_system);
            slowness += weight * (1.0 + (stated - 1.0) * persisting);
            ages += weight * age.as_secs_f64();
            limit = limit.max(figure.limit);
        }
        (weights > 0.0).then(|| Known {
            in_system: in_system / weights,
            slowness: slowness / weights,
            limit,
            age: Duration::from_secs_f64(ages / weights),
        })
    }

    /// The calls for a service that arrive at all VMs per second, as far as this VM knows.
    pub(super) fn calls_per_s(&self, service: u32, now: Instant) -> f64 {
        let statements = self.vms.values().chain(self.zones.values());
        let received = statements.filter_map(|it| it.calls.get(&service));
        received.sum::<f64>() + self.own_calls(now).get(&service).unwrap_or(&0.0)
    }

    fn own_calls(&self, now: Instant) -> HashMap<u32, f64> {
        let is_recent = |at: &&Instant| now.saturating_duration_since(**at) < RATE_WINDOW;
        let rates = self.arrivals.iter().map(|(service, arrivals)| {
            let count = arrivals.iter().filter(is_recent).count();
            (*service, count as f64 / RATE_WINDOW.as_secs_f64())
        });
        rates.collect()
    }

    /// What this VM states itself. Calls are stated while the load of any server is known to any VM,
    /// since they are of no use before.
    pub(super) fn of_vm(&self, now: Instant) -> (HashMap<u32, Figure>, HashMap<u32, f64>) {
        let calls = match self.knows_load(now) {
            true => self.own_calls(now),
            false => HashMap::new(),
        };
        (self.own.clone(), calls)
    }

    fn knows_load(&self, now: Instant) -> bool {
        let statements = self.vms.values().chain(self.zones.values());
        let received = statements.flat_map(|it| it.figures.values());
        let mut figures = self.own.values().chain(received);
        figures.any(|it| it.age(now) < MAX_AGE)
    }

    /// What this VM and the others of its zone state: of each run the latest figure, and the sum of
    /// the calls.
    pub(super) fn of_zone(&self, now: Instant) -> (HashMap<u32, Figure>, HashMap<u32, f64>) {
        let (mut figures, mut calls) = self.of_vm(now);
        for statement in self.vms.values() {
            for (run, figure) in &statement.figures {
                let latest = figures.entry(*run).or_insert(*figure);
                if figure.at > latest.at {
                    *latest = *figure;
                }
            }
            for (service, per_s) in &statement.calls {
                *calls.entry(*service).or_default() += per_s;
            }
        }
        (figures, calls)
    }
}

fn expire_arrivals(arrivals: &mut VecDeque<Instant>, now: Instant) {
    let is_old = |at: &Instant| now.saturating_duration_since(*at) >= RATE_WINDOW;
    while arrivals.front().is_some_and(is_old) {
        arrivals.pop_front();
    }
}
