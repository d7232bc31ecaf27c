//! On the platform: sound servers that fall silent for a while in the middle of their work and go on.

use googletest::prelude::*;
use serde_json::json;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use workbench::cluster::block_on;
use workbench::site::events::{events, events_text, last_chunk, remaining_events};
use workbench::site::{
    Answer, Caller, CallerRequest, ReceivedRequest, ScriptStep, ServerEvent, Site, plain, route,
    runner_service, signed_answer,
};

/// The number of events of a whole stream.
const EVENTS: u64 = 12;
/// The number of events before the silence.
const PART: u64 = 4;
/// The pause after each event.
const PAUSE_MS: u64 = 20;
/// A silence after which a VM asks another server, and which callers of streams bear.
const SILENCE: Duration = Duration::from_millis(1_750);
/// A silence that ends just after a VM has asked another server.
const JUST_LONGER_THAN_BORNE: Duration = Duration::from_millis(1_280);
/// How long the other server is silent behind its head.
const BEHIND_HEAD_MS: u64 = 180;
const BEHIND_HEAD: Duration = Duration::from_millis(BEHIND_HEAD_MS);
/// The same before the head of a plain answer.
const PLAIN_SILENCE: Duration = Duration::from_millis(1_200);
/// How long a server keeps a request in its queue.
const QUEUE_TIME: Duration = Duration::from_millis(900);
/// Longer than any caller waits.
const LONG: Duration = Duration::from_secs(60);
/// How long two servers may work on the same stream.
const MAX_OVERLAP: Duration = Duration::from_millis(400);

/// Two plain servers and two runners that hold `m0`, behind one VM.
async fn site() -> Site {
    let servers = vec![
        ("books", vec![]),
        ("books", vec![]),
        ("llm", vec![("m0", vec![])]),
        ("llm", vec![("m0", vec![])]),
    ];
    let mut site = Site::start(servers).await;
    site.configure(
        json!([
            route("/", "safe", "books"),
            route("/s/", "streaming", "llm"),
        ]),
        json!([plain("books"), runner_service("llm", &[("m0", 0)])]),
    );
    site.start_vms(1);
    site.wait_ready().await;
    site
}

/// The first request that any server gets is answered by `first`, all others by `others`.
fn script(
    site: &Site,
    first: impl Fn(&ReceivedRequest) -> Vec<ScriptStep> + Clone + 'static,
    others: impl Fn(&ReceivedRequest) -> Vec<ScriptStep> + Clone + 'static,
) {
    let has_begun = Rc::new(Cell::new(false));
    for server in &site.servers {
        let (has_begun, first, others) = (has_begun.clone(), first.clone(), others.clone());
        server.script(move |request| match has_begun.replace(true) {
            false => first(request),
            true => others(request),
        });
    }
}

/// A stream that is silent in the middle and goes on.
fn silent_in_the_middle(request: &ReceivedRequest) -> Vec<ScriptStep> {
    let mut steps = events(request, 1, PART, PAUSE_MS);
    steps.push(ScriptStep::Wait(SILENCE));
    let rest = events(request, PART + 1, EVENTS - PART, PAUSE_MS);
    steps.extend(rest.into_iter().skip(1));
    steps.push(last_chunk());
    steps
}

/// An answer that is held back for a while and then given.
fn held_back(time: Duration, mut steps: Vec<ScriptStep>) -> Vec<ScriptStep> {
    steps.insert(0, ScriptStep::Wait(time));
    steps
}

fn refused(_request: &ReceivedRequest) -> Vec<ScriptStep> {
    let head = "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    vec![ScriptStep::Write(head.as_bytes().to_vec())]
}

fn failed(request: &ReceivedRequest) -> Vec<ScriptStep> {
    let id = request.header("x-attempt-id");
    vec![ScriptStep::Write(signed_answer(id, 500, "failed"))]
}

async fn ask_stream(site: &Site) -> Answer {
    let request = CallerRequest::model("/s/x", "m0");
    Caller::default().request(site.front(0), &request).await
}

fn expect_whole_stream(answer: &Answer) {
    expect_that!(answer.status, some(eq(200)));
    expect_that!(answer.is_complete, eq(true));
    expect_that!(answer.body, eq(&events_text(1, EVENTS)));
}

fn runs(site: &Site) -> usize {
    site.servers.iter().map(|server| server.runs().len()).sum()
}

#[googletest::test]
fn a_stream_whose_silent_server_goes_on_is_not_cut_where_the_other_server_refuses() {
    block_on(async {
        let site = site().await;
        script(&site, silent_in_the_middle, refused);
        expect_whole_stream(&ask_stream(&site).await);
    });
}

#[googletest::test]
fn a_stream_whose_silent_server_goes_on_is_not_cut_where_the_other_server_fails() {
    block_on(async {
        let site = site().await;
        script(&site, silent_in_the_middle, failed);
        expect_whole_stream(&ask_stream(&site).await);
    });
}

#[googletest::test]
fn a_stream_whose_silent_server_goes_on_is_not_cut_where_the_other_server_resets() {
    block_on(async {
        let site = site().await;
        script(&site, silent_in_the_middle, |_| vec![ScriptStep::Reset]);
        expect_whole_stream(&ask_stream(&site).await);
    });
}

#[googletest::test]
fn a_stream_does_not_wait_for_another_server_once_its_silent_server_goes_on() {
    block_on(async {
        let site = site().await;
        let queued = |request: &ReceivedRequest| {
            held_back(QUEUE_TIME, remaining_events(request, EVENTS, PAUSE_MS))
        };
        script(&site, silent_in_the_middle, queued);
        let answer = ask_stream(&site).await;
        expect_whole_stream(&answer);
        expect_that!(runs(&site), eq(2));
        // The other server is told at once that its answer is not needed.
        let ends = |event: &ServerEvent| matches!(event, ServerEvent::Disconnected(..));
        let seen: Vec<ServerEvent> = site.servers.iter().flat_map(|it| it.seen()).collect();
        expect_that!(seen.iter().filter(|event| ends(event)).count(), eq(1));
    });
}

#[googletest::test]
fn a_stream_goes_on_at_another_server_and_leaves_one_that_stays_silent() {
    block_on(async {
        let site = site().await;
        let silent_for_good = |request: &ReceivedRequest| {
            let mut steps = events(request, 1, PART, PAUSE_MS);
            steps.push(ScriptStep::Wait(LONG));
            steps
        };
        script(&site, silent_for_good, |request| {
            remaining_events(request, EVENTS, 2 * PAUSE_MS)
        });
        expect_whole_stream(&ask_stream(&site).await);
        expect_that!(runs(&site), eq(2));
        let ends = site.servers.iter().flat_map(|server| server.seen());
        let mut ends = ends.filter_map(|event| match event {
            ServerEvent::Disconnected(_, at) => Some(at),
            _ => None,
        });
        let left_at = ends.next().expect("the silent server was left");
        let arrivals = site.servers.iter().flat_map(|server| server.arrivals());
        let taken_up_at = arrivals.max().expect("requests arrived");
        expect_that!(left_at - taken_up_at, lt(MAX_OVERLAP));
    });
}

#[googletest::test]
fn a_stream_whose_server_is_silent_before_its_first_event_is_not_refused_where_others_refuse() {
    block_on(async {
        let site = site().await;
        let silent_after_head = |request: &ReceivedRequest| {
            let mut steps = remaining_events(request, EVENTS, PAUSE_MS);
            steps.insert(1, ScriptStep::Wait(SILENCE));
            steps
        };
        script(&site, silent_after_head, refused);
        expect_whole_stream(&ask_stream(&site).await);
    });
}

#[googletest::test]
fn a_stream_whose_server_is_silent_before_its_head_is_not_refused_where_others_refuse() {
    block_on(async {
        let site = site().await;
        let silent_before_head = |request: &ReceivedRequest| {
            held_back(SILENCE, remaining_events(request, EVENTS, PAUSE_MS))
        };
        script(&site, silent_before_head, refused);
        expect_whole_stream(&ask_stream(&site).await);
    });
}

#[googletest::test]
fn a_safe_call_whose_server_is_silent_for_a_while_is_not_refused_where_others_refuse() {
    block_on(async {
        let site = site().await;
        let silent = |request: &ReceivedRequest| {
            let answer = signed_answer(request.header("x-attempt-id"), 200, "late");
            held_back(PLAIN_SILENCE, vec![ScriptStep::Write(answer)])
        };
        script(&site, silent, refused);
        let request = CallerRequest::get("/x");
        let answer = Caller::default().request(site.front(0), &request).await;
        expect_that!(answer.status, some(eq(200)));
        expect_that!(answer.body, eq("late"));
    });
}

#[googletest::test]
fn a_safe_call_whose_server_is_silent_for_a_while_is_not_failed_where_others_reset() {
    block_on(async {
        let site = site().await;
        let silent = |request: &ReceivedRequest| {
            let answer = signed_answer(request.header("x-attempt-id"), 200, "late");
            held_back(PLAIN_SILENCE, vec![ScriptStep::Write(answer)])
        };
        script(&site, silent, |_| vec![ScriptStep::Reset]);
        let request = CallerRequest::get("/x");
        let answer = Caller::default().request(site.front(0), &request).await;
        expect_that!(answer.status, some(eq(200)));
        expect_that!(answer.body, eq("late"));
    });
}

/// A head, a pause and a reset, while the silent server goes on.
fn cut_behind_the_head(request: &ReceivedRequest) -> Vec<ScriptStep> {
    let mut steps = events(request, 1, 0, 0);
    steps.push(ScriptStep::Wait(BEHIND_HEAD));
    steps.push(ScriptStep::Reset);
    steps
}

#[googletest::test]
fn an_event_that_comes_while_the_other_server_is_cut_is_not_lost() {
    block_on(async {
        let site = site().await;
        for before in [0, PART] {
            let silent = move |request: &ReceivedRequest| {
                let mut steps = events(request, 1, before, 0);
                steps.push(ScriptStep::Wait(JUST_LONGER_THAN_BORNE));
                // The other server is cut between this event and the next one.
                let next = events(request, before + 1, 1, BEHIND_HEAD_MS * 2);
                let rest = events(request, before + 2, EVENTS - before - 1, 0);
                steps.extend(next.into_iter().skip(1));
                steps.extend(rest.into_iter().skip(1));
                steps.push(last_chunk());
                steps
            };
            script(&site, silent, cut_behind_the_head);
            let request = CallerRequest::model("/s/x", "m0");
            let answer = Caller::default().request(site.front(0), &request).await;
            expect_that!(answer.is_complete, eq(true), "{answer:?}");
            expect_that!(answer.body, eq(&events_text(1, EVENTS)), "{before}");
        }
    });
}

#[googletest::test]
fn a_stream_whose_silent_server_and_the_other_one_are_cut_does_not_end_as_whole() {
    block_on(async {
        let site = site().await;
        let silent = |request: &ReceivedRequest| {
            let mut steps = events(request, 1, PART, 0);
            steps.push(ScriptStep::Wait(JUST_LONGER_THAN_BORNE));
            steps.push(ScriptStep::Reset);
            steps
        };
        script(&site, silent, cut_behind_the_head);
        let request = CallerRequest::model("/s/x", "m0");
        let answer = Caller::default().request(site.front(0), &request).await;
        expect_that!(answer.body, eq(&events_text(1, PART)), "{answer:?}");
        expect_that!(answer.is_complete, eq(false), "{answer:?}");
    });
}
