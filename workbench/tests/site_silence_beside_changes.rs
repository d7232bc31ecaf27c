//! Sound servers that fall silent and go on, beside changes of the configuration and signals.

use googletest::prelude::*;
use nix::sys::signal::Signal;
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use workbench::cluster::block_on;
use workbench::process::Process;
use workbench::site::events::remaining_events_of;
use workbench::site::events::{events, events_text, last_chunk, remaining_events};
use workbench::site::{
    Caller, CallerRequest, ReceivedRequest, ScriptStep, Site, plain, route, runner_service,
    signed_answer,
};

/// Events of a whole stream, and the pause after each.
const EVENTS: u64 = 12;
const PAUSE_MS: u64 = 20;
/// Events before a server falls silent in the middle of a stream.
const PART: u64 = 4;
/// How long servers are silent.
const SILENCES_MS: [u64; 3] = [800, 1_300, 1_800];
/// Where in its answer a server falls silent.
const PLACES: [&str; 2] = ["head", "middle"];
/// What other servers do with a request that a silent server runs.
const OTHERS: [&str; 3] = ["refuse", "misdirected", "run"];
/// The slots of the two runners.
const SLOTS: usize = 2 * 64;
/// From the start of the requests until the change.
const CHANGE_AFTER: Duration = Duration::from_millis(350);
/// Between two signals of the same kind.
const SIGNAL_INTERVAL: Duration = Duration::from_millis(300);
/// Signals of a quick series, without a pause between them.
const QUICK_SIGNALS: usize = 20_000;

/// What happens to a VM while servers are silent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Change {
    AdapterDropped,
    HangUp,
    HangUpSeries,
    ManyRoutes,
    ModelDropped,
    RouteDropped,
    RouteMoved,
    StoppedTwice,
    Stopped,
    TimeoutShortened,
    WeightsMoved,
}

impl Change {
    async fn make(self, site: &mut Site) {
        let sound = [
            route("/s/", "streaming", "llm"),
            route("/safe/", "safe", "books"),
            route("/unsafe/", "unsafe", "books"),
        ];
        let services = |model: &[(&str, u32)]| {
            let plain_services = [plain("books"), plain("spare")];
            let models = [runner_service("llm", model), runner_service("other", model)];
            json!([models, plain_services].concat())
        };
        let whole = services(&[("m0", 1), ("m1", 0)]);
        match self {
            Self::AdapterDropped => site.configure(json!(sound), services(&[("m0", 0)])),
            Self::ModelDropped => site.configure(json!(sound), services(&[("m1", 0)])),
            Self::RouteDropped => site.configure(json!([route("/x/", "safe", "books")]), whole),
            Self::RouteMoved => {
                let moved = [
                    route("/s/", "streaming", "other"),
                    route("/safe/", "safe", "spare"),
                    route("/unsafe/", "unsafe", "spare"),
                ];
                site.configure(json!(moved), whole);
            }
            Self::TimeoutShortened => {
                let mut routes = json!(sound);
                for route in routes.as_array_mut().into_iter().flatten() {
                    route["timeout_ms"] = json!(700);
                }
                site.configure(routes, whole);
            }
            Self::WeightsMoved => {
                let mut routes = json!(sound);
                let targets = [["llm", "other"], ["books", "spare"], ["books", "spare"]];
                let routes_of = routes.as_array_mut().into_iter().flatten();
                for (route, [old, new]) in routes_of.zip(targets) {
                    route["service"] = Value::Null;
                    route["traffic_split"] = json!([
                        {"service": old, "weight": 1},
                        {"service": new, "weight": 99},
                    ]);
                }
                site.configure(routes, whole);
            }
            Self::ManyRoutes => {
                let further =
                    (0..1_400).map(|index| route(&format!("/f-{index}/"), "safe", "books"));
                let routes: Vec<Value> = sound.into_iter().chain(further).collect();
                site.configure(json!(routes), whole);
            }
            Self::HangUp => site.vms[0].signal(Signal::SIGHUP),
            Self::HangUpSeries => signal_series(&site.vms[0], Signal::SIGHUP),
            Self::Stopped => site.vms[0].signal(Signal::SIGTERM),
            Self::StoppedTwice => {
                site.vms[0].signal(Signal::SIGTERM);
                compio::time::sleep(SIGNAL_INTERVAL).await;
                site.vms[0].signal(Signal::SIGTERM);
            }
        }
    }

    fn is_configuration(self) -> bool {
        !matches!(
            self,
            Self::HangUp | Self::HangUpSeries | Self::Stopped | Self::StoppedTwice
        )
    }
}

fn signal_series(vm: &Process, signal: Signal) {
    for _ in 0..QUICK_SIGNALS {
        vm.signal(signal);
    }
}

/// Two runners of `m0` and two plain servers, which fall silent as the path of a request says, and
/// one server of each other service.
async fn start() -> Site {
    let holds = || vec![("m0", vec!["a0"]), ("m1", vec![])];
    let mut site = Site::start(vec![
        ("llm", holds()),
        ("llm", holds()),
        ("books", vec![]),
        ("books", vec![]),
        ("other", holds()),
        ("spare", vec![]),
    ])
    .await;
    let begun: Rc<RefCell<HashSet<String>>> = Rc::default();
    for server in &site.servers {
        let (id, begun) = (server.id.clone(), begun.clone());
        server.script(move |call| {
            let attempt = call.header("x-attempt-id").to_owned();
            match begun.borrow_mut().insert(attempt) {
                true => silent_answer(call),
                false => later_answer(call, &id),
            }
        });
    }
    site.configure(
        json!([
            route("/s/", "streaming", "llm"),
            route("/safe/", "safe", "books"),
            route("/unsafe/", "unsafe", "books"),
        ]),
        json!([
            runner_service("llm", &[("m0", 1), ("m1", 0)]),
            runner_service("other", &[("m0", 1), ("m1", 0)]),
            plain("books"),
            plain("spare"),
        ]),
    );
    site
}

/// The answer of a server that falls silent once: the path names the kind of the request, the place
/// and the length of the silence and what other servers do.
fn silent_answer(call: &ReceivedRequest) -> Vec<ScriptStep> {
    let parts: Vec<&str> = call.path.split('/').collect();
    let ["", kind, place, _, silence_ms] = parts[..] else {
        return Vec::new();
    };
    let silence_ms = silence_ms.parse().expect("a number of milliseconds");
    let silence = ScriptStep::Wait(Duration::from_millis(silence_ms));
    let is_stream = kind == "s";
    match (is_stream, place) {
        (true, "head") => {
            let mut steps = vec![silence];
            steps.extend(remaining_events(call, EVENTS, PAUSE_MS));
            steps
        }
        (true, _) => {
            let mut steps = events(call, 1, PART, PAUSE_MS);
            steps.push(silence);
            // The steps without the head.
            steps.extend(events(call, PART + 1, EVENTS - PART, PAUSE_MS).split_off(1));
            steps.push(last_chunk());
            steps
        }
        (false, "head") => vec![silence, ScriptStep::Write(plain_answer(call))],
        (false, _) => {
            let mut head = plain_answer(call);
            let rest = head.split_off(head.len() - 3);
            vec![ScriptStep::Write(head), silence, ScriptStep::Write(rest)]
        }
    }
}

/// The answer to a request that another server has begun to run.
fn later_answer(call: &ReceivedRequest, server: &str) -> Vec<ScriptStep> {
    let answer = match call.path.split('/').nth(3) {
        Some("run") if call.path.starts_with("/s/") => {
            return remaining_events(call, EVENTS, PAUSE_MS);
        }
        Some("run") => plain_answer(call),
        Some("misdirected") => {
            format!("HTTP/1.1 421 No\r\nX-Instance-Id: {server}\r\nContent-Length: 0\r\n\r\n")
                .into()
        }
        _ => b"HTTP/1.1 503 No\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".to_vec(),
    };
    vec![ScriptStep::Write(answer)]
}

fn plain_answer(call: &ReceivedRequest) -> Vec<u8> {
    signed_answer(call.header("x-attempt-id"), 200, "the whole answer")
}

/// All requests of a trial.
fn requests() -> Vec<CallerRequest> {
    let mut requests = Vec::new();
    for place in PLACES {
        for others in OTHERS {
            for silence_ms in SILENCES_MS {
                let path = |kind: &str| format!("/{kind}/{place}/{others}/{silence_ms}");
                requests.push(CallerRequest::model(&path("s"), "m0"));
                requests.push(CallerRequest::model(&path("s"), "m0/a0"));
                requests.push(CallerRequest::get(&path("safe")));
                requests.push(CallerRequest::post(&path("unsafe"), "one"));
            }
        }
    }
    requests
}

/// Sends a request; returns what is wrong with the answer.
async fn failure(address: SocketAddr, request: CallerRequest) -> Option<String> {
    let answer = Caller::default().request(address, &request).await;
    let expected = match request.path.starts_with("/s/") {
        true => events_text(1, EVENTS),
        false => "the whole answer".to_owned(),
    };
    let is_whole = answer.status == Some(200) && answer.is_complete && answer.body == expected;
    (!is_whole).then(|| {
        format!(
            "{}: {:?} after {:?}, complete {}, {} bytes of {}",
            request.path,
            answer.status,
            answer.duration,
            answer.is_complete,
            answer.body.len(),
            expected.len()
        )
    })
}

/// Makes a change while servers are silent; returns what is wrong with the answers.
async fn failures(change: Change, retry_slack: u32) -> Vec<String> {
    let mut site = start().await;
    site.retry_slack = retry_slack;
    site.start_vms(1);
    site.wait_ready().await;
    let requests = requests();
    let unsafe_paths = requests.iter().filter(|it| it.path.starts_with("/unsafe/"));
    let unsafe_ids: Vec<String> = unsafe_paths.map(|it| it.id.clone()).collect();
    let address = site.front(0);
    let version = site.configuration_version(0).await;
    let answers = requests
        .into_iter()
        .map(|request| compio::runtime::spawn(failure(address, request)));
    let answers: Vec<_> = answers.collect();
    compio::time::sleep(CHANGE_AFTER).await;
    change.make(&mut site).await;
    let mut failures = Vec::new();
    for answer in answers {
        failures.extend(answer.await.expect("a caller does not panic"));
    }
    if change.is_configuration() && site.configuration_version(0).await <= version {
        failures.push("the configuration was not changed".to_owned());
    }
    for id in unsafe_ids {
        let runs = site.servers.iter().flat_map(|it| it.runs());
        let runs = runs.filter(|run| run.header("x-attempt-id") == id).count();
        if runs != 1 {
            failures.push(format!("an unsafe call ran {runs} times"));
        }
    }
    failures
}

#[googletest::test]
fn answers_of_silent_servers_come_whole_beside_a_dropped_adapter() {
    expect_that!(block_on(failures(Change::AdapterDropped, 58)), is_empty());
}

#[googletest::test]
fn answers_of_silent_servers_come_whole_beside_a_dropped_model() {
    expect_that!(block_on(failures(Change::ModelDropped, 58)), is_empty());
}

#[googletest::test]
fn answers_of_silent_servers_come_whole_beside_a_dropped_route() {
    expect_that!(block_on(failures(Change::RouteDropped, 58)), is_empty());
}

#[googletest::test]
fn answers_of_silent_servers_come_whole_beside_a_moved_route() {
    expect_that!(block_on(failures(Change::RouteMoved, 58)), is_empty());
}

#[googletest::test]
fn answers_of_silent_servers_come_whole_beside_a_shortened_timeout() {
    expect_that!(block_on(failures(Change::TimeoutShortened, 58)), is_empty());
}

#[googletest::test]
fn answers_of_silent_servers_come_whole_beside_moved_weights() {
    expect_that!(block_on(failures(Change::WeightsMoved, 58)), is_empty());
}

#[googletest::test]
fn answers_of_silent_servers_come_whole_beside_many_new_routes() {
    expect_that!(block_on(failures(Change::ManyRoutes, 58)), is_empty());
}

#[googletest::test]
fn answers_of_silent_servers_come_whole_beside_a_sighup() {
    expect_that!(block_on(failures(Change::HangUp, 58)), is_empty());
}

#[googletest::test]
fn answers_of_silent_servers_come_whole_beside_a_series_of_sighups() {
    expect_that!(block_on(failures(Change::HangUpSeries, 58)), is_empty());
}

#[googletest::test]
fn answers_of_silent_servers_come_whole_beside_a_sigterm() {
    expect_that!(block_on(failures(Change::Stopped, 58)), is_empty());
}

#[googletest::test]
fn answers_of_silent_servers_come_whole_beside_two_sigterms() {
    expect_that!(block_on(failures(Change::StoppedTwice, 58)), is_empty());
}

#[googletest::test]
fn answers_of_silent_servers_come_whole_without_retries() {
    expect_that!(block_on(failures(Change::RouteDropped, 0)), is_empty());
}

/// Sends a stream whose server is silent in the middle, and makes `disturb` happen to the servers
/// meanwhile, given which of them runs the stream; returns what is wrong with the answer.
async fn stream_failure(site: &Site, disturb: impl AsyncFn(usize)) -> Option<String> {
    let request = CallerRequest::model("/s/middle/refuse/1800", "m0");
    let answer = compio::runtime::spawn(failure(site.front(0), request));
    let running = || site.servers.iter().position(|it| !it.runs().is_empty());
    site.wait("a server runs the stream", async || running().is_some())
        .await;
    disturb(running().expect("a server runs the stream")).await;
    answer.await.expect("a caller does not panic")
}

#[googletest::test]
fn a_stream_of_a_silent_server_comes_whole_when_the_other_servers_are_gone() {
    block_on(async {
        let mut site = start().await;
        site.start_vms(1);
        site.wait_ready().await;
        let failure = stream_failure(&site, async |running| {
            site.servers[1 - running].die();
            site.vms[0].signal(Signal::SIGTERM);
        });
        expect_that!(failure.await, none());
    });
}

#[googletest::test]
fn a_stream_of_a_silent_server_comes_whole_when_the_other_servers_turn_requests_away() {
    block_on(async {
        let mut site = start().await;
        site.start_vms(1);
        site.wait_ready().await;
        let failure = stream_failure(&site, async |running| {
            site.servers[1 - running].turn_away(Some("5"));
            site.vms[0].signal(Signal::SIGTERM);
        });
        expect_that!(failure.await, none());
    });
}

#[googletest::test]
fn streams_of_silent_servers_come_whole_when_all_slots_are_taken() {
    block_on(async {
        let mut site = start().await;
        site.start_vms(1);
        site.wait_ready().await;
        let address = site.front(0);
        let answers = (0..SLOTS).map(|_| {
            let request = CallerRequest::model("/s/middle/refuse/1800", "m0");
            compio::runtime::spawn(failure(address, request))
        });
        let answers: Vec<_> = answers.collect();
        compio::time::sleep(CHANGE_AFTER).await;
        Change::RouteDropped.make(&mut site).await;
        site.vms[0].signal(Signal::SIGTERM);
        let mut failures = Vec::new();
        for answer in answers {
            failures.extend(answer.await.expect("a caller does not panic"));
        }
        expect_that!(failures, is_empty());
    });
}

#[googletest::test]
fn a_stream_of_a_silent_server_holds_events_of_one_software_version() {
    block_on(async {
        let mut site = Site::start(Vec::new()).await;
        let has_begun = Rc::new(Cell::new(false));
        for version in ["v1", "v2"] {
            let holds = vec![("m0", vec![])];
            let server = site.add_server_of_version("llm", holds, version).await;
            let has_begun = has_begun.clone();
            server.script(move |call| {
                let mut steps = remaining_events_of(call, version, EVENTS, PAUSE_MS);
                if !has_begun.replace(true) {
                    let silence = ScriptStep::Wait(Duration::from_millis(1_800));
                    steps.insert(1 + 2 * PART as usize, silence);
                }
                steps
            });
        }
        site.configure(
            json!([route("/s/", "streaming", "llm")]),
            json!([runner_service("llm", &[("m0", 0)])]),
        );
        site.start_vms(1);
        site.wait_ready().await;
        let request = CallerRequest::model("/s/x", "m0");
        let answer = Caller::default().request(site.front(0), &request).await;
        let data = answer.body.lines();
        let data: Vec<&str> = data.filter_map(|it| it.strip_prefix("data: ")).collect();
        expect_that!(answer.is_complete, eq(true));
        expect_that!(data.len(), eq(EVENTS as usize));
        expect_that!(data.iter().collect::<HashSet<_>>().len(), eq(1));
    });
}
