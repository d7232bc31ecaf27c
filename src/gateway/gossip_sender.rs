//! Builds the contents of gossip messages: the load of this VM and of its zone, its demand, and
//! what runners have loaded.

use crate::callers::{Ledger, UsageReport};
use crate::gateway::coming_copy::ComingCopy;
use crate::gateway::crash_message::ContainedCauseMessage;
use crate::gateway::directory_updates::encode_holding;
use crate::gateway::fleet::{Holding, Incarnation, Server};
use crate::gateway::gossip::{Gossip, INTERVAL};
use crate::gateway::gossip_message::{
    Digest, FollowedLog, LoadingModel, ServerHoldings, ServerLimitsPart, ServerRequests, ServerRun,
    UsageReportPart, WaitingRequests, WeightsDemand, ZoneLoadSums,
};
use crate::gateway::gossip_targets::Targets;
use crate::gateway::log_follower::Reading;
use crate::gateway::peers::MICROS_PER_MILLI;
use crate::gateway::stream_message::OpenVersion;
use crate::gateway::waiting::need_id;
use crate::inventory::Name;
use crate::short_id::short_id;
use prost::Message;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long every round repeats a change in what a runner holds: for three rounds, since a message
/// may be lost.
const REPEAT_PERIOD: Duration = Duration::from_millis(600);
/// The interval at which the holdings of a runner are sent again while the directory lists other
/// holdings, for VMs that missed the change or have started since.
const REFRESH_INTERVAL: Duration = Duration::from_millis(2_500);
/// How long messages say that a server leaves, from when this VM learned of it.
const LEAVING_SENT_FOR: Duration = Duration::from_millis(5_000);
/// The maximum number of leaving servers in one message. Each takes some 25 bytes.
const MAX_LEAVING_PER_MESSAGE: usize = 12;
/// The maximum number of contained causes in one message. Each takes some 20 bytes.
const MAX_CONTAINED_PER_MESSAGE: usize = 16;
/// The maximum number of models and adapters of which a message says how many requests wait. Each
/// takes some 15 bytes.
pub(super) const MAX_WAITING_PER_MESSAGE: usize = 12;
/// The size of a message, in bytes, that fits one datagram on any network path.
const MAX_MESSAGE_BYTES: usize = 1_300;
/// The bytes of a tag and a length in an encoded message.
const ENCODING_OVERHEAD_BYTES: usize = 3;
/// The maximum number of messages about holdings in one round. A leader that has just taken over
/// sends those of thousands of runners over several seconds.
const MAX_HOLDINGS_MESSAGES: usize = 8;

/// Contained causes as one message carries them.
struct ContainedCauses {
    causes: Vec<ContainedCauseMessage>,
    /// Whether they are all that this VM contains.
    is_complete: bool,
}

/// The holdings of one runner as advertised to peers.
#[derive(Debug)]
pub(super) struct AdvertisedHoldings {
    holdings: Vec<Holding>,
    coming: Option<ComingCopy>,
    changed_at: Instant,
    sent_at: Option<Instant>,
}

impl AdvertisedHoldings {
    /// Starts with holdings that have not been sent yet.
    pub(super) fn new(holdings: &[Holding], now: Instant) -> Self {
        Self {
            holdings: holdings.to_vec(),
            coming: None,
            changed_at: now,
            sent_at: None,
        }
    }

    /// Replaces the holdings, and records a change if they differ.
    pub(super) fn update(&mut self, holdings: &[Holding], now: Instant) {
        if self.holdings != holdings {
            self.holdings = holdings.to_vec();
            self.changed_at = now;
        }
    }

    /// Replaces the copy that is being loaded, and records a change if it is another.
    pub(super) fn update_coming(&mut self, coming: Option<ComingCopy>, now: Instant) {
        if self.coming != coming {
            self.coming = coming;
            self.changed_at = now;
        }
    }

    /// Whether the holdings should be sent now.
    ///
    /// Holdings that the directory lists (`is_listed`) reach every VM through the directory, so
    /// that only a change of them is sent.
    pub(super) fn is_due(&self, is_listed: bool, now: Instant) -> bool {
        let is_new = now.duration_since(self.changed_at) < REPEAT_PERIOD;
        let is_unsent = self.sent_at.is_none_or(|at| at < self.changed_at);
        let is_old = self
            .sent_at
            .is_none_or(|at| now.duration_since(at) >= REFRESH_INTERVAL);
        is_new || is_unsent || (is_old && !is_listed)
    }

    /// Records that the holdings are sent.
    pub(super) fn note_sent(&mut self, now: Instant) {
        self.sent_at = Some(now);
    }
}

impl Gossip {
    /// The load of the local zone by server. When there are many servers, each round carries
    /// another part of them.
    pub(super) fn zone_loads(&self, targets: &Targets, round: usize) -> ZoneLoadSums {
        let of_others = self
            .state
            .peers
            .zone_in_flight(&self.state.settings.availability_zone);
        let servers = self.state.fleet.servers();
        let sums = servers.iter().map(|server| {
            let others = of_others.get(&server.id).copied().unwrap_or(0);
            (short_id(&server.id), server.in_flight() + others)
        });
        let message_interval = INTERVAL * targets.remote_rounds() as u32;
        let part = self.sent_zone_loads.borrow_mut().part(
            sums.collect(),
            round,
            message_interval,
            targets.local.len(),
            Instant::now(),
        );
        ZoneLoadSums::of(part.into_iter())
    }

    /// Splits a usage report of the ledger into parts that fit one message each. Returns no parts
    /// if no organisations are configured.
    pub(super) fn usage_reports(
        &self,
        report: impl FnOnce(&mut Ledger) -> UsageReport,
    ) -> Vec<UsageReportPart> {
        let configuration = self.state.configuration();
        if configuration.is_none_or(|it| it.organisations.is_none()) {
            return Vec::new();
        }
        UsageReportPart::parts(&report(&mut self.state.ledger.borrow_mut()))
    }

    /// Splits what this VM knows of the rate limits of servers into parts that fit one message
    /// each. Returns no parts while no server has a limit.
    pub(super) fn server_limits_parts(
        &self,
        report: impl FnOnce(&mut Ledger) -> UsageReport,
    ) -> Vec<ServerLimitsPart> {
        let mut limits = self.state.server_limits.borrow_mut();
        let statements = limits.statements(Instant::now());
        if statements.is_empty() && limits.limited_servers() == 0 {
            return Vec::new();
        }
        ServerLimitsPart::parts(&report(limits.ledger()), &statements)
    }

    /// The messages about what runners hold, sent by the leader: recent changes, and holdings that
    /// are due to be sent again. Each message fits one datagram. What does not fit the messages of
    /// one round is sent in a later one.
    pub(super) fn holdings_messages(&self) -> Vec<Digest> {
        let now = Instant::now();
        let mut messages: Vec<Digest> = Vec::new();
        let mut bytes = 0;
        for (run, holdings) in self.due_holdings(now) {
            let server = self.state.fleet.run(&run);
            let coming = server.and_then(|server| server.coming(now));
            let encoded = holdings_message(&run, &holdings, coming.as_ref(), now);
            // Beside its fields, each runner takes a tag and its length.
            let length = encoded.encoded_len() + ENCODING_OVERHEAD_BYTES;
            if messages.is_empty() || bytes + length > MAX_MESSAGE_BYTES {
                if messages.len() == MAX_HOLDINGS_MESSAGES {
                    break;
                }
                messages.push(Digest {
                    boot: self.boot,
                    is_partial: true,
                    ..Digest::default()
                });
                bytes = 0;
            }
            bytes += length;
            if let Some(last) = messages.last_mut() {
                last.holdings.push(encoded);
            }
            if let Some(advertised) = self.sent_holdings.borrow_mut().get_mut(&run) {
                advertised.note_sent(now);
            }
        }
        messages
    }

    /// The part of the regular message that all recipients share, with the load of this VM.
    pub(super) fn digest(&self) -> Digest {
        let state = &self.state;
        let configuration = state.stated_configuration(Instant::now());
        let contained = self.contained_causes();
        let lists_all_contained =
            contained.is_complete && state.containment_knowledge.get().is_told();
        Digest {
            boot: self.boot,
            is_leaving: state.shutdown.is_leaving(),
            availability_zone: state.settings.availability_zone.to_string(),
            next_in_ms: INTERVAL.as_millis() as u32,
            followed_log: self.followed_log(),
            loads: self.loads(),
            has_state: state.has_state(),
            accepts_forwarded: state.accepts_forwarded(),
            cpu_percent: u32::from(state.peers.own_cpu_percent()),
            fence: state.fence.get(),
            leader: state.peers.leader_seen(Instant::now()),
            contained: contained.causes,
            knows_contained: lists_all_contained,
            lists_all_contained,
            leaving: self.leaving_servers(),
            mixed_services: self.mixed_services(),
            open_versions: self.open_versions(),
            waiting: self.waiting_requests(),
            configuration_version: configuration.version,
            is_configuration_checked: configuration.is_checked,
            ..Digest::default()
        }
    }

    /// What this VM contains because it crashes servers, as much as a message may carry: the causes
    /// refused last, and the others in turn.
    fn contained_causes(&self) -> ContainedCauses {
        let mut confirmed = self.state.containment.borrow().confirmed(Instant::now());
        let is_complete = confirmed.len() <= MAX_CONTAINED_PER_MESSAGE;
        if !is_complete {
            let others = &mut confirmed[MAX_CONTAINED_PER_MESSAGE / 2..];
            let count = others.len();
            let next = self.next_contained.get() % count;
            others.rotate_left(next);
            self.next_contained
                .set(next + MAX_CONTAINED_PER_MESSAGE / 2);
        }
        let causes = confirmed.iter().take(MAX_CONTAINED_PER_MESSAGE);
        let causes = causes.map(|(cause, idle)| ContainedCauseMessage::of(*cause, *idle));
        ContainedCauses {
            causes: causes.collect(),
            is_complete,
        }
    }

    /// The requests that wait at this VM, as many as a message may carry.
    fn waiting_requests(&self) -> Vec<WaitingRequests> {
        let counts = self.state.wait_queues.counts(Instant::now()).into_iter();
        let waiting = counts.map(|(need, count)| WaitingRequests {
            need: need_id(&need),
            by_level: count.by_level.to_vec(),
        });
        waiting.take(MAX_WAITING_PER_MESSAGE).collect()
    }

    fn mixed_services(&self) -> Vec<String> {
        let versions = self.state.software_versions.borrow();
        let services = versions.mixed_services(Instant::now());
        services.iter().map(Name::to_string).collect()
    }

    fn open_versions(&self) -> Vec<OpenVersion> {
        let versions = self.state.software_versions.borrow();
        let open = versions.open_versions(Instant::now()).into_iter();
        let open = open.map(|(service, version)| OpenVersion {
            service: service.to_string(),
            version: version.to_string(),
        });
        open.collect()
    }

    /// The servers that have recently said that they leave, the latest first.
    fn leaving_servers(&self) -> Vec<ServerRun> {
        let now = Instant::now();
        let servers = self.state.fleet.servers();
        let mut leaving: Vec<(Duration, &Rc<Server>)> = servers
            .iter()
            .filter_map(|server| {
                let age = now.saturating_duration_since(server.leaving_since()?);
                (age < LEAVING_SENT_FOR).then_some((age, server))
            })
            .collect();
        leaving.sort_by_key(|(age, _)| *age);
        let latest = leaving.into_iter().take(MAX_LEAVING_PER_MESSAGE);
        latest.map(|(_, server)| ServerRun::of(server)).collect()
    }

    /// The requests that this VM has in flight, by server and model.
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

    /// The demand at this VM, for the leader.
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

    /// The log positions of this VM, if it follows the log closely.
    fn followed_log(&self) -> Option<FollowedLog> {
        let now = Instant::now();
        if !self.state.follows_closely(now) {
            return None;
        }
        let age_ms = |reading: Reading| {
            let age = now.saturating_duration_since(reading.at);
            u32::try_from(age.as_millis()).unwrap_or(u32::MAX)
        };
        let readings = self.state.following.readings()?;
        Some(FollowedLog {
            directory_changed_to: readings.directory.last_change,
            directory_end: readings.directory_end,
            directory_age_ms: age_ms(readings.directory),
            configuration_changed_to: readings.configuration.last_change,
            configuration_age_ms: age_ms(readings.configuration),
        })
    }

    /// Returns the holdings that are due to be sent, those that changed last first. Runners that are
    /// no longer in the view of the leader are forgotten.
    fn due_holdings(&self, now: Instant) -> Vec<(Incarnation, Vec<Holding>)> {
        let view = self.state.leader_view.borrow();
        let mut by_run = self.sent_holdings.borrow_mut();
        if by_run.len() > view.len() {
            let runs: HashSet<&Incarnation> = view.iter().map(|(run, _)| run).collect();
            by_run.retain(|run, _| runs.contains(run));
        }
        let mut due = Vec::new();
        for (run, holdings) in view.iter() {
            let advertised = by_run
                .entry(run.clone())
                .or_insert_with(|| AdvertisedHoldings::new(holdings, now));
            advertised.update(holdings, now);
            let server = self.state.fleet.run(run);
            let coming = server.as_ref().and_then(|server| server.coming(now));
            advertised.update_coming(coming, now);
            let is_listed = server.is_some_and(|server| server.lists(holdings));
            if advertised.is_due(is_listed, now) {
                due.push((advertised.changed_at, run.clone(), holdings.clone()));
            }
        }
        due.sort_by_key(|(changed_at, _, _)| std::cmp::Reverse(*changed_at));
        due.into_iter()
            .map(|(_, run, holdings)| (run, holdings))
            .collect()
    }
}

/// Encodes the holdings of one run of a server, and the copy that it is loading.
fn holdings_message(
    run: &Incarnation,
    holdings: &[Holding],
    coming: Option<&ComingCopy>,
    now: Instant,
) -> ServerHoldings {
    ServerHoldings {
        server: run.id.to_string(),
        started_ms: run.started_ms,
        models: holdings.iter().map(encode_holding).collect(),
        loading: coming.map(|coming| LoadingModel {
            model: coming.model.to_string(),
            ready_in_ms: coming.ready_in_ms(now),
        }),
    }
}
