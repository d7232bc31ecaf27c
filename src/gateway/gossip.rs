//! Sending and receiving the datagrams between VMs.
//!
//! A digest stands for itself and a later one replaces it, so that a lost one costs only its
//! age. Messages about prompts add up at their receivers; what a lost one would have added is
//! soon read and past.

use crate::gateway::digest::{Digest, ModelHolding, ServerHoldings, ServerRequests, WeightsDemand};
use crate::gateway::fleet::Incarnation;
use crate::gateway::peers::holding;
use crate::gateway::state::State;
use crate::inventory::Name;
use compio::BufResult;
use compio::net::UdpSocket;
use prost::Message;
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
/// The pause between two messages of prompts for each VM they go to: a few milliseconds for
/// ten VMs, well below what a runner reads a prompt in, and 1,000 datagrams a second and VM
/// at most however many there are.
const PROMPTS_PAUSE_A_PEER: Duration = Duration::from_millis(1);
/// Prompts that one message tells of at most, some 30 bytes each: they fit one datagram.
const MAX_PROMPTS: usize = 40;
/// The pause after a failed receipt.
const RECEIVE_PAUSE: Duration = Duration::from_millis(50);
/// Bytes of a message that fit one datagram on any path.
const MAX_MESSAGE_BYTES: usize = 1_300;
/// The largest message that is received.
const RECEIVE_BYTES: usize = 64 * 1024;

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
            let urgent = self.state.peers.urgent_wait();
            for message in self.messages() {
                self.send_to_all(&message).await;
            }
            compio::time::sleep(MIN_INTERVAL).await;
            // Either a change or the end of the interval begins the next turn.
            let _ = compio::time::timeout(INTERVAL - MIN_INTERVAL, urgent).await;
            self.state.peers.forget_silent(Instant::now());
        }
    }

    /// Tells peers of prompts as they are sent to runners, until the process ends.
    pub(crate) async fn send_prompts(self: Rc<Self>) {
        loop {
            let sent = self.state.peers.prompts_wait();
            let prompts = self.state.peers.take_prompts(MAX_PROMPTS);
            if prompts.is_empty() {
                sent.await;
                continue;
            }
            let message = Digest {
                boot: self.boot,
                is_partial: true,
                prompts,
                ..Digest::default()
            };
            self.send_to_all(&message).await;
            let peers = self.state.peers.vms() as u32;
            compio::time::sleep(PROMPTS_PAUSE_A_PEER * peers).await;
        }
    }

    async fn send_to_all(&self, message: &Digest) {
        let bytes = message.encode_to_vec();
        for target in self.state.peers.targets() {
            if target == self.state.settings.peer_address {
                continue;
            }
            self.state.metrics.peer_messages.inc();
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
            crashes: state.peers.crashes(),
            prompts: Vec::new(),
            is_partial: false,
        }
    }

    fn holdings(&self) -> Vec<ServerHoldings> {
        let view = self.state.leader_view.borrow();
        let view = view.iter().map(|(run, holdings)| ServerHoldings {
            server: run.id.to_string(),
            started_ms: run.started_ms,
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
            if suspects.note_crashes(crash.fingerprint, crash.crashes, now) {
                info!(peer = %sender, fingerprint = crash.fingerprint, crashes = crash.crashes, "crash told");
            }
        }
        self.take_holdings(&digest, now);
        self.take_prompts(&digest, now);
        if digest.is_partial {
            return;
        }
        self.state.peers.take(sender, &digest, now);
    }

    fn take_prompts(&self, digest: &Digest, now: Instant) {
        for prompt in &digest.prompts {
            if let Some(server) = self.state.fleet.server(&prompt.server) {
                server.backlog.note(prompt.tokens, now);
            }
        }
    }

    fn take_holdings(&self, digest: &Digest, now: Instant) {
        if digest.holdings.is_empty() {
            return;
        }
        for told in &digest.holdings {
            let run = Incarnation {
                id: told.server.as_str().into(),
                started_ms: told.started_ms,
            };
            let Some(server) = self.state.fleet.run(&run) else {
                continue;
            };
            let models = told.models.iter();
            let holdings = models.map(|it| holding(&it.model, it.version, &it.adapters));
            server.note_leader_view(holdings.collect(), now);
        }
        self.state.changed.notify();
    }
}
