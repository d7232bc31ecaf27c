//! Requests that a VM forwards to another VM: what is stated of them, and which VM gets them.

use crate::gateway::failure::Failure;
use crate::gateway::forward_targets::{ForwardCandidate, choose_target};
use crate::gateway::forwarding::{
    DeclineReason, ForwardSlots, ForwardState, forward_address, is_declined, peer_address,
};
use crate::gateway::tests::address;
use hyper::{HeaderMap, Response};
use std::time::Duration;

fn forward_state() -> ForwardState {
    ForwardState {
        sender: address(3),
        runs: 1,
        is_retry: true,
        configuration_version: 17,
        weights_version: Some(4),
    }
}

fn candidates(local: usize, remote: usize) -> Vec<ForwardCandidate> {
    let all = (0..local + remote).map(|index| ForwardCandidate {
        address: address(index),
        is_local: index < local,
    });
    all.collect()
}

#[test]
fn what_a_vm_states_of_a_forwarded_request_arrives_and_goes_no_further() {
    let mut headers = HeaderMap::new();
    forward_state().insert(&mut headers);
    assert_eq!(ForwardState::take(&mut headers), Some(forward_state()));
    assert!(headers.is_empty(), "{headers:?}");
    assert_eq!(ForwardState::take(&mut headers), None);
}

#[test]
fn headers_of_a_caller_do_not_become_what_a_vm_states() {
    let mut headers = HeaderMap::new();
    forward_state().insert(&mut headers);
    let own = ForwardState {
        runs: 0,
        is_retry: false,
        weights_version: None,
        ..forward_state()
    };
    own.insert(&mut headers);
    assert_eq!(ForwardState::take(&mut headers), Some(own));
}

#[test]
fn a_declined_request_is_told_from_one_that_a_server_refused() {
    let (declined, _) = DeclineReason::Full.response().into_parts();
    assert!(is_declined(&declined));
    let (refused, ()) = Response::builder()
        .status(503)
        .body(())
        .expect("a status is valid")
        .into_parts();
    assert!(!is_declined(&refused));
}

#[test]
fn a_slot_is_free_again_once_the_forwarded_request_has_ended() {
    let slots = ForwardSlots::default();
    let mut calls = Vec::new();
    while !slots.is_full() {
        calls.push(slots.take(forward_state()));
    }
    calls.pop();
    assert!(!slots.is_full());
}

#[test]
fn requests_are_forwarded_within_the_zone_while_a_vm_there_takes_them() {
    let all = candidates(2, 10);
    for step in 0..100 {
        let draw = f64::from(step) / 100.0;
        let chosen = choose_target(&all, |_| 0, [draw, 1.0 - draw - 0.001]);
        assert!(chosen.is_some_and(|index| all[index].is_local));
    }
    let remote = candidates(0, 10);
    assert!(choose_target(&remote, |_| 0, [0.1, 0.9]).is_some());
    assert_eq!(choose_target(&[], |_| 0, [0.1, 0.9]), None);
}

#[test]
fn of_two_vms_the_one_with_fewer_requests_gets_the_next() {
    let all = candidates(10, 0);
    let in_flight = |it: &ForwardCandidate| match it.address == address(2) {
        true => 5,
        false => 1,
    };
    assert_eq!(choose_target(&all, in_flight, [0.25, 0.75]), Some(7));
}

#[test]
fn the_port_for_forwarded_requests_leads_back_to_the_vm() {
    assert_eq!(peer_address(forward_address(address(9))), address(9));
}

#[test]
fn a_request_without_memory_is_refused_as_not_run_unless_a_server_may_have_run_it() {
    let time_left = Duration::from_secs(12);
    for failure in [Failure::NoBodyRoom, Failure::NoMemory] {
        let refusal = failure.after_runs(0).refusal(time_left);
        assert_eq!(refusal.status, 503);
        let retry_after = refusal.retry_after.expect("the caller may come again");
        assert!(retry_after <= Duration::from_secs(1));
        assert_eq!(failure.after_runs(1), Failure::Unknown);
    }
    let (declined, _) = DeclineReason::NoMemory.response().into_parts();
    assert!(is_declined(&declined));
}
