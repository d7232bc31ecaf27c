//! How long requests are held, and in which order they are sent.

use crate::gateway::Weights;
use crate::gateway::choose::Candidate;
use crate::gateway::gossip_message::{Digest, WaitingRequests};
use crate::gateway::gossip_sender::MAX_WAITING_PER_MESSAGE;
use crate::gateway::peers::Peers;
use crate::gateway::tests::address;
use crate::gateway::waiting::{
    Ahead, ExpectedStarts, FleetWaiting, Need, QueuedRequest, RequestTiming, Traffic, Urgency,
    WaitQueues, WaitingCount, reserved_slots, start_hold,
};
use std::rc::Rc;
use std::time::{Duration, Instant};

fn timing(target_ms: u64, max_pause_ms: u64, time_left_ms: u64) -> RequestTiming {
    let arrived = Instant::now();
    RequestTiming {
        arrived,
        target: Duration::from_millis(target_ms),
        max_pause: Duration::from_millis(max_pause_ms),
        deadline: arrived + Duration::from_millis(time_left_ms),
    }
}

fn held_ms(timing: RequestTiming) -> u128 {
    (timing.hold_limit() - timing.arrived).as_millis()
}

#[test]
fn a_request_is_held_only_while_its_caller_still_waits() {
    // Callers disconnect after four targets, eight pauses or two seconds.
    assert_eq!(held_ms(timing(1_000, 300, 15_000)), 2_800);
    assert_eq!(held_ms(timing(250, 150, 12_000)), 1_400);
    // Half of the time until the deadline is left for the answer.
    assert_eq!(held_ms(timing(2_500, 300, 8_000)), 4_000);
    assert_eq!(held_ms(timing(10_000, 300, 3_000)), 1_500);
}

#[test]
fn a_prompt_is_sent_early_enough_for_a_first_event_within_its_target() {
    let timing = timing(1_000, 300, 15_000);
    let send_by = timing.send_by(Duration::from_millis(200));
    assert_eq!((send_by - timing.arrived).as_millis(), 740);
    let too_long = timing.send_by(Duration::from_secs(5));
    assert_eq!(too_long, timing.arrived);
}

/// Returns what a request for a model waits for.
fn need(model: &str) -> Need {
    Need {
        service: "s".into(),
        weights: Weights {
            model: model.into(),
            adapter: None,
        },
    }
}

/// Returns the place of a request that does not leave slots to others.
fn urgency(priority: u32, arrived: Instant, send_by: Instant) -> Urgency {
    Urgency {
        priority,
        arrived,
        send_by,
        yields_until: arrived,
        may_advance: false,
    }
}

fn is_next(queued: &QueuedRequest, now: Instant) -> bool {
    queued.ahead(|_| true, now) == Ahead::default()
}

#[test]
fn the_most_urgent_request_that_can_still_be_in_time_is_first() {
    let queues = Rc::new(WaitQueues::default());
    let now = Instant::now();
    let at = |ms: u64| now + Duration::from_millis(ms);
    let place = |ms: u64| urgency(0, now, at(ms));
    let relaxed = queues.enqueue(need("m"), place(9_000));
    let urgent = queues.enqueue(need("m"), place(500));
    assert!(is_next(&urgent, now) && !is_next(&relaxed, now));
    let new = |model: &str, ms: u64| {
        let ahead = queues.ahead_of_new(&need(model), place(ms), |_| false, now);
        ahead.same_weights
    };
    assert_eq!(new("m", 100), 0);
    assert_eq!(new("m", 700), 1);
    // Once it is late, it comes after requests that can still be in time.
    assert!(is_next(&relaxed, at(600)) && !is_next(&urgent, at(600)));
    assert_eq!(
        queues.count(&need("m")),
        WaitingCount {
            by_level: [2, 0, 0]
        }
    );
    drop(relaxed);
    assert!(is_next(&urgent, at(600)));
    assert_eq!(new("other", 900), 0);
}

#[test]
fn requests_for_all_weights_of_a_runner_are_ordered_by_priority() {
    // Ordered by deadline for each model alone, a less urgent request took the slot.
    let queues = Rc::new(WaitQueues::default());
    let now = Instant::now();
    let at = |ms: u64| now + Duration::from_millis(ms);
    let sooner = queues.enqueue(need("a"), urgency(1, now, at(100)));
    let urgent = queues.enqueue(need("b"), urgency(0, now, at(200)));
    let ahead = sooner.ahead(|other| *other == need("b"), now);
    assert_eq!((ahead.same_weights, ahead.other_weights), (0, 1));
    assert!(is_next(&urgent, now));
    // A runner that does not hold the other model is free to be used.
    assert_eq!(sooner.ahead(|_| false, now), Ahead::default());
    let later = queues.enqueue(need("a"), urgency(0, now, at(300)));
    assert!(is_next(&urgent, now) && !is_next(&later, now));
    assert_eq!(queues.counts_by_priority().get(&0), Some(&2));
}

#[test]
fn a_request_with_much_time_is_first_before_it_would_be_late() {
    // Urgent requests that keep arriving must not hold it up until it is late.
    let queues = Rc::new(WaitQueues::default());
    let now = Instant::now();
    let at = |ms: u64| now + Duration::from_millis(ms);
    let patient = Urgency {
        yields_until: at(2_900),
        may_advance: true,
        ..urgency(2, now, at(5_800))
    };
    let queued = queues.enqueue(need("m"), patient);
    let urgent = |ms: u64| queues.enqueue(need("m"), urgency(0, at(ms), at(ms + 190)));
    // While it leaves slots to others, it holds up none of them.
    let least = urgency(3, now, at(700));
    let ahead = queues.ahead_of_new(&need("m"), least, |_| true, now);
    assert_eq!(ahead, Ahead::default());
    let at_4_s = urgent(4_000);
    assert!(!is_next(&queued, at(4_000)) && is_next(&at_4_s, at(4_000)));
    let _at_5_s = urgent(5_700);
    assert!(is_next(&queued, at(5_750)));
}

#[test]
fn a_kind_that_is_served_more_often_than_an_urgent_one_does_not_advance() {
    let traffic = Traffic::default();
    let now = Instant::now();
    let service = "s".into();
    for _ in 0..10 {
        traffic.note_end(&service, 0, true, now);
        traffic.note_end(&service, 2, true, now);
    }
    assert!(traffic.may_advance(&service, 2, now));
    traffic.note_end(&service, 0, false, now);
    assert!(!traffic.may_advance(&service, 2, now));
    assert!(traffic.may_advance(&service, 0, now));
}

#[test]
fn slots_are_reserved_only_while_much_more_urgent_requests_arrive() {
    let traffic = Traffic::default();
    let now = Instant::now();
    let service = "s".into();
    let patience = Duration::from_secs(6);
    assert_eq!(traffic.urgent_per_s(&service, 2, patience, now), 0.0);
    for _ in 0..20 {
        traffic.note_arrival(&service, 0, Duration::from_millis(250), now);
    }
    let rate_per_s = traffic.urgent_per_s(&service, 2, patience, now);
    assert!((3.9..4.1).contains(&rate_per_s), "{rate_per_s}");
    // Neither for one of the same priority nor for one that can hardly wait longer.
    assert_eq!(traffic.urgent_per_s(&service, 0, patience, now), 0.0);
    let short = Duration::from_millis(600);
    assert_eq!(traffic.urgent_per_s(&service, 2, short, now), 0.0);
    let later = now + Duration::from_secs(60);
    let rate_per_s = traffic.urgent_per_s(&service, 2, patience, later);
    assert_eq!(reserved_slots(rate_per_s, 12), 0);
    assert_eq!(reserved_slots(2.4, 12), 3);
    assert_eq!(reserved_slots(100.0, 12), 3);
}

#[test]
fn one_waiting_request_does_not_stand_for_one_at_each_vm() {
    // At 58 VMs a request that waited behind a single other one was refused.
    let count = |urgent, others| WaitingCount {
        by_level: [urgent, 0, others],
    };
    let fleet = |known, reporting| FleetWaiting {
        known,
        reporting,
        vms: 58,
    };
    let reported = fleet(count(0, 1), 57);
    assert_eq!(
        reported.wait(1_000, &ExpectedStarts::steady(7.5)),
        Duration::from_secs_f64(1.0 / 7.5)
    );
    assert_eq!(
        reported.wait(1, &ExpectedStarts::steady(7.5)),
        Duration::ZERO
    );
    // VMs that do not report count like the others.
    assert_eq!(fleet(count(2, 8), 28).ahead_of(0), 4.0);
    assert_eq!(fleet(count(0, 1), 0).ahead_of(2), 58.0);
    // No server starts any request.
    assert_eq!(
        reported.wait(2, &ExpectedStarts::steady(0.0)),
        Duration::MAX
    );
}

#[test]
fn what_waits_at_a_vm_counts_until_the_vm_leaves() {
    let now = Instant::now();
    let peers = Peers::new(address(0), now);
    let mut digest = Digest {
        boot: 1,
        availability_zone: "z".to_owned(),
        waiting: (0..MAX_WAITING_PER_MESSAGE as u32 + 5)
            .map(|need| WaitingRequests {
                need,
                // A later version may count more levels.
                by_level: vec![1, 2, 3, 90],
            })
            .collect(),
        ..Digest::default()
    };
    let waiting = WaitingCount {
        by_level: [1, 2, 3],
    };
    for vm in 1..=2 {
        peers.apply_digest(address(vm), &digest, now);
        peers.apply_digest(address(vm), &digest, now);
    }
    let (sum, reporting) = peers.waiting(7);
    assert_eq!((sum.by_level, reporting), ([2, 4, 6], 2));
    assert_eq!(peers.waiting(15), (WaitingCount::default(), 2));
    digest.is_leaving = true;
    peers.apply_digest(address(1), &digest, now);
    assert_eq!(peers.waiting(7), (waiting, 1));
}

/// Sends prompts of 70 ms in bursts of `burst` at three quarters of a runner's prefill capacity;
/// returns the longest time for which consecutive prompts stall its streams.
fn longest_pause_ms(burst: u32, is_held: bool) -> f64 {
    const PREFILL_MS: f64 = 70.0;
    const MAX_PAUSE_MS: f64 = 300.0;
    let mut waiting = 0_u32;
    let mut backlog_ms = 0.0_f64;
    let mut longest_ms = 0.0_f64;
    for now_ms in 0..20_000_u32 {
        if now_ms.is_multiple_of(burst * 93) {
            waiting += burst;
        }
        while waiting > 0 {
            let candidate = Candidate {
                in_flight: 10,
                slots: 32,
                queued_prefill_ms: backlog_ms,
                is_local: true,
                is_remote_load_stale: false,
                is_connected: true,
                was_tried: false,
                is_short_call: false,
                has_failed: false,
                slowness: 1.0,
            };
            if is_held && candidate.defers_prompt(PREFILL_MS, MAX_PAUSE_MS) {
                break;
            }
            waiting -= 1;
            backlog_ms += PREFILL_MS;
        }
        longest_ms = longest_ms.max(backlog_ms);
        backlog_ms = (backlog_ms - 1.0).max(0.0);
    }
    longest_ms
}

#[test]
fn prompts_of_a_burst_are_sent_one_after_another() {
    // Streams must not pause for over 300 ms. Eight prompts sent at once pause them for 560 ms;
    // prompts held until the queued ones are processed, for 180 ms.
    assert!(longest_pause_ms(8, false) > 500.0);
    let held = longest_pause_ms(8, true);
    assert!(held < 200.0, "{held}");
}

/// Requests that wait at this VM only, all of the same priority.
fn waiting_here(count: u32) -> FleetWaiting {
    let mut known = WaitingCount::default();
    (0..count).for_each(|_| known.add_one(0));
    FleetWaiting {
        known,
        reporting: 0,
        vms: 1,
    }
}

/// Requests were refused although a copy being loaded could have started them within their hold.
#[test]
fn a_copy_being_loaded_shortens_the_wait_from_when_it_is_ready() {
    let second = Duration::from_secs(1);
    let starts = ExpectedStarts {
        per_s: 10.0,
        coming: vec![(3 * second, 30.0), (second, 10.0)],
    };
    // 10 in the first second, 40 in the next two, then 50 per second.
    assert_eq!(waiting_here(0).wait(0, &starts), Duration::ZERO);
    assert_eq!(waiting_here(5).wait(0, &starts), second / 2);
    assert_eq!(waiting_here(30).wait(0, &starts), 2 * second);
    assert_eq!(waiting_here(100).wait(0, &starts), 4 * second);
    assert_eq!(starts.rate_at(Duration::ZERO), 10.0);
    assert_eq!(starts.rate_at(2 * second), 20.0);
    assert_eq!(starts.rate_at(3 * second), 50.0);
}

/// Callers for a model that no runner has yet were told to return before any copy was ready.
#[test]
fn without_a_loaded_copy_the_wait_lasts_until_the_first_is_ready() {
    let second = Duration::from_secs(1);
    let starts = ExpectedStarts {
        per_s: 0.0,
        coming: vec![(3 * second, 10.0)],
    };
    assert_eq!(waiting_here(0).wait(0, &starts), 3 * second);
    assert_eq!(waiting_here(5).wait(0, &starts), 3 * second + second / 2);
    let none = ExpectedStarts::steady(0.0);
    assert_eq!(waiting_here(0).wait(0, &none), Duration::ZERO);
    assert_eq!(waiting_here(1).wait(0, &none), Duration::MAX);
}

/// Guards against requests that wait for a VM whose start takes unusually long.
#[test]
fn requests_wait_only_for_a_vm_that_has_just_started() {
    let ms = Duration::from_millis;
    assert_eq!(start_hold(ms(0), None), ms(600));
    assert_eq!(start_hold(ms(250), None), ms(350));
    assert_eq!(start_hold(ms(600), None), ms(0));
    assert_eq!(start_hold(ms(60_000), None), ms(0));
    // Half of a short time limit is left for the answer.
    assert_eq!(start_hold(ms(0), Some(ms(400))), ms(200));
}
