//! A bounded soak of streams whose servers have several software versions: callers break off and take
//! streams up at other VMs, while versions come and leave, VMs are killed, restarted, frozen and cut off
//! one way or both ways, and another writer leaves odd entries, in series and overlapping. Each stream is
//! checked from its caller's side.

use super::events::remaining_events_of;
use super::{
    Caller, CallerRequest, Node, ScriptStep, Site, StoreFaults, VmNetwork, route, runner_service,
};
use nix::sys::signal::Signal;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The callers of each VM.
const CALLERS_PER_VM: usize = 3;
/// The mean pause of a caller between two streams.
const CALLER_PAUSE: Duration = Duration::from_millis(80);
/// Events of a whole stream, and the pause after each.
const EVENTS: u64 = 12;
const PAUSE_MS: u64 = 40;
/// How often a caller takes a stream up.
const TAKE_UPS: usize = 3;
/// The share of streams that a server breaks off, and of those that a caller leaves.
const BREAK_SHARE: f64 = 0.2;
const LEAVE_SHARE: f64 = 0.3;
/// The mean time between two events of the soak.
const EVENT_INTERVAL: Duration = Duration::from_millis(900);
/// How long after a disturbance the take-ups at a VM are not counted.
const RECOVERY: Duration = Duration::from_secs(5);
/// The interval at which servers write their entries again.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// How long a VM that gets SIGTERM may take.
const GRACE: Duration = Duration::from_secs(6);
/// The fewest counted take-ups by which the share that goes on is judged.
const MIN_TAKE_UPS: usize = 12;

/// What the soak has seen.
#[derive(Default)]
struct Seen {
    /// The spans in which a VM is not counted.
    uncounted: RefCell<Vec<(usize, Instant, Instant)>>,
    /// When a version last left.
    version_left_at: Cell<Option<Instant>>,
    is_over: Cell<bool>,
    begun: Cell<(usize, usize)>,
    taken_up: Cell<(usize, usize)>,
    streams: Cell<usize>,
    findings: RefCell<Vec<String>>,
}

impl Seen {
    fn exclude(&self, vm: usize, from: Instant, to: Instant) {
        self.uncounted.borrow_mut().push((vm, from, to));
    }

    fn counts(&self, vm: usize, from: Instant, to: Instant) -> bool {
        let uncounted = self.uncounted.borrow();
        let mut of_vm = uncounted.iter().filter(|(other, _, _)| *other == vm);
        !of_vm.any(|(_, begin, end)| *begin <= to && *end >= from)
    }

    /// Counts an attempt in pairs of all attempts and those that succeeded.
    fn count(pair: &Cell<(usize, usize)>, is_successful: bool) {
        let (all, successful) = pair.get();
        pair.set((all + 1, successful + usize::from(is_successful)));
    }
}

/// The events of an answer that came whole: the number of the last one, and their data.
fn whole_events(body: &str) -> (Option<u64>, Vec<String>) {
    let whole = body.rfind("\n\n").map_or("", |end| &body[..end]);
    let field = |name: &'static str| {
        whole
            .lines()
            .filter_map(move |line| line.strip_prefix(name))
    };
    let last = field("id: ").next_back().and_then(|id| id.parse().ok());
    (last, field("data: ").map(str::to_owned).collect())
}

async fn add_server(site: &mut Site, version: &str) {
    let holds = vec![("m0", vec![])];
    let server = site.add_server_of_version("llm", holds, version).await;
    let version = version.to_owned();
    server.script(move |call| {
        let mut steps = remaining_events_of(call, &version, EVENTS, PAUSE_MS);
        if rand::random_bool(BREAK_SHARE) {
            steps.truncate(rand::random_range(0..steps.len()));
            steps.push(ScriptStep::Reset);
        }
        steps
    });
}

fn configure(site: &mut Site) {
    site.configure(
        json!([route("/s/", "streaming", "llm")]),
        json!([runner_service("llm", &[("m0", 0)])]),
    );
}

/// Runs the soak; returns what was broken.
pub async fn run(seed: u64, vms: usize, duration: Duration) -> Vec<String> {
    let mut site = Site::start(Vec::new()).await;
    for version in ["v1", "v1", "v1", "v2", "v2"] {
        add_server(&mut site, version).await;
    }
    configure(&mut site);
    let network = site.start_vms_in_network(vms).await;
    site.wait_ready().await;
    let seen = Rc::new(Seen::default());
    let addresses: Rc<Vec<SocketAddr>> = Rc::new((0..vms).map(|vm| site.front(vm)).collect());
    let callers = (0..vms * CALLERS_PER_VM)
        .map(|_| compio::runtime::spawn(call_until_over(seen.clone(), addresses.clone())));
    let callers: Vec<_> = callers.collect();
    play_events(&mut site, &network, &seen, seed, duration).await;
    seen.is_over.set(true);
    for caller in callers {
        caller.await.expect("a caller does not panic");
    }
    report(&seen);
    seen.findings.take()
}

/// Compares the share of the streams that go on with the share of new ones that begin.
fn report(seen: &Seen) {
    let ((begun, begun_well), (taken_up, gone_on)) = (seen.begun.get(), seen.taken_up.get());
    println!(
        "{} streams; {begun_well} of {begun} began, {gone_on} of {taken_up} that were taken up went on",
        seen.streams.get()
    );
    if taken_up >= MIN_TAKE_UPS && 2 * gone_on * begun < begun_well * taken_up {
        let finding = format!("LOST: {gone_on} of {taken_up} streams went on");
        seen.findings.borrow_mut().push(finding);
    }
}

async fn call_until_over(seen: Rc<Seen>, addresses: Rc<Vec<SocketAddr>>) {
    while !seen.is_over.get() {
        read_stream(&seen, &addresses).await;
        let pause = CALLER_PAUSE.mul_f64(rand::random_range(0.5..1.5));
        compio::time::sleep(pause).await;
    }
}

/// Reads one stream and takes it up at other VMs when it breaks.
async fn read_stream(seen: &Seen, addresses: &[SocketAddr]) {
    let mut last: Option<u64> = None;
    let mut versions: BTreeSet<String> = BTreeSet::new();
    let mut root = String::new();
    let began = Instant::now();
    for _ in 0..=TAKE_UPS {
        let vm = rand::random_range(0..addresses.len());
        let mut request = CallerRequest::model("/s/x", "m0");
        if let Some(last) = last {
            request = request
                .with("Resumes", &root)
                .with("Last-Event-Id", &last.to_string());
        }
        if rand::random_bool(LEAVE_SHARE) {
            let leave_ms = rand::random_range(20..EVENTS * PAUSE_MS);
            request.disconnect_after = Some(Duration::from_millis(leave_ms));
        }
        let sent_at = Instant::now();
        let answer = Caller::default().request(addresses[vm], &request).await;
        let (newest, data) = whole_events(&answer.body);
        versions.extend(data);
        let has_left = request.disconnect_after.is_some() && !answer.is_complete;
        let is_counted = seen.counts(vm, sent_at - RECOVERY, Instant::now())
            && seen
                .version_left_at
                .get()
                .is_none_or(|at| began > at + RECOVERY);
        if is_counted && !has_left {
            let counter = match last {
                None => &seen.begun,
                Some(_) => &seen.taken_up,
            };
            Seen::count(counter, answer.status == Some(200));
        }
        if last.is_none() {
            root = request.id;
        }
        last = newest.or(last);
        if answer.is_complete && answer.status == Some(200) || last == Some(EVENTS) {
            break;
        }
    }
    seen.streams.set(seen.streams.get() + 1);
    if versions.len() > 1 {
        let finding = format!("ORDER: stream {root} holds events of {versions:?}");
        seen.findings.borrow_mut().push(finding);
    }
}

/// Plays drawn events, each of which ends by itself.
async fn play_events(
    site: &mut Site,
    network: &VmNetwork,
    seen: &Seen,
    seed: u64,
    duration: Duration,
) {
    let mut random = StdRng::seed_from_u64(seed);
    let end = Instant::now() + duration;
    let mut thaws: Vec<(usize, Instant)> = Vec::new();
    let mut restarts: Vec<(usize, Instant)> = Vec::new();
    let mut cuts: Vec<(usize, Instant)> = Vec::new();
    let mut store_back: Option<Instant> = None;
    let mut next_event = Instant::now() + EVENT_INTERVAL;
    let mut next_heartbeat = Instant::now() + HEARTBEAT;
    let mut next_version = 3;
    while Instant::now() < end
        || !(thaws.is_empty() && restarts.is_empty() && cuts.is_empty() && store_back.is_none())
    {
        let now = Instant::now();
        if store_back.is_some_and(|until| now >= until) {
            site.store.set(StoreFaults::default());
            store_back = None;
        }
        site.resume_due(&mut thaws, &mut restarts, now);
        for (vm, _) in cuts.extract_if(.., |(_, until)| now >= *until) {
            network.heal_vm(vm);
        }
        if now >= next_heartbeat {
            next_heartbeat = now + HEARTBEAT;
            for server in site.servers.iter().filter(|it| !it.is_dead()) {
                site.put_entry(server, "ready");
            }
        }
        if now >= next_event && now < end {
            next_event = now + EVENT_INTERVAL.mul_f64(random.random_range(0.3..1.7));
            let vm = random.random_range(0..site.vms.len());
            let mut busy = thaws.iter().chain(&restarts).chain(&cuts);
            let is_busy = busy.any(|(busy, _)| *busy == vm);
            let lasts = Duration::from_secs_f64(random.random_range(0.5..2.5));
            match random.random_range(0..12) {
                0 if !is_busy => {
                    seen.exclude(vm, now, now + lasts + RECOVERY);
                    site.vms[vm].signal(Signal::SIGSTOP);
                    thaws.push((vm, now + lasts));
                }
                1 | 2 if !is_busy => {
                    seen.exclude(vm, now, now + lasts + RECOVERY);
                    site.vms[vm].signal(Signal::SIGKILL);
                    restarts.push((vm, now + lasts));
                }
                3 if !is_busy => {
                    seen.exclude(vm, now, now + GRACE + RECOVERY);
                    site.vms[vm].signal(Signal::SIGTERM);
                    restarts.push((vm, now + GRACE));
                }
                4 if store_back.is_none() => {
                    site.store.set(StoreFaults {
                        is_silent: true,
                        ..StoreFaults::default()
                    });
                    store_back = Some(now + lasts);
                }
                5 => {
                    add_server(site, &format!("v{next_version}")).await;
                    next_version += 1;
                }
                6 => remove_server(site, seen, random.random_range(0..site.servers.len()), now),
                7 if thaws.is_empty() && restarts.is_empty() => {
                    // All VMs but one.
                    for killed in (0..site.vms.len()).filter(|other| *other != vm) {
                        seen.exclude(killed, now, now + lasts + RECOVERY);
                        site.vms[killed].signal(Signal::SIGKILL);
                        restarts.push((killed, now + lasts));
                    }
                    seen.exclude(vm, now, now + lasts + RECOVERY);
                }
                9 | 10 if !is_busy => {
                    let lasts = lasts * 2;
                    seen.exclude(vm, now, now + lasts + RECOVERY);
                    let others = (0..site.vms.len()).filter(|other| *other != vm);
                    let others: Vec<Node> = others.map(Node::Vm).chain([Node::Store]).collect();
                    let way = random.random_range(0..3);
                    network.cut_off(vm, &others, way != 0, way != 1);
                    cuts.push((vm, now + lasts));
                }
                11 => write_odd_record(site, &mut random),
                _ => configure(site),
            }
        }
        compio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Takes a server away, unless fewer than three are left.
fn remove_server(site: &Site, seen: &Seen, index: usize, now: Instant) {
    let left = site.servers.iter().filter(|it| !it.is_dead()).count();
    let server = &site.servers[index];
    if left < 3 || server.is_dead() {
        return;
    }
    seen.version_left_at.set(Some(now));
    site.remove(server);
    server.die();
}

/// Writes a record that no server writes, at times under the key of a server.
fn write_odd_record(site: &Site, random: &mut StdRng) {
    let topic = "keyed.servers";
    let key = match random.random_bool(0.5) {
        true => site.servers[random.random_range(0..site.servers.len())]
            .id
            .clone(),
        false => "odd &#\u{e9}".to_owned(),
    };
    let nested = "[".repeat(random.random_range(1..5_000));
    match random.random_range(0..4) {
        0 => site.store.put_raw(topic, &[]),
        1 => site.store.put_raw(topic, &[9, b'x']),
        2 => site.store.put_bytes(topic, &key, nested.as_bytes()),
        _ => site
            .store
            .put(topic, &key, &json!({"address": "10.0.0.1:99999"})),
    }
}
