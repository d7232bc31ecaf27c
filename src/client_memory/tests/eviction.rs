//! Which connections are closed for others.

use crate::client_memory::eviction::{Holding, Waiting, choose_for_memory, choose_for_place};
use proptest::prelude::*;
use std::time::Duration;

const MIN_WAIT: Duration = Duration::from_secs(1);

fn holding(id: u64, waiting: Waiting, waited_ms: u64, bytes: usize) -> Holding {
    Holding {
        id,
        waiting,
        waited: Duration::from_millis(waited_ms),
        bytes,
    }
}

#[test]
fn those_that_hold_most_for_longest_give_way_first() {
    let holdings = vec![
        holding(1, Waiting::Begun, 2_000, 1_000),
        holding(2, Waiting::Begun, 2_000, 9_000),
        holding(3, Waiting::Begun, 20_000, 1_000),
        holding(4, Waiting::Idle, 90_000, 9_000),
    ];
    let choose = |needed| choose_for_memory(holdings.clone(), needed, MIN_WAIT);
    assert_eq!(choose(0), Vec::<u64>::new());
    assert_eq!(choose(1), [3]);
    assert_eq!(choose(1_001), [3, 2]);
    assert_eq!(choose(10_001), [3, 2, 1]);
    // Clients between two requests wait for nothing.
    assert_eq!(choose(11_001), [3, 2, 1, 4]);
}

#[test]
fn nobody_gives_way_before_the_shortest_wait_or_without_holding_anything() {
    let holdings = vec![
        holding(1, Waiting::Begun, 249, 9_000),
        holding(2, Waiting::Begun, 5_000, 0),
        holding(3, Waiting::Idle, 999, 9_000),
    ];
    assert!(choose_for_memory(holdings.clone(), 1, MIN_WAIT).is_empty());
    assert_eq!(choose_for_place(&holdings[..1], MIN_WAIT), None);
    assert_eq!(choose_for_place(&holdings[2..], MIN_WAIT), None);
}

#[test]
fn those_that_have_not_waited_for_long_give_way_only_if_no_others_do() {
    let holdings = vec![
        holding(1, Waiting::Begun, 999, 9_000),
        holding(2, Waiting::Begun, 1_000, 1_000),
        holding(3, Waiting::Idle, 90_000, 9_000),
    ];
    let choose = |needed| choose_for_memory(holdings.clone(), needed, MIN_WAIT);
    assert_eq!(choose(1_000), [2]);
    assert_eq!(choose(1_001), [2, 1]);
    assert_eq!(choose(10_001), [2, 1, 3]);
    assert_eq!(choose_for_place(&holdings, MIN_WAIT), Some(2));
    assert_eq!(choose_for_place(&holdings[..1], MIN_WAIT), Some(1));
}

#[test]
fn a_place_is_given_up_by_whoever_waits_longest_in_the_middle_of_something() {
    let begun = holding(1, Waiting::Begun, 1_000, 0);
    let longer = holding(2, Waiting::Begun, 2_000, 0);
    let unused = holding(3, Waiting::Unused, 9_000, 0);
    let idle = holding(4, Waiting::Idle, 90_000, 0);
    let choose = |holdings: &[Holding]| choose_for_place(holdings, MIN_WAIT);
    assert_eq!(choose(&[idle, unused, begun, longer]), Some(2));
    assert_eq!(choose(&[idle, unused]), Some(3));
    assert_eq!(choose(&[idle]), Some(4));
    assert_eq!(choose(&[]), None);
}

proptest! {
    #[test]
    fn no_more_connections_are_closed_than_needed(
        held in prop::collection::vec((0_u64..9_000, 0_usize..9_000), 0..40),
        needed_bytes in 0_usize..100_000,
    ) {
        let holdings: Vec<_> = held
            .iter()
            .enumerate()
            .map(|(id, (waited_ms, bytes))| holding(id as u64, Waiting::Begun, *waited_ms, *bytes))
            .collect();
        let chosen = choose_for_memory(holdings.clone(), needed_bytes, MIN_WAIT);
        let bytes_of = |id: &u64| held[*id as usize].1;
        let free_bytes: usize = chosen.iter().map(bytes_of).sum();
        let last_bytes = chosen.last().map_or(0, bytes_of);
        prop_assert!(chosen.is_empty() || free_bytes - last_bytes < needed_bytes);
        let may_close = holdings.iter().filter(|it| it.waited >= MIN_WAIT / 4);
        let all_bytes: usize = may_close.map(|it| it.bytes).sum();
        prop_assert!(free_bytes >= needed_bytes.min(all_bytes));
    }
}
