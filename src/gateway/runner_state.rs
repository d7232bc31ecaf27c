//! State that the leader keeps for each runner.

use crate::gateway::fleet::{Holding, Server, holds};
use crate::gateway::placement::RunnerView;
use crate::gateway::{RunnerReport, Weights};
use crate::inventory::Name;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Minimum time for which a loaded model stays: demand is counted over 1.5 s, and the demand that
/// a model was loaded for takes some time to show at the new copy.
pub(super) const MIN_RESIDENCE: Duration = Duration::from_secs(2);

/// Last report of a runner and the orders in progress there.
#[derive(Debug, Default)]
pub(super) struct RunnerState {
    /// Last report of the runner; `None` until there is a valid one.
    pub(super) report: Option<RunnerReport>,
    pub(super) report_requested_at: Option<Instant>,
    /// Whether the last report that was requested did not arrive.
    pub(super) last_report_missed: bool,
    pub(super) is_executing: bool,
    /// Model that is being unloaded: no requests for it may be sent to the runner.
    pub(super) unloading: Option<Name>,
    /// Model that is being loaded.
    pub(super) loading: Option<Name>,
    /// Models that were loaded recently, with the time of each load.
    pub(super) recent_loads: Vec<(Name, Instant)>,
}

impl RunnerState {
    /// Records that a report did not arrive. The last report is kept for the first miss: without
    /// it, the planner would treat the runner's copies and loads as gone and load them elsewhere.
    pub(super) fn note_missed_report(&mut self) {
        if self.last_report_missed {
            self.report = None;
        }
        self.last_report_missed = true;
    }

    /// Returns the models that requests may be sent for, with their adapters; `None` without a
    /// report.
    pub(super) fn usable(&self) -> Option<Vec<Holding>> {
        let report = self.report.as_ref()?;
        let holdings = report.holdings.iter();
        let usable = holdings.filter(|holding| self.unloading.as_ref() != Some(&holding.model));
        Some(usable.cloned().collect())
    }

    /// Returns what the directory lists for a runner whose report was not received yet. Its copies
    /// count, and it gets no orders.
    pub(super) fn listed_view(&self, server: &Server) -> Option<RunnerView> {
        if self.report.is_some() || self.last_report_missed {
            return None;
        }
        let models = server.with_entry(|entry| {
            let holdings = entry.holdings.iter();
            holdings.map(|holding| holding.model.clone()).collect()
        });
        Some(RunnerView {
            id: server.id.clone(),
            models,
            is_executing: true,
            ..RunnerView::default()
        })
    }

    /// Returns the state that the planner needs; `None` without a report. `peers_in_flight` are the
    /// requests that other VMs have in flight on the runner, by model.
    pub(super) fn view(
        &self,
        server: &Server,
        peers_in_flight: Option<&HashMap<Name, u32>>,
    ) -> Option<RunnerView> {
        let report = self.report.as_ref()?;
        let usable = self.usable()?;
        let adapters = usable.iter().flat_map(|holding| {
            holding.adapters.iter().map(|adapter| Weights {
                model: holding.model.clone(),
                adapter: Some(adapter.clone()),
            })
        });
        let loading_adapters = report.loading_adapters.iter();
        let loading_adapters = loading_adapters.filter(|weights| !holds(&usable, weights));
        let (in_memory, on_disk) =
            server.with_entry(|entry| (entry.in_memory.clone(), entry.on_disk.clone()));
        Some(RunnerView {
            id: server.id.clone(),
            adapters: adapters.chain(loading_adapters.cloned()).collect(),
            models: usable.iter().map(|holding| holding.model.clone()).collect(),
            loading: self.loading.clone().or_else(|| {
                // A load that an earlier leader ordered, as it told this VM.
                let coming = server.coming(Instant::now()).filter(|_| report.is_busy);
                coming.map(|coming| coming.model)
            }),
            is_executing: self.is_executing || report.is_busy,
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
                    let others = peers_in_flight.and_then(|it| it.get(model)).copied();
                    (model.clone(), own + others.unwrap_or(0))
                })
                .collect(),
            recently_loaded: self
                .recent_loads
                .iter()
                .filter(|(_, at)| at.elapsed() < MIN_RESIDENCE)
                .map(|(model, _)| model.clone())
                .collect(),
            ..RunnerView::default()
        })
    }
}

/// Applies an order to what a runner holds; the load of a model is left to the next report.
pub(super) fn apply_order(holdings: &mut Vec<Holding>, weights: &Weights, is_load: bool) {
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
