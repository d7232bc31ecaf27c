//! A bounded soak of what servers state in their answers: rate limits, pauses and departures drawn
//! from a seed, while VMs are stopped, killed and frozen, entries lapse and the store fails.

use super::{Arrival, Caller, CallerRequest, ServerStandIn, Site, StoreFaults, plain, route};
use nix::sys::signal::Signal;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The plain servers at the start; those that leave are replaced.
const SERVERS: usize = 6;
/// The servers that never state anything, so that there is always room.
const CALM_SERVERS: usize = 2;
/// The callers of each VM. Each sends one request after the other on a connection that it keeps.
const CALLERS_PER_VM: usize = 4;
/// The mean pause of a caller between two requests.
const CALLER_PAUSE: Duration = Duration::from_millis(60);
/// The mean time between two events.
const EVENT_INTERVAL: Duration = Duration::from_millis(700);
/// How long requests go on after the last event.
const CALM_END: Duration = Duration::from_secs(3);
/// How long a server goes on after it has first said that it leaves.
const LEAVING_FOR: Duration = Duration::from_secs(5);

/// How long a VM may take to respect that a server leaves.
const DRAIN: Duration = Duration::from_millis(2_000);
/// How long a VM may take to respect a pause or a limit.
const REACTION: Duration = Duration::from_millis(500);
/// How long after its first statement a limit has to hold.
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);
/// The window in which requests under a limit are counted.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// The requests that a VM may still send in a pause.
const ALLOWED_IN_PAUSE: usize = 2;
/// How long after a disturbance a VM's answers aren't counted.
const RECOVERY: Duration = Duration::from_secs(5);
/// How often a VM that was started again is asked whether it is ready.
const READY_POLL: Duration = Duration::from_millis(200);
/// How long a VM may take to be ready once the store is there.
const READY_LIMIT: Duration = Duration::from_secs(10);
/// The part of the requests of undisturbed VMs that has to be served.
const MIN_SERVED_SHARE: f64 = 0.98;

const RATE_LIMIT: &str = "Server-Limit";
const LEAVING: &str = "Server-Leaving";

/// A request as its caller saw it.
struct SentRequest {
    vm: usize,
    sent_at: Instant,
    ended_at: Instant,
    status: Option<u16>,
}

/// What the soak has seen.
#[derive(Default)]
struct Seen {
    requests: RefCell<HashMap<String, SentRequest>>,
    /// The spans in which each VM was stopped, killed or frozen.
    disturbances: RefCell<Vec<(usize, Instant, Instant)>>,
    is_over: Cell<bool>,
}

impl Seen {
    /// Whether a VM was disturbed at any time between two points in time.
    fn is_disturbed(&self, vm: usize, from: Instant, to: Instant) -> bool {
        let disturbances = self.disturbances.borrow();
        let mut of_vm = disturbances.iter().filter(|(index, _, _)| *index == vm);
        of_vm.any(|(_, begin, end)| *begin <= to && *end >= from)
    }

    /// The VM through which the request of an arrival came.
    fn vm_of(&self, arrival: &Arrival) -> Option<usize> {
        let requests = self.requests.borrow();
        requests.get(&arrival.id).map(|request| request.vm)
    }
}

/// Something that happens to the servers, the VMs or the store.
#[derive(Clone, Copy, Debug)]
enum Event {
    Limit,
    Pause,
    Leave,
    LapseEntry,
    KillVm,
    StopVm,
    FreezeVm,
    ReloadVm,
    FailStore,
    ChangeConfiguration,
}

const EVENTS: [Event; 14] = [
    Event::Limit,
    Event::Limit,
    Event::Limit,
    Event::Pause,
    Event::Pause,
    Event::Leave,
    Event::Leave,
    Event::LapseEntry,
    Event::KillVm,
    Event::StopVm,
    Event::FreezeVm,
    Event::ReloadVm,
    Event::FailStore,
    Event::ChangeConfiguration,
];

/// The actions that are due later, by time.
#[derive(Default)]
struct Agenda(BTreeMap<(Instant, u64), Action>);

impl Agenda {
    fn add(&mut self, at: Instant, action: Action) {
        self.0.insert((at, rand::random()), action);
    }

    fn take_due(&mut self, now: Instant) -> Option<Action> {
        let entry = self.0.first_entry()?;
        (entry.key().0 <= now).then(|| entry.remove())
    }
}

/// The end of an event.
enum Action {
    LiftLimit(Rc<ServerStandIn>),
    EndPause(Rc<ServerStandIn>),
    End(Rc<ServerStandIn>),
    RestoreEntry(Rc<ServerStandIn>),
    RestartVm(usize, Instant),
    ThawVm(usize, Instant),
    RestoreStore,
}

/// Runs the soak on `vms` VMs; returns the rules that were broken.
pub async fn run(seed: u64, vms: usize, duration: Duration) -> Vec<String> {
    let mut site = Site::start_plain(SERVERS, vms).await;
    let seen = Rc::new(Seen::default());
    let callers = (0..vms * CALLERS_PER_VM).map(|index| {
        let vm = index % vms;
        let address = site.front(vm);
        compio::runtime::spawn(call_until_over(seen.clone(), vm, address))
    });
    let callers: Vec<_> = callers.collect();
    let unready = play_events(&mut site, &seen, seed, duration).await;
    seen.is_over.set(true);
    for caller in callers {
        caller.await.expect("a caller does not panic");
    }
    let mut findings: Vec<String> = unready
        .iter()
        .map(|vm| format!("vm-{vm} is not ready after its start"))
        .collect();
    for server in &site.servers {
        check_limits(server, &seen, &mut findings);
        check_leaving(server, &seen, &mut findings);
        check_pauses(server, &seen, &mut findings);
    }
    check_served(&seen, &mut findings);
    findings
}

fn configure(site: &mut Site) {
    site.configure(
        json!([route("/", "safe", "books")]),
        json!([plain("books")]),
    );
}

/// Sends one request after the other to a VM, on a connection that is kept as long as it lasts.
async fn call_until_over(seen: Rc<Seen>, vm: usize, address: std::net::SocketAddr) {
    let caller = Caller::default();
    while !seen.is_over.get() {
        let request = CallerRequest::get("/books");
        let sent_at = Instant::now();
        let sent = SentRequest {
            vm,
            sent_at,
            ended_at: sent_at,
            status: None,
        };
        // Known before the server sees it.
        seen.requests.borrow_mut().insert(request.id.clone(), sent);
        let answer = caller.request(address, &request).await;
        if let Some(sent) = seen.requests.borrow_mut().get_mut(&request.id) {
            sent.status = answer.status.filter(|_| answer.is_complete);
            sent.ended_at = Instant::now();
        }
        let pause = CALLER_PAUSE.mul_f64(rand::random_range(0.5..1.5));
        compio::time::sleep(pause).await;
    }
}

/// Plays drawn events; returns the VMs that were started again and are not ready at the end.
async fn play_events(site: &mut Site, seen: &Seen, seed: u64, duration: Duration) -> Vec<usize> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut agenda = Agenda::default();
    let end = Instant::now() + duration;
    let mut next_event = Instant::now() + EVENT_INTERVAL;
    let mut next_poll = Instant::now();
    let mut starting: Vec<(usize, Instant)> = Vec::new();
    while Instant::now() < end + CALM_END || !agenda.0.is_empty() {
        let now = Instant::now();
        while let Some(action) = agenda.take_due(now) {
            finish(site, seen, &mut starting, action, now);
        }
        if now >= next_poll {
            next_poll = now + READY_POLL;
            end_starts(site, seen, &mut starting).await;
        }
        if now >= next_event && now < end {
            next_event = now + EVENT_INTERVAL.mul_f64(random.random_range(0.3..1.7));
            begin(site, seen, &mut random, &mut agenda, now).await;
        }
        compio::time::sleep(Duration::from_millis(20)).await;
    }
    let limit = Instant::now() + READY_LIMIT;
    while !starting.is_empty() && Instant::now() < limit {
        compio::time::sleep(READY_POLL).await;
        end_starts(site, seen, &mut starting).await;
    }
    starting.into_iter().map(|(vm, _)| vm).collect()
}

/// Ends the disturbances of the VMs that are ready again after their start: without the store, a VM
/// that has just started knows no configuration and serves nobody.
async fn end_starts(site: &Site, seen: &Seen, starting: &mut Vec<(usize, Instant)>) {
    let mut waiting = Vec::new();
    for (vm, since) in starting.drain(..) {
        match site.is_ready(vm).await {
            true => end_disturbance(seen, vm, since, Instant::now()),
            false => waiting.push((vm, since)),
        }
    }
    *starting = waiting;
}

/// Begins a drawn event, and adds its end to the agenda.
async fn begin(
    site: &mut Site,
    seen: &Seen,
    random: &mut StdRng,
    agenda: &mut Agenda,
    now: Instant,
) {
    let event = EVENTS[random.random_range(0..EVENTS.len())];
    let mut later =
        |from_s: f64, to_s: f64| now + Duration::from_secs_f64(random.random_range(from_s..to_s));
    let (until, soon) = (later(3.0, 9.0), later(0.5, 2.5));
    let draw: f64 = random.random();
    match event {
        Event::Limit => {
            if let Some(server) = idle_server(site, draw) {
                let rate_per_s = random.random_range(0.5..8.0);
                server.set_header(RATE_LIMIT, Some(&format!("{rate_per_s:.1}")));
                agenda.add(until, Action::LiftLimit(server));
            }
        }
        Event::Pause => {
            if let Some(server) = idle_server(site, draw) {
                server.turn_away(Some(&format!("{:.1}", random.random_range(0.5..4.0))));
                agenda.add(until, Action::EndPause(server));
            }
        }
        Event::Leave => {
            if let Some(server) = idle_server(site, draw) {
                server.set_header(LEAVING, Some("1"));
                agenda.add(now + LEAVING_FOR, Action::End(server));
                site.add_server("books", vec![]).await;
            }
        }
        Event::LapseEntry => {
            let alive: Vec<_> = site.servers.iter().filter(|it| !it.is_dead()).collect();
            let server = alive[(draw * alive.len() as f64) as usize].clone();
            site.remove(&server);
            agenda.add(soon, Action::RestoreEntry(server));
        }
        Event::KillVm | Event::StopVm | Event::FreezeVm | Event::ReloadVm => {
            let vm = (draw * site.vms.len() as f64) as usize;
            let is_busy = seen.is_disturbed(vm, now, now);
            match event {
                _ if is_busy => {}
                Event::ReloadVm => site.vms[vm].signal(Signal::SIGHUP),
                Event::FreezeVm => {
                    disturb(seen, vm, now);
                    site.vms[vm].signal(Signal::SIGSTOP);
                    agenda.add(soon, Action::ThawVm(vm, now));
                }
                _ => {
                    disturb(seen, vm, now);
                    let is_kill = matches!(event, Event::KillVm);
                    let signal = if is_kill {
                        Signal::SIGKILL
                    } else {
                        Signal::SIGTERM
                    };
                    site.vms[vm].signal(signal);
                    let end = if is_kill { soon } else { now + RECOVERY };
                    agenda.add(end, Action::RestartVm(vm, now));
                }
            }
        }
        Event::FailStore => {
            let is_silent = draw < 0.5;
            site.store.set(StoreFaults {
                is_silent,
                is_down: !is_silent,
                ..StoreFaults::default()
            });
            agenda.add(until, Action::RestoreStore);
        }
        Event::ChangeConfiguration => configure(site),
    }
}

/// Ends an event. VMs that are started again are added to `starting`, with the time from which on
/// they are disturbed.
fn finish(
    site: &mut Site,
    seen: &Seen,
    starting: &mut Vec<(usize, Instant)>,
    action: Action,
    now: Instant,
) {
    match action {
        Action::LiftLimit(server) => server.set_header(RATE_LIMIT, None),
        Action::EndPause(server) => server.turn_away(None),
        Action::End(server) => {
            site.remove(&server);
            server.die();
        }
        Action::RestoreEntry(server) if !server.is_dead() => site.put_entry(&server, "ready"),
        Action::RestoreEntry(_) => {}
        Action::RestartVm(vm, since) => {
            site.vms[vm].kill();
            site.restart_vm(vm);
            starting.push((vm, since));
        }
        Action::ThawVm(vm, since) => {
            site.vms[vm].signal(Signal::SIGCONT);
            end_disturbance(seen, vm, since, now);
        }
        Action::RestoreStore => site.store.set(StoreFaults::default()),
    }
}

/// A server that states nothing now, other than the calm ones; `draw` is a random number from 0 to 1.
fn idle_server(site: &Site, draw: f64) -> Option<Rc<ServerStandIn>> {
    let servers = site.servers.iter().skip(CALM_SERVERS);
    let idle: Vec<_> = servers.filter(|it| it.is_plain()).collect();
    idle.get((draw * idle.len() as f64) as usize)
        .map(|server| Rc::clone(server))
}

/// Records that a VM is disturbed, until [`end_disturbance`].
fn disturb(seen: &Seen, vm: usize, now: Instant) {
    let open_end = now + Duration::from_secs(3_600);
    seen.disturbances.borrow_mut().push((vm, now, open_end));
}

fn end_disturbance(seen: &Seen, vm: usize, since: Instant, now: Instant) {
    let mut disturbances = seen.disturbances.borrow_mut();
    let mut of_vm = disturbances.iter_mut();
    if let Some(open) = of_vm.find(|(index, begin, _)| *index == vm && *begin == since) {
        open.2 = now;
    }
}

/// The limit that an answer stated, in requests per second.
fn limit_of(arrival: &Arrival) -> Option<f64> {
    arrival.headers.get(RATE_LIMIT)?.parse().ok()
}

/// Checks each time in which a server stated a limit.
fn check_limits(server: &ServerStandIn, seen: &Seen, findings: &mut Vec<String>) {
    let log = server.arrival_log();
    for limited in log.chunk_by(|left, right| limit_of(left) == limit_of(right)) {
        let Some(rate_per_s) = limit_of(&limited[0]) else {
            continue;
        };
        let began = limited[0].at;
        let mut told: HashMap<usize, Instant> = HashMap::new();
        let mut counted: Vec<Instant> = Vec::new();
        for arrival in limited {
            let Some(vm) = seen.vm_of(arrival) else {
                continue;
            };
            let told_at = *told.entry(vm).or_insert(arrival.at);
            if arrival.at >= told_at + REACTION && !seen.is_disturbed(vm, began, arrival.at) {
                counted.push(arrival.at);
            }
        }
        let allowed = rate_per_s * LIMIT_WINDOW.as_secs_f64() * 1.5 + 5.0;
        for (index, at) in counted.iter().enumerate() {
            let earlier = counted[..=index].iter().rev();
            let count = earlier.take_while(|it| *at - **it <= LIMIT_WINDOW).count();
            if *at >= began + STABLE_WINDOW && count as f64 > allowed {
                findings.push(format!(
                    "LIMIT: {} stated {rate_per_s} a second and got {count} requests in 4 s",
                    server.id
                ));
                break;
            }
        }
    }
}

/// Checks that no VM sends to a server after its answers said that it leaves.
fn check_leaving(server: &ServerStandIn, seen: &Seen, findings: &mut Vec<String>) {
    let mut told: HashMap<usize, Instant> = HashMap::new();
    for arrival in server.arrival_log() {
        let Some(vm) = seen.vm_of(&arrival) else {
            continue;
        };
        if !arrival.headers.contains_key(LEAVING) {
            continue;
        }
        let told_at = *told.entry(vm).or_insert(arrival.at);
        let sent_at = seen.requests.borrow()[&arrival.id].sent_at;
        if sent_at > told_at + DRAIN && !seen.is_disturbed(vm, told_at, arrival.at) {
            let late_ms = (sent_at - told_at).as_millis();
            findings.push(format!(
                "DRAIN: vm-{vm} sent to {} {late_ms} ms after it said that it leaves",
                server.id
            ));
            return;
        }
    }
}

/// Checks that no VM sends to a server in the pause that the server asked it for.
fn check_pauses(server: &ServerStandIn, seen: &Seen, findings: &mut Vec<String>) {
    let log = server.arrival_log();
    for (index, refused) in log.iter().enumerate() {
        let pause_s = refused.pause.as_ref().and_then(|it| it.parse::<f64>().ok());
        let (Some(pause_s), Some(vm)) = (pause_s, seen.vm_of(refused)) else {
            continue;
        };
        let end = refused.at + Duration::from_secs_f64(pause_s);
        let later = log[index..].iter();
        let in_pause = later.filter(|arrival| {
            arrival.at > refused.at + REACTION
                && arrival.at < end
                && seen.vm_of(arrival) == Some(vm)
        });
        let count = in_pause.count();
        if count > ALLOWED_IN_PAUSE && !seen.is_disturbed(vm, refused.at, end) {
            findings.push(format!(
                "BUDGET: vm-{vm} sent {count} requests to {} in its pause of {pause_s} s",
                server.id
            ));
            return;
        }
    }
}

/// Checks that VMs that were not disturbed serve their callers, since there is always room.
fn check_served(seen: &Seen, findings: &mut Vec<String>) {
    let requests = seen.requests.borrow();
    let calm = requests.values().filter(|request| {
        let from = request.sent_at.checked_sub(RECOVERY);
        from.is_some_and(|from| !seen.is_disturbed(request.vm, from, request.ended_at))
    });
    let (mut count, mut served) = (0.0, 0.0);
    for request in calm {
        count += 1.0;
        served += f64::from(u8::from(request.status == Some(200)));
    }
    println!("{count} requests at undisturbed VMs, {served} served");
    if served < count * MIN_SERVED_SHARE {
        findings.push(format!("{served} of {count} requests were served"));
    }
}
