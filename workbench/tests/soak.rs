//! A short soak with fixed seeds: any two faults at once, every promise checked.

use googletest::prelude::*;
use std::time::Duration;
use workbench::soak;

fn soak(seed: u64) -> Vec<String> {
    compio::runtime::Runtime::new()
        .expect("a runtime needs nothing special")
        .block_on(soak::run(seed, Duration::from_secs(10)))
}

#[googletest::test]
fn seed_1_breaks_nothing() {
    expect_that!(soak(1), is_empty());
}

#[googletest::test]
fn seed_3_breaks_nothing() {
    expect_that!(soak(3), is_empty());
}
