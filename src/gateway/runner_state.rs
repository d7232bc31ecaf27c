//! What the leading VM knows of one runner.

use crate::gateway::fleet::{Holding, Server, holds};
use crate::gateway::planning::RunnerView;
use crate::gateway::state::State;
use crate::gateway::{RunnerReport, Weights};
use crate::inventory::Name;
use std::time::{Duration, Instant};

/// How long a model stays once it was loaded: the demand that it was loaded for is counted
/// over a second and a half and needs some time to show at the new copy.
pub(super) const SETTLE: Duration = Duration::from_secs(2);

/// What is known of one runner.
#[derive(Debug, Default)]
pub(super) struct Tracked {
    /// Its account; `None` until it was asked.
    pub(super) report: Option<RunnerReport>,
    pub(super) asked_at: Option<Instant>,
    /// Whether the last account that was asked for did not come.
    pub(super) is_missed: bool,
    pub(super) is_working: bool,
    /// A model that is being dropped: no request is to be sent for it.
    pub(super) dropping: Option<Name>,
    /// A model that is being loaded.
    pub(super) loading: Option<Name>,
    /// When models were loaded of late.
    pub(super) loaded: Vec<(Name, Instant)>,
}

impl Tracked {
    /// Notes an account that did not come. What is known stays for one of them: without it the plan
    /// would take the runner's copies, and what it loads, for gone and load them elsewhere.
    pub(super) fn note_missed(&mut self) {
        if self.is_missed {
            self.report = None;
        }
        self.is_missed = true;
    }

    /// The models that requests may be sent for.
    pub(super) fn usable(&self) -> Option<Vec<Holding>> {
        let report = self.report.as_ref()?;
        let holdings = report.holdings.iter();
        let usable = holdings.filter(|holding| self.dropping.as_ref() != Some(&holding.model));
        Some(usable.cloned().collect())
    }

    /// The runner as the planner sees it; `None` until it gave an account.
    pub(super) fn view(&self, server: &Server, state: &State) -> Option<RunnerView> {
        let report = self.report.as_ref()?;
        let usable = self.usable()?;
        let adapters = usable.iter().flat_map(|holding| {
            holding.adapters.iter().map(|adapter| Weights {
                model: holding.model.clone(),
                adapter: Some(adapter.clone()),
            })
        });
        let coming = report.coming.iter();
        let coming = coming.filter(|weights| !holds(&usable, weights));
        let (in_memory, on_disk) =
            server.with_entry(|entry| (entry.in_memory.clone(), entry.on_disk.clone()));
        Some(RunnerView {
            id: server.id.clone(),
            adapters: adapters.chain(coming.cloned()).collect(),
            models: usable.iter().map(|holding| holding.model.clone()).collect(),
            coming: self.loading.clone(),
            is_working: self.is_working || report.is_busy,
            in_memory,
            on_disk,
            in_flight: report
                .holdings
                .iter()
                .map(|holding| {
                    let model = &holding.model;
                    let own = server.in_flight_by_model();
                    let own = own.iter().find(|(name, _)| name == model);
                    let own = own.map_or(0, |(_, count)| *count);
                    let all = own + state.peers.in_flight_for(&server.id, model);
                    (model.clone(), all)
                })
                .collect(),
            settling: self
                .loaded
                .iter()
                .filter(|(_, at)| at.elapsed() < SETTLE)
                .map(|(model, _)| model.clone())
                .collect(),
        })
    }
}

/// Enters a change into what a runner holds.
pub(super) fn apply(holdings: &mut Vec<Holding>, weights: &Weights, is_load: bool) {
    let Some(adapter) = &weights.adapter else {
        if !is_load {
            holdings.retain(|holding| holding.model != weights.model);
        }
        return;
    };
    let of_model = holdings
        .iter_mut()
        .find(|holding| holding.model == weights.model);
    if let Some(holding) = of_model {
        holding.adapters.retain(|held| held != adapter);
        if is_load {
            holding.adapters.push(adapter.clone());
        }
    }
}
