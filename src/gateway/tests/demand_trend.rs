//! The leader takes a change of the fleet's demand into account at once, and chance for none.

use crate::gateway::Weights;
use crate::gateway::demand::Demand;
use crate::gateway::demand_rate::DemandRate;
use crate::gateway::placement::{DemandTrend, TrendRule};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::HashMap;
use std::time::{Duration, Instant};

const STEP: Duration = Duration::from_millis(10);
const BUSY_MS: f64 = 80.0;
const VMS: usize = 58;

fn weights() -> Weights {
    Weights {
        model: "m".into(),
        adapter: None,
    }
}

/// Lets requests arrive at a rate that depends on the time, and returns the corrected and the
/// uncorrected requests per second after each tenth of a second.
fn corrected_rates(
    per_s: impl Fn(Duration) -> f64,
    vms: impl Fn(Duration) -> usize,
    run: Duration,
    seed: u64,
) -> Vec<(Duration, f64, f64)> {
    let mut random = SmallRng::seed_from_u64(seed);
    let start = Instant::now();
    let mut trend = DemandTrend::new(TrendRule::default(), start);
    let demand = Demand::default();
    let mut rates = Vec::new();
    for step in 0..(run.as_millis() / STEP.as_millis()) as u32 {
        let elapsed = STEP * step;
        let now = start + elapsed;
        // At most one arrival in a step, which is enough for the rates of these tests.
        if random.random_bool((per_s(elapsed) * STEP.as_secs_f64()).min(1.0)) {
            demand.note(&weights(), BUSY_MS, now);
        }
        if step % 10 == 0 {
            let mut known: HashMap<Weights, DemandRate> = demand.rates(now).into_iter().collect();
            let reported = known.get(&weights()).copied().unwrap_or_default();
            trend.correct(&mut known, vms(elapsed), now);
            let corrected = known.get(&weights()).copied().unwrap_or_default();
            rates.push((elapsed, corrected.requests_per_s, reported.requests_per_s));
        }
    }
    rates
}

/// Half of a rise showed only after a second, so that copies were loaded that much later.
#[test]
fn a_rise_shows_within_its_period() {
    let change = Duration::from_secs(5);
    let per_s = |elapsed: Duration| if elapsed < change { 5.0 } else { 80.0 };
    for seed in 1..=5 {
        let rates = corrected_rates(per_s, |_| VMS, Duration::from_secs(7), seed);
        let after = change + Duration::from_millis(600);
        let (_, corrected, reported) = rates.iter().find(|it| it.0 >= after).expect("a rate");
        assert!(*corrected > 55.0, "seed {seed}: {corrected}");
        assert!(*reported < 45.0, "seed {seed}: {reported}");
    }
}

/// A steady demand that seems to change makes the leader swap copies for nothing.
#[test]
fn a_steady_demand_is_hardly_ever_corrected() {
    let rates: Vec<(Duration, f64, f64)> = (1..=20)
        .flat_map(|seed| corrected_rates(|_| 10.0, |_| VMS, Duration::from_secs(20), seed))
        .filter(|(elapsed, _, _)| *elapsed >= Duration::from_secs(5))
        .collect();
    let changed = rates
        .iter()
        .filter(|(_, corrected, reported)| corrected != reported);
    let share = changed.count() as f64 / rates.len() as f64;
    assert!(share < 0.05, "{share}");
}

/// VMs that begin to report to a new leader, or that go, look like a change of the demand.
#[test]
fn changes_of_the_vms_and_the_start_of_a_leader_count_for_nothing() {
    let change = Duration::from_secs(5);
    let per_s = |elapsed: Duration| if elapsed < change { 80.0 } else { 40.0 };
    let vms = |elapsed: Duration| if elapsed < change { VMS } else { VMS / 2 };
    let rates = corrected_rates(per_s, vms, Duration::from_secs(7), 1);
    let is_unchanged = |from: Duration, to: Duration| {
        let mut within = rates.iter().filter(|it| (from..to).contains(&it.0));
        within.all(|(_, corrected, reported)| corrected == reported)
    };
    assert!(is_unchanged(Duration::ZERO, Duration::from_millis(1_900)));
    assert!(is_unchanged(change, change + Duration::from_millis(450)));
}
