//! Elects the leader, the VM that sends orders to model runners.
//!
//! The log assigns the partitions of a topic to the group of VMs. The VM with the first partition
//! appends a leadership claim to the log if it receives no gossip from a leader. The offset of the
//! claim is its fencing token (fence), by which runners refuse orders of an earlier leader. A
//! leader continues when the partitions are reassigned, as happens whenever a VM joins or leaves.
//!
//! The fence contains the era of the log ([`Position`](crate::gateway::Position)), so that it grows
//! when the log is restored from a copy that lacks claims. A leader of an earlier era steps down, and
//! the VM with the first partition claims at once.
//!
//! Where runners check fences, a leader also continues while it cannot reach the log. If the log
//! is unreachable for all VMs, no other VM can claim; if only for the leader, the other VMs receive
//! its fence, or a runner refuses its orders once one of them has claimed. Models can thus be
//! swapped during an outage of the log; otherwise none would be until the outage and the lease
//! are over.

use crate::gateway::order_dispatch::OrderDispatcher;
use crate::gateway::state::State;
use crate::gateway::{Group, LeadershipClaims, Membership, Position, RunnerControl, StoreError};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::{info, warn};

/// Interval between renewals of the membership. A renewal costs as much as a tenth of a call to the
/// log.
const JOIN_INTERVAL: Duration = Duration::from_millis(800);
/// Minimum interval between reads of the member list. VMs learn of each other by gossip; the list
/// serves only to start, and to reunite the halves of a fleet after a network partition. When
/// every VM read it at each change, the reads made up half of all calls to the log during rolling
/// restarts of large fleets.
const MEMBERS_INTERVAL: Duration = Duration::from_secs(10);
/// Minimum interval between these reads in the whole fleet, which bounds their rate: while there is
/// no leader, all VMs are members.
const FLEET_MEMBERS_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which a silent member is removed: three renewals.
const MEMBER_TTL: Duration = Duration::from_millis(2_400);
/// Interval at which leadership is checked and orders are planned.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which a new member waits for gossip from a leader before it claims: three gossip
/// messages.
const DISCOVERY_TIME: Duration = Duration::from_millis(600);
/// Minimum interval between checks of the log for later claims.
const CLAIM_CHECK_INTERVAL: Duration = Duration::from_millis(700);
/// Delay before the first order of a leader whose predecessor went silent. It is longer than the
/// predecessor's [`CLAIM_CHECK_INTERVAL`] and, together with the silence, than its membership.
const TAKEOVER_DELAY: Duration = Duration::from_millis(1_000);
/// Delay after a claim that failed for another reason than a conflict.
const CLAIM_RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Keeps this VM a member of the group and lets it claim, exercise and give up leadership.
pub(crate) struct LeaderElection<S, R> {
    state: Rc<State>,
    store: Rc<S>,
    dispatcher: Rc<OrderDispatcher<R>>,
    member: String,
    membership: Cell<Membership>,
    renewed_at: Cell<Option<Instant>>,
    /// Offset of the next claim in the log, as far as known.
    next_claim_offset: Cell<u64>,
    leadership_lost_at: Cell<Option<Instant>>,
    /// When this process first became a member.
    joined_at: Cell<Option<Instant>>,
    /// When gossip from another leader was last received.
    leader_last_heard_at: Cell<Option<Instant>>,
    /// When this VM claimed leadership after a leader that had not advertised that it stepped down.
    takeover_started_at: Cell<Option<Instant>>,
    /// When the log was last checked for later claims.
    claim_checked_at: Cell<Option<Instant>>,
    /// Whether the group has changed since the member list was read.
    has_group_changed: Cell<bool>,
    /// When the member list was last read.
    members_read_at: Cell<Option<Instant>>,
    /// Whether the membership has lapsed since the log was last checked for later claims.
    has_lapsed_unchecked: Cell<bool>,
}

impl<S: Group + LeadershipClaims, R: RunnerControl> LeaderElection<S, R> {
    /// Creates the state of a VM that is not a member yet.
    pub(crate) fn new(state: Rc<State>, store: Rc<S>, runner_control: R) -> Rc<Self> {
        let member = state.settings.peer_address.to_string();
        Rc::new(Self {
            dispatcher: OrderDispatcher::new(state.clone(), runner_control),
            state,
            store,
            member,
            membership: Cell::default(),
            renewed_at: Cell::new(None),
            next_claim_offset: Cell::new(0),
            leadership_lost_at: Cell::new(None),
            joined_at: Cell::new(None),
            leader_last_heard_at: Cell::new(None),
            takeover_started_at: Cell::new(None),
            claim_checked_at: Cell::new(None),
            has_group_changed: Cell::new(false),
            members_read_at: Cell::new(None),
            has_lapsed_unchecked: Cell::new(false),
        })
    }

    fn ttl(&self) -> Duration {
        MEMBER_TTL.max(self.state.settings.bounds.min_member_ttl)
    }

    /// Renews the membership while it is needed, until the process shuts down.
    pub(crate) async fn keep_membership(self: Rc<Self>) {
        while !self.state.shutdown.is_leaving() {
            let requested_at = Instant::now();
            if !self.is_membership_needed(requested_at) {
                compio::time::sleep(TICK_INTERVAL).await;
                continue;
            }
            let generation = self.membership.get().generation;
            match self.store.join(&self.member, self.ttl(), generation).await {
                Ok(membership) => self.apply_membership(membership, requested_at).await,
                Err(error) => tracing::debug!(?error, "membership not renewed"),
            }
            compio::time::sleep_until(requested_at + JOIN_INTERVAL).await;
        }
    }

    /// Whether this VM has to be a member. A few members are enough to lead and to be found by VMs
    /// that start, and each renewal has a cost. While there is no leader, all VMs are members, so
    /// that one of them can claim leadership, whichever VMs cannot reach the log.
    fn is_membership_needed(&self, now: Instant) -> bool {
        if self.must_leave_orders() {
            return false;
        }
        let peers = &self.state.peers;
        let has_other_leader = peers.highest_fence(now).is_some();
        // A leader that has just handed over leaves the first partition to another member.
        let has_handed_over = self.is_lease_running() && peers.should_hand_over(now);
        let lacks_leader = !has_other_leader && !has_handed_over;
        self.dispatcher.is_leader() || lacks_leader || peers.should_join_group(now)
    }

    /// Whether this VM reaches no runner while another VM does, which then has to lead.
    fn must_leave_orders(&self) -> bool {
        self.state.is_cut_off() && self.state.peers.has_forward_candidate()
    }

    async fn apply_membership(&self, membership: Membership, requested_at: Instant) {
        let before = self.membership.replace(membership);
        self.renewed_at.set(Some(requested_at));
        if self.joined_at.get().is_none() {
            self.joined_at.set(Some(Instant::now()));
        }
        if before.generation != membership.generation {
            info!(
                generation = membership.generation,
                is_first = membership.is_first,
                "group changed"
            );
            self.has_group_changed.set(true);
        }
        let read_at = self.members_read_at.get();
        let interval = members_interval(self.state.peers.vms());
        let is_due = read_at.is_none_or(|at| at.elapsed() >= interval);
        if !self.has_group_changed.get() || !is_due {
            return;
        }
        self.has_group_changed.set(false);
        self.members_read_at.set(Some(Instant::now()));
        match self.store.members().await {
            Ok(members) => {
                let others = members.names.iter().filter(|name| **name != self.member);
                let others = others.filter_map(|name| name.parse::<SocketAddr>().ok());
                let peers = &self.state.peers;
                peers.set_members(others.collect(), members.is_complete(), members.partitions);
                peers.note_list_read(membership.is_owner, Instant::now());
            }
            Err(error) => {
                warn!(?error, "members not read");
                // Without the list, a VM that has just started finds no others, so it is read again
                // with the next renewal.
                self.has_group_changed.set(true);
                self.members_read_at.set(None);
            }
        }
    }

    /// Gives up leadership and leaves the group, so that another VM can lead at once.
    pub(crate) async fn leave(&self) {
        self.dispatcher.stop();
        self.leave_group().await;
    }

    async fn leave_group(&self) {
        self.membership.set(Membership::default());
        self.renewed_at.set(None);
        if let Err(error) = self.store.leave(&self.member).await {
            warn!(?error, "group not left; the membership lapses");
        }
    }

    /// Gives up leadership, and tells the other VMs so.
    async fn hand_over(&self) {
        self.step_down();
        self.state.peers.outbox.trigger_update_to_all();
        self.leave_group().await;
    }

    /// Claims leadership where there is no leader, and sends orders while this VM leads.
    pub(crate) async fn lead(self: Rc<Self>) {
        loop {
            compio::time::sleep(TICK_INTERVAL).await;
            let highest = self.state.peers.highest_fence(Instant::now());
            if highest.is_some() {
                self.leader_last_heard_at.set(Some(Instant::now()));
            }
            let is_superseded = highest.is_some_and(|fence| self.dispatcher.fence() < Some(fence));
            match self.dispatcher.fence() {
                Some(_) if !self.may_continue() || is_superseded => self.step_down(),
                Some(fence) if self.is_of_earlier_era(fence) => {
                    info!(
                        fence,
                        era = self.state.era(),
                        "claim lost with the log's earlier era"
                    );
                    self.step_down();
                    // The lease keeps leaders from alternating, and here all claims are lost.
                    self.leadership_lost_at.set(None);
                }
                Some(_) if self.state.peers.should_hand_over(Instant::now()) => {
                    self.hand_over().await;
                }
                Some(_) if self.must_leave_orders() => {
                    info!("orders left to a VM that reaches runners");
                    self.hand_over().await;
                }
                None if self.is_member() && self.must_leave_orders() => self.leave_group().await,
                Some(fence) => {
                    self.check_claim(fence).await;
                    if self.may_send_orders() {
                        self.dispatcher.tick();
                    }
                }
                None if self.may_claim() && highest.is_none() => self.take_leadership().await,
                None => {}
            }
        }
    }

    /// Whether the claim with this fence was made before the log was restored from a copy, which may
    /// lack it.
    fn is_of_earlier_era(&self, fence: u64) -> bool {
        Position::from_u64(fence).era < self.state.era()
    }

    /// Whether a leader may continue: as a member, or by its fence where runners check fences.
    fn may_continue(&self) -> bool {
        if self.is_member() {
            return true;
        }
        self.has_lapsed_unchecked.set(true);
        self.state.settings.bounds.is_fenced && !self.state.shutdown.is_leaving()
    }

    /// Whether the last renewal of the membership is still valid.
    fn is_member(&self) -> bool {
        let renewed_at = self.renewed_at.get();
        !self.state.shutdown.is_leaving() && renewed_at.is_some_and(|at| at.elapsed() < self.ttl())
    }

    /// Whether this VM should claim if it receives no gossip from a leader.
    fn may_claim(&self) -> bool {
        let joined_at = self.joined_at.get();
        self.membership.get().is_first
            && self.is_member()
            && joined_at.is_some_and(|at| at.elapsed() >= DISCOVERY_TIME)
    }

    /// Whether orders may be sent by now: an earlier leader that did not advertise that it stepped
    /// down has seen this VM's claim in the log, or has lost its membership.
    fn may_send_orders(&self) -> bool {
        let takeover_started_at = self.takeover_started_at.get();
        takeover_started_at.is_none_or(|at| at.elapsed() >= TAKEOVER_DELAY)
    }

    async fn take_leadership(&self) {
        let Some(fence) = self.claim().await else {
            return;
        };
        // The previous leader either went silent after its last gossip with a fence, or advertised
        // that it stepped down, or there was none.
        let last_heard_at = self.leader_last_heard_at.get();
        let was_led_recently = last_heard_at.is_some_and(|at| at.elapsed() < self.ttl());
        let leadership_released = self.state.peers.leadership_released();
        let waits = was_led_recently && !leadership_released;
        info!(fence, waits, "orders claimed");
        self.takeover_started_at.set(waits.then(Instant::now));
        self.claim_checked_at.set(Some(Instant::now()));
        self.dispatcher.start(fence);
    }

    /// Steps down if the log shows a later claim. The log is checked while the first partition
    /// belongs to another VM, and after the membership has lapsed.
    async fn check_claim(&self, fence: u64) {
        let claim_checked_at = self.claim_checked_at.get();
        let is_due = claim_checked_at.is_none_or(|at| at.elapsed() >= CLAIM_CHECK_INTERVAL);
        let needs_check = self.has_lapsed_unchecked.get() || !self.membership.get().is_first;
        if !needs_check || !is_due || !self.is_member() {
            return;
        }
        self.claim_checked_at.set(Some(Instant::now()));
        match self.store.has_later_claim(fence).await {
            Ok(true) => self.step_down(),
            Ok(false) => self.has_lapsed_unchecked.set(false),
            // Retried at the next check, unless the log stays unreachable.
            Err(error) => tracing::debug!(?error, "claim not checked"),
        }
    }

    /// Whether this VM lost or gave up leadership less than a lease ago.
    fn is_lease_running(&self) -> bool {
        let lease = self.state.settings.bounds.lease;
        let lost_at = self.leadership_lost_at.get();
        lost_at.is_some_and(|at| at.elapsed() < lease)
    }

    fn step_down(&self) {
        if self.dispatcher.is_leader() {
            info!(membership = ?self.membership.get(), "orders given up");
            self.dispatcher.stop();
            self.leadership_lost_at.set(Some(Instant::now()));
        }
    }

    /// Appends a leadership claim to the log and returns its offset, the fence.
    ///
    /// A VM that has lost leadership first waits for a lease, so that leaders do not alternate.
    async fn claim(&self) -> Option<u64> {
        if self.dispatcher.take_fenced() {
            self.leadership_lost_at.set(Some(Instant::now()));
        }
        if self.is_lease_running() {
            return None;
        }
        match self
            .store
            .claim(&self.member, self.next_claim_offset.get())
            .await
        {
            Ok(fence) => {
                self.state.note_position(fence, "log", Instant::now());
                self.next_claim_offset.set(fence);
                self.is_member().then_some(fence)
            }
            Err(StoreError::Conflict(offset)) => {
                self.state.note_position(offset, "log", Instant::now());
                self.next_claim_offset.set(offset);
                None
            }
            Err(error) => {
                warn!(?error, "orders not claimed");
                compio::time::sleep(CLAIM_RETRY_INTERVAL).await;
                None
            }
        }
    }
}

/// Interval between two reads of the member list by one of `vms` VMs.
pub(super) fn members_interval(vms: usize) -> Duration {
    MEMBERS_INTERVAL.max(FLEET_MEMBERS_INTERVAL * vms as u32)
}
