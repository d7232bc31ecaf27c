//! On the platform: equal requests of many callers to servers of which some crash.

use googletest::prelude::*;
use serde_json::json;
use std::cmp::Reverse;
use std::time::Duration;
use workbench::cluster::block_on;
use workbench::site::{Caller, CallerRequest, ScriptStep, Site, plain, route, signed_answer};

/// How long a server takes for a request.
const SERVICE_TIME: Duration = Duration::from_millis(3_000);
/// The time between two copies of the request.
const PAUSE: Duration = Duration::from_millis(100);
/// How long a crashed server is down.
const DOWNTIME: Duration = Duration::from_millis(2_000);
/// The copies of the request for each server.
const COPIES_PER_SERVER: usize = 3;

fn receipt() -> CallerRequest {
    CallerRequest::post("/receipt", "days=1")
}

async fn receipt_site(servers: usize, vms: usize) -> Site {
    let mut site = Site::start(vec![("books", vec![]); servers]).await;
    site.configure(
        json!([route("/", "unsafe", "books")]),
        json!([plain("books")]),
    );
    site.start_vms(vms);
    site.wait_ready().await;
    for server in &site.servers {
        server.script(|call| {
            let answer = signed_answer(call.header("x-attempt-id"), 200, "whole");
            vec![ScriptStep::Wait(SERVICE_TIME), ScriptStep::Write(answer)]
        });
    }
    site
}

/// Lets two servers crash, the second one `gap` after the first, with copies of a sound request in
/// flight; returns how many of the copies sent after the servers are back are refused.
async fn refused_after_crashes(site: &Site, gap: Duration) -> usize {
    let send = |index: usize| {
        let address = site.front(index % site.vms.len());
        compio::runtime::spawn(async move { Caller::default().request(address, &receipt()).await })
    };
    let mut before = Vec::new();
    for index in 0..site.servers.len() * COPIES_PER_SERVER {
        before.push(send(index));
        compio::time::sleep(PAUSE).await;
    }
    let mut servers = site.servers.clone();
    servers.sort_by_key(|server| Reverse(server.runs().len()));
    servers.truncate(2);
    for server in &servers {
        expect_that!(server.runs(), not(is_empty()));
        server.die();
        compio::time::sleep(gap).await;
    }
    for answer in before {
        answer.await.expect("sending a request does not panic");
    }
    compio::time::sleep(DOWNTIME).await;
    for server in &servers {
        server.start_again().await;
        site.put_entry(server, "ready");
    }
    compio::time::sleep(Duration::from_millis(500)).await;
    let after: Vec<_> = (0..10).map(send).collect();
    let mut refused = 0;
    for answer in after {
        let answer = answer.await.expect("sending a request does not panic");
        refused += usize::from(answer.status != Some(200));
    }
    refused
}

#[googletest::test]
fn equal_requests_are_not_refused_for_good_after_two_of_nine_servers_crash_at_once() {
    for vms in [1, 3] {
        let refused = block_on(async {
            let site = receipt_site(9, vms).await;
            refused_after_crashes(&site, Duration::ZERO).await
        });
        expect_that!(refused, eq(0), "{vms} VMs");
    }
}

#[googletest::test]
fn equal_requests_are_not_refused_for_good_after_all_servers_of_two_crash_at_once() {
    let refused = block_on(async {
        let site = receipt_site(2, 2).await;
        refused_after_crashes(&site, Duration::ZERO).await
    });
    expect_that!(refused, eq(0));
}

#[googletest::test]
fn equal_requests_are_not_refused_for_good_after_two_of_nine_servers_crash_one_by_one() {
    for vms in [1, 3] {
        let refused = block_on(async {
            let site = receipt_site(9, vms).await;
            refused_after_crashes(&site, Duration::from_millis(700)).await
        });
        expect_that!(refused, eq(0), "{vms} VMs");
    }
}
