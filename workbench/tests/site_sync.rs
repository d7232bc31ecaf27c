//! On the platform: VMs obtain the directory and the configuration from each other.

use googletest::prelude::*;
use serde_json::json;
use std::time::{Duration, Instant};
use workbench::cluster::block_on;
use workbench::site::{Site, StoreFaults, plain, route};

/// More VMs in one zone than a topic of the store has partitions.
const VMS: usize = 30;
/// VMs of a zone that may read the whole log at a start of all, before one is known to have read.
const MAX_FIRST_READERS: u64 = 12;
/// Reads of the whole log by one VM: the directory and the configuration.
const PARTS: u64 = 2;
/// Time in which VMs that start agree on the one that follows the log for all.
const CALM: Duration = Duration::from_secs(5);
/// Changes of the configuration, one after the other.
const CHANGES: u64 = 8;
/// Reads per second of a VM that follows the log: of each part twice, and of the configuration up to
/// five times while it changes.
const FOLLOWED_READS_PER_S: f64 = 7.0;
/// VMs that follow it: one for the zone, and the leader.
const FOLLOWERS: f64 = 2.0;

/// Plain servers of the site.
const SERVERS: usize = 2;

#[googletest::test]
fn few_vms_of_a_fleet_that_starts_at_once_read_the_whole_log() {
    block_on(async {
        let site = Site::start_plain(SERVERS, VMS).await;
        let reads = site.store.calls("/-/log-newest");
        let by_topic = site.store.whole_reads();
        expect_that!(
            reads,
            le(PARTS * MAX_FIRST_READERS),
            "{VMS} VMs: {by_topic:?}"
        );
    });
}

#[googletest::test]
fn a_change_of_the_configuration_is_read_by_few_vms_and_reaches_all() {
    block_on(async {
        let mut site = Site::start_plain(SERVERS, VMS).await;
        compio::time::sleep(CALM).await;
        let reads = site.store.calls("/-/log-read");
        let began = Instant::now();
        for _ in 0..CHANGES {
            let version = site.metric(0, "configuration_version").await;
            let version = version.expect("a configuration is in force");
            site.configure(
                json!([route("/", "safe", "books")]),
                json!([plain("books")]),
            );
            site.wait("the change is in force at all VMs", async || {
                for index in 0..VMS {
                    let current = site.metric(index, "configuration_version").await;
                    if current.is_none_or(|current| current <= version) {
                        return false;
                    }
                }
                true
            })
            .await;
        }
        let reads = (site.store.calls("/-/log-read") - reads) as f64;
        // One more read of each part than the rate allows may fall into any time.
        let per_follower = FOLLOWED_READS_PER_S * began.elapsed().as_secs_f64() + PARTS as f64;
        let followed = FOLLOWERS * per_follower;
        expect_that!(reads, le(followed), "for {CHANGES} changes");
    });
}

#[googletest::test]
fn a_vm_that_starts_while_the_store_is_away_obtains_its_state_from_others() {
    block_on(async {
        let mut site = Site::start_plain(SERVERS, 3).await;
        compio::time::sleep(CALM).await;
        site.store.set(StoreFaults {
            is_down: true,
            ..StoreFaults::default()
        });
        site.vms[2].kill();
        site.restart_vm(2);
        site.wait("the VM is ready", async || site.is_ready(2).await)
            .await;
        expect_that!(
            site.metric(2, "configuration_version").await,
            eq(site.metric(0, "configuration_version").await)
        );
    });
}
