//! Whole answers: complete, or an explicit error and a cut, under failures on every leg.

use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::TcpStream;
use futures_util::future::join_all;
use googletest::prelude::*;
use rattanjunction::{Body, Connection, Shutdown, serve_http};
use serde_json::Value;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::{Condvar, Mutex};
use std::time::{Duration, Instant};
use workbench::cluster::{
    Cluster, PLATFORM_PORT, PROXY_PORT, Plan, RUNNER_PORT, VM_PORT, block_on,
};
use workbench::engine::EngineFaults;
use workbench::http_json;
use workbench::load_client::{Asker, End, Outcome, Question};
use workbench::proxy::{Faults, Proxy};
use workbench::sample_inventory::Shape;

const LIMIT: Duration = Duration::from_secs(30);
/// Tokens of an answer that takes about a second.
const LONG: u32 = 200;

/// Sites running at once, so that a machine with few cores keeps up.
const MAX_SITES: usize = 4;
static SITES: (Mutex<usize>, Condvar) = (Mutex::new(0), Condvar::new());

/// Counts a site as running until dropped.
struct Turn;

impl Turn {
    fn take() -> Self {
        let running = SITES.0.lock().expect("no holder panics");
        let free = SITES.1.wait_while(running, |running| *running >= MAX_SITES);
        *free.expect("no holder panics") += 1;
        Self
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        *SITES.0.lock().expect("no holder panics") -= 1;
        SITES.1.notify_one();
    }
}

/// A site whose runners are reached through proxies.
struct Site {
    cluster: Cluster,
    proxies: Vec<Rc<Proxy>>,
    _turn: Turn,
}

async fn start(change: impl FnOnce(&mut Plan, IpAddr)) -> Site {
    let turn = Turn::take();
    let ip = Cluster::pick_ip();
    let mut plan = Plan::new(Shape::small(), 3);
    (0..3).for_each(|index| detour(&mut plan, ip, RUNNER_PORT + index));
    change(&mut plan, ip);
    let legs = plan.detours.iter();
    let proxies = join_all(legs.map(|(to, listen)| Proxy::start(*listen, *to))).await;
    let cluster = Cluster::start_at(plan, ip).await;
    cluster.publish_and_settle(LIMIT).await;
    cluster.wait_spread(LIMIT).await;
    Site {
        cluster,
        proxies,
        _turn: turn,
    }
}

/// Puts a proxy before the process at a port.
fn detour(plan: &mut Plan, ip: IpAddr, port: u16) {
    let proxy = SocketAddr::new(ip, PROXY_PORT + plan.detours.len() as u16);
    plan.detours.push((SocketAddr::new(ip, port), proxy));
}

impl Site {
    /// Asks many like questions at once over all VMs, two of each.
    async fn ask_many(&self, count: usize, tokens: u32) -> Vec<(Question, Outcome)> {
        let asks = (0..count).map(|index| async move {
            let model = Shape::model_name(index % 3);
            let question = Question::new(&model, &format!("like {}", index / 2), tokens);
            let address = self.cluster.caller_address(index % 3);
            let outcome = Asker::default().ask(address, &question).await;
            (question, outcome)
        });
        join_all(asks).await
    }

    fn count(&self, kind: &str) -> usize {
        self.lines(kind).len()
    }

    fn lines(&self, kind: &str) -> Vec<Value> {
        (0..3)
            .flat_map(|index| self.cluster.runner_journal(index))
            .filter(|line| line["kind"] == kind)
            .collect()
    }

    async fn wait_running(&self, count: usize) {
        self.cluster
            .wait_for("requests run", LIMIT, async || self.count("run") >= count)
            .await;
        // A few tokens in, so that there is something to resume.
        compio::time::sleep(Duration::from_millis(150)).await;
    }

    async fn set_faults(&self, faults: &EngineFaults) {
        for index in 0..3 {
            http_json::post(self.cluster.runner_address(index), "/faults", faults)
                .await
                .expect("the engine answers");
        }
    }
}

fn expect_whole(answers: &[(Question, Outcome)]) {
    for (question, outcome) in answers {
        let expected = question.expected("1", None).text();
        expect_that!(outcome.end, eq(&End::Complete(expected)));
    }
}

fn is_error(outcome: &Outcome, status: u16, code: &str, ran: &str) -> bool {
    matches!(&outcome.end, End::Error(error)
        if error.status == status && error.code == code && error.ran == ran)
}

#[googletest::test]
fn streams_go_on_at_the_right_token_when_a_runner_is_killed() {
    block_on(async {
        let mut site = start(|_, _| {}).await;
        let mut runner = site.cluster.runners.remove(0);
        let kill = async {
            site.wait_running(12).await;
            runner.kill();
        };
        let (answers, ()) = futures_util::join!(site.ask_many(12, LONG), kill);
        expect_whole(&answers);
        let resumed = site.lines("run").into_iter();
        let later = resumed.filter(|run| run["from"].as_u64() > Some(0)).count();
        expect_that!(later, gt(0));
    });
}

#[googletest::test]
fn streams_go_on_when_their_connections_are_cut_late_and_again() {
    block_on(async {
        let site = start(|_, _| {}).await;
        let late = |delay_ms| Faults {
            delay_ms,
            ..Faults::default()
        };
        let faults = async {
            site.wait_running(12).await;
            for (index, proxy) in site.proxies.iter().enumerate() {
                // Answers come late, and those of one runner later than another's.
                proxy.set(late(10 * index as u64));
                proxy.cut();
                compio::time::sleep(Duration::from_millis(300)).await;
            }
            site.proxies.iter().for_each(|proxy| proxy.cut());
        };
        let (answers, ()) = futures_util::join!(site.ask_many(12, LONG), faults);
        expect_whole(&answers);
        expect_that!(site.count("cancelled"), gt(0));
    });
}

#[googletest::test]
fn a_late_copy_of_an_answer_does_not_reach_the_next_caller() {
    block_on(async {
        let site = start(|_, _| {}).await;
        for proxy in &site.proxies {
            proxy.set(Faults {
                repeats_answers: true,
                ..Faults::default()
            });
        }
        for index in 0..40 {
            let question = Question::new(&Shape::model_name(0), &format!("unlike {index}"), 5);
            let address = site.cluster.caller_address(0);
            let outcome = Asker::default().ask(address, &question).await;
            expect_whole(&[(question, outcome)]);
        }
    });
}

#[googletest::test]
fn a_killed_vm_is_seen_as_a_cut() {
    block_on(async {
        let mut site = start(|_, _| {}).await;
        let mut vm = site.cluster.vms.remove(1);
        let kill = async {
            site.wait_running(6).await;
            vm.kill();
        };
        let (answers, ()) = futures_util::join!(site.ask_many(6, LONG), kill);
        for (index, (question, outcome)) in answers.iter().enumerate() {
            let expected = question.expected("1", None).text();
            if index % 3 != 1 {
                expect_that!(outcome.end, eq(&End::Complete(expected)));
                continue;
            }
            let End::Cut(text) = &outcome.end else {
                panic!("not a cut: {:?}", outcome.end);
            };
            expect_true!(expected.starts_with(text.as_str()));
        }
        site.cluster
            .wait_for("the engines cancel", LIMIT, async || {
                site.count("cancelled") == 2
            })
            .await;
    });
}

#[googletest::test]
fn an_engine_that_ends_early_neither_truncates_nor_repeats() {
    block_on(async {
        let site = start(|_, _| {}).await;
        site.set_faults(&EngineFaults {
            end_after_finish: true,
            ..EngineFaults::default()
        })
        .await;
        expect_whole(&site.ask_many(6, 20).await);
        expect_that!(site.count("run"), eq(6));
        site.set_faults(&EngineFaults {
            end_before_finish: true,
            ..EngineFaults::default()
        })
        .await;
        for (_, outcome) in site.ask_many(6, 20).await {
            let explicit = is_error(&outcome, 200, "interrupted", "yes");
            expect_true!(explicit, "{:?}", outcome.end);
        }
    });
}

#[googletest::test]
fn without_any_runner_streams_end_in_an_error_and_requests_are_refused() {
    block_on(async {
        let mut site = start(|_, _| {}).await;
        let mut runners = std::mem::take(&mut site.cluster.runners);
        let kill = async {
            site.wait_running(6).await;
            runners.iter_mut().for_each(|runner| runner.kill());
        };
        let (answers, ()) = futures_util::join!(site.ask_many(6, LONG), kill);
        for (_, outcome) in &answers {
            let explicit = is_error(outcome, 200, "interrupted", "yes");
            expect_true!(explicit, "{:?}", outcome.end);
        }
        site.cluster
            .wait_for("no runner is up", LIMIT, async || {
                let status = site.cluster.status(0).await.unwrap_or_default();
                let runners = status["runners"].as_array().cloned().unwrap_or_default();
                !runners.is_empty() && runners.iter().all(|runner| runner["up"] == false)
            })
            .await;
        let asked = Instant::now();
        let question = Question::new("model-0", "refused", 20);
        let refused = Asker::default()
            .ask(site.cluster.caller_address(0), &question)
            .await;
        expect_true!(
            is_error(&refused, 503, "unavailable", "no"),
            "{:?}",
            refused.end
        );
        let End::Error(error) = refused.end else {
            return;
        };
        expect_that!(error.retry_after_s, some(gt(0)));
        // At once: the deadline is 30 s.
        expect_that!(asked.elapsed(), lt(Duration::from_secs(5)));
    });
}

#[googletest::test]
fn a_stream_waits_for_the_reload_of_the_last_copy() {
    block_on(async {
        let mut site = start(|_, _| {}).await;
        let question = Question::new("model-0", "long", LONG);
        let address = site.cluster.caller_address(0);
        let ask = async { Asker::default().ask(address, &question).await };
        let kill = async {
            site.wait_running(1).await;
            site.cluster
                .runners
                .iter_mut()
                .for_each(|runner| runner.kill());
            site.cluster.restart_runner(0);
        };
        let (outcome, ()) = futures_util::join!(ask, kill);
        expect_whole(&[(question.clone(), outcome)]);
    });
}

#[googletest::test]
fn a_caller_that_hangs_up_is_cancelled_at_the_engine() {
    block_on(async {
        let site = start(|plan, _| plan.max_batch = 1).await;
        let question = |index| Question::new("model-0", &format!("left {index}"), 2_000);
        let asks =
            (0..6).map(|index| {
                let address = site.cluster.caller_address(index % 3);
                let question = question(index);
                // Some are waiting at the engine by then, some are running.
                let limit = Duration::from_millis(400);
                async move {
                    compio::time::timeout(limit, Asker::default().ask(address, &question)).await
                }
            });
        for left in join_all(asks).await {
            expect_true!(left.is_err());
        }
        site.cluster
            .wait_for("the engines cancel", LIMIT, async || {
                site.count("cancelled") == 6
            })
            .await;
        expect_that!(site.count("finished"), eq(0));
    });
}

#[googletest::test]
fn a_deadline_before_the_first_token_is_told_and_cancelled() {
    block_on(async {
        let site = start(|plan, _| plan.max_batch = 1).await;
        // Every engine is kept busy, whichever models it holds; the others it refuses.
        let long = (0..9).map(|index| {
            let address = site.cluster.runner_address(index / 3);
            let model = Shape::model_name(index % 3);
            let mut question = Question::new(&model, &format!("long {index}"), 2 * LONG);
            question.version = Some("1".into());
            async move { Asker::default().ask(address, &question).await }
        });
        let late = async {
            site.cluster
                .wait_for("every engine is busy", LIMIT, async || {
                    let is_busy = |index| {
                        let journal = site.cluster.runner_journal(index);
                        journal.iter().any(|line| line["kind"] == "run")
                    };
                    (0..3).all(is_busy)
                })
                .await;
            let mut question = Question::new("model-0", "late", 20);
            question.deadline_ms = Some(500);
            Asker::default()
                .ask(site.cluster.caller_address(0), &question)
                .await
        };
        let (long, late) = futures_util::join!(join_all(long), late);
        expect_true!(is_error(&late, 503, "deadline", "yes"), "{:?}", late.end);
        expect_that!(late.total, lt(Duration::from_secs(5)));
        let answered = long.iter().filter(|outcome| outcome.text().is_some());
        expect_that!(site.count("cancelled"), eq(1));
        expect_that!(site.count("finished"), eq(answered.count()));
    });
}

#[googletest::test]
fn silent_runner_connections_are_replaced_mid_stream_and_idle() {
    block_on(async {
        let site = start(|_, _| {}).await;
        let silence = async {
            site.wait_running(12).await;
            site.proxies.iter().for_each(|proxy| proxy.silence());
        };
        let (answers, ()) = futures_util::join!(site.ask_many(12, LONG), silence);
        expect_whole(&answers);
        // Each VM now holds idle connections; they go silent too.
        site.proxies.iter().for_each(|proxy| proxy.silence());
        let mut asks = Vec::new();
        for vm in 0..3 {
            let mut question = Question::new("model-1", &format!("idle {vm}"), 20);
            question.deadline_ms = Some(5_000);
            let address = site.cluster.caller_address(vm);
            let outcome = Asker::default().ask(address, &question).await;
            expect_that!(outcome.total, lt(Duration::from_secs(5)));
            asks.push((question, outcome));
        }
        expect_whole(&asks);
    });
}

#[googletest::test]
fn silence_between_vms_and_to_the_platform_heals() {
    block_on(async {
        let site = start(|plan, ip| {
            detour(plan, ip, PLATFORM_PORT);
            (0..3).for_each(|vm| detour(plan, ip, VM_PORT + 3 * vm + 2));
        })
        .await;
        let cluster = &site.cluster;
        let accepted: u64 = site.proxies.iter().map(|proxy| proxy.accepted()).sum();
        site.proxies.iter().for_each(|proxy| proxy.silence());
        // The same inventory again is a new revision; it may be refused, never half taken.
        let mut revision = 0;
        while revision == 0 {
            revision = cluster
                .publish(0, &cluster.inventory, None)
                .await
                .unwrap_or(0);
        }
        cluster
            .wait_for(
                "the revision and all VMs are known everywhere",
                LIMIT,
                async || {
                    let mut known = true;
                    for vm in 0..3 {
                        let status = cluster.status(vm).await.unwrap_or_default();
                        let vms = status["vms"].as_array().cloned().unwrap_or_default();
                        let alive = vms.iter().filter(|vm| vm["alive"] == true).count();
                        known &= alive == 3 && status["revision"].as_u64() == Some(revision);
                    }
                    known
                },
            )
            .await;
        let after: u64 = site.proxies.iter().map(|proxy| proxy.accepted()).sum();
        expect_that!(after, gt(accepted));
        expect_whole(&site.ask_many(6, 20).await);
    });
}

#[googletest::test]
fn callers_that_go_silent_are_let_go() {
    block_on(async {
        let site = start(|_, _| {}).await;
        let address = site.cluster.caller_address(0);
        let mut heads = Vec::new();
        for head in ["", "POST /v1/chat/completions HTTP/1.1\r\n"] {
            heads.push(dial(address, head).await);
        }
        let body = "POST /v1/chat/completions HTTP/1.1\r\ncontent-length: 100\r\n\r\n{";
        heads.push(dial(address, body).await);
        for mut stream in heads {
            // Each is answered or closed by the VM, long before this limit.
            let read = read_to_end(&mut stream);
            expect_true!(compio::time::timeout(LIMIT, read).await.is_ok());
        }
    });
}

async fn dial(address: SocketAddr, head: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.expect("the VM accepts");
    stream
        .write_all(head.to_owned().into_bytes())
        .await
        .0
        .expect("the VM reads");
    stream
}

async fn read_to_end(stream: &mut TcpStream) {
    while matches!(stream.read(Vec::with_capacity(1_024)).await.0, Ok(count) if count > 0) {}
}

#[googletest::test]
fn an_answer_that_is_not_declared_whole_is_cut() {
    block_on(async {
        let listener = compio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let shutdown = Rc::new(Shutdown::default());
        let handler = |request: hyper::Request<hyper::body::Incoming>| async move {
            let (mut sender, body) = Body::answer(4);
            let whole = request.uri().path() == "/whole";
            compio::runtime::spawn(async move {
                sender.send("some".into()).await;
                if whole {
                    sender.mark_complete();
                }
            })
            .detach();
            hyper::Response::new(body)
        };
        compio::runtime::spawn(serve_http(listener, shutdown, handler)).detach();
        for (path, is_whole) in [("/whole", true), ("/dropped", false)] {
            let mut connection = Connection::open(address, LIMIT).await.unwrap();
            let request = hyper::Request::get(path).body(Body::empty()).unwrap();
            let response = connection.send(request).await.unwrap();
            let read = rattanjunction::read_body(response.into_body(), 1_024).await;
            expect_that!(read.is_ok(), eq(is_whole), "{path}");
        }
    });
}
