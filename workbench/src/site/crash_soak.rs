//! A bounded soak in which parts of prompts crash model runners while VMs, the store and other
//! runners are disturbed, drawn from a seed.

use super::crashing_parts::{CrashingPart, CrashingParts, FIRST_PART, prompt};
use super::{Caller, Site, StoreFaults, route, runner_service};
use nix::sys::signal::Signal;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The callers with sound prompts of each VM.
const CALLERS_PER_VM: usize = 4;
/// The mean pause of such a caller between two requests.
const CALLER_PAUSE: Duration = Duration::from_millis(200);
/// The number of subjects of sound prompts.
const SUBJECTS: u32 = 40;
/// The time before the first bad prompt.
const CALM_BEGIN: Duration = Duration::from_secs(4);
/// How long requests go on after the last event.
const CALM_END: Duration = Duration::from_secs(9);
/// The last part of that, in which sound requests are served as before.
const CHECKED_END: Duration = Duration::from_secs(4);
/// The mean time between two events.
const EVENT_INTERVAL: Duration = Duration::from_millis(1_500);
/// How long after a disturbance a VM is not held to the rules.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// How long a VM that gets SIGTERM may take.
const GRACE: Duration = Duration::from_secs(6);
/// The crashes after which a part has to be known.
const MAX_CRASHES: usize = 5;
/// The requests that may be sent to runners later.
const MAX_SENT: usize = 3;
/// The share of sound requests that is served at the end.
const MIN_SERVED: f64 = 0.9;
/// The share of sound requests that may be refused because they are taken for bad ones.
const MAX_FALSELY_REFUSED: f64 = 0.005;

/// A sound request as its caller saw it.
struct SoundRequest {
    id: String,
    sent_at: Instant,
    is_whole: bool,
}

/// What the soak has seen.
#[derive(Default)]
struct Seen {
    sound: RefCell<Vec<SoundRequest>>,
    /// The VM that each bad request was sent to.
    bad: RefCell<HashMap<String, usize>>,
    /// When each VM was disturbed, with the time for which it is not held to the rules.
    disturbed: RefCell<Vec<(usize, Instant, Instant)>>,
    is_over: Cell<bool>,
}

impl Seen {
    fn disturb(&self, vm: usize, from: Instant, to: Instant) {
        let mut disturbed = self.disturbed.borrow_mut();
        disturbed.push((vm, from, to + STABLE_WINDOW));
    }

    fn is_disturbed(&self, vm: usize, at: Instant) -> bool {
        let disturbed = self.disturbed.borrow();
        let mut of_vm = disturbed.iter().filter(|it| it.0 == vm);
        of_vm.any(|(_, from, to)| (*from..*to).contains(&at))
    }
}

/// Runs the soak on `vms` VMs; returns what was broken.
pub async fn run(seed: u64, vms: usize, duration: Duration) -> Vec<String> {
    let mut random = StdRng::seed_from_u64(seed);
    let runners = random.random_range(5..10);
    let mut site = Site::start(vec![("llm", vec![("m0", vec![])]); runners]).await;
    site.configure(
        json!([route("/s/", "streaming", "llm")]),
        json!([runner_service("llm", &[("m0", 0)])]),
    );
    site.start_vms(vms);
    site.wait_ready().await;
    let bad_from = Instant::now() + CALM_BEGIN;
    let parts = draw_parts(&mut random, bad_from);
    println!("{runners} runners, {parts:?}");
    let downtime = Duration::from_millis(random.random_range(300..3_000));
    let crashing = CrashingParts::install(&site, parts.clone(), downtime);
    let seen = Rc::new(Seen::default());
    let addresses: Vec<_> = (0..vms).map(|vm| site.front(vm)).collect();
    let mut tasks = Vec::new();
    for index in 0..vms * CALLERS_PER_VM {
        let address = addresses[index % vms];
        let bad: HashSet<String> = parts.iter().map(|part| part.id.clone()).collect();
        tasks.push(compio::runtime::spawn(send_sound(
            seen.clone(),
            address,
            bad,
            bad_from,
        )));
    }
    for part in &parts {
        let pause = Duration::from_secs_f64(1.0 / random.random_range(1.0..8.0));
        let (part, addresses) = (part.clone(), addresses.clone());
        tasks.push(compio::runtime::spawn(send_bad(
            seen.clone(),
            part,
            addresses,
            pause,
        )));
    }
    play(&mut random, &mut site, &seen, &crashing, duration).await;
    seen.is_over.set(true);
    for task in tasks {
        task.await.expect("a caller does not panic");
    }
    check(&site, &seen, &crashing, &parts)
}

/// Draws one to three parts; some are of sound prompts until they become bad.
fn draw_parts(random: &mut StdRng, bad_from: Instant) -> Vec<CrashingPart> {
    let count = random.random_range(1..4);
    let parts = (0..count).map(|index| CrashingPart {
        id: match random.random_range(0..3) {
            0 => subject(index),
            _ => format!("bad{index}"),
        },
        active_from: bad_from + Duration::from_millis(random.random_range(0..6_000)),
        delay: Duration::from_millis(random.random_range(0..150)),
        events: random.random_range(0..3),
    });
    parts.collect()
}

fn subject(index: u32) -> String {
    format!("5{index:02}")
}

/// Sends one sound prompt after the other to a VM, on a connection that is kept as long as it lasts.
async fn send_sound(
    seen: Rc<Seen>,
    address: std::net::SocketAddr,
    bad: HashSet<String>,
    bad_from: Instant,
) {
    let caller = Caller::default();
    while !seen.is_over.get() {
        let subject = subject(rand::random_range(0..SUBJECTS));
        if bad.contains(&subject) && Instant::now() + STABLE_WINDOW > bad_from {
            continue;
        }
        let request = prompt(&[FIRST_PART, &subject]);
        let sent_at = Instant::now();
        let answer = caller.request(address, &request).await;
        seen.sound.borrow_mut().push(SoundRequest {
            id: request.id,
            sent_at,
            is_whole: answer.status == Some(200) && answer.is_complete,
        });
        let pause = CALLER_PAUSE.mul_f64(rand::random_range(0.5..1.5));
        compio::time::sleep(pause).await;
    }
}

/// Sends prompts with a bad part, no two alike, each again to another VM if it fails.
async fn send_bad(
    seen: Rc<Seen>,
    part: CrashingPart,
    addresses: Vec<std::net::SocketAddr>,
    pause: Duration,
) {
    compio::time::sleep_until(part.active_from).await;
    while !seen.is_over.get() {
        let (seen, id, addresses) = (seen.clone(), part.id.clone(), addresses.clone());
        compio::runtime::spawn(async move {
            for _ in 0..2 {
                let vm = rand::random_range(0..addresses.len());
                let request = prompt(&[FIRST_PART, &id]);
                seen.bad.borrow_mut().insert(request.id.clone(), vm);
                Caller::default().request(addresses[vm], &request).await;
            }
        })
        .detach();
        compio::time::sleep(pause.mul_f64(rand::random_range(0.5..1.5))).await;
    }
}

/// Plays drawn events, each of which ends by itself, and a calm end.
async fn play(
    random: &mut StdRng,
    site: &mut Site,
    seen: &Seen,
    crashing: &Rc<CrashingParts>,
    duration: Duration,
) {
    let end = Instant::now() + duration;
    let mut next_event = Instant::now() + CALM_BEGIN;
    let mut thaws: Vec<(usize, Instant)> = Vec::new();
    let mut restarts: Vec<(usize, Instant)> = Vec::new();
    let mut store_back: Option<Instant> = None;
    while Instant::now() < end + CALM_END {
        let now = Instant::now();
        if store_back.is_some_and(|until| now >= until) {
            site.store.set(StoreFaults::default());
            store_back = None;
        }
        site.resume_due(&mut thaws, &mut restarts, now);
        if now >= next_event && now < end {
            next_event = now + EVENT_INTERVAL.mul_f64(random.random_range(0.2..1.8));
            let vm = random.random_range(0..site.vms.len());
            let kind = random.random_range(0..9);
            let lasts = Duration::from_secs_f64(random.random_range(0.5..2.5));
            println!("event {kind} at vm-{vm} for {lasts:?}");
            let mut stopped = thaws.iter().chain(&restarts);
            let is_stopped = stopped.any(|it| it.0 == vm);
            match kind {
                0 if !is_stopped => {
                    seen.disturb(vm, now, now + lasts);
                    site.vms[vm].signal(Signal::SIGSTOP);
                    thaws.push((vm, now + lasts));
                }
                1 if !is_stopped => {
                    seen.disturb(vm, now, now + lasts);
                    site.vms[vm].signal(Signal::SIGKILL);
                    restarts.push((vm, now + lasts));
                }
                2 if !is_stopped => {
                    seen.disturb(vm, now, now + GRACE);
                    site.vms[vm].signal(Signal::SIGTERM);
                    restarts.push((vm, now + GRACE));
                }
                3 if store_back.is_none() => {
                    for vm in 0..site.vms.len() {
                        seen.disturb(vm, now, now + lasts);
                    }
                    site.store.set(StoreFaults {
                        is_down: true,
                        ..StoreFaults::default()
                    });
                    store_back = Some(now + lasts);
                }
                4 if thaws.is_empty() && restarts.is_empty() => {
                    for vm in 0..site.vms.len() {
                        seen.disturb(vm, now, now + lasts);
                        site.vms[vm].signal(Signal::SIGKILL);
                        restarts.push((vm, now + lasts));
                    }
                }
                5..9 => {
                    let server = random.random_range(0..site.servers.len());
                    let server = site.servers[server].clone();
                    if !server.is_dead() {
                        let crashing = crashing.clone();
                        compio::runtime::spawn(async move { crashing.restart(&server).await })
                            .detach();
                    }
                }
                _ => {}
            }
        }
        compio::time::sleep(Duration::from_millis(20)).await;
    }
}

fn check(
    site: &Site,
    seen: &Seen,
    crashing: &CrashingParts,
    parts: &[CrashingPart],
) -> Vec<String> {
    let mut findings = Vec::new();
    for part in parts {
        let id = &part.id;
        let mut late = crashing.arrivals_after_crashes(id, MAX_CRASHES, STABLE_WINDOW);
        late.retain(|arrival| {
            let vm = seen.bad.borrow().get(&arrival.request).copied();
            vm.is_none_or(|vm| !seen.is_disturbed(vm, arrival.at))
        });
        let crashes = crashing.crashes(id).len();
        println!(
            "{id}: {crashes} crashes, {} requests at runners",
            crashing.arrivals(id).len()
        );
        if late.len() > MAX_SENT {
            findings.push(format!(
                "{id}: {} requests sent late, {crashes} crashes",
                late.len()
            ));
        }
    }
    let sound = seen.sound.borrow();
    let end = sound.iter().map(|it| it.sent_at).max();
    let end = end.unwrap_or_else(Instant::now);
    let last: Vec<_> = sound
        .iter()
        .filter(|it| it.sent_at + CHECKED_END > end)
        .collect();
    let served = last.iter().filter(|it| it.is_whole).count() as f64 / last.len().max(1) as f64;
    println!(
        "{} sound requests, {served:.3} of the last ones served",
        sound.len()
    );
    if served < MIN_SERVED {
        findings.push(format!(
            "{served:.2} of the sound requests served at the end"
        ));
    }
    let ids: HashSet<&str> = sound.iter().map(|it| it.id.as_str()).collect();
    let logs = (0..site.vms.len()).flat_map(|vm| site.log(vm));
    let refused = logs.filter(|line| {
        let request = line["request"].as_str().unwrap_or_default();
        line["failure"] == "Poison" && ids.contains(request)
    });
    let refused = refused.count();
    println!("{refused} sound requests taken for bad ones");
    if refused as f64 > MAX_FALSELY_REFUSED * sound.len() as f64 {
        findings.push(format!(
            "{refused} of {} sound requests refused",
            sound.len()
        ));
    }
    if !findings.is_empty() {
        for vm in 0..site.vms.len() {
            for line in site.log(vm) {
                let message = line["message"].as_str().unwrap_or_default();
                if message.contains("contain") || message.contains("crash") {
                    println!("vm-{vm} {line}");
                }
            }
        }
    }
    findings
}
