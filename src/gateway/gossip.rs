//! Sends the gossip datagrams between VMs.
//!
//! Each digest is complete and replaces the one before, so a lost datagram only leaves the receiver
//! with older data. Prompt messages add to the receiver's counts instead; if one is lost, the count
//! is too low only until the runner has prefilled that prompt.

use crate::callers::{Ledger, UsageReport};
use crate::gateway::fleet::Incarnation;
use crate::gateway::gossip_message::{Digest, ServerLimitsPart, UsageReportPart};
use crate::gateway::gossip_sender::AdvertisedHoldings;
use crate::gateway::gossip_targets::Targets;
use crate::gateway::outbox::UpdateScope;
use crate::gateway::sighting_message::zones_of;
use crate::gateway::state::State;
use crate::gateway::zone_loads::ZoneLoadSampler;
use compio::BufResult;
use compio::net::UdpSocket;
use prost::Message;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::debug;

/// Length of a gossip round. Streams last for seconds, so the load on a runner changes by only a
/// few requests in one round.
pub(super) const INTERVAL: Duration = Duration::from_millis(200);
/// Minimum time between a message and one that is sent before the next round is due.
const MIN_INTERVAL: Duration = Duration::from_millis(20);
/// Pause after a prompt message, for each VM that it was sent to. With ten VMs that is a few ms,
/// well below the prefill time of a prompt, and it limits a VM to 1,000 prompt datagrams per second
/// in a fleet of any size.
const PROMPTS_PAUSE_PER_PEER: Duration = Duration::from_millis(1);
/// Maximum number of demands in a message. At about 30 bytes each they fit into one datagram.
const MAX_DEMANDS: usize = 35;
/// Maximum number of prompts in a message. At about 30 bytes each they fit into one datagram.
const MAX_PROMPTS: usize = 40;
/// Maximum number of VMs in a message that answers a request for all known VMs. At 10 bytes each
/// they fit into one datagram.
const MAX_VMS: usize = 120;
/// Minimum time between two answers that list all VMs. When a fleet starts, all its VMs request the
/// list from the few members in the log.
const ALL_VMS_INTERVAL: Duration = Duration::from_millis(100);
/// Number of VMs of each zone that forward a message to their zone; more than one, since a message
/// may be lost.
const RELAYS_PER_ZONE: usize = 2;
/// Time between two messages to VMs that were lost.
const PROBE_INTERVAL: Duration = Duration::from_millis(1_000);

/// What a VM or a zone used of shared limits, in parts that fit one message each.
struct SharedUsage {
    quotas: Vec<UsageReportPart>,
    server_limits: Vec<ServerLimitsPart>,
}

/// Gossip endpoint of this VM: the UDP socket and the state of the messages sent through it.
pub(crate) struct Gossip {
    pub(super) state: Rc<State>,
    pub(super) socket: UdpSocket,
    pub(super) boot: u64,
    /// Holdings of each runner, as last sent to peers.
    pub(super) sent_holdings: RefCell<HashMap<Incarnation, AdvertisedHoldings>>,
    /// Which contained cause is sent next, of those that do not all fit a message.
    pub(super) next_contained: Cell<usize>,
    /// Selects which of this zone's loads are sent to other zones.
    pub(super) sent_zone_loads: RefCell<ZoneLoadSampler>,
    /// Sequence number of the last demand report.
    demand_round: Cell<u32>,
    /// Number of the next round, which selects the part of the VMs that it sends to.
    round: Cell<usize>,
    /// When all known VMs were last sent to a peer.
    all_vms_sent_at: Cell<Option<Instant>>,
}

impl Gossip {
    /// Binds the UDP socket on which peers' messages arrive.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound, for example because it is in use.
    pub(crate) async fn bind(state: Rc<State>) -> io::Result<Rc<Self>> {
        let socket = UdpSocket::bind(state.settings.peer_address).await?;
        let boot = u64::from(rand::random::<u32>());
        Ok(Rc::new(Self {
            state,
            socket,
            boot,
            sent_holdings: RefCell::default(),
            next_contained: Cell::new(0),
            sent_zone_loads: RefCell::default(),
            demand_round: Cell::new(0),
            // VMs start at different round numbers, so a VM receives messages from other zones in
            // every round.
            round: Cell::new(usize::from(rand::random::<u16>())),
            all_vms_sent_at: Cell::new(None),
        }))
    }

    /// Runs gossip rounds until the process ends, and sends urgent changes before the next round.
    pub(crate) async fn send(self: Rc<Self>) {
        let zone = &self.state.settings.availability_zone;
        let mut next_round = Instant::now();
        let mut next_probe = next_round + PROBE_INTERVAL;
        loop {
            let urgent = self.state.peers.outbox.wait_for_update();
            let now = Instant::now();
            let targets = self.state.peers.targets(zone);
            let urgency = self.state.peers.outbox.take_update_scope();
            // In a large fleet, holdings are spread over several rounds: sending each change to all
            // VMs at once exceeds the bandwidth of a small VM.
            let is_all = match urgency {
                UpdateScope::All => true,
                UpdateScope::Holdings => targets.remote_rounds() == 1,
                UpdateScope::Zone | UpdateScope::Leader | UpdateScope::None => false,
            };
            self.send_directory_updates(&targets.local).await;
            if now >= next_round || is_all {
                next_round = now + INTERVAL;
                self.send_round(&targets, is_all).await;
                if now >= next_probe {
                    next_probe = now + PROBE_INTERVAL;
                    self.probe().await;
                }
            } else if urgency == UpdateScope::Zone {
                self.send_followed_log(&targets.local).await;
            } else if urgency == UpdateScope::Leader {
                self.send_demand().await;
            }
            compio::time::sleep(MIN_INTERVAL).await;
            let remaining = next_round.saturating_duration_since(Instant::now());
            // Either an urgent change or the end of the interval starts the next iteration.
            let _ = compio::time::timeout(remaining, urgent).await;
            let now = Instant::now();
            self.state.peers.forget_silent(now);
            self.state.ledger.borrow_mut().prune_expired(now);
        }
    }

    /// Sends the messages of one round.
    ///
    /// VMs in the local zone get this VM's load. VMs in remote zones get the same in a small fleet
    /// and the load of the whole zone in a large one. The leader gets the demand at this VM.
    async fn send_round(&self, targets: &Targets, is_to_all: bool) {
        let now = Instant::now();
        self.state.settle_containment(now);
        self.state.refresh_server_speeds(now);
        self.state.plain_loads.expire(now);
        let must_tell = |service: &str| self.state.must_tell_version(service, now);
        self.state.peers.outbox.release_streams(must_tell, now);
        let mut digest = self.digest();
        self.state
            .peers
            .outbox
            .crash_news
            .borrow_mut()
            .fill(&mut digest);
        let holdings = self.holdings_messages();
        let asked_peer = self.state.peers.take_view_request(now);
        if let Some(asked_peer) = asked_peer {
            let request = Digest {
                requests_view: true,
                ..digest.clone()
            };
            self.send_to(&request, &[asked_peer]).await;
        }
        let sample = self.state.peers.sample(targets.vms_per_message());
        let round = self.round.get();
        self.round.set(round.wrapping_add(1));
        let next_in = INTERVAL * targets.local_rounds() as u32;
        let own_reports = self.shared_usage(|ledger| ledger.vm_report(now));
        let local_digest = Digest {
            vms: zones_of(&sample, now),
            next_in_ms: next_in.as_millis() as u32,
            usage_report: own_reports.quotas.first().cloned(),
            server_limits: own_reports.server_limits.first().cloned(),
            server_speeds: self.state.server_speeds.own_part(round),
            runner_loads: self
                .state
                .runner_loads
                .take_part(targets.local_rounds(), now),
            plain_loads: self.state.plain_loads.own_part(now),
            ..digest.clone()
        };
        let local_targets = match is_to_all {
            true => targets.local.clone(),
            false => targets.local_part(round),
        };
        self.send_to(&local_digest, &local_targets).await;
        self.send_further_parts(&own_reports, next_in, &local_targets)
            .await;
        if !is_to_all && targets.local_rounds() > 1 {
            // All VMs of the zone rely on the one that follows the log.
            let of_part: HashSet<&SocketAddr> = local_targets.iter().collect();
            let others = targets.local.iter().filter(|it| !of_part.contains(it));
            let others: Vec<SocketAddr> = others.copied().collect();
            self.send_followed_log(&others).await;
        }
        self.send_holdings(&holdings, targets).await;
        if round.is_multiple_of(targets.demand_rounds()) {
            self.send_demand().await;
        }
        let mut remote_targets: Vec<SocketAddr> = Vec::new();
        match is_to_all {
            true => remote_targets.extend(targets.remote.values().flatten()),
            false => remote_targets.extend(targets.remote_part(round).flat_map(|(_, part)| part)),
        }
        let remote_rounds = targets.remote_rounds();
        let mut remote_digest = Digest {
            next_in_ms: (INTERVAL * remote_rounds as u32).as_millis() as u32,
            server_speeds: self.state.server_speeds.zone_part(round),
            plain_loads: self.state.plain_loads.zone_part(now),
            ..digest
        };
        if remote_rounds > 1 {
            remote_digest.loads.clear();
            remote_digest.zone_loads = Some(self.zone_loads(targets, round));
            if round.is_multiple_of(remote_rounds) {
                self.send_loads().await;
            }
        }
        self.send_remote(remote_digest, &remote_targets).await;
    }

    /// Sends what runners hold to all VMs. In a large fleet a few VMs of each zone forward it to
    /// their zone, since one message to each VM exceeds the bandwidth of a small VM.
    async fn send_holdings(&self, holdings: &[Digest], targets: &Targets) {
        for message in holdings {
            if targets.remote_rounds() == 1 && targets.local_rounds() == 1 {
                self.send_to(message, &targets.local).await;
                let remote: Vec<SocketAddr> = targets.remote.values().flatten().copied().collect();
                self.send_to(message, &remote).await;
                continue;
            }
            let relayed = Digest {
                is_for_zone: true,
                ..message.clone()
            };
            let relays = self.state.peers.draw_relays(targets, RELAYS_PER_ZONE);
            self.send_to(&relayed, &relays).await;
        }
    }

    /// Forwards a message to the other VMs of the local zone.
    pub(super) async fn forward_to_zone(&self, message: &Digest) {
        let targets = self
            .state
            .peers
            .targets(&self.state.settings.availability_zone);
        self.send_to(message, &targets.local).await;
    }

    /// Sends the log positions of this VM, if it follows the log for its zone.
    async fn send_followed_log(&self, targets: &[SocketAddr]) {
        let digest = self.digest();
        if digest.followed_log.is_none() {
            return;
        }
        let message = Digest {
            is_partial: true,
            loads: Vec::new(),
            contained: Vec::new(),
            knows_contained: false,
            lists_all_contained: false,
            leaving: Vec::new(),
            waiting: Vec::new(),
            leader: None,
            ..digest
        };
        self.send_to(&message, targets).await;
    }

    /// Sends the digest and the zone's usage reports to VMs in other zones.
    async fn send_remote(&self, mut digest: Digest, targets: &[SocketAddr]) {
        let zone_reports = self.shared_usage(|ledger| ledger.zone_report(Instant::now()));
        digest.usage_report = zone_reports.quotas.first().cloned();
        digest.server_limits = zone_reports.server_limits.first().cloned();
        self.send_to(&digest, targets).await;
        self.send_further_parts(&zone_reports, INTERVAL, targets)
            .await;
    }

    /// What this VM reports of organisations' quotas and of servers' rate limits; `report` builds
    /// the report from either ledger.
    fn shared_usage(&self, report: impl Fn(&mut Ledger) -> UsageReport) -> SharedUsage {
        SharedUsage {
            quotas: self.usage_reports(&report),
            server_limits: self.server_limits_parts(&report),
        }
    }

    /// Sends the parts that did not fit into the digest.
    async fn send_further_parts(
        &self,
        reports: &SharedUsage,
        next_in: Duration,
        targets: &[SocketAddr],
    ) {
        let message = Digest {
            boot: self.boot,
            is_partial: true,
            availability_zone: self.state.settings.availability_zone.to_string(),
            next_in_ms: next_in.as_millis() as u32,
            ..Digest::default()
        };
        for report in reports.quotas.iter().skip(1) {
            let message = Digest {
                usage_report: Some(report.clone()),
                ..message.clone()
            };
            self.send_to(&message, targets).await;
        }
        for part in reports.server_limits.iter().skip(1) {
            let message = Digest {
                server_limits: Some(part.clone()),
                ..message.clone()
            };
            self.send_to(&message, targets).await;
        }
    }

    /// Sends pending directory updates to the local zone.
    async fn send_directory_updates(&self, targets: &[SocketAddr]) {
        for update in self.state.peers.outbox.take_directory_updates() {
            let message = Digest {
                boot: self.boot,
                is_partial: true,
                directory: Some(update),
                ..Digest::default()
            };
            self.send_to(&message, targets).await;
        }
    }

    /// Sends the digest to a VM that was lost, since it may be reachable again after a partition.
    async fn probe(&self) {
        if let Some(lost) = self.state.peers.random_lost_vm() {
            self.send_to(&self.digest(), &[lost]).await;
        }
    }

    /// Sends all known VMs to `target`, unless a peer got them less than [`ALL_VMS_INTERVAL`] ago.
    pub(super) async fn send_all_vms(&self, target: SocketAddr) {
        let now = Instant::now();
        let sent_at = self.all_vms_sent_at.get();
        if sent_at.is_some_and(|at| now.duration_since(at) < ALL_VMS_INTERVAL) {
            return;
        }
        self.all_vms_sent_at.set(Some(now));
        for sightings in self.state.peers.sightings().chunks(MAX_VMS) {
            let message = Digest {
                boot: self.boot,
                is_partial: true,
                vms: zones_of(sightings, now),
                ..Digest::default()
            };
            self.send_to(&message, &[target]).await;
        }
    }

    /// Sends this VM's load by model to the leader. In a large fleet the digests to other zones
    /// leave it out.
    async fn send_loads(&self) {
        let Some(leader) = self.state.peers.leader(Instant::now()) else {
            return;
        };
        let message = Digest {
            boot: self.boot,
            is_partial: true,
            has_loads: true,
            loads: self.loads(),
            ..Digest::default()
        };
        self.send_to(&message, &[leader]).await;
    }

    /// Sends the demand at this VM to the leader.
    async fn send_demand(&self) {
        let Some(leader) = self.state.peers.leader(Instant::now()) else {
            return;
        };
        let mut demands = self.demands();
        let demand_round = self.demand_round.get().wrapping_add(1);
        self.demand_round.set(demand_round);
        // An empty list is sent as well: it reports that the demand has ended.
        loop {
            let rest = demands.split_off(demands.len().min(MAX_DEMANDS));
            let message = Digest {
                boot: self.boot,
                is_partial: true,
                has_demand: true,
                demand_round,
                has_more: !rest.is_empty(),
                demands,
                ..Digest::default()
            };
            self.send_to(&message, &[leader]).await;
            if rest.is_empty() {
                return;
            }
            demands = rest;
        }
    }

    /// Reports prompts to peers as they are sent to runners, until the process ends.
    ///
    /// Large zones do without these messages: each VM sends few prompts to any one runner, and
    /// reporting each to all VMs would make up most of the traffic.
    pub(crate) async fn send_prompts(self: Rc<Self>) {
        loop {
            let prompt_added = self.state.peers.outbox.wait_for_prompts();
            let prompts = self
                .state
                .peers
                .outbox
                .take_unsent_prompts(MAX_PROMPTS, Instant::now());
            if prompts.is_empty() {
                prompt_added.await;
                continue;
            }
            let zone = &self.state.settings.availability_zone;
            let targets = self.state.peers.targets(zone);
            if targets.local_rounds() > 1 {
                continue;
            }
            let message = Digest {
                boot: self.boot,
                is_partial: true,
                prompts,
                ..Digest::default()
            };
            self.send_to(&message, &targets.local).await;
            let mut receivers = targets.local.len();
            // If a message to each VM of the other zones takes several rounds, prompts would arrive
            // too late.
            if targets.remote_rounds() == 1 {
                for vms in targets.remote.values() {
                    self.send_to(&message, vms).await;
                    receivers += vms.len();
                }
            }
            compio::time::sleep(PROMPTS_PAUSE_PER_PEER * receivers as u32).await;
        }
    }

    pub(super) async fn send_to(&self, message: &Digest, targets: &[SocketAddr]) {
        let bytes = message.encode_to_vec();
        for target in targets {
            if *target == self.state.settings.peer_address {
                continue;
            }
            self.state.metrics.peer_messages.inc();
            let BufResult(sent, _) = self.socket.send_to(bytes.clone(), *target).await;
            if let Err(error) = sent {
                debug!(peer = %target, %error, "peer message not sent");
            }
        }
    }
}
