//! Slots of a runner that requests with much time leave to more urgent ones.
//!
//! Load that this addresses: urgent requests with targets of a quarter of a second and others with
//! targets of seconds share runners of 12 slots. A request sent as soon as a slot is free takes the
//! slot from an urgent one that arrives a moment later, and gains nothing by being sooner.

use crate::gateway::waiting::order::LAST_CHANCE_SHARE;
use std::time::{Duration, Instant};

/// Time over which urgent arrivals are covered by reserved slots: until a VM has learned of the
/// requests that other VMs sent, and has a slot of its own become free.
const HORIZON: Duration = Duration::from_millis(500);
/// The most slots that are reserved, as a share of all.
const MAX_RESERVED_SHARE: f64 = 0.25;
/// Expected urgent arrivals within the horizon below which no slot is reserved.
const MIN_EXPECTED: f64 = 0.05;
/// How many times longer than an urgent request another one must be able to wait to leave slots to
/// it. With 3, requests with a target of 800 ms leave slots to those with 250 ms; at full load 44
/// instead of 73 of 100 of them are then in time (`tests/waiting_play.rs`).
pub(super) const MIN_PATIENCE_RATIO: f64 = 4.0;
/// The part of the time that a request can wait during which it leaves slots to others. In the rest
/// it counts as one of the most urgent.
const YIELD_SHARE: f64 = 1.0 - LAST_CHANCE_SHARE;

/// Returns how many slots of a runner are kept for urgent requests that arrive there at a rate: as
/// many as usually arrive within the horizon, and one standard deviation more.
pub(crate) fn reserved_slots(urgent_per_s: f64, slots: u32) -> u32 {
    let expected = urgent_per_s * HORIZON.as_secs_f64();
    if expected < MIN_EXPECTED {
        return 0;
    }
    let wanted = (expected + expected.sqrt()).ceil();
    wanted.min(f64::from(slots) * MAX_RESERVED_SHARE) as u32
}

/// The longest interval between two checks of a request that leaves slots to others. It exceeds the
/// age of what VMs of a zone report, so that the requests of several VMs do not all take the same slot.
const MAX_CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// The same, as a share of the time during which the request leaves slots to others.
const MAX_CHECK_SHARE: f64 = 0.25;

/// Returns the longest interval between two checks of a request that leaves slots to others for a
/// time.
pub(crate) fn check_interval(yield_time: Duration) -> Duration {
    MAX_CHECK_INTERVAL.min(yield_time.mul_f64(MAX_CHECK_SHARE))
}

/// Returns until when a request leaves reserved slots to others, if it is of a kind that does.
pub(crate) fn yield_limit(arrived: Instant, send_by: Instant, hold_until: Instant) -> Instant {
    let patience = send_by.saturating_duration_since(arrived);
    (arrived + patience.mul_f64(YIELD_SHARE)).min(hold_until)
}
