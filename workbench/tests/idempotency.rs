//! Non-idempotent calls run at most once, and what is refused as not run did not run.

use compio::net::TcpStream;
use futures_util::future::join_all;
use googletest::prelude::*;
use nix::sys::signal::Signal;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use workbench::cluster::{Cluster, PLATFORM_PORT, PROXY_PORT, Plan, SERVER_PORT, block_on};
use workbench::journal::now_ms;
use workbench::keyed_calls::{CallAnswer, KeyedCall, Ledger, exchange, runs, runs_by_key};
use workbench::proxy::{Faults, Proxy};
use workbench::sample_inventory::Shape;

const LIMIT: Duration = Duration::from_secs(30);
/// Longer than a claim may take and a held request lingers.
const SETTLE: Duration = Duration::from_millis(400);

/// The time between two rounds of calls.
const ROUND: Duration = Duration::from_millis(100);

/// A small site with a proxy before the service and one between each VM and the log.
struct Site {
    cluster: Cluster,
    ledger: Ledger,
    service: Rc<Proxy>,
    logs: Vec<Rc<Proxy>>,
}

fn hold() -> Faults {
    Faults {
        hold_requests: true,
        ..Faults::default()
    }
}

impl Site {
    async fn start() -> Self {
        Self::start_with(|_plan| {}).await
    }

    async fn start_with(change: impl FnOnce(&mut Plan)) -> Self {
        Self::start_as(change, true).await
    }

    async fn start_as(change: impl FnOnce(&mut Plan), service_detour: bool) -> Self {
        let shape = Shape {
            runners: 1,
            models: 1,
            adapters: 0,
            ..Shape::small()
        };
        let mut plan = Plan::new(shape, 3);
        change(&mut plan);
        let ip = Cluster::pick_ip();
        let at = |port| SocketAddr::new(ip, port);
        let service = Proxy::start(at(PROXY_PORT), at(SERVER_PORT)).await;
        if service_detour {
            plan.detours = vec![(at(SERVER_PORT), at(PROXY_PORT))];
        }
        let mut logs = Vec::new();
        for vm in 0..3 {
            let address = at(PROXY_PORT + 1 + vm);
            logs.push(Proxy::start(address, at(PLATFORM_PORT)).await);
            let settings = json!({"log_address": address});
            plan.vm_settings.push((usize::from(vm), settings));
        }
        let cluster = Cluster::start_at(plan, ip).await;
        let server = cluster.server_address(0);
        cluster
            .wait_for("the server listens", LIMIT, async || {
                TcpStream::connect(server).await.is_ok()
            })
            .await;
        let site = Self {
            cluster,
            ledger: Ledger::default(),
            service,
            logs,
        };
        site.cluster
            .wait_for("the inventory is accepted", LIMIT, async || {
                let published = site.cluster.publish(0, &site.cluster.inventory, None);
                published.await.is_ok()
            })
            .await;
        site.wait_ready().await;
        site
    }

    /// Waits until every VM takes requests.
    async fn wait_ready(&self) {
        for vm in 0..3 {
            self.cluster
                .wait_for("every VM is ready", LIMIT, async || {
                    let health =
                        workbench::http_json::get(self.cluster.operator_address(vm), "/health");
                    health.await.is_some_and(|health| health["ready"] == true)
                })
                .await;
        }
    }

    async fn send(&self, vm: usize, call: &KeyedCall) -> Option<CallAnswer> {
        let address = self.cluster.caller_address(vm);
        self.ledger.send(address, call).await
    }

    /// Sends a call to a VM that must answer.
    async fn answer(&self, vm: usize, call: &KeyedCall) -> CallAnswer {
        self.send(vm, call).await.expect("an answer")
    }

    fn runs_of(&self, call: &KeyedCall) -> usize {
        let runs = runs(&self.cluster);
        runs_by_key(&runs)
            .get(call.key.as_str())
            .copied()
            .unwrap_or(0)
    }

    /// The records of the keys stream that the log took so far.
    async fn recorded(&self) -> usize {
        let journal = self.cluster.platform_journal().await;
        let is_key = |line: &&Value| line["kind"] == "append" && line["stream"] == "keys";
        journal.iter().filter(is_key).count()
    }

    async fn wait_recorded(&self, count: usize) {
        self.cluster
            .wait_for("the claim is in the log", LIMIT, async || {
                self.recorded().await >= count
            })
            .await;
    }

    async fn wait_for_run(&self, call: &KeyedCall) {
        self.cluster
            .wait_for("the call runs", LIMIT, async || self.runs_of(call) > 0)
            .await;
    }

    /// Heals everything, waits for what may still arrive, and checks the journals.
    async fn check(&self) {
        self.service.set(Faults::default());
        for log in &self.logs {
            log.set(Faults::default());
        }
        compio::time::sleep(SETTLE).await;
        let broken = self.ledger.broken_promises(&self.cluster);
        assert!(broken.is_empty(), "{}", broken.join("\n"));
    }
}

fn unknown() -> impl for<'a> Matcher<&'a CallAnswer> {
    predicate(|answer: &CallAnswer| answer.code() == "outcome_unknown" && answer.ran() == "unknown")
        .with_description("says that the outcome is unknown", "says something else")
}

fn refused(code: &'static str) -> impl for<'a> Matcher<&'a CallAnswer> {
    predicate(move |answer: &CallAnswer| answer.code() == code && answer.ran() == "no")
        .with_description(
            format!("is refused as not run with {code}"),
            "is something else",
        )
}

fn complete() -> impl for<'a> Matcher<&'a CallAnswer> {
    predicate(|answer: &CallAnswer| answer.status == 200 && answer.body["number"].is_number())
        .with_description("is the service's answer", "is something else")
}

#[googletest::test]
fn a_key_sent_at_once_through_every_vm_runs_once() {
    block_on(async {
        let site = Site::start().await;
        for _ in 0..15 {
            let call = KeyedCall::new();
            let sends = (0..6).map(|index| site.answer(index % 3, &call));
            let answers = join_all(sends).await;
            for answer in &answers {
                expect_that!(answer, complete());
                expect_that!(answer.body, eq(&answers[0].body));
            }
            expect_that!(
                answers.iter().filter(|answer| !answer.replayed).count(),
                eq(1)
            );
            expect_that!(site.runs_of(&call), eq(1));
        }
        site.check().await;
    });
}

#[googletest::test]
fn a_key_is_bound_to_its_body_and_its_time() {
    block_on(async {
        let site = Site::start().await;
        let call = KeyedCall::new();
        expect_that!(site.answer(0, &call).await, complete());
        let mut other = call.clone();
        other.body = json!({"key": call.key, "licence": 2});
        expect_that!(site.answer(1, &other).await, refused("key_reused"));

        let mut timed = KeyedCall::new();
        timed.key = format!("booking-{}", timed.key);
        timed.key_time_ms = Some(now_ms());
        expect_that!(site.answer(0, &timed).await, complete());
        expect_that!(site.answer(1, &timed).await, complete());
        timed.key_time_ms = Some(now_ms() + 1);
        expect_that!(site.answer(2, &timed).await, refused("key_reused"));

        for made_at_ms in [now_ms() - 3_500_000, now_ms() + 600_000, 0, u64::MAX] {
            let mut aged = KeyedCall::new();
            aged.key_time_ms = Some(made_at_ms);
            expect_that!(site.answer(0, &aged).await, refused("key_expired"));
            expect_that!(site.runs_of(&aged), eq(0));
        }

        // A large answer is not kept: a repeat is told so, not given half of it.
        let mut large = KeyedCall::new();
        large.body = json!({"key": large.key, "text": "x".repeat(10_000)});
        expect_that!(site.answer(0, &large).await, complete());
        let repeat = site.answer(1, &large).await;
        expect_that!(
            (repeat.code(), repeat.ran()),
            eq(("outcome_unknown", "yes"))
        );
        expect_that!(site.runs_of(&large), eq(1));
        site.check().await;
    });
}

#[googletest::test]
fn a_key_is_known_after_every_vm_was_killed_and_expires_before_its_record() {
    block_on(async {
        let retention = Duration::from_secs(10);
        let mut site = Site::start_with(|plan| {
            plan.platform.retention_ms = retention.as_millis() as u64;
        })
        .await;
        let call = KeyedCall::new();
        let first = site.answer(0, &call).await;
        expect_that!(first, complete());
        compio::time::sleep(SETTLE).await;
        restart_all(&mut site).await;
        for vm in 0..3 {
            let repeat = site.answer(vm, &call).await;
            expect_that!(repeat.body, eq(&first.body));
        }
        // The claim leaves the log; only the key's age can stop a second run then.
        compio::time::sleep(retention).await;
        restart_all(&mut site).await;
        for vm in 0..3 {
            expect_that!(site.answer(vm, &call).await, refused("key_expired"));
        }
        expect_that!(site.runs_of(&call), eq(1));
        expect_that!(site.answer(0, &KeyedCall::new()).await, complete());
        site.check().await;
    });
}

async fn restart_all(site: &mut Site) {
    for vm in 0..3 {
        site.cluster.vms[vm].kill();
    }
    for vm in 0..3 {
        site.cluster.restart_vm(vm);
    }
    site.wait_ready().await;
}

/// Stops the dispatcher when the log has its claim, before it can have read it back.
async fn stop_between_record_and_send(signal: Signal) -> (Site, KeyedCall) {
    let site = Site::start().await;
    let call = KeyedCall::new();
    let before = site.recorded().await;
    site.logs[0].set(Faults {
        delay_ms: 1_000,
        ..Faults::default()
    });
    let stop = async {
        site.wait_recorded(before + 1).await;
        site.cluster.vms[0].signal(signal);
        site.answer(1, &call).await
    };
    let (first, repeat) = futures_util::join!(
        compio::time::timeout(Duration::from_secs(3), site.send(0, &call)),
        stop
    );
    expect_that!(first.ok().flatten(), none());
    expect_that!(repeat, unknown());
    expect_that!(site.runs_of(&call), eq(0));
    (site, call)
}

#[googletest::test]
fn a_dispatcher_killed_between_record_and_send_runs_nothing() {
    block_on(async {
        let (site, call) = stop_between_record_and_send(Signal::SIGKILL).await;
        expect_that!(site.answer(2, &call).await, unknown());
        site.check().await;
        expect_that!(site.runs_of(&call), eq(0));
    });
}

#[googletest::test]
fn a_dispatcher_paused_between_record_and_send_runs_at_most_once() {
    block_on(async {
        let (site, call) = stop_between_record_and_send(Signal::SIGSTOP).await;
        site.cluster.vms[0].signal(Signal::SIGCONT);
        site.logs[0].set(Faults::default());
        let repeats = join_all((0..3).map(|vm| site.answer(vm, &call))).await;
        site.check().await;
        let answered = repeats.iter().filter(|answer| answer.status == 200).count();
        expect_that!(site.runs_of(&call), le(1));
        expect_that!(answered > 0, eq(site.runs_of(&call) == 1));
    });
}

#[googletest::test]
fn a_call_in_flight_when_its_dispatcher_stops_is_not_sent_again() {
    block_on(async {
        let site = Site::start().await;
        let mut calls = Vec::new();
        for (vm, signal) in [(0, Signal::SIGKILL), (1, Signal::SIGSTOP)] {
            site.service.set(hold());
            let call = KeyedCall::new();
            let accepted = site.service.accepted();
            let stop = async {
                let sent = async || site.service.accepted() > accepted;
                site.cluster.wait_for("the call is sent", LIMIT, sent).await;
                site.cluster.vms[vm].signal(signal);
            };
            let send = compio::time::timeout(Duration::from_secs(1), site.send(vm, &call));
            let _ = futures_util::join!(send, stop);
            expect_that!(site.answer(2, &call).await, unknown());
            expect_that!(site.runs_of(&call), eq(0));
            site.service.set(Faults::default());
            calls.push(call);
        }
        site.cluster.vms[1].signal(Signal::SIGCONT);
        site.wait_for_run(&calls[0]).await;
        site.wait_for_run(&calls[1]).await;
        for call in &calls {
            site.answer(2, call).await;
        }
        site.check().await;
    });
}

#[googletest::test]
fn a_cut_after_the_send_leaves_the_outcome_unknown() {
    block_on(async {
        let site = Site::start().await;
        site.service.set(Faults {
            drop_answers: true,
            ..Faults::default()
        });
        let call = KeyedCall::new();
        expect_that!(site.answer(0, &call).await, unknown());
        site.service.set(Faults::default());
        let repeats = join_all((0..3).map(|vm| site.answer(vm, &call))).await;
        expect_that!(repeats, each(unknown()));
        expect_that!(site.runs_of(&call), eq(1));

        site.check().await;
    });
}

#[googletest::test]
fn a_call_that_no_server_takes_is_not_run_and_its_key_stays_good() {
    block_on(async {
        let mut site = Site::start_as(|_plan| {}, false).await;
        site.cluster.servers[0].kill();
        let call = KeyedCall::new();
        let answer = site.answer(0, &call).await;
        expect_that!(answer, refused("unavailable"));
        expect_that!(answer.retry_after_s, some(gt(0)));
        site.cluster.restart_server(0);
        site.run_once_healed(1, &call).await;
        site.check().await;
    });
}

#[googletest::test]
fn a_caller_that_hangs_up_does_not_stop_its_call() {
    block_on(async {
        let site = Site::start().await;
        site.service.set(hold());
        let call = KeyedCall::new();
        let address = site.cluster.caller_address(0);
        let accepted = site.service.accepted();
        let sent = async || site.service.accepted() > accepted;
        let hang_up = async {
            let mut send = Box::pin(exchange(address, &call, "gone"));
            let wait = Box::pin(site.cluster.wait_for("the call is sent", LIMIT, sent));
            futures_util::future::select(&mut send, wait).await;
        };
        hang_up.await;
        site.service.set(Faults::default());
        site.wait_for_run(&call).await;
        let repeats = join_all((0..3).map(|vm| site.answer(vm, &call))).await;
        expect_that!(repeats, each(complete()));
        expect_that!(site.runs_of(&call), eq(1));
        site.check().await;
    });
}

#[googletest::test]
fn lost_append_answers_neither_stop_nor_double_a_call() {
    block_on(async {
        let site = Site::start().await;
        site.cluster
            .set_platform(json!({"lose_append_answers": true}))
            .await;
        let calls: Vec<KeyedCall> = (0..9).map(|_| KeyedCall::new()).collect();
        let sends = calls.iter().enumerate();
        let answers = join_all(sends.map(|(index, call)| site.answer(index % 3, call))).await;
        expect_that!(answers, each(complete()));
        site.cluster
            .set_platform(json!({"lose_append_answers": false}))
            .await;
        for (index, call) in calls.iter().enumerate() {
            let repeat = site.answer((index + 1) % 3, call).await;
            expect_that!(repeat.body, eq(&answers[index].body));
            expect_that!(site.runs_of(call), eq(1));
        }

        // All answers of the log lost, also to reads: the claim stands in it unseen.
        let before = site.recorded().await;
        site.logs[0].set(Faults {
            drop_answers: true,
            ..Faults::default()
        });
        let call = KeyedCall::new();
        let heal = async {
            site.wait_recorded(before + 1).await;
            compio::time::sleep(SETTLE).await;
            site.logs[0].set(Faults::default());
        };
        let (answer, ()) = futures_util::join!(site.answer(0, &call), heal);
        expect_that!(answer, complete());
        expect_that!(site.runs_of(&call), eq(1));
        site.check().await;
    });
}

#[googletest::test]
fn without_the_log_calls_are_refused_as_not_run_and_their_keys_stay_good() {
    block_on(async {
        let site = Site::start().await;
        for fault in ["log_down", "log_silent"] {
            site.cluster.set_platform(json!({fault: true})).await;
            let calls: Vec<KeyedCall> = (0..3).map(|_| KeyedCall::new()).collect();
            let sends = calls.iter().enumerate();
            let answers = join_all(sends.map(|(vm, call)| site.answer(vm, call))).await;
            expect_that!(answers, each(refused("log_unavailable")));
            // What the first calls found out, the next are told at once.
            let next = site.answer(0, &KeyedCall::new()).await;
            expect_that!(next, refused("log_unavailable"));
            expect_that!(next.retry_after_s, some(gt(0)));
            expect_that!(next.took, lt(Duration::from_millis(1_000)));
            site.cluster.set_platform(json!({fault: false})).await;
            for (vm, call) in calls.iter().enumerate() {
                expect_that!(site.runs_of(call), eq(0));
                site.run_once_healed((vm + 1) % 3, call).await;
            }
        }
        // Connections to the log go silent, new ones work.
        site.logs[0].silence();
        let call = KeyedCall::new();
        let answer = site.answer(0, &call).await;
        if answer.status != 200 {
            expect_that!(answer, refused("log_unavailable"));
        }
        site.run_once_healed(0, &call).await;
        site.check().await;
    });
}

impl Site {
    /// Sends a call until it is taken; it must then run, once.
    async fn run_once_healed(&self, vm: usize, call: &KeyedCall) {
        self.cluster
            .wait_for("the call is taken", LIMIT, async || {
                let answer = self.answer(vm, call).await;
                answer.status == 200
            })
            .await;
        expect_that!(self.runs_of(call), eq(1));
    }
}

#[googletest::test]
fn an_answer_that_is_no_longer_at_hand_is_read_from_the_log() {
    block_on(async {
        let site = Site::start().await;
        let first = KeyedCall::new();
        let answer = site.answer(0, &first).await;
        expect_that!(answer, complete());
        // More than a VM keeps at hand.
        let others: Vec<KeyedCall> = (0..700).map(|_| KeyedCall::with_text(3_500)).collect();
        for batch in others.chunks(100) {
            let sends = batch.iter().enumerate();
            let answers = join_all(sends.map(|(index, call)| site.answer(index % 3, call))).await;
            expect_that!(answers, each(complete()));
        }
        for vm in 0..3 {
            let repeat = site.answer(vm, &first).await;
            expect_that!(repeat.replayed, eq(true));
            expect_that!(repeat.body, eq(&answer.body));
        }
        site.cluster.set_platform(json!({"log_down": true})).await;
        let repeat = site.answer(1, &first).await;
        expect_that!(
            (repeat.code(), repeat.ran()),
            eq(("outcome_unknown", "yes"))
        );
        site.check().await;
    });
}

#[googletest::test]
fn more_calls_than_the_log_has_room_for_wait_their_turn() {
    block_on(async {
        let site = Site::start().await;
        let change = json!({"max_appends_per_s": 12});
        site.cluster.set_platform(change).await;
        // Half a second of calls, so that many appends are refused as one too many.
        let rounds = 5;
        let calls: Vec<KeyedCall> = (0..rounds * 9).map(|_| KeyedCall::new()).collect();
        let sends = calls.iter().enumerate().map(async |(index, call)| {
            compio::time::sleep(ROUND * (index / 9) as u32).await;
            site.answer(index % 3, call).await
        });
        let answers = join_all(sends).await;
        expect_that!(answers, each(complete()));
        let journal = site.cluster.platform_journal().await;
        let refused = journal.iter().any(|line| line["kind"] == "append_refused");
        expect_that!(refused, eq(true));
        site.check().await;
    });
}

#[googletest::test]
fn a_claim_that_arrives_after_its_refusal_is_given_back() {
    block_on(async {
        let site = Site::start().await;
        site.logs[0].set(hold());
        let call = KeyedCall::new();
        let refusal = site.answer(0, &call).await;
        expect_that!(refusal, refused("log_unavailable"));
        let before = site.recorded().await;
        site.logs[0].set(Faults::default());
        site.wait_recorded(before + 1).await;
        site.run_once_healed(1, &call).await;
        site.check().await;
    });
}
