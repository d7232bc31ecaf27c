//! From where VMs obtain what they lack, depending on what other VMs of the zone advertise.

use crate::gateway::gossip_message::{Digest, FollowedLog};
use crate::gateway::log_follower::{FRESH_FOR, Reading};
use crate::gateway::read_deadline::ReadDeadline;
use crate::gateway::source_selector::{Source, SourceSelector};
use crate::gateway::state::State;
use crate::gateway::sync_message::Part;
use crate::gateway::tests::{address, state_at};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

const STEP: Duration = Duration::from_millis(100);
/// Offset up to which the VM has the directory.
const OWN_END: u64 = 70;

/// A VM with an address after those of all that [`follower`] returns.
fn vm_state() -> Rc<State> {
    Rc::new(state_at(address(500)))
}

fn follower(index: usize) -> SocketAddr {
    address(index)
}

/// Delivers the message of a VM of the zone that read the log up to `end` at this time.
fn receive_reading(state: &State, vm: usize, end: u64, now: Instant) {
    let zone = state.settings.availability_zone.clone();
    receive_reading_of_zone(state, &zone, vm, end, now);
}

/// Delivers the message of a VM of some zone that read the log up to `end` at this time.
fn receive_reading_of_zone(state: &State, zone: &str, vm: usize, end: u64, now: Instant) {
    let digest = Digest {
        availability_zone: zone.to_owned(),
        next_in_ms: 200,
        has_state: true,
        followed_log: Some(FollowedLog {
            directory_changed_to: end,
            directory_end: end,
            directory_age_ms: 0,
            configuration_changed_to: 1,
            configuration_age_ms: 0,
        }),
        ..Digest::default()
    };
    state.peers.apply_digest(follower(vm), &digest, now);
}

fn has_directory(state: &State, at: Instant) {
    state.following.directory_end.set(Some(OWN_END));
    state.following.directory.set(Some(Reading {
        last_change: OWN_END,
        at,
    }));
    state.is_directory_known.set(true);
}

#[test]
fn a_vm_that_waited_for_its_turn_reads_nothing_once_another_one_has_read() {
    let start = Instant::now();
    let state = vm_state();
    has_directory(&state, start);
    for vm in 0..20 {
        receive_reading(&state, vm, OWN_END, start);
    }
    // Nobody has read for a while: this VM is the last in order.
    let later = start + FRESH_FOR;
    let selector = SourceSelector::new(state.clone(), Part::Directory);
    assert_eq!(selector.select_now(Some(OWN_END), later), None);
    assert_eq!(selector.select_now(Some(OWN_END), later + STEP), None);
    receive_reading(&state, 3, OWN_END, later + STEP);
    let selected = selector.select_now(Some(OWN_END), later + STEP);
    assert_eq!(selected, Some(Source::Unneeded));
}

#[test]
fn a_vm_that_waited_asks_the_one_that_found_changes() {
    let start = Instant::now();
    let state = vm_state();
    has_directory(&state, start);
    receive_reading(&state, 3, OWN_END, start);
    let later = start + FRESH_FOR;
    let selector = SourceSelector::new(state.clone(), Part::Directory);
    assert_eq!(selector.select_now(Some(OWN_END), later), None);
    receive_reading(&state, 3, OWN_END + 5, later);
    let selected = selector.select_now(Some(OWN_END), later);
    assert_eq!(selected, Some(Source::Peer(follower(3))));
}

#[test]
fn a_vm_whose_turn_has_come_reads_the_log() {
    let start = Instant::now();
    let state = vm_state();
    has_directory(&state, start);
    receive_reading(&state, 3, OWN_END, start);
    let selector = SourceSelector::new(state.clone(), Part::Directory);
    let mut now = start + FRESH_FOR;
    let mut waited = 0;
    while selector.select_now(Some(OWN_END), now).is_none() {
        now += STEP;
        waited += 1;
        assert!(waited < 30, "one VM precedes this one");
    }
    assert!(waited > 0);
    assert_eq!(selector.select_now(Some(OWN_END), now), Some(Source::Log));
}

#[test]
fn a_vm_that_cannot_read_the_log_asks_any_vm_that_is_ahead() {
    let now = Instant::now();
    let state = Rc::new(state_at(address(0)));
    has_directory(&state, now - FRESH_FOR);
    receive_reading(&state, 9, OWN_END + 5, now);
    let selector = SourceSelector::new(state, Part::Directory);
    // As the first of the zone it would follow the log, but its reads fail.
    selector.note_log_failure();
    let selected = selector.select_now(Some(OWN_END), now);
    assert_eq!(selected, Some(Source::Peer(follower(9))));
}

#[test]
fn a_vm_without_the_directory_asks_one_that_has_it_and_reads_the_log_if_that_fails() {
    let now = Instant::now();
    let state = vm_state();
    receive_reading(&state, 3, OWN_END, now);
    let selector = SourceSelector::new(state, Part::Directory);
    let expected = Some(Source::Peer(follower(3)));
    assert_eq!(selector.select_now(None, now), expected);
    for _ in 0..3 {
        selector.note_sync_failure();
    }
    selector.select_now(None, now);
    let selected = selector.select_now(None, now + Duration::from_secs(10));
    assert_eq!(selected, Some(Source::Log));
}

#[test]
fn a_vm_whose_next_records_were_dropped_reads_the_log_rather_than_ask_others() {
    let now = Instant::now();
    let state = vm_state();
    receive_reading(&state, 3, OWN_END, now);
    let selector = SourceSelector::new(state, Part::Directory);
    selector.note_compacted();
    assert_eq!(selector.select_now(None, now), Some(Source::Log));
    // If that fails, it asks them.
    let expected = Some(Source::Peer(follower(3)));
    assert_eq!(selector.select_now(None, now), expected);
}

#[test]
fn a_vm_reads_the_log_in_time_however_many_vms_that_come_first_are_gone() {
    for vms in [1, 6, 67, 200, 1_000] {
        let start = Instant::now();
        let state = vm_state();
        has_directory(&state, start);
        for vm in 0..vms {
            receive_reading(&state, vm, OWN_END, start);
        }
        let selector = SourceSelector::new(state.clone(), Part::Directory);
        let mut now = start;
        while selector.select_now(Some(OWN_END), now + FRESH_FOR) != Some(Source::Log) {
            now += STEP / 10;
        }
        let left = (start + state.settings.bounds.drain).checked_duration_since(now + FRESH_FOR);
        // Time for a read, and for one more if that fails.
        assert!(
            left >= Some(Duration::from_millis(500)),
            "{vms} VMs: {left:?}"
        );
    }
}

#[test]
fn vms_of_a_zone_do_not_all_reach_their_deadlines_at_once() {
    let deadlines = (0..200).map(|rank| ReadDeadline {
        max_delay: Duration::from_millis(2_000),
        read_time: Duration::ZERO,
        rank,
        vms: 200,
    });
    let mut delays: Vec<Duration> = deadlines.map(|it| it.delay()).collect();
    delays.dedup();
    assert_eq!(delays.len(), 200);
    assert!(delays[0] >= FRESH_FOR && delays[199] <= Duration::from_millis(1_600));
}

#[test]
fn the_deadline_leaves_the_time_that_a_read_takes_on_a_slow_link() {
    let max_delay = Duration::from_millis(3_000);
    for read_ms in [0, 300, 700, 1_200] {
        let read_time = Duration::from_millis(read_ms);
        for rank in 0..24 {
            let deadline = ReadDeadline {
                max_delay,
                read_time,
                rank,
                vms: 24,
            };
            let left = max_delay.checked_sub(deadline.delay() + read_time);
            assert!(deadline.delay() >= FRESH_FOR);
            assert!(
                left >= Some(Duration::from_millis(200)),
                "{read_ms} ms, rank {rank}: {left:?}"
            );
        }
    }
}

#[test]
fn a_vm_that_cannot_read_the_log_in_time_still_asks_one_that_is_ahead() {
    let now = Instant::now();
    let state = Rc::new(state_at(address(5)));
    has_directory(&state, now - Duration::from_secs(10));
    receive_reading(&state, 9, OWN_END + 5, now);
    let selector = SourceSelector::new(state, Part::Directory);
    assert_eq!(selector.select_now(Some(OWN_END), now), Some(Source::Log));
    selector.note_log_failure();
    let selected = selector.select_now(Some(OWN_END), now);
    assert_eq!(selected, Some(Source::Peer(follower(9))));
}

#[test]
fn a_leader_that_cannot_read_the_log_asks_a_vm_that_is_ahead() {
    let now = Instant::now();
    let state = vm_state();
    has_directory(&state, now);
    state.fence.set(1);
    receive_reading(&state, 3, OWN_END + 5, now);
    let selector = SourceSelector::new(state, Part::Directory);
    assert_eq!(selector.select_now(Some(OWN_END), now), Some(Source::Log));
    selector.note_log_failure();
    let expected = Some(Source::Peer(follower(3)));
    assert_eq!(selector.select_now(Some(OWN_END), now), expected);
    // The same without any offset, once the log has dropped its records.
    assert_eq!(selector.select_now(None, now), expected);
}

#[test]
fn a_vm_that_cannot_read_the_log_asks_others_again_after_they_failed_to_answer() {
    let now = Instant::now();
    let state = vm_state();
    has_directory(&state, now);
    receive_reading(&state, 3, OWN_END + 5, now);
    let selector = SourceSelector::new(state, Part::Directory);
    selector.note_log_failure();
    for _ in 0..3 {
        selector.note_sync_failure();
    }
    let later = now + Duration::from_secs(10);
    assert_eq!(selector.select_now(Some(OWN_END), later), Some(Source::Log));
    selector.note_log_failure();
    let selected = selector.select_now(Some(OWN_END), later);
    assert_eq!(selected, Some(Source::Peer(follower(3))));
}

#[test]
fn a_vm_alone_in_its_zone_that_cannot_read_the_log_asks_one_of_another_zone() {
    let now = Instant::now();
    let state = vm_state();
    has_directory(&state, now);
    receive_reading_of_zone(&state, "b", 3, OWN_END + 5, now);
    let selector = SourceSelector::new(state, Part::Directory);
    selector.note_log_failure();
    let selected = selector.select_now(Some(OWN_END), now);
    assert_eq!(selected, Some(Source::Peer(follower(3))));
}

#[test]
fn a_vm_of_a_large_fleet_that_cannot_read_the_log_asks_its_own_zone_only() {
    let now = Instant::now();
    let state = vm_state();
    has_directory(&state, now);
    for vm in 0..20 {
        receive_reading(&state, vm, OWN_END, now);
    }
    receive_reading_of_zone(&state, "b", 30, OWN_END + 5, now);
    let selector = SourceSelector::new(state.clone(), Part::Directory);
    selector.note_log_failure();
    assert!(!selector.has_alternative(OWN_END));
    receive_reading(&state, 3, OWN_END + 2, now);
    let selected = selector.select_now(Some(OWN_END), now);
    assert_eq!(selected, Some(Source::Peer(follower(3))));
}
