//! On the platform: answers with neither a length nor chunks, which end with their connection.

use googletest::prelude::*;
use serde_json::json;
use std::cell::Cell;
use std::rc::Rc;
use workbench::cluster::block_on;
use workbench::site::events::{events_text, remaining_events};
use workbench::site::{
    Answer, Caller, CallerRequest, ReceivedRequest, ScriptStep, Site, plain, route, runner_service,
};

/// The number of events of a whole stream.
const EVENTS: u64 = 12;
/// The number of events before a stream is broken off.
const PART: u64 = 5;

/// Two plain servers and two runners that hold `m0`.
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
            route("/orders/", "unsafe", "books"),
            route("/s/", "streaming", "llm"),
        ]),
        json!([plain("books"), runner_service("llm", &[("m0", 0)])]),
    );
    site.start_vms(1);
    site.wait_ready().await;
    site
}

fn unframed(request: &ReceivedRequest, body: &str) -> ScriptStep {
    let id = request.header("x-attempt-id");
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Signature: sig-{id}\r\n\
         X-Weight-Versions: 1\r\n\r\n"
    );
    ScriptStep::Write((head + body).into_bytes())
}

fn runs_of(site: &Site, id: &str) -> usize {
    let runs = site.servers.iter().flat_map(|server| server.runs());
    runs.filter(|run| run.header("x-attempt-id") == id).count()
}

fn is_whole(answer: &Answer, body: &str) -> bool {
    answer.status == Some(200) && answer.is_complete && answer.body == body
}

#[googletest::test]
fn a_plain_answer_that_ends_with_its_connection_is_framed_for_the_caller() {
    block_on(async {
        let site = site().await;
        for server in &site.servers {
            server.script(|call| vec![unframed(call, "all of it"), ScriptStep::Close]);
        }
        let caller = Caller::default();
        for path in ["/x", "/orders/1", "/x", "/orders/2"] {
            let request = CallerRequest::post(path, "it");
            let answer = caller.request(site.front(0), &request).await;
            expect_that!(
                is_whole(&answer, "all of it"),
                eq(true),
                "{path} {answer:?}"
            );
            expect_that!(answer.header("connection"), eq(""), "{path}");
            expect_that!(runs_of(&site, &request.id), eq(1), "{path}");
        }
    });
}

#[googletest::test]
fn a_plain_answer_without_a_length_that_is_reset_is_not_complete() {
    block_on(async {
        let site = site().await;
        for server in &site.servers {
            server.script(|call| {
                let wait = std::time::Duration::from_millis(30);
                let part = unframed(call, "a part of it");
                vec![part, ScriptStep::Wait(wait), ScriptStep::Reset]
            });
        }
        let order = CallerRequest::post("/orders/1", "it");
        let answer = Caller::default().request(site.front(0), &order).await;
        expect_that!(answer.status, some(ge(500)), "{answer:?}");
        expect_that!(answer.promises_not_run(), eq(false), "{answer:?}");
        expect_that!(runs_of(&site, &order.id), eq(1));
        // A request that may run again gets a whole answer from the other server.
        site.servers[1].script(|call| vec![unframed(call, "all of it"), ScriptStep::Close]);
        let request = CallerRequest::get("/x");
        let answer = Caller::default().request(site.front(0), &request).await;
        expect_that!(is_whole(&answer, "all of it"), eq(true), "{answer:?}");
    });
}

#[googletest::test]
fn a_stream_that_ends_with_its_connection_is_complete() {
    block_on(async {
        let site = site().await;
        for server in &site.servers {
            server.script(|call| vec![unframed(call, &events_text(1, EVENTS)), ScriptStep::Close]);
        }
        let caller = Caller::default();
        for _ in 0..3 {
            let request = CallerRequest::model("/s/x", "m0");
            let answer = caller.request(site.front(0), &request).await;
            let whole = events_text(1, EVENTS);
            expect_that!(is_whole(&answer, &whole), eq(true), "{answer:?}");
            expect_that!(answer.header("connection"), eq(""));
            expect_that!(runs_of(&site, &request.id), eq(1));
        }
    });
}

/// Checks that a stream goes on at the other runner after the first one ended it so.
fn expect_resumed(end: impl Fn(&ReceivedRequest) -> Vec<ScriptStep> + Clone + 'static) {
    block_on(async {
        let site = site().await;
        let has_broken = Rc::new(Cell::new(false));
        for server in &site.servers {
            let (has_broken, end) = (has_broken.clone(), end.clone());
            server.script(move |call| match has_broken.replace(true) {
                true => remaining_events(call, EVENTS, 0),
                false => end(call),
            });
        }
        let request = CallerRequest::model("/s/x", "m0");
        let answer = Caller::default().request(site.front(0), &request).await;
        let whole = events_text(1, EVENTS);
        expect_that!(is_whole(&answer, &whole), eq(true), "{answer:?}");
        expect_that!(runs_of(&site, &request.id), eq(2));
    });
}

#[googletest::test]
fn a_stream_without_a_length_that_ends_inside_an_event_goes_on_elsewhere() {
    expect_resumed(|call| {
        let part = events_text(1, PART) + "id: 6\ndata: wo";
        vec![unframed(call, &part), ScriptStep::Close]
    });
}

#[googletest::test]
fn a_stream_without_a_length_that_is_reset_between_events_goes_on_elsewhere() {
    expect_resumed(|call| {
        let part = unframed(call, &events_text(1, PART));
        let wait = std::time::Duration::from_millis(30);
        vec![part, ScriptStep::Wait(wait), ScriptStep::Reset]
    });
}
