//! On the platform: the rate limits that servers state hold over all VMs together.

use googletest::prelude::*;
use std::time::{Duration, Instant};
use workbench::cluster::block_on;
use workbench::site::{Answer, CallerRequest, Site, send_steadily};

/// The header in which a server states its limit.
const RATE_LIMIT: &str = "Server-Limit";
/// The window in which the requests at a limited server are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// How long it may take until all VMs respect a limit.
const SETTLING_TIME: Duration = Duration::from_millis(1_500);

/// The requests that a server with this limit may get in [`WINDOW`].
fn allowed(rate_per_s: f64) -> usize {
    (rate_per_s * WINDOW.as_secs_f64() * 1.5) as usize + 5
}

async fn send(site: &Site, requests_per_s: f64, duration: Duration) -> Vec<Answer> {
    let vms: Vec<usize> = (0..site.vms.len()).collect();
    let request = || CallerRequest::get("/books");
    send_steadily(site, &vms, requests_per_s, duration, request).await
}

fn served(answers: &[Answer]) -> usize {
    let served = answers.iter().filter(|answer| answer.status == Some(200));
    served.count()
}

#[googletest::test]
fn a_servers_rate_limit_holds_over_all_vms_while_other_servers_take_the_rest() {
    block_on(async {
        let site = Site::start_plain(3, 6).await;
        send(&site, 60.0, Duration::from_secs(1)).await;
        site.servers[0].set_header(RATE_LIMIT, Some("3"));
        let stated_at = Instant::now();
        let answers = send(&site, 60.0, Duration::from_secs(9)).await;
        let arrived = site.servers[0].max_arrivals_within(WINDOW, stated_at + SETTLING_TIME);
        expect_that!(arrived, le(allowed(3.0)));
        // It still takes a part of what it allows.
        expect_that!(arrived, ge(4));
        expect_that!(served(&answers), eq(answers.len()));
    });
}

#[googletest::test]
fn requests_beyond_the_limit_of_the_only_server_are_refused_at_once() {
    block_on(async {
        let site = Site::start_plain(1, 6).await;
        site.servers[0].set_header(RATE_LIMIT, Some("4.5"));
        send(&site, 10.0, Duration::from_secs(2)).await;
        let begin = Instant::now();
        let answers = send(&site, 30.0, Duration::from_secs(8)).await;
        let arrived = site.servers[0].max_arrivals_within(WINDOW, begin);
        expect_that!(arrived, le(allowed(4.5)));
        // Half of what the limit allows, while demand exceeds it several times.
        expect_that!(served(&answers), ge(18));
        for answer in answers.iter().filter(|it| it.status != Some(200)) {
            expect_that!(answer.status, some(eq(503)));
            expect_that!(answer.header("retry-after").parse::<f64>(), ok(gt(&0.0)));
            expect_that!(answer.duration, lt(Duration::from_secs(1)));
        }
    });
}

#[googletest::test]
fn requests_within_the_limit_of_the_only_server_are_served() {
    block_on(async {
        let site = Site::start_plain(1, 6).await;
        site.servers[0].set_header(RATE_LIMIT, Some("8"));
        send(&site, 4.0, Duration::from_secs(3)).await;
        let answers = send(&site, 4.0, Duration::from_secs(8)).await;
        // A VM learns of the requests of others with a delay, so it may refuse a few of them.
        expect_that!(served(&answers) * 10, ge(answers.len() * 9));
    });
}

#[googletest::test]
fn a_server_that_lifts_its_rate_limit_gets_all_requests_again() {
    block_on(async {
        let site = Site::start_plain(1, 6).await;
        site.servers[0].set_header(RATE_LIMIT, Some("3"));
        send(&site, 30.0, Duration::from_secs(4)).await;
        site.servers[0].set_header(RATE_LIMIT, None);
        send(&site, 30.0, Duration::from_secs(3)).await;
        let answers = send(&site, 30.0, Duration::from_secs(2)).await;
        expect_that!(served(&answers), eq(answers.len()));
    });
}
