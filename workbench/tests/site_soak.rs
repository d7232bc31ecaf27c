//! A short soak with fixed seeds: what servers state of themselves is respected throughout.

use googletest::prelude::*;
use std::time::Duration;
use workbench::cluster::block_on;
use workbench::site::{
    config_soak, crash_soak, cut_soak, delivery_soak, histories, silence_soak, soak, version_soak,
};

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

#[googletest::test]
fn callers_of_vms_that_are_cut_off_at_times_are_served_with_seed_3() {
    let findings = block_on(cut_soak::run(3, 6, Duration::from_secs(25)));
    expect_that!(findings, is_empty());
}

#[googletest::test]
fn each_stream_holds_events_of_one_software_version_with_seed_4() {
    let findings = block_on(version_soak::run(4, 5, Duration::from_secs(25)));
    expect_that!(findings, is_empty());
}

#[googletest::test]
fn requests_run_once_and_streams_come_whole_beside_faulty_servers_with_seed_1() {
    let findings = block_on(delivery_soak::run(1, 6, Duration::from_secs(20)));
    expect_that!(findings, is_empty());
}

#[googletest::test]
fn each_answer_agrees_with_a_configuration_that_may_be_in_force_with_seed_9() {
    let findings = block_on(config_soak::run(9, 6, Duration::from_secs(25)));
    expect_that!(findings, is_empty());
}

#[googletest::test]
fn parts_of_prompts_that_crash_servers_are_contained_with_seed_2() {
    let findings = block_on(crash_soak::run(2, 4, Duration::from_secs(15)));
    expect_that!(findings, is_empty());
}

#[googletest::test]
fn answers_of_silent_servers_come_whole_beside_changes_and_signals_with_seed_1() {
    let findings = block_on(silence_soak::run(1, 4, Duration::from_secs(20)));
    expect_that!(findings, is_empty());
}

#[googletest::test]
fn requests_end_as_the_model_allows_in_histories_of_seeds_1_to_5() {
    for seed in 1..=5 {
        expect_that!(block_on(histories::run(seed, 0)), is_empty(), "seed {seed}");
    }
}
