//! What other VMs told: their load, their demand, and who gives orders.

use crate::gateway::Weights;
use crate::gateway::directory_updates::DirectoryUpdate;
use crate::gateway::fleet::Holding;
use crate::gateway::gossip_message::{Crashes, Digest, SentPrompt, sightings_of};
use crate::gateway::gossip_targets::Targets;
use crate::gateway::log_follower::Readings;
use crate::gateway::peer::{Peer, read_demands, read_loads};
use crate::gateway::view::{Sighting, View};
use crate::gateway::zone_loads::ZoneLoads;
use crate::inventory::Name;
use crate::short_id::short_id;
use crate::signal::Signal;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tracing::{debug, info, warn};

/// After so long without a message what a peer told counts no more, where it speaks often.
pub(super) const SILENCE_LIMIT: Duration = Duration::from_millis(1_500);
/// VMs that are members of the log's group, at least: twice as many as it deals partitions to, so that
/// with a zone or two gone its list of owners still is not taken for a whole fleet.
pub(super) const GROUP_MEMBERS: usize = 24;
/// Microseconds in a millisecond.
pub(super) const MICROS_PER_MILLI: f64 = 1_000.0;

/// The demand for some weights.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct DemandRate {
    /// What it takes of runners' time, in milliseconds a second.
    pub(crate) busy_ms_per_s: f64,
    /// Requests a second.
    pub(crate) requests_per_s: f64,
    /// Requests that wait for the weights.
    pub(crate) waiting: u32,
}

/// Who is told of a change out of turn.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum UpdateScope {
    /// Nobody.
    #[default]
    None,
    /// The VM that gives orders.
    Leader,
    /// The own zone.
    Zone,
    /// All, of what runners hold.
    Holdings,
    /// All.
    All,
}

/// All other VMs: which there are, and what those told that are heard.
#[derive(Debug)]
pub(crate) struct Peers {
    own: SocketAddr,
    view: RefCell<View>,
    heard: RefCell<HashMap<SocketAddr, Peer>>,
    /// The load of other zones of a large fleet.
    zone_loads: RefCell<ZoneLoads>,
    /// Members that the log lists; not all.
    members: RefCell<Vec<SocketAddr>>,
    /// Whether the list was read since the start.
    has_read_members: Cell<bool>,
    /// Whether these were all at the last look.
    has_all_members: Cell<bool>,
    leadership_released: Cell<bool>,
    /// Whether VMs in other zones are spoken to seldom.
    is_far_late: Cell<bool>,
    urgency: Cell<UpdateScope>,
    is_urgent: Signal,
    crashes: RefCell<Vec<(Crashes, Instant)>>,
    /// Changes of the directory that the own zone is yet to be told of.
    news: RefCell<Vec<DirectoryUpdate>>,
    /// Prompts that peers are yet to be told of.
    prompts: RefCell<Vec<(SentPrompt, Instant)>>,
    has_prompts: Signal,
}

impl Peers {
    /// No VMs but this one, whose messages arrive at `own`.
    pub(crate) fn new(own: SocketAddr, now: Instant) -> Self {
        Self {
            own,
            view: RefCell::new(View::new(own, now)),
            heard: RefCell::default(),
            zone_loads: RefCell::default(),
            members: RefCell::default(),
            has_read_members: Cell::default(),
            has_all_members: Cell::default(),
            leadership_released: Cell::default(),
            is_far_late: Cell::default(),
            urgency: Cell::default(),
            is_urgent: Signal::default(),
            crashes: RefCell::default(),
            news: RefCell::default(),
            prompts: RefCell::default(),
            has_prompts: Signal::default(),
        }
    }

    /// Takes over the other members of the group that the log lists, and whether these are all.
    pub(crate) fn set_members(&self, members: Vec<SocketAddr>, is_all: bool) {
        *self.members.borrow_mut() = members;
        self.has_read_members.set(true);
        self.has_all_members.set(is_all);
    }

    /// Whether the other VMs were looked for: the log listed members, or there was time to be found.
    /// Before, this VM has no part of the slack of retries and makes few refusals good.
    pub(crate) fn is_discovery_done(&self, now: Instant) -> bool {
        self.has_read_members.get() || self.view.borrow().is_settled(now)
    }

    /// How many VMs there are, this one included.
    pub(crate) fn vms(&self) -> usize {
        self.view.borrow().vms()
    }

    /// How many VMs there were at most, this one included; `None` while this one has just started
    /// and may know too few: the log lists not all of a large group.
    pub(crate) fn peak_vms(&self, now: Instant) -> Option<usize> {
        let view = self.view.borrow();
        let listed = self.members.borrow().len() + 1;
        let is_known = self.has_all_members.get() || view.is_settled(now);
        is_known.then(|| view.peak_vms().max(listed))
    }

    /// How many VMs share what all may grant together: as many as there ever were, or as are known
    /// so far. Those that are not heard may still grant their part.
    pub(crate) fn fleet_size(&self, now: Instant) -> usize {
        let known = || self.view.borrow().peak_vms();
        self.peak_vms(now).unwrap_or_else(known)
    }

    /// Whether this VM is to be a member of the log's group: one of the first [`GROUP_MEMBERS`] in an
    /// order that all VMs agree on, or one that may know too few others to tell.
    pub(crate) fn should_join_group(&self, now: Instant) -> bool {
        let view = self.view.borrow();
        !view.is_settled(now) || view.rank(self.own) < GROUP_MEMBERS
    }

    /// How many VMs of `zone` come before this one by address.
    pub(crate) fn rank_in(&self, zone: &Name) -> usize {
        let view = self.view.borrow();
        let of_zone = view.all().filter(|vm| vm.availability_zone == *zone);
        of_zone.filter(|vm| vm.address < self.own).count()
    }

    /// `count` VMs to tell the own zone of, others at each call.
    pub(super) fn sample(&self, count: usize) -> Vec<Sighting> {
        self.view.borrow_mut().sample(count)
    }

    /// All VMs that are known.
    pub(super) fn sightings(&self) -> Vec<Sighting> {
        self.view.borrow().all().cloned().collect()
    }

    /// The VM that is to be asked for all that it knows, if any is.
    pub(super) fn take_view_request(&self, now: Instant) -> Option<SocketAddr> {
        let mut view = self.view.borrow_mut();
        if !view.take_view_request(now) {
            return None;
        }
        let draw = rand::random();
        let members = self.members.borrow();
        let member = members.get((draw * members.len() as f64) as usize);
        view.any_one(draw).or(member.copied())
    }

    /// A VM that was lost and may be back.
    pub(super) fn random_lost_vm(&self) -> Option<SocketAddr> {
        self.view.borrow().random_lost_vm(rand::random())
    }

    /// Requests of all other VMs on a server.
    pub(crate) fn in_flight(&self, server: &Name) -> u32 {
        let heard = self.heard.borrow();
        let zone_loads = self.zone_loads.borrow();
        // What VMs of a zone tell of themselves is in its sum.
        let single = heard
            .values()
            .filter(|peer| !zone_loads.has(&peer.availability_zone));
        let loads = single.filter_map(|peer| peer.loads.get(server));
        let of_single: u32 = loads.flatten().map(|(_, count)| count).sum();
        of_single + zone_loads.in_flight(short_id(server))
    }

    /// Requests of the other VMs of a zone, by server.
    pub(super) fn zone_in_flight(&self, zone: &Name) -> HashMap<Name, u32> {
        let heard = self.heard.borrow();
        let mut sums: HashMap<Name, u32> = HashMap::new();
        let peers = heard
            .values()
            .filter(|peer| peer.availability_zone == *zone);
        for (server, loads) in peers.flat_map(|peer| &peer.loads) {
            let count: u32 = loads.iter().map(|(_, count)| count).sum();
            *sums.entry(server.clone()).or_default() += count;
        }
        sums
    }

    /// Requests of all other VMs on a server for one model.
    pub(crate) fn in_flight_for(&self, server: &Name, model: &Name) -> u32 {
        let heard = self.heard.borrow();
        let loads = heard.values().filter_map(|peer| peer.loads.get(server));
        let of_model = loads.flatten().filter(|(name, _)| name == model);
        of_model.map(|(_, count)| count).sum()
    }

    /// The highest fence under which another VM gives orders.
    pub(crate) fn highest_fence(&self) -> Option<u64> {
        let heard = self.heard.borrow();
        let fences = heard.values().map(|peer| peer.fence);
        fences.filter(|fence| *fence > 0).max()
    }

    /// Whether the VM that gave orders last was heard to give them up.
    pub(crate) fn leadership_released(&self) -> bool {
        self.leadership_released.get()
    }

    /// The demand at all other VMs.
    pub(crate) fn demands(&self) -> Vec<(Weights, DemandRate)> {
        let heard = self.heard.borrow();
        heard
            .values()
            .flat_map(|peer| peer.demands.iter().cloned())
            .collect()
    }

    /// Tells all peers of a change at once.
    pub(crate) fn trigger_update_to_all(&self) {
        self.trigger_update(UpdateScope::All);
    }

    /// Tells peers of a change at once.
    pub(crate) fn trigger_update(&self, urgency: UpdateScope) {
        self.urgency.set(self.urgency.get().max(urgency));
        self.is_urgent.notify();
    }

    /// Takes who is to be told of a change out of turn.
    pub(super) fn take_update_scope(&self) -> UpdateScope {
        self.urgency.take()
    }

    /// Passes changes of the directory on to the own zone.
    pub(super) fn queue_directory_updates(&self, news: Vec<DirectoryUpdate>) {
        self.news.borrow_mut().extend(news);
        self.trigger_update(UpdateScope::Zone);
    }

    /// Takes the changes of the directory that the own zone is yet to be told of.
    pub(super) fn take_directory_updates(&self) -> Vec<DirectoryUpdate> {
        self.news.take()
    }

    /// Tells peers of a crash with a request aboard.
    pub(crate) fn report_crash(&self, fingerprint: u64, crashes: u32, now: Instant) {
        let crash = Crashes {
            fingerprint,
            crashes,
        };
        self.crashes.borrow_mut().push((crash, now));
        self.trigger_update_to_all();
    }

    /// Tells peers of a prompt that is being sent to a runner.
    pub(crate) fn report_prompt(&self, server: &Name, read_ms: f64, now: Instant) {
        let prompt = SentPrompt {
            server: server.to_string(),
            prefill_us: (read_ms * MICROS_PER_MILLI) as u32,
        };
        self.prompts.borrow_mut().push((prompt, now));
        self.has_prompts.notify();
    }

    /// Takes prompts that peers are yet to be told of, `limit` at most; those that have been read
    /// by now would only make their runners look busy.
    pub(super) fn take_unsent_prompts(&self, limit: usize, now: Instant) -> Vec<SentPrompt> {
        let mut prompts = self.prompts.borrow_mut();
        prompts.retain(|(prompt, at)| {
            let read_time = Duration::from_micros(u64::from(prompt.prefill_us));
            now.saturating_duration_since(*at) < read_time
        });
        let count = prompts.len().min(limit);
        let taken = prompts.drain(..count);
        taken.map(|(prompt, _)| prompt).collect()
    }

    /// Counts requests that a peer has just sent, until it tells its whole load again.
    pub(super) fn take_prompts(&self, from: SocketAddr, prompts: &[SentPrompt]) {
        let mut heard = self.heard.borrow_mut();
        let Some(peer) = heard.get_mut(&from) else {
            return;
        };
        for prompt in prompts {
            let of_server = peer.loads.entry(prompt.server.as_str().into()).or_default();
            of_server.push((Name::new(), 1));
        }
    }

    /// Waits for a prompt to tell of.
    pub(super) fn wait_for_prompts(&self) -> impl Future<Output = ()> + use<> {
        self.has_prompts.wait()
    }

    /// Waits for a change that peers are told of out of turn.
    pub(super) fn wait_for_update(&self) -> impl Future<Output = ()> + use<> {
        self.is_urgent.wait()
    }

    /// The crashes that peers are told of.
    pub(super) fn crashes(&self) -> Vec<Crashes> {
        let crashes = self.crashes.borrow();
        crashes.iter().map(|(crash, _)| *crash).collect()
    }

    /// Takes over which VMs a peer knows.
    pub(super) fn merge_sightings(&self, digest: &Digest, now: Instant) {
        for sighting in sightings_of(&digest.vms, now) {
            self.record_sighting(sighting, now);
        }
    }

    fn record_sighting(&self, sighting: Sighting, now: Instant) {
        let address = sighting.address;
        if address != self.own && self.view.borrow_mut().record_sighting(sighting, now) {
            info!(peer = %address, "peer known");
        }
    }

    /// Takes over what a peer told of itself.
    pub(super) fn take(&self, sender: SocketAddr, digest: &Digest, now: Instant) {
        let mut heard = self.heard.borrow_mut();
        let held = heard.get(&sender).is_some_and(|peer| peer.fence > 0);
        if digest.fence > 0 {
            self.leadership_released.set(false);
        } else if held {
            self.leadership_released.set(true);
        }
        if digest.is_leaving {
            heard.remove(&sender);
            let mut view = self.view.borrow_mut();
            view.record_departure(sender, digest.boot, now);
            return;
        }
        let mut peer = Peer::read(digest, now);
        let sighting = Sighting {
            address: sender,
            availability_zone: peer.availability_zone.clone(),
            boot: digest.boot,
            seen_at: now,
        };
        self.record_sighting(sighting, now);
        if let Some(told) = &digest.zone_loads {
            let zone = &peer.availability_zone;
            self.zone_loads.borrow_mut().take(zone, told.sums(), now);
        }
        if let Some(before) = heard.remove(&sender) {
            // Where it tells its zone's load, its own comes by itself, if at all.
            if digest.zone_loads.is_some() {
                peer.loads = before.loads;
            }
            peer.demands = before.demands;
            peer.coming_demands = before.coming_demands;
            peer.demand_round = before.demand_round;
        }
        heard.insert(sender, peer);
    }

    /// Takes over a peer's load where it comes by itself.
    pub(super) fn apply_loads(&self, sender: SocketAddr, digest: &Digest) {
        if let Some(peer) = self.heard.borrow_mut().get_mut(&sender) {
            peer.loads = read_loads(digest);
        }
    }

    /// Takes over a part of the demand that a peer tells; all of it counts once it is there.
    pub(super) fn apply_demand(&self, sender: SocketAddr, digest: &Digest) {
        let mut heard = self.heard.borrow_mut();
        let Some(peer) = heard.get_mut(&sender) else {
            return;
        };
        if peer.demand_round != digest.demand_round {
            peer.demand_round = digest.demand_round;
            peer.coming_demands.clear();
        }
        peer.coming_demands.extend(read_demands(digest));
        if !digest.has_more {
            peer.demands = std::mem::take(&mut peer.coming_demands);
        }
    }

    /// What other VMs in a zone read of the log that follow it closely.
    pub(crate) fn readings(&self, zone: &Name) -> Vec<(SocketAddr, Readings)> {
        let heard = self.heard.borrow();
        let near = heard
            .iter()
            .filter(|(_, peer)| peer.availability_zone == *zone);
        near.filter_map(|(address, peer)| Some((*address, peer.readings?)))
            .collect()
    }

    /// Whether the load of VMs in other zones is known late, since there are many.
    pub(crate) fn is_far_late(&self) -> bool {
        self.is_far_late.get()
    }

    /// Where messages go: to all VMs that are known, those in other zones than `zone` apart, and
    /// to members of the group that are not.
    pub(super) fn targets(&self, zone: &Name) -> Targets {
        let view = self.view.borrow();
        let members = self.members.borrow();
        let unknown = members.iter().filter(|it| view.get(it).is_none());
        let mut targets = Targets {
            near: unknown.copied().collect(),
            ..Targets::default()
        };
        for vm in view.all() {
            if vm.availability_zone == *zone {
                targets.near.push(vm.address);
            } else {
                let of_zone = targets.far.entry(vm.availability_zone.clone());
                of_zone.or_default().push(vm.address);
            }
        }
        self.is_far_late.set(targets.remote_rounds() > 1);
        targets
    }

    /// The VM that gives orders, if it was heard.
    pub(super) fn leader(&self) -> Option<SocketAddr> {
        let heard = self.heard.borrow();
        let holders = heard.iter().filter(|(_, peer)| peer.fence > 0);
        let leader = holders.max_by_key(|(_, peer)| peer.fence)?;
        Some(*leader.0)
    }

    /// Forgets VMs that fell silent, what those told that are not heard any more, and crashes
    /// that all have been told of.
    pub(super) fn forget_silent(&self, now: Instant) {
        for gone in self.view.borrow_mut().forget_silent(now) {
            let silent = now.saturating_duration_since(gone.seen_at);
            let silent_ms = silent.as_millis() as u64;
            warn!(peer = %gone.address, zone = %gone.availability_zone, silent_ms, "peer lost");
        }
        self.heard.borrow_mut().retain(|address, peer| {
            let is_heard = now.saturating_duration_since(peer.heard_at) < peer.counts_for;
            if !is_heard {
                debug!(peer = %address, "peer not heard");
            }
            is_heard
        });
        self.zone_loads.borrow_mut().forget(now);
        let mut crashes = self.crashes.borrow_mut();
        crashes.retain(|(_, at)| now.duration_since(*at) < SILENCE_LIMIT);
    }
}

/// A holding from its parts.
pub(crate) fn holding(model: &str, version: u64, adapters: &[String]) -> Holding {
    Holding {
        model: model.into(),
        version,
        adapters: adapters.iter().map(|name| name.as_str().into()).collect(),
    }
}
