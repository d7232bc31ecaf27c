//! On the platform: what servers say of themselves in their answers is respected.

use futures_util::future::join;
use googletest::prelude::*;
use serde_json::json;
use std::time::{Duration, Instant};
use workbench::cluster::block_on;
use workbench::site::events::remaining_events;
use workbench::site::{
    Answer, CallerRequest, Site, StoreFaults, route, runner_service, send_steadily,
};

/// The header of a server that is about to leave.
const LEAVING: &str = "Server-Leaving";
/// How long it may take until a VM respects what a server said; half of what is allowed.
const RESPECTED_WITHIN: Duration = Duration::from_millis(1_000);
/// How long other VMs may take to learn of it.
const KNOWN_WITHIN: Duration = Duration::from_millis(1_500);

async fn send(site: &Site, vms: &[usize], duration: Duration) -> Vec<Answer> {
    send_steadily(site, vms, 40.0, duration, || CallerRequest::get("/books")).await
}

fn expect_all_served(answers: &[Answer]) {
    let served = answers.iter().filter(|answer| answer.status == Some(200));
    expect_that!(served.count(), eq(answers.len()));
}

/// The requests that reached a server after a point in time.
fn arrivals_after(site: &Site, server: usize, begin: Instant) -> usize {
    let arrivals = site.servers[server].arrivals();
    arrivals.iter().filter(|at| **at > begin).count()
}

#[googletest::test]
fn a_server_that_says_it_leaves_gets_no_more_requests_while_the_store_is_down() {
    block_on(async {
        let site = Site::start_plain(2, 1).await;
        site.store.set(StoreFaults {
            is_down: true,
            ..StoreFaults::default()
        });
        site.servers[0].set_header(LEAVING, Some("1"));
        expect_all_served(&send(&site, &[0], RESPECTED_WITHIN).await);
        let begin = Instant::now();
        expect_that!(site.servers[0].arrivals(), not(is_empty()));
        expect_all_served(&send(&site, &[0], Duration::from_secs(4)).await);
        expect_that!(arrivals_after(&site, 0, begin), eq(0));
    });
}

#[googletest::test]
fn a_leaving_server_whose_entry_lapses_and_comes_back_gets_no_more_requests() {
    block_on(async {
        let site = Site::start_plain(2, 1).await;
        site.servers[0].set_header(LEAVING, Some("1"));
        expect_all_served(&send(&site, &[0], RESPECTED_WITHIN).await);
        site.remove(&site.servers[0]);
        site.wait("the server is gone", async || {
            site.metric(0, "servers").await == Some(1.0)
        })
        .await;
        site.put_entry(&site.servers[0], "ready");
        site.wait("the server is listed", async || {
            site.metric(0, "servers").await == Some(2.0)
        })
        .await;
        let begin = Instant::now();
        expect_all_served(&send(&site, &[0], Duration::from_secs(2)).await);
        expect_that!(arrivals_after(&site, 0, begin), eq(0));
    });
}

#[googletest::test]
fn vms_that_a_leaving_server_has_not_answered_learn_of_it_from_others() {
    block_on(async {
        let site = Site::start_plain(2, 3).await;
        site.servers[0].set_header(LEAVING, Some("1"));
        expect_all_served(&send(&site, &[0], KNOWN_WITHIN).await);
        let begin = Instant::now();
        expect_all_served(&send(&site, &[1, 2], Duration::from_secs(2)).await);
        expect_that!(arrivals_after(&site, 0, begin), eq(0));
    });
}

#[googletest::test]
fn a_model_of_a_leaving_runner_is_loaded_on_another_one() {
    block_on(async {
        let holdings = vec![("llm", vec![("m0", vec![])]), ("llm", vec![])];
        let mut site = Site::start(holdings).await;
        site.configure(
            json!([route("/s/", "streaming", "llm")]),
            json!([runner_service("llm", &[("m0", 0)])]),
        );
        for server in &site.servers {
            server.script(|request| remaining_events(request, 3, 5));
        }
        site.start_vms(2);
        site.wait_ready().await;
        site.servers[0].set_header(LEAVING, Some("1"));
        let vms = [0, 1];
        let request = || CallerRequest::model("/s/x", "m0");
        send_steadily(&site, &vms, 10.0, Duration::from_secs(4), request).await;
        expect_that!(site.servers[1].holds("m0", None), eq(true));
        let begin = Instant::now();
        let answers = send_steadily(&site, &vms, 10.0, Duration::from_secs(2), request).await;
        expect_all_served(&answers);
        expect_that!(arrivals_after(&site, 0, begin), eq(0));
    });
}

/// The pause that a server asks for, and from when on it is counted.
const PAUSE: Duration = Duration::from_secs(3);
const PAUSE_RESPECTED_WITHIN: Duration = Duration::from_millis(500);
/// The requests that may still reach a server from one VM in the pause that it asked for.
const ALLOWED_IN_PAUSE: usize = 2;

/// The requests that reached a server from when it was to be left alone until its pause ended.
fn arrivals_in_pause(site: &Site, server: usize) -> usize {
    let arrivals = site.servers[server].arrivals();
    let first = *arrivals.first().expect("a request was turned away");
    let in_pause = |at: &&Instant| {
        let after = **at - first;
        after > PAUSE_RESPECTED_WITHIN && after < PAUSE
    };
    arrivals.iter().filter(in_pause).count()
}

#[googletest::test]
fn a_server_that_asks_for_a_pause_is_left_alone_while_others_serve() {
    block_on(async {
        let site = Site::start_plain(2, 2).await;
        site.servers[0].turn_away(Some("3"));
        expect_all_served(&send(&site, &[0, 1], PAUSE).await);
        expect_that!(arrivals_in_pause(&site, 0), le(2 * ALLOWED_IN_PAUSE));
    });
}

#[googletest::test]
fn requests_are_refused_at_once_while_the_only_server_pauses() {
    block_on(async {
        let site = Site::start_plain(1, 1).await;
        site.servers[0].turn_away(Some("3"));
        for answer in send(&site, &[0], PAUSE - PAUSE_RESPECTED_WITHIN).await {
            expect_that!(answer.status, some(eq(503)));
            expect_that!(answer.duration, lt(Duration::from_millis(500)));
            let retry_after_s = answer.header("retry-after").parse::<f64>();
            expect_that!(retry_after_s, ok(all!(gt(&0.0), lt(&4.0))));
        }
        expect_that!(arrivals_in_pause(&site, 0), le(ALLOWED_IN_PAUSE));
        site.servers[0].turn_away(None);
        compio::time::sleep(PAUSE_RESPECTED_WITHIN * 2).await;
        expect_all_served(&send(&site, &[0], Duration::from_secs(1)).await);
    });
}

#[googletest::test]
fn a_generation_waits_for_the_end_of_a_short_pause() {
    block_on(async {
        let mut site = Site::start(vec![("llm", vec![("m0", vec![])])]).await;
        let mut patient = route("/s/", "streaming", "llm");
        patient["target_latency_ms"] = json!(1_000);
        site.configure(
            json!([patient]),
            json!([runner_service("llm", &[("m0", 0)])]),
        );
        site.servers[0].script(|request| remaining_events(request, 3, 5));
        site.start_vms(1);
        site.wait_ready().await;
        let vms = [0];
        let request = || CallerRequest::model("/s/x", "m0");
        let second = Duration::from_secs(1);
        expect_all_served(&send_steadily(&site, &vms, 5.0, second, request).await);
        site.servers[0].turn_away(Some("0.3"));
        let one = Duration::from_millis(200);
        let answers = async {
            let answers = send_steadily(&site, &vms, 5.0, one, request).await;
            expect_all_served(&answers);
        };
        let end_of_pause = async {
            compio::time::sleep(Duration::from_millis(200)).await;
            site.servers[0].turn_away(None);
        };
        join(answers, end_of_pause).await;
    });
}
