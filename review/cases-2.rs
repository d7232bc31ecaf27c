//! The scripts of the second review: `cases-2 NUMBER RECORD`. Exits with 1 if the rule was broken, 0 if it
//! held, and 2 if the case could not run. With `TROUBLE=0` the disruption is left out.

#[path = "standins-2.rs"]
#[allow(dead_code)]
mod standins;

use standins::*;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record] = &arguments[..] else {
        eprintln!("usage: cases-2 NUMBER RECORD");
        std::process::exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(Path::new(record));
    record.line(&format!("case {case}, {} the disruption", if has_trouble { "with" } else { "without" }));
    let outcome = match case.as_str() {
        "6" => late_report(&record, has_trouble),
        "7" => forgotten_containment(&record, has_trouble),
        "8" => foreign_entry(&record, has_trouble),
        _ => None,
    };
    let code = match outcome {
        Some(true) => 1,
        Some(false) => 0,
        None => 2,
    };
    record.line(&format!("exit status {code}"));
    std::process::exit(code);
}

fn plain_config(version: u64, service: &str) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[\
         {{\"name\":\"r-u\",\"hostname\":\"{HOST}\",\"path_prefix\":\"/confirm/\",\"kind\":\"unsafe\",\"timeout_ms\":1500,\
         \"target_latency_ms\":150,\"priority\":2,\"service\":\"{service}\",\"max_attempts\":1}},\
         {{\"name\":\"r-s\",\"hostname\":\"{HOST}\",\"path_prefix\":\"/lookup/\",\"kind\":\"safe\",\"timeout_ms\":1500,\
         \"target_latency_ms\":150,\"priority\":2,\"service\":\"{service}\",\"max_attempts\":2}}],\
         \"services\":[{{\"name\":\"{service}\",\"health_path\":\"/health\",\"max_connections\":96}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":5000,\
         \"idle_timeout_ms\":15000}}}}"
    )
}

/// A status report that a runner sent before it left is done by the store after the runner's entry was
/// removed: requests reach the runner again.
fn late_report(record: &Record, has_trouble: bool) -> Option<bool> {
    const REPORT_INTERVAL: Duration = Duration::from_millis(1_200);
    const WORK: Duration = Duration::from_millis(200);
    const DRAIN_S: f64 = 2.0;
    const STABLE_WINDOW_S: f64 = 3.0;
    let folder = Folder::create();
    let ip = loopback();
    let store = Store::start(ip);
    // The arrivals at the runner that leaves, and the time of the removal's acknowledgement.
    let arrivals: Arc<Mutex<Vec<(f64, String)>>> = Arc::default();
    let seen = arrivals.clone();
    let work: Work = Arc::new(move |runner, request, wire| {
        let id = request.header("x-attempt-id").to_owned();
        runner.record.line(&format!("{} runs {id} {}", runner.id, request.target));
        if runner.id == "i-2" {
            seen.lock().unwrap().push((runner.record.now(), id));
        }
        thread::sleep(WORK);
        if runner.is_gone() {
            return false;
        }
        wire.stream.write_all_signed(request)
    });
    let zones = ["a", "b", "c"];
    let runners: Vec<Runner> = (0..3)
        .map(|index| Runner::start(ip, &format!("i-{index}"), "app", zones[index], record, work.clone()))
        .collect();
    store.put("keyed.op", "config", &plain_config(7, "app"));
    for runner in &runners {
        store.put("keyed.servers", &runner.id, &runner.next_report("ready"));
    }
    let machines: Vec<Machine> = (0..3)
        .map(|index| Machine::start(&folder.0, ip, index, zones[index as usize], store.address))
        .collect();
    if !machines.iter().all(|it| it.wait_ready(Duration::from_secs(10))) {
        record.line("not all machines are ready");
        return None;
    }
    // Status reports of the runners that stay.
    let is_over = Arc::new(AtomicBool::new(false));
    for runner in &runners[..2] {
        let (runner, store, is_over) = (runner.clone(), store.clone(), is_over.clone());
        thread::spawn(move || {
            while !is_over.load(Ordering::SeqCst) {
                thread::sleep(REPORT_INTERVAL);
                store.put("keyed.servers", &runner.id, &runner.next_report("ready"));
            }
        });
    }
    let requesters = start_requesters(&machines, record, &is_over);

    // The runner that leaves. Times are seconds from here.
    let began = record.now();
    let at = |seconds: f64| {
        let left = began + seconds - record.now();
        thread::sleep(Duration::from_secs_f64(left.max(0.0)));
    };
    let leaver = &runners[2];
    let report = |text: &str, entry: &str| {
        record.line(&format!("store: {text}: {entry}"));
        store.put("keyed.servers", &leaver.id, entry);
    };
    for step in 1..=2 {
        at(1.2 * f64::from(step));
        report("report of i-2", &leaver.next_report("ready"));
    }
    at(3.6);
    let lost = leaver.next_report("ready");
    match has_trouble {
        true => record.line(&format!("store: a report of i-2 gets no answer, and is done later: {lost}")),
        false => report("report of i-2", &lost),
    }
    for step in 4..=5 {
        at(1.2 * f64::from(step));
        report("report of i-2", &leaver.next_report("ready"));
    }
    // The store has lost no answer for more than 3 s.
    at(6.9);
    report("the entry of i-2 is removed", "");
    let removed = record.now();
    at(9.4);
    let done = record.now();
    if has_trouble {
        report("the report without an answer is done, 5.8 s after it was sent", &lost);
    }
    at(12.95);
    record.line("i-2 exits");
    leaver.exit();
    at(13.0);
    if has_trouble {
        report("the entry of i-2 is removed after three intervals of silence", "");
    }
    at(15.0);
    is_over.store(true, Ordering::SeqCst);
    for requester in requesters {
        let _ = requester.join();
    }
    let arrivals = arrivals.lock().unwrap();
    let after = |limit: f64| arrivals.iter().filter(|(time, _)| *time > limit).count();
    // All machines are in touch by then, even if the store counts as impaired until the late write.
    let in_touch = after((removed + DRAIN_S).max(done + STABLE_WINDOW_S));
    record.line(&format!(
        "requests at i-2: {} in all, {} later than {DRAIN_S} s after its removal was acknowledged, {in_touch} of \
         them later than {STABLE_WINDOW_S} s after the late write",
        arrivals.len(),
        after(removed + DRAIN_S),
    ));
    Some(in_touch > 0)
}

/// Another writer leaves an entry with a service that nobody named under the key of each runner of a
/// service. The runners' own later reports are ignored, since the number in that entry is higher.
fn foreign_entry(record: &Record, has_trouble: bool) -> Option<bool> {
    const REPORT_INTERVAL: Duration = Duration::from_millis(1_200);
    let folder = Folder::create();
    let ip = loopback();
    let store = Store::start(ip);
    let work: Work = Arc::new(|runner, request, wire| {
        let id = request.header("x-attempt-id");
        runner.record.line(&format!("{} runs {id} {}", runner.id, request.target));
        thread::sleep(Duration::from_millis(30));
        wire.stream.write_all_signed(request)
    });
    let zones = ["a", "b", "c"];
    let start = |service: &str| -> Vec<Runner> {
        let ids = (0..3).map(|index| (index, format!("i-{service}-{index}")));
        ids.map(|(index, id)| Runner::start(ip, &id, service, zones[index], record, work.clone())).collect()
    };
    let (first, later) = (start("app"), start("desk"));
    store.put("keyed.op", "config", &two_services_config(7, false));
    for runner in first.iter().chain(&later) {
        store.put("keyed.servers", &runner.id, &runner.next_report("ready"));
    }
    let machines: Vec<Machine> = (0..3)
        .map(|index| Machine::start(&folder.0, ip, index, zones[index as usize], store.address))
        .collect();
    if !machines.iter().all(|it| it.wait_ready(Duration::from_secs(10))) {
        record.line("not all machines are ready");
        return None;
    }
    let is_over = Arc::new(AtomicBool::new(false));
    for runner in first.iter().chain(&later) {
        let (runner, store, is_over) = (runner.clone(), store.clone(), is_over.clone());
        thread::spawn(move || {
            while !is_over.load(Ordering::SeqCst) {
                thread::sleep(REPORT_INTERVAL);
                let report = runner.next_report("ready");
                runner.record.line(&format!("store: report of {}: {report}", runner.id));
                store.put("keyed.servers", &runner.id, &report);
            }
        });
    }
    thread::sleep(Duration::from_secs(2));
    record.line("store: version 12 adds the route /later/ to the service desk");
    store.put("keyed.op", "config", &two_services_config(12, true));
    thread::sleep(Duration::from_secs(4));
    if has_trouble {
        for runner in &later {
            let entry = runner.report_of("spool", 300);
            record.line(&format!("store: another writer's entry under the key {}: {entry}", runner.id));
            store.put("keyed.servers", &runner.id, &entry);
        }
    }
    // Everybody is calm from here on; judged is what is sent later than 4 s after that.
    thread::sleep(Duration::from_secs(4));
    let mut served = [0_u32; 2];
    let mut sent = [0_u32; 2];
    for round in 0..100 {
        for (index, machine) in machines.iter().enumerate() {
            for (route, path) in ["first", "later"].iter().enumerate() {
                let id = format!("{:08x}{index:04x}{route:04x}", round + 1);
                let head = format!(
                    "GET /{path}/{id} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 1500\r\n\r\n"
                );
                record.line(&format!("sent {id} /{path}/ to {}", machine.name));
                let end = send(machine.front, &head, b"", Duration::from_millis(1_600));
                sent[route] += 1;
                served[route] += u32::from(matches!(end, End::Answer(200, true, _)));
                record.line(&format!("{id}: {end:?}"));
            }
        }
        thread::sleep(Duration::from_millis(100));
    }
    is_over.store(true, Ordering::SeqCst);
    record.line(&format!(
        "served on the first routes {} of {}, on the route that was added later {} of {}",
        served[0], sent[0], served[1], sent[1]
    ));
    let shares = [0, 1].map(|route| f64::from(served[route]) / f64::from(sent[route]));
    Some(sent[1] >= 20 && shares[1] < shares[0] / 4.0)
}

/// A configuration with a route to the service `app`, and one to `desk` that is added later.
fn two_services_config(version: u64, has_later: bool) -> String {
    let route = |name: &str, service: &str| {
        format!(
            "{{\"name\":\"r-{name}\",\"hostname\":\"{HOST}\",\"path_prefix\":\"/{name}/\",\"kind\":\"safe\",\
             \"timeout_ms\":1500,\"target_latency_ms\":150,\"priority\":2,\"service\":\"{service}\",\"max_attempts\":2}}"
        )
    };
    let service = |name: &str| format!("{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_connections\":96}}");
    let later = if has_later { format!(",{}", route("later", "desk")) } else { String::new() };
    format!(
        "{{\"version\":{version},\"routes\":[{}{later}],\"services\":[{},{}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":5000,\
         \"idle_timeout_ms\":15000}}}}",
        route("first", "app"),
        service("app"),
        service("desk")
    )
}

/// All machines are killed while the part of the store is down that holds what crashes runners. They tell
/// each other that they know it, never read it, and send the request to runners again.
fn forgotten_containment(record: &Record, has_trouble: bool) -> Option<bool> {
    const POISON: &str = "/confirm/poison";
    const CONTAINED: &str = "keyed.contained";
    const STABLE_WINDOW_S: f64 = 3.0;
    const REPORT_INTERVAL: Duration = Duration::from_millis(1_200);
    const RUNNERS: usize = 6;
    let folder = Folder::create();
    let ip = loopback();
    let store = Store::start(ip);
    let zones = ["a", "b", "c"];
    let arrivals: Arc<Mutex<Vec<f64>>> = Arc::default();
    let seen = arrivals.clone();
    let work: Work = Arc::new(move |runner, request, wire| {
        let id = request.header("x-attempt-id");
        runner.record.line(&format!("{} runs {id} {}", runner.id, request.target));
        if request.path() == POISON {
            seen.lock().unwrap().push(runner.record.now());
            thread::sleep(Duration::from_millis(20));
            runner.record.line(&format!("{} crashes", runner.id));
            runner.exit();
            return false;
        }
        thread::sleep(Duration::from_millis(100));
        !runner.is_gone() && wire.stream.write_all_signed(request)
    });
    store.put("keyed.op", "config", &plain_config(7, "app"));
    // Each place has a runner that reports, and is back under a new id two seconds after a crash.
    let is_over = Arc::new(AtomicBool::new(false));
    for place in 0..RUNNERS {
        let (store, record, work, is_over) =
            (store.clone(), record.clone(), work.clone(), is_over.clone());
        let zone = zones[place % zones.len()];
        let mut start = 0;
        let mut runner = Runner::start(ip, &format!("i-{place}-{start}"), "app", zone, &record, work.clone());
        store.put("keyed.servers", &runner.id, &runner.next_report("ready"));
        thread::spawn(move || {
            let mut reported_at = record.now();
            while !is_over.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(20));
                if runner.is_gone() {
                    let gone = runner.id.clone();
                    thread::sleep(Duration::from_secs(2));
                    start += 1;
                    let id = format!("i-{place}-{start}");
                    runner = Runner::start(ip, &id, "app", zone, &record, work.clone());
                    store.put("keyed.servers", &id, &runner.next_report("ready"));
                    reported_at = record.now();
                    let store = store.clone();
                    // Three intervals after the last report of the one that crashed, at the latest.
                    thread::spawn(move || {
                        thread::sleep(3 * REPORT_INTERVAL - Duration::from_secs(2));
                        store.put("keyed.servers", &gone, "");
                    });
                } else if record.now() - reported_at >= REPORT_INTERVAL.as_secs_f64() {
                    reported_at = record.now();
                    store.put("keyed.servers", &runner.id, &runner.next_report("ready"));
                }
            }
        });
    }
    let mut machines: Vec<Machine> = (0..3)
        .map(|index| Machine::start(&folder.0, ip, index, zones[index as usize], store.address))
        .collect();
    if !machines.iter().all(|it| it.wait_ready(Duration::from_secs(10))) {
        record.line("not all machines are ready");
        return None;
    }
    let requesters = start_requesters(&machines, record, &is_over);
    let began = record.now();
    let at = |seconds: f64| {
        let left = began + seconds - record.now();
        thread::sleep(Duration::from_secs_f64(left.max(0.0)));
    };
    // From when on all machines are in touch.
    let mut calm_from = vec![(0.0, 0.0)];
    let comes = |number: usize, front| {
        let id = format!("beef{number:012x}");
        let head = format!(
            "POST {POISON} HTTP/1.1\r\nContent-Length: 4\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\n\
             X-Deadline-Ms: 1500\r\n\r\n"
        );
        record.line(&format!("sent {id} {POISON}, the request that crashes runners"));
        let end = send(front, &head, b"body", Duration::from_millis(1_600));
        record.line(&format!("{id}: {end:?}"));
    };
    at(4.0);
    comes(0, machines[0].front);
    at(8.0);
    comes(1, machines[1].front);
    at(12.0);
    comes(2, machines[2].front);
    record.line(&format!("records in the store of what crashes runners: {}", store.len(CONTAINED)));
    if store.len(CONTAINED) == 0 {
        record.line("nothing is contained");
        return None;
    }
    for round in 0..3 {
        let killed = 15.0 + 16.0 * f64::from(round);
        at(killed - 0.2);
        if has_trouble {
            record.line("store: the partition of keyed.contained is down");
            store.set_down(Some(CONTAINED));
        }
        at(killed);
        if has_trouble {
            record.line("all machines are killed");
            machines.iter_mut().for_each(Machine::end);
            at(killed + 0.5);
            machines.iter_mut().for_each(Machine::run);
        }
        at(killed + 4.0);
        record.line("store: all partitions are up");
        store.set_down(None);
        let calm = record.now() + STABLE_WINDOW_S;
        for come in 0..3 {
            at(killed + 7.5 + 3.5 * f64::from(come));
            let number = 3 + 3 * round as usize + come as usize;
            comes(number, machines[number % machines.len()].front);
        }
        calm_from.push((calm, record.now()));
    }
    is_over.store(true, Ordering::SeqCst);
    for requester in requesters {
        let _ = requester.join();
    }
    let arrivals = arrivals.lock().unwrap();
    let Some(third) = arrivals.get(2) else {
        record.line(&format!("it has crashed {} runners, not three", arrivals.len()));
        return Some(false);
    };
    let in_touch = |time: f64| calm_from.iter().any(|(from, to)| time >= *from && time <= *to);
    let later = arrivals.iter().filter(|time| **time > third + STABLE_WINDOW_S && in_touch(**time));
    let later = later.count();
    record.line(&format!(
        "it has reached runners {} times, {later} times later than {STABLE_WINDOW_S} s after it crashed the third",
        arrivals.len()
    ));
    Some(later > 3)
}

trait WriteSigned {
    fn write_all_signed(&mut self, request: &Request) -> bool;
}

impl WriteSigned for std::net::TcpStream {
    fn write_all_signed(&mut self, request: &Request) -> bool {
        use std::io::Write;
        self.write_all(&response(200, &signed(request), b"done")).is_ok()
    }
}

/// Requesters of confirmations and lookups, nine for each machine, with a pause of 50 ms after each answer.
fn start_requesters(
    machines: &[Machine],
    record: &Record,
    is_over: &Arc<AtomicBool>,
) -> Vec<thread::JoinHandle<()>> {
    let number = Arc::new(AtomicU64::new(1));
    let mut requesters = Vec::new();
    for machine in machines {
        for index in 0..9 {
            let (front, record, is_over, number) =
                (machine.front, record.clone(), is_over.clone(), number.clone());
            requesters.push(thread::spawn(move || {
                while !is_over.load(Ordering::SeqCst) {
                    let id = format!("{:016x}", number.fetch_add(1, Ordering::SeqCst));
                    let head = match index % 3 {
                        0 => format!("GET /lookup/{id} HTTP/1.1\r\n"),
                        _ => format!("POST /confirm/{id} HTTP/1.1\r\nContent-Length: 4\r\n"),
                    };
                    let body: &[u8] = if index % 3 == 0 { b"" } else { b"body" };
                    let head = format!(
                        "{head}Host: {HOST}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 1500\r\n\r\n"
                    );
                    record.line(&format!("sent {id} to {front}"));
                    match send(front, &head, body, Duration::from_millis(1_600)) {
                        End::Answer(status, is_signed, _) => {
                            record.line(&format!("answer {id} {status} signed={is_signed}"));
                        }
                        other => record.line(&format!("no answer {id}: {other:?}")),
                    }
                    thread::sleep(Duration::from_millis(50));
                }
            }));
        }
    }
    requesters
}
