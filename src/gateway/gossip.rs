//! Sending the datagrams between VMs.
//!
//! A digest stands for itself and a later one replaces it, so that a lost one costs only its
//! age. Messages about prompts add up at their receivers; what a lost one would have added is
//! soon read and past.

use crate::gateway::fleet::Incarnation;
use crate::gateway::gossip_message::{Digest, TallyPart, zones_of};
use crate::gateway::gossip_sender::AdvertisedHoldings;
use crate::gateway::gossip_targets::Targets;
use crate::gateway::peers::UpdateScope;
use crate::gateway::state::State;
use crate::gateway::zone_loads::ZoneLoadSampler;
use compio::BufResult;
use compio::net::UdpSocket;
use prost::Message;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::debug;

/// The time between two messages to each peer: load on a runner changes by a few requests
/// in it, since a stream lasts seconds.
pub(super) const INTERVAL: Duration = Duration::from_millis(200);
/// The shortest time between a message and one that is sent out of turn.
const MIN_INTERVAL: Duration = Duration::from_millis(20);
/// The pause between two messages of prompts for each VM they go to: a few milliseconds for
/// ten VMs, well below what a runner reads a prompt in, and 1,000 datagrams a second and VM
/// at most however many there are.
const PROMPTS_PAUSE_A_PEER: Duration = Duration::from_millis(1);
/// Demands that one message tells of at most, some 30 bytes each: they fit one datagram.
const MAX_DEMANDS: usize = 35;
/// Prompts that one message tells of at most, some 30 bytes each: they fit one datagram.
const MAX_PROMPTS: usize = 40;
/// VMs that one message tells of where all are asked for, 25 bytes each: they fit one datagram.
const MAX_VMS: usize = 45;
/// The shortest time between two answers with all VMs: those of the members that the log lists
/// are asked for by the whole fleet at its start.
const TELL_ALL_INTERVAL: Duration = Duration::from_millis(100);
/// The time between two messages to VMs that were lost.
const PROBE_INTERVAL: Duration = Duration::from_millis(1_000);

/// Sends and receives this VM's messages.
pub(crate) struct Gossip {
    pub(super) state: Rc<State>,
    pub(super) socket: UdpSocket,
    pub(super) boot: u64,
    /// What peers were told that runners hold.
    pub(super) sent_holdings: RefCell<HashMap<Incarnation, AdvertisedHoldings>>,
    /// What other zones are told of this one's load.
    pub(super) sent_zone_loads: RefCell<ZoneLoadSampler>,
    /// Counts the tellings of the demand.
    demand_round: Cell<u32>,
    /// Counts the turns, for the part of the VMs that is spoken to.
    turn: Cell<usize>,
    /// When another VM was last told all VMs.
    told_all_at: Cell<Option<Instant>>,
}

impl Gossip {
    /// Binds the address at which peers' messages arrive.
    ///
    /// # Errors
    ///
    /// Fails when the address is taken.
    pub(crate) async fn bind(state: Rc<State>) -> io::Result<Rc<Self>> {
        let socket = UdpSocket::bind(state.settings.peer_address).await?;
        let boot = rand::random();
        Ok(Rc::new(Self {
            state,
            socket,
            boot,
            sent_holdings: RefCell::default(),
            sent_zone_loads: RefCell::default(),
            demand_round: Cell::new(0),
            // Others begin elsewhere, so that a VM hears of another zone in each turn.
            turn: Cell::new(usize::from(rand::random::<u16>())),
            told_all_at: Cell::new(None),
        }))
    }

    /// Sends messages until the process ends.
    pub(crate) async fn send(self: Rc<Self>) {
        let zone = &self.state.settings.availability_zone;
        let mut next_turn = Instant::now();
        let mut next_probe = next_turn + PROBE_INTERVAL;
        loop {
            let urgent = self.state.peers.wait_for_update();
            let now = Instant::now();
            let targets = self.state.peers.targets(zone);
            let urgency = self.state.peers.take_update_scope();
            // Large fleets learn of holdings in turn: telling each change to all at once is more
            // than a small VM's link carries.
            let is_all = match urgency {
                UpdateScope::All => true,
                UpdateScope::Holdings => targets.remote_rounds() == 1,
                UpdateScope::Zone | UpdateScope::Leader | UpdateScope::None => false,
            };
            self.send_news(&targets.near).await;
            if now >= next_turn || is_all {
                next_turn = now + INTERVAL;
                // A VM that gives orders is listened for everywhere.
                self.send_turn(&targets, is_all || self.state.fence.get() > 0)
                    .await;
                if now >= next_probe {
                    next_probe = now + PROBE_INTERVAL;
                    self.probe().await;
                }
            } else if urgency == UpdateScope::Zone {
                self.send_to(&self.digest(), &targets.near).await;
            } else if urgency == UpdateScope::Leader {
                self.send_demand().await;
            }
            compio::time::sleep(MIN_INTERVAL).await;
            let rest = next_turn.saturating_duration_since(Instant::now());
            // Either a change or the end of the interval begins the next turn.
            let _ = compio::time::timeout(rest, urgent).await;
            let now = Instant::now();
            self.state.peers.forget_silent(now);
            self.state.ledger.borrow_mut().prune_expired(now);
        }
    }

    /// Tells each VM what it needs: those in the own zone this VM's load, those in another one, where
    /// they are many, the load of the whole zone, and the VM that gives orders the demand.
    async fn send_turn(&self, targets: &Targets, is_to_all: bool) {
        let now = Instant::now();
        let digest = self.digest();
        let holdings = self.holdings_messages();
        let asked = self.state.peers.take_view_request(now);
        if let Some(asked) = asked {
            let ask = Digest {
                requests_view: true,
                ..digest.clone()
            };
            self.send_to(&ask, &[asked]).await;
        }
        let sample = self.state.peers.sample(targets.vms_per_message());
        let turn = self.turn.get();
        self.turn.set(turn.wrapping_add(1));
        let next_in = INTERVAL * targets.local_rounds() as u32;
        let own = self.tallies(|ledger| ledger.vm_report(now));
        let near = Digest {
            vms: zones_of(&sample, now),
            next_in_ms: next_in.as_millis() as u32,
            tally: own.first().cloned(),
            ..digest.clone()
        };
        // Whoever follows the log is listened for in its zone.
        let is_to_zone = is_to_all || digest.followed_log.is_some();
        let in_turn = match is_to_zone {
            true => targets.near.clone(),
            false => targets.local_part(turn),
        };
        self.send_to(&near, &in_turn).await;
        self.send_tallies(own.get(1..).unwrap_or_default(), next_in, &in_turn)
            .await;
        for message in &holdings {
            self.send_to(message, &targets.near).await;
        }
        self.send_demand().await;
        let mut far: Vec<SocketAddr> = Vec::new();
        match is_to_all {
            true => far.extend(targets.far.values().flatten()),
            false => far.extend(targets.remote_part(turn).flat_map(|(_, part)| part)),
        }
        let remote_rounds = targets.remote_rounds();
        let mut to_far = Digest {
            next_in_ms: (INTERVAL * remote_rounds as u32).as_millis() as u32,
            ..digest
        };
        if remote_rounds > 1 {
            to_far.loads.clear();
            to_far.zone_loads = Some(self.zone_loads(targets, turn));
            if turn.is_multiple_of(remote_rounds) {
                self.send_loads().await;
            }
        }
        self.send_far(to_far, &holdings, &far).await;
    }

    /// Tells VMs in other zones.
    async fn send_far(&self, mut digest: Digest, holdings: &[Digest], far: &[SocketAddr]) {
        let tallies = self.tallies(|ledger| ledger.zone_report(Instant::now()));
        digest.tally = tallies.first().cloned();
        self.send_to(&digest, far).await;
        self.send_tallies(tallies.get(1..).unwrap_or_default(), INTERVAL, far)
            .await;
        for message in holdings {
            self.send_to(message, far).await;
        }
    }

    /// Tells what found no place in the messages before.
    async fn send_tallies(&self, tallies: &[TallyPart], next_in: Duration, targets: &[SocketAddr]) {
        for tally in tallies {
            let message = Digest {
                boot: self.boot,
                is_partial: true,
                availability_zone: self.state.settings.availability_zone.to_string(),
                next_in_ms: next_in.as_millis() as u32,
                tally: Some(tally.clone()),
                ..Digest::default()
            };
            self.send_to(&message, targets).await;
        }
    }

    /// Passes changes of the directory on.
    async fn send_news(&self, near: &[SocketAddr]) {
        for news in self.state.peers.take_directory_updates() {
            let message = Digest {
                boot: self.boot,
                is_partial: true,
                directory: Some(news),
                ..Digest::default()
            };
            self.send_to(&message, near).await;
        }
    }

    /// Speaks to a VM that was lost: it may be back after a partition.
    async fn probe(&self) {
        if let Some(lost) = self.state.peers.random_lost_vm() {
            self.send_to(&self.digest(), &[lost]).await;
        }
    }

    /// Tells a VM of all others that are known, unless another one was told a moment ago.
    pub(super) async fn tell_all(&self, asker: SocketAddr) {
        let now = Instant::now();
        let told_at = self.told_all_at.get();
        if told_at.is_some_and(|at| now.duration_since(at) < TELL_ALL_INTERVAL) {
            return;
        }
        self.told_all_at.set(Some(now));
        for sightings in self.state.peers.sightings().chunks(MAX_VMS) {
            let message = Digest {
                boot: self.boot,
                is_partial: true,
                vms: zones_of(sightings, now),
                ..Digest::default()
            };
            self.send_to(&message, &[asker]).await;
        }
    }

    /// Tells the VM that gives orders this VM's load by model, where messages to other zones leave it
    /// out.
    async fn send_loads(&self) {
        let Some(leader) = self.state.peers.leader() else {
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

    /// Tells the VM that gives orders what is wanted here.
    async fn send_demand(&self) {
        let Some(leader) = self.state.peers.leader() else {
            return;
        };
        let mut demands = self.demands();
        let demand_round = self.demand_round.get().wrapping_add(1);
        self.demand_round.set(demand_round);
        // A demand that has ended is told as well: an empty list stands for it.
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

    /// Tells peers of prompts as they are sent to runners, until the process ends. In a large zone
    /// each VM sends few to any one runner, and telling all VMs of each would be most of their
    /// messages.
    pub(crate) async fn send_prompts(self: Rc<Self>) {
        loop {
            let sent = self.state.peers.wait_for_prompts();
            let prompts = self
                .state
                .peers
                .take_unsent_prompts(MAX_PROMPTS, Instant::now());
            if prompts.is_empty() {
                sent.await;
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
            self.send_to(&message, &targets.near).await;
            let mut sent_holdings = targets.near.len();
            // Where messages to other zones come seldom, prompts would be told too late.
            if targets.remote_rounds() == 1 {
                for far in targets.far.values() {
                    self.send_to(&message, far).await;
                    sent_holdings += far.len();
                }
            }
            compio::time::sleep(PROMPTS_PAUSE_A_PEER * sent_holdings as u32).await;
        }
    }

    async fn send_to(&self, message: &Digest, targets: &[SocketAddr]) {
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
