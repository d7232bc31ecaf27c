//! Decides which request of this VM is sent next, how long requests are held, and when callers that
//! are refused should come again.
//!
//! Load that this addresses: requests with targets from a quarter of a second to several seconds
//! compete for runners of 12 slots, and more arrive than the runners can serve. The decisions are
//! made without network access and without a clock: times are arguments.

mod hold_time;
mod order;
mod prediction;
mod reserve;
mod return_calendar;
mod start_hold;
mod traffic;
mod wait_queue;

pub(crate) use hold_time::RequestTiming;
pub(crate) use order::Urgency;
pub(crate) use prediction::{ExpectedStarts, FleetWaiting, WaitingCount, need_id};
pub(crate) use reserve::{check_interval, reserved_slots, yield_limit};
pub(crate) use return_calendar::{Refused, ReturnCalendar, Room};
pub(crate) use start_hold::start_hold;
pub(crate) use traffic::Traffic;
#[cfg(test)]
pub(crate) use wait_queue::Ahead;
pub(crate) use wait_queue::{Need, QueuedRequest, WaitQueues};
