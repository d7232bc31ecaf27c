//! On the platform: which attempt of a request an answer belongs to, and what proves that it did not run.

use googletest::prelude::*;
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use workbench::cluster::block_on;
use workbench::site::events::{events_text, remaining_events};
use workbench::site::{
    Answer, Caller, CallerRequest, ReceivedRequest, ScriptStep, Site, plain, route, runner_service,
    signed_answer,
};

/// The number of events of a whole stream.
const EVENTS: u64 = 6;
/// When a copy of an answer comes: after the next request on its connection.
const LATE: ScriptStep = ScriptStep::Wait(Duration::from_millis(150));
/// Longer than any late copy takes.
const SETTLED: Duration = Duration::from_millis(600);

/// The ids of the requests that servers ran, in order.
type Runs = Rc<RefCell<Vec<String>>>;

/// One plain server and one runner behind one VM. Streams of `/s/` may not be resumed.
async fn site() -> Site {
    let servers = vec![("books", vec![]), ("llm", vec![("m0", vec![])])];
    let mut site = Site::start(servers).await;
    let mut stream = route("/s/", "streaming", "llm");
    stream["resumable"] = json!(false);
    stream["max_attempts"] = json!(1);
    site.configure(
        json!([
            route("/", "safe", "books"),
            route("/orders/", "unsafe", "books"),
            stream,
        ]),
        json!([plain("books"), runner_service("llm", &[("m0", 0)])]),
    );
    site.start_vms(1);
    site.wait_ready().await;
    site
}

fn id_of(request: &ReceivedRequest) -> &str {
    request.header("x-attempt-id")
}

/// An answer without a body; `id` names the request if the answer does.
fn answer(status: u16, id: Option<&str>, headers: &str) -> ScriptStep {
    let id = id.map(|id| format!("X-Attempt-Id: {id}\r\n"));
    let id = id.unwrap_or_default();
    let head = format!(
        "HTTP/1.1 {status} Answer\r\n{id}{headers}Keep-Alive: timeout=5\r\nContent-Length: 0\r\n\r\n"
    );
    ScriptStep::Write(head.into_bytes())
}

fn refusal(status: u16, id: Option<&str>) -> ScriptStep {
    answer(status, id, "X-Not-Executed: 1\r\n")
}

/// Runs a request to its end.
fn run(request: &ReceivedRequest, runs: &Runs) -> Vec<ScriptStep> {
    runs.borrow_mut().push(id_of(request).to_owned());
    match request.path.starts_with("/s/") {
        true => remaining_events(request, EVENTS, 0),
        false => vec![ScriptStep::Write(signed_answer(
            id_of(request),
            200,
            &format!("done {}", id_of(request)),
        ))],
    }
}

/// Lets all servers do `first` with the first request and run the others.
fn script(
    site: &Site,
    first: impl Fn(&ReceivedRequest, &Runs) -> Vec<ScriptStep> + 'static,
) -> Runs {
    let runs = Runs::default();
    let first = Rc::new(first);
    let has_begun = Rc::new(Cell::new(false));
    for server in &site.servers {
        let (runs, first, has_begun) = (runs.clone(), first.clone(), has_begun.clone());
        server.script(move |request| match has_begun.replace(true) {
            true => run(request, &runs),
            false => first(request, &runs),
        });
    }
    runs
}

fn requests() -> [CallerRequest; 2] {
    [
        CallerRequest::post("/orders/1", "it"),
        CallerRequest::model("/s/x", "m0"),
    ]
}

/// Checks that a request ran once at most, that nothing untrue is promised of it, and that a success
/// is whole and its own.
async fn expect_true_answer(what: &str, request: &CallerRequest, answer: &Answer, runs: &Runs) {
    compio::time::sleep(SETTLED).await;
    let times = runs.borrow().iter().filter(|id| **id == request.id).count();
    expect_that!(times, le(1), "{what} {answer:?}");
    if times > 0 {
        expect_that!(answer.promises_not_run(), eq(false), "{what} {answer:?}");
    }
    if answer.status == Some(200) {
        let whole = match request.path.starts_with("/s/") {
            true => events_text(1, EVENTS),
            false => format!("done {}", request.id),
        };
        expect_that!(answer.body, eq(&whole), "{what}");
        expect_that!(times, eq(1), "{what}");
    }
}

#[googletest::test]
fn a_late_copy_of_a_refusal_does_not_count_for_the_next_attempt() {
    block_on(async {
        let site = site().await;
        let caller = Caller::default();
        for status in [503, 429, 421] {
            for request in requests() {
                let runs = script(&site, move |refused, _| {
                    let refusal = refusal(status, Some(id_of(refused)));
                    vec![refusal.clone(), LATE, refusal]
                });
                let answer = caller.request(site.front(0), &request).await;
                expect_true_answer("refused twice", &request, &answer, &runs).await;
            }
        }
    });
}

#[googletest::test]
fn late_refusals_that_use_up_the_attempts_promise_nothing_untrue() {
    block_on(async {
        let site = site().await;
        for request in requests() {
            let runs = script(&site, |refused, _| {
                let refusal = refusal(503, Some(id_of(refused)));
                let mut steps = vec![refusal.clone()];
                for _ in 0..3 {
                    steps.extend([LATE, refusal.clone()]);
                }
                steps
            });
            let answer = Caller::default().request(site.front(0), &request).await;
            expect_true_answer("refused four times", &request, &answer, &runs).await;
        }
    });
}

#[googletest::test]
fn a_late_copy_of_a_failure_is_not_the_answer_to_the_next_attempt() {
    block_on(async {
        let site = site().await;
        let runs = script(&site, |failed, _| {
            let failure = signed_answer(id_of(failed), 500, "failed");
            let failure = ScriptStep::Write(failure);
            vec![failure.clone(), LATE, failure]
        });
        let request = CallerRequest::get("/x");
        let answer = Caller::default().request(site.front(0), &request).await;
        expect_that!(answer.status, some(eq(200)), "{answer:?}");
        expect_true_answer("failed twice", &request, &answer, &runs).await;
    });
}

#[googletest::test]
fn a_refusal_without_an_id_on_a_used_connection_proves_nothing() {
    block_on(async {
        let site = site().await;
        let caller = Caller::default();
        for path in ["/orders/1", "/s/x"] {
            let request = |path: &str| match path {
                "/s/x" => CallerRequest::model(path, "m0"),
                _ => CallerRequest::post(path, "it"),
            };
            // The answer to the first request is followed by a refusal that bears no id.
            let runs = script(&site, |request, runs| {
                let mut steps = run(request, runs);
                steps.extend([LATE, refusal(503, None)]);
                steps
            });
            let first = request(path);
            caller.request(site.front(0), &first).await;
            let second = request(path);
            let answer = caller.request(site.front(0), &second).await;
            expect_true_answer("no id", &second, &answer, &runs).await;
        }
    });
}

#[googletest::test]
fn a_status_that_promises_without_proof_is_not_passed_on() {
    block_on(async {
        let site = site().await;
        let caller = Caller::default();
        for status in [503, 429, 408] {
            for request in requests() {
                let runs = script(&site, move |request, runs| {
                    runs.borrow_mut().push(id_of(request).to_owned());
                    vec![answer(status, Some(id_of(request)), "")]
                });
                let answer = caller.request(site.front(0), &request).await;
                expect_true_answer("unproven", &request, &answer, &runs).await;
                expect_that!(answer.status, some(ge(500)), "{status} {answer:?}");
            }
        }
    });
}

#[googletest::test]
fn a_server_that_names_no_request_in_its_refusals_is_still_believed_on_a_new_connection() {
    block_on(async {
        let site = site().await;
        let caller = Caller::default();
        for _ in 0..3 {
            // The stand-in names the request in refusals of the first write.
            let runs = script(&site, |_, _| {
                vec![ScriptStep::Write(Vec::new()), refusal(503, None)]
            });
            let request = CallerRequest::post("/orders/1", "it");
            site.servers[0].die();
            compio::time::sleep(Duration::from_millis(100)).await;
            site.servers[0].start_again().await;
            let answer = caller.request(site.front(0), &request).await;
            expect_that!(answer.status, some(any![eq(200), eq(503)]), "{answer:?}");
            expect_true_answer("new connection", &request, &answer, &runs).await;
        }
    });
}

#[googletest::test]
fn a_head_that_is_cut_and_followed_by_another_answer_is_neither_a_refusal_nor_an_answer() {
    block_on(async {
        let site = site().await;
        let caller = Caller::default();
        let cut = |line: &str, request: &ReceivedRequest, status| {
            let mut bytes = line.replace("ID", id_of(request)).into_bytes();
            bytes.extend(signed_answer(id_of(request), status, "done"));
            bytes
        };
        let heads: [(&str, &str, u16); 4] = [
            ("refusal", "HTTP/1.1 503 Full\r\nX-Not-Executed: 1", 200),
            ("refusal", "HTTP/1.1 421 Mis", 200),
            ("success", "HTTP/1.1 200 O", 500),
            (
                "success",
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Server-Signature: s",
                500,
            ),
        ];
        for (what, line, status) in heads {
            let runs = script(&site, move |request, runs| {
                runs.borrow_mut().push(id_of(request).to_owned());
                vec![ScriptStep::Write(cut(line, request, status))]
            });
            let request = CallerRequest::post("/orders/1", "it");
            let answer = caller.request(site.front(0), &request).await;
            expect_true_answer(what, &request, &answer, &runs).await;
        }
    });
}
