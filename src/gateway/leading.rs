//! Which VM gives orders to model runners.
//!
//! The log deals out the partitions of a topic among the group of VMs; whoever has the
//! first one is to lead. It then claims a place in the log, which is its fence, so that a
//! runner refuses what an earlier holder still sends.

use crate::gateway::ordering::Ordering;
use crate::gateway::state::State;
use crate::gateway::{Claims, Group, Membership, RunnerControl, StoreError};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::{info, warn};

/// The time between two renewals of the membership; each costs a tenth of a call.
const JOIN_INTERVAL: Duration = Duration::from_millis(800);
/// How long a silent member is kept: three renewals.
const MEMBER_TTL: Duration = Duration::from_millis(2_400);
/// The time between two looks at what is to be ordered.
const TICK: Duration = Duration::from_millis(100);
/// The pause after a claim that the log did not take.
const CLAIM_PAUSE: Duration = Duration::from_millis(300);

/// This VM's part in leading.
pub(crate) struct Leading<S, R> {
    state: Rc<State>,
    store: Rc<S>,
    ordering: Rc<Ordering<R>>,
    member: String,
    membership: Cell<Membership>,
    renewed_at: Cell<Option<Instant>>,
    /// The place that the next claim will have, as far as is known.
    place: Cell<u64>,
    lost_at: Cell<Option<Instant>>,
}

impl<S: Group + Claims, R: RunnerControl> Leading<S, R> {
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
        })
    }

    fn ttl(&self) -> Duration {
        MEMBER_TTL.max(self.state.settings.bounds.min_member_ttl)
    }

    /// Stays a member of the group until the process ends.
    pub(crate) async fn keep_membership(self: Rc<Self>) {
        while !self.state.shutdown.is_leaving() {
            let asked_at = Instant::now();
            let generation = self.membership.get().generation;
            match self.store.join(&self.member, self.ttl(), generation).await {
                Ok(membership) => self.take_membership(membership, asked_at).await,
                Err(error) => tracing::debug!(?error, "membership not renewed"),
            }
            compio::time::sleep_until(asked_at + JOIN_INTERVAL).await;
        }
    }

    async fn take_membership(&self, membership: Membership, asked_at: Instant) {
        let before = self.membership.replace(membership);
        self.renewed_at.set(Some(asked_at));
        if before.generation == membership.generation {
            return;
        }
        info!(
            generation = membership.generation,
            is_first = membership.is_first,
            "group changed"
        );
        match self.store.members().await {
            Ok(members) => {
                let members = members.iter().filter(|member| **member != self.member);
                let members = members.filter_map(|member| member.parse::<SocketAddr>().ok());
                self.state.peers.set_members(members.collect());
            }
            Err(error) => warn!(?error, "members not read"),
        }
    }

    /// Leaves the group, so that another VM leads at once.
    pub(crate) async fn leave(&self) {
        self.ordering.stop();
        if let Err(error) = self.store.leave(&self.member).await {
            warn!(?error, "group not left; the membership lapses");
        }
    }

    /// Gives orders while this VM leads.
    pub(crate) async fn lead(self: Rc<Self>) {
        loop {
            compio::time::sleep(TICK).await;
            if !self.may_lead() {
                self.stop();
            } else if self.ordering.is_holder() {
                self.ordering.tick();
            } else if let Some(fence) = self.claim().await {
                info!(fence, "orders claimed");
                self.ordering.start(fence);
            }
        }
    }

    /// Whether the group has this VM lead, as of less than a membership's time ago.
    fn may_lead(&self) -> bool {
        let renewed_at = self.renewed_at.get();
        self.membership.get().is_first
            && !self.state.shutdown.is_leaving()
            && renewed_at.is_some_and(|at| at.elapsed() < self.ttl())
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
                self.may_lead().then_some(fence)
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
