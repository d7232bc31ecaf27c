//! Tests of what a VM does when the log comes back from an older copy.

use crate::gateway::configuration_check::{PeerConfiguration, passes};
use crate::gateway::directory_updates::{Assembly, update_messages};
use crate::gateway::fleet::{Entry, ServerState};
use crate::gateway::removal::ChangeSource;
use crate::gateway::state::State;
use crate::gateway::tests::state;
use crate::gateway::{Changes, Position, ServerChange};
use std::time::{Duration, Instant};

const SERVER: &str = "i-1";
/// Longer than servers may take to write their entries again.
const LONG: Duration = Duration::from_secs(60);

fn entry(sequence: u64) -> Entry {
    Entry {
        id: SERVER.into(),
        started_ms: 1_000,
        sequence,
        service: "s".into(),
        software_version: "v1".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        availability_zone: "a".into(),
        slots: 4,
        state: ServerState::Ready,
        holdings: Vec::new(),
        in_memory: Vec::new(),
        on_disk: Vec::new(),
    }
}

fn position(era: u64, offset: u64) -> u64 {
    Position { era, offset }.to_u64()
}

fn apply(state: &State, change: ServerChange, now: Instant) -> usize {
    let changes = Changes {
        items: vec![change],
        next_offset: position(1, 2),
    };
    let (to_send, _) = state.apply_directory_changes(changes, Some(1), ChangeSource::Log, now);
    to_send.len()
}

fn is_listed(state: &State) -> bool {
    let server = state.fleet.server(SERVER);
    server.is_some_and(|server| !server.is_marked_removed())
}

/// Guards against a position of the lost history that counts as ahead of the new one, and against
/// different messages while the log was never restored.
#[test]
fn a_position_of_a_later_era_is_ahead_and_one_of_the_first_era_is_its_offset() {
    assert_eq!(position(0, 7), 7);
    assert!(position(1, 0) > position(0, 1_000_000));
    let encoded = position(3, 9);
    let decoded = Position::from_u64(encoded);
    assert_eq!(decoded, Position { era: 3, offset: 9 });
    assert_eq!(Position::from_u64(encoded + 1).offset, 10);
}

/// Guards against requests to a server that left, since a copy still lists it.
#[test]
fn an_entry_of_a_copy_does_not_bring_back_a_removed_run_and_a_newer_entry_does() {
    let state = state();
    let now = Instant::now();
    apply(&state, ServerChange::Upserted(entry(5)), now);
    apply(&state, ServerChange::Removed(SERVER.into()), now);
    // Both while the removal is recent and once the server is forgotten.
    for _ in 0..2 {
        assert_eq!(apply(&state, ServerChange::Restored(entry(5)), now), 0);
        assert!(!is_listed(&state));
        state.purge_removed(now);
    }
    assert_eq!(apply(&state, ServerChange::Restored(entry(6)), now), 1);
    assert!(is_listed(&state));
}

/// Guards against the removal of living servers after a restore, and against servers that stay in
/// use although they never write again.
#[test]
fn a_server_whose_entry_is_lost_is_kept_until_it_could_have_written_again() {
    let state = state();
    let now = Instant::now();
    apply(&state, ServerChange::Upserted(entry(5)), now);
    assert_eq!(apply(&state, ServerChange::Lost(SERVER.into()), now), 1);
    state.purge_removed(now + Duration::from_secs(10));
    assert!(is_listed(&state));
    // Known already: the time does not begin again.
    let later = now + Duration::from_secs(10);
    assert_eq!(apply(&state, ServerChange::Lost(SERVER.into()), later), 0);
    state.purge_removed(now + LONG);
    assert!(!is_listed(&state));
}

/// Guards against the removal of a server that has written its entry again, even unchanged.
#[test]
fn a_server_that_writes_its_lost_entry_again_stays() {
    let state = state();
    let now = Instant::now();
    apply(&state, ServerChange::Upserted(entry(5)), now);
    apply(&state, ServerChange::Lost(SERVER.into()), now);
    apply(&state, ServerChange::Upserted(entry(4)), now);
    state.purge_removed(now + LONG);
    assert!(is_listed(&state));
}

/// Guards against VMs that receive the update of another one and never learn which entries are lost.
#[test]
fn an_update_across_a_restore_says_which_entries_are_lost() {
    let lost = [ServerChange::Lost(SERVER.into())];
    let messages = update_messages(&lost, position(0, 9), position(1, 4), true);
    let mut assembly = Assembly::default();
    let update = messages.expect("it fits").remove(0);
    let changes = assembly.add_part(update, Some(position(0, 9)));
    let changes = changes.expect("the update continues the lost history");
    assert_eq!(changes.next_offset, position(1, 4));
    assert!(matches!(&changes.items[..], [ServerChange::Lost(id)] if id == SERVER));
}

/// Guards against a VM that starts with the older configuration of a copy, and against one that
/// never serves because no other VM has the state.
#[test]
fn a_configuration_is_used_once_no_other_vm_can_have_a_later_one() {
    let stated = |version, is_checked| PeerConfiguration {
        version,
        is_checked,
    };
    let at_once = Duration::ZERO;
    assert!(!passes(3, at_once, []));
    assert!(!passes(3, at_once, [stated(3, false)]));
    assert!(passes(3, at_once, [stated(0, false), stated(3, true)]));
    assert!(passes(3, LONG, [stated(3, false)]));
    assert!(!passes(3, LONG, [stated(4, true)]));
}

/// Guards against a VM that serves callers, refuses them after a restore although its configuration
/// is the latest, and against statements in messages before any restore.
#[test]
fn a_vm_without_configuration_is_checked_only_after_a_restore() {
    let state = state();
    let now = Instant::now();
    assert!(state.is_configuration_checked(now));
    assert_eq!(
        state.stated_configuration(now),
        PeerConfiguration::default()
    );
    state.note_position(position(1, 0), "log", now);
    assert!(!state.is_configuration_checked(now));
}
