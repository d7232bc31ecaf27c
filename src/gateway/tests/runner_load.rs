//! The requests of other zones at runners, from what the runners state.

use crate::gateway::fleet::Incarnation;
use crate::gateway::runner_load::{RunnerLoads, RunnerLoadsPart, counted, is_believed};
use crate::gateway::server_speed::{ServerSpeeds, StatedLoad, Verdict};
use prost::Message;
use std::time::{Duration, Instant};

const RUN: u32 = 7;
const SLOTS: u32 = 12;

#[test]
fn what_a_runner_states_to_one_vm_is_known_in_its_zone() {
    // Known a second late, the requests of other zones let all zones choose the same runner.
    let (sender, receiver) = (RunnerLoads::default(), RunnerLoads::default());
    let now = Instant::now();
    assert_eq!(sender.remote(RUN, now), None);
    sender.note(RUN, 11, 4, now);
    let sent_at = now + Duration::from_millis(200);
    let part = sender.take_part(1, sent_at).expect("there is a figure");
    receiver.apply(&part, sent_at);
    assert_eq!(receiver.remote(RUN, sent_at), Some(7));
    // Each figure is sent once.
    assert_eq!(sender.take_part(1, sent_at), None);
    let later = now + Duration::from_millis(1_000);
    assert_eq!(receiver.remote(RUN, later), None);
}

#[test]
fn an_earlier_statement_does_not_replace_a_later_one() {
    let (sender, receiver) = (RunnerLoads::default(), RunnerLoads::default());
    let now = Instant::now();
    sender.note(RUN, 5, 0, now);
    let part = sender.take_part(1, now).expect("there is a figure");
    let later = now + Duration::from_millis(100);
    receiver.note(RUN, 12, 2, later);
    // The message took longer than its age says.
    receiver.apply(&part, now);
    assert_eq!(receiver.remote(RUN, later), Some(10));
    // Fewer requests than the zone knows of: some have ended.
    receiver.note(RUN, 1, 3, later);
    assert_eq!(receiver.remote(RUN, later), Some(0));
}

fn load(running: u32, waiting: u32) -> StatedLoad {
    StatedLoad {
        running,
        waiting,
        slots: SLOTS,
        slowness_percent: None,
    }
}

/// Guards against statements of runners that are rejected because requests wait while slots are free:
/// a runner reads one prompt after the other.
#[test]
fn a_runner_may_let_requests_wait_while_slots_are_free() {
    let speeds = ServerSpeeds::default();
    let run = Incarnation {
        id: "runner".into(),
        started_ms: 1,
    };
    let now = Instant::now();
    let judge = |load| {
        let load = counted(load, SLOTS);
        let (verdict, _) = speeds.note_stated(&run, load, SLOTS, load.running, now);
        (verdict, speeds.stated_in_flight(&run, now))
    };
    assert_eq!(judge(load(5, 2)), (Verdict::Used, Some(7)));
    assert_eq!(judge(load(11, 4)), (Verdict::Used, Some(15)));
    // Counts that no runner can hold remain absurd.
    assert_eq!(judge(load(SLOTS + 1, 0)), (Verdict::Absurd, None));
    assert_eq!(judge(load(3, 8 * SLOTS + 1)), (Verdict::Absurd, None));
    assert_eq!(judge(load(u32::MAX, u32::MAX)), (Verdict::Absurd, None));
}

/// Guards against a runner that states free slots whatever its load, which all VMs of a zone would
/// choose. A full runner states the same each time.
#[test]
fn a_runner_that_is_stuck_on_free_slots_is_not_believed() {
    assert!(is_believed(&load(3, 0), Verdict::Used));
    assert!(!is_believed(&load(3, 0), Verdict::Stuck));
    assert!(is_believed(&load(SLOTS, 0), Verdict::Stuck));
    assert!(!is_believed(&load(SLOTS, 0), Verdict::Absurd));
}

/// Guards against figures that only a part of a large zone gets: a VM sends to the VMs of such a zone
/// in turn.
#[test]
fn all_vms_of_a_large_zone_get_each_figure() {
    let sender = RunnerLoads::default();
    let receivers = [RunnerLoads::default(), RunnerLoads::default()];
    let now = Instant::now();
    sender.note(RUN, 11, 4, now);
    for (round, receiver) in receivers.iter().enumerate() {
        let at = now + Duration::from_millis(200) * round as u32;
        let part = sender.take_part(receivers.len(), at);
        receiver.apply(&part.expect("there is a figure"), at);
        assert_eq!(receiver.remote(RUN, at), Some(7));
    }
    let at = now + Duration::from_millis(400);
    assert_eq!(sender.take_part(receivers.len(), at), None);
    // More figures than a message holds follow in the next rounds, as long as they are of use.
    for run in 0..40 {
        sender.note(run, 11, 4, at);
    }
    let sizes = [0, 200, 400].map(|after_ms| {
        let part = sender.take_part(1, at + Duration::from_millis(after_ms));
        part.map_or(0, |it| it.figures().count())
    });
    assert_eq!(sizes, [24, 16, 0]);
    sender.note(RUN, 11, 4, at);
    assert_eq!(sender.take_part(1, at + Duration::from_secs(1)), None);
}

/// Guards against a sum that overflows, so that a full runner looks idle, if a VM states an absurd
/// figure.
#[test]
fn figures_of_other_vms_are_bounded() {
    let absurd = RunnerLoadsPart::of([(RUN, u32::MAX, Duration::ZERO)].into_iter());
    let part = RunnerLoadsPart::decode(absurd.encode_to_vec().as_slice()).expect("a message");
    let receiver = RunnerLoads::default();
    let now = Instant::now();
    receiver.apply(&part, now);
    let remote = receiver.remote(RUN, now).expect("there is a figure");
    assert!(remote <= 10_000, "{remote} requests");
}
