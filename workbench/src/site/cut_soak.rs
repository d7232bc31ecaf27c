//! A bounded soak of VMs that are cut off from all servers: cuts of three kinds drawn from a seed, in
//! series and overlapping with signals, restarts, an unavailable store and changes of the
//! configuration, while callers keep their connections open.

use super::{BlackHole, Caller, CallerRequest, Site, StoreFaults, plain, route};
use crate::proxy::{Faults, Proxy};
use nix::sys::signal::Signal;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The plain servers.
const SERVERS: usize = 4;
/// The callers of each VM.
const CALLERS_PER_VM: usize = 4;
/// The mean pause of a caller between two requests.
const CALLER_PAUSE: Duration = Duration::from_millis(60);
/// The mean time between two events.
const EVENT_INTERVAL: Duration = Duration::from_millis(900);
/// How long requests go on after the last event.
const CALM_END: Duration = Duration::from_secs(4);
/// How long after the begin or the end of a cut a VM's answers are not counted.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// How long after any other disturbance they are not counted.
const RECOVERY: Duration = Duration::from_secs(5);
/// How long a VM that gets SIGTERM may take.
const GRACE: Duration = Duration::from_secs(6);

/// A request as its caller saw it.
struct SentRequest {
    vm: usize,
    sent_at: Instant,
    ended_at: Instant,
    status: Option<u16>,
    promises_not_run: bool,
}

/// What the soak has seen.
#[derive(Default)]
struct Seen {
    requests: RefCell<HashMap<String, SentRequest>>,
    /// The spans in which the requests of a VM are not counted.
    uncounted: RefCell<Vec<(usize, Instant, Instant)>>,
    is_over: Cell<bool>,
}

impl Seen {
    fn exclude(&self, vm: usize, from: Instant, to: Instant) {
        self.uncounted.borrow_mut().push((vm, from, to));
    }

    fn counts(&self, request: &SentRequest) -> bool {
        let uncounted = self.uncounted.borrow();
        let mut of_vm = uncounted.iter().filter(|(vm, _, _)| *vm == request.vm);
        !of_vm.any(|(_, from, to)| *from <= request.ended_at && *to >= request.sent_at)
    }
}

/// The paths of one zone of VMs to the servers.
#[derive(Default)]
pub(super) struct Paths {
    proxies: Vec<Rc<Proxy>>,
    black_holes: Vec<BlackHole>,
    pub(super) cut_until: Option<Instant>,
}

impl Paths {
    pub(super) async fn heal(&mut self, site: &Site) {
        self.black_holes.clear();
        self.proxies.clear();
        self.cut_until = None;
        self.extend(site).await;
    }

    /// Adds the paths to servers that have come, unless the paths are cut.
    pub(super) async fn extend(&mut self, site: &Site) {
        if self.cut_until.is_some() {
            return;
        }
        for index in self.proxies.len()..site.servers.len() {
            let proxy = Proxy::start(site.path_address(index), site.servers[index].address()).await;
            proxy.set(Faults {
                resets: true,
                ..Faults::default()
            });
            self.proxies.push(proxy);
        }
    }

    /// Refuses new connections; `kind` below 1 leaves open ones as they are, below 2 resets them,
    /// and above makes them silent and new ones hang.
    pub(super) async fn cut(&mut self, site: &Site, kind: u32, until: Instant) {
        for proxy in &self.proxies {
            proxy.close();
            match kind {
                0 => {}
                1 => proxy.cut(),
                _ => proxy.silence(),
            }
        }
        compio::time::sleep(Duration::from_millis(50)).await;
        if kind > 1 {
            let addresses = (0..self.proxies.len()).map(|index| site.path_address(index));
            self.black_holes = addresses.map(BlackHole::start).collect();
        }
        self.cut_until = Some(until);
    }
}

fn configure(site: &mut Site) {
    site.configure(
        json!([
            route("/", "safe", "books"),
            route("/orders/", "unsafe", "books"),
        ]),
        json!([plain("books")]),
    );
}

/// Runs the soak on `vms` VMs, the last third of which is cut off at times; returns what was broken.
pub async fn run(seed: u64, vms: usize, duration: Duration) -> Vec<String> {
    let mut site = Site::start(vec![("books", vec![]); SERVERS]).await;
    configure(&mut site);
    let first_cut = vms - (vms / 3).max(1);
    site.vms_with_paths = (first_cut..vms).collect();
    let mut paths = Paths::default();
    paths.heal(&site).await;
    site.start_vms(vms);
    site.wait_ready().await;
    let seen = Rc::new(Seen::default());
    let callers = (0..vms * CALLERS_PER_VM).map(|index| {
        let vm = index % vms;
        compio::runtime::spawn(call_until_over(seen.clone(), vm, site.front(vm)))
    });
    let callers: Vec<_> = callers.collect();
    play_events(&mut site, &seen, &mut paths, seed, duration).await;
    seen.is_over.set(true);
    for caller in callers {
        caller.await.expect("a caller does not panic");
    }
    let mut findings = Vec::new();
    check_runs(&site, &seen, &mut findings);
    check_served(&seen, first_cut, &mut findings);
    findings
}

/// Sends one request after the other to a VM, on a connection that is kept as long as it lasts.
async fn call_until_over(seen: Rc<Seen>, vm: usize, address: std::net::SocketAddr) {
    let caller = Caller::default();
    let mut count = 0_u32;
    while !seen.is_over.get() {
        count += 1;
        let request = match count.is_multiple_of(3) {
            true => CallerRequest::post("/orders/new", "one"),
            false => CallerRequest::get("/books"),
        };
        let sent_at = Instant::now();
        let answer = caller.request(address, &request).await;
        let sent = SentRequest {
            vm,
            sent_at,
            ended_at: Instant::now(),
            status: answer.status.filter(|_| answer.is_complete),
            promises_not_run: answer.promises_not_run(),
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
    paths: &mut Paths,
    seed: u64,
    duration: Duration,
) {
    let mut random = StdRng::seed_from_u64(seed);
    let end = Instant::now() + duration;
    let mut thaws: Vec<(usize, Instant)> = Vec::new();
    let mut restarts: Vec<(usize, Instant)> = Vec::new();
    let mut store_back: Option<Instant> = None;
    let mut next_event = Instant::now() + EVENT_INTERVAL;
    loop {
        let now = Instant::now();
        let is_calm = thaws.is_empty()
            && restarts.is_empty()
            && store_back.is_none()
            && paths.cut_until.is_none();
        if now >= end + CALM_END && is_calm {
            return;
        }
        if paths.cut_until.is_some_and(|until| now >= until) {
            paths.heal(site).await;
            for vm in site.vms_with_paths.clone() {
                seen.exclude(vm, now, now + STABLE_WINDOW);
            }
        }
        if store_back.is_some_and(|until| now >= until) {
            site.store.set(StoreFaults::default());
            store_back = None;
        }
        site.resume_due(&mut thaws, &mut restarts, now);
        if now >= next_event && now < end {
            next_event = now + EVENT_INTERVAL.mul_f64(random.random_range(0.3..1.7));
            let vm = random.random_range(0..site.vms.len());
            let is_busy = thaws.iter().chain(&restarts).any(|(busy, _)| *busy == vm);
            let lasts = Duration::from_secs_f64(random.random_range(0.5..2.5));
            match random.random_range(0..8) {
                0..=2 if paths.cut_until.is_none() => {
                    let until = now + Duration::from_secs_f64(random.random_range(4.0..9.0));
                    let kind = random.random_range(0..3);
                    for vm in site.vms_with_paths.clone() {
                        seen.exclude(vm, now, now + STABLE_WINDOW);
                    }
                    paths.cut(site, kind, until).await;
                }
                3 if !is_busy => {
                    exclude_all(site, seen, vm, now, lasts);
                    site.vms[vm].signal(Signal::SIGSTOP);
                    thaws.push((vm, now + lasts));
                }
                4 if !is_busy => {
                    exclude_all(site, seen, vm, now, lasts);
                    site.vms[vm].signal(Signal::SIGKILL);
                    restarts.push((vm, now + lasts));
                }
                5 if !is_busy => {
                    exclude_all(site, seen, vm, now, GRACE);
                    site.vms[vm].signal(Signal::SIGTERM);
                    restarts.push((vm, now + GRACE));
                }
                6 if store_back.is_none() => {
                    site.store.set(StoreFaults {
                        is_silent: true,
                        ..StoreFaults::default()
                    });
                    store_back = Some(now + lasts);
                }
                _ => configure(site),
            }
        }
        compio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Leaves out the requests of a VM that is disturbed. VMs that are cut off may have forwarded
/// requests to it.
fn exclude_all(site: &Site, seen: &Seen, vm: usize, now: Instant, lasts: Duration) {
    seen.exclude(vm, now, now + lasts + RECOVERY);
    for cut_vm in &site.vms_with_paths {
        seen.exclude(*cut_vm, now, now + STABLE_WINDOW);
    }
}

/// Checks that each order ran at most once, and that none ran of which its caller was told that it
/// had not.
fn check_runs(site: &Site, seen: &Seen, findings: &mut Vec<String>) {
    let mut runs: HashMap<String, u32> = HashMap::new();
    for run in site.servers.iter().flat_map(|it| it.runs()) {
        if run.path.starts_with("/orders/") {
            let id = run.header("x-attempt-id").to_owned();
            *runs.entry(id).or_default() += 1;
        }
    }
    let requests = seen.requests.borrow();
    for (id, count) in runs {
        if count > 1 {
            findings.push(format!("TWICE: {id} ran {count} times"));
        }
        if requests.get(&id).is_some_and(|it| it.promises_not_run) {
            findings.push(format!("REFUSED: {id} ran, and was called not run"));
        }
    }
}

/// Checks that callers of VMs that were cut off were served nearly as often as those of others.
fn check_served(seen: &Seen, first_cut: usize, findings: &mut Vec<String>) {
    let requests = seen.requests.borrow();
    let share = |is_cut: bool| {
        let counted = requests.values();
        let counted = counted.filter(|it| (it.vm >= first_cut) == is_cut && seen.counts(it));
        let (mut count, mut served) = (0_usize, 0_usize);
        for request in counted {
            count += 1;
            served += usize::from(request.status == Some(200));
        }
        (count, served)
    };
    let ((cut, cut_served), (others, others_served)) = (share(true), share(false));
    println!(
        "{cut_served} of {cut} served at VMs with cuts, {others_served} of {others} at others"
    );
    let failed = cut - cut_served;
    if 3 * cut_served * others < 2 * others_served * cut && failed > 10 + cut / 50 {
        findings.push(format!(
            "RECOVER: {cut_served} of {cut} served at VMs with cuts"
        ));
    }
    if others - others_served > 10 + others / 50 {
        findings.push(format!("{others_served} of {others} served at other VMs"));
    }
}
