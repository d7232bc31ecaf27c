//! How long requests are held, and in which order they are sent.

use crate::gateway::Weights;
use crate::gateway::choose::Candidate;
use crate::gateway::hold_time::RequestTiming;
use crate::gateway::wait_queue::WaitQueues;
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

#[test]
fn the_most_urgent_request_that_can_still_be_in_time_is_first() {
    let queues = Rc::new(WaitQueues::default());
    let weights = Weights {
        model: "m".into(),
        adapter: None,
    };
    let now = Instant::now();
    let at = |ms: u64| now + Duration::from_millis(ms);
    let relaxed = queues.enqueue(&weights, at(9_000));
    let urgent = queues.enqueue(&weights, at(500));
    assert!(urgent.is_next(now) && !relaxed.is_next(now));
    assert!(queues.would_be_first(&weights, at(100), now));
    assert!(!queues.would_be_first(&weights, at(700), now));
    // Once it is late, it comes after requests that can still be in time.
    assert!(relaxed.is_next(at(600)) && !urgent.is_next(at(600)));
    assert_eq!(queues.count(&weights), 2);
    drop(relaxed);
    assert!(urgent.is_next(at(600)));
    let other = Weights {
        model: "other".into(),
        adapter: None,
    };
    assert!(queues.would_be_first(&other, at(900), now));
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
