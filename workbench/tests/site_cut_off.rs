//! On the platform: a VM that reaches no server, while callers and the other VMs reach it.

use googletest::prelude::*;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::process::Command;
use std::rc::Rc;
use std::time::{Duration, Instant};
use workbench::cluster::block_on;
use workbench::process::product_binary;
use workbench::proxy::Proxy;
use workbench::site::events::{events_text, remaining_events};
use workbench::site::{
    Answer, BlackHole, Caller, CallerRequest, ScriptStep, ServerEvent, Site, plain, route,
    runner_service, send_steadily,
};

/// The VM that is cut off, unless a test says otherwise.
const CUT_VM: usize = 2;
/// Time within which a server has to notice that a caller has left.
const LEFT_LIMIT: Duration = Duration::from_millis(500);
/// Time within which a request that no VM can serve has to be refused.
const REFUSAL_LIMIT: Duration = Duration::from_millis(500);
/// Time after a cut within which another VM sends the orders.
const HANDOVER_LIMIT: Duration = Duration::from_secs(8);
/// Time after which callers of a VM that is cut off are to be served nearly as often as others.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// Events of a whole stream.
const EVENTS: u64 = 6;

/// How the paths from the VM to the servers are cut.
#[derive(Clone, Copy, Debug)]
enum Cut {
    /// New connections are refused, open ones go on.
    Refused,
    /// New connections are refused, open ones are reset.
    Reset,
    /// New connections get no answer, open ones are silent.
    Silent,
}

/// A site whose last VM reaches the servers by paths of its own.
struct CutSite {
    site: Site,
    paths: Vec<Rc<Proxy>>,
    black_holes: Vec<BlackHole>,
}

impl CutSite {
    async fn start() -> Self {
        Self::start_with_cut_vms([CUT_VM]).await
    }

    async fn start_with_cut_vms(cut_vms: impl IntoIterator<Item = usize>) -> Self {
        let plain_servers = vec![("books", vec![]); 2];
        let runners = vec![("llm", vec![("m0", vec![])]); 2];
        let mut site = Site::start([plain_servers, runners].concat()).await;
        site.configure(
            json!([
                route("/", "safe", "books"),
                route("/orders/", "unsafe", "books"),
                route("/s/", "streaming", "llm"),
            ]),
            json!([
                plain("books"),
                runner_service("llm", &[("m0", 0), ("m1", 0)])
            ]),
        );
        for server in site.servers.iter().filter(|it| it.service == "llm") {
            server.script(|call| remaining_events(call, EVENTS, 20));
        }
        site.vms_with_paths.extend(cut_vms);
        let mut cut_site = Self {
            site,
            paths: Vec::new(),
            black_holes: Vec::new(),
        };
        cut_site.heal().await;
        // The first VM becomes the leader.
        for vms in [1, 2] {
            cut_site.site.start_vms(vms);
            cut_site.site.wait_ready().await;
        }
        cut_site
    }

    async fn heal(&mut self) {
        self.black_holes.clear();
        self.paths.clear();
        for index in 0..self.site.servers.len() {
            let server = &self.site.servers[index];
            let path = Proxy::start(self.site.path_address(index), server.address()).await;
            self.paths.push(path);
        }
    }

    async fn cut(&mut self, cut: Cut) {
        for path in &self.paths {
            path.close();
            match cut {
                Cut::Refused => {}
                Cut::Reset => path.cut(),
                Cut::Silent => path.silence(),
            }
        }
        // Until the listeners are closed.
        compio::time::sleep(Duration::from_millis(50)).await;
        if matches!(cut, Cut::Silent) {
            let addresses = (0..self.paths.len()).map(|index| self.site.path_address(index));
            self.black_holes = addresses.map(BlackHole::start).collect();
        }
    }

    /// Sends requests of all kinds to one VM at a steady rate.
    async fn send(&self, vm: usize, duration: Duration) -> Vec<Answer> {
        let vms = [vm];
        let plain = send_steadily(&self.site, &vms, 20.0, duration, || {
            CallerRequest::get("/books")
        });
        let orders = send_steadily(&self.site, &vms, 20.0, duration, || {
            CallerRequest::post("/orders/new", "one")
        });
        let streams = send_steadily(&self.site, &vms, 10.0, duration, || {
            CallerRequest::model("/s/x", "m0")
        });
        let (plain, orders, streams) = futures_util::join!(plain, orders, streams);
        [plain, orders, streams].concat()
    }
}

fn served(answers: &[Answer]) -> usize {
    let is_served = |it: &&Answer| it.status == Some(200) && it.is_complete;
    answers.iter().filter(is_served).count()
}

async fn expect_served_through_others(cut: Cut) {
    let mut cut_site = CutSite::start().await;
    cut_site.send(CUT_VM, Duration::from_secs(2)).await;
    cut_site.cut(cut).await;
    cut_site.send(CUT_VM, STABLE_WINDOW).await;
    let duration = Duration::from_secs(4);
    let (answers, of_other) =
        futures_util::join!(cut_site.send(CUT_VM, duration), cut_site.send(0, duration));
    expect_that!(served(&of_other), eq(of_other.len()), "{cut:?}: other VM");
    expect_that!(3 * served(&answers), ge(2 * answers.len()), "{cut:?}");
    let failed = answers.len() - served(&answers);
    expect_that!(failed, le(10 + answers.len() / 50), "{cut:?}");
    for server in &cut_site.site.servers {
        let mut ids: Vec<String> = server.arrival_log().into_iter().map(|it| it.id).collect();
        let arrivals = ids.len();
        ids.sort();
        ids.dedup();
        expect_that!(ids.len(), eq(arrivals), "{cut:?}: requests arrive once");
    }
}

#[googletest::test]
fn callers_of_a_vm_whose_connections_to_servers_are_refused_are_served_through_others() {
    block_on(expect_served_through_others(Cut::Refused));
}

#[googletest::test]
fn callers_of_a_vm_whose_connections_to_servers_are_reset_are_served_through_others() {
    block_on(expect_served_through_others(Cut::Reset));
}

#[googletest::test]
fn callers_of_a_vm_whose_connections_to_servers_hang_are_served_through_others() {
    block_on(expect_served_through_others(Cut::Silent));
}

#[googletest::test]
fn a_stream_through_another_vm_is_passed_on_event_by_event() {
    block_on(async {
        let mut cut_site = CutSite::start().await;
        cut_site.cut(Cut::Silent).await;
        cut_site.send(CUT_VM, STABLE_WINDOW).await;
        let request = CallerRequest::model("/s/x", "m0");
        let answer = Caller::default()
            .request(cut_site.site.front(CUT_VM), &request)
            .await;
        expect_that!(answer.body, eq(&events_text(1, EVENTS)));
        expect_that!(answer.chunk_times.len(), eq(EVENTS as usize));
    });
}

#[googletest::test]
fn a_vm_that_reaches_servers_again_serves_its_callers_itself() {
    block_on(async {
        let mut cut_site = CutSite::start().await;
        cut_site.cut(Cut::Reset).await;
        cut_site.send(CUT_VM, Duration::from_secs(2)).await;
        cut_site.heal().await;
        let healed_at = Instant::now();
        cut_site
            .site
            .wait("requests arrive over the paths again", async || {
                cut_site.send(CUT_VM, Duration::from_millis(100)).await;
                cut_site.paths.iter().any(|path| path.accepted() > 1)
            })
            .await;
        expect_that!(healed_at.elapsed(), lt(STABLE_WINDOW));
        let answers = cut_site.send(CUT_VM, Duration::from_secs(2)).await;
        expect_that!(served(&answers), eq(answers.len()));
    });
}

#[googletest::test]
fn orders_go_on_although_the_leader_reaches_no_runner() {
    block_on(async {
        let mut cut_site = CutSite::start_with_cut_vms([0]).await;
        cut_site
            .site
            .wait("the first VM leads", async || {
                cut_site.site.metric(0, "is_leading").await == Some(1.0)
            })
            .await;
        cut_site.cut(Cut::Silent).await;
        let cut_at = Instant::now();
        cut_site
            .site
            .wait("another VM has m1 loaded", async || {
                let wanted = [0, 1].map(|vm| {
                    let request = CallerRequest::model("/s/x", "m1");
                    let address = cut_site.site.front(vm);
                    async move { Caller::default().request(address, &request).await }
                });
                futures_util::future::join_all(wanted).await;
                cut_site.site.servers.iter().any(|it| it.holds("m1", None))
            })
            .await;
        expect_that!(cut_at.elapsed(), lt(HANDOVER_LIMIT));
    });
}

#[googletest::test]
fn a_caller_that_leaves_a_vm_which_forwards_stops_the_server() {
    block_on(async {
        let mut cut_site = CutSite::start().await;
        cut_site.cut(Cut::Silent).await;
        cut_site.send(CUT_VM, STABLE_WINDOW).await;
        let site = &cut_site.site;
        for server in site.servers.iter().filter(|it| it.service == "llm") {
            server.script(|_| vec![ScriptStep::Wait(Duration::from_secs(10))]);
        }
        let mut request = CallerRequest::model("/s/x", "m0");
        request.disconnect_after = Some(Duration::from_millis(400));
        Caller::default()
            .request(site.front(CUT_VM), &request)
            .await;
        let left_at = Instant::now();
        site.wait("a server sees it", async || {
            let mut seen = site.servers.iter().flat_map(|it| it.seen());
            seen.any(|it| matches!(it, ServerEvent::Disconnected(id, _) if id == request.id))
        })
        .await;
        expect_that!(left_at.elapsed(), lt(LEFT_LIMIT));
    });
}

#[googletest::test]
fn an_unsafe_request_whose_other_vm_dies_is_not_called_not_run() {
    block_on(async {
        let mut cut_site = CutSite::start().await;
        cut_site.cut(Cut::Silent).await;
        cut_site.send(CUT_VM, STABLE_WINDOW).await;
        let site = &mut cut_site.site;
        for server in site.servers.iter().filter(|it| it.service == "books") {
            server.script(|_| vec![ScriptStep::Wait(Duration::from_secs(10))]);
        }
        let request = CallerRequest::post("/orders/new", "one");
        let address = site.front(CUT_VM);
        let id = request.id.clone();
        let sent =
            compio::runtime::spawn(
                async move { Caller::default().request(address, &request).await },
            );
        site.wait("a server runs it", async || {
            let mut runs = site.servers.iter().flat_map(|it| it.runs());
            runs.any(|run| run.header("x-attempt-id") == id)
        })
        .await;
        site.vms[0].kill();
        site.vms[1].kill();
        let answer = sent.await.expect("sending a request does not panic");
        expect_that!(answer.status, some(eq(502)));
        let runs = site.servers.iter().flat_map(|it| it.runs());
        let runs = runs.filter(|run| run.header("x-attempt-id") == id);
        expect_that!(runs.count(), eq(1));
    });
}

#[googletest::test]
fn requests_are_refused_at_once_if_no_vm_reaches_a_server() {
    block_on(async {
        let mut cut_site = CutSite::start_with_cut_vms([0, 1, 2]).await;
        cut_site.cut(Cut::Silent).await;
        for vm in 0..3 {
            cut_site.send(vm, Duration::from_millis(1_500)).await;
        }
        let answers = cut_site.send(CUT_VM, Duration::from_secs(1)).await;
        for answer in &answers {
            expect_that!(answer.status, some(eq(503)));
            expect_that!(answer.header("retry-after").parse::<f64>(), ok(gt(&0.0)));
            expect_that!(answer.duration, lt(REFUSAL_LIMIT));
        }
    });
}

#[googletest::test]
fn a_forwarded_request_is_traced_through_the_logs_of_both_vms() {
    block_on(async {
        let mut cut_site = CutSite::start().await;
        cut_site.cut(Cut::Reset).await;
        cut_site.send(CUT_VM, STABLE_WINDOW).await;
        let site = &cut_site.site;
        let request = CallerRequest::get("/books");
        Caller::default()
            .request(site.front(CUT_VM), &request)
            .await;
        let lines_of = |vm: usize, message: &str| {
            let log = site.log(vm).into_iter();
            let lines = log.filter(|line| line["message"] == message);
            lines
                .filter(|line| line["request"] == request.id.as_str())
                .count()
        };
        // Each VM writes its log at times of its own.
        site.wait("both VMs have logged the request", async || {
            let is_answered = (0..CUT_VM).any(|vm| lines_of(vm, "request answered") == 1);
            is_answered && lines_of(CUT_VM, "request forwarded") > 0
        })
        .await;
        expect_that!(lines_of(CUT_VM, "request forwarded"), eq(1));
        let logs = (0..3).map(|vm| site.log_path(vm));
        let output = Command::new(product_binary())
            .arg("trace")
            .arg(&request.id)
            .args(logs)
            .output()
            .expect("the program can be started");
        let text = String::from_utf8_lossy(&output.stdout);
        for message in ["request forwarded", "routed", "request answered"] {
            expect_that!(text.contains(message), eq(true), "{message}: {text}");
        }
    });
}

#[googletest::test]
fn a_stream_goes_on_through_a_third_vm_if_the_second_one_dies() {
    block_on(async {
        let mut cut_site = CutSite::start().await;
        cut_site.cut(Cut::Reset).await;
        cut_site.send(CUT_VM, STABLE_WINDOW).await;
        let site = &mut cut_site.site;
        for server in site.servers.iter().filter(|it| it.service == "llm") {
            server.script(|call| remaining_events(call, 20, 100));
        }
        let request = CallerRequest::model("/s/x", "m0");
        let (address, id) = (site.front(CUT_VM), request.id.clone());
        let sent =
            compio::runtime::spawn(
                async move { Caller::default().request(address, &request).await },
            );
        let is_forwarded =
            |line: &Value| line["message"] == "request forwarded" && line["request"] == id.as_str();
        site.wait("the request is forwarded", async || {
            site.log(CUT_VM).iter().any(is_forwarded)
        })
        .await;
        let line = site.log(CUT_VM).into_iter().find(is_forwarded);
        let vm = line.and_then(|line| line["vm"].as_str()?.parse::<SocketAddr>().ok());
        let vm = vm.expect("the line names the address of a VM");
        let second = (0..CUT_VM).find(|index| site.front(*index).port() + 3 == vm.port());
        compio::time::sleep(Duration::from_millis(500)).await;
        site.vms[second.expect("it is one of the others")].kill();
        let answer = sent.await.expect("sending a request does not panic");
        expect_that!(answer.body, eq(&events_text(1, 20)));
        expect_that!(answer.is_complete, eq(true));
    });
}

#[googletest::test]
fn a_forwarded_call_that_outlasts_the_grace_of_the_other_vm_is_answered() {
    block_on(async {
        let mut cut_site = CutSite::start().await;
        let mut orders = route("/orders/", "unsafe", "books");
        orders["timeout_ms"] = json!(20_000);
        let site = &mut cut_site.site;
        site.configure(json!([orders]), json!([plain("books")]));
        for server in &site.servers[..2] {
            server.script(|_| vec![ScriptStep::Wait(Duration::from_secs(20))]);
        }
        cut_site.cut(Cut::Refused).await;
        compio::time::sleep(STABLE_WINDOW).await;
        let mut order = CallerRequest::post("/orders/1", "it");
        order.deadline_ms = 20_000;
        let site = &cut_site.site;
        let stop = async {
            compio::time::sleep(Duration::from_millis(500)).await;
            for vm in [0, 1] {
                site.vms[vm].signal(nix::sys::signal::Signal::SIGTERM);
            }
        };
        let caller = Caller::default();
        let asked = caller.request(site.front(CUT_VM), &order);
        let (answer, ()) = futures_util::join!(asked, stop);
        let runs = site.servers.iter().flat_map(|server| server.runs());
        let runs = runs.filter(|run| run.header("x-attempt-id") == order.id);
        expect_that!(runs.count(), eq(1));
        expect_that!(answer.status, some(eq(502)), "{answer:?}");
        expect_that!(answer.is_complete, eq(true), "{answer:?}");
        expect_that!(answer.duration, lt(Duration::from_secs(7)), "{answer:?}");
        let forwarded = site.log(CUT_VM);
        let is_forwarded = |line: &Value| {
            line["message"] == "request forwarded" && line["request"] == order.id.as_str()
        };
        expect_that!(forwarded.iter().any(is_forwarded), eq(true));
    });
}

/// Guards against an answer without a status that reaches the caller by way of another VM.
#[googletest::test]
fn an_answer_without_a_status_to_another_vm_is_a_failure() {
    block_on(async {
        let mut cut_site = CutSite::start().await;
        cut_site.cut(Cut::Refused).await;
        cut_site.send(CUT_VM, STABLE_WINDOW).await;
        let site = &cut_site.site;
        for server in &site.servers {
            server.script(|call| {
                let id = call.header("x-attempt-id");
                let text = format!(
                    "HTTP/1.1 000 Trouble\r\nX-Attempt-Id: {id}\r\n\
                     X-Server-Signature: sig-{id}\r\nContent-Length: 4\r\n\r\nbody"
                );
                vec![ScriptStep::Write(text.into_bytes()), ScriptStep::Close]
            });
        }
        let arrivals = || site.servers.iter().map(|it| it.runs().len()).sum::<usize>();
        let before = arrivals();
        for request in [
            CallerRequest::post("/orders/1", "it"),
            CallerRequest::get("/books"),
            CallerRequest::model("/s/x", "m0"),
        ] {
            let path = request.path.clone();
            let answer = Caller::default()
                .request(site.front(CUT_VM), &request)
                .await;
            let is_failure = answer.status.is_some_and(|status| status >= 500);
            expect_that!(is_failure, eq(true), "{path} {answer:?}");
            expect_that!(answer.header("x-server-signature"), eq(""), "{path}");
        }
        expect_that!(arrivals() - before, ge(3));
    });
}
