//! On the platform: how soon a change of the configuration is in force while VMs stand still.

use googletest::prelude::*;
use nix::sys::signal::Signal;
use serde_json::json;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};
use workbench::cluster::block_on;
use workbench::proxy::Faults;
use workbench::site::{Site, StoreFaults, plain, route};

/// The time in which a change has to be in force, as in the settings of the VMs.
const CONFIGURATION_LIMIT: Duration = Duration::from_millis(2_000);
/// The time after an outage of the store in which a change made at its end has to be in force.
const RETURN_LIMIT: Duration = Duration::from_millis(3_000);
/// The time in which VMs have a change that the first VM of the zone receives slowly. It took 1.2 s when
/// reads were dated by the arrival of their answers, and takes 0.05 to 0.11 s.
const SLOW_FIRST_VM_LIMIT: Duration = Duration::from_millis(1_000);
/// Time in which VMs find each other and agree on the one that follows the log.
const CALM: Duration = Duration::from_secs(5);

/// The rate of a slow path to the store.
const SLOW_PATH: StoreFaults = StoreFaults {
    is_down: false,
    is_silent: false,
    loses_answers: false,
    refuses_joins: false,
    hides_owners: false,
    bytes_per_s: 800_000,
    topic_fault: None,
};
/// The number of routes of a configuration whose text is over a megabyte long.
const MANY_ROUTES: u64 = 6_000;

/// How far apart the versions are that the site publishes.
const VERSION_STEP: f64 = 3.0;

/// Publishes a configuration with this many routes besides the one that the tests use, with names that
/// do not repeat.
fn publish_routes(site: &mut Site, count: u64) {
    let mut routes = vec![route("/", "safe", "books")];
    routes.extend((0..count).map(|index| {
        let name = (index + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        route(&format!("/{name:x}/"), "safe", "books")
    }));
    site.configure(json!(routes), json!([plain("books")]));
}

fn publish(site: &mut Site) {
    site.configure(
        json!([route("/", "safe", "books")]),
        json!([plain("books")]),
    );
}

/// Waits until a newer configuration than `before` is in force at these VMs.
async fn wait_for_change(site: &Site, vms: &[usize], before: f64) {
    site.wait("the change is in force", async || {
        for vm in vms {
            if site.configuration_version(*vm).await <= before {
                return false;
            }
        }
        true
    })
    .await;
}

/// The bytes of state that these VMs have received from each other.
async fn received_bytes(site: &Site, vms: &[usize]) -> f64 {
    let mut sum = 0.0;
    for vm in vms {
        let bytes = site.metric(*vm, "sync_bytes_total").await;
        sum += bytes.expect("the metric is there");
    }
    sum
}

/// The first VMs of the zone and the leader.
async fn first_and_leader(site: &Site, count: usize) -> BTreeSet<usize> {
    let mut vms: BTreeSet<usize> = (0..count).collect();
    for vm in 0..site.vms.len() {
        if site.metric(vm, "is_leading").await == Some(1.0) {
            vms.insert(vm);
        }
    }
    vms
}

/// Stops VMs; returns the others.
fn stop(site: &Site, stopped: &BTreeSet<usize>) -> Vec<usize> {
    for vm in stopped {
        site.vms[*vm].signal(Signal::SIGSTOP);
    }
    let all = 0..site.vms.len();
    all.filter(|vm| !stopped.contains(vm)).collect()
}

/// Stops the first VMs of the zone and the leader; returns the others.
async fn stop_first(site: &Site, count: usize) -> Vec<usize> {
    stop(site, &first_and_leader(site, count).await)
}

#[googletest::test]
fn a_change_is_in_force_in_time_although_the_vm_that_advertised_it_stands_still() {
    block_on(async {
        let mut site = Site::start_plain(1, 8).await;
        let others: Vec<usize> = (1..8).collect();
        for _ in 0..3 {
            compio::time::sleep(CALM).await;
            let before = site.configuration_version(1).await;
            let published_at = Instant::now();
            publish(&mut site);
            // It has read the change by then, and most others have not yet asked for it.
            compio::time::sleep(Duration::from_millis(30)).await;
            site.vms[0].signal(Signal::SIGSTOP);
            wait_for_change(&site, &others, before).await;
            expect_that!(published_at.elapsed(), lt(CONFIGURATION_LIMIT));
            site.vms[0].signal(Signal::SIGCONT);
        }
    });
}

/// Guards against the answer to a read being taken as current when it is processed: the one that a
/// VM finds as it goes on after a stop says nothing of the changes made meanwhile.
#[googletest::test]
fn a_change_is_in_force_in_time_although_a_vm_that_stood_still_goes_on() {
    block_on(async {
        let mut site = Site::start(vec![("books", vec![])]).await;
        let paths = site.start_store_paths(0..1).await;
        publish(&mut site);
        site.start_vms(12);
        site.wait_ready().await;
        compio::time::sleep(CALM).await;
        let stopped = first_and_leader(&site, 10).await;
        // vm-0 reads this change at once. Its next read ends 0.5 s later, and one more is pending
        // when it is stopped, which the store answers before the next change.
        publish(&mut site);
        compio::time::sleep(Duration::from_millis(560)).await;
        let others = stop(&site, &stopped);
        compio::time::sleep(Duration::from_millis(520)).await;
        let before = site.configuration_version(others[0]).await;
        let published_at = Instant::now();
        publish(&mut site);
        paths[0].set(Faults {
            delay_ms: 2_000,
            ..Faults::default()
        });
        // The others are about to read the log themselves.
        compio::time::sleep(Duration::from_millis(570)).await;
        site.vms[0].signal(Signal::SIGCONT);
        wait_for_change(&site, &others, before).await;
        let took = published_at.elapsed();
        println!("in force at {others:?} after {took:?}");
        expect_that!(took, lt(CONFIGURATION_LIMIT));
    });
}

/// Guards against the answer to a read being taken as current when it has arrived: the VM that follows
/// the log then holds up changes made while large ones reach it on a slow path.
#[googletest::test]
fn a_change_is_in_force_in_time_although_large_ones_reach_the_first_vm_slowly() {
    block_on(async {
        let mut site = Site::start(vec![("books", vec![])]).await;
        let paths = site.start_store_paths(0..1).await;
        publish(&mut site);
        site.start_vms(6);
        site.wait_ready().await;
        paths[0].set(Faults {
            delay_ms: 100,
            ..Faults::default()
        });
        let others: Vec<usize> = (1..6).collect();
        for _ in 0..3 {
            compio::time::sleep(CALM).await;
            let before = site.configuration_version(0).await;
            // It takes over two seconds until vm-0 has this, and one more until it has the next.
            publish_routes(&mut site, 2_000);
            compio::time::sleep(Duration::from_millis(1_000)).await;
            publish_routes(&mut site, 700);
            wait_for_change(&site, &[0], before).await;
            // The answer with the second change is on its way.
            compio::time::sleep(Duration::from_millis(200)).await;
            let second = before + 2.0 * VERSION_STEP;
            let published_at = Instant::now();
            publish(&mut site);
            wait_for_change(&site, &others, second).await;
            let took = published_at.elapsed();
            println!("in force after {took:?}");
            expect_that!(took, lt(SLOW_FIRST_VM_LIMIT));
        }
    });
}

#[googletest::test]
fn a_change_is_in_force_in_time_although_most_vms_of_the_zone_stand_still() {
    block_on(async {
        let mut site = Site::start_plain(1, 16).await;
        compio::time::sleep(CALM).await;
        let before = site.configuration_version(15).await;
        let others = stop_first(&site, 12).await;
        let published_at = Instant::now();
        publish(&mut site);
        wait_for_change(&site, &others, before).await;
        expect_that!(published_at.elapsed(), lt(CONFIGURATION_LIMIT));
    });
}

#[googletest::test]
fn a_change_at_the_return_of_the_store_is_in_force_in_time_although_the_first_vms_stand_still() {
    block_on(async {
        let mut site = Site::start_plain(1, 8).await;
        compio::time::sleep(CALM).await;
        let before = site.configuration_version(7).await;
        site.store.set(StoreFaults {
            is_silent: true,
            ..StoreFaults::default()
        });
        // One read of each VM has failed by then.
        compio::time::sleep(Duration::from_millis(1_500)).await;
        let others = stop_first(&site, 3).await;
        // No VM of the zone becomes the leader, which would read at once.
        site.store.set(StoreFaults {
            refuses_joins: true,
            ..StoreFaults::default()
        });
        let returned_at = Instant::now();
        publish(&mut site);
        wait_for_change(&site, &others, before).await;
        expect_that!(returned_at.elapsed(), lt(RETURN_LIMIT));
    });
}

/// Guards against a large change that is read late, read twice, or held up after its transfer, which
/// takes 1.6 s.
#[googletest::test]
fn a_change_is_in_force_in_time_although_its_size_takes_most_of_that_on_the_path_to_the_store() {
    block_on(async {
        let mut site = Site::start_plain(1, 1).await;
        let before = site.configuration_version(0).await;
        site.store.set(SLOW_PATH);
        let began = Instant::now();
        publish_routes(&mut site, MANY_ROUTES);
        // The time counts from the store's acknowledgement. The test builds the text before, which
        // takes 60 to 130 ms and more on a busy machine.
        let acknowledged_at = Instant::now();
        wait_for_change(&site, &[0], before).await;
        let took = acknowledged_at.elapsed();
        let size = site.metric(0, "configuration_bytes").await;
        let size = size.expect("the metric is there");
        let transfer = Duration::from_secs_f64(size / SLOW_PATH.bytes_per_s as f64);
        println!(
            "text built in {:?}, in force after {took:?}, of which {transfer:?} for the transfer",
            acknowledged_at - began
        );
        expect_that!(transfer, gt(CONFIGURATION_LIMIT.mul_f64(0.75)));
        expect_that!(took, lt(CONFIGURATION_LIMIT));
    });
}

#[googletest::test]
fn a_vm_starts_although_the_configuration_is_large_for_its_path_to_the_store() {
    block_on(async {
        let mut site = Site::start(vec![("books", vec![])]).await;
        publish_routes(&mut site, MANY_ROUTES);
        site.store.set(SLOW_PATH);
        site.start_vms(1);
        site.wait_ready().await;
    });
}

#[googletest::test]
fn a_small_change_of_a_large_configuration_is_a_small_transfer_between_vms() {
    block_on(async {
        let mut site = Site::start_plain(1, 8).await;
        let all: Vec<usize> = (0..8).collect();
        compio::time::sleep(CALM).await;
        let before = site.configuration_version(0).await;
        publish_routes(&mut site, MANY_ROUTES);
        wait_for_change(&site, &all, before).await;
        compio::time::sleep(CALM).await;

        let bytes_before = received_bytes(&site, &all).await;
        let before = site.configuration_version(0).await;
        publish_routes(&mut site, MANY_ROUTES + 1);
        wait_for_change(&site, &all, before).await;
        let size = site.metric(0, "configuration_bytes").await;
        let size = size.expect("the metric is there");
        let sent = received_bytes(&site, &all).await - bytes_before;
        expect_that!(size, gt(1_000_000.0));
        expect_that!(sent, gt(0.0));
        expect_that!(sent, lt(size / 10.0));
    });
}
