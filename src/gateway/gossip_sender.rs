//! What this VM tells the others: its load, its zone's, its demand, what runners hold.

use crate::callers::{Ledger, Tally};
use crate::gateway::directory_updates::encode_holding;
use crate::gateway::fleet::{Holding, Incarnation};
use crate::gateway::gossip::{Gossip, INTERVAL};
use crate::gateway::gossip_message::{
    Digest, Followed, ServerHoldings, ServerRequests, TallyPart, ToldZoneLoads, WeightsDemand,
};
use crate::gateway::gossip_targets::Targets;
use crate::gateway::log_follower::Reading;
use crate::gateway::peers::MICROS_PER_MILLI;
use crate::short_id::short_id;
use prost::Message;
use std::collections::HashSet;
use std::time::{Duration, Instant};

/// For how long a change of what a runner holds is told in each message: three of them, since one
/// may be lost.
const REPEAT_FOR: Duration = Duration::from_millis(600);
/// After how long it is told again while the directory lists something else, for those that missed
/// it or came since.
const REFRESH_AFTER: Duration = Duration::from_millis(2_500);
/// Bytes of a message that fit one datagram on any path.
const MAX_MESSAGE_BYTES: usize = 1_300;

/// What peers were told that a runner holds.
#[derive(Debug)]
pub(super) struct AdvertisedHoldings {
    holdings: Vec<Holding>,
    changed_at: Instant,
    at: Option<Instant>,
}

impl AdvertisedHoldings {
    /// What is to be told of a runner that was not told of yet.
    pub(super) fn new(holdings: &[Holding], now: Instant) -> Self {
        Self {
            holdings: holdings.to_vec(),
            changed_at: now,
            at: None,
        }
    }

    /// Takes over what the runner holds now.
    pub(super) fn note(&mut self, holdings: &[Holding], now: Instant) {
        if self.holdings != holdings {
            self.holdings = holdings.to_vec();
            self.changed_at = now;
        }
    }

    /// Whether it is to be told now, which is then taken for done.
    ///
    /// What the directory lists (`is_listed`) every VM learns from there, so that only its change
    /// is told.
    pub(super) fn take_due(&mut self, is_listed: bool, now: Instant) -> bool {
        let is_new = now.duration_since(self.changed_at) < REPEAT_FOR;
        let is_old = self
            .at
            .is_none_or(|at| now.duration_since(at) >= REFRESH_AFTER);
        let is_due = is_new || (is_old && !is_listed);
        if is_due {
            self.at = Some(now);
        }
        is_due
    }
}

impl Gossip {
    /// The load of the own zone on servers; where these are many, on a part of them by the turn.
    pub(super) fn zone_loads(&self, targets: &Targets, turn: usize) -> ToldZoneLoads {
        let of_others = self
            .state
            .peers
            .zone_in_flight(&self.state.settings.availability_zone);
        let servers = self.state.fleet.servers();
        let sums = servers.iter().map(|server| {
            let others = of_others.get(&server.id).copied().unwrap_or(0);
            (short_id(&server.id), server.in_flight() + others)
        });
        let told_every = INTERVAL * targets.remote_rounds() as u32;
        let part = self.sent_zone_loads.borrow_mut().part(
            sums.collect(),
            turn,
            told_every,
            targets.near.len(),
            Instant::now(),
        );
        ToldZoneLoads::of(part.into_iter())
    }

    /// The tellings of a tally; none where there are no organisations.
    pub(super) fn tallies(&self, tally: impl FnOnce(&mut Ledger) -> Tally) -> Vec<TallyPart> {
        let configuration = self.state.configuration();
        if configuration.is_none_or(|it| it.organisations.is_none()) {
            return Vec::new();
        }
        TallyPart::parts(&tally(&mut self.state.ledger.borrow_mut()))
    }

    /// What runners hold, if this VM gives orders, in as many messages as datagrams need: what
    /// changed of late, and what was not told for long.
    pub(super) fn holdings_messages(&self) -> Vec<Digest> {
        let mut messages: Vec<Digest> = Vec::new();
        for holdings in self.due_holdings() {
            let last = messages.last_mut();
            let fits = |last: &&mut Digest| {
                last.encoded_len() + holdings.encoded_len() <= MAX_MESSAGE_BYTES
            };
            match last.filter(fits) {
                Some(last) => last.holdings.push(holdings),
                None => messages.push(Digest {
                    boot: self.boot,
                    is_partial: true,
                    holdings: vec![holdings],
                    ..Digest::default()
                }),
            }
        }
        messages
    }

    pub(super) fn digest(&self) -> Digest {
        let state = &self.state;
        Digest {
            boot: self.boot,
            is_leaving: state.shutdown.is_leaving(),
            availability_zone: state.settings.availability_zone.to_string(),
            next_in_ms: INTERVAL.as_millis() as u32,
            followed_log: self.followed_log(),
            loads: self.loads(),
            fence: state.fence.get(),
            crashes: state.peers.crashes(),
            ..Digest::default()
        }
    }

    /// This VM's requests in flight.
    pub(super) fn loads(&self) -> Vec<ServerRequests> {
        let servers = self.state.fleet.servers();
        let loads = servers.iter().flat_map(|server| {
            let counts = server.in_flight_by_model().into_iter();
            counts.map(|(model, in_flight)| ServerRequests {
                server: server.id.to_string(),
                in_flight,
                model: model.to_string(),
            })
        });
        loads.collect()
    }

    pub(super) fn demands(&self) -> Vec<WeightsDemand> {
        let demand = self.state.own_demand(Instant::now());
        let demand = demand.into_iter();
        demand
            .map(|(weights, rate)| WeightsDemand {
                model: weights.model.to_string(),
                adapter: weights.adapter.map(|adapter| adapter.to_string()),
                busy_us_per_s: (rate.busy_ms_per_s * MICROS_PER_MILLI) as u32,
                requests_per_1000_s: (rate.requests_per_s * 1_000.0) as u32,
                waiting: rate.waiting,
            })
            .collect()
    }

    /// What this VM read of the log, if it follows it closely.
    fn followed_log(&self) -> Option<Followed> {
        let now = Instant::now();
        if !self.state.follows_closely(now) {
            return None;
        }
        let age_ms = |reading: Reading| {
            let age = now.saturating_duration_since(reading.at);
            u32::try_from(age.as_millis()).unwrap_or(u32::MAX)
        };
        let readings = self.state.following.readings()?;
        Some(Followed {
            directory_news: readings.directory.news,
            directory_end: readings.directory_end,
            directory_age_ms: age_ms(readings.directory),
            configuration_news: readings.configuration.news,
            configuration_age_ms: age_ms(readings.configuration),
        })
    }

    fn due_holdings(&self) -> Vec<ServerHoldings> {
        let now = Instant::now();
        let view = self.state.leader_view.borrow();
        let mut sent_holdings = self.sent_holdings.borrow_mut();
        if sent_holdings.len() > view.len() {
            let runs: HashSet<&Incarnation> = view.iter().map(|(run, _)| run).collect();
            sent_holdings.retain(|run, _| runs.contains(run));
        }
        let due = view.iter().filter(|(run, holdings)| {
            let known = sent_holdings
                .entry(run.clone())
                .or_insert_with(|| AdvertisedHoldings::new(holdings, now));
            known.note(holdings, now);
            let server = self.state.fleet.run(run);
            let is_listed = server.is_some_and(|server| server.lists(holdings));
            known.take_due(is_listed, now)
        });
        due.map(|(run, holdings)| holdings_of(run, holdings))
            .collect()
    }
}

fn holdings_of(run: &Incarnation, holdings: &[Holding]) -> ServerHoldings {
    ServerHoldings {
        server: run.id.to_string(),
        started_ms: run.started_ms,
        models: holdings.iter().map(encode_holding).collect(),
    }
}
