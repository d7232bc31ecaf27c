//! Copies that follow the demand: which model gains one, where, and in whose place.

use super::{Move, PlacementPlanner};
use crate::control::CopyState;
use crate::demand::Slots;
use crate::inventory::{BackendServer, Model, MovePolicy, Name, PlacementRule};
use std::collections::HashMap;

/// Parts in which a model's demand is spread over its copies.
const PARTS: u32 = 16;
/// The load of a runner, in parts of its slots, above which urgent requests would feel it.
const FULL: f64 = 0.8;
/// What a slot of demand that is not urgent counts for.
const BATCH_WEIGHT: f64 = 0.25;
/// Models looked at in one planning, the shortest of slots first.
const CANDIDATES: usize = 3;

/// Load by runner, once each model's demand is spread over its copies.
#[derive(Clone, Debug)]
struct Spread<'a> {
    loads: HashMap<&'a Name, f64>,
}

/// One more copy of a model, and what it takes.
#[derive(Debug)]
struct Gain<'a> {
    model: &'a Model,
    runner: &'a BackendServer,
    victim: Option<&'a Model>,
    slots: f64,
}

type Holders<'a> = HashMap<&'a Name, Vec<&'a BackendServer>>;

impl<'a> PlacementPlanner<'a> {
    /// Moves by which copies follow the demand, as the placement rule says.
    pub(crate) fn follow_demand(&self) -> Vec<Move> {
        match self.control.inventory.rules.placement {
            PlacementRule::Static => Vec::new(),
            PlacementRule::OnDemand => self.on_demand(),
            PlacementRule::Demand => self.worthwhile(),
        }
    }

    fn all_holders(&self) -> Holders<'a> {
        let models = self.control.inventory.models.iter();
        models
            .map(|model| (&model.name, self.holders(model)))
            .collect()
    }

    fn slots(&self, model: &Name) -> Slots {
        self.demand.get(model).copied().unwrap_or_default()
    }

    /// The demand that copies are kept for: urgent bursts count whole, batch in part.
    fn weighted(&self, model: &Name) -> f64 {
        let slots = self.slots(model);
        let burst_factor = self.control.inventory.rules.moves.burst_factor;
        burst_factor * slots.urgent + BATCH_WEIGHT * (slots.all - slots.urgent)
    }

    /// Spreads each model's demand over its copies, always to the one with the least load.
    fn spread(&self, holders: &Holders<'a>, demand: impl Fn(&Name) -> f64) -> Spread<'a> {
        let mut loads: HashMap<&Name, f64> = HashMap::new();
        for _ in 0..PARTS {
            for (model, held_by) in holders {
                let part = demand(model) / f64::from(PARTS);
                let load = |runner: &&BackendServer| {
                    loads.get(&runner.name).copied().unwrap_or(0.0) / f64::from(runner.slots.max(1))
                };
                let least = held_by
                    .iter()
                    .min_by(|left, right| load(left).total_cmp(&load(right)));
                if let Some(runner) = least {
                    *loads.entry(&runner.name).or_default() += part;
                }
            }
        }
        Spread { loads }
    }

    /// Slots of demand above what the runners take without being felt.
    fn unserved(&self, spread: &Spread<'_>) -> f64 {
        let over = |runner: &&BackendServer| {
            let load = spread.loads.get(&runner.name).copied().unwrap_or(0.0);
            (load - FULL * f64::from(runner.slots)).max(0.0)
        };
        self.runners.iter().map(over).sum()
    }

    /// The load of a model's least loaded copy, in parts of the runner's slots.
    fn pressure(&self, spread: &Spread<'_>, held_by: &[&BackendServer]) -> f64 {
        let load = |runner: &&BackendServer| {
            spread.loads.get(&runner.name).copied().unwrap_or(0.0) / f64::from(runner.slots.max(1))
        };
        held_by.iter().map(load).fold(f64::INFINITY, f64::min)
    }

    /// Models whose copies are all loaded above `full`, the most demanded first.
    fn short_models(
        &self,
        holders: &Holders<'a>,
        spread: &Spread<'_>,
        full: f64,
    ) -> Vec<&'a Model> {
        let mut short: Vec<&Model> = self
            .control
            .inventory
            .models
            .iter()
            .filter(|model| !self.is_loading(model))
            .filter(|model| self.pressure(spread, &holders[&model.name]) > full)
            .collect();
        short.sort_by(|left, right| {
            let key = |model: &Model| self.weighted(&model.name);
            key(right).total_cmp(&key(left))
        });
        short
    }

    fn is_loading(&self, model: &Model) -> bool {
        let artifact = Self::artifact(model);
        self.runners.iter().any(|runner| {
            let ledger = self.ledger(runner);
            let copy = ledger.copies.get(&artifact);
            copy.is_some_and(|copy| copy.state == CopyState::Loading)
        })
    }

    /// A copy for each model whose copies are full, at once.
    fn on_demand(&self) -> Vec<Move> {
        let holders = self.all_holders();
        let spread = self.spread(&holders, |model| self.slots(model).all);
        let mut moves = Vec::new();
        for model in self.short_models(&holders, &spread, 1.0) {
            let mut free: Vec<&BackendServer> = self.without(model, &holders);
            free.sort_by(|left, right| {
                let load = |runner: &BackendServer| spread.loads.get(&runner.name).copied();
                load(left)
                    .unwrap_or(0.0)
                    .total_cmp(&load(right).unwrap_or(0.0))
            });
            let place = free.into_iter().find_map(|runner| {
                let victim = self.victim(runner, model)?;
                Some((runner, victim))
            });
            if let Some((runner, victim)) = place {
                let gain = Gain {
                    model,
                    runner,
                    victim,
                    slots: 0.0,
                };
                moves.extend(self.to_moves(&gain, "on_demand"));
            }
        }
        moves
    }

    fn without(&self, model: &Model, holders: &Holders<'a>) -> Vec<&'a BackendServer> {
        let held_by = &holders[&model.name];
        let holds = |runner: &BackendServer| held_by.iter().any(|held| held.name == runner.name);
        let artifact = Self::artifact(model);
        self.runners
            .iter()
            .filter(|runner| !holds(runner))
            .filter(|runner| {
                let ledger = self.ledger(runner);
                let copy = ledger.copies.get(&artifact);
                copy.is_none_or(|copy| copy.state == CopyState::Reserved)
            })
            .copied()
            .collect()
    }

    /// What has to go from a runner for one more copy: nothing, or the least demanded copy.
    ///
    /// `None` when there is no room to be made.
    #[expect(
        clippy::option_option,
        reason = "no room and no need of a victim differ"
    )]
    fn victim(&self, runner: &BackendServer, model: &Model) -> Option<Option<&'a Model>> {
        let ledger = self.ledger(runner);
        let free_mib = self.free_mib(runner);
        if free_mib >= model.resident_mib() {
            return Some(None);
        }
        self.control
            .inventory
            .models
            .iter()
            .filter(|other| self.can_spare(runner, ledger, &Self::artifact(other)))
            .filter(|other| free_mib + other.resident_mib() >= model.resident_mib())
            .min_by(|left, right| {
                let key = |model: &Model| self.weighted(&model.name);
                key(left).total_cmp(&key(right))
            })
            .map(Some)
    }

    /// The one change that pays most, if it pays at all.
    fn worthwhile(&self) -> Vec<Move> {
        if self.is_moving() {
            return Vec::new();
        }
        let holders = self.all_holders();
        let weighted = |model: &Name| self.weighted(model);
        let spread = self.spread(&holders, weighted);
        let before = self.unserved(&spread);
        if before <= 0.0 {
            return Vec::new();
        }
        let mut best: Option<Gain<'_>> = None;
        let short = self.short_models(&holders, &spread, FULL);
        for model in short.into_iter().take(CANDIDATES) {
            for runner in self.without(model, &holders) {
                let Some(victim) = self.victim(runner, model) else {
                    continue;
                };
                let after = self.after(&holders, model, runner, victim);
                let slots = before - self.unserved(&self.spread(&after, weighted));
                if best.as_ref().is_none_or(|best| slots > best.slots) {
                    best = Some(Gain {
                        model,
                        runner,
                        victim,
                        slots,
                    });
                }
            }
        }
        match best {
            Some(gain) if self.pays(&gain) => self.to_moves(&gain, "demand"),
            _ => Vec::new(),
        }
    }

    /// Whether any copy is on its way in or out.
    fn is_moving(&self) -> bool {
        self.runners.iter().any(|runner| {
            let ledger = self.ledger(runner);
            let mut copies = ledger.copies.values();
            copies.any(|copy| matches!(copy.state, CopyState::Loading | CopyState::Unloading))
        })
    }

    fn after(
        &self,
        holders: &Holders<'a>,
        model: &'a Model,
        runner: &'a BackendServer,
        victim: Option<&Model>,
    ) -> Holders<'a> {
        let mut after = holders.clone();
        after.entry(&model.name).or_default().push(runner);
        if let Some(held_by) = victim.and_then(|victim| after.get_mut(&victim.name)) {
            held_by.retain(|held| held.name != runner.name);
        }
        after
    }

    /// Requests served better over the pay-back time against the cost of the moves.
    fn pays(&self, gain: &Gain<'_>) -> bool {
        let policy = &self.control.inventory.rules.moves;
        let payback_s = policy.payback_ms as f64 / 1_000.0;
        let requests = gain.slots / self.service_time.as_secs_f64().max(f64::EPSILON) * payback_s;
        let moves = 1.0 + f64::from(u8::from(gain.victim.is_some()));
        requests >= moves * move_cost(policy, self.hour)
    }

    /// The unloads that make room, or the load once there is room.
    fn to_moves(&self, gain: &Gain<'_>, reason: &'static str) -> Vec<Move> {
        let Some(victim) = gain.victim else {
            return vec![Move::Load {
                runner: gain.runner.name.clone(),
                artifact: Self::artifact(gain.model),
                mib: gain.model.weights_mib,
                room_mib: gain.runner.weights_capacity_mib(),
                reason,
                others: format!("gain_slots:{:.1}", gain.slots),
            }];
        };
        self.unload_whole(gain.runner, &Self::artifact(victim), "less_demanded")
    }

    /// Models that a placement keeps from getting spare copies back: all, while copies follow
    /// the demand and some are short.
    pub(crate) fn wants_room(&self) -> bool {
        if self.control.inventory.rules.placement == PlacementRule::Static {
            return false;
        }
        let holders = self.all_holders();
        let spread = self.spread(&holders, |model| self.weighted(model));
        self.is_freeing() || !self.short_models(&holders, &spread, FULL).is_empty()
    }
}

/// The cost of one move at an hour of the day, in requests.
fn move_cost(policy: &MovePolicy, hour: u8) -> f64 {
    if policy.busy_hours.contains(&hour) {
        policy.cost_requests * policy.busy_factor
    } else {
        policy.cost_requests
    }
}
