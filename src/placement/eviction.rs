//! Frees memory for a model that fits on no runner by evicting copies that are not required.

use super::{Move, PlacementPlanner};
use crate::control::{Artifact, CopyState, MemoryLedger};
use crate::inventory::{BackendServer, Model};

impl<'a> PlacementPlanner<'a> {
    /// Returns the unloads that let the first model that fits nowhere fit on one runner. Among the
    /// runners, the one that evicts the least memory is chosen.
    ///
    /// Only one model is handled at a time, and none while an unload is open, so that the memory
    /// already freed is taken into account before more copies are evicted.
    pub(super) fn free_memory(&self, under_replicated: &[&Model]) -> Vec<Move> {
        if self.is_unloading() {
            return Vec::new();
        }
        let Some(model) = under_replicated
            .iter()
            .find(|model| self.best_runner(model, &Default::default()).is_none())
        else {
            return Vec::new();
        };
        self.runners
            .iter()
            .filter(|runner| {
                !self
                    .memory_ledger(runner)
                    .is_resident_or_loading(&Self::artifact(model))
            })
            .filter_map(|runner| self.evictions_for(model, runner))
            .min_by_key(|(freed_mib, _)| *freed_mib)
            .map_or_else(Vec::new, |(_, unloads)| unloads)
    }

    /// Whether any copy is being unloaded.
    pub(super) fn is_unloading(&self) -> bool {
        self.runners.iter().any(|runner| {
            let memory_ledger = self.memory_ledger(runner);
            memory_ledger
                .copies
                .values()
                .any(|copy| copy.state == CopyState::Unloading)
        })
    }

    /// Returns unloads for the first runner whose capacity was reduced below the memory that is
    /// taken.
    pub(super) fn unload_excess(&self) -> Vec<Move> {
        if self.is_unloading() {
            return Vec::new();
        }
        let mut overfull = self.runners.iter().map(|runner| {
            let taken_mib = self.memory_ledger(runner).taken_mib();
            let over_mib = taken_mib.saturating_sub(runner.weights_capacity_mib());
            self.evict_copies(runner, over_mib, "memory_made_smaller").1
        });
        overfull
            .find(|unloads| !unloads.is_empty())
            .unwrap_or_default()
    }

    /// Returns the unloads that make room for a copy of `model` on a runner, with the MiB freed.
    ///
    /// Returns `None` when they cannot free enough memory or none is needed.
    fn evictions_for(&self, model: &Model, runner: &BackendServer) -> Option<(u64, Vec<Move>)> {
        let reserved_mib = self
            .memory_ledger(runner)
            .reserved_mib(&Self::artifact(model));
        let free_mib = self.free_mib(runner) + reserved_mib;
        let missing_mib = model.resident_mib().saturating_sub(free_mib);
        let (freed_mib, unloads) = self.evict_copies(runner, missing_mib, "room_needed");
        (freed_mib >= missing_mib && !unloads.is_empty()).then_some((freed_mib, unloads))
    }

    /// Selects models on a runner that are not required, until they free `needed_mib` or none is
    /// left. Returns the MiB freed and the unloads.
    fn evict_copies(
        &self,
        runner: &BackendServer,
        needed_mib: u64,
        reason: &'static str,
    ) -> (u64, Vec<Move>) {
        let memory_ledger = self.memory_ledger(runner);
        let mut freed_mib = 0;
        let mut unloads = Vec::new();
        for base in memory_ledger.copies.keys() {
            if freed_mib >= needed_mib {
                break;
            }
            if !self.can_spare(runner, memory_ledger, base) {
                continue;
            }
            let model_unloads = self.unload_with_adapters(runner, base, reason);
            freed_mib += model_unloads
                .iter()
                .filter_map(|unload| memory_ledger.copies.get(unload.artifact()))
                .map(|copy| copy.mib)
                .sum::<u64>();
            unloads.extend(model_unloads);
        }
        (freed_mib, unloads)
    }

    /// Returns the unloads of a model and its adapters on a runner.
    pub(super) fn unload_with_adapters(
        &self,
        runner: &BackendServer,
        base: &Artifact,
        reason: &'static str,
    ) -> Vec<Move> {
        let memory_ledger = self.memory_ledger(runner);
        memory_ledger
            .copies
            .keys()
            .filter(|artifact| *artifact == base || is_adapter_of(artifact, base, memory_ledger))
            .map(|artifact| Move::Unload {
                runner: runner.name.clone(),
                artifact: artifact.clone(),
                reason,
            })
            .collect()
    }

    /// Whether the copy of a model can be evicted: enough other runners are ready with the model
    /// and all its adapters.
    ///
    /// The current version needs `min_replicas` others, and at least one; an older version needs
    /// one. Adapters are evicted only together with their model.
    pub(super) fn can_spare(
        &self,
        runner: &BackendServer,
        memory_ledger: &MemoryLedger,
        base: &Artifact,
    ) -> bool {
        let Some(model) = self.control.inventory.model(&base.model) else {
            return false;
        };
        if base.adapter.is_some() || !memory_ledger.is_resident(base) {
            return false;
        }
        let is_current = model.version == base.version;
        let needed = if is_current {
            model.min_replicas.max(1)
        } else {
            1
        };
        let others = self.runners.iter().filter(|other| {
            let other_ledger = self.memory_ledger(other);
            other.name != runner.name && self.is_complete_on(other_ledger, model, base)
        });
        others.count() >= needed as usize
    }

    /// Whether `base` or the current version of the model is resident on a runner, along with
    /// some version of each adapter.
    fn is_complete_on(&self, memory_ledger: &MemoryLedger, model: &Model, base: &Artifact) -> bool {
        let has_base =
            memory_ledger.is_resident(base) || memory_ledger.is_resident(&Self::artifact(model));
        has_base
            && Self::adapters(model).all(|(adapter, _)| {
                memory_ledger.copies.iter().any(|(held, copy)| {
                    held.has_same_name(&adapter) && copy.state == CopyState::Resident
                })
            })
    }
}

/// Whether an artifact is a resident adapter of the model of `base`, and `base` is the runner's
/// only version of that model. Otherwise the adapter stays for the other version.
fn is_adapter_of(artifact: &Artifact, base: &Artifact, memory_ledger: &MemoryLedger) -> bool {
    artifact.adapter.is_some()
        && artifact.model == base.model
        && memory_ledger.is_resident(artifact)
        && !memory_ledger
            .copies
            .keys()
            .any(|other| other.has_same_name(base) && other != base)
}
