//! On the platform: VMs that start while the store does not tell what crashes servers.

use googletest::prelude::*;
use serde_json::json;
use std::rc::Rc;
use std::time::{Duration, SystemTime};
use workbench::cluster::block_on;
use workbench::site::crashing_parts::{CrashingPart, CrashingParts, FIRST_PART, prompt};
use workbench::site::{Caller, Site, StoreFaults, TopicFault, route, runner_service};

/// The part that crashes runners, and the key of its record: a hash of the part's name.
const BAD: &str = "bad0";
const BAD_KEY: &str = "part-b0569403a59ca5ad";
const TOPIC: &str = "keyed.contained";
/// How long a crashed runner is down.
const DOWNTIME: Duration = Duration::from_millis(1_200);
/// How long the record is out of reach after the VMs have started: they have given up waiting by then.
const OUTAGE: Duration = Duration::from_millis(3_500);
/// How long the store and the VMs are calm before requests count.
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);
/// How long ago a request of the bad part was refused. Requests of other causes were refused later.
const REFUSED_BEFORE: Duration = Duration::from_secs(60);

/// A site without VMs, where a record says that a part crashes runners, beside records of `others`.
async fn site_with_record(others: usize) -> (Site, Rc<CrashingParts>) {
    let mut site = Site::start(vec![("llm", vec![("m0", vec![])]); 4]).await;
    site.configure(
        json!([route("/s/", "streaming", "llm")]),
        json!([runner_service("llm", &[("m0", 0)])]),
    );
    let crashing = CrashingParts::install(&site, vec![CrashingPart::new(BAD)], DOWNTIME);
    let put = |key: &str, ago: Duration| {
        let at = SystemTime::now() - ago;
        let at = at.duration_since(SystemTime::UNIX_EPOCH).expect("a time");
        let value = json!({"refused_ms": at.as_millis() as u64});
        site.store.put(TOPIC, key, &value);
    };
    put(BAD_KEY, REFUSED_BEFORE);
    for index in 0..others {
        put(
            &format!("part-{:016x}", 0x5000 + index),
            Duration::from_secs(1),
        );
    }
    (site, crashing)
}

fn fail(site: &Site, fault: Option<TopicFault>) {
    site.store.set(StoreFaults {
        topic_fault: fault.map(|fault| (TOPIC, fault)),
        ..StoreFaults::default()
    });
}

/// Checks that each VM refuses prompts with the bad part and sends none to a runner.
async fn expect_refused_everywhere(site: &Site, crashing: &CrashingParts, what: &str) {
    let before = crashing.arrivals(BAD).len();
    for vm in 0..site.vms.len() {
        for _ in 0..2 {
            let request = prompt(&[FIRST_PART, BAD]);
            let answer = Caller::default().request(site.front(vm), &request).await;
            expect_that!(answer.status, some(eq(503)), "{what}, VM {vm}");
        }
    }
    expect_that!(crashing.arrivals(BAD).len(), eq(before), "{what}");
}

/// Guards against VMs that tell each other that they know, although nobody has read the record.
#[googletest::test]
fn vms_that_all_start_while_the_record_is_out_of_reach_read_it_later() {
    for fault in [
        TopicFault::Refused,
        TopicFault::Silent,
        TopicFault::Slow,
        TopicFault::CutShort,
    ] {
        block_on(async {
            let (mut site, crashing) = site_with_record(0).await;
            site.zones = 3;
            fail(&site, Some(fault));
            site.start_vms(3);
            site.wait_ready().await;
            compio::time::sleep(OUTAGE).await;
            fail(&site, None);
            compio::time::sleep(STABLE_WINDOW).await;
            expect_refused_everywhere(&site, &crashing, &format!("{fault:?}")).await;
        });
    }
}

/// Guards against VMs that are killed again and again while the record is out of reach.
#[googletest::test]
fn vms_that_are_killed_in_each_outage_read_the_record_after_it() {
    block_on(async {
        let (mut site, crashing) = site_with_record(0).await;
        site.start_vms(3);
        site.wait_ready().await;
        for round in 0..2 {
            fail(&site, Some(TopicFault::Refused));
            for vm in 0..3 {
                site.vms[vm].kill();
                site.restart_vm(vm);
            }
            site.wait_ready().await;
            compio::time::sleep(OUTAGE).await;
            fail(&site, None);
            compio::time::sleep(STABLE_WINDOW).await;
            expect_refused_everywhere(&site, &crashing, &format!("round {round}")).await;
        }
    });
}

/// Guards against a list of the causes refused last that is taken for all causes.
#[googletest::test]
fn a_cause_beyond_those_of_a_message_is_known_to_all_vms() {
    for vms in [3, 14] {
        block_on(async {
            let (mut site, crashing) = site_with_record(39).await;
            fail(&site, Some(TopicFault::Refused));
            site.start_vms(vms);
            site.wait_ready().await;
            compio::time::sleep(OUTAGE).await;
            fail(&site, None);
            compio::time::sleep(STABLE_WINDOW).await;
            expect_refused_everywhere(&site, &crashing, &format!("{vms} VMs")).await;
        });
    }
}

/// Guards against a VM that starts beside others in an outage and takes what a digest holds for all.
#[googletest::test]
fn a_vm_that_starts_beside_others_knows_all_causes() {
    block_on(async {
        let (mut site, crashing) = site_with_record(39).await;
        site.start_vms(3);
        site.wait_ready().await;
        fail(&site, Some(TopicFault::Refused));
        for vm in 0..2 {
            site.vms[vm].kill();
            site.restart_vm(vm);
        }
        site.wait_ready().await;
        expect_refused_everywhere(&site, &crashing, "in the outage").await;
        fail(&site, None);
        compio::time::sleep(STABLE_WINDOW).await;
        expect_refused_everywhere(&site, &crashing, "after it").await;
    });
}

/// Guards against many VMs that go on reading a record that is out of reach.
#[googletest::test]
fn vms_that_wait_for_the_record_make_few_calls() {
    block_on(async {
        let (mut site, _crashing) = site_with_record(0).await;
        fail(&site, Some(TopicFault::Refused));
        site.start_vms(3);
        site.wait_ready().await;
        let calls = || site.store.topic_calls(TOPIC);
        let before = calls();
        compio::time::sleep(Duration::from_secs(4)).await;
        // Five calls a second and VM at most, and some at least.
        expect_that!(calls() - before, all![ge(12), le(100)]);
        fail(&site, None);
        compio::time::sleep(STABLE_WINDOW).await;
        let before = calls();
        compio::time::sleep(Duration::from_secs(2)).await;
        expect_that!(calls() - before, eq(0));
    });
}
