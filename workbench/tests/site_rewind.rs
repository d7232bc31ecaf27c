//! On the platform: the store comes back from an older copy, and offsets are given out again.

use googletest::prelude::*;
use serde_json::json;
use std::rc::Rc;
use std::time::{Duration, Instant};
use workbench::cluster::block_on;
use workbench::site::events::remaining_events;
use workbench::site::{
    Answer, Caller, CallerRequest, ServerStandIn, Site, StoreCopy, StoreFaults, organisation,
    plain, route, runner_service, send_steadily,
};

/// How long the store is away before it comes back.
const AWAY: Duration = Duration::from_millis(700);
/// Several reads of the directory by a VM that follows it.
const READ_TIME: Duration = Duration::from_millis(1_500);
/// How long an earlier leader may not have stepped down yet, and how long the next one may take to
/// claim leadership and to order a load.
const LEASE: Duration = Duration::from_secs(3);
const TAKEOVER_TIME: Duration = Duration::from_secs(4);
/// When servers write their entries again.
const REWRITE_DELAY: Duration = Duration::from_secs(4);

async fn plain_site(servers: usize) -> Site {
    let mut site = Site::start(vec![("books", vec![]); servers]).await;
    configure(&mut site, &["/books"]);
    site.start_vms(1);
    site.wait_ready().await;
    site
}

fn configure(site: &mut Site, prefixes: &[&str]) {
    let routes: Vec<_> = prefixes
        .iter()
        .map(|prefix| route(prefix, "safe", "books"))
        .collect();
    site.configure(json!(routes), json!([plain("books")]));
}

/// Has the store come back from a copy after a moment; `rewrite` runs while it is still away.
async fn rewind(site: &Site, copy: StoreCopy, rewrite: impl FnOnce(&Site)) {
    site.store.set(StoreFaults {
        is_down: true,
        ..StoreFaults::default()
    });
    compio::time::sleep(AWAY).await;
    site.store.come_back_from(copy);
    rewrite(site);
    site.store.set(StoreFaults::default());
}

async fn get(site: &Site, path: &str) -> Answer {
    Caller::default()
        .request(site.front(0), &CallerRequest::get(path))
        .await
}

async fn send(site: &Site, duration: Duration) -> Vec<Answer> {
    send_steadily(site, &[0], 20.0, duration, || CallerRequest::get("/books")).await
}

fn arrivals_after(server: &Rc<ServerStandIn>, begin: Instant) -> usize {
    let arrivals = server.arrivals();
    arrivals.iter().filter(|at| **at > begin).count()
}

#[googletest::test]
fn a_reader_whose_offset_lies_within_the_new_history_misses_no_server() {
    block_on(async {
        let mut site = plain_site(1).await;
        let copy = site.store.copy();
        for _ in 0..3 {
            site.put_entry(&site.servers[0], "ready");
        }
        compio::time::sleep(READ_TIME).await;
        // The new server's entry takes an offset that the VM has read in the old history.
        let added = site.add_server("books", vec![]).await;
        site.remove(&added);
        compio::time::sleep(READ_TIME).await;
        rewind(&site, copy, |site| {
            site.put_entry(&added, "ready");
            for _ in 0..4 {
                site.put_entry(&site.servers[0], "ready");
            }
        })
        .await;
        compio::time::sleep(READ_TIME).await;
        send(&site, Duration::from_secs(1)).await;
        expect_that!(added.arrivals(), not(is_empty()));
    });
}

#[googletest::test]
fn a_server_that_the_copy_lacks_still_serves_until_its_entry_is_written_again() {
    block_on(async {
        let mut site = plain_site(0).await;
        let copy = site.store.copy();
        let server = site.add_server("books", vec![]).await;
        site.wait("the server is listed", async || {
            site.metric(0, "servers").await == Some(1.0)
        })
        .await;
        rewind(&site, copy, |_| {}).await;
        let answers = send(&site, REWRITE_DELAY).await;
        let served = answers.iter().filter(|it| it.status == Some(200)).count();
        expect_that!(served, eq(answers.len()));
        site.put_entry(&server, "ready");
        compio::time::sleep(READ_TIME).await;
        expect_that!(get(&site, "/books").await.status, some(eq(200)));
    });
}

#[googletest::test]
fn a_server_that_left_is_not_revived_by_a_copy_that_still_lists_it() {
    block_on(async {
        let site = plain_site(2).await;
        let copy = site.store.copy();
        site.remove(&site.servers[0]);
        site.wait("the server is gone", async || {
            site.metric(0, "servers").await == Some(1.0)
        })
        .await;
        // Far beyond the time within which an entry that lapsed may come back.
        compio::time::sleep(REWRITE_DELAY).await;
        rewind(&site, copy, |_| {}).await;
        compio::time::sleep(READ_TIME).await;
        let begin = Instant::now();
        send(&site, Duration::from_secs(1)).await;
        expect_that!(arrivals_after(&site.servers[0], begin), eq(0));
    });
}

#[googletest::test]
fn a_configuration_in_force_is_not_replaced_by_the_older_one_of_a_copy() {
    block_on(async {
        let mut site = plain_site(1).await;
        let copy = site.store.copy();
        configure(&mut site, &["/books", "/new/"]);
        site.wait("the change is in force", async || {
            get(&site, "/new/").await.status == Some(200)
        })
        .await;
        rewind(&site, copy, |_| {}).await;
        let request = || CallerRequest::get("/new/");
        let answers = send_steadily(&site, &[0], 20.0, READ_TIME, request).await;
        let served = answers.iter().filter(|it| it.status == Some(200)).count();
        expect_that!(served, eq(answers.len()));
        // A later change is still noticed.
        configure(&mut site, &["/books", "/new/", "/newer/"]);
        site.wait("the later change is in force", async || {
            get(&site, "/newer/").await.status == Some(200)
        })
        .await;
    });
}

#[googletest::test]
fn a_withdrawn_key_is_not_accepted_by_a_vm_that_starts_after_the_store_came_back() {
    block_on(async {
        let mut site = Site::start(vec![("books", vec![])]).await;
        site.organisations = Some(json!([organisation("north", &["old-key", "new-key"])]));
        configure(&mut site, &["/books"]);
        site.start_vms(1);
        site.wait_ready().await;
        let copy = site.store.copy();
        site.organisations = Some(json!([organisation("north", &["new-key"])]));
        configure(&mut site, &["/books"]);
        let status = async |site: &Site, vm: usize| {
            let request = CallerRequest::get("/books").with("X-Credential", "old-key");
            let answer = Caller::default().request(site.front(vm), &request).await;
            answer.status
        };
        site.wait("the key is withdrawn", async || {
            status(&site, 0).await == Some(401)
        })
        .await;
        rewind(&site, copy, |_| {}).await;
        site.start_vms(1);
        let begin = Instant::now();
        let mut accepted = 0;
        while begin.elapsed() < READ_TIME * 2 {
            accepted += usize::from(status(&site, 1).await == Some(200));
            compio::time::sleep(Duration::from_millis(50)).await;
        }
        expect_that!(accepted, eq(0));
    });
}

#[googletest::test]
fn orders_are_not_stuck_behind_a_fence_of_the_lost_history() {
    block_on(async {
        let holdings = vec![("llm", vec![("m0", vec![]), ("m1", vec![])]); 2];
        let mut site = Site::start(holdings).await;
        site.is_fenced = true;
        for server in &site.servers {
            server.script(|request| remaining_events(request, 3, 5));
        }
        site.configure(
            json!([route("/s/", "streaming", "llm")]),
            json!([runner_service("llm", &[("m0", 0), ("m1", 0)])]),
        );
        site.start_vms(2);
        site.wait_ready().await;
        let leader = async |site: &Site| {
            let mut leaders = Vec::new();
            for vm in 0..2 {
                if site.metric(vm, "is_leading").await == Some(1.0) {
                    leaders.push(vm);
                }
            }
            (leaders.len() == 1).then(|| leaders[0])
        };
        site.wait("there is a leader", async || leader(&site).await.is_some())
            .await;
        let copy = site.store.copy();
        // Leadership changes hands three times, and each leader gives an order.
        for _ in 0..3 {
            let current = leader(&site).await.expect("there is one leader");
            site.vms[current].kill();
            site.wait("another VM leads", async || {
                leader(&site).await.is_some_and(|vm| vm != current)
            })
            .await;
            let before = site.servers[0].orders().len();
            site.servers[0].lose_model("m1");
            site.wait("the lost model is ordered again", async || {
                site.servers[0].orders().len() > before
            })
            .await;
            site.restart_vm(current);
            site.wait_ready().await;
        }
        rewind(&site, copy, |_| {}).await;
        let begin = Instant::now();
        for server in &site.servers {
            server.lose_model("m1");
        }
        site.wait("the lost model is loaded again", async || {
            let mut servers = site.servers.iter();
            servers.any(|server| server.holds("m1", None))
        })
        .await;
        expect_that!(begin.elapsed(), lt(LEASE + TAKEOVER_TIME));
    });
}
