//! On the platform: each request whose head was read ends once, in the log and in the metrics.

use googletest::prelude::*;
use nix::sys::signal::Signal;
use serde_json::{Value, json};
use std::time::Duration;
use workbench::cluster::block_on;
use workbench::site::events::{events, remaining_events};
use workbench::site::{
    Caller, CallerRequest, ScriptStep, Site, plain, route, runner_service, signed_answer,
};

/// One plain server and one runner that holds `m0`, so that nothing can go on elsewhere.
async fn site() -> Site {
    let mut site = Site::start(vec![("books", vec![]), ("llm", vec![("m0", vec![])])]).await;
    site.configure(
        json!([
            route("/x", "safe", "books"),
            route("/s/", "streaming", "llm"),
        ]),
        json!([plain("books"), runner_service("llm", &[("m0", 0)])]),
    );
    site.start_vms(1);
    site.wait_ready().await;
    site
}

/// The log lines that tell how a request ended without a complete answer.
fn early_ends(site: &Site, id: &str) -> Vec<Value> {
    let messages = ["caller left", "request ended without a complete answer"];
    let is_end =
        |line: &Value| messages.iter().any(|it| line["message"] == *it) && line["request"] == id;
    site.log(0).into_iter().filter(is_end).collect()
}

async fn count(site: &Site, end: &str) -> f64 {
    let name = format!("request_ends_total{{end=\"{end}\"}}");
    site.metric(0, &name).await.unwrap_or_default()
}

async fn expect_early_end(site: &Site, id: &str, expected: &Value) {
    site.wait("the end of the request is logged", async || {
        !early_ends(site, id).is_empty()
    })
    .await;
    let ends = early_ends(site, id);
    expect_that!(ends.len(), eq(1), "{ends:?}");
    for (field, value) in expected.as_object().expect("an object of fields") {
        expect_that!(&ends[0][field], eq(value), "{field} of {}", ends[0]);
    }
}

#[googletest::test]
fn complete_answers_and_refusals_end_without_a_line() {
    block_on(async {
        let site = site().await;
        site.servers[0].script(|call| {
            vec![ScriptStep::Write(signed_answer(
                call.header("x-attempt-id"),
                200,
                "all of it",
            ))]
        });
        site.servers[1].script(|call| remaining_events(call, 4, 5));
        let caller = Caller::default();
        let requests = [
            CallerRequest::get("/x"),
            CallerRequest::model("/s/x", "m0"),
            CallerRequest::get("/elsewhere"),
        ];
        for request in &requests {
            let answer = caller.request(site.front(0), request).await;
            expect_that!(answer.is_complete, eq(true), "{answer:?}");
            expect_that!(early_ends(&site, &request.id).len(), eq(0));
        }
        expect_that!(count(&site, "answered").await, eq(2.0));
        expect_that!(count(&site, "refused").await, eq(1.0));
    });
}

#[googletest::test]
fn a_caller_that_leaves_is_told_from_an_answer_that_is_cut() {
    block_on(async {
        let site = site().await;
        let pause = Duration::from_secs(3);
        site.servers[0].script(move |_| vec![ScriptStep::Wait(pause)]);
        site.servers[1].script(|call| {
            let mut steps = events(call, 1, 2, 5);
            steps.push(ScriptStep::Close);
            steps
        });
        let mut left = CallerRequest::get("/x");
        left.disconnect_after = Some(Duration::from_millis(200));
        Caller::default().request(site.front(0), &left).await;
        let expected = json!({"message": "caller left", "stage": "read", "runs": 1, "events": 0});
        expect_early_end(&site, &left.id, &expected).await;
        let cut = CallerRequest::model("/s/x", "m0");
        let answer = Caller::default().request(site.front(0), &cut).await;
        expect_that!(answer.is_complete, eq(false), "{answer:?}");
        let expected = json!({"end": "server_broke_off", "stage": "answering", "events": 2});
        expect_early_end(&site, &cut.id, &expected).await;
        expect_that!(count(&site, "caller_left").await, eq(1.0));
        expect_that!(count(&site, "server_broke_off").await, eq(1.0));
    });
}

#[googletest::test]
fn what_a_vm_leaves_open_when_it_exits_is_logged() {
    block_on(async {
        let mut site = site().await;
        let pause = Duration::from_secs(10);
        site.servers[0].script(move |_| vec![ScriptStep::Wait(pause)]);
        site.vms[0].signal(Signal::SIGTERM);
        compio::time::sleep(Duration::from_millis(2_000)).await;
        let request = CallerRequest::get("/x");
        let answer = Caller::default().request(site.front(0), &request).await;
        expect_that!(answer.status, none(), "{answer:?}");
        while !site.vms[0].has_ended() {
            compio::time::sleep(Duration::from_millis(20)).await;
        }
        let expected = json!({"end": "process_ended", "stage": "read", "runs": 1});
        expect_early_end(&site, &request.id, &expected).await;
    });
}
