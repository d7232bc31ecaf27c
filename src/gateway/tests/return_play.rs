//! Simulates a burst of 10,000 callers that are refused, of whom 30 % ignore when they should return.

use crate::gateway::waiting::{Refused, ReturnCalendar, Room};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::time::{Duration, Instant};

const VMS: usize = 58;
const CALLERS: u64 = 10_000;
/// The requests that the servers start per second, half of them for other callers.
const CAPACITY_PER_S: f64 = 4_000.0;
const OTHERS_SHARE: f64 = 0.5;
const BURST_MS: u64 = 500;
/// When the requests that were in the queue at the time of the burst have been started.
const ROOM_AFTER_MS: u64 = 1_000;
const TIME_LEFT: Duration = Duration::from_secs(15);
const STEP_MS: u64 = 100;
const STEPS: usize = 200;

/// A caller that comes again.
struct Return {
    at_ms: u64,
    is_as_told: bool,
    is_urgent: bool,
}

/// Simulates the burst; `assign` chooses the time to the return of those that wait as told.
fn returns(mut assign: impl FnMut(usize, bool, Instant, f64) -> Duration) -> Vec<Return> {
    let mut random = SmallRng::seed_from_u64(3);
    let start = Instant::now();
    let mut returns: Vec<Return> = Vec::new();
    for caller in 0..CALLERS {
        let refused_ms = caller * BURST_MS / CALLERS;
        let is_as_told = random.random_range(0..10) >= 3;
        let is_urgent = caller % 3 == 0;
        let after = match is_as_told {
            true => {
                let now = start + Duration::from_millis(refused_ms);
                assign(random.random_range(0..VMS), is_urgent, now, random.random())
            }
            false => Duration::from_millis(random.random_range(0..800)),
        };
        returns.push(Return {
            at_ms: refused_ms + after.as_millis() as u64,
            is_as_told,
            is_urgent,
        });
    }
    returns.sort_unstable_by_key(|it| it.at_ms);
    returns
}

/// Returns the highest load after the burst, others included, in parts of the capacity.
fn second_wave(returns: &[Return]) -> f64 {
    let mut arrivals = [0_u32; STEPS];
    for it in returns.iter().filter(|it| it.at_ms > BURST_MS + 800) {
        arrivals[(it.at_ms / STEP_MS) as usize] += 1;
    }
    let peak = arrivals.into_iter().max().expect("there are steps");
    let per_step = CAPACITY_PER_S * STEP_MS as f64 / 1_000.0;
    OTHERS_SHARE + f64::from(peak) / per_step
}

/// Returns the shares of those that wait as told, and of all others, that are served.
fn served_shares(returns: &[Return]) -> (f64, f64) {
    let per_step = CAPACITY_PER_S * (1.0 - OTHERS_SHARE) * STEP_MS as f64 / 1_000.0;
    let mut free = [per_step; STEPS];
    let (mut served, mut all) = ([0.0; 2], [0.0; 2]);
    for it in returns {
        let free = &mut free[(it.at_ms / STEP_MS) as usize];
        let is_served = it.at_ms >= ROOM_AFTER_MS && *free >= 1.0;
        let kind = usize::from(it.is_as_told);
        all[kind] += 1.0;
        if is_served {
            *free -= 1.0;
            served[kind] += 1.0;
        }
    }
    (served[1] / all[1], served[0] / all[0])
}

#[test]
fn callers_return_no_faster_than_requests_can_be_started() {
    // Times drawn at random from the last part of what callers wait make a second wave.
    let drawn = returns(|_, _, _, draw| TIME_LEFT.mul_f64(0.2 + 0.13 * draw));
    let calendars: Vec<ReturnCalendar> = (0..VMS)
        .map(|_| ReturnCalendar::new(Instant::now()))
        .collect();
    let start = Instant::now();
    let assigned = returns(|vm, is_urgent, now, draw| {
        let refused = Refused {
            service: &"s".into(),
            is_urgent,
            time_left: TIME_LEFT,
        };
        let elapsed = now.saturating_duration_since(start);
        let room = Room {
            after: Duration::from_millis(ROOM_AFTER_MS).saturating_sub(elapsed),
            starts_per_s: Some(CAPACITY_PER_S / VMS as f64),
        };
        let after = calendars[vm].assign(refused, room, draw, now);
        assert!(after <= TIME_LEFT / 3, "{after:?}");
        after
    });
    let mean_ms = |is_urgent: bool| {
        let of_kind = assigned.iter().filter(|it| it.is_urgent == is_urgent);
        let times: Vec<u64> = of_kind
            .filter(|it| it.is_as_told)
            .map(|it| it.at_ms)
            .collect();
        times.iter().sum::<u64>() as f64 / times.len() as f64
    };
    println!(
        "second wave {:.2}, drawn {:.2}; served as told and not {:.3?}, drawn {:.3?}; urgent \
         after {:.0} ms, others after {:.0} ms",
        second_wave(&assigned),
        second_wave(&drawn),
        served_shares(&assigned),
        served_shares(&drawn),
        mean_ms(true),
        mean_ms(false)
    );
    assert!(second_wave(&drawn) > 1.1);
    assert!(second_wave(&assigned) <= 1.1);
    assert!(mean_ms(true) < mean_ms(false));
    let (as_told, not_as_told) = served_shares(&assigned);
    assert!(as_told > not_as_told, "{as_told} {not_as_told}");
}

#[test]
fn a_caller_returns_late_while_later_intervals_have_room() {
    // A caller has one more try, and loading another copy takes seconds.
    let now = Instant::now();
    for starts_per_s in [None, Some(100.0)] {
        let calendar = ReturnCalendar::new(now);
        for draw in [0.0, 0.3, 0.999] {
            let refused = Refused {
                service: &"s".into(),
                is_urgent: draw < 0.5,
                time_left: Duration::from_secs(12),
            };
            let room = Room {
                after: Duration::ZERO,
                starts_per_s,
            };
            let after = calendar.assign(refused, room, draw, now);
            assert!((2.3..=4.0).contains(&after.as_secs_f64()), "{after:?}");
        }
    }
}
