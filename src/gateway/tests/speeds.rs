//! Estimating the speeds of models from streams, for engines of different speeds.

use crate::gateway::Model;
use crate::gateway::speeds::Speeds;
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::time::Duration;

fn model(name: &str, weights_mb: f64) -> Model {
    Model {
        name: name.into(),
        weights_mb,
        load_ms: 9_000,
        warm_load_ms: 1_100,
        disk_load_ms: 2_400,
        adapters: 0,
        adapter_mb: 12.0,
    }
}

/// Records `count` first events of a model with a prefill time of `prefill_ms` per token.
fn record_first_events(
    speeds: &Speeds,
    model: &Model,
    prefill_ms: f64,
    count: usize,
    random: &mut SmallRng,
) {
    for _ in 0..count {
        let tokens = random.random_range(200..4_000);
        // Two batch steps, and in some cases another prompt that was not advertised.
        let mut took_ms = 25.0 + random.random_range(0.0..12.0) + f64::from(tokens) * prefill_ms;
        if random.random_bool(0.1) {
            took_ms += 100.0;
        }
        speeds.note_first_event(model, tokens, Duration::from_secs_f64(took_ms / 1_000.0));
    }
}

#[test]
fn models_that_differ_by_a_factor_of_eight_are_distinguished_after_ten_streams() {
    let mut random = SmallRng::seed_from_u64(1);
    let speeds = Speeds::default();
    let (slow, fast) = (model("slow", 72_700.0), model("fast", 65_100.0));
    record_first_events(&speeds, &slow, 0.049, 10, &mut random);
    record_first_events(&speeds, &fast, 0.0064, 10, &mut random);
    let (slow, fast) = (speeds.read_ms(&slow, 1_000), speeds.read_ms(&fast, 1_000));
    assert!((35.0..65.0).contains(&slow), "{slow}");
    assert!(fast < 16.0, "{fast}");
}

#[test]
fn a_model_without_observations_uses_those_of_models_of_its_size() {
    let mut random = SmallRng::seed_from_u64(2);
    let speeds = Speeds::default();
    record_first_events(&speeds, &model("known", 65_100.0), 0.0064, 30, &mut random);
    let other = speeds.read_ms(&model("new", 65_100.0), 1_000);
    assert!(other < 18.0, "{other}");
    let of_other_size = speeds.read_ms(&model("large", 72_700.0), 1_000);
    assert!((of_other_size - 40.0).abs() < 0.01, "{of_other_size}");
}

#[test]
fn a_runner_that_is_slow_for_a_while_does_not_distort_the_estimate() {
    let mut random = SmallRng::seed_from_u64(3);
    let speeds = Speeds::default();
    let known = model("m", 72_700.0);
    record_first_events(&speeds, &known, 0.03, 60, &mut random);
    for round in 0..40 {
        record_first_events(&speeds, &known, 0.03, 3, &mut random);
        if round % 2 == 0 {
            speeds.note_first_event(&known, 1_000, Duration::from_secs(20));
        }
    }
    let read_ms = speeds.read_ms(&known, 1_000);
    assert!((15.0..80.0).contains(&read_ms), "{read_ms}");
}

#[test]
fn stream_durations_follow_the_token_limit() {
    let speeds = Speeds::default();
    let known = model("m", 72_700.0);
    for tokens in [50, 100, 200, 400].repeat(5) {
        let took = Duration::from_millis(u64::from(tokens) * 11);
        speeds.note_stream(&known, tokens, took);
    }
    let duration_ms = speeds.stream_ms(&known, 100);
    assert!((900.0..1_200.0).contains(&duration_ms), "{duration_ms}");
}

#[test]
fn a_few_streams_outweigh_the_assumed_duration() {
    let speeds = Speeds::default();
    let model = model("a", 72_700.0);
    let tokens = 950;
    assert!(speeds.stream_ms(&model, tokens) > 5_000.0);
    for _ in 0..3 {
        speeds.note_stream(&model, tokens, Duration::from_millis(1_400));
    }
    let stream_ms = speeds.stream_ms(&model, tokens);
    assert!(stream_ms < 1_900.0, "{stream_ms}");
}

proptest! {
    #[test]
    fn estimates_stay_within_bounds_for_any_observations(
        points in prop::collection::vec((any::<u32>(), 0_u64..10_000_000), 0..60),
    ) {
        let speeds = Speeds::default();
        let known = model("m", 1.0);
        for (tokens, took_us) in points {
            let took = Duration::from_micros(took_us);
            speeds.note_first_event(&known, tokens, took);
            speeds.note_stream(&known, tokens, took);
        }
        let read_ms = speeds.read_ms(&known, 1_000);
        prop_assert!((1.0..=500.0).contains(&read_ms), "{read_ms}");
        let stream_ms = speeds.stream_ms(&known, 1_000);
        prop_assert!((100.0..=100_000.0).contains(&stream_ms), "{stream_ms}");
    }
}
