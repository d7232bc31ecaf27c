//! Each way in which a request must not end is reported, and what the model allows is not.

use crate::site::events::events_text;
use crate::site::histories::exchange::Response;
use crate::site::histories::history::{ConfigPlan, Kind, RequestPlan, Run};
use crate::site::histories::model::{EVENTS, Model, PLAIN_BODY, SentRequest};
use googletest::prelude::*;
use std::time::{Duration, Instant};

const CONFIG: ConfigPlan = ConfigPlan {
    dropped: None,
    moved_weight: 0,
    timeout_ms: 3_000,
    idle_timeout_ms: 1_000,
    max_head_bytes: 16_384,
    max_body_bytes: 50_000,
    further_routes: 0,
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A history of one configuration and one request, which the model allows.
struct Case {
    model: Model,
    sent: SentRequest,
}

impl Case {
    fn new(kind: Kind) -> Self {
        let begin = Instant::now();
        let plan = RequestPlan {
            kind,
            body_bytes: 1_000,
            padding_bytes: 0,
            is_chunked: false,
            piece_pause_ms: 0,
            rest_percent: None,
            run: Run::Answers,
            is_refused_later: false,
        };
        let body = match kind.is_stream() {
            true => events_text(1, EVENTS),
            false => PLAIN_BODY.to_owned(),
        };
        let response = Response {
            status: Some(200),
            body,
            is_complete: true,
            is_kept: true,
            error: None,
        };
        let sent = SentRequest {
            id: "1".to_owned(),
            vm: 0,
            plan,
            idle_since: None,
            sent_at: begin + ms(10_000),
            ended_at: begin + ms(10_100),
            response,
            is_logged: true,
            runs: 1,
        };
        let versions = vec![(begin, CONFIG)];
        let model = Model {
            versions,
            ..Model::default()
        };
        Self { model, sent }
    }

    /// A request that ends with this status; servers ran it so many times.
    fn status(status: u16, runs: usize) -> Self {
        let mut case = Self::new(Kind::Unsafe);
        case.sent.response.status = Some(status);
        case.sent.response.body.clear();
        case.sent.runs = runs;
        case
    }

    /// A request whose connection is closed without an answer.
    fn closed(runs: usize) -> Self {
        let mut case = Self::new(Kind::Safe);
        case.sent.response = Response::default();
        case.sent.runs = runs;
        case
    }

    /// A stream that is cut.
    fn cut() -> Self {
        let mut case = Self::new(Kind::Resumable);
        case.sent.response.is_complete = false;
        case.sent.response.body = events_text(1, 2);
        case
    }

    /// Another configuration that was published so long before the request.
    fn with_version(mut self, age_ms: u64, version: ConfigPlan) -> Self {
        let published_at = self.sent.sent_at - ms(age_ms);
        self.model.versions.push((published_at, version));
        self
    }

    /// A SIGTERM that came so long before the request.
    fn with_stop(mut self, age_ms: u64) -> Self {
        self.model.stops.push((0, self.sent.sent_at - ms(age_ms)));
        self
    }

    fn with_rest(mut self, rest_ms: u64) -> Self {
        self.sent.idle_since = Some(self.sent.sent_at - ms(rest_ms));
        self
    }

    fn with_end(mut self, after_ms: u64) -> Self {
        self.sent.ended_at = self.sent.sent_at + ms(after_ms);
        self
    }

    /// What is wrong, as far as its first word.
    fn fault(&self) -> Option<String> {
        let finding = self.model.finding(&self.sent)?;
        Some(finding.split(':').next().unwrap_or_default().to_owned())
    }
}

fn expect_fault(case: &Case, fault: &str) {
    expect_that!(case.fault(), some(eq(fault)), "{:?}", case.sent);
}

fn expect_allowed(case: &Case) {
    expect_that!(case.fault(), none(), "{:?}", case.sent);
}

#[googletest::test]
fn a_whole_answer_is_allowed_and_a_wrong_one_reported() {
    for kind in Kind::ALL {
        let mut case = Case::new(kind);
        expect_allowed(&case);
        case.sent.response.body.push('x');
        expect_fault(&case, "MIXED");
    }
}

#[googletest::test]
fn a_request_without_an_answer_is_reported_unless_the_vm_leaves_or_the_connection_rested_too_long()
{
    expect_fault(&Case::closed(0), "LOST");
    expect_fault(&Case::closed(1), "LOST");
    expect_fault(&Case::closed(0).with_version(10, CONFIG), "LOST");
    expect_fault(&Case::closed(0).with_stop(1_000), "LOST");
    expect_allowed(&Case::closed(0).with_stop(1_900));
    expect_fault(&Case::closed(1).with_stop(1_900), "LOST");
    expect_allowed(&Case::closed(1).with_stop(4_950));
    expect_fault(&Case::closed(0).with_rest(800), "LOST");
    expect_allowed(&Case::closed(0).with_rest(1_000));
    expect_fault(&Case::closed(1).with_rest(1_000), "LOST");
    let short = ConfigPlan {
        idle_timeout_ms: 500,
        ..CONFIG
    };
    expect_allowed(&Case::closed(0).with_rest(800).with_version(700, short));
}

#[googletest::test]
fn an_idle_connection_that_is_closed_too_soon_is_reported() {
    let now = Instant::now();
    let model = Model {
        versions: vec![(now - ms(60_000), CONFIG)],
        ..Model::default()
    };
    expect_that!(model.early_close(0, Some(now - ms(500))), some(anything()));
    expect_that!(model.early_close(0, Some(now - ms(1_000))), none());
    let stops = vec![(0, now - ms(400))];
    let stopped = Model { stops, ..model };
    expect_that!(stopped.early_close(0, Some(now - ms(500))), none());
    expect_that!(
        stopped.early_close(1, Some(now - ms(500))),
        some(anything())
    );
}

#[googletest::test]
fn only_new_connections_of_slow_vms_may_be_closed_unread() {
    let mut closed = Case::closed(0);
    closed.sent.is_logged = false;
    expect_fault(&closed, "LOST");
    closed.model.has_slow_vms = true;
    expect_allowed(&closed);
    closed.sent.is_logged = true;
    expect_fault(&closed, "LOST");
    closed.sent.is_logged = false;
    expect_fault(&closed.with_rest(800), "LOST");
}

#[googletest::test]
fn a_cut_answer_is_reported_unless_its_server_broke_off_or_time_is_over() {
    expect_fault(&Case::cut(), "CUT");
    expect_fault(&Case::cut().with_version(10, CONFIG), "CUT");
    expect_fault(&Case::cut().with_stop(3_000), "CUT");
    expect_allowed(&Case::cut().with_stop(4_950));
    expect_allowed(&Case::cut().with_end(3_000));
    let mut broken = Case::cut();
    broken.sent.plan.run = Run::BreaksOff { at_percent: 50 };
    expect_fault(&broken, "CUT");
    broken.model.has_few_retries = true;
    expect_allowed(&broken);
    broken.model.has_few_retries = false;
    broken.sent.plan.is_refused_later = true;
    expect_allowed(&broken);
}

#[googletest::test]
fn a_refusal_agrees_with_a_configuration_that_may_be_in_force() {
    let dropped = ConfigPlan {
        dropped: Some(Kind::Unsafe),
        ..CONFIG
    };
    expect_fault(&Case::status(404, 0), "STATUS");
    expect_allowed(&Case::status(404, 0).with_version(10, dropped.clone()));
    let restored = Case::status(404, 0).with_version(9_000, dropped);
    expect_fault(&restored.with_version(3_000, CONFIG), "STATUS");
    expect_fault(&Case::status(413, 0), "STATUS");
    expect_fault(&Case::status(431, 0), "STATUS");
    let small = ConfigPlan {
        max_body_bytes: 500,
        ..CONFIG
    };
    expect_allowed(&Case::status(413, 0).with_version(10, small));
}

#[googletest::test]
fn a_promise_for_a_request_that_ran_and_a_second_run_are_reported() {
    for status in [408, 421, 429, 503] {
        expect_allowed(&Case::status(status, 0));
        expect_fault(&Case::status(status, 1), "REFUSED, ran");
    }
    let mut twice = Case::new(Kind::Stream);
    twice.sent.runs = 2;
    expect_fault(&twice, "TWICE");
    twice.sent.plan.kind = Kind::Resumable;
    expect_allowed(&twice);
}

#[googletest::test]
fn an_end_after_the_deadline_and_a_failure_before_it_are_reported() {
    expect_fault(&Case::new(Kind::Safe).with_end(3_600), "LATE");
    expect_fault(&Case::closed(0).with_end(3_600), "LATE");
    expect_fault(&Case::status(502, 1), "STATUS");
    expect_fault(&Case::status(504, 1), "STATUS");
    expect_allowed(&Case::status(504, 1).with_end(3_000));
    let longer = ConfigPlan {
        timeout_ms: 4_000,
        ..CONFIG
    };
    expect_allowed(
        &Case::new(Kind::Safe)
            .with_version(10, longer)
            .with_end(3_600),
    );
}
