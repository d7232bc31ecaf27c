//! Deciding what to load and unload, from the books and the inventory alone.

mod eviction;
mod replicas;

use crate::control::{Artifact, Control, CopyState, MAX_OPEN_LOADS, MemoryLedger};
use crate::demand::Slots;
use crate::inventory::{BackendServer, Model, Name};
use std::collections::{HashMap, HashSet};
use std::fmt::Write;
use std::time::Duration;

/// Copies of a model that are made wherever they fit, in different availability zones.
const SPARE_REPLICAS: u32 = 2;

/// A decision to change what a runner holds.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Move {
    /// Load an artifact.
    Load {
        runner: Name,
        artifact: Artifact,
        mib: u64,
        room_mib: u64,
        reason: &'static str,
        others: String,
    },
    /// Unload an artifact.
    Unload {
        runner: Name,
        artifact: Artifact,
        reason: &'static str,
    },
}

impl Move {
    /// What is loaded or unloaded.
    fn artifact(&self) -> &Artifact {
        match self {
            Self::Load { artifact, .. } | Self::Unload { artifact, .. } => artifact,
        }
    }
}

/// What a plan is made from.
#[derive(Debug)]
pub(crate) struct PlacementPlanner<'a> {
    control: &'a Control,
    runners: Vec<&'a BackendServer>,
    /// The demand for each model.
    demand: HashMap<Name, Slots>,
    /// How long a request is expected to take.
    service_time: Duration,
    /// The hour of the day, UTC.
    hour: u8,
}

impl<'a> PlacementPlanner<'a> {
    /// A planning over the runners of `group` that answer and stay.
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

    /// The same planning with what is asked for, and when.
    pub(crate) fn with_demand(
        mut self,
        demand: HashMap<Name, Slots>,
        service_time: Duration,
        hour: u8,
    ) -> Self {
        self.demand = demand;
        self.service_time = service_time;
        self.hour = hour;
        self
    }

    /// The moves to make now, the most urgent first.
    pub(crate) fn moves(&self) -> Vec<Move> {
        let mut moves = self.unloads();
        moves.extend(self.shed());
        let budget = MAX_OPEN_LOADS.saturating_sub(self.control.open_loads());
        let mut loads = self.missing_adapters();
        let lacking = self.lacking();
        loads.extend(self.place(lacking.iter().copied(), "copy_missing"));
        if !lacking.is_empty() {
            moves.extend(self.make_room(&lacking));
        } else if loads.is_empty() {
            for followed in self.follow_demand() {
                match followed {
                    Move::Load { .. } => loads.push(followed),
                    Move::Unload { .. } => moves.push(followed),
                }
            }
        }
        let is_quiet = loads.is_empty() && self.control.open_loads() == 0;
        if lacking.is_empty() && is_quiet && !self.wants_room() {
            loads.extend(self.spare_copies());
        }
        loads.truncate(budget);
        moves.extend(loads);
        moves
    }

    fn ledger(&self, runner: &BackendServer) -> &'a MemoryLedger {
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

    /// Memory that is free and not needed for adapters of models already there.
    fn free_mib(&self, runner: &BackendServer) -> u64 {
        let ledger = self.ledger(runner);
        let owed_mib: u64 = self
            .control
            .inventory
            .models
            .iter()
            .filter(|model| ledger.is_coming(&Self::artifact(model)))
            .flat_map(Self::adapters)
            .filter(|(adapter, _)| !ledger.copies.contains_key(adapter))
            .map(|(_, mib)| mib)
            .sum();
        runner
            .weights_capacity_mib()
            .saturating_sub(ledger.taken_mib() + owed_mib)
    }

    fn holders(&self, model: &Model) -> Vec<&'a BackendServer> {
        let artifact = Self::artifact(model);
        self.runners
            .iter()
            .filter(|runner| self.ledger(runner).is_coming(&artifact))
            .copied()
            .collect()
    }

    fn missing_adapters(&self) -> Vec<Move> {
        let mut loads = Vec::new();
        for runner in &self.runners {
            let ledger = self.ledger(runner);
            for model in &self.control.inventory.models {
                if !ledger.is_resident(&Self::artifact(model)) {
                    continue;
                }
                for (artifact, mib) in Self::adapters(model) {
                    let absent = ledger
                        .copies
                        .get(&artifact)
                        .is_none_or(|copy| copy.state == CopyState::Reserved);
                    if absent {
                        loads.push(Move::Load {
                            runner: runner.name.clone(),
                            artifact,
                            mib,
                            room_mib: runner.weights_capacity_mib(),
                            reason: "adapter_missing",
                            others: String::new(),
                        });
                    }
                }
            }
        }
        loads
    }

    /// Models with too few copies, those without any first.
    fn lacking(&self) -> Vec<&'a Model> {
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

    fn spare_copies(&self) -> Vec<Move> {
        let models = self.control.inventory.models.iter().filter(|model| {
            let copies = self.holders(model).len() as u32;
            copies > 0 && copies < SPARE_REPLICAS.max(model.min_replicas)
        });
        self.place(models, "spare_copy")
    }

    /// Places one more copy of each model, at most one new copy on a runner.
    fn place<'m>(
        &self,
        models: impl Iterator<Item = &'m Model>,
        reason: &'static str,
    ) -> Vec<Move> {
        let mut taken = HashSet::new();
        let mut loads = Vec::new();
        for model in models {
            if let Some((runner, others)) = self.best_runner(model, &taken) {
                taken.insert(runner.name.clone());
                loads.push(Move::Load {
                    runner: runner.name.clone(),
                    artifact: Self::artifact(model),
                    mib: model.weights_mib,
                    room_mib: runner.weights_capacity_mib(),
                    reason,
                    others,
                });
            }
        }
        loads
    }

    /// The runner with the most free memory, in a zone without a copy if there is one.
    fn best_runner(
        &self,
        model: &Model,
        taken: &HashSet<Name>,
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
            .filter(|runner| !taken.contains(&runner.name))
            .filter(|runner| {
                self.ledger(runner)
                    .copies
                    .get(&artifact)
                    .is_none_or(|copy| copy.state == CopyState::Reserved)
            })
            .map(|runner| {
                let new_zone = self.control.inventory.rules.spread_zones
                    && !zones.contains(&runner.availability_zone);
                let reserved_mib = self.ledger(runner).reserved_mib(&artifact);
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

    fn unloads(&self) -> Vec<Move> {
        let mut unloads = Vec::new();
        for runner in &self.runners {
            let ledger = self.ledger(runner);
            for (artifact, copy) in &ledger.copies {
                if copy.state != CopyState::Resident
                    || self.control.is_last_copy(&runner.name, artifact)
                {
                    continue;
                }
                if let Some(reason) = self.reason_to_unload(ledger, artifact) {
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

    fn reason_to_unload(&self, ledger: &MemoryLedger, artifact: &Artifact) -> Option<&'static str> {
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
            return is_orphan(ledger, artifact).then_some("adapter_without_model");
        }
        let copies = self.control.resident_on(&current).count();
        let complete = self.complete_copies(model);
        (copies >= model.min_replicas as usize && complete >= model.min_replicas as usize)
            .then_some("version_replaced")
    }

    /// Runners that hold the model in force with all its adapters.
    fn complete_copies(&self, model: &Model) -> usize {
        self.runners
            .iter()
            .filter(|runner| {
                let ledger = self.ledger(runner);
                ledger.is_resident(&Self::artifact(model))
                    && Self::adapters(model).all(|(adapter, _)| ledger.is_resident(&adapter))
            })
            .count()
    }
}

/// Whether an adapter lies on a runner that does not hold its model in any version.
fn is_orphan(ledger: &MemoryLedger, artifact: &Artifact) -> bool {
    artifact.adapter.is_some()
        && !ledger
            .copies
            .keys()
            .any(|held| held.model == artifact.model && held.adapter.is_none())
}
