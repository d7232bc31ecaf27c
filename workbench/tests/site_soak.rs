//! A short soak with fixed seeds: what servers state of themselves is respected throughout.

use googletest::prelude::*;
use std::time::Duration;
use workbench::cluster::block_on;
use workbench::site::soak;

#[googletest::test]
fn statements_of_servers_are_respected_with_seed_1() {
    expect_that!(
        block_on(soak::run(1, 4, Duration::from_secs(20))),
        is_empty()
    );
}

#[googletest::test]
fn statements_of_servers_are_respected_with_seed_2() {
    expect_that!(
        block_on(soak::run(2, 6, Duration::from_secs(20))),
        is_empty()
    );
}
