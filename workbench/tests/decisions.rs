//! What admission and yielding promise, seen from callers and runners' journals.

use futures_util::future::join_all;
use googletest::prelude::*;
use std::time::Duration;
use workbench::cluster::{Cluster, Plan, block_on};
use workbench::load_client::{Asker, End, Outcome, Question};
use workbench::sample_inventory::Shape;

const LIMIT: Duration = Duration::from_secs(30);
const SLOTS: u32 = 4;

/// Three VMs before one runner of few slots.
async fn start(first_token_ms: Option<u64>) -> Cluster {
    let shape = Shape {
        runners: 1,
        ..Shape::small()
    };
    let mut plan = Plan::new(shape, 3);
    plan.step_ms = 20.0;
    plan.max_batch = SLOTS as usize;
    let mut cluster = Cluster::start(plan).await;
    cluster.inventory.backend_servers[0].slots = SLOTS;
    for caller in &mut cluster.inventory.callers {
        if caller.name == "desk" {
            caller.first_token_ms = first_token_ms;
        }
    }
    cluster.publish_and_settle(LIMIT).await;
    cluster
}

fn question(caller: &str, number: u32, tokens: u32) -> Question {
    let mut question = Question::new("model-0", &format!("{caller} {number}"), tokens);
    question.api_key = Some(format!("key-{caller}"));
    question
}

fn runs(cluster: &Cluster) -> Vec<u64> {
    let journal = cluster.runner_journal(0);
    let runs = journal.iter().filter(|line| line["kind"] == "run");
    runs.map(|line| line["from"].as_u64().unwrap_or(0))
        .collect()
}

async fn ask_all(cluster: &Cluster, questions: &[Question]) -> Vec<Outcome> {
    let asker = Asker::default();
    join_all(questions.iter().enumerate().map(|(index, question)| {
        let address = cluster.caller_address(index % 3);
        asker.ask(address, question)
    }))
    .await
}

#[googletest::test]
fn batch_that_gives_way_to_urgent_requests_is_still_whole() {
    block_on(async {
        let cluster = start(None).await;
        let batch: Vec<Question> = (0..3).map(|n| question("office", n, 200)).collect();
        let urgent: Vec<Question> = (0..8).map(|n| question("desk", n, 20)).collect();
        let follow = async {
            cluster
                .wait_for("batch runs", LIMIT, async || runs(&cluster).len() == 3)
                .await;
            ask_all(&cluster, &urgent).await
        };
        let (batch_ends, urgent_ends) = futures_util::join!(ask_all(&cluster, &batch), follow);
        let asked = batch.iter().chain(&urgent);
        for (question, outcome) in asked.zip(batch_ends.iter().chain(&urgent_ends)) {
            let expected = question.expected("1", None).text();
            expect_that!(outcome.end, eq(&End::Complete(expected)));
        }
        let resumed = runs(&cluster).iter().filter(|from| **from > 0).count();
        expect_that!(resumed, gt(0), "batch requests that went on later");
    });
}

#[googletest::test]
fn a_request_that_cannot_begin_in_time_is_refused_at_once_and_never_runs() {
    block_on(async {
        let cluster = start(Some(500)).await;
        let urgent: Vec<Question> = (0..24).map(|n| question("desk", n, 100)).collect();
        let outcomes = ask_all(&cluster, &urgent).await;
        let mut refused = 0;
        for outcome in &outcomes {
            if let End::Error(error) = &outcome.end
                && error.ran == "no"
            {
                refused += 1;
                expect_that!(error.code, eq("deadline"));
                expect_that!(error.retry_after_s, some(ge(1)));
                expect_that!(outcome.total, lt(Duration::from_millis(500)));
            }
        }
        expect_that!(refused, gt(0), "requests refused at once");
        expect_that!(runs(&cluster).len(), eq(outcomes.len() - refused));
    });
}
