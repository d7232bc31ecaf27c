//! Starts all VMs of a site at once and measures how long each takes until it routes a request.
//!
//! The times of the steps are those of the VMs' logs, counted from the line `started`. The first
//! routed request is one that a caller at each VM repeats until it is answered by a server.

use crate::site::{Caller, CallerRequest, Site, plain, route};
use futures_util::future::join_all;
use serde_json::{Value, json};
use std::time::{Duration, Instant, SystemTime};

/// The least pause between two requests of a caller to a VM that refuses them.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(10);
/// The same for each VM, so that callers of many VMs do not slow down the store, which shares their
/// thread.
const RETRY_PAUSE_PER_VM: Duration = Duration::from_micros(300);
/// The time after which a VM that routes nothing is given up.
const LIMIT: Duration = Duration::from_secs(30);
/// The time after the last first request until the VMs have written their logs.
const LOG_DELAY: Duration = Duration::from_millis(400);
/// How long the VMs run before all of them are killed, where they start again.
const RUN_TIME: Duration = Duration::from_secs(4);
/// Servers that answer; the others are only entries in the directory.
const ANSWERING_SERVERS: usize = 4;
/// The availability zones of the VMs.
const ZONES: usize = 4;

/// The steps that a VM logs, each with the message of its first log line.
const STEPS: [(&str, &str); 4] = [
    ("group joined", "group changed"),
    ("configuration", "configuration in force"),
    ("directory", "server listed"),
    ("containment", "contained causes known"),
];

/// What is started.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// The number of VMs.
    pub vms: usize,
    /// The number of servers in the directory.
    pub servers: usize,
    /// Whether all VMs ran before and were killed, so that the store still lists them as members.
    pub is_restart: bool,
}

/// Runs some starts and prints the times of each.
pub async fn run(size: Size, runs: usize) {
    println!("{size:?}");
    println!("{:<16} {:>7} {:>7} {:>7}", "STEP (ms)", "p50", "p90", "max");
    for _ in 0..runs {
        measure(size).await;
    }
}

async fn measure(size: Size) {
    let mut site = Site::start(vec![("books", vec![]); ANSWERING_SERVERS]).await;
    site.zones = ZONES;
    for index in ANSWERING_SERVERS..size.servers {
        let mut entry = site.servers[0].entry("ready");
        entry["service"] = json!("idle");
        site.store
            .put("keyed.servers", &format!("x-{index}"), &entry);
    }
    let routes = json!([route("/", "safe", "books")]);
    site.configure(routes, json!([plain("books"), plain("idle")]));
    site.start_vms(size.vms);
    if size.is_restart {
        site.wait_ready().await;
        compio::time::sleep(RUN_TIME).await;
        for vm in &site.vms {
            vm.signal(nix::sys::signal::Signal::SIGKILL);
        }
        for index in 0..size.vms {
            site.vms[index].kill();
            site.clear_log(index);
        }
        for index in 0..size.vms {
            site.restart_vm(index);
        }
    }
    let reads_before = site.store.whole_reads();
    let first = join_all((0..size.vms).map(|index| first_routed_at(&site, index))).await;
    compio::time::sleep(LOG_DELAY).await;
    report(&site, &first);
    for (topic, reads) in site.store.whole_reads() {
        let before = reads_before.get(&topic).copied().unwrap_or(0);
        println!("reads of the whole topic {topic}: {}", reads - before);
    }
    let owners = site.store.calls("/-/log-owners");
    println!("reads of the list of members: {owners}");
}

/// The time at which a VM answers its first request, in Unix milliseconds.
async fn first_routed_at(site: &Site, index: usize) -> Option<f64> {
    let caller = Caller::default();
    let pause = MIN_RETRY_PAUSE.max(RETRY_PAUSE_PER_VM * site.vms.len() as u32);
    let began = Instant::now();
    while began.elapsed() < LIMIT {
        let answer = caller
            .request(site.front(index), &CallerRequest::get("/"))
            .await;
        if answer.status == Some(200) {
            let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
            return now.ok().map(|it| it.as_secs_f64() * 1_000.0);
        }
        compio::time::sleep(pause).await;
    }
    None
}

fn report(site: &Site, first: &[Option<f64>]) {
    let logs: Vec<Vec<Value>> = (0..first.len()).map(|index| site.log(index)).collect();
    let started: Vec<Option<f64>> = logs.iter().map(|log| logged_at(log, "started")).collect();
    let begin = started.iter().flatten().copied().fold(f64::MAX, f64::min);
    let spread = started.iter().map(|at| Some(at.as_ref()? - begin));
    print_row("started", spread);
    for (step, message) in STEPS {
        let times = logs.iter().zip(&started);
        print_row(
            step,
            times.map(|(log, started)| Some(logged_at(log, message)? - started.as_ref()?)),
        );
    }
    let times = first.iter().zip(&started);
    print_row(
        "first routed",
        times.map(|(first, started)| Some(first.as_ref()? - started.as_ref()?)),
    );
}

fn print_row(step: &str, times: impl Iterator<Item = Option<f64>>) {
    let mut times: Vec<f64> = times.map(|time| time.unwrap_or(f64::INFINITY)).collect();
    times.sort_by(f64::total_cmp);
    let at = |share: f64| times[((times.len() - 1) as f64 * share).round() as usize];
    println!(
        "{step:<16} {:>7.0} {:>7.0} {:>7.0}",
        at(0.5),
        at(0.9),
        at(1.0)
    );
}

/// When the first line with this message was logged, in Unix milliseconds.
fn logged_at(log: &[Value], message: &str) -> Option<f64> {
    let line = log.iter().find(|line| line["message"] == message)?;
    unix_ms(line["timestamp"].as_str()?)
}

/// The milliseconds since midnight of a time such as `2020-01-31T10:00:00.123456Z`, on today's date.
fn unix_ms(timestamp: &str) -> Option<f64> {
    const DAY_MS: f64 = 86_400_000.0;
    let time = timestamp.split('T').nth(1)?.trim_end_matches('Z');
    let mut parts = time.split(':').map(|part| part.parse::<f64>().ok());
    let (hours, minutes, seconds) = (parts.next()??, parts.next()??, parts.next()??);
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let now_ms = now.ok()?.as_secs_f64() * 1_000.0;
    let of_day = ((hours * 60.0 + minutes) * 60.0 + seconds) * 1_000.0;
    let midnight = now_ms - now_ms % DAY_MS;
    let at = midnight + of_day;
    // The line may be of the day before.
    Some(if at > now_ms { at - DAY_MS } else { at })
}
