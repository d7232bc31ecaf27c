//! What one other VM told last, read from its messages.

use crate::gateway::Weights;
use crate::gateway::gossip_message::{Digest, Followed};
use crate::gateway::log_follower::{Reading, Readings};
use crate::gateway::peers::{DemandRate, MICROS_PER_MILLI, SILENCE_LIMIT};
use crate::inventory::Name;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Messages of a VM that speaks seldom which may be missed before what it told counts no more.
const MISSED_MESSAGES: u32 = 4;

/// What one VM told.
#[derive(Debug)]
pub(super) struct Peer {
    pub(super) heard_at: Instant,
    /// For how long what it told counts without another message.
    pub(super) counts_for: Duration,
    pub(super) availability_zone: Name,
    pub(super) readings: Option<Readings>,
    pub(super) fence: u64,
    pub(super) loads: HashMap<Name, Vec<(Name, u32)>>,
    pub(super) demands: Vec<(Weights, DemandRate)>,
    /// The demand as far as the messages that tell it have come.
    pub(super) coming_demands: Vec<(Weights, DemandRate)>,
    /// The telling that they belong to.
    pub(super) demand_round: u32,
}

impl Peer {
    /// What it told of itself in a message.
    pub(super) fn read(digest: &Digest, now: Instant) -> Self {
        Self {
            heard_at: now,
            counts_for: counts_for(digest),
            availability_zone: digest.availability_zone.as_str().into(),
            readings: digest
                .followed_log
                .map(|followed_log| read_followed(followed_log, now)),
            fence: digest.fence,
            loads: read_loads(digest),
            demands: Vec::new(),
            coming_demands: Vec::new(),
            demand_round: 0,
        }
    }
}

/// The requests in flight that a message tells, by server and model.
pub(super) fn read_loads(digest: &Digest) -> HashMap<Name, Vec<(Name, u32)>> {
    let mut loads: HashMap<Name, Vec<(Name, u32)>> = HashMap::new();
    for load in &digest.loads {
        let of_server = loads.entry(load.server.as_str().into()).or_default();
        of_server.push((load.model.as_str().into(), load.in_flight));
    }
    loads
}

/// For how long a message counts: as often as its sender says that it speaks. One that gives
/// orders is replaced soon after it falls silent.
fn counts_for(digest: &Digest) -> Duration {
    let next_in = Duration::from_millis(u64::from(digest.next_in_ms));
    match digest.fence {
        0 => SILENCE_LIMIT.max(next_in * MISSED_MESSAGES),
        _ => SILENCE_LIMIT,
    }
}

pub(super) fn read_demands(digest: &Digest) -> impl Iterator<Item = (Weights, DemandRate)> {
    digest.demands.iter().map(|demand| {
        let weights = Weights {
            model: demand.model.as_str().into(),
            adapter: demand.adapter.as_deref().map(Name::from),
        };
        let rate = DemandRate {
            busy_ms_per_s: f64::from(demand.busy_us_per_s) / MICROS_PER_MILLI,
            requests_per_s: f64::from(demand.requests_per_1000_s) / 1_000.0,
            waiting: demand.waiting,
        };
        (weights, rate)
    })
}

fn read_followed(followed_log: Followed, now: Instant) -> Readings {
    let reading = |news, age_ms| Reading {
        news,
        at: now
            .checked_sub(Duration::from_millis(u64::from(age_ms)))
            .unwrap_or(now),
    };
    Readings {
        directory_end: followed_log.directory_end,
        directory: reading(followed_log.directory_news, followed_log.directory_age_ms),
        configuration: reading(
            followed_log.configuration_news,
            followed_log.configuration_age_ms,
        ),
    }
}
