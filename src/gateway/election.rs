//! Which VM gives orders to model runners.
//!
//! The log deals out the partitions of a topic among the group of VMs; whoever has the
//! first one claims a place in the log if it hears nobody give orders. The place is its
//! fence, so that a runner refuses what an earlier holder still sends. A holder goes on
//! when the partitions are dealt anew, which every VM that comes or goes brings about.
//!
//! Where runners check fences, a holder also goes on while it cannot reach the log: nobody can
//! claim there if the log is away for all, and if it is away for this VM only, the others hear
//! its fence, or a runner refuses its orders once one of them has claimed. Models go on moving
//! through an outage; without it none moved for its length and the lease.

use crate::gateway::order_dispatch::Ordering;
use crate::gateway::state::State;
use crate::gateway::{Claims, Group, Membership, RunnerControl, StoreError};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::{info, warn};

/// The time between two renewals of the membership; each costs a tenth of a call.
const JOIN_INTERVAL: Duration = Duration::from_millis(800);
/// The time between two readings of the group's members: VMs tell each other which there are, and
/// the list is only where one begins and where the halves of a fleet meet after a partition. While
/// large fleets are restarted in turn, a reading at each change by each VM was half of all calls.
const MEMBERS_INTERVAL: Duration = Duration::from_secs(10);
/// How long a silent member is kept: three renewals.
const MEMBER_TTL: Duration = Duration::from_millis(2_400);
/// The time between two looks at what is to be ordered.
const TICK: Duration = Duration::from_millis(100);
/// How long a new member listens for a VM that gives orders, in three messages' time.
const HEARING_TIME: Duration = Duration::from_millis(600);
/// The time between two looks for later claims.
const CHECK_INTERVAL: Duration = Duration::from_millis(700);
/// How long a new holder waits with its first order after one that fell silent: longer than
/// between two of that one's looks; with the silence, longer than a membership.
const TAKEOVER_WAIT: Duration = Duration::from_millis(1_000);
/// The pause after a claim that the log did not take.
const CLAIM_PAUSE: Duration = Duration::from_millis(300);

/// This VM's part in leading.
pub(crate) struct LeaderElection<S, R> {
    state: Rc<State>,
    store: Rc<S>,
    ordering: Rc<Ordering<R>>,
    member: String,
    membership: Cell<Membership>,
    renewed_at: Cell<Option<Instant>>,
    /// The place that the next claim will have, as far as is known.
    place: Cell<u64>,
    lost_at: Cell<Option<Instant>>,
    /// When this process first became a member.
    joined_at: Cell<Option<Instant>>,
    /// When another VM was last heard to give orders.
    holder_heard_at: Cell<Option<Instant>>,
    /// When this VM claimed after a holder that was not heard to give up.
    begun_at: Cell<Option<Instant>>,
    /// When the log was last looked at for later claims.
    checked_at: Cell<Option<Instant>>,
    /// Whether the group has changed since its members were read.
    is_changed: Cell<bool>,
    /// When they were read.
    members_read_at: Cell<Option<Instant>>,
    /// Whether the membership lapsed since the log was last looked at for later claims.
    is_unchecked: Cell<bool>,
}

impl<S: Group + Claims, R: RunnerControl> LeaderElection<S, R> {
    /// A VM that is no member yet.
    pub(crate) fn new(state: Rc<State>, store: Rc<S>, runners: R) -> Rc<Self> {
        let member = state.settings.peer_address.to_string();
        Rc::new(Self {
            ordering: Ordering::new(state.clone(), runners),
            state,
            store,
            member,
            membership: Cell::default(),
            renewed_at: Cell::new(None),
            place: Cell::new(0),
            lost_at: Cell::new(None),
            joined_at: Cell::new(None),
            holder_heard_at: Cell::new(None),
            begun_at: Cell::new(None),
            checked_at: Cell::new(None),
            is_changed: Cell::new(false),
            members_read_at: Cell::new(None),
            is_unchecked: Cell::new(false),
        })
    }

    fn ttl(&self) -> Duration {
        MEMBER_TTL.max(self.state.settings.bounds.min_member_ttl)
    }

    /// Stays a member of the group while one is wanted, until the process ends.
    pub(crate) async fn keep_membership(self: Rc<Self>) {
        while !self.state.shutdown.is_leaving() {
            let asked_at = Instant::now();
            if !self.is_wanted(asked_at) {
                compio::time::sleep(TICK).await;
                continue;
            }
            let generation = self.membership.get().generation;
            match self.store.join(&self.member, self.ttl(), generation).await {
                Ok(membership) => self.take_membership(membership, asked_at).await,
                Err(error) => tracing::debug!(?error, "membership not renewed"),
            }
            compio::time::sleep_until(asked_at + JOIN_INTERVAL).await;
        }
    }

    /// Whether this VM has to be a member: some VMs are enough to lead and to be found by those that
    /// start, and each renewal costs. While nobody gives orders all are members, so that one of them
    /// claims whichever are cut off from the log.
    fn is_wanted(&self, now: Instant) -> bool {
        let peers = &self.state.peers;
        let has_other_holder = peers.highest_fence().is_some();
        self.ordering.is_holder() || !has_other_holder || peers.should_join_group(now)
    }

    async fn take_membership(&self, membership: Membership, asked_at: Instant) {
        let before = self.membership.replace(membership);
        self.renewed_at.set(Some(asked_at));
        if self.joined_at.get().is_none() {
            self.joined_at.set(Some(Instant::now()));
        }
        if before.generation != membership.generation {
            info!(
                generation = membership.generation,
                is_first = membership.is_first,
                "group changed"
            );
            self.is_changed.set(true);
        }
        let read_at = self.members_read_at.get();
        let is_due = read_at.is_none_or(|at| at.elapsed() >= MEMBERS_INTERVAL);
        if !self.is_changed.get() || !is_due {
            return;
        }
        self.is_changed.set(false);
        self.members_read_at.set(Some(Instant::now()));
        match self.store.members().await {
            Ok(members) => {
                let others = members.names.iter().filter(|name| **name != self.member);
                let others = others.filter_map(|name| name.parse::<SocketAddr>().ok());
                let peers = &self.state.peers;
                peers.set_members(others.collect(), members.is_complete);
            }
            Err(error) => {
                warn!(?error, "members not read");
                // Without them a VM that has just started finds nobody: asked for again with the
                // next renewal.
                self.is_changed.set(true);
                self.members_read_at.set(None);
            }
        }
    }

    /// Leaves the group, so that another VM leads at once.
    pub(crate) async fn leave(&self) {
        self.ordering.stop();
        if let Err(error) = self.store.leave(&self.member).await {
            warn!(?error, "group not left; the membership lapses");
        }
    }

    /// Gives orders while this VM holds the claim.
    pub(crate) async fn lead(self: Rc<Self>) {
        loop {
            compio::time::sleep(TICK).await;
            let highest = self.state.peers.highest_fence();
            if highest.is_some() {
                self.holder_heard_at.set(Some(Instant::now()));
            }
            let is_outrun = highest.is_some_and(|fence| self.ordering.fence() < Some(fence));
            match self.ordering.fence() {
                Some(_) if !self.may_go_on() || is_outrun => self.stop(),
                Some(fence) => {
                    self.check_claim(fence).await;
                    if self.is_settled() {
                        self.ordering.tick();
                    }
                }
                None if self.may_claim() && highest.is_none() => self.begin().await,
                None => {}
            }
        }
    }

    /// Whether a holder may go on: as a member, or by its fence where runners check it.
    fn may_go_on(&self) -> bool {
        if self.is_member() {
            return true;
        }
        self.is_unchecked.set(true);
        self.state.settings.bounds.is_fenced && !self.state.shutdown.is_leaving()
    }

    /// Whether the group has this VM as a member, as of less than a membership's time ago.
    fn is_member(&self) -> bool {
        let renewed_at = self.renewed_at.get();
        !self.state.shutdown.is_leaving() && renewed_at.is_some_and(|at| at.elapsed() < self.ttl())
    }

    /// Whether this VM is to claim where nobody is heard to give orders.
    fn may_claim(&self) -> bool {
        let joined_at = self.joined_at.get();
        self.membership.get().is_first
            && self.is_member()
            && joined_at.is_some_and(|at| at.elapsed() >= HEARING_TIME)
    }

    /// Whether orders may be given by now: an earlier holder that was not heard to give up
    /// has seen this VM's claim in the log, or has lost its membership.
    fn is_settled(&self) -> bool {
        let begun_at = self.begun_at.get();
        begun_at.is_none_or(|at| at.elapsed() >= TAKEOVER_WAIT)
    }

    async fn begin(&self) {
        let Some(fence) = self.claim().await else {
            return;
        };
        // Whoever gave orders until now was last heard with its fence and then fell silent,
        // or told that it gives up, or there was nobody.
        let heard_at = self.holder_heard_at.get();
        let is_abrupt = heard_at.is_some_and(|at| at.elapsed() < self.ttl());
        let leadership_released = self.state.peers.leadership_released();
        let waits = is_abrupt && !leadership_released;
        info!(fence, waits, "orders claimed");
        self.begun_at.set(waits.then(Instant::now));
        self.checked_at.set(Some(Instant::now()));
        self.ordering.start(fence);
    }

    /// Gives up once the log shows a later claim; looked up while the group would have another
    /// VM claim, and after the membership has lapsed.
    async fn check_claim(&self, fence: u64) {
        let checked_at = self.checked_at.get();
        let is_due = checked_at.is_none_or(|at| at.elapsed() >= CHECK_INTERVAL);
        let needs_check = self.is_unchecked.get() || !self.membership.get().is_first;
        if !needs_check || !is_due || !self.is_member() {
            return;
        }
        self.checked_at.set(Some(Instant::now()));
        match self.store.has_later_claim(fence).await {
            Ok(true) => self.stop(),
            Ok(false) => self.is_unchecked.set(false),
            // Asked again at the next turn, unless the log is away.
            Err(error) => tracing::debug!(?error, "claim not checked"),
        }
    }

    fn stop(&self) {
        if self.ordering.is_holder() {
            info!(membership = ?self.membership.get(), "orders given up");
            self.ordering.stop();
            self.lost_at.set(Some(Instant::now()));
        }
    }

    /// Claims the next place in the log.
    ///
    /// A VM that gave up its claim waits first: holders must not take turns.
    async fn claim(&self) -> Option<u64> {
        if self.ordering.take_fenced() {
            self.lost_at.set(Some(Instant::now()));
        }
        let lease = self.state.settings.bounds.lease;
        if self.lost_at.get().is_some_and(|at| at.elapsed() < lease) {
            return None;
        }
        match self.store.claim(&self.member, self.place.get()).await {
            Ok(fence) => {
                self.place.set(fence);
                self.is_member().then_some(fence)
            }
            Err(StoreError::Conflict(place)) => {
                self.place.set(place);
                None
            }
            Err(error) => {
                warn!(?error, "orders not claimed");
                compio::time::sleep(CLAIM_PAUSE).await;
                None
            }
        }
    }
}
