//! A bounded soak of sound servers that fall silent and go on: silences and refusals drawn from a seed,
//! beside changes of the configuration, SIGHUP and SIGTERM in series that overlap, while callers keep
//! their connections open until the process is gone.

use super::events::{events_text, remaining_events};
use super::{
    Caller, CallerRequest, ReceivedRequest, ScriptStep, Site, plain, route, runner_service,
    signed_answer,
};
use crate::process::SignalFlood;
use nix::sys::signal::Signal;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The model runners, and the plain servers.
const SERVERS: usize = 3;
/// The callers of each VM.
const CALLERS_PER_VM: usize = 6;
/// The mean pause of a caller between two requests.
const CALLER_PAUSE: Duration = Duration::from_millis(60);
/// Events of a whole stream, and the pause after each.
const EVENTS: u64 = 10;
const PAUSE_MS: u64 = 30;
/// The share of requests whose server falls silent, and for how many milliseconds.
const SILENT_SHARE: f64 = 0.15;
const SILENCE_MS: std::ops::Range<u64> = 500..1_500;
/// The share of requests that a server refuses.
const REFUSED_SHARE: f64 = 0.1;
/// The mean time between two events.
const EVENT_INTERVAL: Duration = Duration::from_millis(700);
/// How long a VM that gets SIGTERM may take.
const GRACE: Duration = Duration::from_secs(6);
/// How long after SIGTERM a VM has to finish the requests that it gets.
const INTAKE: Duration = Duration::from_secs(3);
/// How long a VM may take to start.
const START: Duration = Duration::from_secs(2);
/// How long after SIGTERM servers may still be at work on a request that has to be answered.
const MAX_WORK: Duration = Duration::from_secs(5);
/// How often SIGHUPs come to a VM without a pause, and for how many milliseconds.
const FLOOD_SHARE: f64 = 0.5;
const FLOOD_MS: std::ops::Range<u64> = 200..2_500;
/// Keeps the draws of floods apart from the others.
const FLOOD_SEED: u64 = 0x464c_4f4f_4400_0000;
/// How long a VM may take for an answer that needs no server.
const OWN_ANSWER_LIMIT: Duration = Duration::from_secs(1);
/// Further routes of a large configuration.
const MANY_ROUTES: usize = 1_400;
/// The kinds of requests, by the first part of their paths. The routes of the last two come and go.
const KINDS: [&str; 5] = ["s", "safe", "unsafe", "passing-s", "passing"];
/// The kind of requests that a VM answers by itself.
const UNROUTED: &str = "unrouted";
/// The body of a plain answer.
const PLAIN_BODY: &str = "the whole answer";

/// A request as its caller saw it.
struct SentRequest {
    vm: usize,
    path: String,
    sent_at: Instant,
    ended_at: Instant,
    status: Option<u16>,
    is_complete: bool,
    body: String,
}

impl SentRequest {
    fn is_stream(&self) -> bool {
        is_stream(&self.path)
    }

    /// Whether each configuration has a route for the request.
    fn is_routed(&self) -> bool {
        !self.path.starts_with("/passing") && !self.is_unrouted()
    }

    fn is_unrouted(&self) -> bool {
        self.path.starts_with("/unrouted/")
    }

    fn is_whole(&self) -> bool {
        let expected = match self.is_stream() {
            true => events_text(1, EVENTS),
            false => PLAIN_BODY.to_owned(),
        };
        self.status == Some(200) && self.is_complete && self.body == expected
    }
}

/// What the soak has seen.
#[derive(Default)]
struct Seen {
    requests: RefCell<HashMap<String, SentRequest>>,
    /// How often servers ran each request.
    runs: RefCell<HashMap<String, u32>>,
    /// When VMs got the first SIGTERM of a life.
    stops: RefCell<Vec<(usize, Instant)>>,
    findings: RefCell<Vec<String>>,
    is_over: Cell<bool>,
}

impl Seen {
    /// Whether the VM was stopped or not yet started again when the request ended.
    fn is_stopped(&self, request: &SentRequest) -> bool {
        let stops = self.stops.borrow();
        let mut of_vm = stops.iter().filter(|(vm, _)| *vm == request.vm);
        of_vm.any(|(_, at)| request.ended_at > *at && request.ended_at < *at + GRACE + START)
    }

    /// Whether the VM may close a connection with this request without an answer.
    fn may_be_cut(&self, request: &SentRequest) -> bool {
        let stops = self.stops.borrow();
        let mut of_vm = stops.iter().filter(|(vm, _)| *vm == request.vm);
        of_vm.any(|(_, at)| {
            let is_late = request.sent_at > *at + INTAKE || request.ended_at > *at + MAX_WORK;
            is_late && request.sent_at < *at + GRACE
        })
    }
}

fn is_stream(path: &str) -> bool {
    path.starts_with("/s/") || path.starts_with("/passing-s/")
}

/// The answer of a sound server that falls silent at times.
fn answer(call: &ReceivedRequest, seen: &Seen, random: &mut StdRng) -> Vec<ScriptStep> {
    if random.random_bool(REFUSED_SHARE) {
        let refusal = b"HTTP/1.1 503 No\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
        return vec![ScriptStep::Write(refusal.to_vec())];
    }
    let id = call.header("x-attempt-id").to_owned();
    *seen.runs.borrow_mut().entry(id).or_default() += 1;
    let mut steps = match is_stream(&call.path) {
        true => remaining_events(call, EVENTS, PAUSE_MS),
        false => {
            let mut head = signed_answer(call.header("x-attempt-id"), 200, PLAIN_BODY);
            let rest = head.split_off(head.len() - 3);
            vec![ScriptStep::Write(head), ScriptStep::Write(rest)]
        }
    };
    if random.random_bool(SILENT_SHARE) {
        let silence = ScriptStep::Wait(Duration::from_millis(random.random_range(SILENCE_MS)));
        steps.insert(random.random_range(0..steps.len()), silence);
    }
    steps
}

/// A configuration that is drawn among some with the same lasting routes.
fn configure(site: &mut Site, random: &mut StdRng) {
    let mut routes = vec![
        route("/s/", "streaming", "llm"),
        route("/safe/", "safe", "books"),
        route("/unsafe/", "unsafe", "books"),
    ];
    for route in &mut routes {
        route["priority"] = json!(random.random_range(1..4));
        route["timeout_ms"] = json!(random.random_range(4_500..6_000));
    }
    if random.random_bool(0.5) {
        routes.push(route("/passing-s/", "streaming", "llm"));
        routes.push(route("/passing/", "safe", "books"));
    }
    if random.random_bool(0.2) {
        let further = (0..MANY_ROUTES).map(|index| route(&format!("/f-{index}/"), "safe", "books"));
        routes.extend(further);
    }
    let models: &[(&str, u32)] = match random.random_bool(0.5) {
        true => &[("m0", 0)],
        false => &[("m0", 0), ("m1", 0)],
    };
    let services = json!([runner_service("llm", models), plain("books")]);
    site.configure(Value::Array(routes), services);
}

/// Runs the soak; returns what was broken.
pub async fn run(seed: u64, vms: usize, duration: Duration) -> Vec<String> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut servers = vec![("llm", vec![("m0", vec![])]); SERVERS];
    servers.extend(vec![("books", vec![]); SERVERS]);
    let mut site = Site::start(servers).await;
    let seen = Rc::new(Seen::default());
    for server in &site.servers {
        let random = RefCell::new(StdRng::seed_from_u64(random.random()));
        let seen = seen.clone();
        server.script(move |call| answer(call, &seen, &mut random.borrow_mut()));
    }
    configure(&mut site, &mut random);
    site.start_vms(vms);
    site.wait_ready().await;
    let callers = (0..vms * CALLERS_PER_VM).map(|index| {
        let vm = index % vms;
        compio::runtime::spawn(call_until_over(seen.clone(), vm, site.front(vm), &KINDS))
    });
    let unrouted = (0..vms).map(|vm| {
        compio::runtime::spawn(call_until_over(
            seen.clone(),
            vm,
            site.front(vm),
            &[UNROUTED],
        ))
    });
    let callers: Vec<_> = callers.chain(unrouted).collect();
    let floods = StdRng::seed_from_u64(seed ^ FLOOD_SEED);
    play_events(&mut site, &seen, &mut random, floods, duration).await;
    seen.is_over.set(true);
    for caller in callers {
        caller.await.expect("a caller does not panic");
    }
    check(&seen);
    seen.findings.take()
}

/// Sends one request after the other to a VM, on a connection that is kept as long as it lasts.
async fn call_until_over(seen: Rc<Seen>, vm: usize, address: SocketAddr, kinds: &[&str]) {
    let caller = Caller::default();
    while !seen.is_over.get() {
        let kind = kinds[rand::random_range(0..kinds.len())];
        let path = format!("/{kind}/x");
        let request = match kind {
            "unsafe" => CallerRequest::post(&path, "one"),
            _ if is_stream(&path) => CallerRequest::model(&path, "m0"),
            _ => CallerRequest::get(&path),
        };
        let sent_at = Instant::now();
        let answer = caller.request(address, &request).await;
        let sent = SentRequest {
            vm,
            path,
            sent_at,
            ended_at: Instant::now(),
            status: answer.status,
            is_complete: answer.is_complete,
            body: answer.body,
        };
        seen.requests.borrow_mut().insert(request.id, sent);
        let pause = CALLER_PAUSE.mul_f64(rand::random_range(0.5..1.5));
        compio::time::sleep(pause).await;
    }
}

/// Plays drawn events, each of which ends by itself.
async fn play_events(
    site: &mut Site,
    seen: &Seen,
    random: &mut StdRng,
    mut flood_random: StdRng,
    duration: Duration,
) {
    let end = Instant::now() + duration;
    let mut flood: Option<(usize, Instant, SignalFlood)> = None;
    let mut signals: Vec<(usize, Signal, Instant)> = Vec::new();
    let mut configurations: Vec<Instant> = Vec::new();
    let mut restarts: Vec<(usize, Instant)> = Vec::new();
    let mut starting: Vec<usize> = Vec::new();
    let mut next_event = Instant::now() + EVENT_INTERVAL;
    while Instant::now() < end || !restarts.is_empty() || !starting.is_empty() {
        let now = Instant::now();
        for _ in configurations.extract_if(.., |at| now >= *at) {
            configure(site, random);
        }
        for (vm, signal, _) in signals.extract_if(.., |(_, _, at)| now >= *at) {
            site.vms[vm].signal(signal);
        }
        flood.take_if(|(vm, until, _)| now >= *until || site.vms[*vm].has_ended());
        for vm in starting.extract_if(.., |vm| TcpStream::connect(site.front(*vm)).is_ok()) {
            for _ in 0..random.random_range(0..5) {
                let at = now + Duration::from_millis(random.random_range(0..300));
                signals.push((vm, Signal::SIGHUP, at));
            }
        }
        for (vm, _) in restarts.extract_if(.., |(_, at)| now >= *at) {
            flood.take_if(|(other, _, _)| *other == vm);
            if !site.vms[vm].has_ended() {
                let finding = format!("DRAIN: vm-{vm} runs {GRACE:?} after SIGTERM");
                seen.findings.borrow_mut().push(finding);
            }
            site.vms[vm].kill();
            signals.retain(|(other, _, _)| *other != vm);
            site.restart_vm(vm);
            starting.push(vm);
        }
        for vm in 0..site.vms.len() {
            let is_stopped = restarts.iter().any(|(other, _)| *other == vm);
            if !is_stopped && site.vms[vm].has_ended() {
                let finding = format!("LOST: vm-{vm} ended by itself");
                seen.findings.borrow_mut().push(finding);
                site.restart_vm(vm);
                starting.push(vm);
            }
        }
        if now >= next_event && now < end {
            next_event = now + EVENT_INTERVAL.mul_f64(random.random_range(0.3..1.7));
            let vm = random.random_range(0..site.vms.len());
            let kind = random.random_range(0..8);
            let mut draw_at =
                |within_ms: u64| now + Duration::from_millis(random.random_range(0..=within_ms));
            let is_free = restarts.is_empty() && !starting.contains(&vm);
            match kind {
                0..=2 => configurations.extend((0..4).map(|_| draw_at(600))),
                3 => configurations.extend((0..8).map(|_| draw_at(100))),
                4 | 5 if is_free => {
                    seen.stops.borrow_mut().push((vm, now));
                    site.vms[vm].signal(Signal::SIGTERM);
                    restarts.push((vm, now + GRACE));
                    for signal in [Signal::SIGTERM, Signal::SIGHUP, Signal::SIGTERM] {
                        signals.push((vm, signal, draw_at(2_000)));
                    }
                    configurations.push(draw_at(500));
                }
                _ => {
                    let running = (0..site.vms.len()).filter(|vm| !starting.contains(vm));
                    for vm in running {
                        for _ in 0..3 {
                            signals.push((vm, Signal::SIGHUP, draw_at(200)));
                        }
                    }
                    configurations.push(draw_at(400));
                    let is_running = !starting.contains(&vm);
                    if is_running && flood.is_none() && flood_random.random_bool(FLOOD_SHARE) {
                        let lasts = Duration::from_millis(flood_random.random_range(FLOOD_MS));
                        let signals = site.vms[vm].flood(Signal::SIGHUP);
                        flood = Some((vm, now + lasts, signals));
                    }
                }
            }
        }
        compio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Checks how each request ended, and how often it ran.
fn check(seen: &Seen) {
    let runs = seen.runs.borrow();
    let mut ends: BTreeMap<String, usize> = BTreeMap::new();
    let requests = seen.requests.borrow();
    let mut findings = seen.findings.borrow_mut();
    for (id, request) in requests.iter() {
        let ran = runs.get(id).copied().unwrap_or(0);
        let end = match request.status {
            _ if request.is_whole() => "whole".to_owned(),
            Some(status) if request.is_complete => status.to_string(),
            Some(status) => format!("{status} cut"),
            None if ran > 0 => "no answer, ran".to_owned(),
            None if seen.is_stopped(request) => "not taken by a VM that leaves".to_owned(),
            None => "no answer, not run".to_owned(),
        };
        let took = request.ended_at - request.sent_at;
        let line = format!(
            "{} {id} at vm-{}: {end} after {took:?}",
            request.path, request.vm
        );
        let is_cut = ran > 0 && !request.is_complete;
        if is_cut && !seen.may_be_cut(request) {
            findings.push(format!("LOST: {line}"));
        } else if request.status == Some(200) && request.is_complete && !request.is_whole() {
            findings.push(format!("MIXED: {line}"));
        } else if request.status == Some(404) && request.is_routed() {
            findings.push(format!("CONFIG: {line}"));
        } else if request.is_unrouted() && took > OWN_ANSWER_LIMIT && !seen.is_stopped(request) {
            findings.push(format!("LATE: {line}"));
        }
        *ends.entry(end).or_default() += 1;
    }
    println!("{} requests: {ends:?}", requests.len());
    let unsafe_requests = requests
        .iter()
        .filter(|(_, it)| it.path.starts_with("/unsafe/"));
    for (id, request) in unsafe_requests {
        let runs = runs.get(id).copied().unwrap_or(0);
        if runs > 1 {
            findings.push(format!("TWICE: {id} ran {runs} times"));
        }
        if runs > 0 && matches!(request.status, Some(429 | 503 | 408 | 421)) {
            findings.push(format!("REFUSED: {id} ran, and was called not run"));
        }
    }
}
