//! Quotas over many VMs: what is granted in all, and what is refused below the quota.

use crate::callers::{GrantRecord, Ledger, QuotaBounds};
use crate::gateway::tests::quota_play::{BOUNDS, Load, Outcome, STEP, WARM_UP_S, play};
use crate::gateway::tests::quota_ways::{Credits, EvenParts, Tellings, Way};
use proptest::prelude::*;
use std::time::{Duration, Instant};

/// The loads of the comparison, by name.
fn loads(vms: usize) -> Vec<(&'static str, Load)> {
    let calm = Load::calm(vms);
    let hot = vec![(WARM_UP_S, 0.55), (12.0, 2.8), (20.0, 0.55)];
    let late = Duration::from_millis(1_000);
    vec![
        ("calm", calm.clone()),
        (
            "calm, small quota",
            Load {
                rate_per_s: 1_900.0,
                lasts_s: 60.0,
                ..calm.clone()
            },
        ),
        (
            "lopsided",
            Load {
                is_lopsided: true,
                ..calm.clone()
            },
        ),
        (
            "five times its usual",
            Load {
                asked: hot.clone(),
                ..calm.clone()
            },
        ),
        (
            "the same, small quota",
            Load {
                asked: hot.clone(),
                rate_per_s: 1_900.0,
                ..calm.clone()
            },
        ),
        (
            "the same, messages late by up to 1 s",
            Load {
                asked: hot.clone(),
                max_late: late,
                ..calm.clone()
            },
        ),
        (
            "the same, all restarted in the midst of it",
            Load {
                asked: hot.clone(),
                restart: Some((15.0, 16.0)),
                ..calm.clone()
            },
        ),
        (
            "the same, a third cut off",
            Load {
                asked: hot,
                cut: Some((10.0, 24.0, 1.0 / 3.0)),
                ..calm
            },
        ),
    ]
}

fn row<W: Way>(name: &str, way: &str, load: &Load) -> Outcome {
    let outcome = play::<W>(load);
    println!(
        "| {} | {name} | {way} | {:.2} | {:.3} | {:.2} | {:.0} | {:.0} |",
        load.vms,
        outcome.most,
        outcome.refused_below,
        outcome.granted,
        outcome.messages_per_s,
        outcome.bytes_per_s
    );
    outcome
}

#[test]
fn the_quota_holds_and_little_is_refused_below_it() {
    println!("| VMs | load | way | most | refused below | granted | messages/s | bytes/s |");
    for vms in [9, 67, 195, 410] {
        for (name, load) in loads(vms) {
            let told = row::<Tellings>(name, "tellings", &load);
            row::<EvenParts>(name, "even parts", &load);
            row::<Credits>(name, "credits", &load);
            assert!(told.most <= 1.0, "{vms} VMs, {name}: {told:?}");
            if load.asked.len() == 1 {
                assert!(told.refused_below <= 0.01, "{vms} VMs, {name}: {told:?}");
            }
        }
    }
}

#[test]
fn a_grant_that_did_not_run_is_taken_back() {
    let now = Instant::now();
    let load = Load {
        rate_per_s: 1_000.0,
        ..Load::calm(1)
    };
    let organisation = load.organisation();
    let bounds = QuotaBounds {
        slack: 0.0,
        overage: 0.0,
        ..BOUNDS
    };
    let mut ledger = Ledger::new(bounds, now);
    // What was granted before its start is forgotten by then.
    let now = now + BOUNDS.window;
    let take = |ledger: &mut Ledger| -> Option<GrantRecord> {
        let taken = ledger.try_grant(&organisation, Some(900.0), 1, 0.0, now);
        taken.ok().flatten()
    };
    let granted = take(&mut ledger).expect("it is within the quota");
    assert_eq!(take(&mut ledger), None);
    ledger.refund(&granted);
    assert!(take(&mut ledger).is_some());
}

#[test]
fn a_lower_quota_binds_at_once_and_is_granted_from_the_change_on() {
    let mut now = Instant::now();
    let high = Load::calm(1).organisation();
    let low = Load {
        rate_per_s: 5_000.0,
        ..Load::calm(1)
    }
    .organisation();
    let bounds = QuotaBounds {
        slack: 0.0,
        overage: 0.0,
        ..BOUNDS
    };
    let mut ledger = Ledger::new(bounds, now);
    for _ in 0..400 {
        now += STEP;
        let taken = ledger.try_grant(&high, Some(1_500.0), 1, 0.0, now);
        assert!(taken.is_ok());
    }
    let mut granted = 0.0;
    for _ in 0..400 {
        now += STEP;
        if ledger.try_grant(&low, Some(1_000.0), 1, 0.0, now).is_ok() {
            granted += 1_000.0;
        }
    }
    assert!(granted <= 45_000.0, "{granted}");
    assert!(granted >= 36_000.0, "{granted}");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]
    #[test]
    fn the_sum_holds_whatever_becomes_of_messages(
        vms in 3usize..70,
        rate_per_s in 1_900.0f64..250_000.0,
        loss in 0.0f64..0.5,
        late_ms in 0u64..300,
        x in 0.5f64..4.2,
        restart_s in proptest::option::of(10.5f64..18.0),
        is_lopsided in any::<bool>(),
        cut in proptest::option::of((6.0f64..14.0, 0.1f64..0.9)),
        seed in any::<u64>(),
    ) {
        let load = Load {
            rate_per_s,
            loss,
            max_late: Duration::from_millis(late_ms),
            asked: vec![(WARM_UP_S, 0.55), (10.0, x)],
            is_lopsided,
            restart: restart_s.map(|down_s| (down_s, down_s + 1.0)),
            cut: cut.map(|(from_s, share)| (from_s, from_s + 5.0, share)),
            lasts_s: 20.0,
            seed,
            ..Load::calm(vms)
        };
        let outcome = play::<Tellings>(&load);
        prop_assert!(outcome.most <= 1.0, "{outcome:?}");
    }
}
