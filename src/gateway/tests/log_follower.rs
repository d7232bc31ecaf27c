//! Tests of the selection of the VM that follows the log for its zone, and of the number of
//! messages to other zones.

use crate::gateway::gossip::INTERVAL;
use crate::gateway::gossip_targets::Targets;
use crate::gateway::log_follower::{FRESH_FOR, Reading, Readings, follows_closely};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

fn vm(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, number], 7380))
}

fn readings(at: Instant) -> Readings {
    let reading = Reading { last_change: 7, at };
    Readings {
        directory: reading,
        directory_end: 9,
        configuration: reading,
    }
}

/// VMs among `vms` that follow the log closely, if each of them received the `advertised` reads of
/// the others.
fn followers(vms: &[u8], advertised: &[(u8, Instant)], now: Instant) -> Vec<u8> {
    let follows = |own: &&u8| {
        let others = advertised.iter().filter(|(peer, _)| peer != *own);
        let others = others.map(|(peer, at)| (vm(*peer), readings(*at)));
        follows_closely(vm(**own), others, now)
    };
    vms.iter().filter(follows).copied().collect()
}

#[test]
fn all_follow_the_log_until_the_first_by_address_advertises_its_reads() {
    let now = Instant::now();
    assert_eq!(followers(&[1, 2, 3], &[], now), [1, 2, 3]);
    let all: Vec<(u8, Instant)> = [1, 2, 3].map(|number| (number, now)).to_vec();
    assert_eq!(followers(&[1, 2, 3], &all, now), [1]);
}

#[test]
fn a_follower_that_hangs_or_cannot_read_is_replaced_when_its_reads_are_stale() {
    let start = Instant::now();
    let advertised = [(1, start)];
    let before = start + FRESH_FOR - Duration::from_millis(1);
    assert_eq!(followers(&[1, 2, 3], &advertised, before), [1]);
    let after = start + FRESH_FOR;
    assert_eq!(followers(&[1, 2, 3], &advertised, after), [1, 2, 3]);
    // Once the next VM advertises its reads, the others rely on it.
    let advertised = [(1, start), (2, after), (3, after)];
    assert_eq!(followers(&[2, 3], &advertised, after), [2]);
}

#[test]
fn the_rate_of_messages_to_other_zones_is_bounded_in_a_large_fleet() {
    for (remote_vms, max_per_s) in [(4, 20.0), (12, 60.0), (50, 60.0), (273, 60.0)] {
        let mut targets = Targets::default();
        for index in 0..remote_vms {
            let vms = targets.remote.entry(format!("z{}", index % 4).into());
            vms.or_default().push(vm(index as u8));
        }
        let rounds = targets.remote_rounds();
        let messages: Vec<usize> = (0..rounds)
            .map(|round| targets.remote_part(round).map(|(_, vms)| vms.len()).sum())
            .collect();
        let total: usize = messages.iter().sum();
        // In these rounds, each VM is sent exactly one message.
        assert_eq!(total, remote_vms);
        let per_s = total as f64 / (INTERVAL * rounds as u32).as_secs_f64();
        assert!(per_s <= max_per_s + 0.1, "{remote_vms} VMs: {per_s}");
    }
    assert_eq!(Targets::default().remote_rounds(), 1);
}
