//! Which VMs live: the platform's list, and heartbeats that tell sooner.

use crate::events::{Event, emit};
use crate::external::{ListedVm, VmList};
use crate::fleet::Load;
use crate::inventory::Name;
use crate::pause_detector::PauseWatch;
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

/// How often the list is fetched.
const LIST_INTERVAL: Duration = Duration::from_millis(500);
/// A peer not heard for this long is taken for dead.
const PEER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Views of the VM list this much older than the freshest one do not count.
const VIEW_SLACK: Duration = Duration::from_millis(2_000);
/// How long requests wait after a pause until this VM knows the present state.
const REFRESH_LIMIT: Duration = Duration::from_millis(2_500);
/// How often a waiting request looks.
const REFRESH_POLL: Duration = Duration::from_millis(5);
/// A view older than this is worth a warning.
const VIEW_WARNING: Duration = Duration::from_millis(5_000);

/// A peer as this VM sees it.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    /// Where it takes heartbeats.
    pub(crate) address: SocketAddr,
    /// What it last said, and when.
    pub(crate) heard: Option<(Instant, Heartbeat)>,
    /// When the last question that it answered was sent.
    asked_at: Option<Instant>,
    /// Whether the list marks it as leaving.
    pub(crate) listed_leaving: bool,
}

impl Peer {
    fn is_alive(&self) -> bool {
        self.heard
            .as_ref()
            .is_some_and(|(at, heartbeat)| at.elapsed() < PEER_TIMEOUT && !heartbeat.leaving)
    }

    fn new(address: SocketAddr) -> Self {
        Self {
            address,
            heard: None,
            asked_at: None,
            listed_leaving: false,
        }
    }

    /// The peer's view of the VM list: its age now, and the servers it marks as leaving.
    fn view(&self) -> Option<(Duration, &[String])> {
        let (at, heartbeat) = self.heard.as_ref()?;
        let age = Duration::from_millis(heartbeat.list_age_ms?) + at.elapsed();
        (at.elapsed() < PEER_TIMEOUT).then_some((age, heartbeat.leaving_servers.as_slice()))
    }
}

/// The VMs known to this one.
#[derive(Debug)]
pub(crate) struct Membership {
    own: Name,
    peers: RefCell<BTreeMap<Name, Peer>>,
    listed_leaving: RefCell<HashSet<Name>>,
    leaving_servers: RefCell<HashSet<Name>>,
    listed_at: Cell<Option<Instant>>,
    list_checked_at: Cell<Option<Instant>>,
    started_at: Instant,
    pauses: PauseWatch,
}

impl Service for Membership {
    const NAME: &'static str = "membership";
}

impl Membership {
    /// A view that knows only this VM.
    pub(crate) fn new(own: Name) -> Self {
        Self {
            own,
            peers: RefCell::default(),
            listed_leaving: RefCell::default(),
            leaving_servers: RefCell::default(),
            listed_at: Cell::new(None),
            list_checked_at: Cell::new(None),
            started_at: Instant::now(),
            pauses: PauseWatch::default(),
        }
    }

    /// Follows the VM list until the process ends; calls `found` for each new peer.
    pub(crate) async fn follow<V: VmList>(self: Rc<Self>, list: V, found: impl Fn(Name)) {
        loop {
            let woken = self.pauses.woken();
            // An answer shows the list as it was asked for, or later.
            let begun = Instant::now();
            if let Some(vms) = list.fetch().await {
                self.listed_at.set(Some(begun));
                for name in self.take_list(vms) {
                    found(name);
                }
            }
            self.list_checked_at.set(Some(begun));
            select(pin!(compio::time::sleep(LIST_INTERVAL)), pin!(woken)).await;
        }
    }

    /// Watches for pauses of this process; `control` is read anew after each.
    pub(crate) async fn watch_pauses(self: Rc<Self>, control: Rc<ControlStream>) {
        let follow = async {
            loop {
                self.pauses.woken().await;
                control.reconnect();
            }
        };
        select(pin!(self.pauses.run()), pin!(follow)).await;
    }

    /// Waits until what this VM knows is newer than its last pause; false if it cannot be.
    ///
    /// Without a pause this is no wait. Where the platform does not answer, the
    /// peers are asked; where nobody does, what is known has to do.
    pub(crate) async fn refreshed(&self, control: &ControlStream) -> bool {
        while let Some(woke_at) = self.pauses.woke_at() {
            if self.knows_since(woke_at, control) {
                return true;
            }
            if woke_at.elapsed() >= REFRESH_LIMIT {
                return self.has_checked_since(woke_at, control);
            }
            compio::time::sleep(REFRESH_POLL).await;
        }
        true
    }

    /// Whether work chosen for a backend server at `chosen_at` may still be sent there.
    pub(crate) fn may_send(
        &self,
        control: &ControlStream,
        server: &str,
        chosen_at: Instant,
    ) -> bool {
        let paused_since = self
            .pauses
            .woke_at()
            .is_some_and(|woke_at| woke_at > chosen_at);
        let stays = control.with(|control| {
            let server = control.inventory.backend_server(server);
            server.is_some_and(|server| !server.leaving)
        });
        !paused_since && stays && !self.is_server_leaving(server)
    }

    /// Whether nothing newer than what is known was there at `moment`.
    fn knows_since(&self, moment: Instant, control: &ControlStream) -> bool {
        let since = |at: Option<Instant>| at.is_some_and(|at| at >= moment);
        if since(control.confirmed_at()) && since(self.listed_at.get()) {
            return true;
        }
        let peers = self.peers.borrow();
        let mut asked = peers
            .values()
            .filter(|peer| since(peer.asked_at))
            .peekable();
        let any_asked = asked.peek().is_some();
        let behind = asked
            .filter_map(|peer| peer.heard.as_ref())
            .any(|(_, heartbeat)| heartbeat.control_offset > control.next_offset());
        any_asked && !behind && self.has_checked_since(moment, control)
    }

    fn has_checked_since(&self, moment: Instant, control: &ControlStream) -> bool {
        [control.checked_at(), self.list_checked_at.get()]
            .into_iter()
            .all(|at| at.is_some_and(|at| at >= moment))
    }

    /// What is wrong with this VM's view of the others, in plain sentences.
    pub(crate) fn warnings(&self, control: &ControlStream) -> Vec<String> {
        let mut warnings = Vec::new();
        let mut check = |what: &str, age: Option<Duration>| match age {
            None => warnings.push(format!("{what} has not answered since the start")),
            Some(age) if age >= VIEW_WARNING => {
                warnings.push(format!("{what} has not answered for {} s", age.as_secs()))
            }
            Some(_) => {}
        };
        check("the log", control.silence());
        check("the VM list", self.list_age());
        let listed = self.staying_peers();
        let live = self.live_peers();
        if live * 2 < listed {
            warnings.push(format!("only {live} of {listed} listed peers are heard"));
        }
        if !control.has_usable_state() {
            warnings.push("the configuration is not known".to_owned());
        }
        warnings
    }

    fn staying_peers(&self) -> usize {
        let peers = self.peers.borrow();
        peers.values().filter(|peer| !peer.listed_leaving).count()
    }

    /// Takes over a list; returns the peers that are new.
    fn take_list(&self, vms: Vec<ListedVm>) -> Vec<Name> {
        let mut peers = self.peers.borrow_mut();
        let mut leaving_servers = HashSet::new();
        let mut listed = HashSet::new();
        let mut new = Vec::new();
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
                new.push(vm.name.clone());
                Peer::new(address)
            });
            peer.address = address;
            peer.listed_leaving = vm.leaving;
        }
        peers.retain(|name, _| listed.contains(name));
        *self.listed_leaving.borrow_mut() = leaving_servers;
        drop(peers);
        self.merge_marks();
        new
    }

    /// Notes a heartbeat of a peer; returns the peer if it is new.
    ///
    /// `asked_at` says when the question was sent that the heartbeat answers.
    /// A VM that never saw the list learns its peers from those that call it.
    pub(crate) fn note(&self, mut heartbeat: Heartbeat, asked_at: Option<Instant>) -> Option<Name> {
        let mut peers = self.peers.borrow_mut();
        let mut new = None;
        if self.listed_at.get().is_none() && !peers.contains_key(heartbeat.vm.as_str()) {
            let name = Name::from(heartbeat.vm.as_str());
            let address = heartbeat.peer_address.parse().ok()?;
            peers.insert(name.clone(), Peer::new(address));
            new = Some(name);
        }
        let peer = peers.get_mut(heartbeat.vm.as_str())?;
        if !peer.is_alive() && !heartbeat.leaving {
            emit(
                Event::PeerHealth,
                format_args!("vm={} up=true", heartbeat.vm),
            );
        }
        if let Some((_, before)) = &mut peer.heard
            && heartbeat.demands.is_empty()
            && heartbeat.revision == before.revision
        {
            heartbeat.demands = std::mem::take(&mut before.demands);
        }
        peer.heard = Some((Instant::now(), heartbeat));
        peer.asked_at = asked_at.or(peer.asked_at);
        drop(peers);
        self.merge_marks();
        new
    }

    /// Joins what this VM and its peers know of leaving servers, as far as it is fresh.
    fn merge_marks(&self) {
        let peers = self.peers.borrow();
        let views: Vec<_> = peers.values().filter_map(Peer::view).collect();
        let own_age = self.list_age();
        let freshest = views.iter().map(|(age, _)| *age).chain(own_age).min();
        let Some(oldest) = freshest.map(|age| age + VIEW_SLACK) else {
            return;
        };
        let mut marks = HashSet::new();
        if own_age.is_some_and(|age| age <= oldest) {
            marks.extend(self.listed_leaving.borrow().iter().cloned());
        }
        for (_, servers) in views.iter().filter(|(age, _)| *age <= oldest) {
            marks.extend(servers.iter().map(|server| Name::from(server.as_str())));
        }
        *self.leaving_servers.borrow_mut() = marks;
    }

    /// The servers that this VM's own view of the list marks as leaving.
    pub(crate) fn listed_leaving(&self) -> Vec<String> {
        let servers = self.listed_leaving.borrow();
        servers.iter().map(ToString::to_string).collect()
    }

    /// The live peer that has read furthest, if beyond `offset`.
    pub(crate) fn furthest_peer(&self, offset: u64) -> Option<SocketAddr> {
        let peers = self.peers.borrow();
        peers
            .values()
            .filter_map(|peer| {
                let (at, heartbeat) = peer.heard.as_ref()?;
                let fresh = at.elapsed() < PEER_TIMEOUT;
                let ahead = heartbeat.revision > 0 && heartbeat.control_offset > offset;
                (fresh && ahead).then_some((heartbeat.control_offset, peer.address))
            })
            .max()
            .map(|(_, address)| address)
    }

    /// Where a peer takes heartbeats; `None` once it is not listed any more.
    pub(crate) fn peer_address(&self, name: &str) -> Option<SocketAddr> {
        self.peers.borrow().get(name).map(|peer| peer.address)
    }

    /// The peers, as last heard.
    pub(crate) fn peers(&self) -> BTreeMap<Name, Peer> {
        self.peers.borrow().clone()
    }

    /// Whether a VM lives, as far as is known; this one does.
    pub(crate) fn is_alive(&self, vm: &str) -> bool {
        vm == self.own || self.peers.borrow().get(vm).is_some_and(Peer::is_alive)
    }

    /// The number of peers that live.
    pub(crate) fn live_peers(&self) -> usize {
        self.peers
            .borrow()
            .values()
            .filter(|peer| peer.is_alive())
            .count()
    }

    /// Whether this VM comes first among the live ones for a task, by rendezvous hashing.
    pub(crate) fn is_first_for(&self, task: &str) -> bool {
        if self.started_at.elapsed() < PEER_TIMEOUT {
            return false;
        }
        let own = rendezvous(&self.own, task);
        let peers = self.peers.borrow();
        peers
            .iter()
            .filter(|(_, peer)| peer.is_alive())
            .all(|(name, _)| rendezvous(name, task) < own)
    }

    /// Whether a backend server is leaving, by the VM list as this VM or a peer knows it.
    pub(crate) fn is_server_leaving(&self, server: &str) -> bool {
        self.leaving_servers.borrow().contains(server)
    }

    /// How old the view of the VM list is; `None` if there never was one.
    pub(crate) fn list_age(&self) -> Option<Duration> {
        self.listed_at.get().map(|at| at.elapsed())
    }

    /// What the live peers at this revision last said of their demand.
    pub(crate) fn peer_demands(&self, revision: u64) -> Vec<ModelDemand> {
        let peers = self.peers.borrow();
        peers
            .values()
            .filter(|peer| peer.is_alive())
            .filter_map(|peer| peer.heard.as_ref())
            .filter(|(_, heartbeat)| heartbeat.revision == revision)
            .flat_map(|(_, heartbeat)| heartbeat.demands.iter().copied())
            .collect()
    }

    /// Requests in flight by runner, summed over the peers that live.
    pub(crate) fn peer_loads(&self) -> HashMap<Name, Load> {
        let mut loads = HashMap::new();
        for peer in self.peers.borrow().values().filter(|peer| peer.is_alive()) {
            let Some((_, heartbeat)) = &peer.heard else {
                continue;
            };
            for load in &heartbeat.loads {
                let sum: &mut Load = loads.entry(load.runner.as_str().into()).or_default();
                *sum = *sum
                    + Load {
                        all: load.in_flight,
                        batch: load.batch,
                    };
            }
        }
        loads
    }
}

fn rendezvous(vm: &str, task: &str) -> u64 {
    xxh3_64(format!("{vm}\n{task}").as_bytes())
}
