//! The requests of other zones at runners, from what the runners state.

use crate::gateway::runner_load::RunnerLoads;
use std::time::{Duration, Instant};

const RUN: u32 = 7;

#[test]
fn what_a_runner_states_to_one_vm_is_known_in_its_zone() {
    // Known a second late, the requests of other zones let all zones choose the same runner.
    let (sender, receiver) = (RunnerLoads::default(), RunnerLoads::default());
    let now = Instant::now();
    assert_eq!(sender.remote(RUN, now), None);
    sender.note(RUN, 11, 4, now);
    let sent_at = now + Duration::from_millis(200);
    let part = sender.take_part(sent_at).expect("there is a figure");
    receiver.apply(&part, sent_at);
    assert_eq!(receiver.remote(RUN, sent_at), Some(7));
    // Each figure is sent once.
    assert_eq!(sender.take_part(sent_at), None);
    let later = now + Duration::from_millis(1_000);
    assert_eq!(receiver.remote(RUN, later), None);
}

#[test]
fn an_earlier_statement_does_not_replace_a_later_one() {
    let (sender, receiver) = (RunnerLoads::default(), RunnerLoads::default());
    let now = Instant::now();
    sender.note(RUN, 5, 0, now);
    let part = sender.take_part(now).expect("there is a figure");
    let later = now + Duration::from_millis(100);
    receiver.note(RUN, 12, 2, later);
    // The message took longer than its age says.
    receiver.apply(&part, now);
    assert_eq!(receiver.remote(RUN, later), Some(10));
    // Fewer requests than the zone knows of: some have ended.
    receiver.note(RUN, 1, 3, later);
    assert_eq!(receiver.remote(RUN, later), Some(0));
}
