//! The evidence that other VMs sent.
//!
//! Within a zone each VM sends what it has seen itself, and to other zones the sum over its zone.
//! Evidence is kept by sender and by zone, and later evidence replaces it, so that no observation
//! counts twice and messages may be lost. What is not renewed ages.

use crate::gateway::server_speed::evidence::{Evidence, Figures, MAX_AGE};
use crate::gateway::server_speed::message::ServerSpeedsPart;
use crate::inventory::Name;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The maximum number of figures in a message. Each takes about eight bytes.
const MAX_FIGURES: usize = 40;
/// The least weight of a figure that is sent, in long streams.
const MIN_WEIGHT: f64 = 0.05;
/// The largest weight of a figure of one VM and of one zone, in long streams, so that no faulty VM
/// outweighs all others.
const MAX_VM_WEIGHT: f64 = 60.0;
const MAX_ZONE_WEIGHT: f64 = 600.0;
/// How long what a VM or a zone stated counts after its last message.
const SENDER_TIMEOUT: Duration = Duration::from_secs(20);
/// The fraction of the list by which the part that is sent advances in each round; see
/// `zone_loads.rs`.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_895;

/// What one sender stated.
#[derive(Debug)]
struct Statement {
    figures: HashMap<u32, (Evidence, Instant)>,
    received_at: Instant,
}

impl Statement {
    fn apply(
        &mut self,
        figures: impl Iterator<Item = (u32, Evidence)>,
        max_weight: f64,
        now: Instant,
    ) {
        self.received_at = now;
        for (id, figure) in figures {
            let weight = figure.weight.min(max_weight);
            self.figures
                .insert(id, (Evidence { weight, ..figure }, now));
        }
    }

    fn new(now: Instant) -> Self {
        Self {
            figures: HashMap::new(),
            received_at: now,
        }
    }
}

/// What other VMs sent.
#[derive(Debug, Default)]
pub(super) struct Exchanged {
    vms: HashMap<SocketAddr, Statement>,
    zones: HashMap<Name, Statement>,
}

impl Exchanged {
    pub(super) fn apply_vm(
        &mut self,
        sender: SocketAddr,
        figures: impl Iterator<Item = (u32, Evidence)>,
        now: Instant,
    ) {
        let statement = self
            .vms
            .entry(sender)
            .or_insert_with(|| Statement::new(now));
        statement.apply(figures, MAX_VM_WEIGHT, now);
    }

    pub(super) fn apply_zone(
        &mut self,
        zone: &Name,
        figures: impl Iterator<Item = (u32, Evidence)>,
        now: Instant,
    ) {
        let statement = self.zones.entry(zone.clone());
        let statement = statement.or_insert_with(|| Statement::new(now));
        statement.apply(figures, MAX_ZONE_WEIGHT, now);
    }

    /// What the other VMs of this zone stated.
    pub(super) fn of_zone(&self, now: Instant) -> Figures {
        sum(self.vms.values(), now)
    }

    /// What the other zones stated.
    pub(super) fn of_other_zones(&self, now: Instant) -> Figures {
        sum(self.zones.values(), now)
    }

    /// Removes what is too old.
    pub(super) fn expire(&mut self, now: Instant) {
        let age = |at: Instant| now.saturating_duration_since(at);
        let is_heard = |it: &Statement| age(it.received_at) < SENDER_TIMEOUT;
        self.vms.retain(|_, statement| is_heard(statement));
        self.zones.retain(|_, statement| is_heard(statement));
        let statements = self.vms.values_mut().chain(self.zones.values_mut());
        for statement in statements {
            let figures = &mut statement.figures;
            figures.retain(|_, (figure, at)| figure.age + age(*at) < MAX_AGE);
        }
    }
}

fn sum<'a>(statements: impl Iterator<Item = &'a Statement>, now: Instant) -> Figures {
    let mut sums = Figures::new();
    for statement in statements {
        for (id, (figure, at)) in &statement.figures {
            let sum = sums.entry(*id).or_default();
            *sum = sum.merged(figure.aged(*at, now));
        }
    }
    sums
}

/// Selects the figures of one message. `None` if there are none.
pub(super) fn part(figures: &Figures, round: usize) -> Option<ServerSpeedsPart> {
    let known = figures.iter().filter(|(_, it)| it.weight >= MIN_WEIGHT);
    let mut figures: Vec<(u32, Evidence)> = known.map(|(id, it)| (*id, *it)).collect();
    if figures.is_empty() {
        return None;
    }
    figures.sort_by_key(|(id, _)| *id);
    let fraction = (round as f64 * GOLDEN_RATIO).fract();
    let start = (fraction * figures.len() as f64) as usize;
    figures.rotate_left(start);
    figures.truncate(MAX_FIGURES);
    Some(ServerSpeedsPart::of(&figures))
}
