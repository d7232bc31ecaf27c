//! Decides which artifacts to load and unload, from the memory ledgers, the inventory and the
//! measured demand. It does no I/O.

mod eviction;
mod replicas;

use crate::control::{Artifact, Control, CopyState, MAX_OPEN_LOADS, MemoryLedger};
use crate::demand::SlotDemand;
use crate::inventory::{BackendServer, Model, Name};
use std::collections::{HashMap, HashSet};
use std::fmt::Write;
use std::time::Duration;

/// Number of copies of each model to keep while memory is free for them, in different availability
/// zones where possible.
const SPARE_REPLICAS: u32 = 2;

/// A decision to load or unload one artifact on one runner.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Move {
    /// Loads `artifact`, which takes `mib` MiB, on a runner with `capacity_mib` MiB for weights.
    /// `others` is for the log: the other candidate runners, or the expected gain in slots.
    Load {
        runner: Name,
        artifact: Artifact,
        mib: u64,
        capacity_mib: u64,
        reason: &'static str,
        others: String,
    },
    /// Unloads `artifact`.
    Unload {
        runner: Name,
        artifact: Artifact,
        reason: &'static str,
    },
}

impl Move {
    /// Returns the artifact that is loaded or unloaded.
    fn artifact(&self) -> &Artifact {
        match self {
            Self::Load { artifact, .. } | Self::Unload { artifact, .. } => artifact,
        }
    }
}

/// Plans the moves of one group of runners from a snapshot of the control state.
#[derive(Debug)]
pub(crate) struct PlacementPlanner<'a> {
    control: &'a Control,
    runners: Vec<&'a BackendServer>,
    /// The demand for each model, in slots.
    demand: HashMap<Name, SlotDemand>,
    /// The expected duration of a request.
    service_time: Duration,
    /// The hour of the day, UTC.
    hour: u8,
}

impl<'a> PlacementPlanner<'a> {
    /// Creates a planner for the runners of `group` that are up and not leaving, without demand.
    pub(crate) fn new(control: &'a Control, group: &str, is_up: impl Fn(&str) -> bool) -> Self {
        let runners = control
            .inventory
            .runners()
            .filter(|runner| runner.group == group && !runner.leaving && is_up(&runner.name))
            .collect();
        Self {
            control,
            runners,
            demand: HashMap::new(),
            service_time: Duration::ZERO,
            hour: 0,
        }
    }

    /// Sets the demand per model, the expected duration of a request and the hour (UTC).
    pub(crate) fn with_demand(
        mut self,
        demand: HashMap<Name, SlotDemand>,
        service_time: Duration,
        hour: u8,
    ) -> Self {
        self.demand = demand;
        self.service_time = service_time;
        self.hour = hour;
        self
    }

    /// Returns the moves to make now: unloads first, then loads by urgency.
    ///
    /// The loads are limited so that at most `MAX_OPEN_LOADS` are open at once, over all groups.
    pub(crate) fn moves(&self) -> Vec<Move> {
        let mut moves = self.obsolete_copies();
        moves.extend(self.unload_excess());
        let budget = MAX_OPEN_LOADS.saturating_sub(self.control.open_loads());
        let mut loads = self.missing_adapters();
        let under_replicated = self.under_replicated();
        loads.extend(self.place_copies(under_replicated.iter().copied(), "copy_missing"));
        if !under_replicated.is_empty() {
            moves.extend(self.free_memory(&under_replicated));
        } else if loads.is_empty() {
            for planned in self.demand_moves() {
                match planned {
                    Move::Load { .. } => loads.push(planned),
                    Move::Unload { .. } => moves.push(planned),
                }
            }
        }
        let no_loads_open = loads.is_empty() && self.control.open_loads() == 0;
        if under_replicated.is_empty() && no_loads_open && !self.should_hold_back_spare_copies() {
            loads.extend(self.spare_copies());
        }
        loads.truncate(budget);
        moves.extend(loads);
        moves
    }

    fn memory_ledger(&self, runner: &BackendServer) -> &'a MemoryLedger {
        self.control.ledger(&runner.name)
    }

    fn artifact(model: &Model) -> Artifact {
        Artifact {
            model: model.name.clone(),
            adapter: None,
            version: model.version.clone(),
        }
    }

    fn adapters(model: &Model) -> impl Iterator<Item = (Artifact, u64)> {
        model.adapters.iter().map(|adapter| {
            let artifact = Artifact {
                model: model.name.clone(),
                adapter: Some(adapter.name.clone()),
                version: adapter.version.clone(),
            };
            (artifact, adapter.weights_mib)
        })
    }

    /// Returns the memory in MiB that is neither taken nor needed for the missing adapters of
    /// models that the runner holds or is loading.
    fn free_mib(&self, runner: &BackendServer) -> u64 {
        let memory_ledger = self.memory_ledger(runner);
        let pending_adapters_mib: u64 = self
            .control
            .inventory
            .models
            .iter()
            .filter(|model| memory_ledger.is_resident_or_loading(&Self::artifact(model)))
            .flat_map(Self::adapters)
            .filter(|(adapter, _)| !memory_ledger.copies.contains_key(adapter))
            .map(|(_, mib)| mib)
            .sum();
        runner
            .weights_capacity_mib()
            .saturating_sub(memory_ledger.taken_mib() + pending_adapters_mib)
    }

    /// Returns the runners on which the model's listed version is resident or loading.
    fn holders(&self, model: &Model) -> Vec<&'a BackendServer> {
        let artifact = Self::artifact(model);
        self.runners
            .iter()
            .filter(|runner| self.memory_ledger(runner).is_resident_or_loading(&artifact))
            .copied()
            .collect()
    }

    /// Loads the adapters that are missing on runners where their model is resident.
    fn missing_adapters(&self) -> Vec<Move> {
        let mut loads = Vec::new();
        for runner in &self.runners {
            let memory_ledger = self.memory_ledger(runner);
            for model in &self.control.inventory.models {
                if !memory_ledger.is_resident(&Self::artifact(model)) {
                    continue;
                }
                for (artifact, mib) in Self::adapters(model) {
                    let absent = memory_ledger
                        .copies
                        .get(&artifact)
                        .is_none_or(|copy| copy.state == CopyState::Reserved);
                    if absent {
                        loads.push(Move::Load {
                            runner: runner.name.clone(),
                            artifact,
                            mib,
                            capacity_mib: runner.weights_capacity_mib(),
                            reason: "adapter_missing",
                            others: String::new(),
                        });
                    }
                }
            }
        }
        loads
    }

    /// Returns the models with fewer than `min_replicas` copies, ordered by the number of copies,
    /// then by size, largest first.
    fn under_replicated(&self) -> Vec<&'a Model> {
        let mut models: Vec<(usize, &Model)> = self
            .control
            .inventory
            .models
            .iter()
            .map(|model| (self.holders(model).len(), model))
            .filter(|(copies, model)| (*copies as u32) < model.min_replicas)
            .collect();
        models.sort_by_key(|(copies, model)| (*copies, std::cmp::Reverse(model.resident_mib())));
        models.into_iter().map(|(_, model)| model).collect()
    }

    /// Loads one more copy of models that have at least one but fewer than `SPARE_REPLICAS`.
    fn spare_copies(&self) -> Vec<Move> {
        let models = self.control.inventory.models.iter().filter(|model| {
            let copies = self.holders(model).len() as u32;
            copies > 0 && copies < SPARE_REPLICAS.max(model.min_replicas)
        });
        self.place_copies(models, "spare_copy")
    }

    /// Loads one more copy of each model where it fits, with at most one new copy per runner.
    fn place_copies<'m>(
        &self,
        models: impl Iterator<Item = &'m Model>,
        reason: &'static str,
    ) -> Vec<Move> {
        let mut used_runners = HashSet::new();
        let mut loads = Vec::new();
        for model in models {
            if let Some((runner, others)) = self.best_runner(model, &used_runners) {
                used_runners.insert(runner.name.clone());
                loads.push(Move::Load {
                    runner: runner.name.clone(),
                    artifact: Self::artifact(model),
                    mib: model.weights_mib,
                    capacity_mib: runner.weights_capacity_mib(),
                    reason,
                    others,
                });
            }
        }
        loads
    }

    /// Selects the runner with the most free memory, with `spread_zones` preferring availability
    /// zones without a copy. Also returns the other candidates with their free MiB, for the log.
    fn best_runner(
        &self,
        model: &Model,
        used_runners: &HashSet<Name>,
    ) -> Option<(&'a BackendServer, String)> {
        let zones: HashSet<&Name> = self
            .holders(model)
            .iter()
            .map(|runner| &runner.availability_zone)
            .collect();
        let artifact = Self::artifact(model);
        let mut fitting: Vec<(bool, u64, &BackendServer)> = self
            .runners
            .iter()
            .filter(|runner| !used_runners.contains(&runner.name))
            .filter(|runner| {
                self.memory_ledger(runner)
                    .copies
                    .get(&artifact)
                    .is_none_or(|copy| copy.state == CopyState::Reserved)
            })
            .map(|runner| {
                let new_zone = self.control.inventory.rules.spread_zones
                    && !zones.contains(&runner.availability_zone);
                let reserved_mib = self.memory_ledger(runner).reserved_mib(&artifact);
                (new_zone, self.free_mib(runner) + reserved_mib, *runner)
            })
            .filter(|(_, free_mib, _)| *free_mib >= model.resident_mib())
            .collect();
        fitting.sort_by_key(|(new_zone, free_mib, _)| std::cmp::Reverse((*new_zone, *free_mib)));
        let mut others = String::new();
        for (_, free_mib, runner) in fitting.iter().skip(1) {
            let _ = write!(others, "{}:{free_mib},", runner.name);
        }
        fitting.first().map(|(_, _, runner)| (*runner, others))
    }

    /// Unloads artifacts that are no longer needed, except the last ready copy of a listed one.
    fn obsolete_copies(&self) -> Vec<Move> {
        let mut unloads = Vec::new();
        for runner in &self.runners {
            let memory_ledger = self.memory_ledger(runner);
            for (artifact, copy) in &memory_ledger.copies {
                if copy.state != CopyState::Resident
                    || self.control.is_last_copy(&runner.name, artifact)
                {
                    continue;
                }
                if let Some(reason) = self.reason_to_unload(memory_ledger, artifact) {
                    unloads.push(Move::Unload {
                        runner: runner.name.clone(),
                        artifact: artifact.clone(),
                        reason,
                    });
                }
            }
        }
        unloads
    }

    /// Returns why an artifact is no longer needed, or `None` if it is.
    ///
    /// A replaced version is unloaded once `min_replicas` copies of the current version are
    /// resident, and as many runners hold the current model with all its adapters.
    fn reason_to_unload(
        &self,
        memory_ledger: &MemoryLedger,
        artifact: &Artifact,
    ) -> Option<&'static str> {
        let Some(model) = self.control.inventory.model(&artifact.model) else {
            return Some("model_not_listed");
        };
        let current = match &artifact.adapter {
            None => Self::artifact(model),
            Some(name) => match Self::adapters(model)
                .map(|(adapter, _)| adapter)
                .find(|adapter| adapter.adapter.as_ref() == Some(name))
            {
                Some(adapter) => adapter,
                None => return Some("adapter_not_listed"),
            },
        };
        if current == *artifact {
            return is_orphan(memory_ledger, artifact).then_some("adapter_without_model");
        }
        let copies = self.control.resident_on(&current).count();
        let complete = self.complete_copies(model);
        (copies >= model.min_replicas as usize && complete >= model.min_replicas as usize)
            .then_some("version_replaced")
    }

    /// Counts the runners on which the current version of the model and of all its adapters is
    /// resident.
    fn complete_copies(&self, model: &Model) -> usize {
        self.runners
            .iter()
            .filter(|runner| {
                let memory_ledger = self.memory_ledger(runner);
                memory_ledger.is_resident(&Self::artifact(model))
                    && Self::adapters(model).all(|(adapter, _)| memory_ledger.is_resident(&adapter))
            })
            .count()
    }
}

/// Whether the artifact is an adapter on a runner that holds no version of its model.
fn is_orphan(memory_ledger: &MemoryLedger, artifact: &Artifact) -> bool {
    artifact.adapter.is_some()
        && !memory_ledger
            .copies
            .keys()
            .any(|other| other.model == artifact.model && other.adapter.is_none())
}
