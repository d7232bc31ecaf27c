//! Tests that records of the lost history are told from those written since the restore.

use crate::gateway::Position;
use crate::platform::recent_records::RecentRecords;
use bytes::Bytes;

fn at(era: u64, offset: u64) -> Position {
    Position { era, offset }
}

/// Guards against a server that left and comes back with the copy, and against one that wrote its
/// entry after the restore and gets no requests.
#[test]
fn a_record_at_an_offset_that_held_another_one_is_new() {
    let mut records = RecentRecords::default();
    records.note(at(0, 5), &[Bytes::from("a"), Bytes::from("b")]);
    records.note(at(0, 7), &[Bytes::from("c")]);
    assert!(!records.is_new(at(1, 6), b"b"));
    assert!(records.is_new(at(1, 6), b"c"));
    assert!(records.is_new(at(1, 7), b"a"));
    // Not read before: it may come from the copy.
    assert!(!records.is_new(at(1, 4), b"z"));
    assert!(!records.is_new(at(1, 8), b"z"));
    // Records of the new era do not replace what is known of the lost history.
    records.note(at(1, 5), &[Bytes::from("x")]);
    assert!(records.is_new(at(1, 7), b"a"));
}

/// Guards against records that count as new because reads before them are missing.
#[test]
fn records_beyond_a_gap_replace_those_before_it() {
    let mut records = RecentRecords::default();
    records.note(at(0, 5), &[Bytes::from("a")]);
    records.note(at(0, 9), &[Bytes::from("b")]);
    assert!(!records.is_new(at(1, 5), b"x"));
    assert!(records.is_new(at(1, 9), b"x"));
}
