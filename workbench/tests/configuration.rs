//! Publications under failure: one order for all, in force everywhere, never back.

use googletest::prelude::*;
use nix::sys::signal::Signal;
use rattanjunction::Inventory;
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use workbench::cluster::{Cluster, PROXY_PORT, Plan, block_on};
use workbench::http_json;
use workbench::load_client::{Asker, End, Question};
use workbench::proxy::{Faults, Proxy};
use workbench::sample_inventory::Shape;

const LIMIT: Duration = Duration::from_secs(30);
/// In force everywhere after acceptance, by the brief.
const IN_FORCE: Duration = Duration::from_secs(3);
/// How long an answer to an operator may take, whatever the log does.
const ANSWER_LIMIT: Duration = Duration::from_secs(5);
/// After how long without a record a log counts as quiet.
const QUIET: Duration = Duration::from_secs(1);
/// How often a publication is tried until it is the record that is held.
const PUBLISH_TRIES: usize = 5;
/// The shortest retention that the settings allow.
const RETENTION_MS: u64 = 10_000;

async fn start(retention_ms: u64) -> Cluster {
    let mut plan = Plan::new(Shape::small(), 3);
    plan.platform.retention_ms = retention_ms;
    let cluster = Cluster::start(plan).await;
    cluster.publish_and_settle(LIMIT).await;
    cluster
}

/// The first inventory with another deadline for its first caller.
fn changed(cluster: &Cluster, deadline_ms: u64) -> Inventory {
    let mut inventory = cluster.inventory.clone();
    inventory.callers[0].deadline_ms = deadline_ms;
    inventory
}

async fn revision(cluster: &Cluster, vm: usize) -> u64 {
    let status = cluster.status(vm).await;
    status
        .and_then(|status| status["revision"].as_u64())
        .unwrap_or(0)
}

/// The deadline by which an inventory of this test is known on a VM.
async fn deadline_in_force(cluster: &Cluster, vm: usize) -> u64 {
    let inventory = http_json::get(cluster.operator_address(vm), "/inventory").await;
    inventory
        .and_then(|answer| answer["inventory"]["callers"][0]["deadline_ms"].as_u64())
        .unwrap_or(0)
}

async fn wait_in_force(cluster: &Cluster, wanted: u64, limit: Duration) {
    cluster
        .wait_for(
            &format!("revision {wanted} everywhere"),
            limit,
            async || {
                for vm in 0..3 {
                    if revision(cluster, vm).await != wanted {
                        return false;
                    }
                }
                true
            },
        )
        .await;
}

/// The offset from which on the log still keeps the control stream, and its end.
async fn log_bounds(cluster: &Cluster) -> (u64, u64) {
    let path = "/streams/control/records?from=0&wait_ms=0";
    let page = http_json::get(cluster.platform_address(), path).await;
    let page = page.expect("the log answers");
    (
        page["first"].as_u64().unwrap_or(0),
        page["end"].as_u64().unwrap_or(0),
    )
}

async fn wait_lapsed(cluster: &Cluster, offset: u64) {
    cluster
        .wait_for("the records lapse", LIMIT, async || {
            log_bounds(cluster).await.0 > offset
        })
        .await;
}

/// Waits until a model answers through a VM.
async fn wait_serving(cluster: &Cluster, vm: usize, limit: Duration) {
    let question = Question::new("model-0", "still there", 5);
    let expected = question.expected("1", None).text();
    cluster
        .wait_for(&format!("vm-{vm} serves"), limit, async || {
            let outcome = Asker::default()
                .ask(cluster.caller_address(vm), &question)
                .await;
            outcome.end == End::Complete(expected.clone())
        })
        .await;
}

/// Watches the revisions that VMs report, until dropped.
struct Watch {
    highest: RefCell<[u64; 3]>,
    reverts: RefCell<Vec<(usize, u64, u64)>>,
    looks: Cell<u64>,
}

impl Watch {
    fn new() -> Self {
        Self {
            highest: RefCell::default(),
            reverts: RefCell::default(),
            looks: Cell::new(0),
        }
    }

    /// Looks at every VM without end; one that has no revision yet says nothing.
    async fn run(&self, cluster: &Cluster) {
        loop {
            for vm in 0..3 {
                let seen = revision(cluster, vm).await;
                let highest = self.highest.borrow()[vm];
                if seen > 0 && seen < highest {
                    self.reverts.borrow_mut().push((vm, highest, seen));
                }
                self.highest.borrow_mut()[vm] = highest.max(seen);
                self.looks.set(self.looks.get() + 1);
            }
            compio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    async fn during<T>(&self, cluster: &Cluster, work: impl Future<Output = T>) -> T {
        let work = std::pin::pin!(work);
        let watch = std::pin::pin!(self.run(cluster));
        match futures_util::future::select(work, watch).await {
            futures_util::future::Either::Left((output, _)) => output,
            futures_util::future::Either::Right(((), _)) => unreachable!("the watch has no end"),
        }
    }
}

#[googletest::test]
fn of_racing_operators_one_is_accepted_and_the_others_learn_what_they_lost_to() {
    block_on(async {
        let cluster = start(3_600_000).await;
        for round in 0..5 {
            let base = revision(&cluster, 0).await;
            wait_in_force(&cluster, base, IN_FORCE).await;
            let made: Vec<Inventory> = (0..3)
                .map(|vm| changed(&cluster, 11_000 + 10 * round + vm))
                .collect();
            let (a, b, c) = futures_util::join!(
                cluster.publish(0, &made[0], Some(base)),
                cluster.publish(1, &made[1], Some(base)),
                cluster.publish(2, &made[2], Some(base))
            );
            let answers = [a, b, c];
            let accepted: Vec<u64> = answers
                .iter()
                .filter_map(|answer| answer.as_ref().ok().copied())
                .collect();
            assert_that!(accepted.len(), eq(1), "{answers:?}");
            for (status, answer) in answers.iter().filter_map(|answer| answer.as_ref().err()) {
                expect_that!(*status, eq(409));
                expect_that!(answer["error"]["revision"], eq(&json!(accepted[0])));
                expect_that!(answer["error"]["base"], eq(&json!(base)));
            }
            wait_in_force(&cluster, accepted[0], IN_FORCE).await;
            let winner = answers
                .iter()
                .position(|answer| answer.is_ok())
                .unwrap_or(0);
            for vm in 0..3 {
                let deadline_ms = made[winner].callers[0].deadline_ms;
                expect_that!(deadline_in_force(&cluster, vm).await, eq(deadline_ms));
            }
        }
    });
}

#[googletest::test]
fn a_publication_whose_append_answer_is_lost_counts_once() {
    block_on(async {
        let cluster = start(3_600_000).await;
        cluster
            .set_platform(json!({"lose_append_answers": true}))
            .await;
        let base = revision(&cluster, 0).await;
        let (inventory, other) = (changed(&cluster, 12_000), changed(&cluster, 12_001));
        let (first, second) = futures_util::join!(
            cluster.publish(0, &inventory, Some(base)),
            cluster.publish(1, &other, Some(base))
        );
        cluster
            .set_platform(json!({"lose_append_answers": false}))
            .await;
        let accepted = [&first, &second]
            .into_iter()
            .find_map(|answer| answer.as_ref().ok().copied());
        expect_that!(first.is_ok(), not(eq(second.is_ok())));
        let accepted = accepted.expect("one is accepted");
        wait_in_force(&cluster, accepted, IN_FORCE).await;
        // Nothing that is sent again changes it any more.
        let next = cluster
            .publish(2, &changed(&cluster, 12_002), Some(accepted))
            .await;
        let next = next.expect("the revision told is the one in force");
        wait_in_force(&cluster, next, IN_FORCE).await;
    });
}

#[googletest::test]
fn a_refused_publication_never_comes_and_an_unanswered_one_is_called_unknown() {
    block_on(async {
        let cluster = start(3_600_000).await;
        let base = revision(&cluster, 0).await;
        cluster.set_platform(json!({"log_down": true})).await;
        let asked = Instant::now();
        let refused = cluster
            .publish(0, &changed(&cluster, 13_000), Some(base))
            .await;
        let (status, answer) = refused.expect_err("the log is down");
        expect_that!(status, eq(503));
        expect_that!(answer["error"]["ran"], eq(&json!("no")));
        expect_that!(asked.elapsed(), lt(ANSWER_LIMIT));
        cluster
            .set_platform(json!({"log_down": false, "log_silent": true}))
            .await;
        let asked = Instant::now();
        let unknown = cluster
            .publish(1, &changed(&cluster, 13_001), Some(base))
            .await;
        let (status, answer) = unknown.expect_err("the log is silent");
        expect_that!(asked.elapsed(), lt(ANSWER_LIMIT));
        expect_that!(status, eq(504), "{answer}");
        expect_that!(answer["error"]["ran"], eq(&json!("unknown")));
        cluster.set_platform(json!({"log_silent": false})).await;
        let last = Cell::new(0);
        cluster
            .wait_for("a publication is accepted again", LIMIT, async || {
                let next = cluster.publish(0, &changed(&cluster, 13_002), None).await;
                last.set(next.unwrap_or(0));
                last.get() > 0
            })
            .await;
        wait_in_force(&cluster, last.get(), IN_FORCE).await;
        let journal = log_of(&cluster).await;
        expect_that!(journal, not(contains_substring("\"deadline_ms\":13000")));
    });
}

#[googletest::test]
fn silent_connections_to_the_log_do_not_hold_a_publication_up() {
    block_on(async {
        let ip = Cluster::pick_ip();
        let mut plan = Plan::new(Shape::small(), 3);
        let (log, address) = (SocketAddr::new(ip, 20_000), SocketAddr::new(ip, PROXY_PORT));
        plan.detours = vec![(log, address)];
        let proxy = Proxy::start(address, log).await;
        let cluster = Cluster::start_at(plan, ip).await;
        cluster.publish_and_settle(LIMIT).await;
        for round in 0..2 {
            proxy.silence();
            let made = changed(&cluster, 17_000 + round);
            let accepted = cluster.publish(0, &made, None).await;
            let accepted = accepted.expect("new connections work");
            wait_in_force(&cluster, accepted, IN_FORCE).await;
        }
    });
}

/// Waits until no record has come for a second.
async fn wait_quiet(cluster: &Cluster) {
    let seen = Cell::new((0, Instant::now()));
    cluster
        .wait_for("no record for a second", LIMIT, async || {
            let (_, end) = log_bounds(cluster).await;
            let (seen_end, since) = seen.get();
            if end != seen_end {
                seen.set((end, Instant::now()));
                return false;
            }
            since.elapsed() > QUIET
        })
        .await;
}

/// Publishes at VM 0 while the proxy holds its requests to the log, until the publication itself
/// is what is held. One that waits behind another record of this VM is refused as not recorded;
/// that has to be true: it does not come into force when the log takes requests again.
async fn publish_held(cluster: &Cluster, proxy: &Proxy, inventory: &Inventory) {
    let before = deadline_in_force(cluster, 1).await;
    for _ in 0..PUBLISH_TRIES {
        proxy.set(Faults {
            hold_requests: true,
            ..Faults::default()
        });
        let answer = cluster.publish(0, inventory, None).await;
        let (status, answer) = answer.expect_err("the append is held");
        if status == 504 {
            return;
        }
        expect_that!(status, eq(503), "{answer}");
        proxy.set(Faults::default());
        wait_quiet(cluster).await;
        expect_that!(deadline_in_force(cluster, 1).await, eq(before), "{answer}");
    }
    panic!("no publication was held in {PUBLISH_TRIES} tries");
}

#[googletest::test]
fn a_publication_called_unknown_may_land_when_its_vm_is_gone() {
    block_on(async {
        let ip = Cluster::pick_ip();
        let mut plan = Plan::new(Shape::small(), 3);
        let log = SocketAddr::new(ip, 20_000);
        let address = SocketAddr::new(ip, PROXY_PORT);
        plan.vm_settings = vec![(0, json!({"log_address": address}))];
        let proxy = Proxy::start(address, log).await;
        let mut cluster = Cluster::start_at(plan, ip).await;
        cluster.publish_and_settle(LIMIT).await;
        let made = changed(&cluster, 18_000);
        publish_held(&cluster, &proxy, &made).await;
        cluster.vms[0].kill();
        proxy.set(Faults::default());
        cluster
            .wait_for("the publication lands", LIMIT, async || {
                deadline_in_force(&cluster, 1).await == 18_000
                    && deadline_in_force(&cluster, 2).await == 18_000
            })
            .await;
    });
}

#[googletest::test]
fn a_publication_refused_as_not_recorded_never_comes_into_force() {
    block_on(async {
        let ip = Cluster::pick_ip();
        let mut plan = Plan::new(Shape::small(), 3);
        let log = SocketAddr::new(ip, 20_000);
        let address = SocketAddr::new(ip, PROXY_PORT);
        plan.vm_settings = vec![(0, json!({"log_address": address}))];
        let proxy = Proxy::start(address, log).await;
        let cluster = Cluster::start_at(plan, ip).await;
        cluster.publish_and_settle(LIMIT).await;
        let (first, second) = (changed(&cluster, 18_000), changed(&cluster, 19_000));
        let behind = async {
            compio::time::sleep(Duration::from_millis(300)).await;
            cluster.publish(0, &second, None).await
        };
        let (held, behind) = futures_util::join!(publish_held(&cluster, &proxy, &first), behind);
        let () = held;
        let (status, answer) = behind.expect_err("another append is held before it");
        expect_that!(status, eq(503), "{answer}");
        proxy.set(Faults::default());
        wait_quiet(&cluster).await;
        expect_that!(deadline_in_force(&cluster, 1).await, eq(18_000));
    });
}

#[googletest::test]
fn a_configuration_that_nobody_knows_any_more_is_missed_and_started_anew() {
    block_on(async {
        let mut cluster = start(RETENTION_MS).await;
        for vm in 0..3 {
            cluster.vms[vm].kill();
        }
        let (_, end) = log_bounds(&cluster).await;
        wait_lapsed(&cluster, end - 1).await;
        for vm in 0..3 {
            cluster.restart_vm(vm);
        }
        cluster
            .wait_for("the loss is told", LIMIT, async || {
                let health = http_json::get(cluster.operator_address(0), "/health").await;
                health.is_some_and(|health| health["warnings"].to_string().contains("not known"))
            })
            .await;
        let refused = cluster.publish(0, &cluster.inventory, Some(0)).await;
        let refused = refused.expect_err("nothing is known").0;
        expect_that!(refused, eq(503));
        let body = json!({"start_anew": true, "inventory": &cluster.inventory});
        let answer = http_json::post(cluster.operator_address(0), "/publish", &body).await;
        let (_, answer) = answer.expect("an answer");
        let revision = answer["revision"].as_u64().expect("it is accepted");
        wait_in_force(&cluster, revision, IN_FORCE).await;
        wait_serving(&cluster, 2, LIMIT).await;
        let again = http_json::post(cluster.operator_address(1), "/publish", &body).await;
        expect_that!(again.expect("an answer").0.as_u16(), eq(409));
    });
}

#[googletest::test]
fn a_vm_whose_record_is_covered_by_a_peers_state_writes_again() {
    block_on(async {
        let ip = Cluster::pick_ip();
        let mut plan = Plan::new(Shape::small(), 3);
        let address = SocketAddr::new(ip, PROXY_PORT);
        plan.vm_settings = vec![(0, json!({"log_address": address}))];
        let proxy = Proxy::start(address, SocketAddr::new(ip, 20_000)).await;
        let cluster = Cluster::start_at(plan, ip).await;
        cluster.publish_and_settle(LIMIT).await;
        // The record lands, and its VM hears of it from its peers alone.
        proxy.set(Faults {
            drop_answers: true,
            ..Faults::default()
        });
        let made = changed(&cluster, 19_000);
        let answer = cluster.publish(0, &made, None).await;
        let (status, answer) = answer.expect_err("the log's answers are lost");
        expect_that!(status, eq(504), "{answer}");
        cluster
            .wait_for("the publication is in force", LIMIT, async || {
                let mut all = true;
                for vm in 0..3 {
                    all &= deadline_in_force(&cluster, vm).await == 19_000;
                }
                all
            })
            .await;
        proxy.set(Faults::default());
        let made = changed(&cluster, 19_001);
        let next = Cell::new(0);
        cluster
            .wait_for("its VM publishes again", LIMIT, async || {
                next.set(cluster.publish(0, &made, None).await.unwrap_or(0));
                next.get() > 0
            })
            .await;
        wait_in_force(&cluster, next.get(), IN_FORCE).await;
    });
}

/// All that the control stream holds.
async fn log_of(cluster: &Cluster) -> String {
    let path = "/streams/control/records?from=0&wait_ms=0";
    let page = http_json::get(cluster.platform_address(), path).await;
    page.unwrap_or(Value::Null).to_string()
}

#[googletest::test]
fn revisions_only_grow_while_vms_restart_in_turn_and_all_at_once() {
    block_on(async {
        let mut cluster = start(3_600_000).await;
        let watch = Watch::new();
        for round in 0..4 {
            let restarted: Vec<usize> = if round < 3 {
                vec![round]
            } else {
                vec![0, 1, 2]
            };
            for vm in &restarted {
                cluster.restart_vm(*vm);
            }
            let cluster = &cluster;
            watch
                .during(cluster, async {
                    let deadline_ms = 14_000 + round as u64;
                    let accepted = Cell::new(0);
                    cluster
                        .wait_for("a publication is accepted", LIMIT, async || {
                            let vm = if round < 3 { (round + 1) % 3 } else { 0 };
                            let made = changed(cluster, deadline_ms);
                            let answer = cluster.publish(vm, &made, None).await;
                            accepted.set(answer.unwrap_or(0));
                            accepted.get() > 0
                        })
                        .await;
                    wait_in_force(cluster, accepted.get(), LIMIT).await;
                    for vm in 0..3 {
                        wait_serving(cluster, vm, LIMIT).await;
                    }
                })
                .await;
        }
        expect_that!(*watch.reverts.borrow(), is_empty());
        expect_that!(watch.looks.get(), gt(30));
    });
}

#[googletest::test]
fn a_vm_started_or_woken_past_retention_knows_the_revision_in_force() {
    block_on(async {
        let mut cluster = start(RETENTION_MS).await;
        cluster.vms[1].signal(Signal::SIGSTOP);
        let accepted = cluster.publish(0, &changed(&cluster, 15_000), None).await;
        let accepted = accepted.expect("two VMs are enough");
        let (_, end) = log_bounds(&cluster).await;
        wait_lapsed(&cluster, end).await;
        cluster.vms[1].signal(Signal::SIGCONT);
        cluster.restart_vm(2);
        wait_in_force(&cluster, accepted, LIMIT).await;
        // Without any VM that knows it, what counts is in the log.
        for vm in 0..3 {
            cluster.vms[vm].kill();
        }
        for vm in 0..3 {
            cluster.restart_vm(vm);
        }
        wait_in_force(&cluster, accepted, LIMIT).await;
        for vm in 1..3 {
            let base = revision(&cluster, 0).await;
            let made = changed(&cluster, 15_000 + vm as u64);
            let next = cluster.publish(vm, &made, Some(base)).await;
            let next = next.expect("a VM that came late writes as well");
            wait_in_force(&cluster, next, IN_FORCE).await;
        }
    });
}

#[googletest::test]
fn a_fresh_vm_serves_while_the_log_is_down_and_after_all_records_have_lapsed() {
    block_on(async {
        let mut cluster = start(RETENTION_MS).await;
        let base = cluster.publish(0, &changed(&cluster, 16_000), None).await;
        let base = base.expect("accepted");
        wait_in_force(&cluster, base, IN_FORCE).await;
        cluster.set_platform(json!({"log_down": true})).await;
        cluster.restart_vm(2);
        wait_serving(&cluster, 2, Duration::from_secs(10)).await;
        expect_that!(revision(&cluster, 2).await, eq(base));
        // The log forgets everything, and another VM starts from nothing, with no list either.
        cluster.set_platform(json!({"list_down": true})).await;
        compio::time::sleep(Duration::from_millis(RETENTION_MS)).await;
        cluster.restart_vm(1);
        wait_serving(&cluster, 1, Duration::from_secs(10)).await;
        cluster
            .set_platform(json!({"log_down": false, "list_down": false}))
            .await;
        cluster.restart_vm(0);
        let watch = Watch::new();
        watch
            .during(&cluster, async {
                wait_in_force(&cluster, base, LIMIT).await;
                let made = changed(&cluster, 16_001);
                let next = Cell::new(0);
                cluster
                    .wait_for("a publication is accepted", LIMIT, async || {
                        let answer = cluster.publish(0, &made, Some(base)).await;
                        next.set(answer.unwrap_or(0));
                        next.get() > 0
                    })
                    .await;
                wait_in_force(&cluster, next.get(), LIMIT).await;
            })
            .await;
        expect_that!(*watch.reverts.borrow(), is_empty());
    });
}

#[googletest::test]
fn a_vm_starts_although_the_log_takes_long_to_arrive() {
    block_on(async {
        let ip = Cluster::pick_ip();
        let mut plan = Plan::new(Shape::small(), 1);
        let address = SocketAddr::new(ip, PROXY_PORT);
        plan.vm_settings = vec![(0, json!({"log_address": address}))];
        let proxy = Proxy::start(address, SocketAddr::new(ip, 20_000)).await;
        let mut cluster = Cluster::start_at(plan, ip).await;
        cluster.publish_and_settle(LIMIT).await;
        let before = revision(&cluster, 0).await;
        let path = "/streams/control/records?from=0&wait_ms=0";
        let page = http_json::get(cluster.platform_address(), path).await;
        let page_bytes = page.expect("the log answers").to_string().len() as u64;
        cluster.vms[0].kill();
        proxy.set(Faults {
            // The page takes three seconds.
            throttle_bytes_per_s: page_bytes / 3,
            ..Faults::default()
        });
        cluster.restart_vm(0);
        cluster
            .wait_for("the log is folded", LIMIT, async || {
                revision(&cluster, 0).await == before
            })
            .await;
    });
}
