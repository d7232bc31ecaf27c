//! Chooses when callers that were refused should come again.
//!
//! Load that this addresses: a burst of requests beyond the capacity. Most callers retry once and
//! wait for at most a third of the time that they have left. If all return together, most are refused
//! again; a return before capacity is available is lost. The returns that this VM has asked for are
//! counted in intervals of equal length, and each caller is assigned one of the emptiest intervals
//! that it can wait for.

use crate::inventory::Name;
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// The length of one interval, and how far ahead returns are counted: together they bound the number
/// of intervals per service.
const INTERVAL: Duration = Duration::from_millis(100);
const MAX_AHEAD: Duration = Duration::from_secs(20);
/// The latest return, as a share of the time that a caller has left; callers ignore later ones.
const LATEST_SHARE: f64 = 0.33;
/// The earliest return, as the same share, while later intervals have room. Making room for another
/// copy and loading it takes seconds, and a caller that returns too early has no other try.
const PREFERRED_SHARE: f64 = 0.2;
/// The share of the capacity that is offered to callers that return. The rest is left to new ones.
const RETURN_CAPACITY_SHARE: f64 = 0.5;

/// When and at which rate capacity becomes available for callers that return.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Room {
    /// The time until it does.
    pub(crate) after: Duration,
    /// The requests that can be started per second, for the callers of this VM; `None` if that is
    /// not known.
    pub(crate) starts_per_s: Option<f64>,
}

/// A caller that is refused.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Refused<'a> {
    pub(crate) service: &'a Name,
    /// Whether the request is of the most urgent kind; these return first.
    pub(crate) is_urgent: bool,
    /// The time that the caller has left.
    pub(crate) time_left: Duration,
}

/// The returns of callers that this VM has asked for, by service.
#[derive(Debug)]
pub(crate) struct ReturnCalendar {
    started_at: Instant,
    /// The number of returns by the number of their interval.
    returns: RefCell<HashMap<Name, BTreeMap<u64, u32>>>,
}

impl ReturnCalendar {
    /// Creates a calendar without returns.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            started_at: now,
            returns: RefCell::default(),
        }
    }

    /// Returns the time after which a caller should come again. `draw` is a random number from 0
    /// to 1.
    pub(crate) fn assign(
        &self,
        refused: Refused<'_>,
        room: Room,
        draw: f64,
        now: Instant,
    ) -> Duration {
        let latest = refused.time_left.mul_f64(LATEST_SHARE).min(MAX_AHEAD);
        let elapsed = now.saturating_duration_since(self.started_at);
        let interval_of = |after: Duration| {
            ((elapsed + after).as_secs_f64() / INTERVAL.as_secs_f64()).floor() as u64
        };
        let preferred = latest.mul_f64(PREFERRED_SHARE / LATEST_SHARE);
        let preferred = preferred.max(room.after).min(latest.mul_f64(0.9));
        let room_after = room.after.min(preferred);
        let (first, early_end, end) = (
            interval_of(room_after),
            interval_of(preferred),
            interval_of(latest).max(interval_of(preferred) + 1),
        );
        let mut returns = self.returns.borrow_mut();
        let of_service = returns.entry(refused.service.clone()).or_default();
        *of_service = of_service.split_off(&interval_of(Duration::ZERO));
        let count = |interval: u64| of_service.get(&interval).copied().unwrap_or(0);
        // Urgent callers look for an interval from the first half on, others from the second half.
        let middle = if refused.is_urgent { 0.0 } else { 0.5 };
        let least = |first: u64, end: u64| {
            let length = end.saturating_sub(first);
            let from = (length as f64 * (middle + draw / 2.0)) as u64;
            let intervals = (0..length).map(|offset| first + (from + offset) % length);
            intervals.min_by_key(|interval| count(*interval))
        };
        let per_interval = room
            .starts_per_s
            .map(|rate| rate * RETURN_CAPACITY_SHARE * INTERVAL.as_secs_f64());
        let has_room = |first: u64, end: u64| {
            per_interval.is_none_or(|per_interval| {
                let returns: u32 = (first..end).map(count).sum();
                f64::from(returns + 1) <= per_interval * end.saturating_sub(first) as f64
            })
        };
        let interval = if has_room(early_end, end) {
            least(early_end, end)
        } else if has_room(first, early_end) {
            least(first, early_end)
        } else {
            least(first, end)
        };
        let interval = interval.unwrap_or(end);
        *of_service.entry(interval).or_default() += 1;
        let at = INTERVAL.mul_f64(interval as f64 + draw);
        at.saturating_sub(elapsed).max(room_after).min(latest)
    }
}
