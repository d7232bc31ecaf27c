//! A bounded soak of VMs beside clients that misbehave: crowds of all kinds, restarts, kills, signals
//! and changes of the configuration, drawn from a seed, in series that overlap, while ordinary callers
//! keep their connections open until the process is gone. Checked are the memory and the descriptors of
//! each VM, that none ends by itself, and what ordinary callers and servers have seen.

use super::crowd_requests::{
    answer, ask_for_unknown_weights, ask_stream, ask_unknown_host, endless_body, endless_chunks,
    endless_head, get,
};
use super::{Caller, CallerRequest, Site, plain, route, runner_service};
use crate::crowd::{Crowd, Misbehaviour, Reading};
use crate::usage::{DescriptorWatch, of_process};
use nix::sys::signal::Signal;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::ops::Range;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The memory and the descriptors of each VM.
const MEMORY_MB: u64 = 64;
const MAX_FDS: usize = 600;
/// The model runners, and the plain servers.
const SERVERS: usize = 2;
/// The ordinary callers of each VM.
const CALLERS_PER_VM: usize = 3;
/// The pause of an ordinary caller between two requests.
const CALLER_PAUSE: Duration = Duration::from_millis(100);
/// The events of a stream that an ordinary caller asks for, and the bytes of each.
const EVENTS: u64 = 5;
const EVENT_BYTES: usize = 40;
/// The lengths of plain answers that ordinary callers ask for.
const ANSWER_BYTES: [usize; 3] = [20, 5_000, 200_000];
/// The mean time between two events of the soak.
const EVENT_INTERVAL: Duration = Duration::from_millis(500);
/// The clients of a crowd, and how long it misbehaves, in milliseconds.
const CROWD_CLIENTS: Range<usize> = 20..250;
const CROWD_MS: Range<u64> = 500..5_000;
/// The crowds at one time.
const MAX_CROWDS: usize = 4;
/// How long a VM that gets SIGTERM may take.
const GRACE: Duration = Duration::from_secs(6);
/// The pause between two steps of a client that reads or sends by bytes.
const BYTE_PAUSE: Duration = Duration::from_millis(50);
/// After which time an ordinary caller without an answer counts as not served at all.
const HANG_LIMIT: Duration = Duration::from_secs(60);

/// What the soak has seen.
#[derive(Default)]
struct Seen {
    /// How often servers ran each request.
    runs: RefCell<HashMap<String, u32>>,
    ends: RefCell<BTreeMap<String, usize>>,
    findings: RefCell<Vec<String>>,
    is_over: Cell<bool>,
}

impl Seen {
    fn find(&self, finding: String) {
        self.findings.borrow_mut().push(finding);
    }

    fn runs_of(&self, id: &str) -> u32 {
        self.runs.borrow().get(id).copied().unwrap_or(0)
    }
}

/// One life of a VM's process.
struct Life {
    vm: usize,
    pid: u32,
    descriptors: DescriptorWatch,
}

impl Life {
    fn begin(site: &Site, vm: usize) -> Self {
        let pid = site.vms[vm].id();
        Self {
            vm,
            pid,
            descriptors: DescriptorWatch::start(pid),
        }
    }

    /// Checks what the process, which still runs, has used at most.
    fn check(&self, seen: &Seen) {
        let Self { vm, pid, .. } = self;
        let peak_kib = of_process(*pid).peak_rss_kib;
        let descriptors = self.descriptors.most();
        println!("vm-{vm}: peak {peak_kib} KiB, {descriptors} descriptors");
        if peak_kib > MEMORY_MB * 1_000_000 / 1_024 {
            seen.find(format!(
                "MEMORY: vm-{vm} had {peak_kib} KiB of {MEMORY_MB} MB"
            ));
        }
        if descriptors >= MAX_FDS {
            seen.find(format!(
                "DESCRIPTORS: vm-{vm} had {descriptors} of {MAX_FDS}"
            ));
        }
    }
}

/// A client of one of the kinds that misbehave.
fn misbehaviour(kind: u32) -> Misbehaviour {
    let by_bytes = Reading::Bytes(64, BYTE_PAUSE);
    match kind {
        0 => Misbehaviour::silent(get("/b/1000000")),
        1 => Misbehaviour::silent(get("/b/60000")).reads(by_bytes),
        2 => Misbehaviour::silent(ask_stream(30, 100_000)).reads(by_bytes),
        3 => Misbehaviour::silent(endless_head(15_000)),
        4 => Misbehaviour::silent(endless_body(900_000, 800_000)),
        5 => Misbehaviour::silent(endless_chunks(60_000)).repeats("1\r\nb\r\n", BYTE_PAUSE),
        6 => Misbehaviour::silent("").reads(by_bytes),
        7 => Misbehaviour::silent(get("/b/8000").repeat(20)),
        8 => Misbehaviour::silent(ask_unknown_host(5_000).repeat(20)).reads(Reading::All),
        9 => Misbehaviour::silent(ask_for_unknown_weights(5_000).repeat(20)).reads(Reading::All),
        _ => Misbehaviour::silent(ask_stream(0, 0)).leaves_after(BYTE_PAUSE * 10),
    }
}

/// Starts a crowd of one or all kinds at a VM.
fn start_crowd(address: SocketAddr, random: &mut StdRng) -> Crowd {
    const KINDS: u32 = 11;
    let count = random.random_range(CROWD_CLIENTS);
    let only = random
        .random_bool(0.7)
        .then(|| random.random_range(0..KINDS));
    let returns = random.random_bool(0.5);
    Crowd::start(address, count, |number| {
        let client = misbehaviour(only.unwrap_or(number as u32 % KINDS));
        if returns { client.returns() } else { client }
    })
}

fn configure(site: &mut Site, random: &mut StdRng) {
    let mut routes = vec![
        route("/", "safe", "books"),
        route("/unsafe/", "unsafe", "books"),
        route("/s/", "streaming", "llm"),
    ];
    for route in &mut routes {
        route["priority"] = json!(random.random_range(1..4));
    }
    site.max_header_bytes = [16_384, 32_768][random.random_range(0..2)];
    let services = json!([plain("books"), runner_service("llm", &[("m0", 0)])]);
    site.configure(json!(routes), services);
}

/// Runs the soak; returns what was broken.
pub async fn run(seed: u64, vms: usize, duration: Duration) -> Vec<String> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut servers = vec![("llm", vec![("m0", vec![])]); SERVERS];
    servers.extend(vec![("books", vec![]); SERVERS]);
    let mut site = Site::start(servers).await;
    let seen = Rc::new(Seen::default());
    for server in &site.servers {
        let seen = seen.clone();
        server.script(move |request| {
            let id = request.header("x-attempt-id").to_owned();
            *seen.runs.borrow_mut().entry(id).or_default() += 1;
            answer(request)
        });
    }
    site.memory_mb = MEMORY_MB;
    site.max_fds = MAX_FDS;
    configure(&mut site, &mut random);
    site.start_vms(vms);
    site.wait_ready().await;
    let callers = (0..vms * CALLERS_PER_VM).map(|index| {
        let address = site.front(index % vms);
        compio::runtime::spawn(call_until_over(seen.clone(), address))
    });
    let callers: Vec<_> = callers.collect();
    let lives = play_events(&mut site, &seen, &mut random, duration).await;
    seen.is_over.set(true);
    for caller in callers {
        caller.await.expect("a caller does not panic");
    }
    for vm in 0..vms {
        if !is_served(site.front(vm)).await {
            seen.find(format!("HANGS: vm-{vm} serves nobody after the crowds"));
        }
    }
    for life in &lives {
        life.check(&seen);
    }
    println!("ordinary requests: {:?}", seen.ends.borrow());
    seen.findings.take()
}

/// Whether an ordinary request is answered, however often its caller has to come.
async fn is_served(address: SocketAddr) -> bool {
    let began = Instant::now();
    while began.elapsed() < HANG_LIMIT {
        let request = CallerRequest::get("/b/20");
        let answer = Caller::default().request(address, &request).await;
        if answer.status == Some(200) && answer.is_complete {
            return true;
        }
        compio::time::sleep(CALLER_PAUSE).await;
    }
    false
}

/// Sends one request after the other to a VM, on a connection that is kept as long as it lasts.
async fn call_until_over(seen: Rc<Seen>, address: SocketAddr) {
    let caller = Caller::default();
    while !seen.is_over.get() {
        let bytes = ANSWER_BYTES[rand::random_range(0..ANSWER_BYTES.len())];
        let request = match rand::random_range(0..3) {
            0 => CallerRequest::get(&format!("/b/{bytes}")),
            1 => CallerRequest::post(&format!("/unsafe/{bytes}"), "once"),
            _ => CallerRequest::model(&format!("/s/{EVENTS}/{EVENT_BYTES}"), "m0"),
        };
        let is_stream = request.path.starts_with("/s/");
        let whole_bytes = match is_stream {
            true => {
                let of_event = |number| format!("id: {number}\ndata: \n\n").len() + EVENT_BYTES;
                (1..=EVENTS).map(of_event).sum()
            }
            false => bytes,
        };
        let answer = caller.request(address, &request).await;
        let is_whole = answer.body.len() == whole_bytes;
        let runs = seen.runs_of(&request.id);
        let what = format!("{} {}", request.path, request.id);
        if answer.status == Some(200) && answer.is_complete && !is_whole {
            seen.find(format!("MIXED: {what} has {} bytes", answer.body.len()));
        }
        if runs > 1 && request.path.starts_with("/unsafe/") {
            seen.find(format!("TWICE: {what} ran {runs} times"));
        }
        let end = match answer.status {
            Some(status) if answer.is_complete => status.to_string(),
            Some(status) => format!("{status}, cut"),
            None if runs > 0 => "no answer, ran".to_owned(),
            None => "no answer, not run".to_owned(),
        };
        *seen.ends.borrow_mut().entry(end).or_default() += 1;
        compio::time::sleep(CALLER_PAUSE).await;
        if answer.promises_not_run() && !is_stream && seen.runs_of(&request.id) > 0 {
            seen.find(format!("REFUSED: {what} ran, and was called not run"));
        }
    }
}

/// Plays drawn events; returns the lives of the processes that run at the end.
async fn play_events(
    site: &mut Site,
    seen: &Seen,
    random: &mut StdRng,
    duration: Duration,
) -> Vec<Life> {
    let end = Instant::now() + duration;
    let mut lives: Vec<Life> = (0..site.vms.len())
        .map(|vm| Life::begin(site, vm))
        .collect();
    let mut crowds: Vec<(Crowd, Instant)> = Vec::new();
    let mut restarts: Vec<(usize, Instant)> = Vec::new();
    let mut next_event = Instant::now();
    while Instant::now() < end || !restarts.is_empty() || !crowds.is_empty() {
        let now = Instant::now();
        let over: Vec<_> = crowds.extract_if(.., |(_, until)| now >= *until).collect();
        for (crowd, _) in over {
            crowd.end().await;
        }
        for (vm, _) in restarts.extract_if(.., |(_, at)| now >= *at) {
            site.vms[vm].kill();
            site.restart_vm(vm);
            lives[vm] = Life::begin(site, vm);
        }
        for (vm, life) in lives.iter_mut().enumerate() {
            let is_stopped = restarts.iter().any(|(other, _)| *other == vm);
            if !is_stopped && site.vms[vm].has_ended() {
                seen.find(format!("ENDED: vm-{vm} ended by itself"));
                site.restart_vm(vm);
                *life = Life::begin(site, vm);
            }
        }
        if now >= next_event && now < end {
            next_event = now + EVENT_INTERVAL.mul_f64(random.random_range(0.3..1.7));
            let vm = random.random_range(0..site.vms.len());
            let is_running = restarts.iter().all(|(other, _)| *other != vm);
            match random.random_range(0..10) {
                0 if is_running => {
                    lives[vm].check(seen);
                    site.vms[vm].signal(Signal::SIGTERM);
                    restarts.push((vm, now + GRACE));
                }
                1 if is_running => {
                    lives[vm].check(seen);
                    site.vms[vm].kill();
                    let down = Duration::from_millis(random.random_range(0..1_000));
                    restarts.push((vm, now + down));
                }
                2 => site.vms[vm].signal(Signal::SIGHUP),
                3 => configure(site, random),
                _ if crowds.len() < MAX_CROWDS => {
                    let lasts = Duration::from_millis(random.random_range(CROWD_MS));
                    crowds.push((start_crowd(site.front(vm), random), now + lasts));
                }
                _ => {}
            }
        }
        compio::time::sleep(Duration::from_millis(10)).await;
    }
    lives
}
