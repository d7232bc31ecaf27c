//! Simulates runners whose models the leader places while the demand moves every ten seconds, and
//! compares what callers get with the current demand figures, with the trend of the fleet's demand,
//! and with an oracle that knows the coming demand.

use crate::gateway::demand::Demand;
use crate::gateway::demand_rate::DemandRate;
use crate::gateway::load_limit::LoadRateLimit;
use crate::gateway::placement::{DemandTrend, PlacementPlanner, RunnerView, TrendRule};
use crate::gateway::{Engine, Model, Weights};
use crate::inventory::Name;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::{HashMap, HashSet, VecDeque};
use std::time::{Duration, Instant};

const RUNNERS: usize = 90;
const SLOTS: usize = 12;
const RUN_MS: u64 = 60_000;
/// Requests that arrive earlier are not counted: the first placement is arbitrary.
const WARM_UP_MS: u64 = 10_000;
const TICK_MS: u64 = 10;
const PLAN_INTERVAL_MS: u64 = 100;
const SHIFT_INTERVAL_MS: u64 = 10_000;
/// Time in which the demand moves to other models.
const SHIFT_MS: u64 = 1_000;
const BURST_INTERVAL_MS: u64 = 15_000;
const BURST_MS: u64 = 4_000;
const BURST_FACTOR: f64 = 3.5;
/// Share of the demand that is for the popular models.
const POPULAR_SHARE: f64 = 0.5;
const LONG_MS: f64 = 1_600.0;
const SHORT_MS: f64 = 300.0;
const LONG_SHARE: f64 = 0.5;
/// Wait after which an answer is late, and after which a request is refused.
const TARGET_MS: u64 = 250;
const HOLD_MS: u64 = 1_400;
/// Value of a late answer relative to one in time.
const LATE_VALUE: f64 = 0.6;
/// Models that a runner keeps on its disk.
const DISK_MODELS: usize = 8;
const DISK_LOAD_MS: u64 = 840;
const MEMORY_LOAD_MS: u64 = 630;
const UNLOAD_MS: u64 = 250;
const MIN_RESIDENCE_MS: u64 = 2_000;
const MODEL_MB: f64 = 60_000.0;
const RECENT_REQUEST_MS: u64 = 20_000;

/// A deployment of the page.
#[derive(Clone, Copy)]
struct Deployment {
    models: usize,
    requests_per_s: f64,
    popular: usize,
    load_ms: u64,
    concurrent_loads: usize,
}

const LOADS_PER_S: f64 = 13.0;
const COMPETING: Deployment = Deployment {
    models: 126,
    requests_per_s: 544.0,
    popular: 3,
    load_ms: 3_100,
    concurrent_loads: 48,
};
const UNEVEN: Deployment = Deployment {
    models: 107,
    requests_per_s: 614.0,
    popular: 1,
    load_ms: 1_200,
    concurrent_loads: 15,
};

/// The demand that plans are made with.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Knowledge {
    /// What VMs report.
    Reported,
    /// The same, corrected by its trend.
    Trend(TrendRule),
    /// The mean of the true rates over the coming time, in milliseconds.
    Oracle(u64),
}

/// The VMs, and how often each reports its demand to the leader.
#[derive(Clone, Copy, Debug)]
struct Reporting {
    vms: usize,
    interval_ms: u64,
    lost_share: f64,
}

const USUAL_REPORTING: Reporting = Reporting {
    vms: 58,
    interval_ms: 200,
    lost_share: 0.1,
};

#[derive(Debug, Default)]
struct Outcome {
    requests: u32,
    in_time: u32,
    late: u32,
    cold_loads: Vec<u64>,
    loads: u32,
}

impl Outcome {
    fn value(&self) -> f64 {
        (f64::from(self.in_time) + LATE_VALUE * f64::from(self.late)) / f64::from(self.requests)
    }

    /// The most loads from the weight store that began within any second.
    fn max_cold_loads_per_s(&self) -> usize {
        let starts = &self.cold_loads;
        let within = |from: u64| {
            let within = starts
                .iter()
                .filter(|at| (from..from + 1_000).contains(*at));
            within.count()
        };
        starts.iter().map(|from| within(*from)).max().unwrap_or(0)
    }
}

struct Day {
    /// Requests per second by model, by tenth of a second.
    rates: Vec<Vec<f64>>,
}

impl Day {
    fn new(deployment: Deployment, random: &mut SmallRng) -> Self {
        let Deployment {
            models, popular, ..
        } = deployment;
        let weight = |model: usize| 1.0 / (model as f64 + 4.0);
        let total: f64 = (0..models).map(weight).sum();
        let mut pick = || -> Vec<usize> {
            (0..popular)
                .map(|_| random.random_range(0..models))
                .collect()
        };
        let shifts = RUN_MS / SHIFT_INTERVAL_MS + 2;
        let chosen: Vec<Vec<usize>> = (0..shifts).map(|_| pick()).collect();
        let bursts = RUN_MS / BURST_INTERVAL_MS + 2;
        let burst_models: Vec<usize> = (0..bursts)
            .map(|_| random.random_range(0..models))
            .collect();
        let steps = (RUN_MS / PLAN_INTERVAL_MS) as usize + 200;
        let rates = (0..steps).map(|step| {
            let now_ms = step as u64 * PLAN_INTERVAL_MS;
            let mut rates: Vec<f64> = (0..models)
                .map(|model| {
                    weight(model) / total * deployment.requests_per_s * (1.0 - POPULAR_SHARE)
                })
                .collect();
            let shift = ((now_ms / SHIFT_INTERVAL_MS) as usize).min(chosen.len() - 1);
            let moved = (now_ms % SHIFT_INTERVAL_MS) as f64 / SHIFT_MS as f64;
            let moved = if shift == 0 { 1.0 } else { moved.min(1.0) };
            let each = deployment.requests_per_s * POPULAR_SHARE / popular as f64;
            for model in &chosen[shift] {
                rates[*model] += each * moved;
            }
            for model in &chosen[shift.saturating_sub(1)] {
                rates[*model] += each * (1.0 - moved);
            }
            if now_ms % BURST_INTERVAL_MS < BURST_MS {
                let burst = (now_ms / BURST_INTERVAL_MS) as usize;
                rates[burst_models[burst.min(burst_models.len() - 1)]] *= BURST_FACTOR;
            }
            rates
        });
        Self {
            rates: rates.collect(),
        }
    }

    fn at(&self, now_ms: u64) -> &[f64] {
        let step = (now_ms / PLAN_INTERVAL_MS) as usize;
        &self.rates[step.min(self.rates.len() - 1)]
    }
}

#[derive(Default)]
struct Runner {
    held: Vec<usize>,
    loaded_ms: HashMap<usize, u64>,
    /// Model being loaded with the end of the load, after unloading.
    loading: Option<(usize, u64, bool)>,
    /// Ends of the running requests, with their models.
    running: Vec<(u64, usize)>,
    disk: VecDeque<usize>,
    memory: Option<usize>,
}

struct Waiting {
    model: usize,
    arrived_ms: u64,
    took_ms: f64,
}

fn busy_ms() -> f64 {
    (LONG_SHARE * LONG_MS + (1.0 - LONG_SHARE) * SHORT_MS) / SLOTS as f64
}

fn weights(model: usize) -> Weights {
    Weights {
        model: name(model),
        adapter: None,
    }
}

fn name(model: usize) -> Name {
    format!("m{model}").as_str().into()
}

fn index(name: &Name) -> usize {
    name[1..].parse().expect("a number")
}

fn engine(deployment: Deployment) -> Engine {
    let models = (0..deployment.models).map(|model| Model {
        name: name(model),
        weights_mb: MODEL_MB,
        load_ms: deployment.load_ms,
        warm_load_ms: MEMORY_LOAD_MS,
        disk_load_ms: DISK_LOAD_MS,
        adapters: 0,
        adapter_mb: 0.0,
    });
    Engine {
        weights_mb: 200_000.0,
        slots: SLOTS as u32,
        adapter_slots: 0,
        loads_per_s: LOADS_PER_S,
        models: models.collect(),
    }
}

/// The demand at each VM, and what it last reported.
struct Reports {
    reporting: Reporting,
    demands: Vec<Demand>,
    reported: Vec<Vec<(Weights, DemandRate)>>,
    trend: DemandTrend,
}

impl Reports {
    fn new(reporting: Reporting, rule: TrendRule, now: Instant) -> Self {
        Self {
            reporting,
            demands: (0..reporting.vms).map(|_| Demand::default()).collect(),
            reported: vec![Vec::new(); reporting.vms],
            trend: DemandTrend::new(rule, now),
        }
    }

    /// Sends the reports that are due.
    fn send(&mut self, now_ms: u64, now: Instant, random: &mut SmallRng) {
        let Reporting {
            vms,
            interval_ms,
            lost_share,
        } = self.reporting;
        for vm in 0..vms {
            let phase_ms = vm as u64 * 70 / TICK_MS * TICK_MS;
            let is_due = (now_ms + phase_ms).is_multiple_of(interval_ms);
            if is_due && !random.random_bool(lost_share) {
                self.reported[vm] = self.demands[vm].rates(now);
            }
        }
    }

    fn sum(&self) -> HashMap<Weights, DemandRate> {
        let mut sum: HashMap<Weights, DemandRate> = HashMap::new();
        for (weights, rate) in self.reported.iter().flatten() {
            let total = sum.entry(weights.clone()).or_default();
            total.busy_ms_per_s += rate.busy_ms_per_s;
            total.requests_per_s += rate.requests_per_s;
        }
        sum
    }
}

/// The mean of the true rates over the coming time.
fn coming_demand(day: &Day, ahead_ms: u64, now_ms: u64) -> HashMap<Weights, DemandRate> {
    let steps = (ahead_ms / PLAN_INTERVAL_MS).max(1);
    let mean = |model: usize| {
        let coming = (0..steps).map(|it| day.at(now_ms + it * PLAN_INTERVAL_MS)[model]);
        coming.sum::<f64>() / steps as f64
    };
    let rates = (0..day.at(0).len()).map(|model| {
        let rate = DemandRate {
            requests_per_s: mean(model),
            busy_ms_per_s: mean(model) * busy_ms(),
            waiting: 0,
        };
        (weights(model), rate)
    });
    rates.collect()
}

fn play(deployment: Deployment, knowledge: Knowledge, reporting: Reporting, seed: u64) -> Outcome {
    let mut random = SmallRng::seed_from_u64(seed);
    let day = Day::new(deployment, &mut random);
    let engine = engine(deployment);
    let mut runners: Vec<Runner> = (0..RUNNERS)
        .map(|runner| Runner {
            held: (0..3)
                .map(|it| (runner * 3 + it) % deployment.models)
                .collect(),
            disk: (0..DISK_MODELS)
                .map(|_| random.random_range(0..deployment.models))
                .collect(),
            ..Runner::default()
        })
        .collect();
    let start = Instant::now();
    let rule = match knowledge {
        Knowledge::Trend(rule) => rule,
        Knowledge::Reported | Knowledge::Oracle(_) => TrendRule::default(),
    };
    let mut reports = Reports::new(reporting, rule, start);
    let limit = LoadRateLimit::new(Duration::from_secs(1));
    let mut last_requested: HashMap<usize, u64> = HashMap::new();
    let mut waiting: VecDeque<Waiting> = VecDeque::new();
    let mut outcome = Outcome::default();
    let mut due = vec![0.0_f64; deployment.models];
    let mut next: Vec<f64> = due.iter().map(|_| exponential(&mut random)).collect();
    for now_ms in (0..RUN_MS).step_by(TICK_MS as usize) {
        let now = start + Duration::from_millis(now_ms);
        for runner in &mut runners {
            runner.running.retain(|(end_ms, _)| *end_ms > now_ms);
            if let Some((model, _, _)) = runner.loading.take_if(|it| it.1 <= now_ms) {
                runner.held.push(model);
                runner.loaded_ms.insert(model, now_ms);
                runner.disk.retain(|it| *it != model);
                runner.disk.push_back(model);
                if runner.disk.len() > DISK_MODELS {
                    runner.disk.pop_front();
                }
            }
        }
        for (model, rate) in day.at(now_ms).iter().enumerate() {
            due[model] += rate * TICK_MS as f64 / 1_000.0;
            while due[model] >= next[model] {
                next[model] += exponential(&mut random);
                let is_long = random.random_bool(LONG_SHARE);
                let took_ms = if is_long { LONG_MS } else { SHORT_MS };
                let vm = random.random_range(0..reporting.vms);
                reports.demands[vm].note(&weights(model), took_ms / SLOTS as f64, now);
                last_requested.insert(model, now_ms);
                outcome.requests += u32::from(now_ms >= WARM_UP_MS);
                waiting.push_back(Waiting {
                    model,
                    arrived_ms: now_ms,
                    took_ms,
                });
            }
        }
        waiting.retain(|request| {
            let waited_ms = now_ms - request.arrived_ms;
            let holding = runners
                .iter_mut()
                .filter(|it| it.held.contains(&request.model) && it.running.len() < SLOTS);
            let Some(runner) = holding.min_by_key(|it| it.running.len()) else {
                return waited_ms < HOLD_MS;
            };
            runner
                .running
                .push((now_ms + request.took_ms as u64, request.model));
            if request.arrived_ms >= WARM_UP_MS {
                match waited_ms <= TARGET_MS {
                    true => outcome.in_time += 1,
                    false => outcome.late += 1,
                }
            }
            false
        });
        reports.send(now_ms, now, &mut random);
        if !now_ms.is_multiple_of(PLAN_INTERVAL_MS) {
            continue;
        }
        let mut by_weights = match knowledge {
            Knowledge::Oracle(ahead_ms) => coming_demand(&day, ahead_ms, now_ms),
            Knowledge::Reported | Knowledge::Trend(_) => reports.sum(),
        };
        if matches!(knowledge, Knowledge::Trend(_)) {
            reports.trend.correct(&mut by_weights, reporting.vms, now);
        }
        for request in &waiting {
            if !runners.iter().any(|it| it.held.contains(&request.model)) {
                by_weights
                    .entry(weights(request.model))
                    .or_default()
                    .waiting += 1;
            }
        }
        let recent = last_requested.iter();
        let recent = recent.filter(|(_, at_ms)| now_ms - **at_ms < RECENT_REQUEST_MS);
        let recently_requested: HashSet<Name> = recent.map(|(model, _)| name(*model)).collect();
        let views: Vec<RunnerView> = runners
            .iter()
            .enumerate()
            .map(|(id, runner)| view(id, runner, now_ms))
            .collect();
        let planner = PlacementPlanner {
            engine: &engine,
            runners: &views,
            demand: &by_weights,
            recently_requested: &recently_requested,
            knows_runners: true,
            cold_loads: limit.left(LOADS_PER_S, now),
        };
        let plans = planner.plan();
        let mut planned: Vec<_> = plans.into_iter().collect();
        planned.sort_by(|left, right| left.0.cmp(&right.0));
        for (id, plan) in planned {
            let cold = runners
                .iter()
                .filter(|it| it.loading.is_some_and(|it| it.2))
                .count();
            let runner = &mut runners[id[1..].parse::<usize>().expect("a number")];
            let model = index(&plan.load[0].model);
            let mut begins_ms = now_ms;
            for unloaded in &plan.unload {
                let unloaded = index(&unloaded.model);
                runner.held.retain(|it| *it != unloaded);
                runner.memory = Some(unloaded);
                let ends = runner
                    .running
                    .iter()
                    .filter(|it| it.1 == unloaded)
                    .map(|it| it.0);
                begins_ms = begins_ms.max(ends.max().unwrap_or(now_ms) + UNLOAD_MS);
            }
            let took_ms = if plan.is_cold {
                let share = (cold + 1) as f64 / deployment.concurrent_loads as f64;
                (deployment.load_ms as f64 * share.max(1.0)) as u64
            } else if runner.memory == Some(model) {
                MEMORY_LOAD_MS
            } else {
                DISK_LOAD_MS
            };
            if plan.is_cold {
                limit.note(now);
                outcome.cold_loads.push(now_ms);
            }
            outcome.loads += 1;
            runner.loading = Some((model, begins_ms + took_ms, plan.is_cold));
        }
    }
    outcome
}

fn exponential(random: &mut SmallRng) -> f64 {
    -(1.0 - random.random::<f64>()).ln()
}

fn view(id: usize, runner: &Runner, now_ms: u64) -> RunnerView {
    let in_flight = |model: &usize| {
        let running = runner.running.iter().filter(|it| it.1 == *model);
        (name(*model), running.count() as u32)
    };
    let loaded = runner.loaded_ms.iter();
    let loaded = loaded.filter(|(_, at_ms)| now_ms - **at_ms < MIN_RESIDENCE_MS);
    RunnerView {
        id: format!("r{id}").as_str().into(),
        models: runner.held.iter().map(|it| name(*it)).collect(),
        loading: runner.loading.map(|it| name(it.0)),
        is_executing: runner.loading.is_some(),
        in_memory: runner.memory.iter().map(|it| name(*it)).collect(),
        on_disk: runner.disk.iter().map(|it| name(*it)).collect(),
        in_flight: runner.held.iter().map(in_flight).collect(),
        recently_loaded: loaded.map(|(model, _)| name(*model)).collect(),
        ..RunnerView::default()
    }
}

/// Prints what callers get with some demand figures.
fn print_outcome(label: &str, deployment: Deployment, knowledge: Knowledge, reporting: Reporting) {
    let outcomes: Vec<Outcome> = (1..=4)
        .map(|seed| play(deployment, knowledge, reporting, seed))
        .collect();
    let values: Vec<String> = outcomes
        .iter()
        .map(|it| format!("{:.3}", it.value()))
        .collect();
    let mean = outcomes.iter().map(Outcome::value).sum::<f64>() / outcomes.len() as f64;
    let loads: u32 = outcomes.iter().map(|it| it.loads).sum();
    let cold: usize = outcomes.iter().map(|it| it.cold_loads.len()).sum();
    println!(
        "{label} {knowledge:?} {reporting:?}: {mean:.3} ({}), loads {loads}, cold {cold}",
        values.join(" ")
    );
}

/// Prints the value for callers with each kind of demand figures; run by hand.
#[test]
#[ignore = "takes minutes"]
fn comparison_of_demand_figures() {
    let rule = |period_ms: u64, min_deviations: f64| {
        Knowledge::Trend(TrendRule {
            period: Duration::from_millis(period_ms),
            min_deviations,
        })
    };
    let ways = [
        Knowledge::Reported,
        rule(500, 3.0),
        rule(500, 4.0),
        rule(1_000, 3.0),
        Knowledge::Oracle(100),
        Knowledge::Oracle(5_000),
    ];
    for (label, deployment) in [("competing", COMPETING), ("uneven", UNEVEN)] {
        for knowledge in ways {
            print_outcome(label, deployment, knowledge, USUAL_REPORTING);
        }
    }
}

/// Prints the value for callers with the trend in fleets of other sizes; run by hand.
#[test]
#[ignore = "takes minutes"]
fn comparison_by_fleet() {
    for (vms, interval_ms) in [(1, 200), (6, 200), (58, 600), (300, 1_000), (58, 2_000)] {
        let reporting = Reporting {
            vms,
            interval_ms,
            lost_share: 0.1,
        };
        for knowledge in [Knowledge::Reported, Knowledge::Trend(TrendRule::default())] {
            print_outcome("competing", COMPETING, knowledge, reporting);
        }
    }
}

/// The plans of the leader exceed the store's loads per second if the limit counts a load late.
#[test]
fn loads_stay_within_the_limit_of_the_store() {
    let outcome = play(COMPETING, Knowledge::Reported, USUAL_REPORTING, 1);
    let most = outcome.max_cold_loads_per_s();
    assert!(most as f64 <= LOADS_PER_S, "{most} loads in a second");
}

/// Copies for models that become popular were loaded late, since reported rates lag behind. The
/// trend must serve callers better, also with lost reports and figures that are 2 s old.
#[test]
fn callers_are_served_better_with_the_trend() {
    let old = Reporting {
        interval_ms: 2_000,
        ..USUAL_REPORTING
    };
    for (deployment, reporting) in [
        (COMPETING, USUAL_REPORTING),
        (UNEVEN, USUAL_REPORTING),
        (COMPETING, old),
    ] {
        let value = |knowledge| play(deployment, knowledge, reporting, 1).value();
        let reported = value(Knowledge::Reported);
        let trend = value(Knowledge::Trend(TrendRule::default()));
        assert!(
            trend > reported,
            "{reporting:?}: {trend} with the trend, {reported} without"
        );
    }
}

/// A trend that takes seldom or single reports for rises would make plans worse than without it.
#[test]
fn a_small_and_a_large_fleet_are_served_no_worse_with_the_trend() {
    for (vms, interval_ms) in [(1, 200), (6, 200), (300, 1_000)] {
        let reporting = Reporting {
            vms,
            interval_ms,
            lost_share: 0.1,
        };
        let value = |knowledge| play(COMPETING, knowledge, reporting, 2).value();
        let reported = value(Knowledge::Reported);
        let trend = value(Knowledge::Trend(TrendRule::default()));
        assert!(
            trend >= reported,
            "{vms} VMs: {trend} with the trend, {reported} without"
        );
    }
}
