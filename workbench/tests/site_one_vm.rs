//! On the platform: a VM whose own path to the store is impaired, while the others have each change.

use googletest::prelude::*;
use serde_json::json;
use std::rc::Rc;
use std::time::{Duration, Instant};
use workbench::cluster::block_on;
use workbench::proxy::{Faults, Proxy};
use workbench::site::{
    BlackHole, Caller, CallerRequest, CpuQuota, Site, StoreFaults, plain, route,
};

/// The time in which a change has to be in force, as in the settings of the VMs.
const CONFIGURATION_LIMIT: Duration = Duration::from_millis(2_000);
/// Time in which VMs find each other and agree on the one that follows the log.
const CALM: Duration = Duration::from_secs(5);
/// Time after which the other VMs and the platform's rules count a VM's trouble as old.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// How long the store is away before it comes back from a copy.
const AWAY: Duration = Duration::from_millis(700);
const VMS: usize = 3;

/// Starts VMs with paths of their own to the store, and waits until they have found each other.
async fn start() -> (Site, Vec<Rc<Proxy>>) {
    let mut site = Site::start(vec![("books", vec![])]).await;
    site.is_fenced = true;
    let paths = site.start_store_paths(0..VMS).await;
    publish(&mut site);
    site.start_vms(VMS);
    site.wait_ready().await;
    compio::time::sleep(CALM).await;
    (site, paths)
}

fn publish(site: &mut Site) {
    site.configure(
        json!([route("/", "safe", "books")]),
        json!([plain("books")]),
    );
}

async fn leader(site: &Site) -> usize {
    for vm in 0..site.vms.len() {
        if site.metric(vm, "is_leading").await == Some(1.0) {
            return vm;
        }
    }
    panic!("no VM leads");
}

/// Publishes a change; returns how long it takes until the VM has it in force.
async fn time_to_apply(site: &mut Site, vm: usize) -> Duration {
    let before = site.configuration_version(vm).await;
    let published_at = Instant::now();
    publish(site);
    site.wait("the change is in force", async || {
        site.configuration_version(vm).await > before
    })
    .await;
    published_at.elapsed()
}

/// Refuses all connections of a path, those that are open too.
fn refuse(path: &Proxy) {
    path.set(Faults {
        refuse: true,
        ..Faults::default()
    });
    path.cut();
}

#[googletest::test]
fn a_leader_that_does_not_reach_the_store_takes_a_change_from_another_vm() {
    block_on(async {
        let (mut site, paths) = start().await;
        let leader = leader(&site).await;
        refuse(&paths[leader]);
        compio::time::sleep(STABLE_WINDOW).await;
        let took = time_to_apply(&mut site, leader).await;
        expect_that!(took, lt(CONFIGURATION_LIMIT));
    });
}

#[googletest::test]
fn a_vm_that_the_store_leaves_unanswered_takes_a_change_from_another_vm() {
    block_on(async {
        let (mut site, paths) = start().await;
        let leader = leader(&site).await;
        let vm = usize::from(leader == 0);
        paths[vm].close();
        paths[vm].silence();
        compio::time::sleep(Duration::from_millis(100)).await;
        let _hole = BlackHole::start(site.store_path_address(vm));
        compio::time::sleep(STABLE_WINDOW).await;
        let took = time_to_apply(&mut site, vm).await;
        expect_that!(took, lt(CONFIGURATION_LIMIT));
    });
}

#[googletest::test]
fn a_change_is_in_force_in_time_although_the_open_connections_to_the_store_fail_when_used() {
    block_on(async {
        let (mut site, paths) = start().await;
        for _ in 0..3 {
            compio::time::sleep(CALM).await;
            paths[0].expire();
            let took = time_to_apply(&mut site, 0).await;
            expect_that!(took, lt(CONFIGURATION_LIMIT));
        }
        let log = site.log(0);
        let failed: Vec<_> = log
            .iter()
            .filter(|line| line["message"] == "log not read")
            .collect();
        expect_that!(failed, is_empty());
    });
}

#[googletest::test]
fn a_change_is_in_force_in_time_although_the_open_connections_to_the_store_are_silent() {
    block_on(async {
        let (mut site, paths) = start().await;
        for _ in 0..3 {
            compio::time::sleep(CALM).await;
            paths[0].silence();
            let took = time_to_apply(&mut site, 0).await;
            expect_that!(took, lt(CONFIGURATION_LIMIT));
        }
    });
}

#[googletest::test]
fn a_change_is_in_force_in_time_at_a_vm_with_a_quarter_core_and_many_callers() {
    block_on(async {
        let (mut site, _paths) = start().await;
        let _quota = CpuQuota::start(site.vms[0].id(), 0.25);
        let front = site.front(0);
        let callers: Vec<_> = (0..200)
            .map(|_| {
                compio::runtime::spawn(async move {
                    let caller = Caller::default();
                    loop {
                        caller.request(front, &CallerRequest::get("/books")).await;
                    }
                })
            })
            .collect();
        for _ in 0..3 {
            compio::time::sleep(CALM).await;
            let took = time_to_apply(&mut site, 0).await;
            expect_that!(took, lt(CONFIGURATION_LIMIT));
        }
        drop(callers);
    });
}

#[googletest::test]
fn a_reader_whose_offset_lies_within_the_new_history_misses_no_change() {
    block_on(async {
        let (mut site, _paths) = start().await;
        let copy = site.store.copy();
        publish(&mut site);
        publish(&mut site);
        compio::time::sleep(CONFIGURATION_LIMIT).await;
        site.store.set(StoreFaults {
            is_down: true,
            ..StoreFaults::default()
        });
        compio::time::sleep(AWAY).await;
        site.store.come_back_from(copy);
        // The changes take the offsets up to which the VMs have read in the old history.
        publish(&mut site);
        let before = site.configuration_version(0).await;
        publish(&mut site);
        site.store.set(StoreFaults::default());
        compio::time::sleep(STABLE_WINDOW + CONFIGURATION_LIMIT).await;
        for vm in 0..VMS {
            expect_that!(site.configuration_version(vm).await, gt(before));
        }
    });
}

#[googletest::test]
fn a_change_is_in_force_in_time_although_the_history_is_dropped_at_that_moment() {
    block_on(async {
        let (mut site, _paths) = start().await;
        for _ in 0..3 {
            let before = site.configuration_version(0).await;
            let published_at = Instant::now();
            publish(&mut site);
            site.store.compact("keyed.op");
            site.wait("the change is in force", async || {
                for vm in 0..VMS {
                    if site.configuration_version(vm).await <= before {
                        return false;
                    }
                }
                true
            })
            .await;
            expect_that!(published_at.elapsed(), lt(CONFIGURATION_LIMIT));
            compio::time::sleep(STABLE_WINDOW).await;
        }
    });
}
