//! VM membership: the platform's VM list, and heartbeats that detect failures sooner.

use crate::events::{Event, emit};
use crate::external::{ListedVm, VmList};
use crate::fleet::InFlightCounts;
use crate::inventory::Name;
use crate::pause_detector::PauseDetector;
use crate::server::ControlStream;
use crate::service_registry::Service;
use crate::wire::{Heartbeat, ModelDemand};
use futures_util::future::select;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64;

/// The interval at which the VM list is fetched.
const LIST_INTERVAL: Duration = Duration::from_millis(500);
/// A peer whose last heartbeat is older than this is considered dead.
const PEER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Views of the VM list that are older than the freshest one by more than this are ignored.
const VIEW_MAX_LAG: Duration = Duration::from_millis(2_000);
/// How long requests wait after a pause of the process for this VM's state to be refreshed.
const REFRESH_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The interval at which a waiting request checks for refreshed state.
const REFRESH_POLL: Duration = Duration::from_millis(5);
/// The age from which a view of the log or of the VM list is reported as a warning.
const VIEW_WARNING_AGE: Duration = Duration::from_millis(5_000);

/// The state of a peer as seen by this VM.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    /// The address at which the peer accepts heartbeats.
    pub(crate) address: SocketAddr,
    /// The time of receipt and the content of the peer's last heartbeat.
    pub(crate) last_heard: Option<(Instant, Heartbeat)>,
    /// The time at which this VM sent the last heartbeat that the peer answered.
    request_sent_at: Option<Instant>,
    /// Whether the VM list marks the peer as leaving.
    pub(crate) listed_leaving: bool,
}

impl Peer {
    fn is_alive(&self) -> bool {
        self.last_heard
            .as_ref()
            .is_some_and(|(at, heartbeat)| at.elapsed() < PEER_TIMEOUT && !heartbeat.leaving)
    }

    fn new(address: SocketAddr) -> Self {
        Self {
            address,
            last_heard: None,
            request_sent_at: None,
            listed_leaving: false,
        }
    }

    /// The peer's view of the VM list: its present age, and the backend servers marked as leaving.
    fn list_view(&self) -> Option<(Duration, &[String])> {
        let (at, heartbeat) = self.last_heard.as_ref()?;
        let age = Duration::from_millis(heartbeat.list_age_ms?) + at.elapsed();
        (at.elapsed() < PEER_TIMEOUT).then_some((age, heartbeat.leaving_servers.as_slice()))
    }
}

/// The peers known to this VM, with their health and load.
#[derive(Debug)]
pub(crate) struct Membership {
    own: Name,
    peers: RefCell<BTreeMap<Name, Peer>>,
    listed_leaving_servers: RefCell<HashSet<Name>>,
    leaving_servers: RefCell<HashSet<Name>>,
    listed_at: Cell<Option<Instant>>,
    list_checked_at: Cell<Option<Instant>>,
    started_at: Instant,
    pauses: PauseDetector,
}

impl Service for Membership {
    const NAME: &'static str = "membership";
}

impl Membership {
    /// Creates a membership without peers for the VM `own`.
    pub(crate) fn new(own: Name) -> Self {
        Self {
            own,
            peers: RefCell::default(),
            listed_leaving_servers: RefCell::default(),
            leaving_servers: RefCell::default(),
            listed_at: Cell::new(None),
            list_checked_at: Cell::new(None),
            started_at: Instant::now(),
            pauses: PauseDetector::default(),
        }
    }

    /// Fetches the VM list at intervals until the process ends; calls `on_new_peer` for each peer
    /// that was not known before.
    pub(crate) async fn poll_list<V: VmList>(self: Rc<Self>, list: V, on_new_peer: impl Fn(Name)) {
        loop {
            let resumed = self.pauses.resumed();
            // The fetched list is at least as recent as the start of the fetch.
            let fetch_started_at = Instant::now();
            if let Some(vms) = list.fetch().await {
                self.listed_at.set(Some(fetch_started_at));
                for name in self.apply_list(vms) {
                    on_new_peer(name);
                }
            }
            self.list_checked_at.set(Some(fetch_started_at));
            select(pin!(compio::time::sleep(LIST_INTERVAL)), pin!(resumed)).await;
        }
    }

    /// Detects pauses of this process; after each, reconnects `control` to the log.
    pub(crate) async fn watch_pauses(self: Rc<Self>, control: Rc<ControlStream>) {
        let reconnect = async {
            loop {
                self.pauses.resumed().await;
                control.reconnect();
            }
        };
        select(pin!(self.pauses.run()), pin!(reconnect)).await;
    }

    /// Waits until this VM's state is newer than the last pause of its process.
    ///
    /// Returns at once if there was no pause. If the log or the VM list does not answer, answers
    /// of peers show whether the state is current. After the timeout, returns whether both the log
    /// and the VM list have at least been tried since the pause.
    pub(crate) async fn wait_until_current(&self, control: &ControlStream) -> bool {
        while let Some(resumed_at) = self.pauses.resumed_at() {
            if self.is_current_since(resumed_at, control) {
                return true;
            }
            if resumed_at.elapsed() >= REFRESH_TIMEOUT {
                return self.has_checked_since(resumed_at, control);
            }
            compio::time::sleep(REFRESH_POLL).await;
        }
        true
    }

    /// Whether a request routed to a backend server at `chosen_at` may still be sent there: the
    /// process was not paused since, and the server is in the inventory and not leaving.
    pub(crate) fn may_send(
        &self,
        control: &ControlStream,
        server: &str,
        chosen_at: Instant,
    ) -> bool {
        let paused_since = self
            .pauses
            .resumed_at()
            .is_some_and(|resumed_at| resumed_at > chosen_at);
        let stays = control.with(|control| {
            let server = control.inventory.backend_server(server);
            server.is_some_and(|server| !server.leaving)
        });
        !paused_since && stays && !self.is_server_leaving(server)
    }

    /// Whether this VM's state includes every change made before `moment`.
    ///
    /// That holds if the log and the VM list have both answered since. Otherwise it is assumed if
    /// both were tried since and peers that answered a heartbeat sent since have read no further
    /// in the control stream than this VM.
    fn is_current_since(&self, moment: Instant, control: &ControlStream) -> bool {
        let is_since = |at: Option<Instant>| at.is_some_and(|at| at >= moment);
        if is_since(control.confirmed_at()) && is_since(self.listed_at.get()) {
            return true;
        }
        let peers = self.peers.borrow();
        let mut answered = peers
            .values()
            .filter(|peer| is_since(peer.request_sent_at))
            .peekable();
        let any_answered = answered.peek().is_some();
        let behind = answered
            .filter_map(|peer| peer.last_heard.as_ref())
            .any(|(_, heartbeat)| heartbeat.control_offset > control.next_offset());
        any_answered && !behind && self.has_checked_since(moment, control)
    }

    /// Whether both the log and the VM list have been read since `moment`, even without success.
    fn has_checked_since(&self, moment: Instant, control: &ControlStream) -> bool {
        [control.checked_at(), self.list_checked_at.get()]
            .into_iter()
            .all(|at| at.is_some_and(|at| at >= moment))
    }

    /// Describes, for operators, what is wrong with this VM's view of the log, the VM list and its
    /// peers.
    pub(crate) fn warnings(&self, control: &ControlStream) -> Vec<String> {
        let mut warnings = Vec::new();
        let mut check = |what: &str, age: Option<Duration>| match age {
            None => warnings.push(format!("{what} has not answered since the start")),
            Some(age) if age >= VIEW_WARNING_AGE => {
                warnings.push(format!("{what} has not answered for {} s", age.as_secs()))
            }
            Some(_) => {}
        };
        check("the log", control.silence());
        check("the VM list", self.list_age());
        let listed = self.staying_peer_count();
        let live = self.live_peer_count();
        if live * 2 < listed {
            warnings.push(format!("only {live} of {listed} listed peers are alive"));
        }
        if !control.has_usable_state() {
            warnings.push("the configuration is not known".to_owned());
        }
        warnings
    }

    /// The number of peers that the VM list does not mark as leaving.
    fn staying_peer_count(&self) -> usize {
        let peers = self.peers.borrow();
        peers.values().filter(|peer| !peer.listed_leaving).count()
    }

    /// Applies a fetched VM list; returns the peers that are new.
    fn apply_list(&self, vms: Vec<ListedVm>) -> Vec<Name> {
        let mut peers = self.peers.borrow_mut();
        let mut leaving_servers = HashSet::new();
        let mut listed = HashSet::new();
        let mut new_peers = Vec::new();
        for vm in vms {
            let Some(address) = vm.peer_address else {
                if vm.leaving {
                    leaving_servers.insert(vm.name);
                }
                continue;
            };
            if vm.name == self.own {
                continue;
            }
            listed.insert(vm.name.clone());
            let peer = peers.entry(vm.name.clone()).or_insert_with(|| {
                new_peers.push(vm.name.clone());
                Peer::new(address)
            });
            peer.address = address;
            peer.listed_leaving = vm.leaving;
        }
        peers.retain(|name, _| listed.contains(name));
        *self.listed_leaving_servers.borrow_mut() = leaving_servers;
        drop(peers);
        self.merge_leaving_servers();
        new_peers
    }

    /// Records a heartbeat of a peer; returns the peer's name if it is new.
    ///
    /// `request_sent_at` is the time at which this VM sent the heartbeat that this one answers, if
    /// it is an answer. A VM that has never fetched the VM list learns its peers from the
    /// heartbeats that they send.
    pub(crate) fn record_heartbeat(
        &self,
        mut heartbeat: Heartbeat,
        request_sent_at: Option<Instant>,
    ) -> Option<Name> {
        let mut peers = self.peers.borrow_mut();
        let mut new_peer = None;
        if self.listed_at.get().is_none() && !peers.contains_key(heartbeat.vm.as_str()) {
            let name = Name::from(heartbeat.vm.as_str());
            let address = heartbeat.peer_address.parse().ok()?;
            peers.insert(name.clone(), Peer::new(address));
            new_peer = Some(name);
        }
        let peer = peers.get_mut(heartbeat.vm.as_str())?;
        if !peer.is_alive() && !heartbeat.leaving {
            emit(
                Event::PeerHealth,
                format_args!("vm={} up=true", heartbeat.vm),
            );
        }
        // Most heartbeats carry no demand: the one last received stays valid within a revision.
        if let Some((_, before)) = &mut peer.last_heard
            && heartbeat.demands.is_empty()
            && heartbeat.revision == before.revision
        {
            heartbeat.demands = std::mem::take(&mut before.demands);
        }
        peer.last_heard = Some((Instant::now(), heartbeat));
        peer.request_sent_at = request_sent_at.or(peer.request_sent_at);
        drop(peers);
        self.merge_leaving_servers();
        new_peer
    }

    /// Merges the leaving backend servers of all sufficiently fresh views of the VM list, this VM's
    /// and its peers'.
    fn merge_leaving_servers(&self) {
        let peers = self.peers.borrow();
        let views: Vec<_> = peers.values().filter_map(Peer::list_view).collect();
        let own_age = self.list_age();
        let freshest = views.iter().map(|(age, _)| *age).chain(own_age).min();
        let Some(max_age) = freshest.map(|age| age + VIEW_MAX_LAG) else {
            return;
        };
        let mut leaving_servers = HashSet::new();
        if own_age.is_some_and(|age| age <= max_age) {
            leaving_servers.extend(self.listed_leaving_servers.borrow().iter().cloned());
        }
        for (_, servers) in views.iter().filter(|(age, _)| *age <= max_age) {
            leaving_servers.extend(servers.iter().map(|server| Name::from(server.as_str())));
        }
        *self.leaving_servers.borrow_mut() = leaving_servers;
    }

    /// The backend servers that this VM's own view of the VM list marks as leaving.
    pub(crate) fn listed_leaving_servers(&self) -> Vec<String> {
        let servers = self.listed_leaving_servers.borrow();
        servers.iter().map(ToString::to_string).collect()
    }

    /// The address of the live peer that has read furthest in the control stream, if beyond
    /// `offset`.
    pub(crate) fn most_advanced_peer(&self, offset: u64) -> Option<SocketAddr> {
        let peers = self.peers.borrow();
        peers
            .values()
            .filter_map(|peer| {
                let (at, heartbeat) = peer.last_heard.as_ref()?;
                let is_fresh = at.elapsed() < PEER_TIMEOUT;
                let is_ahead = heartbeat.revision > 0 && heartbeat.control_offset > offset;
                (is_fresh && is_ahead).then_some((heartbeat.control_offset, peer.address))
            })
            .max()
            .map(|(_, address)| address)
    }

    /// The address at which a peer accepts heartbeats; `None` once the peer is no longer listed.
    pub(crate) fn peer_address(&self, name: &str) -> Option<SocketAddr> {
        self.peers.borrow().get(name).map(|peer| peer.address)
    }

    /// All peers with their last heartbeats.
    pub(crate) fn peers(&self) -> BTreeMap<Name, Peer> {
        self.peers.borrow().clone()
    }

    /// Whether a VM is alive by its last heartbeat; this VM always is.
    pub(crate) fn is_alive(&self, vm: &str) -> bool {
        vm == self.own || self.peers.borrow().get(vm).is_some_and(Peer::is_alive)
    }

    /// The number of other VMs that are known, alive or not.
    pub(crate) fn peer_count(&self) -> usize {
        self.peers.borrow().len()
    }

    /// The number of live peers.
    pub(crate) fn live_peer_count(&self) -> usize {
        self.peers
            .borrow()
            .values()
            .filter(|peer| peer.is_alive())
            .count()
    }

    /// Whether rendezvous hashing over the live VMs assigns `task` to this VM.
    ///
    /// False until the process has run for `PEER_TIMEOUT`: before, live peers may not have sent
    /// a heartbeat yet.
    pub(crate) fn is_assigned(&self, task: &str) -> bool {
        if self.started_at.elapsed() < PEER_TIMEOUT {
            return false;
        }
        let own_hash = rendezvous_hash(&self.own, task);
        let peers = self.peers.borrow();
        peers
            .iter()
            .filter(|(_, peer)| peer.is_alive())
            .all(|(name, _)| rendezvous_hash(name, task) < own_hash)
    }

    /// Whether a backend server is leaving, according to the merged VM lists of this VM and its
    /// peers.
    pub(crate) fn is_server_leaving(&self, server: &str) -> bool {
        self.leaving_servers.borrow().contains(server)
    }

    /// The age of this VM's view of the VM list; `None` if the list was never fetched.
    pub(crate) fn list_age(&self) -> Option<Duration> {
        self.listed_at.get().map(|at| at.elapsed())
    }

    /// The demand last reported by each live peer at this revision.
    pub(crate) fn peer_demands(&self, revision: u64) -> Vec<ModelDemand> {
        let peers = self.peers.borrow();
        peers
            .values()
            .filter(|peer| peer.is_alive())
            .filter_map(|peer| peer.last_heard.as_ref())
            .filter(|(_, heartbeat)| heartbeat.revision == revision)
            .flat_map(|(_, heartbeat)| heartbeat.demands.iter().copied())
            .collect()
    }

    /// The requests in flight by runner, summed over the live peers.
    pub(crate) fn peer_loads(&self) -> HashMap<Name, InFlightCounts> {
        let mut loads = HashMap::new();
        for peer in self.peers.borrow().values().filter(|peer| peer.is_alive()) {
            let Some((_, heartbeat)) = &peer.last_heard else {
                continue;
            };
            for load in &heartbeat.loads {
                let sum: &mut InFlightCounts =
                    loads.entry(load.runner.as_str().into()).or_default();
                *sum = *sum
                    + InFlightCounts {
                        all: load.in_flight,
                        batch: load.batch,
                    };
            }
        }
        loads
    }
}

fn rendezvous_hash(vm: &str, task: &str) -> u64 {
    xxh3_64(format!("{vm}\n{task}").as_bytes())
}
