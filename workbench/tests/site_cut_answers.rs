//! On the platform: servers that close their connection after each number of bytes of an answer.

use futures_util::StreamExt;
use googletest::prelude::*;
use serde_json::json;
use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;
use workbench::cluster::block_on;
use workbench::proxy::Proxy;
use workbench::site::events::events_text;
use workbench::site::{
    Answer, Caller, CallerRequest, ReceivedRequest, ScriptStep, Site, plain, route, runner_service,
};

/// The body of a whole plain answer.
const PLAIN_BODY: &str = "all of it";
/// The number of events of a whole stream.
const EVENTS: u64 = 4;
/// The number of requests in flight.
const CONCURRENCY: usize = 12;
/// More retries than there are requests.
const RETRIES: u32 = 10_000;
/// How often a client comes back that was refused, and the time until then.
const RETURNS: u32 = 2;
const RETURN_DELAY: Duration = Duration::from_secs(1);
/// The VM that reaches no server, where there is one.
const CUT_VM: usize = 2;
const FRAMINGS: [Framing; 3] = [Framing::Length, Framing::Chunks, Framing::Close];

/// What ends the body of an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Framing {
    Length,
    Chunks,
    Close,
}

impl Framing {
    fn head(self, id: &str, body: &str) -> String {
        let length = body.len();
        let framing = match self {
            Self::Length => format!("Content-Length: {length}\r\n"),
            Self::Chunks => "Transfer-Encoding: chunked\r\n".to_owned(),
            Self::Close => String::new(),
        };
        format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Signature: sig\r\n\
             X-Weight-Versions: 1\r\n{framing}\r\n"
        )
    }

    /// A whole answer; chunked ones have a chunk for each event.
    fn answer(self, id: &str, body: &str) -> String {
        let mut answer = self.head(id, body);
        if self != Self::Chunks {
            return answer + body;
        }
        for piece in body.split_inclusive("\n\n") {
            answer += &format!("{:x}\r\n{piece}\r\n", piece.len());
        }
        answer + "0\r\n\r\n"
    }
}

/// An answer that is cut, as the path of its request names it.
#[derive(Clone, Copy, Debug)]
struct Cut {
    route: &'static str,
    framing: Framing,
    /// The number of bytes that are sent.
    bytes: usize,
}

impl Cut {
    /// All cuts of the answers on some routes.
    fn all(routes: &[&'static str]) -> Vec<Self> {
        let mut cuts = Vec::new();
        for (route, framing) in routes
            .iter()
            .flat_map(|route| FRAMINGS.map(|framing| (*route, framing)))
        {
            let id = CallerRequest::get("/").id;
            let length = framing.answer(&id, &whole_body(route)).len();
            cuts.extend((0..length).map(|bytes| Self {
                route,
                framing,
                bytes,
            }));
        }
        cuts
    }

    fn request(self) -> CallerRequest {
        let Self {
            route,
            framing,
            bytes,
        } = self;
        let path = format!("{route}{framing:?}/{bytes}");
        match is_stream(route) {
            true => CallerRequest::model(&path, "m0"),
            false => CallerRequest::post(&path, "it"),
        }
    }

    /// What a server sends of the answer that ends after the event that the request names.
    fn steps(request: &ReceivedRequest, is_whole: bool) -> Vec<ScriptStep> {
        let mut path = request.path.rsplitn(3, '/');
        let bytes: usize = path.next().and_then(|it| it.parse().ok()).expect("bytes");
        let framing = path.next().expect("a framing");
        let framing = FRAMINGS.into_iter().find(|it| format!("{it:?}") == framing);
        let framing = framing.expect("it is one of the three");
        let last: u64 = request.header("last-event-id").parse().unwrap_or(0);
        let body = match is_stream(&request.path) {
            true => events_text(last + 1, EVENTS - last),
            false => PLAIN_BODY.to_owned(),
        };
        let mut answer = framing.answer(request.header("x-attempt-id"), &body);
        if !is_whole {
            answer.truncate(bytes);
        }
        let mut steps = vec![ScriptStep::Write(answer.into_bytes())];
        // A connection that closes behind a whole answer may be in use again by then, which would take
        // one of the attempts.
        if !is_whole || framing == Framing::Close {
            steps.push(ScriptStep::Close);
        }
        steps
    }

    /// Whether nothing shows that the answer was cut: its connection ends it, at the end of an event.
    fn is_hidden(self, id: &str) -> bool {
        let head = self.framing.head(id, "").len();
        let body = whole_body(self.route);
        self.framing == Framing::Close
            && self.bytes > head
            && (!is_stream(self.route) || body[..self.bytes - head].ends_with("\n\n"))
    }
}

fn is_stream(path: &str) -> bool {
    path.starts_with("/s/") || path.starts_with("/once/")
}

fn whole_body(route: &str) -> String {
    match is_stream(route) {
        true => events_text(1, EVENTS),
        false => PLAIN_BODY.to_owned(),
    }
}

/// Two plain servers and two runners that hold `m0`, without a VM.
async fn site_without_vms() -> Site {
    let servers = vec![
        ("books", vec![]),
        ("books", vec![]),
        ("llm", vec![("m0", vec![])]),
        ("llm", vec![("m0", vec![])]),
    ];
    let mut site = Site::start(servers).await;
    site.retry_slack = RETRIES;
    let mut once = route("/once/", "streaming", "llm");
    once["resumable"] = json!(false);
    site.configure(
        json!([
            route("/", "safe", "books"),
            route("/orders/", "unsafe", "books"),
            route("/s/", "streaming", "llm"),
            once,
        ]),
        json!([plain("books"), runner_service("llm", &[("m0", 0)])]),
    );
    site
}

async fn site() -> Site {
    let mut site = site_without_vms().await;
    site.start_vms(1);
    site.wait_ready().await;
    site
}

/// A site whose last VM reaches no server and forwards.
async fn forwarding_site() -> Site {
    let mut site = site_without_vms().await;
    site.vms_with_paths.insert(CUT_VM);
    let mut paths = Vec::new();
    for (index, server) in site.servers.iter().enumerate() {
        paths.push(Proxy::start(site.path_address(index), server.address()).await);
    }
    site.start_vms(CUT_VM + 1);
    site.wait_ready().await;
    for path in paths {
        path.close();
        path.cut();
    }
    let sent_to = &site;
    site.wait("the VM forwards", async || {
        let request = CallerRequest::get("/x");
        Caller::default()
            .request(sent_to.front(CUT_VM), &request)
            .await;
        sent_to.metric(CUT_VM, "is_cut_off").await == Some(1.0)
    })
    .await;
    site
}

/// Lets each server cut its answers; those to requests that were cut before are whole if `is_once`.
fn cut_answers(site: &Site, is_once: bool) {
    let cut: Rc<RefCell<HashSet<String>>> = Rc::default();
    for server in &site.servers {
        let cut = cut.clone();
        server.script(move |call| {
            let id = call.header("x-attempt-id").to_owned();
            let is_first = cut.borrow_mut().insert(id);
            Cut::steps(call, is_once && !is_first)
        });
    }
}

fn runs_of(site: &Site, id: &str) -> usize {
    let runs = site.servers.iter().flat_map(|server| server.runs());
    runs.filter(|run| run.header("x-attempt-id") == id).count()
}

/// Sends a request for each of the cuts through a VM.
async fn send_all(site: &Site, vm: usize, cuts: Vec<Cut>) -> Vec<(Cut, CallerRequest, Answer)> {
    let caller = &Caller::default();
    let sent = cuts.into_iter().map(|cut| async move {
        let request = cut.request();
        let answer = caller.request(site.front(vm), &request).await;
        (cut, request, answer)
    });
    let sent = futures_util::stream::iter(sent).buffer_unordered(CONCURRENCY);
    sent.collect().await
}

fn is_whole(answer: &Answer, body: &str) -> bool {
    answer.status == Some(200) && answer.is_complete && answer.body == body
}

/// Checks that no cut answer looks whole, and that no request that ran is said not to have run.
async fn expect_cuts_seen(site: &Site, vm: usize, routes: &[&'static str]) {
    cut_answers(site, false);
    for (cut, request, answer) in send_all(site, vm, Cut::all(routes)).await {
        // The rest of a stream may be shorter than the cut.
        let is_served = is_whole(&answer, &whole_body(cut.route));
        let looks_whole = answer.status == Some(200) && answer.is_complete;
        let is_right = !looks_whole || is_served || cut.is_hidden(&request.id);
        expect_that!(is_right, eq(true), "{cut:?} {answer:?}");
        let runs = runs_of(site, &request.id);
        expect_that!(runs, ge(1), "{cut:?} {answer:?}");
        expect_that!(answer.promises_not_run(), eq(false), "{cut:?} {answer:?}");
        if matches!(cut.route, "/orders/" | "/once/") {
            expect_that!(runs, eq(1), "{cut:?} {answer:?}");
        }
    }
}

/// Like [`send_all`], with clients that come back where the VM logged that it refused the connection
/// before it read the request, and no server got it.
async fn send_all_and_return(
    site: &Site,
    vm: usize,
    mut cuts: Vec<Cut>,
) -> Vec<(Cut, CallerRequest, Answer)> {
    let mut sent = Vec::new();
    for returns_left in (0..=RETURNS).rev() {
        let answers = send_all(site, vm, std::mem::take(&mut cuts)).await;
        let log = site.log(vm);
        for (cut, request, answer) in answers {
            let was_unread = log
                .iter()
                .any(|line| line["request"] == request.id && line["failure"] == "Overloaded");
            let comes_back = was_unread && runs_of(site, &request.id) == 0;
            if comes_back && returns_left > 0 {
                cuts.push(cut);
            } else {
                sent.push((cut, request, answer));
            }
        }
        if cuts.is_empty() {
            break;
        }
        println!("{} requests were refused unread and return", cuts.len());
        compio::time::sleep(RETURN_DELAY).await;
    }
    sent
}

/// Checks that the other server answers whole what the first one cut.
async fn expect_answered_by_other(site: &Site, vm: usize, routes: &[&'static str]) {
    cut_answers(site, true);
    for (cut, request, answer) in send_all_and_return(site, vm, Cut::all(routes)).await {
        let is_hidden = cut.is_hidden(&request.id);
        let is_served = is_whole(&answer, &whole_body(cut.route));
        if !is_served && !is_hidden {
            print_log(site, &request.id);
        }
        expect_that!(is_served || is_hidden, eq(true), "{cut:?} {answer:?}");
    }
}

/// Prints what all VMs logged of a request, and what they logged that concerns none.
fn print_log(site: &Site, request: &str) {
    for vm in 0..site.vms.len() {
        for line in site.log(vm) {
            let named = &line["request"];
            if named.is_null() || named == request {
                println!("vm-{vm} {line}");
            }
        }
    }
}

#[googletest::test]
fn a_plain_answer_that_is_cut_at_any_byte_does_not_look_whole() {
    block_on(async {
        let site = site().await;
        expect_cuts_seen(&site, 0, &["/x/", "/orders/"]).await;
    });
}

#[googletest::test]
fn a_stream_that_is_cut_at_any_byte_does_not_look_whole() {
    block_on(async {
        let site = site().await;
        expect_cuts_seen(&site, 0, &["/s/", "/once/"]).await;
    });
}

#[googletest::test]
fn an_idempotent_request_whose_answer_is_cut_at_any_byte_is_answered_whole() {
    block_on(async {
        let site = site().await;
        expect_answered_by_other(&site, 0, &["/x/", "/s/"]).await;
    });
}

#[googletest::test]
fn answers_that_are_cut_at_any_byte_do_not_look_whole_through_a_vm_that_forwards() {
    block_on(async {
        let site = forwarding_site().await;
        expect_cuts_seen(&site, CUT_VM, &["/orders/", "/once/"]).await;
        expect_answered_by_other(&site, CUT_VM, &["/x/", "/s/"]).await;
        expect_that!(site.metric(CUT_VM, "is_cut_off").await, some(eq(1.0)));
    });
}

/// Lets each server send two events of a stream and break off, and close behind the head when a
/// stream is to go on there.
fn break_streams(site: &Site) {
    for server in &site.servers {
        server.script(|call| {
            let id = call.header("x-attempt-id");
            let sent = match call.header("last-event-id") {
                "" => {
                    let whole = Framing::Chunks.answer(id, &events_text(1, 2));
                    whole.trim_end_matches("0\r\n\r\n").to_owned()
                }
                _ => Framing::Close.head(id, ""),
            };
            vec![ScriptStep::Write(sent.into_bytes()), ScriptStep::Close]
        });
    }
}

#[googletest::test]
fn a_stream_does_not_end_where_the_server_that_goes_on_closes_behind_the_head() {
    block_on(async {
        let site = site().await;
        break_streams(&site);
        let request = CallerRequest::model("/s/x", "m0");
        let answer = Caller::default().request(site.front(0), &request).await;
        expect_that!(answer.body.as_str(), eq(events_text(1, 2).as_str()));
        expect_that!(answer.is_complete, eq(false), "{answer:?}");
    });
}

#[googletest::test]
fn a_stream_that_is_taken_up_does_not_end_where_its_server_closes_behind_the_head() {
    block_on(async {
        let site = site().await;
        break_streams(&site);
        let begun = CallerRequest::model("/s/x", "m0");
        Caller::default().request(site.front(0), &begun).await;
        let request = CallerRequest::model("/s/x", "m0")
            .with("Resumes", &begun.id)
            .with("Last-Event-Id", "2");
        let answer = Caller::default().request(site.front(0), &request).await;
        let looks_whole = answer.status == Some(200) && answer.is_complete;
        expect_that!(looks_whole, eq(false), "{answer:?}");
        expect_that!(runs_of(&site, &request.id), ge(1), "{answer:?}");
    });
}
