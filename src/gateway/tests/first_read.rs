//! Which VMs of a fleet that starts at once read the log first.

use crate::gateway::first_read::MAX_FIRST_READERS;
use crate::gateway::source_selector::{Source, SourceSelector};
use crate::gateway::state::State;
use crate::gateway::sync_message::Part;
use crate::gateway::tests::{address, state_at};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

const PARTITIONS: usize = 12;
/// The time within which a VM that starts should route its first request.
const START_LIMIT: Duration = Duration::from_millis(350);
const STEP: Duration = Duration::from_millis(5);

/// A VM that has just read a list of these members, of which it is one if it `is_owner`.
fn started(own: usize, listed: &[usize], is_owner: bool, now: Instant) -> Rc<State> {
    let state = Rc::new(state_at(address(own)));
    let others: Vec<SocketAddr> = listed.iter().copied().map(address).collect();
    let names = others.len() + usize::from(is_owner);
    let peers = &state.peers;
    peers.set_members(others, names < PARTITIONS, PARTITIONS);
    peers.note_list_read(is_owner, now);
    state
}

/// When a VM reads the log if no other VM sends it anything; `None` if that is after the limit.
fn reads_log_after(state: &Rc<State>, now: Instant) -> Option<Duration> {
    let selector = SourceSelector::new(state.clone(), Part::Directory);
    let mut waited = Duration::ZERO;
    while waited <= START_LIMIT {
        if selector.select_now(None, now + waited) == Some(Source::Log) {
            return Some(waited);
        }
        waited += STEP;
    }
    None
}

#[test]
fn of_vms_that_join_one_after_the_other_only_the_first_read_the_log_at_once() {
    let now = Instant::now();
    for order in [
        [0, 1, 2, 3, 4, 5, 6, 7, 8, 9],
        [9, 8, 7, 6, 5, 4, 3, 2, 1, 0],
    ] {
        let at_once = (0..order.len()).filter(|joined| {
            let state = started(order[*joined], &order[..*joined], true, now);
            reads_log_after(&state, now) == Some(Duration::ZERO)
        });
        assert_eq!(at_once.count(), MAX_FIRST_READERS, "{order:?}");
    }
}

#[test]
fn one_listed_vm_reads_the_log_soon_where_the_list_is_full_and_nobody_answers() {
    let now = Instant::now();
    let early = (0..PARTITIONS).filter_map(|own| {
        let others: Vec<usize> = (0..PARTITIONS).filter(|it| *it != own).collect();
        reads_log_after(&started(own, &others, true, now), now)
    });
    let mut early: Vec<Duration> = early.collect();
    early.sort();
    assert!(early[0] > Duration::ZERO && early[0] <= START_LIMIT / 3);
    // They follow each other, so that one read is over before the next begins.
    let readers = early.len();
    assert!(readers > 1 && readers < MAX_FIRST_READERS);
    early.dedup();
    assert_eq!(early.len(), readers);
}

#[test]
fn a_listed_vm_does_not_read_the_log_while_another_one_says_that_it_does() {
    let now = Instant::now();
    let others: Vec<usize> = (1..PARTITIONS).collect();
    let state = started(0, &others, true, now);
    state.peers.note_reader(now);
    assert!(reads_log_after(&state, now) >= Some(Duration::from_millis(300)));
    // One of the first to join does not wait for the others that read.
    let first = started(0, &[1, 2], true, now);
    first.peers.note_reader(now);
    assert_eq!(reads_log_after(&first, now), Some(Duration::ZERO));
}

#[test]
fn a_vm_that_is_not_listed_asks_the_members_and_does_not_read_the_log() {
    let now = Instant::now();
    let listed: Vec<usize> = (1..=PARTITIONS).collect();
    // Its address precedes those of all members.
    let state = started(0, &listed, false, now);
    assert_eq!(reads_log_after(&state, now), None);
    let selector = SourceSelector::new(state, Part::Directory);
    let source = selector.select_now(None, now);
    assert!(matches!(source, Some(Source::Members(until)) if until > now));
}

#[test]
fn a_vm_that_cannot_read_the_list_of_members_reads_the_log_in_the_end() {
    let state = Rc::new(state_at(address(0)));
    let selector = SourceSelector::new(state, Part::Directory);
    let now = Instant::now();
    assert_eq!(selector.select_now(None, now), None);
    let late = now + Duration::from_millis(1_100);
    assert_eq!(selector.select_now(None, late), Some(Source::Log));
}
