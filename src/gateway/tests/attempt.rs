//! What responses prove about an attempt, and what is promised of a request that may have run.

use crate::gateway::Reply;
use crate::gateway::attempt::Verdict;
use crate::gateway::failure::{Failure, promises_not_run};
use crate::gateway::forwarding::DeclineReason;
use hyper::http::response;
use hyper::{Response, StatusCode};
use std::time::Duration;

const FIRST_USE: bool = true;
const LATER_USE: bool = false;

/// A reply that bears an id; signed, and a statement that nothing was executed, as given.
fn reply(id: Option<&str>, is_signed: bool, is_not_executed: bool) -> Reply {
    Reply {
        request_id: id.map(Into::into),
        is_signed,
        is_not_executed,
        ..Reply::default()
    }
}

fn of_server(reply: &Reply, status: u16, is_first_use: bool) -> Verdict {
    let status = StatusCode::from_u16(status).expect("a status is valid");
    Verdict::of_server(reply, status, "own", is_first_use)
}

fn head(status: u16) -> response::Parts {
    let response = Response::builder().status(status).body(());
    response.expect("a status is valid").into_parts().0
}

#[test]
fn a_response_counts_as_a_refusal_only_with_the_id_of_the_request_and_a_statement() {
    let refusal = reply(Some("own"), false, true);
    assert_eq!(of_server(&refusal, 503, LATER_USE), Verdict::NotExecuted);
    let other = reply(Some("other"), false, true);
    assert_eq!(of_server(&other, 503, FIRST_USE), Verdict::Unrelated);
    let silent = reply(Some("own"), false, false);
    for status in [408, 429, 503] {
        assert_eq!(of_server(&silent, status, FIRST_USE), Verdict::Unproven);
    }
    assert_eq!(of_server(&silent, 421, FIRST_USE), Verdict::NotExecuted);
    assert_eq!(of_server(&silent, 500, FIRST_USE), Verdict::Answered);
}

#[test]
fn a_response_without_an_id_is_attributed_only_on_a_new_connection() {
    let refusal = reply(None, false, true);
    assert_eq!(of_server(&refusal, 503, FIRST_USE), Verdict::NotExecuted);
    assert_eq!(of_server(&refusal, 503, LATER_USE), Verdict::Unrelated);
    let success = reply(None, true, false);
    assert_eq!(of_server(&success, 200, FIRST_USE), Verdict::Answered);
    assert_eq!(of_server(&success, 200, LATER_USE), Verdict::Unrelated);
}

#[test]
fn a_success_that_is_unsigned_or_states_that_nothing_ran_is_not_an_answer() {
    let signed = reply(Some("own"), true, false);
    assert_eq!(of_server(&signed, 200, LATER_USE), Verdict::Answered);
    let unsigned = reply(Some("own"), false, false);
    assert_eq!(of_server(&unsigned, 200, FIRST_USE), Verdict::Unrelated);
    let contradictory = reply(Some("own"), true, true);
    assert_eq!(
        of_server(&contradictory, 200, FIRST_USE),
        Verdict::Unrelated
    );
}

#[test]
fn an_ambiguous_head_is_neither_an_answer_nor_a_refusal() {
    let mut ambiguous = reply(Some("own"), true, true);
    ambiguous.is_ambiguous = true;
    assert_eq!(of_server(&ambiguous, 503, FIRST_USE), Verdict::Unrelated);
    ambiguous.is_not_executed = false;
    assert_eq!(of_server(&ambiguous, 200, FIRST_USE), Verdict::Unrelated);
}

#[test]
fn a_vm_that_refuses_proves_nothing_about_attempts_of_the_vm_that_forwarded() {
    let refusal = Reply::default();
    let of_vm = |head: &response::Parts, runs| Verdict::of_vm(&refusal, head, "own", runs);
    assert_eq!(of_vm(&head(503), 0), Verdict::Answered);
    assert_eq!(of_vm(&head(503), 1), Verdict::Unproven);
    assert_eq!(of_vm(&head(502), 1), Verdict::Answered);
    let (declined, _) = DeclineReason::Full.response().into_parts();
    assert_eq!(of_vm(&declined, 1), Verdict::NotExecuted);
}

#[test]
fn no_failure_promises_anything_of_a_request_that_may_have_run() {
    let failures = [
        Failure::Unready,
        Failure::Leaving,
        Failure::OverQuota(Duration::ZERO),
        Failure::BodyCut,
        Failure::NoServer(None),
        Failure::Full(None),
        Failure::CutOff,
        Failure::RateLimited(None),
        Failure::Paused(Duration::ZERO),
        Failure::Unknown,
        Failure::TimedOut,
        Failure::Late,
        Failure::UnknownVersion,
        Failure::VersionGone,
        Failure::Poison,
    ];
    for failure in failures {
        assert_eq!(failure.after_runs(0), failure);
        let refusal = failure.after_runs(1).refusal(Duration::from_secs(1));
        assert!(!promises_not_run(refusal.status), "{failure:?}");
    }
    assert_eq!(Failure::Late.after_runs(1), Failure::TimedOut);
    assert_eq!(Failure::NoRoute.after_runs(1), Failure::NoRoute);
}
