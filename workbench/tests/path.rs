//! The whole path with real processes, without failures.

use googletest::prelude::*;
use nix::sys::signal::Signal;
use serde_json::json;
use std::time::Duration;
use workbench::cluster::{Cluster, Plan, block_on};
use workbench::http_json;
use workbench::load_client::{Asker, CallEnd, End, Question, call};
use workbench::sample_inventory::Shape;

const LIMIT: Duration = Duration::from_secs(30);

async fn start() -> Cluster {
    let cluster = Cluster::start(Plan::new(Shape::small(), 3)).await;
    cluster.publish_and_settle(LIMIT).await;
    cluster
}

async fn error_code(cluster: &Cluster, question: &Question) -> (u16, String) {
    let outcome = Asker::default()
        .ask(cluster.caller_address(0), question)
        .await;
    match outcome.end {
        End::Error(error) => (error.status, error.code),
        other => (0, format!("{other:?}")),
    }
}

#[googletest::test]
fn answers_are_whole_streamed_or_not_through_every_vm() {
    block_on(async {
        let cluster = start().await;
        let asker = Asker::default();
        for vm in 0..3 {
            for (stream, model) in [(true, "model-0/adapter-0"), (false, "model-1")] {
                let mut question = Question::new(model, &format!("ask {vm}"), 20);
                question.stream = stream;
                let outcome = asker.ask(cluster.caller_address(vm), &question).await;
                let adapter = model.contains('/').then_some("1");
                let expected = question.expected("1", adapter).text();
                expect_that!(outcome.end, eq(&End::Complete(expected)));
            }
        }
    });
}

#[googletest::test]
fn bad_requests_get_their_own_errors() {
    block_on(async {
        let cluster = start().await;
        let unknown = Question::new("model-99", "ask", 5);
        expect_that!(
            error_code(&cluster, &unknown).await,
            eq(&(404, "unknown_model".into()))
        );
        let mut stranger = Question::new("model-0", "ask", 5);
        stranger.api_key = Some("nobody".into());
        expect_that!(
            error_code(&cluster, &stranger).await,
            eq(&(401, "unknown_caller".into()))
        );
        let large = Question::new("model-0", &"x".repeat(5 * 1024 * 1024), 5);
        expect_that!(
            error_code(&cluster, &large).await,
            eq(&(413, "too_large".into()))
        );
        let address = cluster.caller_address(0);
        let malformed =
            http_json::post(address, "/v1/chat/completions", &json!({"model": 1})).await;
        let (status, answer) = malformed.expect("an answer");
        expect_that!(status.as_u16(), eq(400));
        expect_that!(answer["error"]["code"], eq(&json!("malformed")));
        expect_that!(answer["error"]["ran"], eq(&json!("no")));
        let nowhere = call(address, "/nowhere", None, &json!({})).await;
        expect_that!(nowhere, matches_pattern!(CallEnd::Answered(eq(&404), _)));
    });
}

#[googletest::test]
fn a_receipt_needs_a_key_and_runs_once() {
    block_on(async {
        let cluster = start().await;
        let body = json!({"licence": 1});
        let without = call(cluster.caller_address(0), "/receipts", None, &body).await;
        expect_that!(without, matches_pattern!(CallEnd::Answered(eq(&400), _)));
        let key = uuid::Uuid::now_v7().to_string();
        let mut answers = Vec::new();
        for vm in 0..3 {
            answers.push(call(cluster.caller_address(vm), "/receipts", Some(&key), &body).await);
        }
        expect_that!(answers[0], matches_pattern!(CallEnd::Answered(eq(&200), _)));
        expect_that!(answers[1], eq(&answers[0]));
        expect_that!(answers[2], eq(&answers[0]));
        let other = json!({"licence": 2});
        let reused = call(cluster.caller_address(0), "/receipts", Some(&key), &other).await;
        expect_that!(reused, matches_pattern!(CallEnd::Answered(eq(&422), _)));
        let runs = cluster.server_journal(0);
        expect_that!(
            runs.iter().filter(|line| line["kind"] == "run").count(),
            eq(1)
        );
    });
}

#[googletest::test]
fn a_leaving_vm_finishes_its_streams() {
    block_on(async {
        let mut cluster = start().await;
        let question = Question::new("model-0", "a long draft", 300);
        let asker = Asker::default();
        let (address, operator) = (cluster.caller_address(1), cluster.operator_address(1));
        let stop = async {
            compio::time::sleep(Duration::from_millis(100)).await;
            cluster.vms[1].signal(Signal::SIGTERM);
            let path = "/health";
            cluster
                .wait_for("the health answer fails", LIMIT, async || {
                    http_json::get(operator, path)
                        .await
                        .is_none_or(|health| health["leaving"] == true)
                })
                .await;
        };
        let (outcome, ()) = futures_util::join!(asker.ask(address, &question), stop);
        let expected = question.expected("1", None).text();
        expect_that!(outcome.end, eq(&End::Complete(expected)));
        for _ in 0..1_000 {
            if cluster.vms[1].has_ended() {
                return;
            }
            compio::time::sleep(Duration::from_millis(10)).await;
        }
        panic!("the VM did not end");
    });
}
