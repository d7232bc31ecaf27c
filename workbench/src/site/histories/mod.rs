//! A property test over random histories: each request ends as a model of the configurations,
//! silences and signals allows. A history that breaks the property is shrunk.

mod exchange;
mod history;
mod model;
#[cfg(test)]
mod tests;

use super::events::remaining_events;
use super::{CpuQuota, ReceivedRequest, ScriptStep, Site, signed_answer};
use crate::process::Process;
use exchange::CallerConnection;
use history::{
    CallerPlan, Change, ConfigPlan, ENOUGH_RETRIES, History, RequestPlan, Run, SERVERS, VMS,
};
use model::{EVENTS, GRACE, Model, PLAIN_BODY, SentRequest};
use nix::sys::signal::Signal;
use proptest::strategy::{Strategy, ValueTree};
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The servers of each service that requests are moved to.
const MOVED_SERVERS: usize = 2;
/// The pause after each event of a stream.
const EVENT_PAUSE_MS: u64 = 20;
/// The pause before a request on a new connection.
const NEW_CONNECTION_PAUSE: Duration = Duration::from_millis(30);
/// The longest rest of a connection.
const MAX_REST: Duration = Duration::from_millis(2_000);
/// The interval between two checks for what is due.
const POLL: Duration = Duration::from_millis(5);

/// What a history has shown so far.
struct Seen {
    model: RefCell<Model>,
    sent: RefCell<Vec<SentRequest>>,
    plans: RefCell<HashMap<String, RequestPlan>>,
    /// How many servers got and ran each request.
    arrivals: RefCell<HashMap<String, usize>>,
    runs: RefCell<HashMap<String, usize>>,
    findings: RefCell<Vec<String>>,
    open_callers: Cell<usize>,
    fronts: Vec<SocketAddr>,
}

/// Plays the history of a seed, and up to `max_shrinks` smaller ones if it fails; returns what was
/// broken.
///
/// # Panics
///
/// Panics if the site cannot be started.
pub async fn run(seed: u64, max_shrinks: u64) -> Vec<String> {
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    let mut runner = TestRunner::new_with_rng(Config::default(), random);
    let drawn = History::strategy().new_tree(&mut runner);
    let mut tree = drawn.expect("the strategy rejects nothing");
    let findings = play(&tree.current()).await;
    if findings.is_empty() {
        return findings;
    }
    println!("seed {seed}: {findings:#?}");
    let mut smallest = (tree.current(), findings);
    for _ in 0..max_shrinks {
        let is_smaller = match play(&tree.current()).await {
            findings if findings.is_empty() => tree.complicate(),
            findings => {
                smallest = (tree.current(), findings);
                tree.simplify()
            }
        };
        if !is_smaller {
            break;
        }
    }
    println!("seed {seed}, smallest history found: {:?}", smallest.0);
    smallest.1
}

/// Plays a history with real processes; returns what was broken.
async fn play(history: &History) -> Vec<String> {
    let holds = || vec![("m0", vec![])];
    let mut servers = Vec::new();
    for _ in 0..SERVERS {
        servers.extend([("llm", holds()), ("books", vec![])]);
    }
    for _ in 0..MOVED_SERVERS {
        servers.extend([("other", holds()), ("spare", vec![])]);
    }
    let mut site = Site::start(servers).await;
    let seen = Rc::new(Seen {
        model: RefCell::default(),
        sent: RefCell::default(),
        plans: RefCell::default(),
        arrivals: RefCell::default(),
        runs: RefCell::default(),
        findings: RefCell::default(),
        open_callers: Cell::new(history.callers.len()),
        fronts: (0..VMS).map(|vm| site.front(vm)).collect(),
    });
    for server in &site.servers {
        let seen = seen.clone();
        server.script(move |call| answer(call, &seen));
    }
    site.retry_slack = history.retry_slack;
    configure(&mut site, &seen, &history.first);
    site.start_vms(VMS);
    site.wait_ready().await;
    let callers = history.callers.iter().cloned();
    let callers: Vec<_> = callers
        .map(|plan| compio::runtime::spawn(call(seen.clone(), plan)))
        .collect();
    {
        let mut model = seen.model.borrow_mut();
        model.has_slow_vms = history.quota_percent.is_some();
        model.has_few_retries = history.retry_slack < ENOUGH_RETRIES;
    }
    play_steps(&mut site, &seen, history).await;
    for caller in callers {
        caller.await.expect("a caller does not panic");
    }
    check(&site, &seen);
    seen.findings.take()
}

fn configure(site: &mut Site, seen: &Seen, plan: &ConfigPlan) {
    site.idle_timeout_ms = plan.idle_timeout_ms;
    site.max_header_bytes = plan.max_head_bytes;
    site.max_body_bytes = plan.max_body_bytes;
    let mut model = seen.model.borrow_mut();
    model.versions.push((Instant::now(), plan.clone()));
    site.configure(plan.routes(), ConfigPlan::services());
}

/// The answer of a server.
fn answer(call: &ReceivedRequest, seen: &Seen) -> Vec<ScriptStep> {
    let id = call.header("x-attempt-id");
    let Some(plan) = seen.plans.borrow().get(id).cloned() else {
        let answer = signed_answer(id, 200, "healthy");
        return vec![ScriptStep::Write(answer)];
    };
    let mut arrivals = seen.arrivals.borrow_mut();
    let arrivals = arrivals.entry(id.to_owned()).or_default();
    *arrivals += 1;
    let run = match (*arrivals, plan.is_refused_later) {
        (1, _) => plan.run,
        (_, true) => Run::Refuses,
        (_, false) => Run::Answers,
    };
    if run == Run::Refuses {
        let refusal = b"HTTP/1.1 503 No\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
        return vec![ScriptStep::Write(refusal.to_vec())];
    }
    *seen.runs.borrow_mut().entry(id.to_owned()).or_default() += 1;
    if call.body.len() != plan.body_bytes {
        let finding = format!("BODY: {id} arrived with {} bytes", call.body.len());
        seen.findings.borrow_mut().push(finding);
    }
    let mut steps = match plan.kind.is_stream() {
        true => remaining_events(call, EVENTS, EVENT_PAUSE_MS),
        false => {
            let mut head = signed_answer(id, 200, PLAIN_BODY);
            let rest = head.split_off(head.len() - 3);
            vec![ScriptStep::Write(head), ScriptStep::Write(rest)]
        }
    };
    match run {
        Run::Answers | Run::Refuses => {}
        Run::FallsSilent {
            at_percent,
            silence_ms,
        } => {
            let silence = ScriptStep::Wait(Duration::from_millis(silence_ms));
            steps.insert(steps.len() * at_percent / 100, silence);
        }
        Run::BreaksOff { at_percent } => {
            steps.truncate(steps.len() * at_percent / 100);
            steps.push(ScriptStep::Close);
        }
    }
    steps
}

/// Sends the requests of a caller.
async fn call(seen: Rc<Seen>, caller: CallerPlan) {
    let mut connections: Vec<Option<CallerConnection>> = (0..VMS).map(|_| None).collect();
    for plan in caller.requests {
        let pause = match plan.rest_percent {
            Some(percent) => rest(&seen, percent),
            None => NEW_CONNECTION_PAUSE,
        };
        compio::time::sleep(pause).await;
        let id = format!("{:016x}", rand::random::<u64>());
        seen.plans.borrow_mut().insert(id.clone(), plan.clone());
        // Callers of a VM that does not listen go to the next one.
        for vm in (caller.vm..caller.vm + VMS).map(|it| it % VMS) {
            let kept = connections[vm].take();
            if let Some(closed) = kept.as_ref().filter(|it| !it.is_open()) {
                let finding = seen.model.borrow().early_close(vm, closed.idle_since);
                seen.findings.borrow_mut().extend(finding);
            }
            let kept = kept.filter(CallerConnection::is_open);
            let mut connection = match kept.filter(|_| plan.rest_percent.is_some()) {
                Some(connection) => connection,
                None => match CallerConnection::open(seen.fronts[vm]).await {
                    Ok(connection) => connection,
                    Err(_) => continue,
                },
            };
            let idle_since = connection.idle_since;
            let sent_at = Instant::now();
            let response = connection.exchange(&id, &plan).await;
            if response.is_kept {
                connections[vm] = Some(connection);
            }
            seen.sent.borrow_mut().push(SentRequest {
                id,
                vm,
                plan,
                idle_since,
                sent_at,
                ended_at: Instant::now(),
                response,
                is_logged: false,
                runs: 0,
            });
            break;
        }
    }
    seen.open_callers.set(seen.open_callers.get() - 1);
}

/// How long a connection rests, by the shortest idle timeout that may be in force.
fn rest(seen: &Seen, percent: u64) -> Duration {
    let now = Instant::now();
    let model = seen.model.borrow();
    let timeouts_ms = model.in_force(now, now).map(|it| it.idle_timeout_ms);
    let shortest_ms = timeouts_ms.min().unwrap_or(0);
    MAX_REST.min(Duration::from_millis(shortest_ms * percent / 100))
}

/// Makes the changes, and what follows from them, until no caller is left.
async fn play_steps(site: &mut Site, seen: &Seen, history: &History) {
    let mut steps = history.steps.iter().peekable();
    let mut step_at = Instant::now();
    let mut restarts: HashMap<usize, Instant> = HashMap::new();
    let mut returns: HashMap<usize, Instant> = HashMap::new();
    let share = history.quota_percent.map(|it| f64::from(it) / 100.0);
    let limit = |vm: &Process| share.map(|share| CpuQuota::start(vm.id(), share));
    let mut quotas: Vec<Option<CpuQuota>> = site.vms.iter().map(limit).collect();
    while seen.open_callers.get() > 0 {
        let now = Instant::now();
        for (server, _) in returns.extract_if(|_, at| now >= *at) {
            site.put_entry(&site.servers[server], "ready");
        }
        for (vm, quota) in quotas.iter_mut().enumerate() {
            let has_ended = site.vms[vm].has_ended();
            match restarts.get(&vm) {
                None if has_ended => {
                    let finding = format!("ENDED: vm-{vm} by itself");
                    seen.findings.borrow_mut().push(finding);
                }
                Some(kill_at) if has_ended || now >= *kill_at => site.vms[vm].kill(),
                _ => continue,
            }
            restarts.remove(&vm);
            *quota = None;
            site.restart_vm(vm);
            *quota = limit(&site.vms[vm]);
        }
        while let Some(step) =
            steps.next_if(|it| step_at + Duration::from_millis(it.after_ms) <= now)
        {
            step_at += Duration::from_millis(step.after_ms);
            match &step.change {
                Change::Configure(plan) => configure(site, seen, plan),
                // Both at once leave callers without any VM.
                Change::Stop { vm } if restarts.is_empty() => {
                    seen.model.borrow_mut().stops.push((*vm, now));
                    site.vms[*vm].signal(Signal::SIGTERM);
                    restarts.insert(*vm, now + GRACE);
                }
                Change::HangUp { vm, signals } if !restarts.contains_key(vm) => {
                    (0..*signals).for_each(|_| site.vms[*vm].signal(Signal::SIGHUP));
                }
                Change::HangUp { .. } | Change::Stop { .. } => {}
                Change::Leave {
                    server,
                    away_ms,
                    has_new_software,
                } => {
                    let stand_in = &site.servers[*server];
                    site.remove(stand_in);
                    if *has_new_software {
                        stand_in.set_software("v2");
                    }
                    returns.insert(*server, now + Duration::from_millis(*away_ms));
                }
            }
        }
        compio::time::sleep(POLL).await;
    }
}

/// Holds all requests against the model.
fn check(site: &Site, seen: &Seen) {
    let runs = seen.runs.borrow();
    let model = seen.model.borrow();
    let mut findings = seen.findings.borrow_mut();
    let mut ends: BTreeMap<String, usize> = BTreeMap::new();
    let logs: Vec<_> = (0..VMS).map(|vm| site.log(vm)).collect();
    for sent in seen.sent.borrow_mut().iter_mut() {
        let lines = || {
            logs[sent.vm]
                .iter()
                .filter(|it| it["request"] == sent.id.as_str())
        };
        sent.is_logged = lines().next().is_some();
        sent.runs = runs.get(&sent.id).copied().unwrap_or(0);
        let response = &sent.response;
        let end = match (response.status, response.is_complete) {
            (Some(status @ 429..), true) if sent.plan.run == Run::Answers => {
                format!("{status} of a sound server's")
            }
            (Some(status), true) => status.to_string(),
            (Some(status), false) => format!("{status} cut"),
            (None, _) => "no answer".to_owned(),
        };
        *ends.entry(end).or_default() += 1;
        if let Some(finding) = model.finding(sent) {
            findings.push(finding);
            for line in lines() {
                println!("vm-{} {line}", sent.vm);
            }
        } else if response.status.is_none() {
            println!("allowed: {}", model.describe(sent));
        }
    }
    let counts = (model.versions.len(), model.stops.len(), model.has_slow_vms);
    println!("versions, stops and slow VMs: {counts:?}; requests: {ends:?}");
}
