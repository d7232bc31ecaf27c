//! Decides which request of this VM is sent next, and how long requests are held.
//!
//! The decisions are made without network access and without a clock: times are arguments.

mod hold_time;
mod wait_queue;

pub(crate) use hold_time::RequestTiming;
pub(crate) use wait_queue::{QueuedRequest, WaitQueues};
