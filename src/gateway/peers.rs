//! What other VMs told: their load, their demand, and who gives orders.

use crate::gateway::Weights;
use crate::gateway::digest::{Crashes, Digest, SentPrompt};
use crate::gateway::fleet::Holding;
use crate::inventory::Name;
use crate::signal::Signal;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tracing::{info, warn};

/// After so long without a message a peer counts as gone.
const SILENCE_LIMIT: Duration = Duration::from_millis(1_500);
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
    is_urgent: Signal,
    crashes: RefCell<Vec<(Crashes, Instant)>>,
    /// Prompts that peers are yet to be told of.
    prompts: RefCell<Vec<SentPrompt>>,
    has_prompts: Signal,
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

    /// Tells peers of a prompt that is being sent to a runner.
    pub(crate) fn tell_prompt(&self, server: &Name, tokens: u32) {
        self.prompts.borrow_mut().push(SentPrompt {
            server: server.to_string(),
            tokens,
        });
        self.has_prompts.notify();
    }

    /// Takes prompts that peers are yet to be told of, `limit` at most.
    pub(super) fn take_prompts(&self, limit: usize) -> Vec<SentPrompt> {
        let mut prompts = self.prompts.borrow_mut();
        let count = prompts.len().min(limit);
        prompts.drain(..count).collect()
    }

    /// Waits for a prompt to tell of.
    pub(super) fn prompts_wait(&self) -> impl Future<Output = ()> + use<> {
        self.has_prompts.wait()
    }

    /// Waits for a change that peers are told of out of turn.
    pub(super) fn urgent_wait(&self) -> impl Future<Output = ()> + use<> {
        self.is_urgent.wait()
    }

    /// The crashes that peers are told of.
    pub(super) fn crashes(&self) -> Vec<Crashes> {
        let crashes = self.crashes.borrow();
        crashes.iter().map(|(crash, _)| *crash).collect()
    }

    /// Takes over what a peer told of itself.
    pub(super) fn take(&self, sender: SocketAddr, digest: &Digest, now: Instant) {
        let mut heard = self.heard.borrow_mut();
        let held = heard.get(&sender).is_some_and(|peer| peer.fence > 0);
        if digest.fence > 0 {
            self.has_released.set(false);
        } else if held {
            self.has_released.set(true);
        }
        if digest.is_leaving {
            heard.remove(&sender);
            return;
        }
        if !heard.contains_key(&sender) {
            info!(peer = %sender, "peer heard");
        }
        heard.insert(sender, Peer::read(digest, now));
        self.most_seen
            .set(self.most_seen.get().max(heard.len() + 1));
    }

    /// Where messages go: to the group's members and to whoever was heard.
    pub(super) fn targets(&self) -> Vec<SocketAddr> {
        let mut targets = self.members.borrow().clone();
        targets.extend(self.heard.borrow().keys());
        targets.sort();
        targets.dedup();
        targets
    }

    /// Forgets peers that fell silent, and crashes that all have been told of.
    pub(super) fn forget_silent(&self, now: Instant) {
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
