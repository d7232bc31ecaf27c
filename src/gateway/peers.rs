//! What VMs tell each other, in datagrams: load, demand, and what the leading VM knows.
//!
//! Each message stands for itself and a later one replaces it, so that a lost one costs
//! only its age.

use crate::gateway::Weights;
use crate::gateway::fleet::Holding;
use crate::gateway::state::State;
use crate::inventory::Name;
use compio::BufResult;
use compio::net::UdpSocket;
use prost::Message;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::{info, warn};

/// The time between two messages to each peer: load on a runner changes by a few requests
/// in it, since a stream lasts seconds.
const INTERVAL: Duration = Duration::from_millis(200);
/// The shortest time between a message and one that is sent out of turn.
const MIN_INTERVAL: Duration = Duration::from_millis(20);
/// After so long without a message a peer counts as gone.
const SILENCE_LIMIT: Duration = Duration::from_millis(1_500);
/// The pause after a failed receipt.
const RECEIVE_PAUSE: Duration = Duration::from_millis(50);
/// Bytes of a message that fit one datagram on any path.
const MAX_MESSAGE_BYTES: usize = 1_300;
/// The largest message that is received.
const RECEIVE_BYTES: usize = 64 * 1024;

/// What one VM tells the others.
#[derive(Clone, PartialEq, Message)]
struct Digest {
    /// The sender's process.
    #[prost(uint64, tag = "1")]
    boot: u64,
    /// Whether the sender is about to leave.
    #[prost(bool, tag = "2")]
    is_leaving: bool,
    /// The sender's requests in flight; servers without any are left out.
    #[prost(message, repeated, tag = "3")]
    loads: Vec<ServerRequests>,
    /// The demand at the sender.
    #[prost(message, repeated, tag = "4")]
    demands: Vec<WeightsDemand>,
    /// What runners hold, if the sender leads.
    #[prost(message, repeated, tag = "5")]
    holdings: Vec<ServerHoldings>,
    /// Crashes with requests aboard that the sender saw lately.
    #[prost(message, repeated, tag = "6")]
    crashes: Vec<Crashes>,
    /// The fence under which the sender gives orders; 0 if it gives none.
    #[prost(uint64, tag = "8")]
    fence: u64,
    /// Whether loads and demands are left out of this message.
    #[prost(bool, tag = "7")]
    is_partial: bool,
}

#[derive(Clone, PartialEq, Message)]
struct ServerRequests {
    #[prost(string, tag = "1")]
    server: String,
    #[prost(uint32, tag = "2")]
    in_flight: u32,
    /// The model that they ask for; empty for plain calls.
    #[prost(string, tag = "3")]
    model: String,
}

#[derive(Clone, PartialEq, Message)]
struct WeightsDemand {
    #[prost(string, tag = "1")]
    model: String,
    #[prost(string, optional, tag = "2")]
    adapter: Option<String>,
    /// Tokens a second.
    #[prost(uint32, tag = "3")]
    tokens_per_s: u32,
    /// Requests that wait for a runner that holds the weights.
    #[prost(uint32, tag = "4")]
    waiting: u32,
}

#[derive(Clone, PartialEq, Message)]
struct ServerHoldings {
    #[prost(string, tag = "1")]
    server: String,
    #[prost(message, repeated, tag = "2")]
    models: Vec<ModelHolding>,
}

#[derive(Clone, PartialEq, Message)]
struct ModelHolding {
    #[prost(string, tag = "1")]
    model: String,
    #[prost(uint64, tag = "2")]
    version: u64,
    #[prost(string, repeated, tag = "3")]
    adapters: Vec<String>,
}

#[derive(Clone, Copy, PartialEq, Message)]
struct Crashes {
    #[prost(fixed64, tag = "1")]
    fingerprint: u64,
    #[prost(uint32, tag = "2")]
    crashes: u32,
}

/// The demand for some weights.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct WantedRate {
    /// Tokens a second.
    pub(crate) tokens_per_s: f64,
    /// Requests that wait for the weights.
    pub(crate) waiting: u32,
}

#[derive(Debug)]
struct Peer {
    heard_at: Instant,
    fence: u64,
    loads: HashMap<Name, Vec<(Name, u32)>>,
    demands: Vec<(Weights, WantedRate)>,
}

/// All other VMs, as far as they are heard.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    heard: RefCell<HashMap<SocketAddr, Peer>>,
    members: RefCell<Vec<SocketAddr>>,
    most_seen: Cell<usize>,
    has_released: Cell<bool>,
    is_urgent: crate::signal::Signal,
    crashes: RefCell<Vec<(Crashes, Instant)>>,
}

impl Peers {
    /// Takes over the members of the group.
    pub(crate) fn set_members(&self, members: Vec<SocketAddr>) {
        self.most_seen
            .set(self.most_seen.get().max(members.len() + 1));
        *self.members.borrow_mut() = members;
    }

    /// How many VMs there are at most, this one included.
    pub(crate) fn vms(&self) -> usize {
        let heard = self.heard.borrow().len() + 1;
        self.most_seen.get().max(heard)
    }

    /// Requests of all other VMs on a server.
    pub(crate) fn in_flight(&self, server: &Name) -> u32 {
        let heard = self.heard.borrow();
        let loads = heard.values().filter_map(|peer| peer.loads.get(server));
        loads.flatten().map(|(_, count)| count).sum()
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
    pub(crate) fn has_released(&self) -> bool {
        self.has_released.get()
    }

    /// The demand at all other VMs.
    pub(crate) fn demands(&self) -> Vec<(Weights, WantedRate)> {
        let heard = self.heard.borrow();
        heard
            .values()
            .flat_map(|peer| peer.demands.iter().cloned())
            .collect()
    }

    /// Tells peers of a change at once.
    pub(crate) fn hurry(&self) {
        self.is_urgent.notify();
    }

    /// Tells peers of a crash with a request aboard.
    pub(crate) fn tell_crash(&self, fingerprint: u64, crashes: u32, now: Instant) {
        let crash = Crashes {
            fingerprint,
            crashes,
        };
        self.crashes.borrow_mut().push((crash, now));
        self.hurry();
    }

    fn targets(&self) -> Vec<SocketAddr> {
        let mut targets = self.members.borrow().clone();
        targets.extend(self.heard.borrow().keys());
        targets.sort();
        targets.dedup();
        targets
    }

    fn forget_silent(&self, now: Instant) {
        self.heard.borrow_mut().retain(|address, peer| {
            let is_heard = now.duration_since(peer.heard_at) < SILENCE_LIMIT;
            if !is_heard {
                warn!(peer = %address, "peer lost");
            }
            is_heard
        });
        let mut crashes = self.crashes.borrow_mut();
        crashes.retain(|(_, at)| now.duration_since(*at) < SILENCE_LIMIT);
    }
}

/// Sends and receives this VM's messages.
pub(crate) struct Gossip {
    state: Rc<State>,
    socket: UdpSocket,
    boot: u64,
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
        }))
    }

    /// Sends messages until the process ends.
    pub(crate) async fn send(self: Rc<Self>) {
        loop {
            let urgent = self.state.peers.is_urgent.wait();
            for message in self.messages() {
                self.send_to_all(&message).await;
            }
            compio::time::sleep(MIN_INTERVAL).await;
            // Either a change or the end of the interval begins the next turn.
            let _ = compio::time::timeout(INTERVAL - MIN_INTERVAL, urgent).await;
            self.state.peers.forget_silent(Instant::now());
        }
    }

    async fn send_to_all(&self, message: &Digest) {
        let bytes = message.encode_to_vec();
        for target in self.state.peers.targets() {
            if target == self.state.settings.peer_address {
                continue;
            }
            let BufResult(sent, _) = self.socket.send_to(bytes.clone(), target).await;
            if let Err(error) = sent {
                tracing::debug!(peer = %target, %error, "peer message not sent");
            }
        }
    }

    /// The digest, in as many messages as datagrams need.
    fn messages(&self) -> Vec<Digest> {
        let mut messages = vec![self.digest()];
        for holdings in self.holdings() {
            let last = messages.last_mut().expect("there is one at least");
            last.holdings.push(holdings);
            if last.encoded_len() > MAX_MESSAGE_BYTES && last.holdings.len() > 1 {
                let holdings = last.holdings.pop().expect("one was just pushed");
                messages.push(Digest {
                    boot: self.boot,
                    is_partial: true,
                    holdings: vec![holdings],
                    ..Digest::default()
                });
            }
        }
        messages
    }

    fn digest(&self) -> Digest {
        let state = &self.state;
        let crashes = state.peers.crashes.borrow();
        Digest {
            boot: self.boot,
            is_leaving: state.shutdown.is_leaving(),
            loads: state
                .fleet
                .servers()
                .iter()
                .flat_map(|server| {
                    let counts = server.in_flight_by_model().into_iter();
                    counts.map(|(model, in_flight)| ServerRequests {
                        server: server.id.to_string(),
                        in_flight,
                        model: model.to_string(),
                    })
                })
                .collect(),
            demands: state
                .own_demand(Instant::now())
                .into_iter()
                .map(|(weights, rate)| WeightsDemand {
                    model: weights.model.to_string(),
                    adapter: weights.adapter.map(|adapter| adapter.to_string()),
                    tokens_per_s: rate.tokens_per_s as u32,
                    waiting: rate.waiting,
                })
                .collect(),
            holdings: Vec::new(),
            fence: state.fence.get(),
            crashes: crashes.iter().map(|(crash, _)| *crash).collect(),
            is_partial: false,
        }
    }

    fn holdings(&self) -> Vec<ServerHoldings> {
        let view = self.state.leader_view.borrow();
        let view = view.iter().map(|(server, holdings)| ServerHoldings {
            server: server.to_string(),
            models: holdings
                .iter()
                .map(|holding| ModelHolding {
                    model: holding.model.to_string(),
                    version: holding.version,
                    adapters: holding.adapters.iter().map(Name::to_string).collect(),
                })
                .collect(),
        });
        view.collect()
    }

    /// Receives messages until the process ends.
    pub(crate) async fn receive(self: Rc<Self>) {
        loop {
            let buffer = Vec::with_capacity(RECEIVE_BYTES);
            let BufResult(received, buffer) = self.socket.recv_from(buffer).await;
            match received {
                Ok((_, sender)) => self.take(sender, &buffer),
                // A peer that is gone makes the next receipt fail; nothing was lost.
                Err(_) => compio::time::sleep(RECEIVE_PAUSE).await,
            }
        }
    }

    fn take(&self, sender: SocketAddr, bytes: &[u8]) {
        let digest = match Digest::decode(bytes) {
            Ok(digest) => digest,
            Err(error) => {
                warn!(peer = %sender, %error, "peer message unreadable");
                return;
            }
        };
        let now = Instant::now();
        for crash in &digest.crashes {
            let suspects = &self.state.suspects;
            suspects.note_crashes(crash.fingerprint, crash.crashes, now);
        }
        self.take_holdings(&digest, now);
        if digest.is_partial {
            return;
        }
        let mut heard = self.state.peers.heard.borrow_mut();
        let held = heard.get(&sender).is_some_and(|peer| peer.fence > 0);
        if digest.fence > 0 {
            self.state.peers.has_released.set(false);
        } else if held {
            self.state.peers.has_released.set(true);
        }
        if digest.is_leaving {
            heard.remove(&sender);
            return;
        }
        if !heard.contains_key(&sender) {
            info!(peer = %sender, "peer heard");
        }
        heard.insert(sender, Peer::read(&digest, now));
        let vms = heard.len() + 1;
        let most_seen = &self.state.peers.most_seen;
        most_seen.set(most_seen.get().max(vms));
    }

    fn take_holdings(&self, digest: &Digest, now: Instant) {
        if digest.holdings.is_empty() {
            return;
        }
        for told in &digest.holdings {
            let Some(server) = self.state.fleet.server(&told.server) else {
                continue;
            };
            let models = told.models.iter();
            let holdings = models.map(|it| holding(&it.model, it.version, &it.adapters));
            server.note_leader_view(holdings.collect(), now);
        }
        self.state.changed.notify();
    }
}

impl Peer {
    fn read(digest: &Digest, now: Instant) -> Self {
        let mut loads: HashMap<Name, Vec<(Name, u32)>> = HashMap::new();
        for load in &digest.loads {
            let of_server = loads.entry(load.server.as_str().into()).or_default();
            of_server.push((load.model.as_str().into(), load.in_flight));
        }
        let demands = digest.demands.iter();
        Self {
            heard_at: now,
            fence: digest.fence,
            loads,
            demands: demands
                .map(|demand| {
                    let weights = Weights {
                        model: demand.model.as_str().into(),
                        adapter: demand.adapter.as_deref().map(Name::from),
                    };
                    let rate = WantedRate {
                        tokens_per_s: f64::from(demand.tokens_per_s),
                        waiting: demand.waiting,
                    };
                    (weights, rate)
                })
                .collect(),
        }
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
