//! Adjusts the number of copies to the demand: selects the model that gets one more copy, the
//! runner that loads it, and the model that is evicted for it.

use super::{Move, PlacementPlanner};
use crate::control::CopyState;
use crate::demand::SlotDemand;
use crate::inventory::{BackendServer, Model, MovePolicy, Name, PlacementRule};
use std::collections::HashMap;

/// Number of equal shares in which a model's demand is assigned to its copies.
const SPREAD_STEPS: u32 = 16;
/// Highest load of a runner, as a fraction of its slots, that does not delay urgent requests.
const MAX_UTILISATION: f64 = 0.8;
/// Weight of demand that is not urgent, relative to urgent demand.
const BATCH_WEIGHT: f64 = 0.25;
/// Maximum number of overloaded models considered per planning pass, by weighted demand, highest
/// first.
const MAX_CANDIDATES: usize = 3;

/// Load of each runner in slots, once each model's demand is spread over its copies.
#[derive(Clone, Debug)]
struct LoadSpread<'a> {
    loads: HashMap<&'a Name, f64>,
}

/// A possible additional copy of a model, with the model to evict for it, if any, and the slots
/// of excess demand that it would serve.
#[derive(Debug)]
struct CopyCandidate<'a> {
    model: &'a Model,
    runner: &'a BackendServer,
    victim: Option<&'a Model>,
    gained_slots: f64,
}

/// The runners on which each model is resident or loading.
type Holders<'a> = HashMap<&'a Name, Vec<&'a BackendServer>>;

impl<'a> PlacementPlanner<'a> {
    /// Returns the moves that adjust the copies to the demand under the placement rule in force.
    pub(crate) fn demand_moves(&self) -> Vec<Move> {
        match self.control.inventory.rules.placement {
            PlacementRule::Static => Vec::new(),
            PlacementRule::OnDemand => self.on_demand(),
            PlacementRule::Demand => self.best_demand_move(),
        }
    }

    fn all_holders(&self) -> Holders<'a> {
        let models = self.control.inventory.models.iter();
        models
            .map(|model| (&model.name, self.holders(model)))
            .collect()
    }

    fn demand_for(&self, model: &Name) -> SlotDemand {
        self.demand.get(model).copied().unwrap_or_default()
    }

    /// Returns the demand, in slots, that copies are planned for. Urgent demand is multiplied by
    /// `burst_factor`, so that copies are ready before a burst; other demand counts in part.
    fn weighted_demand(&self, model: &Name) -> f64 {
        let demand = self.demand_for(model);
        let burst_factor = self.control.inventory.rules.moves.burst_factor;
        burst_factor * demand.urgent + BATCH_WEIGHT * (demand.all - demand.urgent)
    }

    /// Spreads each model's demand over its copies, assigning each share to the least loaded one.
    fn spread_demand(
        &self,
        holders: &Holders<'a>,
        demand: impl Fn(&Name) -> f64,
    ) -> LoadSpread<'a> {
        let mut loads: HashMap<&Name, f64> = HashMap::new();
        for _ in 0..SPREAD_STEPS {
            for (model, held_by) in holders {
                let part = demand(model) / f64::from(SPREAD_STEPS);
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
        LoadSpread { loads }
    }

    /// Returns the demand, in slots, above `MAX_UTILISATION`, summed over the runners.
    fn excess_slots(&self, spread: &LoadSpread<'_>) -> f64 {
        let excess = |runner: &&BackendServer| {
            let load = spread.loads.get(&runner.name).copied().unwrap_or(0.0);
            (load - MAX_UTILISATION * f64::from(runner.slots)).max(0.0)
        };
        self.runners.iter().map(excess).sum()
    }

    /// Returns the load of the model's least loaded runner, as a fraction of the runner's slots;
    /// infinity without a copy.
    fn min_utilisation(&self, spread: &LoadSpread<'_>, held_by: &[&BackendServer]) -> f64 {
        let load = |runner: &&BackendServer| {
            spread.loads.get(&runner.name).copied().unwrap_or(0.0) / f64::from(runner.slots.max(1))
        };
        held_by.iter().map(load).fold(f64::INFINITY, f64::min)
    }

    /// Returns the models whose copies are all loaded above `max_utilisation`, by weighted demand,
    /// highest first. Models with a copy being loaded are left out.
    fn overloaded_models(
        &self,
        holders: &Holders<'a>,
        spread: &LoadSpread<'_>,
        max_utilisation: f64,
    ) -> Vec<&'a Model> {
        let mut overloaded: Vec<&Model> = self
            .control
            .inventory
            .models
            .iter()
            .filter(|model| !self.is_loading(model))
            .filter(|model| self.min_utilisation(spread, &holders[&model.name]) > max_utilisation)
            .collect();
        overloaded.sort_by(|left, right| {
            let key = |model: &Model| self.weighted_demand(&model.name);
            key(right).total_cmp(&key(left))
        });
        overloaded
    }

    fn is_loading(&self, model: &Model) -> bool {
        let artifact = Self::artifact(model);
        self.runners.iter().any(|runner| {
            let memory_ledger = self.memory_ledger(runner);
            let copy = memory_ledger.copies.get(&artifact);
            copy.is_some_and(|copy| copy.state == CopyState::Loading)
        })
    }

    /// Loads a copy of each model whose demand exceeds the slots of its copies, whatever it costs.
    fn on_demand(&self) -> Vec<Move> {
        let holders = self.all_holders();
        let spread = self.spread_demand(&holders, |model| self.demand_for(model).all);
        let mut moves = Vec::new();
        for model in self.overloaded_models(&holders, &spread, 1.0) {
            let mut candidates: Vec<&BackendServer> = self.runners_without(model, &holders);
            candidates.sort_by(|left, right| {
                let load = |runner: &BackendServer| spread.loads.get(&runner.name).copied();
                load(left)
                    .unwrap_or(0.0)
                    .total_cmp(&load(right).unwrap_or(0.0))
            });
            let runner_and_victim = candidates.into_iter().find_map(|runner| {
                let victim = self.victim(runner, model)?;
                Some((runner, victim))
            });
            if let Some((runner, victim)) = runner_and_victim {
                let candidate = CopyCandidate {
                    model,
                    runner,
                    victim,
                    gained_slots: 0.0,
                };
                moves.extend(self.to_moves(&candidate, "on_demand"));
            }
        }
        moves
    }

    /// Returns the runners on which the model is not in memory and that may load it.
    fn runners_without(&self, model: &Model, holders: &Holders<'a>) -> Vec<&'a BackendServer> {
        let held_by = &holders[&model.name];
        let holds = |runner: &BackendServer| held_by.iter().any(|held| held.name == runner.name);
        let artifact = Self::artifact(model);
        self.runners
            .iter()
            .filter(|runner| !holds(runner))
            .filter(|runner| {
                let memory_ledger = self.memory_ledger(runner);
                let copy = memory_ledger.copies.get(&artifact);
                copy.is_none_or(|copy| copy.state == CopyState::Reserved)
            })
            .copied()
            .collect()
    }

    /// Selects the model to evict from a runner to make room for a copy of `model`: the one with
    /// the lowest weighted demand, or `Some(None)` when the copy fits without an eviction.
    ///
    /// Returns `None` when no model can be evicted that frees enough memory.
    #[expect(
        clippy::option_option,
        reason = "distinguishes an impossible eviction from an unnecessary one"
    )]
    fn victim(&self, runner: &BackendServer, model: &Model) -> Option<Option<&'a Model>> {
        let memory_ledger = self.memory_ledger(runner);
        let free_mib = self.free_mib(runner);
        if free_mib >= model.resident_mib() {
            return Some(None);
        }
        self.control
            .inventory
            .models
            .iter()
            .filter(|other| self.can_spare(runner, memory_ledger, &Self::artifact(other)))
            .filter(|other| free_mib + other.resident_mib() >= model.resident_mib())
            .min_by(|left, right| {
                let key = |model: &Model| self.weighted_demand(&model.name);
                key(left).total_cmp(&key(right))
            })
            .map(Some)
    }

    /// Returns the moves for the one additional copy that serves the most excess demand, if that is
    /// worth the cost.
    fn best_demand_move(&self) -> Vec<Move> {
        if self.is_loading_or_unloading() {
            return Vec::new();
        }
        let holders = self.all_holders();
        let weighted_demand = |model: &Name| self.weighted_demand(model);
        let spread = self.spread_demand(&holders, weighted_demand);
        let excess_before = self.excess_slots(&spread);
        if excess_before <= 0.0 {
            return Vec::new();
        }
        let mut best: Option<CopyCandidate<'_>> = None;
        let overloaded = self.overloaded_models(&holders, &spread, MAX_UTILISATION);
        for model in overloaded.into_iter().take(MAX_CANDIDATES) {
            for runner in self.runners_without(model, &holders) {
                let Some(victim) = self.victim(runner, model) else {
                    continue;
                };
                let after = self.holders_after(&holders, model, runner, victim);
                let gained_slots =
                    excess_before - self.excess_slots(&self.spread_demand(&after, weighted_demand));
                if best
                    .as_ref()
                    .is_none_or(|best| gained_slots > best.gained_slots)
                {
                    best = Some(CopyCandidate {
                        model,
                        runner,
                        victim,
                        gained_slots,
                    });
                }
            }
        }
        match best {
            Some(best) if self.is_worth_cost(&best) => self.to_moves(&best, "demand"),
            _ => Vec::new(),
        }
    }

    /// Whether any copy is being loaded or unloaded.
    fn is_loading_or_unloading(&self) -> bool {
        self.runners.iter().any(|runner| {
            let memory_ledger = self.memory_ledger(runner);
            let mut copies = memory_ledger.copies.values();
            copies.any(|copy| matches!(copy.state, CopyState::Loading | CopyState::Unloading))
        })
    }

    /// Returns the holders once `model` is loaded on `runner` and `victim` is unloaded there.
    fn holders_after(
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

    /// Whether the requests that the gained slots can serve within the payback time outweigh the
    /// cost of the moves, which is counted in requests as well.
    fn is_worth_cost(&self, candidate: &CopyCandidate<'_>) -> bool {
        let policy = &self.control.inventory.rules.moves;
        let payback_s = policy.payback_ms as f64 / 1_000.0;
        let requests =
            candidate.gained_slots / self.service_time.as_secs_f64().max(f64::EPSILON) * payback_s;
        let moves = 1.0 + f64::from(u8::from(candidate.victim.is_some()));
        requests >= moves * move_cost(policy, self.hour)
    }

    /// Returns the load, or the unloads that free memory for it. The load then follows in a later
    /// planning pass.
    fn to_moves(&self, candidate: &CopyCandidate<'_>, reason: &'static str) -> Vec<Move> {
        let Some(victim) = candidate.victim else {
            return vec![Move::Load {
                runner: candidate.runner.name.clone(),
                artifact: Self::artifact(candidate.model),
                mib: candidate.model.weights_mib,
                capacity_mib: candidate.runner.weights_capacity_mib(),
                reason,
                others: format!("gain_slots:{:.1}", candidate.gained_slots),
            }];
        };
        self.unload_with_adapters(candidate.runner, &Self::artifact(victim), "less_demanded")
    }

    /// Whether free memory is reserved for overloaded models, so that no spare copies are loaded.
    ///
    /// Otherwise spare copies could take the memory that was just freed for those models.
    pub(crate) fn should_hold_back_spare_copies(&self) -> bool {
        if self.control.inventory.rules.placement == PlacementRule::Static {
            return false;
        }
        let holders = self.all_holders();
        let spread = self.spread_demand(&holders, |model| self.weighted_demand(model));
        self.is_unloading()
            || !self
                .overloaded_models(&holders, &spread, MAX_UTILISATION)
                .is_empty()
    }
}

/// Returns the cost of one move in requests, at an hour of the day (UTC).
fn move_cost(policy: &MovePolicy, hour: u8) -> f64 {
    if policy.busy_hours.contains(&hour) {
        policy.cost_requests * policy.busy_factor
    } else {
        policy.cost_requests
    }
}
