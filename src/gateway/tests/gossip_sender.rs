//! When the leader sends what runners hold.

use crate::gateway::fleet::{Entry, Fleet, Holding, ServerState};
use crate::gateway::gossip_sender::AdvertisedHoldings;
use crate::gateway::removal::ReadContext;
use std::time::{Duration, Instant};

const ROUND: Duration = Duration::from_millis(200);

fn holding(model: &str, adapters: &[&str]) -> Holding {
    Holding {
        model: model.into(),
        version: 1,
        adapters: adapters.iter().map(|it| (*it).into()).collect(),
    }
}

/// Whether the holdings are sent now.
fn take_due(holdings: &mut AdvertisedHoldings, is_listed: bool, now: Instant) -> bool {
    let is_due = holdings.is_due(is_listed, now);
    if is_due {
        holdings.note_sent(now);
    }
    is_due
}

/// The number of times that the holdings are sent in ten seconds without a change.
fn sends_without_change(mut holdings: AdvertisedHoldings, is_listed: bool, now: Instant) -> usize {
    let rounds = (0..50).map(|round| now + ROUND * round);
    rounds
        .filter(|now| take_due(&mut holdings, is_listed, *now))
        .count()
}

#[test]
fn holdings_in_the_directory_are_sent_only_when_they_change() {
    let now = Instant::now();
    let holdings = || AdvertisedHoldings::new(&[holding("m", &[])], now);
    assert_eq!(
        sends_without_change(holdings(), true, now),
        3,
        "a message may be lost"
    );
    // The directory does not list these holdings, so they are sent again, for VMs that missed the
    // messages or started later.
    assert!(sends_without_change(holdings(), false, now) >= 6);
}

#[test]
fn a_change_is_sent_even_if_the_directory_already_lists_it() {
    let now = Instant::now();
    let mut holdings = AdvertisedHoldings::new(&[holding("m", &[])], now);
    assert!(take_due(&mut holdings, true, now));
    let later = now + Duration::from_secs(5);
    assert!(!take_due(&mut holdings, true, later));
    holdings.update(&[holding("m", &["a"])], later);
    assert!(take_due(&mut holdings, true, later));
}

#[test]
fn holdings_that_did_not_fit_a_round_are_sent_in_a_later_one() {
    let now = Instant::now();
    let mut holdings = AdvertisedHoldings::new(&[holding("m", &[])], now);
    let later = now + Duration::from_secs(5);
    assert!(take_due(&mut holdings, true, later));
    assert!(!take_due(&mut holdings, true, later + ROUND));
}

#[test]
fn the_order_of_models_and_adapters_does_not_matter() {
    let fleet = Fleet::default();
    let entry = Entry {
        id: "i".into(),
        started_ms: 1,
        sequence: 1,
        service: "s".into(),
        software_version: "v1".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        availability_zone: "a".into(),
        slots: 4,
        state: ServerState::Ready,
        holdings: vec![holding("m", &["a", "b"]), holding("n", &[])],
        in_memory: Vec::new(),
        on_disk: Vec::new(),
    };
    fleet.apply_entry(entry, false, &ReadContext::at(Instant::now()));
    let server = fleet.server("i").expect("the server is in the fleet");
    assert!(server.lists(&[holding("n", &[]), holding("m", &["b", "a"])]));
    assert!(!server.lists(&[holding("m", &["a", "b"])]));
    assert!(!server.lists(&[holding("n", &[]), holding("m", &["a", "c"])]));
}
