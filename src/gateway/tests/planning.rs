//! Plans always fit the memory and adapter slots of a runner, and follow the demand.

use crate::gateway::demand_rate::DemandRate;
use crate::gateway::placement::{PlacementPlanner, RunnerPlan, RunnerView};
use crate::gateway::{Engine, Model, Weights};
use crate::inventory::Name;
use proptest::prelude::*;
use std::collections::{HashMap, HashSet};

const SLOTS: u32 = 5;
/// Runner time that a request takes, in milliseconds.
const MS_PER_REQUEST: f64 = 50.0;

fn engine(adapters: u32) -> Engine {
    let model = |name: &str, adapters| Model {
        name: name.into(),
        weights_mb: 72_700.0,
        load_ms: 4_200,
        warm_load_ms: 630,
        disk_load_ms: 840,
        adapters,
        adapter_mb: 66.0,
    };
    Engine {
        weights_mb: 200_000.0,
        slots: 64,
        adapter_slots: SLOTS,
        loads_per_s: 1.6,
        models: vec![
            model("m0", adapters),
            model("m1", 0),
            model("m2", adapters),
            model("m3", 0),
        ],
    }
}

fn adapter(model: &str, number: u32) -> Weights {
    Weights {
        model: model.into(),
        adapter: Some(format!("a{number}").into()),
    }
}

fn model(name: &str) -> Weights {
    Weights {
        model: name.into(),
        adapter: None,
    }
}

fn runner(id: &str, models: &[&str]) -> RunnerView {
    RunnerView {
        id: id.into(),
        models: models.iter().map(|name| Name::from(*name)).collect(),
        on_disk: vec!["m0".into(), "m1".into(), "m2".into(), "m3".into()],
        ..RunnerView::default()
    }
}

fn rate(busy_ms_per_s: f64) -> DemandRate {
    DemandRate {
        busy_ms_per_s,
        requests_per_s: busy_ms_per_s / MS_PER_REQUEST,
        waiting: 0,
    }
}

fn plan(
    engine: &Engine,
    runners: &[RunnerView],
    demand: &HashMap<Weights, DemandRate>,
) -> HashMap<Name, RunnerPlan> {
    let planner = PlacementPlanner {
        engine,
        runners,
        demand,
        recently_requested: &HashSet::new(),
        cold_loads: 8,
        knows_runners: true,
    };
    planner.plan()
}

/// Applies a plan in the order that the leader uses, all unloads before all loads, and checks that
/// each step is possible.
fn check_fits(engine: &Engine, runner: &RunnerView, runner_plan: &RunnerPlan) {
    let mut adapters = runner.adapters.clone();
    let mut models = runner.models.clone();
    for unloaded in &runner_plan.unload {
        if unloaded.adapter.is_some() {
            assert!(adapters.contains(unloaded), "{unloaded:?} is not held");
            adapters.retain(|held| held != unloaded);
        } else {
            assert!(models.contains(&unloaded.model), "{unloaded:?} is not held");
            models.retain(|held| *held != unloaded.model);
        }
    }
    for loaded in &runner_plan.load {
        if loaded.adapter.is_some() {
            assert!(!adapters.contains(loaded), "{loaded:?} is already held");
            adapters.push(loaded.clone());
        } else {
            models.push(loaded.model.clone());
        }
    }
    assert!(
        adapters.len() <= engine.adapter_slots as usize,
        "{runner_plan:?}"
    );
    let used_mb: f64 = models
        .iter()
        .map(|held| engine.model(held).map_or(0.0, |model| model.weights_mb))
        .sum();
    assert!(used_mb <= engine.weights_mb, "{runner_plan:?}");
}

#[test]
fn an_adapter_loaded_by_a_plan_is_not_unloaded_by_it() {
    let mut engine = engine(12);
    engine.models.truncate(1);
    let mut full = runner("r1", &["m0"]);
    full.adapters = (1..=5).map(|number| adapter("m0", number)).collect();
    // A request waits for an adapter with little demand; another with high demand is missing too.
    let mut demand: HashMap<Weights, DemandRate> = (2..=5)
        .map(|number| (adapter("m0", number), rate(3_000.0)))
        .collect();
    let waiting = DemandRate {
        waiting: 1,
        ..rate(10.0)
    };
    demand.insert(adapter("m0", 6), waiting);
    demand.insert(adapter("m0", 7), rate(5_000.0));
    let runners = [full];
    let plan = plan(&engine, &runners, &demand);
    check_fits(&engine, &runners[0], &plan["r1"]);
}

#[test]
fn a_model_that_requests_wait_for_and_no_runner_holds_is_loaded() {
    let engine = engine(0);
    let runners = [runner("r1", &["m0", "m1"]), runner("r2", &["m0", "m1"])];
    let waiting = DemandRate {
        waiting: 1,
        ..rate(100.0)
    };
    let demand = HashMap::from([(model("m2"), waiting), (model("m0"), rate(5_000.0))]);
    let plan = plan(&engine, &runners, &demand);
    let loads = plan
        .values()
        .filter(|runner_plan| runner_plan.load.contains(&model("m2")));
    assert_eq!(loads.count(), 1, "{plan:?}");
}

/// Guards against plans that rank runners by load alone: all runners are idle, so that only their
/// speed distinguishes them.
#[test]
fn a_demanded_model_is_loaded_on_the_fastest_of_idle_runners() {
    let engine = engine(0);
    let mut runners: Vec<RunnerView> = (0..20)
        .map(|number| runner(&format!("r{number:02}"), &["m0", "m2"]))
        .collect();
    for (number, view) in runners.iter_mut().enumerate() {
        view.slowness = if number == 17 { 0.6 } else { 2.7 };
    }
    runners[3].slowness = f64::NAN;
    let demand = HashMap::from([(model("m1"), rate(400.0))]);
    let plan = plan(&engine, &runners, &demand);
    let loads = plan.iter().filter(|(_, it)| it.load.contains(&model("m1")));
    let loading: Vec<&str> = loads.map(|(id, _)| id.as_str()).collect();
    assert_eq!(loading, ["r17"], "{plan:?}");
}

#[test]
fn copies_follow_demand_to_another_model() {
    let engine = engine(0);
    let runners = [
        runner("r1", &["m0", "m1"]),
        runner("r2", &["m0", "m2"]),
        runner("r3", &["m0", "m3"]),
    ];
    let demand = HashMap::from([(model("m1"), rate(60_000.0))]);
    let plan = plan(&engine, &runners, &demand);
    let loads = plan
        .values()
        .filter(|runner_plan| runner_plan.load.contains(&model("m1")));
    assert!(loads.count() > 0, "{plan:?}");
    let unloads: usize = plan
        .values()
        .map(|runner_plan| runner_plan.unload.len())
        .sum();
    assert!(unloads < 3, "the last copy of m0 must stay: {plan:?}");
}

#[test]
fn more_runners_take_more_swaps_at_a_time() {
    let engine = engine(0);
    let swaps_of = |count: usize| {
        let runners: Vec<RunnerView> = (0..count)
            .map(|number| runner(&format!("r{number}"), &["m0", "m2"]))
            .collect();
        let demand = HashMap::from([(model("m1"), rate(4_000_000.0))]);
        plan(&engine, &runners, &demand).len()
    };
    assert_eq!(swaps_of(9), 7);
    assert_eq!(swaps_of(90), 68);
}

#[test]
fn equal_demand_plans_no_swaps() {
    let engine = engine(0);
    let runners = [
        runner("r1", &["m0", "m1"]),
        runner("r2", &["m2", "m3"]),
        runner("r3", &["m0", "m1"]),
        runner("r4", &["m2", "m3"]),
    ];
    let demand = ["m0", "m1", "m2", "m3"]
        .into_iter()
        .map(|name| (model(name), rate(30_000.0)))
        .collect();
    assert!(plan(&engine, &runners, &demand).is_empty());
}

proptest! {
    #[test]
    fn plans_always_fit(
        contents in prop::collection::vec((0_u32..4, 0_u32..4, prop::collection::vec(1_u32..9, 0..6)), 1..6),
        rates in prop::collection::vec((0_u32..4, 0_u32..9, 0.0..90_000.0, 0_u32..3), 0..20),
    ) {
        let engine = engine(8);
        let name = |number: u32| format!("m{number}");
        let runners: Vec<RunnerView> = contents
            .iter()
            .enumerate()
            .map(|(index, (first, second, adapters))| {
                let (first, second) = (name(*first), name(*second));
                let models = if first == second { vec![first.as_str()] } else { vec![first.as_str(), second.as_str()] };
                let mut view = runner(&format!("r{index}"), &models);
                for number in adapters {
                    let held = adapter(&first, *number);
                    if !view.adapters.contains(&held) && view.adapters.len() < SLOTS as usize {
                        view.adapters.push(held);
                    }
                }
                view
            })
            .collect();
        let demand: HashMap<Weights, DemandRate> = rates
            .iter()
            .map(|(model_number, number, busy_ms_per_s, waiting)| {
                let weights = match number {
                    0 => model(&name(*model_number)),
                    number => adapter(&name(*model_number), *number),
                };
                (weights, DemandRate { waiting: *waiting, ..rate(*busy_ms_per_s) })
            })
            .collect();
        let plan = plan(&engine, &runners, &demand);
        for view in &runners {
            if let Some(runner_plan) = plan.get(&view.id) {
                check_fits(&engine, view, runner_plan);
            }
        }
    }
}
