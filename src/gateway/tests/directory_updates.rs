//! Tests that an update of the directory is applied as a whole or not at all, and of what is
//! forwarded to the zone.

use crate::gateway::directory_updates::{Assembly, DirectoryUpdate, update_messages};
use crate::gateway::fleet::{Entry, Holding, ServerState};
use crate::gateway::peers::Peers;
use crate::gateway::state::State;
use crate::gateway::tests::state;
use crate::gateway::{Changes, ServerChange};
use crate::inventory::Name;
use prost::Message;
use std::time::{Duration, Instant};

/// Maximum size of a message that fits into one datagram on any network path, in bytes.
const DATAGRAM_BYTES: usize = 1_300;

fn listed(index: usize) -> ServerChange {
    let names = |count: usize| (0..count).map(|it| Name::from(format!("model-{it}")));
    ServerChange::Upserted(Entry {
        id: format!("i-{index}").into(),
        started_ms: 1_000 + index as u64,
        sequence: 5,
        service: "llm".into(),
        software_version: "v1".into(),
        address: "10.1.0.9:8000".parse().expect("an address"),
        availability_zone: "a".into(),
        slots: 16,
        state: ServerState::Draining,
        holdings: names(2)
            .map(|model| Holding {
                model,
                version: 3,
                adapters: vec!["a1".into()],
            })
            .collect(),
        in_memory: names(3).collect(),
        on_disk: names(5).collect(),
    })
}

fn changes(count: usize) -> Vec<ServerChange> {
    let gone = ServerChange::Removed("i-gone".into());
    (0..count).map(listed).chain([gone]).collect()
}

fn parts(count: usize, from: u64, next: u64) -> Vec<DirectoryUpdate> {
    update_messages(&changes(count), from, next, false).expect("they are few enough")
}

/// Number of changes and the new end offset after a reader that has read up to `end` received the
/// messages; `None` if it applies nothing.
fn applied(messages: Vec<DirectoryUpdate>, end: Option<u64>) -> Option<(usize, u64)> {
    let mut assembly = Assembly::default();
    let mut whole = None;
    for message in messages {
        whole = whole.or(assembly.add_part(message, end));
    }
    whole.map(|changes| (changes.items.len(), changes.next_offset))
}

#[test]
fn changes_are_reassembled_unchanged_from_messages_in_any_order() {
    let mut messages = parts(12, 40, 60);
    assert!(messages.len() > 1);
    assert!(messages.iter().all(|it| it.encoded_len() <= DATAGRAM_BYTES));
    messages.reverse();
    assert_eq!(applied(messages.clone(), Some(50)), Some((13, 60)));
    let mut assembly = Assembly::default();
    let whole = messages
        .into_iter()
        .find_map(|it| assembly.add_part(it, Some(50)));
    let items = whole.expect("all parts are there").items;
    assert_eq!(format!("{items:?}"), format!("{:?}", changes(12)));
}

#[test]
fn a_reader_that_missed_changes_applies_nothing() {
    // The reader has not reached the start of the range, or has read nothing yet.
    assert_eq!(applied(parts(1, 40, 60), Some(39)), None);
    assert_eq!(applied(parts(1, 40, 60), None), None);
    // The reader has read past the range.
    assert_eq!(applied(parts(1, 40, 60), Some(60)), None);
    // A part was lost, and the update for the next range does not make up for it.
    let mut messages = parts(12, 40, 60);
    messages.remove(0);
    messages.extend(parts(1, 60, 70));
    assert_eq!(applied(messages, Some(50)), None);
}

#[test]
fn the_start_of_a_large_fleet_is_left_to_be_read_from_the_log() {
    assert!(update_messages(&changes(400), 0, 400, false).is_none());
}

#[test]
fn a_prompt_that_has_been_prefilled_is_not_reported_any_more() {
    let now = Instant::now();
    let peers = Peers::new("10.1.0.1:7380".parse().expect("an address"), now);
    peers.outbox.report_prompt(&"i-1".into(), 18.0, now);
    peers.outbox.report_prompt(&"i-2".into(), 50.0, now);
    let reported = peers
        .outbox
        .take_unsent_prompts(9, now + Duration::from_millis(30));
    let servers: Vec<&str> = reported.iter().map(|it| it.server.as_str()).collect();
    assert_eq!(servers, ["i-2"]);
    assert!(peers.outbox.take_unsent_prompts(9, now).is_empty());
}

/// Applies changes and returns how many of them are forwarded to the zone.
fn apply(state: &State, items: Vec<ServerChange>) -> usize {
    let changes = Changes {
        items,
        next_offset: 0,
    };
    state
        .apply_directory_changes(changes, None, Instant::now())
        .0
        .len()
}

#[test]
fn relevant_changes_are_forwarded_and_mere_renewals_are_not() {
    let state = state();
    assert_eq!(apply(&state, vec![listed(1)]), 1);
    assert_eq!(apply(&state, vec![listed(1)]), 0);
    let ServerChange::Upserted(mut entry) = listed(1) else {
        panic!("the change is not an entry");
    };
    entry.holdings.clear();
    assert_eq!(apply(&state, vec![ServerChange::Upserted(entry)]), 1);
}

#[test]
fn the_removal_of_a_server_that_this_vm_has_already_forgotten_is_forwarded() {
    let state = state();
    apply(&state, vec![listed(1)]);
    // This VM alone found another server at the address and dropped the entry.
    state.fleet.mark_removed("i-1", Instant::now());
    state.purge_removed(Instant::now());
    assert_eq!(apply(&state, vec![ServerChange::Removed("i-1".into())]), 1);
}
