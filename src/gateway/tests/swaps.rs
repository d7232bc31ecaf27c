//! What a swap of models is worth, by the load that all models of a runner make.

use crate::gateway::spread::{ModelDemand, Spread};

fn demand(runners: f64) -> ModelDemand {
    ModelDemand {
        runners,
        requests_per_s: runners * 10.0,
        reach_per_s: 0.3,
    }
}

#[test]
fn demand_levels_the_runners_as_far_as_it_reaches() {
    // Model 0 on runners 0 and 1, model 1 on 1 only.
    let spread = Spread::new(vec![demand(0.4), demand(0.2)], &[vec![0, 1], vec![1]], 2);
    assert!((spread.load(0) - 0.3).abs() < 1e-9, "{}", spread.load(0));
    assert!((spread.load(1) - 0.3).abs() < 1e-9, "{}", spread.load(1));
}

#[test]
fn a_copy_beside_idle_models_gains_and_one_beside_a_busy_model_does_not() {
    // Model 0 overloads runner 0; runner 1 is idle with model 2, runner 2 is busy with model 1.
    let demands = vec![demand(1.4), demand(1.2), demand(0.0)];
    let holders = [vec![0], vec![2], vec![1]];
    let mut spread = Spread::new(demands, &holders, 3);
    let idle = spread.worth(1, 0, &[]);
    let busy = spread.worth(2, 0, &[]);
    assert!(idle.gain > 5.0, "{idle:?}");
    assert!(busy.gain < 1.0, "{busy:?}");
}

#[test]
fn what_a_swap_would_bring_leaves_the_spread_as_it_was() {
    let mut spread = Spread::new(vec![demand(1.0), demand(0.5)], &[vec![0], vec![1]], 2);
    let before = (spread.load(0), spread.load(1), spread.lost(0));
    spread.worth(1, 0, &[1]);
    let after = (spread.load(0), spread.load(1), spread.lost(0));
    assert_eq!(before, after);
    assert_eq!(spread.copies(1), 1);
}

#[test]
fn the_last_copy_of_a_model_is_worth_its_demand_and_its_reach() {
    let mut spread = Spread::new(vec![demand(0.6), demand(0.1)], &[vec![0], vec![1]], 2);
    let worth = spread.worth(1, 0, &[1]);
    assert!(worth.loss > 1.0, "{worth:?}");
    assert!((spread.lost(1) - 0.005).abs() < 0.01, "{}", spread.lost(1));
}

#[test]
fn a_model_with_many_small_requests_counts_by_its_requests() {
    // Two runners each hold a copy of a busy large model; a small one with as many requests,
    // which takes an eighth of the time each, gains more by a place of its own.
    let large = ModelDemand {
        runners: 0.8,
        requests_per_s: 8.0,
        reach_per_s: 0.0,
    };
    let small = ModelDemand {
        runners: 0.1,
        requests_per_s: 8.0,
        reach_per_s: 0.0,
    };
    let mut spread = Spread::new(vec![large, small], &[vec![0], vec![0]], 2);
    let small_moves = spread.worth(1, 1, &[]);
    assert!(small_moves.gain > 2.0, "{small_moves:?}");
}
