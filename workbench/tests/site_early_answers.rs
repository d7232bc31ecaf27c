//! On the platform: servers that answer while a request is still being sent, without a length, and
//! end the connection before they have read the request.

use futures_util::future::join_all;
use googletest::prelude::*;
use serde_json::json;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use workbench::cluster::block_on;
use workbench::site::events::events_text;
use workbench::site::{
    Answer, Caller, CallerRequest, ReceivedRequest, ScriptStep, Site, plain, route, runner_service,
    signed_answer,
};

/// The length of an upload: more than the sockets between a VM and a server hold.
const UPLOAD_BYTES: usize = 7_000_000;
/// The uploads that are in flight together, and how often as many are sent.
const UPLOADS: usize = 4;
const ROUNDS: usize = 50;
/// The time between the part of an answer and the end of its connection goes up to this.
const MAX_PAUSE_MS: u64 = 8;
/// The number of events in that part.
const PART: u64 = 5;

/// How a server ends its connection.
#[derive(Clone, Copy, Debug, PartialEq)]
enum End {
    Reset,
    /// With bytes that it has not read, so that the system resets the connection.
    CloseUnread,
    /// After a part of the upload, with a regular end that is followed by a reset.
    CloseInUpload,
}

/// Two plain servers and two runners that hold `m0`, all of which answer before they read.
async fn site() -> Site {
    let servers = vec![
        ("books", vec![]),
        ("books", vec![]),
        ("llm", vec![("m0", vec![])]),
        ("llm", vec![("m0", vec![])]),
    ];
    let mut site = Site::start(servers).await;
    site.max_body_bytes = 2 * UPLOAD_BYTES;
    site.retry_slack = 100_000;
    site.configure(
        json!([
            route("/", "safe", "books"),
            route("/orders/", "unsafe", "books"),
            route("/s/", "streaming", "llm"),
        ]),
        json!([plain("books"), runner_service("llm", &[("m0", 0)])]),
    );
    for server in &site.servers {
        server.answer_heads();
    }
    site.start_vms(1);
    site.wait_ready().await;
    site
}

fn head(call: &ReceivedRequest, status: u16) -> String {
    let id = call.header("x-attempt-id");
    format!(
        "HTTP/1.1 {status} Answer\r\nX-Attempt-Id: {id}\r\nX-Server-Signature: sig-{id}\r\n\
         X-Weight-Versions: 1\r\n\r\n"
    )
}

/// A part of an answer without a length, and the end of its connection in the middle of the upload.
fn cut_answer(call: &ReceivedRequest, end: End, pause: Duration) -> Vec<ScriptStep> {
    let part = head(call, 200) + &events_text(1, PART);
    let mut steps = vec![
        ScriptStep::Write(part.into_bytes()),
        ScriptStep::Idle(pause),
    ];
    match end {
        End::Reset => steps.push(ScriptStep::Reset),
        End::CloseUnread => steps.push(ScriptStep::Close),
        End::CloseInUpload => {
            steps.push(ScriptStep::Discard(UPLOAD_BYTES / 4));
            steps.push(ScriptStep::Close);
        }
    }
    steps
}

/// A pause that is another one at each call.
fn pauses() -> impl Fn() -> Duration + Clone {
    let count = Rc::new(Cell::new(0));
    move || {
        count.set(count.get() + 1);
        Duration::from_millis(count.get() % (MAX_PAUSE_MS + 1))
    }
}

fn upload(path: &str) -> CallerRequest {
    let mut request = match path.starts_with("/s/") {
        true => CallerRequest::model(path, "m0"),
        false => CallerRequest::post(path, ""),
    };
    request.body = vec![b'u'; UPLOAD_BYTES];
    request
}

fn is_complete_success(answer: &Answer) -> bool {
    answer.status == Some(200) && answer.is_complete
}

/// Checks that no upload whose answer is cut off ends in a success that looks complete, and that
/// none of those answers promises that its request has not run.
fn expect_no_part_looks_complete(path: &'static str, end: End, rounds: usize) {
    block_on(async {
        let site = site().await;
        let pause = pauses();
        for server in &site.servers {
            let pause = pause.clone();
            server.script(move |call| cut_answer(call, end, pause()));
        }
        let mut complete = 0;
        for _ in 0..rounds {
            let answers = join_all((0..UPLOADS).map(async |_| {
                let request = upload(path);
                Caller::default().request(site.front(0), &request).await
            }));
            for answer in answers.await {
                complete += usize::from(is_complete_success(&answer));
                if path == "/orders/1" {
                    expect_that!(answer.promises_not_run(), eq(false), "{:?}", answer.status);
                }
            }
        }
        println!("{path} {end:?}: {complete} of {}", rounds * UPLOADS);
        expect_that!(complete, eq(0), "{path} {end:?}");
    });
}

#[googletest::test]
fn a_part_of_a_stream_that_is_reset_during_the_upload_does_not_look_complete() {
    expect_no_part_looks_complete("/s/x", End::Reset, ROUNDS);
    expect_no_part_looks_complete("/s/x", End::CloseUnread, ROUNDS);
}

#[googletest::test]
fn a_part_of_a_plain_answer_that_is_reset_during_the_upload_does_not_look_complete() {
    expect_no_part_looks_complete("/x", End::Reset, ROUNDS / 2);
    expect_no_part_looks_complete("/orders/1", End::Reset, ROUNDS / 2);
    expect_no_part_looks_complete("/orders/1", End::CloseUnread, ROUNDS / 2);
}

#[googletest::test]
fn a_part_of_an_answer_whose_server_closes_in_the_middle_of_the_upload_does_not_look_complete() {
    for path in ["/x", "/orders/1", "/s/x"] {
        expect_no_part_looks_complete(path, End::CloseInUpload, 4);
    }
}

/// Checks that answers without a length are complete whose servers end them so.
fn expect_complete(end: fn(usize) -> Vec<ScriptStep>) {
    block_on(async {
        let site = site().await;
        for server in &site.servers {
            server.script(move |call| {
                let answer = head(call, 200) + &events_text(1, PART);
                let unread = UPLOAD_BYTES - call.body.len();
                let mut steps = vec![ScriptStep::Write(answer.into_bytes())];
                steps.extend(end(unread));
                steps
            });
        }
        for path in ["/x", "/orders/1", "/s/x"] {
            let request = upload(path);
            let answer = Caller::default().request(site.front(0), &request).await;
            expect_that!(is_complete_success(&answer), eq(true), "{path}");
            expect_that!(answer.body, eq(&events_text(1, PART)), "{path}");
        }
    });
}

#[googletest::test]
fn an_answer_without_a_length_is_complete_once_the_whole_upload_was_read() {
    expect_complete(|unread| vec![ScriptStep::Discard(unread), ScriptStep::Close]);
}

#[googletest::test]
fn an_answer_without_a_length_may_end_before_the_whole_upload_was_read() {
    expect_complete(|unread| {
        vec![
            ScriptStep::EndWrites,
            ScriptStep::Discard(unread),
            ScriptStep::Close,
        ]
    });
}

#[googletest::test]
fn an_early_rejection_of_an_upload_reaches_the_caller() {
    block_on(async {
        let site = site().await;
        for server in &site.servers {
            server.script(|call| {
                let id = call.header("x-attempt-id");
                let rejection = signed_answer(id, 422, "not this");
                let unread = UPLOAD_BYTES - call.body.len();
                vec![
                    ScriptStep::Write(rejection),
                    ScriptStep::Discard(unread),
                    ScriptStep::Close,
                ]
            });
        }
        for path in ["/x", "/orders/1", "/s/x"] {
            let answer = Caller::default()
                .request(site.front(0), &upload(path))
                .await;
            expect_that!(answer.status, some(eq(422)), "{path}");
            expect_that!(answer.body, eq("not this"), "{path}");
        }
    });
}
