//! Making room for a copy that fits nowhere, at the cost of copies that can be spared.

use super::{Move, PlacementPlanner};
use crate::control::{Artifact, CopyState, MemoryLedger};
use crate::inventory::{BackendServer, Model};

impl<'a> PlacementPlanner<'a> {
    /// Unloads that let the first model without room fit on one runner.
    ///
    /// One model at a time: what was freed is looked at again before more goes.
    pub(super) fn make_room(&self, lacking: &[&Model]) -> Vec<Move> {
        if self.is_freeing() {
            return Vec::new();
        }
        let Some(model) = lacking
            .iter()
            .find(|model| self.best_runner(model, &Default::default()).is_none())
        else {
            return Vec::new();
        };
        self.runners
            .iter()
            .filter(|runner| !self.ledger(runner).is_coming(&Self::artifact(model)))
            .filter_map(|runner| self.spared_for(model, runner))
            .min_by_key(|(freed_mib, _)| *freed_mib)
            .map_or_else(Vec::new, |(_, unloads)| unloads)
    }

    pub(super) fn is_freeing(&self) -> bool {
        self.runners.iter().any(|runner| {
            let ledger = self.ledger(runner);
            ledger
                .copies
                .values()
                .any(|copy| copy.state == CopyState::Unloading)
        })
    }

    /// Unloads on a runner whose memory was made smaller than what it holds.
    pub(super) fn shed(&self) -> Vec<Move> {
        if self.is_freeing() {
            return Vec::new();
        }
        let mut overfull = self.runners.iter().map(|runner| {
            let taken_mib = self.ledger(runner).taken_mib();
            let over_mib = taken_mib.saturating_sub(runner.weights_capacity_mib());
            self.spares(runner, over_mib, "memory_made_smaller").1
        });
        overfull
            .find(|unloads| !unloads.is_empty())
            .unwrap_or_default()
    }

    /// The copies to give up on a runner for one of `model`, and their memory.
    fn spared_for(&self, model: &Model, runner: &BackendServer) -> Option<(u64, Vec<Move>)> {
        let reserved_mib = self.ledger(runner).reserved_mib(&Self::artifact(model));
        let free_mib = self.free_mib(runner) + reserved_mib;
        let missing_mib = model.resident_mib().saturating_sub(free_mib);
        let (freed_mib, unloads) = self.spares(runner, missing_mib, "room_needed");
        (freed_mib >= missing_mib && !unloads.is_empty()).then_some((freed_mib, unloads))
    }

    /// Copies on a runner that can be spared, until they make `needed_mib`.
    fn spares(
        &self,
        runner: &BackendServer,
        needed_mib: u64,
        reason: &'static str,
    ) -> (u64, Vec<Move>) {
        let ledger = self.ledger(runner);
        let mut freed_mib = 0;
        let mut unloads = Vec::new();
        for base in ledger.copies.keys() {
            if freed_mib >= needed_mib {
                break;
            }
            if !self.can_spare(runner, ledger, base) {
                continue;
            }
            let whole = self.unload_whole(runner, base, reason);
            freed_mib += whole
                .iter()
                .filter_map(|unload| ledger.copies.get(unload.artifact()))
                .map(|copy| copy.mib)
                .sum::<u64>();
            unloads.extend(whole);
        }
        (freed_mib, unloads)
    }

    /// Unloads of a model and of its adapters on a runner.
    pub(super) fn unload_whole(
        &self,
        runner: &BackendServer,
        base: &Artifact,
        reason: &'static str,
    ) -> Vec<Move> {
        let ledger = self.ledger(runner);
        ledger
            .copies
            .keys()
            .filter(|artifact| *artifact == base || is_adapter_of(artifact, base, ledger))
            .map(|artifact| Move::Unload {
                runner: runner.name.clone(),
                artifact: artifact.clone(),
                reason,
            })
            .collect()
    }

    /// Whether enough other copies of the model are ready without this one.
    pub(super) fn can_spare(
        &self,
        runner: &BackendServer,
        ledger: &MemoryLedger,
        base: &Artifact,
    ) -> bool {
        let Some(model) = self.control.inventory.model(&base.model) else {
            return false;
        };
        if base.adapter.is_some() || !ledger.is_resident(base) {
            return false;
        }
        let is_current = model.version == base.version;
        let needed = if is_current {
            model.min_replicas.max(1)
        } else {
            1
        };
        let others = self.runners.iter().filter(|other| {
            let held = self.ledger(other);
            other.name != runner.name && self.serves_whole(held, model, base)
        });
        others.count() >= needed as usize
    }

    /// Whether a runner holds the base, or the one in force, with all its adapters.
    fn serves_whole(&self, ledger: &MemoryLedger, model: &Model, base: &Artifact) -> bool {
        let has_base = ledger.is_resident(base) || ledger.is_resident(&Self::artifact(model));
        has_base
            && Self::adapters(model).all(|(adapter, _)| {
                ledger.copies.iter().any(|(held, copy)| {
                    held.has_same_name(&adapter) && copy.state == CopyState::Resident
                })
            })
    }
}

/// Whether an adapter goes with its model, since no other version of the model stays.
fn is_adapter_of(artifact: &Artifact, base: &Artifact, ledger: &MemoryLedger) -> bool {
    artifact.adapter.is_some()
        && artifact.model == base.model
        && ledger.is_resident(artifact)
        && !ledger
            .copies
            .keys()
            .any(|other| other.has_same_name(base) && other != base)
}
