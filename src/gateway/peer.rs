//! The last state received from one peer, decoded from its messages.

use crate::gateway::Weights;
use crate::gateway::configuration_check::PeerConfiguration;
use crate::gateway::demand_rate::DemandRate;
use crate::gateway::gossip_message::{Digest, FollowedLog};
use crate::gateway::gossip_sender::MAX_WAITING_PER_MESSAGE;
use crate::gateway::log_follower::{Reading, Readings};
use crate::gateway::peers::{MICROS_PER_MILLI, MIN_STATE_TTL};
use crate::gateway::waiting::WaitingCount;
use crate::inventory::Name;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// The number of announced sending intervals without a message after which the state of a peer
/// expires.
const MAX_MISSED_MESSAGES: u32 = 4;

/// The last state received from one peer.
#[derive(Debug)]
pub(super) struct PeerState {
    /// When the last digest was received.
    pub(super) received_at: Instant,
    /// How long the state is valid after `received_at`.
    pub(super) state_ttl: Duration,
    pub(super) availability_zone: Name,
    /// The log positions of the peer, if it follows the log closely.
    pub(super) readings: Option<Readings>,
    /// Whether the peer has the directory and the configuration.
    pub(super) has_state: bool,
    /// What the peer states of its configuration.
    pub(super) configuration: PeerConfiguration,
    /// Whether the peer takes requests that other VMs forward.
    pub(super) accepts_forwarded: bool,
    /// Requests in flight by server, as pairs of model and count.
    pub(super) loads: HashMap<Name, Vec<(Name, u32)>>,
    /// The requests that wait at the peer, by the identifier of what they wait for.
    pub(super) waiting: HashMap<u32, WaitingCount>,
    /// The last demand that was received completely.
    pub(super) demands: Vec<(Weights, DemandRate)>,
    /// The parts received so far of a demand that spans several messages.
    pub(super) partial_demands: Vec<(Weights, DemandRate)>,
    /// The round that `partial_demands` belong to.
    pub(super) demand_round: u32,
}

impl PeerState {
    /// Decodes the state of a peer from its digest, without its demand.
    pub(super) fn read(digest: &Digest, now: Instant) -> Self {
        Self {
            received_at: now,
            state_ttl: state_ttl(digest),
            availability_zone: digest.availability_zone.as_str().into(),
            readings: digest
                .followed_log
                .map(|followed_log| read_followed_log(followed_log, now)),
            has_state: digest.has_state,
            configuration: PeerConfiguration {
                version: digest.configuration_version,
                is_checked: digest.is_configuration_checked,
            },
            accepts_forwarded: digest.accepts_forwarded,
            loads: read_loads(digest),
            waiting: read_waiting(digest),
            demands: Vec::new(),
            partial_demands: Vec::new(),
            demand_round: 0,
        }
    }
}

/// Decodes the requests in flight of a message, by server, as pairs of model and count.
pub(super) fn read_loads(digest: &Digest) -> HashMap<Name, Vec<(Name, u32)>> {
    let mut loads: HashMap<Name, Vec<(Name, u32)>> = HashMap::new();
    for load in &digest.loads {
        let of_server = loads.entry(load.server.as_str().into()).or_default();
        of_server.push((load.model.as_str().into(), load.in_flight));
    }
    loads
}

/// Decodes the requests that wait at the sender of a message.
fn read_waiting(digest: &Digest) -> HashMap<u32, WaitingCount> {
    let waiting = digest.waiting.iter().take(MAX_WAITING_PER_MESSAGE);
    let counts = waiting.map(|it| {
        let mut count = WaitingCount::default();
        let levels = count.by_level.iter_mut().zip(&it.by_level);
        levels.for_each(|(level, received)| *level = *received);
        (it.need, count)
    });
    counts.collect()
}

/// How long a digest is valid, given the sending interval that it announces.
fn state_ttl(digest: &Digest) -> Duration {
    let next_in = Duration::from_millis(u64::from(digest.next_in_ms));
    MIN_STATE_TTL.max(next_in * MAX_MISSED_MESSAGES)
}

/// Decodes the demand of a message.
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

/// Decodes the log positions of a message; its ages become points in time before `now`.
fn read_followed_log(followed_log: FollowedLog, now: Instant) -> Readings {
    let reading = |last_change, age_ms| Reading {
        last_change,
        at: now
            .checked_sub(Duration::from_millis(u64::from(age_ms)))
            .unwrap_or(now),
    };
    Readings {
        directory_end: followed_log.directory_end,
        directory: reading(
            followed_log.directory_changed_to,
            followed_log.directory_age_ms,
        ),
        configuration: reading(
            followed_log.configuration_changed_to,
            followed_log.configuration_age_ms,
        ),
    }
}
