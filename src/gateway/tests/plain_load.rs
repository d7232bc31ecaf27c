//! Tests of the decisions on the load of plain servers.

use crate::gateway::fleet::Incarnation;
use crate::gateway::gossip_message::Digest;
use crate::gateway::plain_load::{
    AfterRejection, Demand, Division, Figure, PlainLoads, PlainServer, after_rejection, recovery,
};
use crate::gateway::tests::address;
use prost::Message;
use std::time::{Duration, Instant};

const TARGET: Duration = Duration::from_millis(300);

fn run(started_ms: u64) -> Incarnation {
    Incarnation {
        id: "plain".into(),
        started_ms,
    }
}

fn figure(in_system: u32, slowness_percent: u32, at: Instant) -> Figure {
    Figure {
        in_system,
        slowness_percent: Some(slowness_percent),
        limit: None,
        at,
    }
}

fn server(in_system: f64) -> PlainServer {
    PlainServer {
        slots: 6.0,
        in_system,
        work_s: 0.06,
        limit: Some(30),
        is_avoided: false,
        has_rejected: false,
    }
}

fn demand(calls_per_s: f64) -> Demand {
    Demand {
        calls_per_s,
        horizon: Duration::from_millis(200),
        target: TARGET,
    }
}

/// Guards against new behaviour where servers do not state their load, and against figures of an
/// earlier run of a server.
#[test]
fn nothing_is_known_of_a_run_without_statements() {
    let now = Instant::now();
    let loads = PlainLoads::default();
    assert_eq!(loads.known(&run(1), now), None);
    assert!(loads.own_part(now).is_none());
    loads.note(&run(1), figure(3, 100, now), false);
    assert!(loads.known(&run(1), now).is_some());
    assert_eq!(loads.known(&run(2), now), None);
}

/// Guards against figures that count for ever, and against those of VMs that have left.
#[test]
fn figures_are_dropped_with_age_and_with_the_vm_that_sent_them() {
    let now = Instant::now();
    let (sender, loads) = (PlainLoads::default(), PlainLoads::default());
    sender.note(&run(1), figure(9, 250, now), false);
    sender.note_arrival(&"plain".into(), now);
    let part = sender.own_part(now).expect("it has figures");
    loads.apply_vm(address(1), &part, now);
    let known = loads.known(&run(1), now).expect("the figure is new");
    assert!((known.in_system - 9.0).abs() < 0.01);
    assert!((known.slowness - 2.5).abs() < 0.01);
    assert!((loads.calls_per_s(&"plain".into(), now) - 1.0).abs() < 0.01);
    let later = now + Duration::from_millis(1_500);
    let aged = loads.known(&run(1), later).expect("it still counts");
    assert!(aged.slowness < 1.1, "a slow period ends: {aged:?}");
    assert_eq!(
        loads.known(&run(1), now + Duration::from_millis(2_500)),
        None
    );
    loads.forget_vm(&address(1));
    assert_eq!(loads.known(&run(1), now), None);
    assert!(loads.calls_per_s(&"plain".into(), now) < 0.01);
    loads.apply_vm(address(1), &part, now);
    loads.expire(now + Duration::from_secs(4));
    assert!(loads.calls_per_s(&"plain".into(), now) < 0.01);
}

/// Guards against an old figure that outweighs a new one, by whichever path it comes.
#[test]
fn new_figures_outweigh_old_ones() {
    let now = Instant::now() + Duration::from_secs(1);
    let loads = PlainLoads::default();
    for sender in 1..4 {
        let old = PlainLoads::default();
        let at = now.checked_sub(Duration::from_millis(800));
        old.note(&run(1), figure(30, 100, at.expect("a time")), false);
        let part = old.zone_part(now).expect("it has figures");
        loads.apply_vm(address(sender), &part, now);
    }
    loads.note(&run(1), figure(2, 100, now), false);
    let known = loads.known(&run(1), now).expect("there are figures");
    assert!(known.in_system < 3.0, "{known:?}");
}

/// Guards against messages that do not fit a datagram, and against absurd figures in them.
#[test]
fn messages_are_bounded() {
    let now = Instant::now();
    let loads = PlainLoads::default();
    for started_ms in 0..500 {
        loads.note(&run(started_ms), figure(u32::MAX, 100_000, now), true);
        loads.note_arrival(&format!("service {started_ms}").as_str().into(), now);
    }
    let digest = Digest {
        plain_loads: loads.own_part(now),
        ..Digest::default()
    };
    let bytes = digest.encode_to_vec();
    assert!(bytes.len() < 500, "{} bytes", bytes.len());
    let read = Digest::decode(bytes.as_slice()).expect("the message is readable");
    let receiver = PlainLoads::default();
    let part = read.plain_loads.expect("it has figures");
    receiver.apply_zone(&"b".into(), &part, now);
    let known = (0..500).filter_map(|it| receiver.known(&run(it), now));
    let known: Vec<_> = known.collect();
    assert_eq!(known.len(), 16);
    assert!(
        known
            .iter()
            .all(|it| it.slowness <= 5.0 && it.in_system <= 10_000.0)
    );
}

/// Guards against calls that go elsewhere than before although all servers are equal.
#[test]
fn equally_loaded_and_equally_fast_servers_are_all_kept() {
    for in_system in [0.0, 5.0, 20.0, 40.0] {
        let division = Division::of(&[server(in_system); 4], &demand(300.0));
        let kept = division.expect("there are servers").kept(|| 0.999);
        assert_eq!(kept, [true; 4]);
    }
    assert!(Division::of(&[], &demand(300.0)).is_none());
}

/// Guards against all VMs sending to the server that looks best.
#[test]
fn calls_are_divided_in_proportion_to_what_servers_can_take() {
    let slow = PlainServer {
        work_s: 0.15,
        ..server(0.0)
    };
    let servers = [server(0.0), server(18.0), slow];
    let division = Division::of(&servers, &demand(200.0)).expect("there are servers");
    let [idle, busy, slow] = division.room[..] else {
        panic!("{division:?}");
    };
    assert!(idle > busy && busy > 0.0, "{division:?}");
    assert!(idle > 2.0 * slow && slow > 0.0, "{division:?}");
}

/// Guards against refusals while a slot is free, and against queues that make all calls late.
#[test]
fn calls_are_refused_only_beyond_what_is_answered_in_time() {
    let idle = Division::of(&[server(0.0); 4], &demand(100.0)).expect("there are servers");
    assert!(idle.admits(0.999));
    // A target that no server can meet refuses nothing as long as slots are free.
    let demand_of = |calls_per_s, target_ms| Demand {
        target: Duration::from_millis(target_ms),
        ..demand(calls_per_s)
    };
    let slow = PlainServer {
        work_s: 0.5,
        ..server(0.0)
    };
    for servers in [[server(0.0); 2], [slow; 2], [server(0.0), slow]] {
        let division = Division::of(&servers, &demand_of(5.0, 10)).expect("there are servers");
        assert!(division.admits(0.999), "{division:?}");
    }
    // Four servers complete 400 calls per second, 800 arrive, and the queues are as long as may be.
    let division = Division::of(&[server(24.0); 4], &demand(800.0)).expect("there are servers");
    assert!((division.useful_share - 0.5).abs() < 0.05, "{division:?}");
    let full = Division::of(&[server(60.0); 4], &demand(800.0)).expect("there are servers");
    assert!(!full.admits(0.0), "{full:?}");
    // A service whose only server failed a moment ago.
    let failed = PlainServer {
        is_avoided: true,
        ..server(0.0)
    };
    let division = Division::of(&[failed], &demand(50.0)).expect("there is a server");
    assert!(division.admits(0.999), "{division:?}");
    assert_eq!(division.kept(|| 0.999), [true]);
}

/// Guards against rejected calls that use up retries at servers that reject them again, and against
/// holds from which no call is answered in time.
#[test]
fn a_rejected_call_is_tried_elsewhere_held_or_refused() {
    let rejecting = PlainServer {
        is_avoided: true,
        has_rejected: true,
        ..server(30.0)
    };
    let second = Duration::from_secs(1);
    let settle = |servers: &[PlainServer], target_left| {
        after_rejection(servers, Duration::from_millis(target_left), second)
    };
    assert_eq!(
        settle(&[rejecting, server(10.0)], 200),
        AfterRejection::TryOther
    );
    assert_eq!(
        settle(&[rejecting, server(30.0)], 200),
        AfterRejection::Refuse
    );
    let AfterRejection::Hold(hold) = settle(&[rejecting, server(30.0)], 500) else {
        panic!("a server has completed as many calls as it has slots in time");
    };
    assert_eq!(hold, Duration::from_millis(60));
    // Whether another server's answer would come before the deadline.
    let late = after_rejection(
        &[rejecting, server(28.0)],
        Duration::ZERO,
        Duration::from_millis(100),
    );
    assert_eq!(late, AfterRejection::Refuse);
}

/// Guards against calls that are sent again at once to the server that has just rejected them, because
/// other VMs stated fewer requests there a moment ago, and to a server that has failed.
#[test]
fn a_hold_lasts_until_a_server_that_rejected_the_call_has_room() {
    let rejecting = PlainServer {
        is_avoided: true,
        has_rejected: true,
        ..server(18.0)
    };
    let failed = PlainServer {
        is_avoided: true,
        ..server(2.0)
    };
    let settle = |servers: &[PlainServer]| {
        let left = Duration::from_millis(500);
        after_rejection(servers, left, Duration::from_secs(1))
    };
    let hold = AfterRejection::Hold(Duration::from_millis(60));
    assert_eq!(settle(&[rejecting]), hold);
    assert_eq!(settle(&[rejecting, failed]), hold);
}

/// Guards against holds that end after the caller's deadline, which may be before the target.
#[test]
fn no_call_is_held_that_cannot_be_answered_before_its_deadline() {
    let rejecting = PlainServer {
        is_avoided: true,
        has_rejected: true,
        ..server(30.0)
    };
    let settle = |target_left, time_left| {
        let left = Duration::from_millis(target_left);
        after_rejection(&[rejecting], left, Duration::from_millis(time_left))
    };
    // The answer comes after 60 ms of hold and 300 ms in the queue.
    let hold = AfterRejection::Hold(Duration::from_millis(60));
    assert_eq!(settle(500, 500), hold);
    assert_eq!(settle(500, 300), AfterRejection::Refuse);
}

/// Guards against refusals because of the speed of a server that failed: the level up to which calls
/// are sent depends on the servers in use.
#[test]
fn a_fast_server_that_failed_does_not_lower_the_level_of_the_others() {
    let slow = PlainServer {
        work_s: 0.3,
        limit: None,
        ..server(9.5)
    };
    let failed = PlainServer {
        work_s: 0.02,
        is_avoided: true,
        ..server(0.0)
    };
    let share = |servers: &[PlainServer]| {
        let division = Division::of(servers, &demand(1.0)).expect("there are servers");
        division.useful_share
    };
    assert_eq!(share(&[slow]), 1.0);
    assert_eq!(share(&[slow, failed]), 1.0);
}

/// Guards against VMs that underestimate the calls that arrive because a VM that has sent none of
/// them on does not state its own, and against messages where no server states its load.
#[test]
fn calls_are_stated_while_any_vm_knows_the_load() {
    let now = Instant::now();
    let (knowing, refusing) = (PlainLoads::default(), PlainLoads::default());
    let receiver = PlainLoads::default();
    refusing.note_arrival(&"plain".into(), now);
    assert_eq!(refusing.own_part(now), None);
    knowing.note(&run(1), figure(30, 100, now), true);
    let part = knowing.own_part(now).expect("it has a figure");
    refusing.apply_vm(address(1), &part, now);
    let part = refusing.own_part(now).expect("it has calls");
    receiver.apply_vm(address(2), &part, now);
    assert!((receiver.calls_per_s(&"plain".into(), now) - 1.0).abs() < 0.01);
    // VMs that state only calls do not keep each other stating them.
    refusing.apply_vm(address(3), &part, now);
    let later = now + Duration::from_millis(2_600);
    refusing.note_arrival(&"plain".into(), later);
    assert_eq!(refusing.own_part(later), None);
}

/// Guards against callers that are told to return before servers answer in time again.
#[test]
fn refused_callers_return_when_the_queues_are_short_again() {
    let (after, per_s) = recovery(&[server(30.0), server(24.0)], TARGET);
    assert!((per_s - 200.0).abs() < 0.01);
    assert_eq!(after.as_millis(), 30);
    let (after, _) = recovery(&[server(3.0)], TARGET);
    assert_eq!(after, Duration::ZERO);
}
