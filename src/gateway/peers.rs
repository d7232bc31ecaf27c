//! The other VMs of the fleet, and what they last reported: load, demand and leadership.

use crate::gateway::Weights;
use crate::gateway::configuration_check::PeerConfiguration;
use crate::gateway::demand_rate::DemandRate;
use crate::gateway::first_read::{FirstRead, MAX_FIRST_READERS};
use crate::gateway::forward_targets::ForwardCandidate;
use crate::gateway::gossip_message::{Digest, SentPrompt};
use crate::gateway::gossip_targets::Targets;
use crate::gateway::group_members::{FirstList, GroupMembers};
use crate::gateway::leader_view::{LeaderSighting, LeaderView};
use crate::gateway::line_budget::LineBudget;
use crate::gateway::log_follower::Readings;
use crate::gateway::outbox::Outbox;
use crate::gateway::peer::{PeerState, read_demands, read_loads};
use crate::gateway::peer_loads::{PeerLoads, sum_by_server};
use crate::gateway::sighting_message::{LeaderSeen, sightings_of};
use crate::gateway::view::{Sighting, View};
use crate::gateway::waiting::WaitingCount;
use crate::gateway::zone_loads::ZoneLoads;
use crate::inventory::Name;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tracing::{debug, info, warn};

/// How long the state of a peer is kept without another message, at least. A peer that sends rarely
/// announces a longer interval, and its state is kept longer.
pub(super) const MIN_STATE_TTL: Duration = Duration::from_millis(1_500);
/// The time after its start from which a leader hands over to VMs with more processor time. By then
/// the VMs that do not belong in the group are no longer members.
const MIN_HANDOVER_UPTIME: Duration = Duration::from_millis(7_000);
/// The number of VMs with more processor time that a leader hands over to.
const MIN_SUCCESSORS: usize = 3;
/// A VM that has seen fewer VMs than the listed members divided by this has not found the fleet.
const MIN_SEEN_MEMBERS_DIVISOR: usize = 2;
/// Microseconds in a millisecond.
pub(super) const MICROS_PER_MILLI: f64 = 1_000.0;

/// The other VMs that are known, and the last state received from each.
#[derive(Debug)]
pub(crate) struct Peers {
    /// The address at which this VM receives messages.
    own: SocketAddr,
    view: RefCell<View>,
    /// The last state received from each peer, by the address that it sends from.
    peer_states: RefCell<HashMap<SocketAddr, PeerState>>,
    /// The load of remote zones, reported as sums in a large fleet.
    zone_loads: RefCell<ZoneLoads>,
    /// The members of the group that the log lists.
    group: RefCell<GroupMembers>,
    leader: RefCell<LeaderView>,
    /// Whether it takes several rounds to send to every VM in a remote zone.
    is_remote_load_stale: Cell<bool>,
    /// What this VM has yet to send to its peers.
    pub(crate) outbox: Outbox,
    /// Bounds the log lines about discovered VMs.
    discovered: RefCell<LineBudget>,
    /// Bounds the log lines about lost VMs.
    lost: RefCell<LineBudget>,
}

impl Peers {
    /// Creates a set without any peers, for the VM that receives messages at `own`.
    pub(crate) fn new(own: SocketAddr, now: Instant) -> Self {
        Self {
            own,
            view: RefCell::new(View::new(own, now)),
            peer_states: RefCell::default(),
            zone_loads: RefCell::default(),
            group: RefCell::default(),
            leader: RefCell::default(),
            is_remote_load_stale: Cell::default(),
            outbox: Outbox::default(),
            discovered: RefCell::default(),
            lost: RefCell::default(),
        }
    }

    /// Sets the processor time of this VM, in cores.
    pub(crate) fn with_cpu_cores(self, cores: f64) -> Self {
        let percent = (cores * 100.0).clamp(1.0, f64::from(u8::MAX)) as u8;
        self.view.borrow_mut().set_own_cpu_percent(percent);
        self
    }

    /// The processor time of this VM, in percent of a core.
    pub(super) fn own_cpu_percent(&self) -> u8 {
        self.view.borrow().own_cpu_percent()
    }

    /// Whether this VM, if it leads, should leave that to others: it does not belong in the group,
    /// and several VMs have more processor time.
    pub(crate) fn should_hand_over(&self, now: Instant) -> bool {
        let view = self.view.borrow();
        view.uptime(now) >= MIN_HANDOVER_UPTIME
            && view.vms_with_more_cpu() >= MIN_SUCCESSORS
            && view.rank(self.own) >= self.group.borrow().max_members()
    }

    /// Replaces the members of the group that the log lists, without this VM. `is_all` is true if
    /// the list is complete, and `partitions` is the number of members that it can contain.
    pub(crate) fn set_members(&self, members: Vec<SocketAddr>, is_all: bool, partitions: usize) {
        let mut group = self.group.borrow_mut();
        *group = GroupMembers {
            listed: members,
            was_read: true,
            is_complete: is_all,
            partitions,
            first_list: group.first_list,
            reader_heard_at: group.reader_heard_at,
        };
    }

    /// Records that the list of members was read. The first list decides on the first reads of the
    /// log. `is_owner` is true if this VM owned a partition just before.
    pub(crate) fn note_list_read(&self, is_owner: bool, now: Instant) {
        let mut group = self.group.borrow_mut();
        if group.first_list.is_some() {
            return;
        }
        let lower = group.listed.iter().filter(|it| **it < self.own).count();
        group.first_list = Some(FirstList {
            read_at: now,
            rank: is_owner.then_some(lower),
            is_short: group.is_complete && group.listed.len() < MAX_FIRST_READERS,
        });
    }

    /// What this VM does for its first state, once it has read the list of members.
    pub(crate) fn first_read(&self) -> Option<FirstRead> {
        let group = self.group.borrow();
        let list = group.first_list?;
        Some(FirstRead {
            read_at: list.read_at,
            rank: list.rank,
            is_first_joiner: list.is_short,
            has_members: !group.listed.is_empty(),
            reader_heard_at: group.reader_heard_at,
        })
    }

    /// Records that a VM without the state said that it is reading the log.
    pub(super) fn note_reader(&self, now: Instant) {
        self.group.borrow_mut().reader_heard_at = Some(now);
    }

    /// The members that the log lists, without this VM.
    pub(super) fn listed_members(&self) -> Vec<SocketAddr> {
        self.group.borrow().listed.clone()
    }

    /// Whether this VM has had the chance to find the others: the list of members was read, or the
    /// discovery time has passed. Until then it has no share of the retry slack, so that it can
    /// retry few refused requests.
    pub(crate) fn is_discovery_done(&self, now: Instant) -> bool {
        self.group.borrow().was_read || self.view.borrow().is_discovery_over(now)
    }

    /// The number of VMs that are known, including this one.
    pub(crate) fn vms(&self) -> usize {
        self.view.borrow().vms()
    }

    /// How long no VM was added, restarted or removed.
    pub(crate) fn unchanged_for(&self, now: Instant) -> Duration {
        self.view.borrow().unchanged_for(now)
    }

    /// Whether neither messages nor the log name another VM.
    pub(crate) fn is_alone(&self) -> bool {
        self.vms() <= 1 && self.group.borrow().listed.is_empty()
    }

    /// The largest number of VMs seen at once, including this one. `None` while this VM may know too
    /// few, since the log lists only some members of a large group: when it has just started, and
    /// as long as it has seen few of the listed members.
    pub(crate) fn peak_vms(&self, now: Instant) -> Option<usize> {
        let view = self.view.borrow();
        let listed = self.group.borrow().listed.len();
        let has_found_fleet = self.seen_vms() * MIN_SEEN_MEMBERS_DIVISOR >= listed;
        let is_known =
            self.group.borrow().is_complete || (view.is_discovery_over(now) && has_found_fleet);
        is_known.then(|| view.peak_vms().max(listed + 1))
    }

    /// The same as [`Self::peak_vms`], but `None` also if this VM could neither read the list of
    /// members nor see another VM: it is not necessarily the only one.
    pub(crate) fn confirmed_peak_vms(&self, now: Instant) -> Option<usize> {
        let is_confirmed = self.group.borrow().was_read || self.seen_vms() > 0;
        self.peak_vms(now).filter(|_| is_confirmed)
    }

    /// The largest number of other VMs seen at once.
    fn seen_vms(&self) -> usize {
        self.view.borrow().peak_vms() - 1
    }

    /// The number of VMs that a fleet-wide limit is divided by: the largest number seen at once, or
    /// the number known so far. VMs that are out of reach may still grant their share.
    pub(crate) fn fleet_size(&self, now: Instant) -> usize {
        let known = || self.view.borrow().peak_vms();
        self.peak_vms(now).unwrap_or_else(known)
    }

    /// Whether this VM belongs in the log's group: it is among the first VMs in an order that all
    /// agree on, as many as [`GroupMembers::max_members`], or has just started and may know too
    /// few VMs to determine its rank.
    pub(crate) fn should_join_group(&self, now: Instant) -> bool {
        let view = self.view.borrow();
        !view.is_discovery_over(now) || view.rank(self.own) < self.group.borrow().max_members()
    }

    /// The number of VMs in `zone` with a lower address than this one.
    pub(crate) fn rank_in(&self, zone: &Name) -> usize {
        let view = self.view.borrow();
        let of_zone = view.all().filter(|vm| vm.availability_zone == *zone);
        of_zone.filter(|vm| vm.address < self.own).count()
    }

    /// Draws up to `count` known VMs to list in a message to the local zone.
    pub(super) fn sample(&self, count: usize) -> Vec<Sighting> {
        self.view.borrow_mut().sample(count)
    }

    /// All known VMs.
    pub(super) fn sightings(&self) -> Vec<Sighting> {
        self.view.borrow().all().cloned().collect()
    }

    /// Picks a VM to request the full view from, if such a request is due, and records the request
    /// as sent.
    pub(super) fn take_view_request(&self, now: Instant) -> Option<SocketAddr> {
        let mut view = self.view.borrow_mut();
        if !view.take_view_request(now) {
            return None;
        }
        let draw = rand::random();
        let members = &self.group.borrow().listed;
        let member = members.get((draw * members.len() as f64) as usize);
        view.random_known_vm(draw).or(member.copied())
    }

    /// Picks a random VM among those that were lost: it may be reachable again.
    pub(super) fn random_lost_vm(&self) -> Option<SocketAddr> {
        self.view.borrow().random_lost_vm(rand::random())
    }

    /// The requests that all other VMs have in flight, by server. Reading it once for all servers
    /// costs about as much as for one.
    pub(crate) fn loads(&self) -> PeerLoads<'_> {
        PeerLoads::new(self.peer_states.borrow().values(), self.zone_loads.borrow())
    }

    /// The requests that the other VMs of a zone have in flight, by server.
    pub(super) fn zone_in_flight(&self, zone: &Name) -> HashMap<Name, u32> {
        let peer_states = self.peer_states.borrow();
        let of_zone = |peer: &&PeerState| peer.availability_zone == *zone;
        sum_by_server(peer_states.values().filter(of_zone))
    }

    /// The requests that all other VMs have in flight, by server and model.
    pub(crate) fn in_flight_by_model(&self) -> HashMap<Name, HashMap<Name, u32>> {
        let peer_states = self.peer_states.borrow();
        let mut sums: HashMap<Name, HashMap<Name, u32>> = HashMap::new();
        for (server, loads) in peer_states.values().flat_map(|peer| &peer.loads) {
            let of_server = sums.entry(server.clone()).or_default();
            for (model, count) in loads {
                *of_server.entry(model.clone()).or_default() += count;
            }
        }
        sums
    }

    /// The highest fence that another VM leads with.
    pub(crate) fn highest_fence(&self, now: Instant) -> Option<u64> {
        self.current_leader(now).map(|leader| leader.fence)
    }

    /// Whether the last known leader announced that it gave up leadership.
    pub(crate) fn leadership_released(&self) -> bool {
        self.leader.borrow().is_released()
    }

    /// The leader, if it is another VM and was heard recently, by this VM or another one.
    fn current_leader(&self, now: Instant) -> Option<LeaderSighting> {
        let leader = self.leader.borrow().current(now);
        leader.filter(|leader| leader.address != self.own)
    }

    /// The leader, as it is reported to other VMs.
    pub(super) fn leader_seen(&self, now: Instant) -> Option<LeaderSeen> {
        let leader = self.current_leader(now)?;
        Some(LeaderSeen::of(&leader, now))
    }

    /// The demand reported by all other VMs, one entry per VM and weights.
    pub(crate) fn demands(&self) -> Vec<(Weights, DemandRate)> {
        let peer_states = self.peer_states.borrow();
        peer_states
            .values()
            .flat_map(|peer| peer.demands.iter().cloned())
            .collect()
    }

    /// Adds requests that a peer has just sent to its load, until it reports its full load again.
    /// Reports of unknown peers are ignored.
    pub(super) fn apply_prompts(&self, from: SocketAddr, prompts: &[SentPrompt]) {
        let mut peer_states = self.peer_states.borrow_mut();
        let Some(peer) = peer_states.get_mut(&from) else {
            return;
        };
        for prompt in prompts {
            let of_server = peer.loads.entry(prompt.server.as_str().into()).or_default();
            of_server.push((Name::new(), 1));
        }
    }

    /// Merges the VMs listed in a message into the view.
    pub(super) fn merge_sightings(&self, digest: &Digest, now: Instant) {
        for sighting in sightings_of(&digest.vms, now) {
            self.record_sighting(sighting, now);
        }
    }

    fn record_sighting(&self, sighting: Sighting, now: Instant) {
        let address = sighting.address;
        if address != self.own && self.view.borrow_mut().record_sighting(sighting, now) {
            self.note_discovered(address, now);
        }
    }

    /// Records whether the sender of a digest leads, and what it heard of the leader.
    fn note_leader(&self, sender: SocketAddr, digest: &Digest, now: Instant) {
        let mut leader = self.leader.borrow_mut();
        if digest.fence > 0 && !digest.is_leaving {
            leader.record_leader(LeaderSighting {
                address: sender,
                fence: digest.fence,
                seen_at: now,
            });
        } else {
            leader.record_follower(sender, now);
        }
        let reported = digest.leader.as_ref();
        if let Some(sighting) = reported.and_then(|it| it.sighting(now)) {
            leader.record_report(sighting);
        }
    }

    /// Logs a discovered VM, or counts it if many are discovered at about the same time.
    fn note_discovered(&self, address: SocketAddr, now: Instant) {
        let mut discovered = self.discovered.borrow_mut();
        if discovered.take_line(now) {
            info!(peer = %address, unlogged = discovered.take_unlogged(), "peer discovered");
        }
    }

    /// Applies a digest: the state of its sender replaces the earlier one. A sender that is leaving
    /// is removed.
    pub(super) fn apply_digest(&self, sender: SocketAddr, digest: &Digest, now: Instant) {
        let mut peer_states = self.peer_states.borrow_mut();
        self.note_leader(sender, digest, now);
        if digest.is_leaving {
            peer_states.remove(&sender);
            let mut view = self.view.borrow_mut();
            view.record_departure(sender, digest.boot, now);
            return;
        }
        let mut peer = PeerState::read(digest, now);
        let sighting = Sighting {
            address: sender,
            availability_zone: peer.availability_zone.clone(),
            boot: digest.boot,
            cpu_percent: u8::try_from(digest.cpu_percent).unwrap_or(u8::MAX),
            seen_at: now,
        };
        self.record_sighting(sighting, now);
        if let Some(loads) = &digest.zone_loads {
            let zone = &peer.availability_zone;
            self.zone_loads.borrow_mut().apply(zone, loads.sums(), now);
        }
        if let Some(before) = peer_states.remove(&sender) {
            // A sender that reports the load of its zone sends its own load separately, if at all.
            if digest.zone_loads.is_some() {
                peer.loads = before.loads;
            }
            peer.demands = before.demands;
            peer.partial_demands = before.partial_demands;
            peer.demand_round = before.demand_round;
        }
        peer_states.insert(sender, peer);
    }

    /// Applies the load of a peer from a message that carries only the load.
    pub(super) fn apply_loads(&self, sender: SocketAddr, digest: &Digest) {
        if let Some(peer) = self.peer_states.borrow_mut().get_mut(&sender) {
            peer.loads = read_loads(digest);
        }
    }

    /// Returns the requests that wait for the same at the other VMs that report, and the number of
    /// these VMs.
    pub(crate) fn waiting(&self, need: u32) -> (WaitingCount, usize) {
        let peer_states = self.peer_states.borrow();
        let mut sum = WaitingCount::default();
        for peer in peer_states.values() {
            sum.add(peer.waiting.get(&need).copied().unwrap_or_default());
        }
        (sum, peer_states.len())
    }

    /// Whether requests that are more urgent than one of a priority wait for any of `needs` at other
    /// VMs.
    pub(crate) fn has_more_urgent(&self, needs: &[u32], priority: u32) -> bool {
        let peer_states = self.peer_states.borrow();
        let mut waiting = peer_states.values().flat_map(|peer| &peer.waiting);
        waiting.any(|(need, count)| count.has_more_urgent(priority) && needs.contains(need))
    }

    /// Applies one part of the demand of a peer. The demand takes effect once its last part is
    /// received.
    pub(super) fn apply_demand(&self, sender: SocketAddr, digest: &Digest) {
        let mut peer_states = self.peer_states.borrow_mut();
        let Some(peer) = peer_states.get_mut(&sender) else {
            return;
        };
        if peer.demand_round != digest.demand_round {
            peer.demand_round = digest.demand_round;
            peer.partial_demands.clear();
        }
        peer.partial_demands.extend(read_demands(digest));
        if !digest.has_more {
            peer.demands = std::mem::take(&mut peer.partial_demands);
        }
    }

    /// The log positions reported by the other VMs in a zone that follow the log closely, by
    /// address.
    pub(crate) fn readings(&self, zone: &Name) -> Vec<(SocketAddr, Readings)> {
        let peer_states = self.peer_states.borrow();
        let local = peer_states
            .iter()
            .filter(|(_, peer)| peer.availability_zone == *zone);
        local
            .filter_map(|(address, peer)| Some((*address, peer.readings?)))
            .collect()
    }

    /// The log positions reported by all other VMs that follow the log closely, with the zone of
    /// each.
    pub(crate) fn all_readings(&self) -> Vec<(SocketAddr, Name, Readings)> {
        let peer_states = self.peer_states.borrow();
        let reported = peer_states.iter().filter_map(|(address, peer)| {
            Some((*address, peer.availability_zone.clone(), peer.readings?))
        });
        reported.collect()
    }

    /// Picks a VM of a zone that has the directory and the configuration. `draw` is a random number
    /// from 0 to 1.
    pub(crate) fn random_peer_with_state(&self, zone: &Name, draw: f64) -> Option<SocketAddr> {
        let peer_states = self.peer_states.borrow();
        let with_state = peer_states
            .iter()
            .filter(|(_, peer)| peer.has_state && peer.availability_zone == *zone);
        pick(with_state.map(|(address, _)| *address), draw)
    }

    /// Picks a VM of any zone that has the state. `draw` is a random number from 0 to 1.
    pub(crate) fn any_peer_with_state(&self, draw: f64) -> Option<SocketAddr> {
        let peer_states = self.peer_states.borrow();
        let with_state = peer_states.iter().filter(|(_, peer)| peer.has_state);
        pick(with_state.map(|(address, _)| *address), draw)
    }

    /// What the other VMs state of their configurations.
    pub(crate) fn configurations(&self) -> Vec<PeerConfiguration> {
        let peer_states = self.peer_states.borrow();
        peer_states
            .values()
            .map(|peer| peer.configuration)
            .collect()
    }

    /// Picks one of the VMs that state the latest version of the configuration, if it is later than
    /// `version`. `draw` is a random number from 0 to 1.
    pub(crate) fn later_configuration(&self, version: u64, draw: f64) -> Option<SocketAddr> {
        let peer_states = self.peer_states.borrow();
        let versions = peer_states.values().map(|peer| peer.configuration.version);
        let latest = versions.max().filter(|latest| *latest > version)?;
        let holders = peer_states
            .iter()
            .filter(|(_, peer)| peer.configuration.version == latest);
        pick(holders.map(|(address, _)| *address), draw)
    }

    /// Whether messages of a VM still arrive.
    pub(crate) fn is_heard(&self, address: &SocketAddr) -> bool {
        self.peer_states.borrow().contains_key(address)
    }

    /// Whether another VM takes forwarded requests.
    pub(crate) fn has_forward_candidate(&self) -> bool {
        let peer_states = self.peer_states.borrow();
        peer_states.values().any(|peer| peer.accepts_forwarded)
    }

    /// The other VMs that take forwarded requests.
    pub(crate) fn forward_candidates(&self, zone: &Name) -> Vec<ForwardCandidate> {
        let peer_states = self.peer_states.borrow();
        let accepting = peer_states
            .iter()
            .filter(|(_, peer)| peer.accepts_forwarded);
        accepting
            .map(|(address, peer)| ForwardCandidate {
                address: *address,
                is_local: peer.availability_zone == *zone,
            })
            .collect()
    }

    /// Picks a VM of a zone. `draw` is a random number from 0 to 1.
    pub(crate) fn random_peer(&self, zone: &Name, draw: f64) -> Option<SocketAddr> {
        let view = self.view.borrow();
        let of_zone = view.all().filter(|vm| vm.availability_zone == *zone);
        pick(of_zone.map(|vm| vm.address), draw)
    }

    /// The number of other VMs known in a zone.
    pub(crate) fn vms_in(&self, zone: &Name) -> usize {
        let view = self.view.borrow();
        let of_zone = view.all().filter(|vm| vm.availability_zone == *zone);
        of_zone.count()
    }

    /// Whether the log lists the whole fleet, as it does while there are few VMs, and these are so
    /// few that all may read the log at once.
    pub(crate) fn is_fleet_small(&self) -> bool {
        let group = self.group.borrow();
        group.is_complete && group.listed.len() < MAX_FIRST_READERS
    }

    /// Time since this VM started.
    pub(crate) fn uptime(&self, now: Instant) -> Duration {
        self.view.borrow().uptime(now)
    }

    /// Whether load reports from remote zones can be several rounds old, because the fleet is too
    /// large to send to every remote VM in each round.
    pub(crate) fn is_remote_load_stale(&self) -> bool {
        self.is_remote_load_stale.get()
    }

    /// The recipients of messages: all known VMs, split into those in `zone` and those in remote
    /// zones, and the members of the group whose zone is not known yet.
    pub(super) fn targets(&self, zone: &Name) -> Targets {
        let view = self.view.borrow();
        let group = self.group.borrow();
        let unknown = group.listed.iter().filter(|it| view.get(it).is_none());
        let mut targets = Targets {
            local: unknown.copied().collect(),
            ..Targets::default()
        };
        for vm in view.all() {
            if vm.availability_zone == *zone {
                targets.local.push(vm.address);
            } else {
                let of_zone = targets.remote.entry(vm.availability_zone.clone());
                of_zone.or_default().push(vm.address);
            }
        }
        self.is_remote_load_stale.set(targets.remote_rounds() > 1);
        targets
    }

    /// The address of the leader, if it was heard recently.
    pub(super) fn leader(&self, now: Instant) -> Option<SocketAddr> {
        self.current_leader(now).map(|leader| leader.address)
    }

    /// Applies the log positions of a message that carries only these.
    pub(super) fn apply_followed_log(&self, sender: SocketAddr, digest: &Digest, now: Instant) {
        let mut peer_states = self.peer_states.borrow_mut();
        let received = PeerState::read(digest, now);
        match peer_states.get_mut(&sender) {
            Some(peer) => {
                peer.readings = received.readings;
                peer.received_at = now;
            }
            None => {
                peer_states.insert(sender, received);
            }
        }
    }

    /// Draws up to `count` VMs of each zone that forward a message to their zone.
    pub(super) fn draw_relays(&self, targets: &Targets, count: usize) -> Vec<SocketAddr> {
        let zones = targets.remote.values().chain([&targets.local]);
        let drawn = zones.flat_map(|vms| {
            let draws = (0..count).filter_map(|_| pick(vms.iter().copied(), rand::random()));
            draws.collect::<BTreeSet<SocketAddr>>()
        });
        drawn.collect()
    }

    /// Removes VMs that were not seen for too long, expired peer states and zone loads, and
    /// crash reports that have been repeated for long enough.
    pub(super) fn forget_silent(&self, now: Instant) {
        for gone in self.view.borrow_mut().forget_silent(now) {
            let mut lost = self.lost.borrow_mut();
            if lost.take_line(now) {
                let silent = now.saturating_duration_since(gone.seen_at);
                warn!(
                    peer = %gone.address,
                    zone = %gone.availability_zone,
                    silent_ms = silent.as_millis() as u64,
                    unlogged = lost.take_unlogged(),
                    "peer lost"
                );
            }
        }
        self.peer_states.borrow_mut().retain(|address, peer| {
            let is_current = now.saturating_duration_since(peer.received_at) < peer.state_ttl;
            if !is_current {
                debug!(peer = %address, "peer state expired");
            }
            is_current
        });
        self.zone_loads.borrow_mut().expire(now);
        self.outbox.crash_news.borrow_mut().prune_expired(now);
    }
}

/// Picks one of some addresses by `draw`, a random number from 0 to 1.
fn pick(addresses: impl Iterator<Item = SocketAddr>, draw: f64) -> Option<SocketAddr> {
    let addresses: Vec<SocketAddr> = addresses.collect();
    let index = (draw * addresses.len() as f64) as usize;
    addresses.get(index).copied()
}
