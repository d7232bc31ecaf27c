//! One VM in a zone follows the log for the others, and is replaced within a second.

use crate::gateway::gossip::INTERVAL;
use crate::gateway::gossip_targets::Targets;
use crate::gateway::log_follower::{FRESH_FOR, Reading, Readings, follows_closely};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

fn vm(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, number], 7380))
}

fn readings(at: Instant) -> Readings {
    let reading = Reading { news: 7, at };
    Readings {
        directory: reading,
        directory_end: 9,
        configuration: reading,
    }
}

/// The VMs among `vms` that follow the log closely, each hearing what those tell that do.
fn followers(vms: &[u8], told: &[(u8, Instant)], now: Instant) -> Vec<u8> {
    let follows = |own: &&u8| {
        let others = told.iter().filter(|(peer, _)| peer != *own);
        let others = others.map(|(peer, at)| (vm(*peer), readings(*at)));
        follows_closely(vm(**own), others, now)
    };
    vms.iter().filter(follows).copied().collect()
}

#[test]
fn all_follow_until_one_tells_and_then_one() {
    let now = Instant::now();
    assert_eq!(followers(&[1, 2, 3], &[], now), [1, 2, 3]);
    let all: Vec<(u8, Instant)> = [1, 2, 3].map(|number| (number, now)).to_vec();
    assert_eq!(followers(&[1, 2, 3], &all, now), [1]);
}

#[test]
fn a_follower_that_cannot_read_or_stands_still_is_replaced_within_a_second() {
    let start = Instant::now();
    let told = [(1, start)];
    let before = start + FRESH_FOR - Duration::from_millis(1);
    assert_eq!(followers(&[1, 2, 3], &told, before), [1]);
    let after = start + FRESH_FOR;
    assert_eq!(followers(&[1, 2, 3], &told, after), [1, 2, 3]);
    // Once the next one tells, the others lean on it.
    let told = [(1, start), (2, after), (3, after)];
    assert_eq!(followers(&[2, 3], &told, after), [2]);
}

#[test]
fn messages_to_other_zones_do_not_grow_with_their_vms() {
    for (far, most_per_s) in [(4, 20.0), (12, 60.0), (50, 60.0), (273, 60.0)] {
        let mut targets = Targets::default();
        for index in 0..far {
            let vms = targets.far.entry(format!("z{}", index % 4).into());
            vms.or_default().push(vm(index as u8));
        }
        let turns = targets.remote_rounds();
        let told: Vec<usize> = (0..turns)
            .map(|turn| targets.remote_part(turn).map(|(_, vms)| vms.len()).sum())
            .collect();
        let total: usize = told.iter().sum();
        // Each VM is told once in the turns that it takes to tell all.
        assert_eq!(total, far);
        let per_s = total as f64 / (INTERVAL * turns as u32).as_secs_f64();
        assert!(per_s <= most_per_s + 0.1, "{far} VMs: {per_s}");
    }
    assert_eq!(Targets::default().remote_rounds(), 1);
}
