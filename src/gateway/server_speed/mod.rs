//! Decides how slow each backend server is compared with others for the same work.
//!
//! It addresses fleets whose servers differ: the time between two events of a stream is 0.6 to 2.7
//! times the mean of its model, depending on the runner, for as long as the runner runs. On the
//! slowest runners most long streams have a pause that is longer than permitted, on the fastest
//! none.
//!
//! Each VM learns from the streams and calls that it relays. The logarithm of a time is the sum of
//! what is usual for the kind of work (a model, a route of plain calls) and an effect of the
//! server. Both are estimated together: what is usual from the times less the known effects of the
//! servers, the effects from the times less what is usual. A VM of a large fleet sees one stream of
//! a runner in ten seconds, so VMs share their evidence on both ([`exchange`]). Evidence ages, so
//! that a server without evidence counts as usual.

mod evidence;
mod exchange;
mod message;
mod observations;
mod stated_load;

pub(super) use message::ServerSpeedsPart;
pub(crate) use observations::Work;
pub(crate) use stated_load::{StatedLoad, Verdict};

use crate::gateway::fleet::Incarnation;
use crate::inventory::Name;
use evidence::{Evidence, Figures, add};
use exchange::Exchanged;
use observations::Observations;
use stated_load::StatedLoads;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The interval at which the estimates are renewed.
const REFRESH_INTERVAL: Duration = Duration::from_millis(500);
/// The weight of the assumption that a server is as fast as others, in long streams.
const USUAL_WEIGHT: f64 = 1.5;
/// The difference from the usual time, as a logarithm, up to which it does not count: equal servers
/// differ in the estimates, because their streams differ. The second figure applies to a server of
/// which one long stream is known, and decreases with the root of their number.
const INDIFFERENCE: f64 = 0.06;
const INDIFFERENCE_OF_ONE: f64 = 0.4;
/// The slowness from which a server is reported as slow, and below which it no longer is.
const SLOW: f64 = 1.5;
const NOT_SLOW: f64 = 1.25;

/// The share of the limit of a caller that work may take on average, so that nearly all of it is
/// within the limit: the longest of 35 pauses is several times the mean.
const ON_TIME_SHARE: f64 = 0.15;

/// Returns the slowness up to which work that usually takes `usual_time` is nearly always done
/// within `limit`.
pub(crate) fn on_time_slowness(usual_time: Duration, limit: Duration) -> f64 {
    let usual_time = usual_time.max(Duration::from_micros(1));
    limit.mul_f64(ON_TIME_SHARE).div_duration_f64(usual_time)
}

/// One run of a server as the estimates refer to it, with its service.
#[derive(Clone, Debug)]
pub(crate) struct ListedRun {
    pub(crate) run: Incarnation,
    pub(crate) service: Name,
}

/// Identifies a run of a server in messages.
pub(crate) fn run_id(run: &Incarnation) -> u32 {
    xxh3_64_with_seed(run.id.as_bytes(), run.started_ms) as u32
}

/// The time that a server with this effect takes relative to a usual one.
fn slowness_of(effect: &Evidence) -> f64 {
    let margin = INDIFFERENCE + INDIFFERENCE_OF_ONE / effect.weight.sqrt();
    let difference = effect.mean.abs();
    if difference <= margin {
        return 1.0;
    }
    // The larger the difference, the less of it is left out. With the whole margin left out, the
    // estimate of a server with few streams was wrong by up to a factor of 1.52 after 20 s.
    let counted = difference - margin * margin / difference;
    (counted * effect.mean.signum()).exp()
}

/// The slowness of each run of a server.
#[derive(Debug, Default)]
pub(crate) struct ServerSpeeds {
    observations: RefCell<Observations>,
    exchanged: RefCell<Exchanged>,
    estimates: RefCell<Estimates>,
    stated: RefCell<StatedLoads>,
    /// The runs that are reported as slow.
    slow: RefCell<HashSet<u32>>,
    refreshed_at: Cell<Option<Instant>>,
}

/// What is known from this VM and all others, and what this VM sends.
#[derive(Debug, Default)]
struct Estimates {
    /// The effects of the servers, as logarithms, by [`run_id`].
    effects: Figures,
    /// The logarithms of the usual times in seconds, by [`Work::id`].
    usual: Figures,
    /// The evidence of this VM on both.
    own: Figures,
    /// The evidence of all VMs of the zone on both.
    of_zone: Figures,
}

impl ServerSpeeds {
    /// Records how long a server took for a unit of work. `weight` is the reliability of the
    /// figure, 1.0 for a long stream.
    pub(crate) fn note(
        &self,
        run: &Incarnation,
        work: &Work,
        took: Duration,
        weight: f64,
        now: Instant,
    ) {
        let mut observations = self.observations.borrow_mut();
        observations.note(run_id(run), work.id(), took, weight, now);
    }

    /// Returns the time that a server takes relative to others for the same work. 1.0 is usual, and
    /// is returned for a run without evidence.
    pub(crate) fn slowness(&self, run: &Incarnation) -> f64 {
        let estimates = self.estimates.borrow();
        let effect = estimates.effects.get(&run_id(run));
        effect.map_or(1.0, slowness_of)
    }

    /// Returns the same with how long work takes at the moment, as the server itself states. That
    /// counts only if it is recent and confirmed by the server's responses.
    pub(crate) fn current_slowness(&self, run: &Incarnation, now: Instant) -> f64 {
        let momentary = self.stated.borrow().momentary_slowness(run_id(run), now);
        self.slowness(run) * momentary
    }

    /// Records what a server with `slots` states of its load, where this VM knows of
    /// `known_in_flight` requests; returns what came of it, and whether that is a change.
    pub(crate) fn note_stated(
        &self,
        run: &Incarnation,
        load: StatedLoad,
        slots: u32,
        known_in_flight: u32,
        now: Instant,
    ) -> (Verdict, bool) {
        let mut stated = self.stated.borrow_mut();
        stated.note(run_id(run), load, slots, known_in_flight, now)
    }

    /// Records how long a unit of work took after a server had stated its load.
    pub(crate) fn note_stated_time(
        &self,
        run: &Incarnation,
        load: StatedLoad,
        work: &Work,
        took: Duration,
    ) {
        let estimates = self.estimates.borrow();
        let run = run_id(run);
        let expected = (estimates.usual.get(&work.id()), estimates.effects.get(&run));
        if let (Some(usual), Some(effect)) = expected {
            let took = took.as_secs_f64().max(f64::MIN_POSITIVE).ln() - usual.mean - effect.mean;
            self.stated.borrow_mut().note_time(run, load, took);
        }
    }

    /// Returns the requests in flight at a server by its own recent statement, if that is plausible.
    pub(crate) fn stated_in_flight(&self, run: &Incarnation, now: Instant) -> Option<u32> {
        self.stated.borrow().in_flight(run_id(run), now)
    }

    /// Returns what came of the last statement of a run of a server.
    pub(crate) fn stated_verdict(&self, run: &Incarnation) -> Option<Verdict> {
        self.stated.borrow().verdict(run_id(run))
    }

    /// Whether a server has stated different slowness, and its responses to this VM did not take
    /// longer when it stated more.
    pub(crate) fn has_false_slowness(&self, run: &Incarnation) -> bool {
        self.stated.borrow().has_false_slowness(run_id(run))
    }

    /// Returns the number of servers that are reported as slow.
    pub(crate) fn slow_servers(&self) -> usize {
        self.slow.borrow().len()
    }

    /// Returns the runs that have become slow or no longer are, with their slowness.
    pub(crate) fn take_changes(&self, listed: &[ListedRun]) -> Vec<(Incarnation, f64)> {
        let mut slow = self.slow.borrow_mut();
        let ids: HashSet<u32> = listed.iter().map(|it| run_id(&it.run)).collect();
        slow.retain(|id| ids.contains(id));
        self.stated.borrow_mut().retain(|id| ids.contains(&id));
        let changes = listed.iter().filter_map(|ListedRun { run, .. }| {
            let slowness = self.slowness(run);
            let is_change = match slowness {
                SLOW.. => slow.insert(run_id(run)),
                ..NOT_SLOW => slow.remove(&run_id(run)),
                _ => false,
            };
            is_change.then(|| (run.clone(), slowness))
        });
        changes.collect()
    }

    /// Returns the usual time for a unit of work, if that is known.
    pub(crate) fn usual_time(&self, work: &Work) -> Option<Duration> {
        let estimates = self.estimates.borrow();
        let usual = estimates.usual.get(&work.id())?;
        Some(Duration::from_secs_f64(usual.mean.exp()))
    }

    /// Renews the estimates for the listed runs, unless that was done a moment ago; returns the runs
    /// if it was done. What is known of other runs no longer counts.
    pub(crate) fn refresh(
        &self,
        listed: impl FnOnce() -> Vec<ListedRun>,
        now: Instant,
    ) -> Option<Vec<ListedRun>> {
        let is_recent = |at| now.saturating_duration_since(at) < REFRESH_INTERVAL;
        if self.refreshed_at.get().is_some_and(is_recent) {
            return None;
        }
        self.refreshed_at.set(Some(now));
        let mut observations = self.observations.borrow_mut();
        observations.expire(now);
        let mut exchanged = self.exchanged.borrow_mut();
        exchanged.expire(now);
        let of_others = exchanged.of_zone(now);
        let of_zones = exchanged.of_other_zones(now);
        let mut estimates = self.estimates.borrow_mut();
        let Estimates { effects, usual, .. } = &*estimates;

        let mut own = observations.usual(effects, usual, now);
        let mut of_zone = own.clone();
        add(&mut of_zone, &of_others);
        let mut usual = of_zone.clone();
        add(&mut usual, &of_zones);
        let own_effects = observations.effects(effects, &usual, now);
        add(&mut own, &own_effects);
        add(&mut of_zone, &own_effects);

        let mut by_service: HashMap<Name, Vec<(u32, Evidence)>> = HashMap::new();
        let listed = listed();
        for ListedRun { run, service } in &listed {
            let id = run_id(run);
            let of = |figures: &Figures| figures.get(&id).copied().unwrap_or_default();
            let evidence = of(&of_zone).merged(of(&of_zones));
            if evidence.weight > 0.0 {
                by_service
                    .entry(service.clone())
                    .or_default()
                    .push((id, evidence));
            }
        }
        let effects = by_service.values().flat_map(|it| centred_effects(it));
        *estimates = Estimates {
            effects: effects.collect(),
            usual,
            own,
            of_zone,
        };
        Some(listed)
    }

    /// The evidence of this VM, for the VMs of its zone. When there is much of it, each round
    /// carries another part.
    pub(super) fn own_part(&self, round: usize) -> Option<ServerSpeedsPart> {
        exchange::part(&self.estimates.borrow().own, round)
    }

    /// The evidence of all VMs of the zone, for other zones.
    pub(super) fn zone_part(&self, round: usize) -> Option<ServerSpeedsPart> {
        exchange::part(&self.estimates.borrow().of_zone, round)
    }

    /// Applies the evidence of another VM of this zone.
    pub(super) fn apply_vm(&self, sender: SocketAddr, part: &ServerSpeedsPart, now: Instant) {
        let mut exchanged = self.exchanged.borrow_mut();
        exchanged.apply_vm(sender, part.figures(), now);
    }

    /// Applies the evidence of another zone.
    pub(super) fn apply_zone(&self, zone: &Name, part: &ServerSpeedsPart, now: Instant) {
        let mut exchanged = self.exchanged.borrow_mut();
        exchanged.apply_zone(zone, part.figures(), now);
    }
}

/// The effects of the servers of one service, relative to their mean.
fn centred_effects(servers: &[(u32, Evidence)]) -> impl Iterator<Item = (u32, Evidence)> {
    // Servers that are known equally well count equally, however many streams they had.
    let trust = |it: &Evidence| it.weight / (it.weight + USUAL_WEIGHT);
    let total: f64 = servers.iter().map(|(_, it)| trust(it)).sum();
    let sum: f64 = servers.iter().map(|(_, it)| trust(it) * it.mean).sum();
    let centre = sum / total;
    servers.iter().map(move |(id, it)| {
        let mean = (it.mean - centre) * trust(it);
        (*id, Evidence { mean, ..*it })
    })
}
