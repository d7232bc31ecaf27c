//! A bounded soak that changes the configuration in series, drawn from a seed, while single VMs or
//! their paths to the store are disturbed: every answer agrees with a version that may be in force.

use super::config_history::{ConfigHistory, Handling, Probe, SERVICES};
use super::{BlackHole, Caller, CallerRequest, CpuQuota, Site, StoreFaults};
use crate::proxy::{Faults, Proxy};
use nix::sys::signal::Signal;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The servers of each service.
const SERVERS: usize = 2;
/// The callers of each VM.
const CALLERS_PER_VM: usize = 3;
/// The mean pause of a caller between two requests.
const CALLER_PAUSE: Duration = Duration::from_millis(50);
/// The newest changes that callers ask for.
const PROBED_CHANGES: usize = 10;
/// The mean time between two changes of the configuration.
const CHANGE_INTERVAL: Duration = Duration::from_millis(900);
/// The mean time between two events.
const EVENT_INTERVAL: Duration = Duration::from_millis(1_100);
/// The further routes of a large version.
const MANY_ROUTES: usize = 1_500;
/// How long requests go on after the last event.
const CALM_END: Duration = Duration::from_secs(8);
/// The time from the acknowledgement of a change until it has to be in force, as in the settings.
const APPLY_LIMIT: Duration = Duration::from_millis(2_000);
/// How much longer that may take at a VM that the store does not serve, though it serves others.
const STRETCH: Duration = Duration::from_millis(5_000);
/// How long after a disturbance a VM is not held to the limit.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// How long a VM that gets SIGTERM may take.
const GRACE: Duration = Duration::from_secs(6);
/// The quota of a VM, in cores.
const QUOTA_CORES: f64 = 0.25;

/// A request as its caller saw it.
struct SentRequest {
    id: String,
    vm: usize,
    probe: Probe,
    sent_at: Instant,
    ended_at: Instant,
    status: Option<u16>,
}

/// What disturbs a VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Disturbance {
    /// The process or the whole store.
    Process,
    /// Only the VM's path to the store.
    Path,
}

/// A span of time in which a VM is disturbed.
struct Span {
    vm: usize,
    disturbance: Disturbance,
    from: Instant,
    to: Instant,
}

/// What the soak has seen.
#[derive(Default)]
struct Seen {
    history: RefCell<ConfigHistory>,
    requests: RefCell<Vec<SentRequest>>,
    spans: RefCell<Vec<Span>>,
    starts: RefCell<Vec<(usize, Instant)>>,
    is_over: Cell<bool>,
}

impl Seen {
    fn disturb(&self, vm: usize, disturbance: Disturbance, from: Instant, to: Instant) {
        self.spans.borrow_mut().push(Span {
            vm,
            disturbance,
            from,
            to: to + STABLE_WINDOW,
        });
    }

    fn is_disturbed(&self, vm: usize, by: Disturbance, from: Instant, to: Instant) -> bool {
        let spans = self.spans.borrow();
        let mut matching = spans
            .iter()
            .filter(|it| it.vm == vm && it.disturbance == by);
        matching.any(|it| it.from <= to && it.to >= from)
    }

    /// The time in which changes have to be in force for a request; `None` if it does not count.
    fn limit(&self, request: &SentRequest, vms: usize) -> Option<Duration> {
        let (sent, ended) = (request.sent_at, request.ended_at);
        if self.is_disturbed(request.vm, Disturbance::Process, sent, ended) {
            return None;
        }
        if !self.is_disturbed(request.vm, Disturbance::Path, sent, ended) {
            return Some(APPLY_LIMIT);
        }
        // A VM that was calm by then had all changes of more than the limit before.
        let begin = sent.checked_sub(STRETCH)?;
        let is_calm = |vm: &usize| {
            let kinds = [Disturbance::Process, Disturbance::Path];
            *vm != request.vm
                && !kinds
                    .iter()
                    .any(|kind| self.is_disturbed(*vm, *kind, begin, ended))
        };
        let has_source = (0..vms).any(|vm| is_calm(&vm));
        has_source.then_some(APPLY_LIMIT + STRETCH)
    }

    /// How often a VM had been started by then.
    fn boot(&self, vm: usize, at: Instant) -> usize {
        let starts = self.starts.borrow();
        starts.iter().filter(|it| it.0 == vm && it.1 <= at).count()
    }
}

/// The path of a VM to the store.
struct StorePath {
    proxy: Rc<Proxy>,
    black_hole: Option<BlackHole>,
    impaired_until: Option<Instant>,
}

impl StorePath {
    /// Impairs the path: `kind` 0 refuses connections, 1 leaves them unanswered, and above delays
    /// all bytes.
    async fn impair(&mut self, address: SocketAddr, kind: u32, until: Instant) {
        match kind {
            0 => {
                self.proxy.set(Faults {
                    refuse: true,
                    ..Faults::default()
                });
                self.proxy.cut();
            }
            1 => {
                self.proxy.close();
                self.proxy.silence();
                compio::time::sleep(Duration::from_millis(50)).await;
                self.black_hole = Some(BlackHole::start(address));
            }
            _ => self.proxy.set(Faults {
                delay_ms: 100,
                ..Faults::default()
            }),
        }
        self.impaired_until = Some(until);
    }

    async fn heal(&mut self, site: &Site, vm: usize) {
        if self.black_hole.take().is_some() {
            self.proxy = site.start_store_path(vm).await;
        }
        self.proxy.set(Faults::default());
        self.impaired_until = None;
    }
}

/// Runs the soak on `vms` VMs; returns what was broken.
pub async fn run(seed: u64, vms: usize, duration: Duration) -> Vec<String> {
    let servers = SERVICES.iter().flat_map(|it| vec![(*it, vec![]); SERVERS]);
    let mut site = Site::start(servers.collect()).await;
    site.is_fenced = true;
    let seen = Rc::new(Seen::default());
    publish(&mut site, &seen, 0);
    let proxies = site.start_store_paths(0..vms).await;
    let mut paths: Vec<StorePath> = proxies
        .into_iter()
        .map(|proxy| StorePath {
            proxy,
            black_hole: None,
            impaired_until: None,
        })
        .collect();
    site.start_vms(vms);
    site.wait_ready().await;
    for vm in 0..vms {
        seen.disturb(vm, Disturbance::Process, Instant::now(), Instant::now());
    }
    let callers = (0..vms * CALLERS_PER_VM).map(|index| {
        let vm = index % vms;
        compio::runtime::spawn(call_until_over(seen.clone(), vm, site.front(vm)))
    });
    let callers: Vec<_> = callers.collect();
    Player::new(seed, duration)
        .play(&mut site, &seen, &mut paths)
        .await;
    seen.is_over.set(true);
    for caller in callers {
        caller.await.expect("a caller does not panic");
    }
    check(&site, &seen)
}

fn publish(site: &mut Site, seen: &Seen, further: usize) {
    let mut history = seen.history.borrow_mut();
    println!("{} version {}", clock(), history.next());
    site.configure(history.next_routes(further), ConfigHistory::services());
    history.note_published(Instant::now());
}

/// Sends one request after the other to a VM, on a connection that is kept as long as it lasts.
async fn call_until_over(seen: Rc<Seen>, vm: usize, address: SocketAddr) {
    let caller = Caller::default();
    while !seen.is_over.get() {
        let newest = seen.history.borrow().newest();
        let change = newest.saturating_sub(rand::random_range(0..PROBED_CHANGES));
        let probe = match rand::random_range(0..3) {
            0 => Probe::Added(change),
            1 => Probe::Dropped(change),
            _ => Probe::Moved(change),
        };
        let request = CallerRequest::get(&format!("{}it", probe.prefix()));
        let sent_at = Instant::now();
        let answer = caller.request(address, &request).await;
        seen.requests.borrow_mut().push(SentRequest {
            id: request.id,
            vm,
            probe,
            sent_at,
            ended_at: Instant::now(),
            status: answer.status.filter(|_| answer.is_complete),
        });
        let pause = CALLER_PAUSE.mul_f64(rand::random_range(0.5..1.5));
        compio::time::sleep(pause).await;
    }
}

/// Plays drawn events, each of which ends by itself.
struct Player {
    random: StdRng,
    end: Instant,
    thaws: Vec<(usize, Instant)>,
    restarts: Vec<(usize, Instant)>,
    quotas: Vec<(usize, Instant, CpuQuota)>,
    store_back: Option<Instant>,
    has_store_outages: bool,
}

impl Player {
    fn new(seed: u64, duration: Duration) -> Self {
        Self {
            random: StdRng::seed_from_u64(seed),
            end: Instant::now() + duration,
            thaws: Vec::new(),
            restarts: Vec::new(),
            quotas: Vec::new(),
            store_back: None,
            // An outage of the store excuses all VMs for a while.
            has_store_outages: seed.is_multiple_of(2),
        }
    }

    fn draw(&mut self, mean: Duration) -> Duration {
        mean.mul_f64(self.random.random_range(0.2..1.8))
    }

    async fn play(&mut self, site: &mut Site, seen: &Seen, paths: &mut [StorePath]) {
        let mut next_event = Instant::now() + EVENT_INTERVAL;
        let mut next_change = Instant::now();
        loop {
            let now = Instant::now();
            self.end_events(site, seen, paths, now).await;
            let is_calm = self.thaws.is_empty()
                && self.restarts.is_empty()
                && self.store_back.is_none()
                && paths.iter().all(|path| path.impaired_until.is_none());
            if now >= self.end + CALM_END && is_calm {
                return;
            }
            if now >= next_change && now < self.end + CALM_END / 2 {
                next_change = now + self.draw(CHANGE_INTERVAL);
                // Some changes come in quick succession, and some are large.
                let count = [1, 1, 1, 3][self.random.random_range(0..4)];
                let is_large = self.random.random_range(0..12) == 0;
                for _ in 0..count {
                    publish(site, seen, if is_large { MANY_ROUTES } else { 0 });
                }
            }
            if now >= next_event && now < self.end {
                next_event = now + self.draw(EVENT_INTERVAL);
                self.begin_event(site, seen, paths, now).await;
            }
            compio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    async fn end_events(
        &mut self,
        site: &mut Site,
        seen: &Seen,
        paths: &mut [StorePath],
        now: Instant,
    ) {
        if self.store_back.is_some_and(|until| now >= until) {
            site.store.set(StoreFaults::default());
            self.store_back = None;
        }
        for (vm, path) in paths.iter_mut().enumerate() {
            if path.impaired_until.is_some_and(|until| now >= until) {
                path.heal(site, vm).await;
            }
        }
        self.quotas.retain(|(_, until, _)| now < *until);
        for (vm, _) in self.thaws.extract_if(.., |(_, until)| now >= *until) {
            site.vms[vm].signal(Signal::SIGCONT);
        }
        for (vm, _) in self.restarts.extract_if(.., |(_, until)| now >= *until) {
            site.vms[vm].kill();
            seen.starts.borrow_mut().push((vm, now));
            site.restart_vm(vm);
        }
    }

    async fn begin_event(
        &mut self,
        site: &mut Site,
        seen: &Seen,
        paths: &mut [StorePath],
        now: Instant,
    ) {
        let mut vm = self.random.random_range(0..site.vms.len());
        let kind = self.random.random_range(0..12);
        let path_kind = self.random.random_range(0..3);
        let lasts = Duration::from_secs_f64(self.random.random_range(0.5..2.5));
        if self.random.random_range(0..3) == 0 {
            vm = leader(site).await.unwrap_or(vm);
        }
        println!(
            "{} event {kind} of path kind {path_kind} at vm-{vm} for {lasts:?}",
            clock()
        );
        let stopped = self.thaws.iter().chain(&self.restarts).map(|it| it.0);
        let mut busy = stopped.chain(self.quotas.iter().map(|it| it.0));
        let is_busy = busy.any(|it| it == vm);
        match kind {
            0 if !is_busy => {
                seen.disturb(vm, Disturbance::Process, now, now + lasts);
                site.vms[vm].signal(Signal::SIGSTOP);
                self.thaws.push((vm, now + lasts));
            }
            1 if !is_busy => {
                seen.disturb(vm, Disturbance::Process, now, now + lasts);
                site.vms[vm].signal(Signal::SIGKILL);
                self.restarts.push((vm, now + lasts));
            }
            2 if !is_busy => {
                seen.disturb(vm, Disturbance::Process, now, now + GRACE);
                site.vms[vm].signal(Signal::SIGTERM);
                self.restarts.push((vm, now + GRACE));
            }
            3 if self.store_back.is_none() && self.has_store_outages => {
                for vm in 0..site.vms.len() {
                    seen.disturb(vm, Disturbance::Process, now, now + lasts);
                }
                site.store.set(StoreFaults {
                    is_silent: path_kind == 0,
                    is_down: path_kind != 0,
                    ..StoreFaults::default()
                });
                self.store_back = Some(now + lasts);
            }
            4..=6 if paths[vm].impaired_until.is_none() => {
                let until = now + lasts * 5;
                seen.disturb(vm, Disturbance::Path, now, until);
                let address = site.store_path_address(vm);
                paths[vm].impair(address, path_kind, until).await;
            }
            7 | 8 => paths[vm].proxy.silence(),
            9 => paths[vm].proxy.expire(),
            10 => site.store.compact("keyed.op"),
            11 if !is_busy => {
                let quota = CpuQuota::start(site.vms[vm].id(), QUOTA_CORES);
                self.quotas.push((vm, now + lasts * 2, quota));
            }
            _ => {}
        }
    }
}

/// The time of day within the hour, as the logs of VMs have it.
fn clock() -> String {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let since_epoch = since_epoch.unwrap_or_default();
    let seconds = since_epoch.as_secs();
    let (minute, second) = (seconds / 60 % 60, seconds % 60);
    format!("{minute:02}:{second:02}.{:03}", since_epoch.subsec_millis())
}

/// Prints the log of a VM without the lines about requests.
fn print_log(site: &Site, vm: usize) {
    for line in site.log(vm) {
        if line["request"].is_null() {
            println!("vm-{vm} {line}");
        }
    }
}

/// The VM that leads.
async fn leader(site: &Site) -> Option<usize> {
    for vm in 0..site.vms.len() {
        let is_leading = site.metric(vm, "is_leading");
        let is_leading = compio::time::timeout(Duration::from_millis(100), is_leading).await;
        if is_leading == Ok(Some(1.0)) {
            return Some(vm);
        }
    }
    None
}

/// Checks that each answer agrees with a version that may be in force, and that no VM goes back to an
/// earlier version.
fn check(site: &Site, seen: &Seen) -> Vec<String> {
    let mut services: HashMap<String, &str> = HashMap::new();
    for server in &site.servers {
        for run in server.runs() {
            let id = run.header("x-attempt-id").to_owned();
            services.insert(id, &server.service);
        }
    }
    let history = seen.history.borrow();
    let mut requests = seen.requests.borrow_mut();
    requests.sort_by_key(|it| it.ended_at);
    let mut findings = Vec::new();
    let mut counted = 0;
    // The versions that answers prove, by VM and start: the time of the answer and the version.
    let mut proven: HashMap<(usize, usize), Vec<(Instant, usize)>> = HashMap::new();
    for request in requests.iter() {
        let handling = match (request.status, services.get(&request.id)) {
            (Some(200), Some(service)) => Handling::RanBy((*service).to_owned()),
            (Some(404), None) => Handling::Unknown,
            _ => continue,
        };
        let agreeing = |oldest: usize, newest: usize| {
            (oldest..=newest)
                .filter(|version| ConfigHistory::agrees(*version, request.probe, &handling))
        };
        let (sent, ended) = (request.sent_at, request.ended_at);
        if let Some(limit) = seen.limit(request, site.vms.len()) {
            counted += 1;
            let (oldest, newest) = history.allowed(sent, ended, limit);
            if agreeing(oldest, newest).next().is_none() {
                findings.push(format!(
                    "CONFIG: vm-{} handled {:?} as {handling:?}, versions {oldest} to {newest} \
                     allowed, limit {limit:?}, request {}",
                    request.vm, request.probe, request.id
                ));
            }
        }
        let boot = seen.boot(request.vm, sent);
        if boot != seen.boot(request.vm, ended) {
            continue;
        }
        let of_boot = proven.entry((request.vm, boot)).or_default();
        let (_, newest) = history.allowed(sent, ended, Duration::ZERO);
        let earlier = of_boot.partition_point(|(at, _)| *at < sent);
        let floor = of_boot[..earlier].last().map_or(0, |(_, version)| *version);
        match agreeing(floor, newest).next() {
            None => {
                findings.push(format!(
                    "REGRESS: vm-{} handled {:?} as {handling:?} after version {floor}, request {}",
                    request.vm, request.probe, request.id
                ));
            }
            Some(version) => {
                let highest = of_boot.last().map_or(0, |(_, version)| *version);
                of_boot.push((ended, version.max(highest)));
            }
        }
    }
    // What one VM lacks may be the fault of the VM that follows the log for it.
    if !findings.is_empty() {
        for vm in 0..site.vms.len() {
            print_log(site, vm);
        }
    }
    println!(
        "{counted} of {} requests counted, {} versions",
        requests.len(),
        history.newest() + 1
    );
    findings
}
