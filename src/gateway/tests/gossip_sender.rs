//! What the VM that gives orders tells of runners.

use crate::gateway::fleet::{Entry, Fleet, Holding, ServerState};
use crate::gateway::gossip_sender::AdvertisedHoldings;
use std::time::{Duration, Instant};

const TURN: Duration = Duration::from_millis(200);

fn holding(model: &str, adapters: &[&str]) -> Holding {
    Holding {
        model: model.into(),
        version: 1,
        adapters: adapters.iter().map(|it| (*it).into()).collect(),
    }
}

/// How often it is told in ten seconds that nothing changes in.
fn tellings(mut told: AdvertisedHoldings, is_listed: bool, now: Instant) -> usize {
    let turns = (0..50).map(|turn| now + TURN * turn);
    turns.filter(|now| told.take_due(is_listed, *now)).count()
}

#[test]
fn what_the_directory_lists_is_told_at_its_change_only() {
    let now = Instant::now();
    let told = || AdvertisedHoldings::new(&[holding("m", &[])], now);
    assert_eq!(tellings(told(), true, now), 3, "a message may be lost");
    // Whoever missed it or came since does not learn it from the directory.
    assert!(tellings(told(), false, now) >= 6);
}

#[test]
fn a_change_is_told_though_the_directory_lists_it_already() {
    let now = Instant::now();
    let mut told = AdvertisedHoldings::new(&[holding("m", &[])], now);
    let later = now + Duration::from_secs(5);
    assert!(!told.take_due(true, later));
    told.note(&[holding("m", &["a"])], later);
    assert!(told.take_due(true, later));
}

#[test]
fn a_list_in_another_order_is_the_same() {
    let fleet = Fleet::default();
    fleet.take(Entry {
        id: "i".into(),
        started_ms: 1,
        sequence: 1,
        service: "s".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        availability_zone: "a".into(),
        slots: 4,
        state: ServerState::Ready,
        holdings: vec![holding("m", &["a", "b"]), holding("n", &[])],
        in_memory: Vec::new(),
        on_disk: Vec::new(),
    });
    let server = fleet.server("i").expect("it was entered");
    assert!(server.lists(&[holding("n", &[]), holding("m", &["b", "a"])]));
    assert!(!server.lists(&[holding("m", &["a", "b"])]));
    assert!(!server.lists(&[holding("n", &[]), holding("m", &["a", "c"])]));
}
