//! The value of swaps, given the total load of all models on each runner.

use crate::gateway::placement::{DemandSpread, ModelDemand};

fn demand(busy_runners: f64) -> ModelDemand {
    ModelDemand {
        busy_runners,
        requests_per_s: busy_runners * 10.0,
        missing_cost_per_s: 0.3,
    }
}

#[test]
fn demand_evens_out_the_load_of_its_runners() {
    // Model 0 on runners 0 and 1, model 1 on 1 only.
    let spread = DemandSpread::new(
        vec![demand(0.4), demand(0.2)],
        &[vec![0, 1], vec![1]],
        &[1.0; 2],
    );
    assert!((spread.load(0) - 0.3).abs() < 1e-9, "{}", spread.load(0));
    assert!((spread.load(1) - 0.3).abs() < 1e-9, "{}", spread.load(1));
}

#[test]
fn a_copy_gains_on_an_idle_runner_and_not_on_a_busy_one() {
    // Model 0 overloads runner 0; runner 1 is idle with model 2, runner 2 is busy with model 1.
    let demands = vec![demand(1.4), demand(1.2), demand(0.0)];
    let copy_runners = [vec![0], vec![2], vec![1]];
    let mut spread = DemandSpread::new(demands, &copy_runners, &[1.0; 3]);
    let idle = spread.swap_value(1, 0, &[]);
    let busy = spread.swap_value(2, 0, &[]);
    assert!(idle.gain > 5.0, "{idle:?}");
    assert!(busy.gain < 1.0, "{busy:?}");
}

#[test]
fn evaluating_a_swap_leaves_the_spread_unchanged() {
    let mut spread = DemandSpread::new(
        vec![demand(1.0), demand(0.5)],
        &[vec![0], vec![1]],
        &[1.0; 2],
    );
    let before = (spread.load(0), spread.load(1), spread.lost_per_s(0));
    spread.swap_value(1, 0, &[1]);
    let after = (spread.load(0), spread.load(1), spread.lost_per_s(0));
    assert_eq!(before, after);
    assert_eq!(spread.copy_count(1), 1);
}

#[test]
fn unloading_the_last_copy_costs_demand_and_missing_cost() {
    let mut spread = DemandSpread::new(
        vec![demand(0.6), demand(0.1)],
        &[vec![0], vec![1]],
        &[1.0; 2],
    );
    let value = spread.swap_value(1, 0, &[1]);
    assert!(value.loss > 1.0, "{value:?}");
    assert!(
        (spread.lost_per_s(1) - 0.005).abs() < 0.01,
        "{}",
        spread.lost_per_s(1)
    );
}

#[test]
fn swap_value_counts_requests_rather_than_runner_time() {
    // A large model and a small one with as many requests, each of which takes an eighth of the
    // time, share runner 0; a copy of the small model on the idle runner 1 gains much.
    let large = ModelDemand {
        busy_runners: 0.8,
        requests_per_s: 8.0,
        missing_cost_per_s: 0.0,
    };
    let small = ModelDemand {
        busy_runners: 0.1,
        requests_per_s: 8.0,
        missing_cost_per_s: 0.0,
    };
    let mut spread = DemandSpread::new(vec![large, small], &[vec![0], vec![0]], &[1.0; 2]);
    let moved_copy = spread.swap_value(1, 1, &[]);
    assert!(moved_copy.gain > 2.0, "{moved_copy:?}");
}

#[test]
fn a_slow_runner_takes_less_of_the_demand() {
    // Runner 1 takes three times as long, so that equal loads leave it a quarter of the demand.
    let spread = DemandSpread::new(vec![demand(0.8)], &[vec![0, 1]], &[1.0, 3.0]);
    assert!((spread.load(0) - 0.6).abs() < 1e-9, "{}", spread.load(0));
    assert!((spread.load(1) - 0.6).abs() < 1e-9, "{}", spread.load(1));
}

#[test]
fn a_copy_gains_more_on_a_fast_runner_and_where_the_only_one_is_slow() {
    let gain = |slowness: &[f64; 3], runner: usize| {
        let demands = vec![demand(0.4)];
        let mut spread = DemandSpread::new(demands, &[vec![0]], slowness);
        spread.swap_value(runner, 0, &[]).gain
    };
    let of_usual = gain(&[1.0, 1.0, 1.0], 1);
    let of_slow = gain(&[2.5, 1.0, 1.0], 1);
    assert!(of_slow > of_usual + 1.0, "{of_slow} and {of_usual}");
    let slowness = [2.5, 2.5, 0.6];
    assert!(
        gain(&slowness, 2) > gain(&slowness, 1),
        "the fast runner gains less"
    );
}
