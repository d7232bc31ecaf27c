//! On the platform: more VMs than a topic of the store has partitions know each other.

use googletest::prelude::*;
use serde_json::{Value, json};
use std::time::{Duration, Instant};
use workbench::cluster::block_on;
use workbench::site::{Site, StoreFaults, plain, route};

/// More than twice the partitions of a topic, whose owners are all that the store lists.
const VMS: usize = 30;
/// A calm time in which nobody may be lost.
const CALM: Duration = Duration::from_secs(5);

/// How often a line was logged by any VM.
fn count(site: &Site, message: &str) -> usize {
    let logs = (0..site.vms.len()).map(|index| site.log(index));
    let is_it = |line: &Value| line["message"] == message;
    logs.map(|log| log.into_iter().filter(is_it).count()).sum()
}

/// Waits until all VMs know all.
async fn wait_known(site: &Site) {
    let count = site.vms.len();
    site.wait("all know all", async || {
        let mut known = true;
        for index in 0..count {
            known &= site.metric(index, "vms").await == Some(count as f64);
        }
        known
    })
    .await;
}

#[googletest::test]
fn every_vm_of_a_large_fleet_knows_all_others_and_loses_none() {
    block_on(async {
        let mut site = Site::start(vec![("books", vec![])]).await;
        site.configure(
            json!([route("/", "safe", "books")]),
            json!([plain("books")]),
        );
        site.start_vms(VMS);
        site.wait_ready().await;
        wait_known(&site).await;
        let before = count(&site, "peer lost");
        compio::time::sleep(CALM).await;
        expect_that!(count(&site, "peer lost"), eq(before));
        // The log is not needed for it.
        site.store.set(StoreFaults {
            is_down: true,
            ..StoreFaults::default()
        });
        site.vms[3].kill();
        site.wait("the lost VM is forgotten", async || {
            let mut known = true;
            for index in (0..VMS).filter(|index| *index != 3) {
                known &= site.metric(index, "vms").await == Some(VMS as f64 - 1.0);
            }
            known
        })
        .await;
    });
}

/// VMs of one zone that learn of changes.
const ZONE_VMS: usize = 10;
/// Changes of the directory, one after the other.
const CHANGES: usize = 10;
/// Readings a second of a VM that follows the store: directory and configuration, each in half a
/// second.
const FOLLOWED_READS_PER_S: f64 = 4.0;
/// VMs that follow it: one for the zone, and the one that gives orders.
const FOLLOWERS: f64 = 2.0;
/// The part of the VMs that may read for themselves at a change, whose message was lost or late.
const MISSED_SHARE: f64 = 0.2;

#[googletest::test]
fn changes_of_the_directory_reach_a_zone_without_a_reading_by_each_vm() {
    block_on(async {
        let mut site = Site::start(vec![("books", vec![]); 2]).await;
        site.configure(
            json!([route("/", "safe", "books")]),
            json!([plain("books")]),
        );
        site.start_vms(ZONE_VMS);
        site.wait_ready().await;
        wait_known(&site).await;
        // Until one of them follows the store for all, each does.
        compio::time::sleep(CALM).await;
        let listed = |site: &Site, index| {
            let log = site.log(index).into_iter();
            log.filter(|line| line["message"] == "server listed")
                .count()
        };
        let before: Vec<usize> = (0..ZONE_VMS).map(|index| listed(&site, index)).collect();
        let reads = site.store.calls("/-/log-read");
        let began = Instant::now();
        for change in 1..=CHANGES {
            let state = if change % 2 == 1 { "draining" } else { "ready" };
            site.put_entry(&site.servers[1], state);
            site.wait("all VMs know of it", async || {
                (0..ZONE_VMS).all(|index| listed(&site, index) == before[index] + change)
            })
            .await;
        }
        let reads = (site.store.calls("/-/log-read") - reads) as f64;
        let followed = FOLLOWERS * FOLLOWED_READS_PER_S * began.elapsed().as_secs_f64();
        let missed = MISSED_SHARE * (CHANGES * ZONE_VMS) as f64;
        let most = followed + missed;
        expect_that!(reads, le(most), "for {CHANGES} changes");
    });
}

#[googletest::test]
fn vms_that_could_not_read_the_members_at_their_start_find_each_other_later() {
    block_on(async {
        let mut site = Site::start(vec![("books", vec![])]).await;
        site.configure(
            json!([route("/", "safe", "books")]),
            json!([plain("books")]),
        );
        site.store.set(StoreFaults {
            hides_owners: true,
            ..StoreFaults::default()
        });
        site.start_vms(3);
        site.wait_ready().await;
        // Nothing else of the group changes meanwhile that would have them ask.
        site.wait("all have tried again", async || {
            let tried = |index| {
                let log = site.log(index).into_iter();
                log.filter(|line| line["message"] == "members not read")
                    .count()
            };
            (0..3).all(|index| tried(index) >= 2)
        })
        .await;
        expect_that!(site.metric(0, "vms").await, some(eq(1.0)));
        site.store.set(StoreFaults::default());
        wait_known(&site).await;
    });
}
