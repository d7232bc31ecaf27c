//! Tests of quotas on many VMs: the total amount granted, and the requests refused below the quota.

use crate::callers::{GrantRecord, Ledger, QuotaBounds};
use crate::gateway::tests::quota_play::{
    BOUNDS, STEP, Scenario, SimulationResult, WARM_UP_S, simulate,
};
use crate::gateway::tests::quota_ways::{CreditLeases, EvenSplit, GossipedReports, QuotaScheme};
use proptest::prelude::*;
use std::time::{Duration, Instant};

/// The scenarios of the comparison, by name.
fn scenarios(vms: usize) -> Vec<(&'static str, Scenario)> {
    let steady = Scenario::steady(vms);
    let surge = vec![(WARM_UP_S, 0.55), (12.0, 2.8), (20.0, 0.55)];
    let delay = Duration::from_millis(1_000);
    vec![
        ("calm", steady.clone()),
        (
            "calm, small quota",
            Scenario {
                rate_per_s: 1_900.0,
                duration_s: 60.0,
                ..steady.clone()
            },
        ),
        (
            "lopsided",
            Scenario {
                is_skewed: true,
                ..steady.clone()
            },
        ),
        (
            "five times its usual",
            Scenario {
                demand: surge.clone(),
                ..steady.clone()
            },
        ),
        (
            "the same, small quota",
            Scenario {
                demand: surge.clone(),
                rate_per_s: 1_900.0,
                ..steady.clone()
            },
        ),
        (
            "the same, messages late by up to 1 s",
            Scenario {
                demand: surge.clone(),
                max_delay: delay,
                ..steady.clone()
            },
        ),
        (
            "the same, all restarted in the midst of it",
            Scenario {
                demand: surge.clone(),
                restart: Some((15.0, 16.0)),
                ..steady.clone()
            },
        ),
        (
            "the same, a third cut off",
            Scenario {
                demand: surge,
                partition: Some((10.0, 24.0, 1.0 / 3.0)),
                ..steady
            },
        ),
    ]
}

fn row<W: QuotaScheme>(name: &str, scheme: &str, scenario: &Scenario) -> SimulationResult {
    let result = simulate::<W>(scenario);
    println!(
        "| {} | {name} | {scheme} | {:.2} | {:.3} | {:.2} | {:.0} | {:.0} |",
        scenario.vms,
        result.max_granted_share,
        result.refused_within_quota,
        result.granted_share,
        result.messages_per_s,
        result.bytes_per_s
    );
    result
}

#[test]
fn the_quota_holds_and_few_requests_below_it_are_refused() {
    println!("| VMs | load | way | most | refused below | granted | messages/s | bytes/s |");
    for vms in [9, 67, 195, 410] {
        for (name, scenario) in scenarios(vms) {
            let reported = row::<GossipedReports>(name, "tellings", &scenario);
            row::<EvenSplit>(name, "even parts", &scenario);
            row::<CreditLeases>(name, "credits", &scenario);
            assert!(
                reported.max_granted_share <= 1.0,
                "{vms} VMs, {name}: {reported:?}"
            );
            if scenario.demand.len() == 1 {
                assert!(
                    reported.refused_within_quota <= 0.01,
                    "{vms} VMs, {name}: {reported:?}"
                );
            }
        }
    }
}

/// Organisations that ask for several times their usual amount, or for little more than usual.
fn surges(vms: usize) -> Vec<(&'static str, Scenario)> {
    let surge = |usual: f64, factor: f64| Scenario {
        rate_per_s: 490_000.0,
        demand: vec![(WARM_UP_S, usual), (17.0, usual * factor), (31.0, usual)],
        duration_s: 36.0,
        ..Scenario::steady(vms)
    };
    let small = |scenario: Scenario| Scenario {
        rate_per_s: 3_000.0,
        ..scenario
    };
    let six = surge(0.55, 6.0);
    let late = Scenario {
        max_delay: Duration::from_millis(1_000),
        ..six.clone()
    };
    let lossy = Scenario {
        loss: 0.4,
        ..six.clone()
    };
    let restarted = Scenario {
        restart: Some((21.0, 21.5)),
        ..six.clone()
    };
    let divided = Scenario {
        partition: Some((15.0, 26.0, 1.0 / 3.0)),
        ..six.clone()
    };
    vec![
        ("calm", surge(0.55, 1.0)),
        ("calm, small quota", small(surge(0.55, 1.0))),
        ("twice its usual", surge(0.55, 2.0)),
        ("twice its usual, small quota", small(surge(0.55, 2.0))),
        ("five times its usual", surge(0.55, 5.0)),
        ("six times", six.clone()),
        ("six times, small quota", small(six)),
        ("seven times", surge(0.55, 7.0)),
        ("seven times, near its quota before", surge(0.95, 7.0)),
        ("six times, messages late by up to 1 s", late),
        ("six times, 0.4 of the messages lost", lossy),
        ("six times, all restarted", restarted),
        ("six times, a third cut off", divided),
    ]
}

#[test]
fn a_surge_is_granted_most_of_what_its_limit_allows() {
    println!("| VMs | load | most | refused below | granted | of the limit |");
    for vms in [6, 58, 195] {
        for (name, scenario) in surges(vms) {
            let result = simulate::<GossipedReports>(&scenario);
            println!(
                "| {vms} | {name} | {:.3} | {:.3} | {:.2} | {:.2} |",
                result.max_granted_share,
                result.refused_within_quota,
                result.granted_share,
                result.granted_of_limit,
            );
            assert!(
                result.max_granted_share < 1.0,
                "{vms} VMs, {name}: {result:?}"
            );
            if name.starts_with("calm") {
                assert!(
                    result.refused_within_quota <= 0.01,
                    "{vms} VMs, {name}: {result:?}"
                );
            }
            if vms <= 58 && name == "six times" {
                assert!(
                    result.granted_of_limit >= 0.9,
                    "{vms} VMs, {name}: {result:?}"
                );
            }
        }
    }
}

/// Guards against refusing urgent requests while less urgent ones of the same organisation are
/// granted.
#[test]
fn the_most_urgent_requests_are_granted_first() {
    println!("| VMs | load | most | urgent granted | granted | of the limit |");
    for vms in [1, 6, 58, 195] {
        let surges = surges(vms).into_iter();
        for (name, surge) in surges.filter(|(name, _)| name.starts_with("six times")) {
            // Urgent requests alone ask for 0.83 of the quota.
            let scenario = Scenario {
                urgent_share: 0.25,
                ..surge
            };
            let result = simulate::<GossipedReports>(&scenario);
            println!(
                "| {vms} | {name} | {:.3} | {:.3} | {:.2} | {:.2} |",
                result.max_granted_share,
                result.urgent_granted,
                result.granted_share,
                result.granted_of_limit,
            );
            assert!(
                result.max_granted_share < 1.0,
                "{vms} VMs, {name}: {result:?}"
            );
            if name == "six times" {
                assert!(result.urgent_granted >= 0.9, "{vms} VMs: {result:?}");
            }
        }
    }
}

/// Guards against refusing less urgent requests below the quota for the sake of urgent ones.
#[test]
fn requests_within_the_quota_are_granted_whatever_their_urgency() {
    for vms in [1, 58] {
        for burst in [None, Some(0.0)] {
            let scenario = Scenario {
                burst,
                rate_per_s: 490_000.0,
                demand: vec![(WARM_UP_S, 0.9)],
                urgent_share: 0.75,
                ..Scenario::steady(vms)
            };
            let result = simulate::<GossipedReports>(&scenario);
            println!("{vms} VMs, {burst:?}: {result:?}");
            let refused = 1.0 - result.granted_share;
            assert!(refused <= 0.01, "{vms} VMs, {burst:?}: {result:?}");
        }
    }
}

#[test]
fn a_request_that_did_not_run_is_refunded() {
    let now = Instant::now();
    let scenario = Scenario {
        rate_per_s: 1_000.0,
        ..Scenario::steady(1)
    };
    let quota = scenario.quota();
    let bounds = QuotaBounds {
        slack: 0.0,
        overage: 0.0,
        ..BOUNDS
    };
    let mut ledger = Ledger::new(bounds, now);
    // A new ledger assumes that the quota was spent before its start; a window later it no longer
    // does.
    let now = now + BOUNDS.window;
    let take = |ledger: &mut Ledger| -> Option<GrantRecord> {
        let charge = quota.charge(Some(900.0));
        ledger.try_grant(&"north".into(), charge, 1, 0.0, now).ok()
    };
    let granted = take(&mut ledger).expect("the request is within the quota");
    assert_eq!(take(&mut ledger), None);
    ledger.refund(&granted);
    assert!(take(&mut ledger).is_some());
}

#[test]
fn a_lowered_quota_applies_at_once_and_is_available_from_the_change_on() {
    let mut now = Instant::now();
    let name = "north".into();
    let high = Scenario::steady(1).quota();
    let low = Scenario {
        rate_per_s: 5_000.0,
        ..Scenario::steady(1)
    }
    .quota();
    let bounds = QuotaBounds {
        slack: 0.0,
        overage: 0.0,
        ..BOUNDS
    };
    let mut ledger = Ledger::new(bounds, now);
    for _ in 0..400 {
        now += STEP;
        let charge = high.charge(Some(1_500.0));
        let taken = ledger.try_grant(&name, charge, 1, 0.0, now);
        assert!(taken.is_ok());
    }
    let mut granted = 0.0;
    for _ in 0..400 {
        now += STEP;
        let charge = low.charge(Some(1_000.0));
        if ledger.try_grant(&name, charge, 1, 0.0, now).is_ok() {
            granted += 1_000.0;
        }
    }
    assert!(granted <= 45_000.0, "{granted}");
    assert!(granted >= 36_000.0, "{granted}");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]
    #[test]
    fn the_quota_holds_despite_network_faults_and_restarts(
        vms in 3usize..70,
        rate_per_s in 1_900.0f64..250_000.0,
        loss in 0.0f64..0.5,
        delay_ms in 0u64..300,
        surge_factor in 0.5f64..4.2,
        restart_s in proptest::option::of(10.5f64..18.0),
        is_skewed in any::<bool>(),
        partition in proptest::option::of((6.0f64..14.0, 0.1f64..0.9)),
        seed in any::<u64>(),
    ) {
        let scenario = Scenario {
            rate_per_s,
            loss,
            max_delay: Duration::from_millis(delay_ms),
            demand: vec![(WARM_UP_S, 0.55), (10.0, surge_factor)],
            is_skewed,
            restart: restart_s.map(|down_s| (down_s, down_s + 1.0)),
            partition: partition.map(|(from_s, share)| (from_s, from_s + 5.0, share)),
            duration_s: 20.0,
            seed,
            ..Scenario::steady(vms)
        };
        let result = simulate::<GossipedReports>(&scenario);
        prop_assert!(result.max_granted_share <= 1.0, "{result:?}");
    }
}
