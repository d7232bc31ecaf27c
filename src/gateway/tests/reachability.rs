//! When a VM counts as cut off from all backend servers.

use crate::gateway::reachability::{ListedServers, Reachability, ReachabilityChange};
use crate::inventory::Name;
use std::time::{Duration, Instant};

const LISTED: ListedServers = ListedServers {
    servers: 12,
    zones: 3,
};
const TIMEOUT: Duration = Duration::from_millis(400);

fn fail(
    reachability: &mut Reachability,
    server: &str,
    zone: &str,
    begun_at: Instant,
) -> Option<ReachabilityChange> {
    let (server, zone) = (Name::from(server), Name::from(zone));
    reachability.record_failed(&server, &zone, begun_at, LISTED, begun_at + TIMEOUT)
}

#[test]
fn servers_of_several_zones_that_are_not_reached_mean_that_the_vm_is_cut_off() {
    let start = Instant::now();
    let mut reachability = Reachability::default();
    reachability.record_opened(start);
    assert_eq!(fail(&mut reachability, "s1", "a", start), None);
    assert_eq!(fail(&mut reachability, "s2", "b", start), None);
    let change = fail(&mut reachability, "s3", "b", start);
    assert_eq!(change, Some(ReachabilityChange::Lost));
    assert!(reachability.is_lost());
    let regained = reachability.record_opened(start + 2 * TIMEOUT);
    assert_eq!(
        regained,
        Some(ReachabilityChange::Regained(start + TIMEOUT))
    );
    assert!(!reachability.is_lost());
}

#[test]
fn one_dead_server_or_zone_is_not_taken_for_a_cut_off_vm() {
    let start = Instant::now();
    let mut reachability = Reachability::default();
    for _ in 0..10 {
        assert_eq!(fail(&mut reachability, "s1", "a", start), None);
    }
    for server in ["s2", "s3", "s4", "s5"] {
        assert_eq!(fail(&mut reachability, server, "a", start), None);
    }
    assert!(!reachability.is_lost());
}

#[test]
fn servers_that_crash_together_are_not_taken_for_a_cut_off_vm() {
    let start = Instant::now();
    let mut reachability = Reachability::default();
    reachability.record_opened(start);
    let refused = |reachability: &mut Reachability, server: &str, zone: &str, at: Instant| {
        let (server, zone) = (Name::from(server), Name::from(zone));
        reachability.record_failed(&server, &zone, at, LISTED, at + Duration::from_millis(2))
    };
    for (index, server) in ["s1", "s2", "s3", "s4", "s5"].into_iter().enumerate() {
        let at = start + Duration::from_millis(1 + index as u64);
        assert_eq!(refused(&mut reachability, server, server, at), None);
    }
    assert!(reachability.is_doubted());
    // Another server is still there.
    assert_eq!(
        reachability.record_opened(start + Duration::from_millis(8)),
        None
    );
    assert!(!reachability.is_doubted());
    // Failures that last mean that the VM is cut off.
    for (index, server) in ["s1", "s2", "s3"].into_iter().enumerate() {
        let at = start + Duration::from_millis(10 + 200 * index as u64);
        let change = refused(&mut reachability, server, server, at);
        assert_eq!(change.is_some(), index == 2);
    }
}

/// Guards against a VM giving up the orders because its share of a processor core is so small that
/// it handles the failures of one crash over several hundred milliseconds.
#[test]
fn a_slow_vm_that_sees_many_crashed_servers_before_a_connection_opens_is_not_cut_off() {
    let start = Instant::now();
    let mut reachability = Reachability::default();
    reachability.record_opened(start);
    for (index, server) in ["s1", "s2", "s3", "s4"].into_iter().enumerate() {
        let (server, zone) = (Name::from(server), Name::from(server));
        let begun_at = start + Duration::from_millis(1 + 100 * index as u64);
        let failed_at = begun_at + Duration::from_millis(80);
        let change = reachability.record_failed(&server, &zone, begun_at, LISTED, failed_at);
        assert_eq!(change, None, "{index}");
    }
    reachability.record_opened(start + Duration::from_millis(400));
    assert!(!reachability.is_doubted());
}

#[test]
fn failures_of_connections_begun_before_one_opened_do_not_count() {
    let start = Instant::now();
    let mut reachability = Reachability::default();
    reachability.record_opened(start + TIMEOUT / 2);
    for (server, zone) in [("s1", "a"), ("s2", "b"), ("s3", "c")] {
        assert_eq!(fail(&mut reachability, server, zone, start), None);
    }
    assert!(!reachability.is_lost());
}

#[test]
fn a_vm_with_a_single_server_is_cut_off_if_that_one_is_not_reached() {
    let start = Instant::now();
    let listed = ListedServers {
        servers: 1,
        zones: 1,
    };
    let mut reachability = Reachability::default();
    let (server, zone) = (Name::from("s1"), Name::from("a"));
    let change = reachability.record_failed(&server, &zone, start, listed, start + TIMEOUT);
    assert_eq!(change, Some(ReachabilityChange::Lost));
}

#[test]
fn a_request_without_response_is_a_reason_for_doubt_only_if_no_server_responds() {
    let start = Instant::now();
    let mut reachability = Reachability::default();
    reachability.record_answer(start);
    reachability.record_silence(start + TIMEOUT / 2);
    assert!(!reachability.is_doubted());
    reachability.record_silence(start + 2 * TIMEOUT);
    assert!(reachability.is_doubted());
    reachability.record_opened(start + 3 * TIMEOUT);
    assert!(!reachability.is_doubted());
}
