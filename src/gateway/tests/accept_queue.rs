//! Tests of which new connections are served when more arrive than can be.

use crate::accept_queue::{AcceptQueue, Admission, Overload};
use std::time::{Duration, Instant};

const MAX_WAIT: Duration = Duration::from_millis(150);
const MAX_OPEN: usize = 100;

fn queue() -> AcceptQueue<u32> {
    AcceptQueue::new(MAX_WAIT, MAX_OPEN)
}

#[test]
fn connections_are_served_in_the_order_of_their_arrival() {
    let (mut queue, now) = (queue(), Instant::now());
    for connection in 0..3 {
        queue.push(connection, now);
    }
    for connection in 0..3 {
        assert_eq!(queue.pop(0, now), Some(Admission::Serve(connection)));
    }
    assert_eq!(queue.pop(0, now), None);
    assert!(queue.is_empty());
}

#[test]
fn a_connection_that_waited_too_long_is_refused_and_a_later_one_served() {
    let (mut queue, now) = (queue(), Instant::now());
    queue.push(1, now);
    queue.push(2, now + Duration::from_millis(100));
    let later = now + Duration::from_millis(200);
    assert_eq!(
        queue.pop(0, later),
        Some(Admission::Refuse(1, Overload::LongWait))
    );
    assert_eq!(queue.pop(0, later), Some(Admission::Serve(2)));
}

#[test]
fn no_connection_is_served_beyond_the_largest_number() {
    let (mut queue, now) = (queue(), Instant::now());
    queue.push(1, now);
    queue.push(2, now);
    assert_eq!(
        queue.pop(MAX_OPEN, now),
        Some(Admission::Refuse(1, Overload::ManyOpen))
    );
    assert_eq!(queue.pop(MAX_OPEN - 1, now), Some(Admission::Serve(2)));
}

/// With ten times as many connections as a VM can serve, it serves as many as it can, none of them
/// late.
#[test]
fn under_overload_as_many_are_served_as_without_and_in_time() {
    let (mut queue, start) = (queue(), Instant::now());
    let (mut served, mut late) = (0, 0);
    for turn in 0_u32..1_000 {
        let now = start + Duration::from_millis(u64::from(turn) * 10);
        for index in 0..10 {
            queue.push(turn * 10 + index, now);
        }
        while let Some(admission) = queue.pop(0, now) {
            if let Admission::Serve(connection) = admission {
                let arrived = start + Duration::from_millis(u64::from(connection / 10) * 10);
                late += u32::from(now - arrived > MAX_WAIT);
                served += 1;
                break;
            }
        }
    }
    assert_eq!((served, late), (1_000, 0));
}
