//! On the platform: bytes of servers that are no answer in the protocol, or none that this VM asked
//! for.

use googletest::prelude::*;
use serde_json::json;
use workbench::cluster::block_on;
use workbench::site::events::{events_text, remaining_events};
use workbench::site::{
    Caller, CallerRequest, ReceivedRequest, ScriptStep, Site, plain, route, runner_service,
    signed_answer,
};

/// The number of events of a whole stream.
const EVENTS: u64 = 4;

/// Two plain servers and two runners that hold `m0`.
async fn site() -> Site {
    let servers = vec![
        ("books", vec![]),
        ("books", vec![]),
        ("llm", vec![("m0", vec![])]),
        ("llm", vec![("m0", vec![])]),
    ];
    let mut site = Site::start(servers).await;
    site.retry_slack = 1_000;
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

/// An answer with this status line and these further header lines, with a body as it is on the wire.
fn answer(call: &ReceivedRequest, status: &str, lines: &str, body: &str) -> Vec<ScriptStep> {
    let id = call.header("x-attempt-id");
    let text = format!(
        "HTTP/1.1 {status}\r\nX-Attempt-Id: {id}\r\nX-Server-Signature: sig-{id}\r\n\
         X-Weight-Versions: 1\r\n{lines}\r\n{body}"
    );
    vec![ScriptStep::Write(text.into_bytes()), ScriptStep::Close]
}

fn with_length(body: &str) -> String {
    format!("Content-Length: {}\r\n", body.len())
}

/// Checks that answers of this form reach no caller: an unsafe call ends in a failure that promises
/// nothing, other requests are answered by the other server.
async fn expect_refused(status: &'static str, lines: &str, body: &str) {
    let site = site().await;
    for server in &site.servers {
        let (lines, body) = (lines.to_owned(), body.to_owned());
        server.script(move |call| answer(call, status, &lines, &body));
    }
    let what = format!("{status:?} {lines:?} {body:?}");
    let order = CallerRequest::post("/orders/1", "it");
    let refused = Caller::default().request(site.front(0), &order).await;
    expect_that!(refused.status, some(eq(502)), "{what} {refused:?}");
    expect_that!(refused.is_complete, eq(true), "{what}");
    expect_that!(refused.header("x-server-signature"), eq(""), "{what}");
    site.servers[1].script(|call| {
        let id = call.header("x-attempt-id");
        vec![ScriptStep::Write(signed_answer(id, 200, "sound"))]
    });
    site.servers[3].script(|call| remaining_events(call, EVENTS, 0));
    for _ in 0..3 {
        let request = CallerRequest::get("/x");
        let answered = Caller::default().request(site.front(0), &request).await;
        expect_that!(answered.body, eq("sound"), "{what} {answered:?}");
        let request = CallerRequest::model("/s/x", "m0");
        let answered = Caller::default().request(site.front(0), &request).await;
        expect_that!(answered.is_complete, eq(true), "{what} {answered:?}");
        expect_that!(answered.body, eq(&events_text(1, EVENTS)), "{what}");
    }
    // The VM runs on.
    expect_that!(site.is_ready(0).await, eq(true), "{what}");
}

#[googletest::test]
fn an_answer_whose_status_is_no_status_is_refused() {
    block_on(async {
        for status in ["000 Trouble", "099 Trouble", "20 OK", "2000 OK", "2x0 OK"] {
            expect_refused(status, &with_length("body"), "body").await;
        }
    });
}

#[googletest::test]
fn an_answer_whose_field_name_holds_a_blank_or_a_control_byte_is_refused() {
    block_on(async {
        for name in [
            "X Of",
            "X\tOf",
            "X\0Of",
            "X\u{1}Of",
            "X\u{7f}Of",
            "",
            "X-Of ",
        ] {
            let lines = format!("{name}: it\r\n{}", with_length("body"));
            expect_refused("200 OK", &lines, "body").await;
        }
    });
}

#[googletest::test]
fn an_answer_whose_lines_or_lengths_contradict_the_protocol_is_refused() {
    block_on(async {
        let length = with_length("body");
        for lines in [
            format!("X-Of: a\r\n b\r\n{length}"),
            format!("X-Of: a\0b\r\n{length}"),
            format!("X-Of: a\u{1}b\r\n{length}"),
            format!("{length}Content-Length: 5\r\n"),
            "Content-Length: +4\r\n".to_owned(),
            "Content-Length: -1\r\n".to_owned(),
            "Content-Length: 99999999999999999999\r\n".to_owned(),
            "Content-Length: 5\r\n".to_owned(),
        ] {
            expect_refused("200 OK", &lines, "body").await;
        }
        for body in [
            "4\r\nbody\r\n",
            "x\r\nbody\r\n0\r\n\r\n",
            "4\r\nbody\r\n0\r\n",
        ] {
            expect_refused("200 OK", "Transfer-Encoding: chunked\r\n", body).await;
        }
    });
}

#[googletest::test]
fn an_answer_that_switches_the_protocol_is_refused() {
    block_on(async {
        expect_refused("101 Switching Protocols", &with_length("body"), "body").await;
        let upgrade = "Connection: upgrade\r\nUpgrade: other\r\n";
        expect_refused("101 Switching Protocols", upgrade, "body").await;
    });
}

#[googletest::test]
fn an_answer_whose_status_is_of_no_class_is_refused() {
    block_on(async {
        for status in ["600 Trouble", "999 Trouble"] {
            expect_refused(status, &with_length("body"), "body").await;
        }
    });
}

#[googletest::test]
fn an_answer_with_a_transfer_coding_other_than_chunked_is_refused() {
    block_on(async {
        let chunked = "4\r\nbody\r\n0\r\n\r\n";
        for (coding, body) in [
            ("gzip", "body"),
            ("xchunked", chunked),
            ("chunked, gzip", chunked),
            ("gzip, chunked", chunked),
        ] {
            let lines = format!("Transfer-Encoding: {coding}\r\n");
            expect_refused("200 OK", &lines, body).await;
        }
        let lines = format!("Transfer-Encoding: gzip\r\n{}", with_length("body"));
        expect_refused("200 OK", &lines, "body").await;
        let lines = "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n";
        expect_refused("200 OK", lines, chunked).await;
    });
}

#[googletest::test]
fn a_connection_whose_answer_has_a_length_and_chunks_is_not_used_again() {
    block_on(async {
        let site = site().await;
        for server in &site.servers {
            server.script(|call| {
                let lines = "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\
                             Keep-Alive: timeout=5\r\n";
                let mut steps = answer(call, "200 OK", lines, "4\r\nbody\r\n0\r\n\r\n");
                steps.pop();
                steps
            });
        }
        let caller = Caller::default();
        for requests in 1..=4 {
            let order = CallerRequest::post("/orders/1", "it");
            let answered = caller.request(site.front(0), &order).await;
            expect_that!(answered.body, eq("body"), "{answered:?}");
            let connections = site.servers.iter().map(|server| server.connections());
            let at_plain: u64 = connections.take(2).sum();
            expect_that!(at_plain, ge(requests), "{answered:?}");
        }
    });
}

#[googletest::test]
fn an_idle_timeout_beyond_all_bounds_is_survived() {
    block_on(async {
        let site = site().await;
        for server in &site.servers {
            server.script(|call| {
                let lines = format!(
                    "Keep-Alive: timeout=18446744073709551615\r\n{}",
                    with_length("body")
                );
                let mut steps = answer(call, "200 OK", &lines, "body");
                steps.pop();
                steps
            });
        }
        let caller = Caller::default();
        for path in ["/orders/1", "/x", "/orders/2", "/x"] {
            let order = CallerRequest::post(path, "it");
            let answered = caller.request(site.front(0), &order).await;
            expect_that!(answered.status, some(eq(200)), "{path} {answered:?}");
            expect_that!(answered.body, eq("body"), "{path}");
        }
    });
}

/// Guards against an interim answer without a status before a final one.
#[googletest::test]
fn an_interim_answer_whose_status_is_no_status_is_refused() {
    block_on(async {
        let site = site().await;
        for server in &site.servers {
            server.script(|call| {
                let interim = ScriptStep::Write(b"HTTP/1.1 000 Trouble\r\n\r\n".to_vec());
                let mut steps = vec![interim];
                steps.extend(answer(call, "200 OK", &with_length("body"), "body"));
                steps
            });
        }
        for (path, method) in [("/orders/1", "POST"), ("/x", "GET"), ("/s/x", "POST")] {
            let request = match path {
                "/s/x" => CallerRequest::model(path, "m0"),
                _ if method == "POST" => CallerRequest::post(path, "it"),
                _ => CallerRequest::get(path),
            };
            let refused = Caller::default().request(site.front(0), &request).await;
            let is_failure = refused.status.is_some_and(|status| status >= 500);
            expect_that!(is_failure, eq(true), "{path} {refused:?}");
            expect_that!(refused.header("x-server-signature"), eq(""), "{path}");
        }
    });
}

/// Guards against an answer without a status on a connection that has carried a sound one.
#[googletest::test]
fn an_answer_without_a_status_behind_a_sound_one_is_refused() {
    block_on(async {
        let site = site().await;
        let caller = Caller::default();
        for round in 0..3 {
            for server in &site.servers {
                server.script(|call| {
                    let id = call.header("x-attempt-id");
                    vec![ScriptStep::Write(signed_answer(id, 200, "sound"))]
                });
            }
            for _ in 0..4 {
                let order = CallerRequest::post("/orders/1", "it");
                let answered = caller.request(site.front(0), &order).await;
                expect_that!(answered.body, eq("sound"), "{round} {answered:?}");
            }
            for server in &site.servers {
                server.script(|call| answer(call, "000 Trouble", &with_length("body"), "body"));
            }
            let order = CallerRequest::post("/orders/1", "it");
            let refused = caller.request(site.front(0), &order).await;
            expect_that!(refused.status, some(eq(502)), "{round} {refused:?}");
        }
    });
}

/// Guards against an answer without a status to the second attempt of a stream.
#[googletest::test]
fn a_stream_whose_second_attempt_gets_no_status_does_not_look_complete() {
    block_on(async {
        let site = site().await;
        for server in &site.servers[2..] {
            server.script(|call| {
                if !call.header("last-event-id").is_empty() {
                    return answer(call, "000 Trouble", &with_length("body"), "body");
                }
                let mut steps = remaining_events(call, EVENTS, 0);
                steps.truncate(2);
                steps.push(ScriptStep::Close);
                steps
            });
        }
        for _ in 0..3 {
            let request = CallerRequest::model("/s/x", "m0");
            let answered = Caller::default().request(site.front(0), &request).await;
            expect_that!(answered.is_complete, eq(false), "{answered:?}");
            let whole = events_text(1, EVENTS);
            expect_that!(whole.starts_with(&answered.body), eq(true), "{answered:?}");
        }
    });
}
