//! The times that this VM has seen, and what it derives from them.

use crate::gateway::server_speed::evidence::{Evidence, Figures, MAX_AGE, MAX_EFFECT, decay};
use crate::inventory::Name;
use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The maximum number of times that are kept: those of two minutes at a VM with nine streams per
/// second.
const MAX_OBSERVATIONS: usize = 1_024;
/// The shortest time that is recorded: below it, the clock and the network matter more than the
/// server.
const MIN_TIME: Duration = Duration::from_micros(50);
/// How far an observation may lie from what is expected of its server, as a logarithm. What lies
/// further away counts as if it lay there: a stream that waited for other prompts says little about
/// its runner.
const MAX_DEVIATION: f64 = 0.7;
/// The weight of other observations of the same kind of work, relative to its own, from which an
/// observation counts. The only one of its kind says nothing about its server.
const MIN_OTHERS_SHARE: f64 = 0.5;
/// The weight of a usual time from which observations far from it are limited.
const KNOWN_WEIGHT: f64 = 3.0;
/// Seeds of the short ids of the kinds of work, which differ from the start times of servers.
const EVENT_SEED: u64 = 1;
const CALL_SEED: u64 = 2;

/// The kind of work that a time was taken of; only times of the same kind are compared.
#[derive(Clone, Debug)]
pub(crate) enum Work {
    /// The time between two events of a stream of a model.
    Event(Name),
    /// The duration of a plain call of a route.
    Call(Name),
}

impl Work {
    /// The short id in messages.
    pub(super) fn id(&self) -> u32 {
        let (name, seed) = match self {
            Self::Event(model) => (model, EVENT_SEED),
            Self::Call(route) => (route, CALL_SEED),
        };
        xxh3_64_with_seed(name.as_bytes(), seed) as u32
    }
}

#[derive(Debug)]
struct Observation {
    run: u32,
    work: u32,
    /// The logarithm of the time in seconds.
    log_time: f64,
    weight: f64,
    at: Instant,
}

impl Observation {
    fn evidence(&self, mean: f64, now: Instant) -> Evidence {
        let age = now.saturating_duration_since(self.at);
        Evidence {
            mean,
            weight: self.weight * decay(age),
            age,
        }
    }
}

/// The times that this VM has seen.
#[derive(Debug, Default)]
pub(super) struct Observations {
    observations: VecDeque<Observation>,
}

impl Observations {
    pub(super) fn note(&mut self, run: u32, work: u32, took: Duration, weight: f64, now: Instant) {
        if took < MIN_TIME || weight <= 0.0 {
            return;
        }
        if self.observations.len() >= MAX_OBSERVATIONS {
            self.observations.pop_front();
        }
        self.observations.push_back(Observation {
            run,
            work,
            log_time: took.as_secs_f64().ln(),
            weight: weight.min(1.0),
            at: now,
        });
    }

    pub(super) fn expire(&mut self, now: Instant) {
        let age = |at: Instant| now.saturating_duration_since(at);
        self.observations.retain(|it| age(it.at) < MAX_AGE);
    }

    /// What this VM has seen of the usual times, with the known effects of the servers taken out.
    /// `known` are the usual times as known before.
    pub(super) fn usual(&self, effects: &Figures, known: &Figures, now: Instant) -> Figures {
        let mut by_work: HashMap<u32, Vec<(f64, Evidence)>> = HashMap::new();
        for it in &self.observations {
            let mean = it.log_time - effect(effects, it.run);
            let evidence = it.evidence(mean, now);
            by_work.entry(it.work).or_default().push((mean, evidence));
        }
        let usual = by_work.into_iter().map(|(work, mut points)| {
            let known = known.get(&work).filter(|it| it.weight >= KNOWN_WEIGHT);
            let centre = known.map_or_else(|| median(&mut points), |it| it.mean);
            let limited = points.iter().map(|(mean, evidence)| Evidence {
                mean: mean.clamp(centre - MAX_DEVIATION, centre + MAX_DEVIATION),
                ..*evidence
            });
            (work, limited.fold(Evidence::default(), Evidence::merged))
        });
        usual.collect()
    }

    /// What this VM has seen of the effects of the servers, given the usual times.
    pub(super) fn effects(&self, effects: &Figures, usual: &Figures, now: Instant) -> Figures {
        let mut seen = Figures::new();
        for it in &self.observations {
            let usual = usual.get(&it.work).copied().unwrap_or_default();
            let single = it.evidence(0.0, now);
            let others = usual.weight - single.weight;
            if others < single.weight * MIN_OTHERS_SHARE {
                continue;
            }
            let centre = effect(effects, it.run);
            // What is usual includes this observation; the deviation is from that of the others.
            let deviation = (it.log_time - usual.mean - centre) * usual.weight / others;
            let deviation = deviation.clamp(-MAX_DEVIATION, MAX_DEVIATION);
            let single = Evidence {
                mean: (centre + deviation).clamp(-MAX_EFFECT, MAX_EFFECT),
                weight: single.weight * others / (others + 1.0),
                ..single
            };
            let sum = seen.entry(it.run).or_default();
            *sum = sum.merged(single);
        }
        seen
    }
}

fn effect(effects: &Figures, run: u32) -> f64 {
    effects.get(&run).map_or(0.0, |it| it.mean)
}

/// Returns the median: a few streams that stalled do not move it.
fn median(points: &mut [(f64, Evidence)]) -> f64 {
    points.sort_by(|left, right| left.0.total_cmp(&right.0));
    let middle = points.len() / 2;
    match points.len() % 2 {
        0 => f64::midpoint(points[middle - 1].0, points[middle].0),
        _ => points[middle].0,
    }
}
