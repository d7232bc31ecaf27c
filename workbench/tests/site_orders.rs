//! On the platform: models are placed by orders of one holder at a time.

use googletest::prelude::*;
use serde_json::Value;
use serde_json::json;
use std::time::Duration;
use workbench::cluster::block_on;
use workbench::site::{Caller, CallerRequest, Site, StoreFaults, route, runner_service};

async fn site(vms: usize) -> Site {
    site_of(vms, false).await
}

async fn site_of(vms: usize, is_fenced: bool) -> Site {
    let mut site = Site::start(vec![
        ("llm", vec![("m0", vec![]), ("m1", vec![])]),
        ("llm", vec![("m0", vec![]), ("m1", vec![])]),
        ("llm", vec![("m0", vec![])]),
    ])
    .await;
    site.configure(
        json!([route("/s/", "safe", "llm")]),
        json!([runner_service(
            "llm",
            &[("m0", 12), ("m1", 0), ("m2", 3), ("m3", 0)]
        )]),
    );
    site.is_fenced = is_fenced;
    site.start_vms(vms);
    site.wait_ready().await;
    site
}

fn orders(site: &Site) -> Vec<(Value, u16)> {
    site.servers.iter().flat_map(|it| it.orders()).collect()
}

async fn wait_for_model(site: &Site, model: &str) {
    site.wait("the model is held", async || {
        site.servers.iter().any(|it| it.holds(model, None))
    })
    .await;
}

fn expect_no_overrun(site: &Site) {
    for server in &site.servers {
        expect_that!(server.overruns(), eq(0), "{}", server.id);
    }
}

/// No fence of one holder, and no lower fence after a higher one, at any runner.
fn expect_one_holder(site: &Site) {
    let mut holder_of = std::collections::HashMap::new();
    for server in &site.servers {
        let mut last = 0;
        for (order, status) in server.orders() {
            let fence = order["fence_token"].as_u64().expect("every order has one");
            let holder = order["holder"].as_str().expect("every order has one");
            let known = holder_of.entry(fence).or_insert_with(|| holder.to_owned());
            expect_that!(known.as_str(), eq(holder));
            if status != 412 {
                expect_that!(fence, ge(last));
                last = fence;
            }
        }
    }
}

/// Silences the store for longer than a membership lasts; it stays silent.
async fn outlast_a_membership_without_the_store(site: &Site) {
    site.store.set(StoreFaults {
        is_silent: true,
        ..StoreFaults::default()
    });
    compio::time::sleep(Duration::from_secs(4)).await;
}

/// A new runner gets orders once the store is back, from one holder at a time.
async fn expect_orders_after_the_return_of_the_store(site: &mut Site) {
    site.store.set(StoreFaults::default());
    let runner = site.add_server("llm", vec![]).await;
    site.wait("orders go on", async || !runner.orders().is_empty())
        .await;
    expect_one_holder(site);
    expect_no_overrun(site);
}

#[googletest::test]
fn every_model_and_adapter_is_brought_within_reach() {
    block_on(async {
        let site = site(2).await;
        wait_for_model(&site, "m2").await;
        wait_for_model(&site, "m3").await;
        site.wait("all adapters are held", async || {
            let held = |model: &str, count: u32| {
                (1..=count).all(|number| {
                    let name = format!("a{number}");
                    site.servers.iter().any(|it| it.holds(model, Some(&name)))
                })
            };
            held("m0", 12) && held("m2", 3)
        })
        .await;
        let caller = Caller::default();
        for vm in 0..2 {
            for model in ["m0", "m0/a7", "m2/a3", "m3"] {
                let answer = caller
                    .request(site.front(vm), &CallerRequest::model("/s/x", model))
                    .await;
                expect_that!(answer.status, some(eq(200)), "{model}: {answer:?}");
            }
        }
        expect_no_overrun(&site);
        expect_one_holder(&site);
    });
}

#[googletest::test]
fn another_vm_takes_over_when_the_holder_is_killed() {
    block_on(async {
        let mut site = site(3).await;
        wait_for_model(&site, "m3").await;
        let all = orders(&site);
        let (first, _) = all.last().expect("there were orders");
        let holder = first["holder"].as_str().expect("every order has one");
        let index: usize = holder
            .strip_prefix("vm-")
            .and_then(|index| index.parse().ok())
            .expect("holders are named as VMs are");
        let fence = first["fence_token"].as_u64();
        site.vms[index].kill();
        let runner = site.add_server("llm", vec![]).await;
        site.wait("the new runner gets orders", async || {
            !runner.orders().is_empty()
        })
        .await;
        let (order, _) = runner.orders().remove(0);
        expect_that!(order["fence_token"].as_u64(), gt(fence));
        expect_that!(order["holder"].as_str(), not(some(eq(holder))));
        expect_one_holder(&site);
        expect_no_overrun(&site);
    });
}

#[googletest::test]
fn a_holder_that_cannot_reach_the_store_gives_its_orders_up() {
    block_on(async {
        let mut site = site(1).await;
        wait_for_model(&site, "m3").await;
        outlast_a_membership_without_the_store(&site).await;
        let gave_up = |site: &Site| {
            let log = site.log(0);
            log.iter().any(|line| line["message"] == "orders given up")
        };
        expect_that!(gave_up(&site), eq(true));
        expect_orders_after_the_return_of_the_store(&mut site).await;
    });
}

#[googletest::test]
fn a_holder_whose_fence_is_checked_goes_on_while_the_store_is_away() {
    block_on(async {
        let mut site = site_of(2, true).await;
        wait_for_model(&site, "m3").await;
        outlast_a_membership_without_the_store(&site).await;
        for server in &site.servers {
            server.lose_model("m3");
        }
        wait_for_model(&site, "m3").await;
        expect_orders_after_the_return_of_the_store(&mut site).await;
    });
}

#[googletest::test]
fn claims_whose_answers_are_lost_leave_fences_unique() {
    block_on(async {
        let mut site = Site::start(vec![("llm", vec![("m0", vec![])]); 2]).await;
        site.configure(
            json!([route("/s/", "safe", "llm")]),
            json!([runner_service("llm", &[("m0", 0), ("m1", 0)])]),
        );
        site.store.set(StoreFaults {
            loses_answers: true,
            ..StoreFaults::default()
        });
        site.start_vms(2);
        compio::time::sleep(Duration::from_secs(4)).await;
        site.store.set(StoreFaults::default());
        wait_for_model(&site, "m1").await;
        expect_one_holder(&site);
    });
}

#[googletest::test]
fn a_runner_that_is_dead_but_still_listed_holds_up_no_plan() {
    block_on(async {
        let mut site = site(1).await;
        wait_for_model(&site, "m3").await;
        // The only runner with m3 dies; its entry stays.
        let holder = site.servers.iter().position(|it| it.holds("m3", None));
        let dead = site.servers[holder.expect("it was just held")].clone();
        dead.die();
        site.add_server("llm", vec![]).await;
        let caller = Caller::default();
        site.wait("m3 is served elsewhere", async || {
            let request = CallerRequest::model("/s/x", "m3");
            let answer = caller.request(site.front(0), &request).await;
            answer.status == Some(200)
        })
        .await;
        expect_no_overrun(&site);
        expect_one_holder(&site);
        let log = site.log(0);
        let unreached = log
            .iter()
            .filter(|line| line["message"] == "order given" && line["outcome"] == "NotSent");
        expect_that!(unreached.count(), lt(10));
    });
}

#[googletest::test]
fn a_vm_that_joins_leaves_the_orders_where_they_are() {
    block_on(async {
        let mut site = site(2).await;
        wait_for_model(&site, "m3").await;
        // The group prefers the first VM; without it the second one gives orders.
        site.vms[0].kill();
        let runner = site.add_server("llm", vec![]).await;
        site.wait("the second VM gives orders", async || {
            !runner.orders().is_empty()
        })
        .await;
        let (before, _) = runner.orders().remove(0);
        expect_that!(before["holder"].as_str(), some(eq("vm-1")));
        site.restart_vm(0);
        site.wait_ready().await;
        compio::time::sleep(Duration::from_secs(3)).await;
        let runner = site.add_server("llm", vec![]).await;
        site.wait("orders go on", async || !runner.orders().is_empty())
            .await;
        let (after, _) = runner.orders().remove(0);
        expect_that!(after["holder"], eq(&before["holder"]));
        expect_that!(after["fence_token"], eq(&before["fence_token"]));
        expect_one_holder(&site);
        expect_no_overrun(&site);
    });
}
