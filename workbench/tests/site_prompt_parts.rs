//! On the platform: requests that crash model runners and have one part of their prompts in common.

use futures_util::join;
use googletest::prelude::*;
use serde_json::json;
use std::rc::Rc;
use std::time::{Duration, Instant};
use workbench::cluster::block_on;
use workbench::site::crashing_parts::{
    CrashingPart, CrashingParts, FIRST_PART, prompt, send_prompts,
};
use workbench::site::{Answer, Caller, Site, route, runner_service};

/// The part that crashes runners.
const BAD: &str = "bad0";
/// How many subjects sound prompts are about.
const SUBJECTS: u32 = 40;
/// How long a crashed runner is down.
const DOWNTIME: Duration = Duration::from_millis(1_200);
/// Within this time after the fifth crash all VMs know the part.
const WINDOW: Duration = Duration::from_secs(3);
/// The crashes from which on a part has to be known.
const MAX_CRASHES: usize = 5;
/// The requests that may still be sent to runners then.
const MAX_SENT: usize = 3;

async fn model_site(runners: usize, vms: usize) -> Site {
    let mut site = Site::start(vec![("llm", vec![("m0", vec![])]); runners]).await;
    site.configure(
        json!([route("/s/", "streaming", "llm")]),
        json!([runner_service("llm", &[("m0", 0)])]),
    );
    site.start_vms(vms);
    site.wait_ready().await;
    site
}

fn sound_parts() -> Vec<String> {
    let subject = rand::random_range(0..SUBJECTS);
    vec![FIRST_PART.to_owned(), format!("5{subject:02}")]
}

fn bad_parts() -> Vec<String> {
    vec![FIRST_PART.to_owned(), BAD.to_owned()]
}

fn is_whole(answer: &Answer) -> bool {
    answer.status == Some(200) && answer.is_complete
}

/// The share of the answers to requests sent within a time that came whole.
fn served(answers: &[(Instant, Answer)], from: Instant, to: Instant) -> f64 {
    let sent = answers.iter().filter(|(at, _)| (from..to).contains(at));
    let (whole, other): (Vec<_>, Vec<_>) = sent.partition(|(_, answer)| is_whole(answer));
    whole.len() as f64 / (whole.len() + other.len()).max(1) as f64
}

#[googletest::test]
fn requests_with_a_part_that_crashed_servers_stop_reaching_servers() {
    block_on(async {
        let site = model_site(6, 3).await;
        let crashing = CrashingParts::install(&site, vec![CrashingPart::new(BAD)], DOWNTIME);
        let vms = [0, 1, 2];
        let began = Instant::now();
        let sound = send_prompts(&site, &vms, 30.0, Duration::from_secs(16), sound_parts);
        let bad = async {
            compio::time::sleep(Duration::from_secs(3)).await;
            send_prompts(&site, &vms, 5.0, Duration::from_secs(13), bad_parts).await
        };
        let (sound, _) = join!(sound, bad);
        let late = crashing.arrivals_after_crashes(BAD, MAX_CRASHES, WINDOW);
        let crashes = crashing.crashes(BAD);
        expect_that!(late.len(), le(MAX_SENT), "{} crashes", crashes.len());
        let last = crashes.get(MAX_CRASHES - 1).or(crashes.last()).copied();
        let from = last.unwrap_or(began) + 2 * WINDOW;
        let to = began + Duration::from_secs(16);
        expect_that!(served(&sound, from, to), ge(0.9));
    });
}

/// Two VMs that have learnt that a part crashes servers.
async fn site_with_known_part() -> (Site, Rc<CrashingParts>) {
    let site = model_site(6, 2).await;
    let crashing = CrashingParts::install(&site, vec![CrashingPart::new(BAD)], DOWNTIME);
    let sound = send_prompts(&site, &[0, 1], 30.0, Duration::from_secs(6), sound_parts);
    let bad = async {
        compio::time::sleep(Duration::from_secs(2)).await;
        send_prompts(&site, &[0, 1], 5.0, Duration::from_secs(4), bad_parts).await
    };
    join!(sound, bad);
    expect_that!(crashing.crashes(BAD).len(), le(MAX_CRASHES));
    (site, crashing)
}

/// Checks that a VM refuses prompts with the bad part and sends none to a server.
async fn expect_refusals(site: &Site, vm: usize, crashing: &CrashingParts) {
    let arrivals = crashing.arrivals(BAD).len();
    for _ in 0..4 {
        let request = prompt(&[FIRST_PART, BAD]);
        let answer = Caller::default().request(site.front(vm), &request).await;
        expect_that!(answer.status, some(eq(503)));
    }
    expect_that!(crashing.arrivals(BAD).len(), eq(arrivals));
}

#[googletest::test]
fn a_vm_that_starts_knows_the_parts_that_crashed_servers() {
    block_on(async {
        let (mut site, crashing) = site_with_known_part().await;
        site.start_vms(1);
        site.wait_ready().await;
        expect_refusals(&site, 2, &crashing).await;
    });
}

#[googletest::test]
fn vms_that_all_start_at_once_know_the_parts_that_crashed_servers() {
    block_on(async {
        let (mut site, crashing) = site_with_known_part().await;
        for vm in &mut site.vms {
            vm.kill();
        }
        for index in 0..site.vms.len() {
            site.restart_vm(index);
        }
        site.wait_ready().await;
        for vm in 0..site.vms.len() {
            expect_refusals(&site, vm, &crashing).await;
        }
    });
}

#[googletest::test]
fn no_sound_request_is_refused_after_servers_crash_for_other_reasons() {
    block_on(async {
        let site = model_site(6, 3).await;
        let crashing = CrashingParts::install(&site, vec![CrashingPart::new(BAD)], DOWNTIME);
        let sound = send_prompts(
            &site,
            &[0, 1, 2],
            60.0,
            Duration::from_secs(12),
            sound_parts,
        );
        let crashes = async {
            compio::time::sleep(Duration::from_secs(2)).await;
            for turn in 0..6 {
                let mut servers = site.servers.iter().cycle().skip(turn).take(2);
                let (one, other) = (servers.next(), servers.next());
                let (one, other) = (one.expect("a server"), other.expect("a server"));
                join!(crashing.restart(one), crashing.restart(other));
            }
        };
        let (sound, ()) = join!(sound, crashes);
        let refused = (0..3)
            .flat_map(|vm| site.log(vm))
            .filter(|line| line["message"] == "request refused" && line["failure"] == "Poison");
        expect_that!(refused.count(), eq(0));
        let end = Instant::now();
        expect_that!(served(&sound, end - Duration::from_secs(3), end), ge(0.9));
    });
}
