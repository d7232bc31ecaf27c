//! What a repeated call gets of an answer that the log holds.

use super::replay_response;
use crate::error::{Kind, Ran};
use crate::idempotency::Reply;

fn recorded(status: u16) -> Reply {
    Reply {
        status,
        content_type: "text/plain".into(),
        body: Some("done".into()),
    }
}

/// Guards against a record whose status is none, which counted as a success.
#[test]
fn a_recorded_answer_without_a_status_of_an_answer_is_no_success() {
    for status in [0, 7, 99, 100, 101, 199, 600, 999, 1_000, u16::MAX] {
        let failure = replay_response(&recorded(status)).expect_err("it is no answer");
        assert_eq!(failure.kind, Kind::OutcomeUnknown, "{status}");
        assert_eq!(failure.ran, Some(Ran::Yes), "{status}");
    }
    for status in [200, 204, 303, 404, 500, 599] {
        let answer = replay_response(&recorded(status)).expect("it is an answer");
        assert_eq!(answer.status().as_u16(), status);
    }
}
