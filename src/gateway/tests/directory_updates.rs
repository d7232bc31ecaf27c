//! Changes of the directory reach the zone whole, or not at all.

use crate::gateway::directory_updates::{Assembly, DirectoryUpdate, news_of};
use crate::gateway::fleet::{Entry, Holding, ServerState};
use crate::gateway::peers::Peers;
use crate::gateway::state::State;
use crate::gateway::tests::state;
use crate::gateway::{Changes, ServerChange};
use crate::inventory::Name;
use prost::Message;
use std::time::{Duration, Instant};

/// Bytes of a message that fit one datagram on any path.
const DATAGRAM_BYTES: usize = 1_300;

fn here(index: usize) -> ServerChange {
    let names = |count: usize| (0..count).map(|it| Name::from(format!("model-{it}")));
    ServerChange::Upserted(Entry {
        id: format!("i-{index}").into(),
        started_ms: 1_000 + index as u64,
        sequence: 5,
        service: "llm".into(),
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
    (0..count).map(here).chain([gone]).collect()
}

fn parts(count: usize, from: u64, next: u64) -> Vec<DirectoryUpdate> {
    news_of(&changes(count), from, next, false).expect("they are few enough")
}

/// What is taken over of messages by a reader that has read up to `end`.
fn taken(messages: Vec<DirectoryUpdate>, end: Option<u64>) -> Option<(usize, u64)> {
    let mut assembly = Assembly::default();
    let mut whole = None;
    for message in messages {
        whole = whole.or(assembly.take(message, end));
    }
    whole.map(|changes| (changes.items.len(), changes.next))
}

#[test]
fn changes_arrive_as_they_were_in_whatever_order_their_messages_come() {
    let mut messages = parts(12, 40, 60);
    assert!(messages.len() > 1);
    assert!(messages.iter().all(|it| it.encoded_len() <= DATAGRAM_BYTES));
    messages.reverse();
    assert_eq!(taken(messages.clone(), Some(50)), Some((13, 60)));
    let mut assembly = Assembly::default();
    let whole = messages
        .into_iter()
        .find_map(|it| assembly.take(it, Some(50)));
    let items = whole.expect("all parts are there").items;
    assert_eq!(format!("{items:?}"), format!("{:?}", changes(12)));
}

#[test]
fn a_reader_that_missed_something_takes_nothing_over() {
    // It has not reached the beginning of the stretch, or knows nothing yet.
    assert_eq!(taken(parts(1, 40, 60), Some(39)), None);
    assert_eq!(taken(parts(1, 40, 60), None), None);
    // It has read beyond it.
    assert_eq!(taken(parts(1, 40, 60), Some(60)), None);
    // A part was lost, and the next stretch does not make up for it.
    let mut messages = parts(12, 40, 60);
    messages.remove(0);
    messages.extend(parts(1, 60, 70));
    assert_eq!(taken(messages, Some(50)), None);
}

#[test]
fn a_fleet_that_starts_as_a_whole_is_read_from_the_log() {
    assert!(news_of(&changes(400), 0, 400, false).is_none());
}

#[test]
fn a_prompt_that_has_been_read_is_not_told_any_more() {
    let now = Instant::now();
    let peers = Peers::new("10.1.0.1:7380".parse().expect("an address"), now);
    peers.report_prompt(&"i-1".into(), 18.0, now);
    peers.report_prompt(&"i-2".into(), 50.0, now);
    let told = peers.take_unsent_prompts(9, now + Duration::from_millis(30));
    let servers: Vec<&str> = told.iter().map(|it| it.server.as_str()).collect();
    assert_eq!(servers, ["i-2"]);
    assert!(peers.take_unsent_prompts(9, now).is_empty());
}

fn read(state: &State, items: Vec<ServerChange>) -> usize {
    let changes = Changes { items, next: 0 };
    state
        .apply_directory_changes(changes, Instant::now())
        .0
        .len()
}

#[test]
fn what_matters_to_others_is_told_and_what_is_only_renewed_is_not() {
    let state = state();
    assert_eq!(read(&state, vec![here(1)]), 1);
    assert_eq!(read(&state, vec![here(1)]), 0);
    let ServerChange::Upserted(mut entry) = here(1) else {
        panic!("it is an entry");
    };
    entry.holdings.clear();
    assert_eq!(read(&state, vec![ServerChange::Upserted(entry)]), 1);
}

#[test]
fn a_server_that_this_vm_has_given_up_already_is_told_to_be_gone() {
    let state = state();
    read(&state, vec![here(1)]);
    // Another server answered at its address.
    state.fleet.mark_removed("i-1", Instant::now());
    state.purge_removed(Instant::now());
    assert_eq!(read(&state, vec![ServerChange::Removed("i-1".into())]), 1);
}
