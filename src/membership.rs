//! Which VMs live: the platform's list, and heartbeats that tell sooner.

use crate::events::{Event, emit};
use crate::fleet::Load;
use crate::inventory::Name;
use crate::kernel::Service;
use crate::platform::{ListedVm, VmList};
use crate::wire::{Heartbeat, ModelDemand};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64;

/// How often the list is fetched.
const LIST_INTERVAL: Duration = Duration::from_millis(500);
/// A peer not heard for this long is taken for dead.
const PEER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A peer as this VM sees it.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    /// Where it takes heartbeats.
    pub(crate) address: SocketAddr,
    /// What it last said, and when.
    pub(crate) heard: Option<(Instant, Heartbeat)>,
    /// Whether the list marks it as leaving.
    pub(crate) listed_leaving: bool,
}

impl Peer {
    fn is_alive(&self) -> bool {
        self.heard
            .as_ref()
            .is_some_and(|(at, heartbeat)| at.elapsed() < PEER_TIMEOUT && !heartbeat.leaving)
    }
}

/// The VMs known to this one.
#[derive(Debug)]
pub(crate) struct Membership {
    own: Name,
    peers: RefCell<BTreeMap<Name, Peer>>,
    leaving_servers: RefCell<HashSet<Name>>,
    listed_at: Cell<Option<Instant>>,
    started_at: Instant,
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
            leaving_servers: RefCell::default(),
            listed_at: Cell::new(None),
            started_at: Instant::now(),
        }
    }

    /// Follows the VM list until the process ends; calls `found` for each new peer.
    pub(crate) async fn follow<V: VmList>(self: Rc<Self>, list: V, found: impl Fn(Name)) {
        loop {
            if let Some(vms) = list.fetch().await {
                self.listed_at.set(Some(Instant::now()));
                for name in self.take_list(vms) {
                    found(name);
                }
            }
            compio::time::sleep(LIST_INTERVAL).await;
        }
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
                Peer {
                    address,
                    heard: None,
                    listed_leaving: false,
                }
            });
            peer.address = address;
            peer.listed_leaving = vm.leaving;
        }
        peers.retain(|name, _| listed.contains(name));
        *self.leaving_servers.borrow_mut() = leaving_servers;
        new
    }

    /// Notes a heartbeat of a peer.
    pub(crate) fn note(&self, mut heartbeat: Heartbeat) {
        let mut peers = self.peers.borrow_mut();
        if let Some(peer) = peers.get_mut(heartbeat.vm.as_str()) {
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
        }
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

    /// Whether the platform lists a backend server as leaving.
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
