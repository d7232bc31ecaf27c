//! On the platform: servers that send bytes without end, in heads and in bodies.

use compio::io::AsyncWriteExt;
use compio::net::TcpStream;
use futures_util::future::{join, join_all};
use googletest::prelude::*;
use serde_json::json;
use std::time::Duration;
use workbench::cluster::block_on;
use workbench::site::events::{events, events_text, remaining_events};
use workbench::site::{
    Answer, Caller, CallerRequest, HOST, ReceivedRequest, ScriptStep, Site, plain, route,
    runner_service, send_steadily, signed_answer,
};
use workbench::usage::of_process;

/// The time between two writes of a slow server.
const SLOWLY: Duration = Duration::from_millis(100);
/// The time that callers give their requests, and a delay of the refusal.
const CALLER_TIMEOUT: Duration = Duration::from_millis(4_000 + 500);
/// The most memory that a VM of 160 MB may take while servers send without end.
const MAX_RSS_KIB: u64 = 128 * 1024;
/// The number of events of a whole stream.
const EVENTS: u64 = 12;

/// A part of an answer that a server begins and never ends.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Endless {
    HeaderValue,
    HeaderLines,
    InterimHeads,
    ChunkSize,
    ChunkExtension,
    Trailers,
    Chunks,
    UnframedBody,
    FramedBody,
}

const IN_HEAD: [Endless; 3] = [
    Endless::HeaderValue,
    Endless::HeaderLines,
    Endless::InterimHeads,
];
const IN_BODY: [Endless; 6] = [
    Endless::ChunkSize,
    Endless::ChunkExtension,
    Endless::Trailers,
    Endless::Chunks,
    Endless::UnframedBody,
    Endless::FramedBody,
];

impl Endless {
    /// What the server sends first after a signed head's first lines, and what it repeats.
    fn parts(self) -> (&'static str, &'static str) {
        match self {
            Self::HeaderValue => ("X-Long: ", "long"),
            Self::HeaderLines => ("", "X-Line: a line\r\n"),
            Self::InterimHeads => ("", "HTTP/1.1 102 Processing\r\n\r\n"),
            Self::ChunkSize => ("Transfer-Encoding: chunked\r\n\r\n", "0"),
            Self::ChunkExtension => ("Transfer-Encoding: chunked\r\n\r\n4;", "long"),
            Self::Trailers => (
                "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n",
                "X-Line: a line\r\n",
            ),
            Self::Chunks => ("Transfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n"),
            Self::UnframedBody => ("\r\n", "body"),
            Self::FramedBody => ("Content-Length: 1000000000000\r\n\r\n", "body"),
        }
    }

    fn answer(self, call: &ReceivedRequest, status: u16, pause: Duration) -> Vec<ScriptStep> {
        let id = call.header("x-attempt-id");
        let (begin, repeated) = self.parts();
        let head = match self {
            Self::InterimHeads => String::new(),
            _ => format!(
                "HTTP/1.1 {status} Answer\r\nX-Attempt-Id: {id}\r\n\
                 X-Server-Signature: sig-{id}\r\nX-Weight-Versions: 1\r\n{begin}"
            ),
        };
        vec![
            ScriptStep::Write(head.into_bytes()),
            ScriptStep::Repeat {
                bytes: repeated.as_bytes().to_vec(),
                pause,
            },
        ]
    }
}

/// Two plain servers and two runners that hold `m0`, behind one VM.
async fn site() -> Site {
    let servers = vec![
        ("books", vec![]),
        ("books", vec![]),
        ("llm", vec![("m0", vec![])]),
        ("llm", vec![("m0", vec![])]),
    ];
    let mut site = Site::start(servers).await;
    site.configure(
        json!([
            route("/", "safe", "books"),
            route("/orders/", "unsafe", "books"),
            route("/s/", "streaming", "llm"),
        ]),
        json!([plain("books"), runner_service("llm", &[("m0", 0)])]),
    );
    site.start_vms(1);
    site.wait_ready().await;
    site
}

fn runs_of(site: &Site, id: &str) -> usize {
    let runs = site.servers.iter().flat_map(|server| server.runs());
    runs.filter(|run| run.header("x-attempt-id") == id).count()
}

fn peak_rss_kib(site: &Site) -> u64 {
    of_process(site.vms[0].id()).peak_rss_kib
}

fn brief(answer: &Answer) -> String {
    format!(
        "status {:?}, whole {}, {} bytes, {} ms",
        answer.status,
        answer.is_complete,
        answer.body.len(),
        answer.duration.as_millis()
    )
}

/// Sends one request while all servers answer with the same endless part.
async fn ask_endless(
    endless: Endless,
    status: u16,
    pause: Duration,
    request: &CallerRequest,
) -> (Site, Answer) {
    let site = site().await;
    for server in &site.servers {
        server.script(move |call| endless.answer(call, status, pause));
    }
    let answer = Caller::default().request(site.front(0), request).await;
    println!(
        "{endless:?} {status} {pause:?} {}: {}, peak {} KiB",
        request.path,
        brief(&answer),
        peak_rss_kib(&site)
    );
    (site, answer)
}

/// Checks that an unsafe call ends in a refusal that leaves open whether it ran.
fn expect_unsafe_call_ends(endless: &[Endless], pause: Duration, limit: Duration) {
    block_on(async {
        let asked = endless.iter().map(async |&endless| {
            let order = CallerRequest::post("/orders/1", "it");
            let (site, answer) = ask_endless(endless, 200, pause, &order).await;
            let brief = format!("{endless:?} {}", brief(&answer));
            expect_that!(answer.status, some(any![eq(502), eq(504)]), "{brief}");
            expect_that!(answer.is_complete, eq(true), "{brief}");
            expect_that!(answer.duration, lt(limit), "{brief}");
            expect_that!(runs_of(&site, &order.id), eq(1), "{brief}");
            expect_that!(peak_rss_kib(&site), lt(MAX_RSS_KIB), "{brief}");
        });
        join_all(asked).await;
    });
}

#[googletest::test]
fn an_unsafe_call_whose_head_never_ends_is_refused_at_once() {
    expect_unsafe_call_ends(&IN_HEAD, Duration::ZERO, Duration::from_secs(2));
}

#[googletest::test]
fn an_unsafe_call_whose_body_never_ends_is_refused() {
    expect_unsafe_call_ends(&IN_BODY, Duration::ZERO, CALLER_TIMEOUT);
}

#[googletest::test]
fn an_unsafe_call_whose_answer_trickles_without_end_is_refused_in_time() {
    let all = [IN_HEAD.as_slice(), IN_BODY.as_slice()].concat();
    expect_unsafe_call_ends(&all, SLOWLY, CALLER_TIMEOUT);
}

/// Checks that a request is answered whole by the other server of its service.
async fn expect_answered_elsewhere(endless: Endless, pause: Duration) {
    let site = site().await;
    for bad in [0, 2] {
        site.servers[bad].script(move |call| endless.answer(call, 200, pause));
    }
    site.servers[3].script(|call| remaining_events(call, EVENTS, 0));
    for _ in 0..4 {
        for request in [CallerRequest::get("/x"), CallerRequest::model("/s/x", "m0")] {
            // Endless chunks of a stream are an event that never ends, all others a faulty body.
            let answer = Caller::default().request(site.front(0), &request).await;
            let what = format!("{endless:?} {pause:?} {} {}", request.path, brief(&answer));
            println!("{what}");
            expect_that!(answer.status, some(eq(200)), "{what}");
            expect_that!(answer.is_complete, eq(true), "{what}");
        }
    }
    expect_that!(peak_rss_kib(&site), lt(MAX_RSS_KIB), "{endless:?}");
}

#[googletest::test]
fn a_head_without_end_is_left_for_another_server() {
    block_on(async {
        for endless in IN_HEAD {
            expect_answered_elsewhere(endless, Duration::ZERO).await;
            expect_answered_elsewhere(endless, SLOWLY).await;
        }
    });
}

#[googletest::test]
fn a_body_without_end_is_left_for_another_server() {
    block_on(async {
        for endless in [
            Endless::ChunkExtension,
            Endless::Chunks,
            Endless::UnframedBody,
            Endless::FramedBody,
        ] {
            expect_answered_elsewhere(endless, Duration::ZERO).await;
        }
    });
}

/// An event that never ends, after the given number of whole ones.
fn endless_event(call: &ReceivedRequest, whole: u64, pause: Duration) -> Vec<ScriptStep> {
    let mut steps = events(call, 1, whole, 0);
    steps.push(ScriptStep::Repeat {
        bytes: b"6\r\ndata: \r\n".to_vec(),
        pause,
    });
    steps
}

#[googletest::test]
fn a_stream_whose_event_never_ends_goes_on_at_another_server() {
    block_on(async {
        for (whole, pause) in [
            (0, Duration::ZERO),
            (0, SLOWLY),
            (3, Duration::ZERO),
            (3, SLOWLY),
        ] {
            let site = site().await;
            site.servers[2].script(move |call| endless_event(call, whole, pause));
            site.servers[3].script(|call| remaining_events(call, EVENTS, 0));
            for _ in 0..4 {
                let request = CallerRequest::model("/s/x", "m0");
                let answer = Caller::default().request(site.front(0), &request).await;
                let what = format!("{whole} {pause:?} {}", brief(&answer));
                println!("{what}");
                expect_that!(answer.body, eq(&events_text(1, EVENTS)), "{what}");
                expect_that!(answer.is_complete, eq(true), "{what}");
                expect_that!(answer.duration, lt(Duration::from_secs(3)), "{what}");
            }
        }
    });
}

#[googletest::test]
fn a_stream_whose_events_never_end_at_any_server_is_refused_in_time() {
    block_on(async {
        for pause in [Duration::ZERO, SLOWLY] {
            let site = site().await;
            for server in &site.servers {
                server.script(move |call| endless_event(call, 0, pause));
            }
            let request = CallerRequest::model("/s/x", "m0");
            let answer = Caller::default().request(site.front(0), &request).await;
            let what = format!("{pause:?} {}", brief(&answer));
            println!("{what}");
            expect_that!(answer.status, some(ge(500)), "{what}");
            expect_that!(answer.duration, lt(CALLER_TIMEOUT), "{what}");
            expect_that!(answer.promises_not_run(), eq(false), "{what}");
        }
    });
}

#[googletest::test]
fn a_failed_stream_whose_body_never_ends_is_refused_in_time() {
    block_on(async {
        let both = [Duration::ZERO, SLOWLY].into_iter();
        let asked = both.flat_map(|pause| IN_BODY.map(|endless| (endless, pause)));
        let asked = asked.map(async |(endless, pause)| {
            let request = CallerRequest::model("/s/x", "m0");
            let (site, answer) = ask_endless(endless, 500, pause, &request).await;
            let what = format!("{endless:?} {pause:?} {}", brief(&answer));
            expect_that!(answer.status, some(any![eq(502), eq(504)]), "{what}");
            expect_that!(answer.is_complete, eq(true), "{what}");
            expect_that!(answer.duration, lt(CALLER_TIMEOUT), "{what}");
            expect_that!(peak_rss_kib(&site), lt(MAX_RSS_KIB), "{what}");
        });
        join_all(asked).await;
    });
}

#[googletest::test]
fn a_failed_stream_that_stops_in_its_body_is_answered_by_another_server() {
    block_on(async {
        let site = site().await;
        site.servers[2].script(|call| {
            let mut steps = Endless::FramedBody.answer(call, 500, Duration::ZERO);
            steps[1] = ScriptStep::Wait(Duration::from_secs(30));
            steps
        });
        site.servers[3].script(|call| remaining_events(call, EVENTS, 0));
        for _ in 0..4 {
            let request = CallerRequest::model("/s/x", "m0");
            let answer = Caller::default().request(site.front(0), &request).await;
            println!("{}", brief(&answer));
            expect_that!(answer.status, some(eq(200)), "{}", brief(&answer));
            expect_that!(answer.is_complete, eq(true), "{}", brief(&answer));
        }
    });
}

#[googletest::test]
fn a_long_answer_comes_through_whole_however_slowly_it_is_sent_or_read() {
    block_on(async {
        let site = site().await;
        let body = "sound".repeat(1_600_000);
        for server in &site.servers[..2] {
            let body = body.clone();
            server.script(move |call| {
                let id = call.header("x-attempt-id");
                let head = format!(
                    "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Signature: s\r\n\r\n"
                );
                let mut steps = vec![ScriptStep::Write(head.into_bytes())];
                for part in body.as_bytes().chunks(1024 * 1024) {
                    steps.push(ScriptStep::Write(part.to_vec()));
                    steps.push(ScriptStep::Wait(SLOWLY));
                }
                steps.push(ScriptStep::Close);
                steps
            });
        }
        let answers = (0..4).map(async |_| {
            let request = CallerRequest::get("/x");
            Caller::default().request(site.front(0), &request).await
        });
        for answer in join_all(answers).await {
            expect_that!(answer.status, some(eq(200)), "{}", brief(&answer));
            expect_that!(answer.body == body, eq(true), "{}", brief(&answer));
        }
        println!("peak {} KiB", peak_rss_kib(&site));
    });
}

#[googletest::test]
fn a_vm_with_many_endless_answers_at_once_keeps_its_memory_and_serves_all_others() {
    block_on(async {
        let mut servers = vec![("books", vec![]); 2];
        servers.extend(vec![("faulty", vec![]); 4]);
        servers.extend(vec![("llm", vec![("m0", vec![])]); 4]);
        let mut site = Site::start(servers).await;
        site.configure(
            json!([
                route("/books/", "safe", "books"),
                route("/orders/", "unsafe", "faulty"),
                route("/s/", "streaming", "llm"),
            ]),
            json!([
                plain("books"),
                plain("faulty"),
                runner_service("llm", &[("m0", 0)])
            ]),
        );
        site.start_vms(1);
        site.wait_ready().await;
        let forms = [IN_HEAD.as_slice(), IN_BODY.as_slice()].concat();
        for server in &site.servers[2..6] {
            let forms = forms.clone();
            server.script(move |call| {
                let form: usize = call
                    .path
                    .trim_start_matches("/orders/")
                    .parse()
                    .unwrap_or(0);
                forms[form % forms.len()].answer(call, 200, Duration::ZERO)
            });
        }
        for server in &site.servers[6..] {
            server.script(|call| endless_event(call, 0, Duration::ZERO));
        }
        let faulty = (0..200).map(async |index| {
            let request = match index % 4 {
                0 => CallerRequest::model("/s/x", "m0"),
                _ => CallerRequest::post(&format!("/orders/{index}"), "it"),
            };
            Caller::default().request(site.front(0), &request).await
        });
        let sound = send_steadily(&site, &[0], 20.0, Duration::from_secs(4), || {
            CallerRequest::get("/books/1")
        });
        let (faulty, sound) = join(join_all(faulty), sound).await;
        let served = sound.iter().filter(|it| it.status == Some(200)).count();
        let slowest = sound.iter().map(|it| it.duration).max();
        let in_time = sound
            .iter()
            .filter(|it| it.duration < Duration::from_millis(250));
        println!(
            "served {served} of {}, {} in time, slowest {slowest:?}, peak {} KiB",
            sound.len(),
            in_time.count(),
            peak_rss_kib(&site)
        );
        for (index, answer) in sound.iter().enumerate() {
            if answer.status != Some(200) {
                println!("not served: request {index}, {}", brief(answer));
            }
        }
        let mut ends: Vec<_> = faulty.iter().map(|it| it.status).collect();
        ends.sort();
        ends.dedup();
        let closed_unread = site.metric(0, "closed_unread_total").await;
        println!("ends {ends:?}, closed unread {closed_unread:?}");
        expect_that!(served, eq(sound.len()));
        expect_that!(slowest, some(lt(Duration::from_secs(1))));
        expect_that!(peak_rss_kib(&site), lt(MAX_RSS_KIB));
        for answer in &faulty {
            expect_that!(answer.status, some(ge(500)), "{}", brief(answer));
        }
    });
}

#[googletest::test]
fn a_caller_whose_body_never_ends_keeps_no_other_caller_waiting() {
    block_on(async {
        let site = Site::start_plain(1, 1).await;
        for (repeated, head) in [
            ("0", "Transfer-Encoding: chunked\r\n\r\n"),
            ("4\r\nbody\r\n", "Transfer-Encoding: chunked\r\n\r\n"),
        ] {
            let mut stream = TcpStream::connect(site.front(0)).await.expect("it accepts");
            let head = format!(
                "POST /x HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: 00000000000000aa\r\n\
                 X-Deadline-Ms: 3000\r\n{head}"
            );
            let endless = async {
                let mut written = stream.write_all(head.into_bytes()).await.0;
                while written.is_ok() {
                    written = stream.write_all(repeated.repeat(8_192)).await.0;
                }
            };
            let sound = send_steadily(&site, &[0], 20.0, Duration::from_secs(2), || {
                CallerRequest::get("/books/1")
            });
            let endless = compio::time::timeout(Duration::from_secs(4), endless);
            let (_, sound) = join(endless, sound).await;
            let slowest = sound.iter().map(|it| it.duration).max();
            println!("{repeated:?} slowest {slowest:?}");
            expect_that!(slowest, some(lt(Duration::from_secs(1))), "{repeated:?}");
        }
    });
}

#[googletest::test]
fn bytes_without_end_behind_an_answer_are_not_kept() {
    block_on(async {
        let site = site().await;
        for server in &site.servers {
            server.script(|call| {
                let answer = signed_answer(call.header("x-attempt-id"), 200, "whole");
                vec![
                    ScriptStep::Write(answer),
                    ScriptStep::Repeat {
                        bytes: b"more".to_vec(),
                        pause: Duration::ZERO,
                    },
                ]
            });
        }
        let caller = Caller::default();
        for number in 0..20 {
            let order = CallerRequest::post("/orders/1", "it");
            let answer = caller.request(site.front(0), &order).await;
            expect_that!(answer.status, some(eq(200)), "{number} {}", brief(&answer));
            expect_that!(answer.body, eq("whole"), "{number}");
            expect_that!(runs_of(&site, &order.id), eq(1), "{number}");
            compio::time::sleep(SLOWLY).await;
        }
        expect_that!(peak_rss_kib(&site), lt(MAX_RSS_KIB));
    });
}
