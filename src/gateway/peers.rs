//! What other VMs told: their load, their demand, and who gives orders.

use crate::gateway::Weights;
use crate::gateway::digest::{Crashes, Digest, Followed, SentPrompt};
use crate::gateway::fleet::Holding;
use crate::gateway::following::{Reading, Readings};
use crate::inventory::Name;
use crate::signal::Signal;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tracing::{info, warn};

/// After so long without a message a peer counts as gone.
const SILENCE_LIMIT: Duration = Duration::from_millis(1_500);
/// Messages of a VM that come seldom which may be missed before it counts as gone.
const MISSED_MESSAGES: u32 = 4;
/// Microseconds in a millisecond.
pub(super) const MICROS_PER_MILLI: f64 = 1_000.0;

/// The demand for some weights.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct WantedRate {
    /// What it takes of runners' time, in milliseconds a second.
    pub(crate) busy_ms_per_s: f64,
    /// Requests a second.
    pub(crate) requests_per_s: f64,
    /// Requests that wait for the weights.
    pub(crate) waiting: u32,
}

#[derive(Debug)]
struct Peer {
    heard_at: Instant,
    availability_zone: Name,
    readings: Option<Readings>,
    fence: u64,
    loads: HashMap<Name, Vec<(Name, u32)>>,
    demands: Vec<(Weights, WantedRate)>,
    /// The demand as far as the messages that tell it have come.
    coming_demands: Vec<(Weights, WantedRate)>,
    /// The telling that they belong to.
    demand_turn: u32,
}

/// Where messages go.
#[derive(Debug, Default)]
pub(super) struct Targets {
    /// VMs in other zones, by zone.
    pub(super) far: HashMap<Name, Vec<SocketAddr>>,
    /// VMs in the own zone, and those whose zone is not known yet.
    pub(super) near: Vec<SocketAddr>,
}

impl Targets {
    /// How many VMs stand in other zones.
    pub(super) fn far_count(&self) -> usize {
        self.far.values().map(Vec::len).sum()
    }
}

/// Who is told of a change out of turn.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Urgency {
    /// Nobody.
    #[default]
    None,
    /// The VM that gives orders.
    Holder,
    /// All, of what runners hold.
    Holdings,
    /// All.
    All,
}

/// All other VMs, as far as they are heard.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    heard: RefCell<HashMap<SocketAddr, Peer>>,
    members: RefCell<Vec<SocketAddr>>,
    most_seen: Cell<usize>,
    has_released: Cell<bool>,
    urgency: Cell<Urgency>,
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

    /// Tells all peers of a change at once.
    pub(crate) fn hurry(&self) {
        self.hurry_to(Urgency::All);
    }

    /// Tells peers of a change at once.
    pub(crate) fn hurry_to(&self, urgency: Urgency) {
        self.urgency.set(self.urgency.get().max(urgency));
        self.is_urgent.notify();
    }

    /// Takes who is to be told of a change out of turn.
    pub(super) fn take_urgency(&self) -> Urgency {
        self.urgency.take()
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
    pub(crate) fn tell_prompt(&self, server: &Name, read_ms: f64) {
        self.prompts.borrow_mut().push(SentPrompt {
            server: server.to_string(),
            read_us: (read_ms * MICROS_PER_MILLI) as u32,
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
        let mut peer = Peer::read(digest, now);
        if let Some(before) = heard.remove(&sender) {
            peer.demands = before.demands;
            peer.coming_demands = before.coming_demands;
            peer.demand_turn = before.demand_turn;
        }
        heard.insert(sender, peer);
        self.most_seen
            .set(self.most_seen.get().max(heard.len() + 1));
    }

    /// Takes over a part of the demand that a peer tells; all of it counts once it is there.
    pub(super) fn take_demand(&self, sender: SocketAddr, digest: &Digest) {
        let mut heard = self.heard.borrow_mut();
        let Some(peer) = heard.get_mut(&sender) else {
            return;
        };
        if peer.demand_turn != digest.demand_turn {
            peer.demand_turn = digest.demand_turn;
            peer.coming_demands.clear();
        }
        peer.coming_demands.extend(read_demands(digest));
        if !digest.has_more {
            peer.demands = std::mem::take(&mut peer.coming_demands);
        }
    }

    /// What other VMs in a zone read of the log that follow it closely.
    pub(crate) fn readings(&self, zone: &Name) -> Vec<(SocketAddr, Readings)> {
        let heard = self.heard.borrow();
        let near = heard
            .iter()
            .filter(|(_, peer)| peer.availability_zone == *zone);
        near.filter_map(|(address, peer)| Some((*address, peer.readings?)))
            .collect()
    }

    /// Where messages go: to the group's members and to whoever was heard; those in other zones
    /// than `zone` apart.
    pub(super) fn targets(&self, zone: &Name) -> Targets {
        let heard = self.heard.borrow();
        let mut all = self.members.borrow().clone();
        all.extend(heard.keys());
        all.sort();
        all.dedup();
        let mut targets = Targets::default();
        for address in all {
            match heard.get(&address).map(|peer| &peer.availability_zone) {
                Some(other) if other != zone => {
                    let of_zone = targets.far.entry(other.clone()).or_default();
                    of_zone.push(address);
                }
                _ => targets.near.push(address),
            }
        }
        targets
    }

    /// The VM that gives orders, if it was heard.
    pub(super) fn holder(&self) -> Option<SocketAddr> {
        let heard = self.heard.borrow();
        let holders = heard.iter().filter(|(_, peer)| peer.fence > 0);
        let holder = holders.max_by_key(|(_, peer)| peer.fence)?;
        Some(*holder.0)
    }

    /// Forgets peers that fell silent, and crashes that all have been told of. VMs in other zones
    /// than `zone` that give no orders are heard each `far_interval`.
    pub(super) fn forget_silent(&self, zone: &Name, far_interval: Duration, now: Instant) {
        self.heard.borrow_mut().retain(|address, peer| {
            let is_far = peer.availability_zone != *zone && peer.fence == 0;
            let limit = match is_far {
                true => SILENCE_LIMIT.max(far_interval * MISSED_MESSAGES),
                false => SILENCE_LIMIT,
            };
            let is_heard = now.duration_since(peer.heard_at) < limit;
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
        Self {
            heard_at: now,
            availability_zone: digest.availability_zone.as_str().into(),
            readings: digest.followed.map(|followed| read_followed(followed, now)),
            fence: digest.fence,
            loads,
            demands: Vec::new(),
            coming_demands: Vec::new(),
            demand_turn: 0,
        }
    }
}

fn read_demands(digest: &Digest) -> impl Iterator<Item = (Weights, WantedRate)> {
    digest.demands.iter().map(|demand| {
        let weights = Weights {
            model: demand.model.as_str().into(),
            adapter: demand.adapter.as_deref().map(Name::from),
        };
        let rate = WantedRate {
            busy_ms_per_s: f64::from(demand.busy_us_per_s) / MICROS_PER_MILLI,
            requests_per_s: f64::from(demand.requests_per_1000_s) / 1_000.0,
            waiting: demand.waiting,
        };
        (weights, rate)
    })
}

fn read_followed(followed: Followed, now: Instant) -> Readings {
    let reading = |news, age_ms| Reading {
        news,
        at: now
            .checked_sub(Duration::from_millis(u64::from(age_ms)))
            .unwrap_or(now),
    };
    Readings {
        directory: reading(followed.directory_news, followed.directory_age_ms),
        configuration: reading(followed.configuration_news, followed.configuration_age_ms),
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
