//! Tests that an update of the directory is applied as a whole or not at all, and of what is
//! forwarded to the zone.

use crate::gateway::directory_updates::{Assembly, DirectoryUpdate, update_messages};
use crate::gateway::fleet::{Entry, Holding, ServerState};
use crate::gateway::peers::Peers;
use crate::gateway::removal::ChangeSource;
use crate::gateway::state::State;
use crate::gateway::tests::state;
use crate::gateway::{Changes, ServerChange};
use crate::inventory::Name;
use proptest::prelude::*;
use prost::Message;
use std::net::{IpAddr, SocketAddr};
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
        .apply_directory_changes(changes, None, ChangeSource::Log, Instant::now())
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

fn any_names() -> impl Strategy<Value = Vec<Name>> {
    prop::collection::vec(any::<String>().prop_map(Name::from), 0..4)
}

/// Any entry that can be read, however odd.
fn any_entry() -> impl Strategy<Value = Entry> {
    let numbers = (any::<u64>(), any::<u64>(), any::<u32>(), any::<u64>());
    let names = prop::collection::vec(any::<String>().prop_map(Name::from), 4);
    let address = (any::<IpAddr>(), any::<u16>());
    let lists = (any_names(), any_names(), any_names());
    (numbers, names, address, lists, any::<bool>()).prop_map(
        |((started_ms, sequence, slots, version), names, address, lists, is_ready)| Entry {
            id: names[0].clone(),
            started_ms,
            sequence,
            service: names[1].clone(),
            software_version: names[2].clone(),
            address: SocketAddr::from(address),
            availability_zone: names[3].clone(),
            slots,
            state: match is_ready {
                true => ServerState::Ready,
                false => ServerState::Draining,
            },
            holdings: vec![Holding {
                model: names[0].clone(),
                version,
                adapters: lists.0,
            }],
            in_memory: lists.1,
            on_disk: lists.2,
        },
    )
}

proptest! {
    #[test]
    fn any_entry_that_was_read_passes_unchanged_from_vm_to_vm(entries in prop::collection::vec(any_entry(), 1..6)) {
        let unreadable = entries.iter().map(|it| ServerChange::Unreadable(it.id.clone()));
        let changes: Vec<ServerChange> =
            entries.iter().cloned().map(ServerChange::Upserted).chain(unreadable).collect();
        let messages = update_messages(&changes, 3, 9, false).expect("they are few enough");
        let mut assembly = Assembly::default();
        let mut received = None;
        for message in messages {
            let message = DirectoryUpdate::decode(&*message.encode_to_vec());
            received = received.or(assembly.add_part(message.expect("it was encoded"), Some(3)));
        }
        prop_assert_eq!(received.expect("all parts were sent").items, changes);
    }
}

#[test]
fn an_entry_of_another_writer_does_not_keep_a_server_from_being_listed_again() {
    let sound = |sequence| {
        let ServerChange::Upserted(entry) = listed(1) else {
            panic!("an entry");
        };
        Entry {
            started_ms: 0,
            sequence,
            ..entry
        }
    };
    for odd in [
        Entry {
            started_ms: 5,
            address: "10.1.0.7:1".parse().expect("an address"),
            ..sound(4)
        },
        sound(1 << 50),
    ] {
        let state = state();
        let now = Instant::now();
        let apply = |from: Option<u64>, entry: &Entry| {
            let changes = Changes {
                items: vec![ServerChange::Upserted(entry.clone())],
                next_offset: from.map_or(1, |from| from + 1),
            };
            state.apply_directory_changes(changes, from, ChangeSource::Log, now);
        };
        apply(None, &sound(3));
        apply(Some(1), &odd);
        apply(Some(2), &sound(4));
        let server = state.fleet.server("i-1").expect("it is listed");
        server.with_entry(|entry| assert_eq!(*entry, sound(4)));
    }
}
