//! Requests that crash runners are found and refused; retries stay within their budget.

use futures_util::future::join_all;
use googletest::prelude::*;
use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;
use workbench::cluster::{Cluster, Plan, block_on};
use workbench::engine::EngineFaults;
use workbench::http_json;
use workbench::load_client::{Asker, End, Outcome, Question};
use workbench::sample_inventory::Shape;

const LIMIT: Duration = Duration::from_secs(30);
/// Runners that one request may crash, over all VMs and resends.
const MAX_CRASHES: usize = 2;
/// What each VM may retry at once before its budget is a tenth of its load.
const SAVED_RETRIES: usize = 8;

async fn start() -> Cluster {
    let mut plan = Plan::new(Shape::small(), 3);
    // Fast loads: engines start anew often here.
    plan.platform.load_mib_per_s = 200_000.0;
    let cluster = Cluster::start(plan).await;
    cluster.publish_and_settle(LIMIT).await;
    cluster.wait_spread(LIMIT).await;
    cluster
}

/// Starts crashed engines again until told to stop.
async fn restart_engines(cluster: &mut Cluster, stop: &Cell<bool>) {
    while !stop.get() {
        for index in 0..cluster.runners.len() {
            if cluster.runners[index].has_ended() {
                cluster.restart_runner(index);
            }
        }
        compio::time::sleep(Duration::from_millis(50)).await;
    }
}

fn count(cluster: &Cluster, kind: &str) -> usize {
    let journals = (0..3).flat_map(|index| cluster.runner_journal(index));
    journals.filter(|line| line["kind"] == kind).count()
}

fn addresses(cluster: &Cluster) -> Vec<SocketAddr> {
    (0..3).map(|vm| cluster.caller_address(vm)).collect()
}

/// Streams beside the poison, each over more than a second, one after another.
async fn innocents(addresses: &[SocketAddr], stop: &Cell<bool>) -> Vec<(Question, Outcome)> {
    let callers = (0..9).map(|caller| async move {
        let mut answers = Vec::new();
        while !stop.get() {
            let prompt = format!("innocent {caller} {}", answers.len());
            let mut question = Question::new(&Shape::model_name(caller % 3), &prompt, 150);
            question.api_key = Some("key-office".into());
            if caller % 2 == 0 {
                question.api_key = Some("key-desk".into());
                question.deadline_ms = Some(30_000);
            }
            let address = addresses[caller % 3];
            let outcome = Asker::default().ask(address, &question).await;
            answers.push((question, outcome));
        }
        answers
    });
    join_all(callers).await.into_iter().flatten().collect()
}

fn expect_whole(answers: &[(Question, Outcome)]) {
    for (question, outcome) in answers {
        let expected = question.expected("1", None).text();
        expect_that!(
            outcome.end,
            eq(&End::Complete(expected)),
            "{}",
            question.prompt
        );
    }
}

fn code(outcome: &Outcome) -> String {
    match &outcome.end {
        End::Error(error) => error.code.clone(),
        other => format!("{other:?}"),
    }
}

/// Sends poisons, all at once and each through every VM in turn, beside innocents.
async fn send_poisons(count_of_poisons: usize) {
    let mut cluster = start().await;
    let (addresses, stop) = (addresses(&cluster), Cell::new(false));
    let poisons = async {
        compio::time::sleep(Duration::from_millis(300)).await;
        let each = (0..count_of_poisons).map(|index| {
            let addresses = &addresses;
            async move {
                let model = Shape::model_name(index % 3);
                let mut question = Question::new(&model, &format!("CRASH {index}"), 20);
                question.api_key = Some("key-office".into());
                let mut ends = Vec::new();
                for turn in 0..6 {
                    let address = addresses[(index + turn) % 3];
                    ends.push(code(&Asker::default().ask(address, &question).await));
                }
                ends
            }
        });
        let ends = join_all(each).await;
        stop.set(true);
        ends
    };
    let (ends, answers, ()) = futures_util::join!(
        poisons,
        innocents(&addresses, &stop),
        restart_engines(&mut cluster, &stop)
    );
    let crashes = count(&cluster, "crash");
    println!(
        "{count_of_poisons} poisons crashed {crashes} runners beside {} innocents: {ends:?}",
        answers.len()
    );
    expect_that!(crashes, le(MAX_CRASHES * count_of_poisons));
    expect_whole(&answers);
    for ends in ends {
        expect_that!(ends.last(), some(eq("poison")));
    }
}

#[googletest::test]
fn a_poison_resent_through_every_vm_crashes_two_runners_at_most() {
    block_on(send_poisons(1));
}

#[googletest::test]
fn several_poisons_at_once_are_told_from_the_innocent() {
    block_on(send_poisons(3));
}

async fn refuse(cluster: &Cluster, runners: std::ops::Range<usize>) {
    let faults = EngineFaults {
        refuse: true,
        ..EngineFaults::default()
    };
    for index in runners {
        http_json::post(cluster.runner_address(index), "/faults", &faults)
            .await
            .expect("the engine answers");
    }
}

/// Asks `count` questions over all VMs, twelve at once.
async fn ask(cluster: &Cluster, count: usize) -> Vec<(Question, Outcome)> {
    let addresses = &addresses(cluster);
    let callers = (0..12).map(|caller| async move {
        let asker = Asker::default();
        let mut answers = Vec::new();
        for turn in 0..count / 12 {
            let prompt = format!("{caller} {turn}");
            let question = Question::new(&Shape::model_name(turn % 3), &prompt, 8);
            let outcome = asker.ask(addresses[caller % 3], &question).await;
            answers.push((question, outcome));
        }
        answers
    });
    join_all(callers).await.into_iter().flatten().collect()
}

#[googletest::test]
fn one_runner_that_refuses_everything_costs_few_retries() {
    block_on(async {
        let cluster = start().await;
        refuse(&cluster, 0..1).await;
        let answers = ask(&cluster, 600).await;
        expect_whole(&answers);
        let refused = count(&cluster, "refused");
        println!("{refused} refusals by one runner in 600 requests");
        expect_that!(refused, le(60 + 3 * SAVED_RETRIES));
    });
}

#[googletest::test]
fn when_every_runner_refuses_callers_are_refused_at_once() {
    block_on(async {
        let cluster = start().await;
        refuse(&cluster, 0..3).await;
        let answers = ask(&cluster, 240).await;
        let refused = count(&cluster, "refused");
        let longest = answers.iter().map(|(_, outcome)| outcome.total).max();
        println!("{refused} refusals by all runners in 240 requests, longest {longest:?}");
        for (_, outcome) in &answers {
            let End::Error(error) = &outcome.end else {
                panic!("not refused: {:?}", outcome.end);
            };
            expect_that!((error.status, error.ran.as_str()), eq((503, "no")));
            expect_that!(error.retry_after_s, some(gt(0)));
        }
        // Within a second a VM earns half a retry beside its share.
        expect_that!(refused, le(240 + 24 + 3 * SAVED_RETRIES + 60));
        expect_that!(longest, some(lt(Duration::from_secs(10))));
    });
}
