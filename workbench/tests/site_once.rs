//! On the platform: at most once, promises that are true, answers that are the request's.

use googletest::prelude::*;
use serde_json::json;
use std::time::Duration;
use workbench::cluster::block_on;
use workbench::site::{
    Answer, Caller, CallerRequest, ReceivedRequest, ScriptStep, Site, StoreFaults, plain, route,
    signed_answer,
};

async fn site(servers: usize) -> Site {
    site_with(servers, StoreFaults::default()).await
}

/// A site with one VM that is ready, whose store has these faults.
async fn site_with(servers: usize, faults: StoreFaults) -> Site {
    let mut site = Site::start(vec![("books", vec![]); servers]).await;
    site.configure(
        json!([
            route("/", "safe", "books"),
            route("/orders/", "unsafe", "books")
        ]),
        json!([plain("books")]),
    );
    site.store.set(faults);
    site.start_vms(1);
    site.wait_ready().await;
    site
}

fn runs_of(site: &Site, id: &str) -> usize {
    let servers = site.servers.iter();
    servers
        .flat_map(|server| server.runs())
        .filter(|run| run.header("x-attempt-id") == id)
        .count()
}

async fn request(site: &Site, caller: &Caller, request: &CallerRequest) -> Answer {
    caller.request(site.front(0), request).await
}

/// The answer of a server whose places are taken.
const FULL: &str = "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

/// What a server does, in words and in acts.
type Spoilt = (&'static str, fn(&ReceivedRequest) -> Vec<ScriptStep>);

/// All that a server may answer which is not the whole answer to its request.
fn spoilt() -> Vec<Spoilt> {
    vec![
        ("closes without an answer", |_| vec![ScriptStep::Close]),
        ("closes within the head", |_| {
            vec![
                ScriptStep::Write(b"HTTP/1.1 200 OK\r\nX-Att".to_vec()),
                ScriptStep::Close,
            ]
        }),
        ("closes within the body", |call| {
            let mut answer =
                signed_answer(call.header("x-attempt-id"), 200, "a body that is cut off");
            answer.truncate(answer.len() - 5);
            vec![ScriptStep::Write(answer), ScriptStep::Close]
        }),
        ("sends what is no answer", |_| {
            vec![
                ScriptStep::Write(b"\x00\x01 what is this\r\n\r\n".to_vec()),
                ScriptStep::Close,
            ]
        }),
        ("answers another request", |_| {
            vec![ScriptStep::Write(signed_answer(
                "0123456789abcdef",
                200,
                "of another",
            ))]
        }),
        ("does not sign", |call| {
            let id = call.header("x-attempt-id");
            let answer =
                format!("HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nContent-Length: 2\r\n\r\nno");
            vec![ScriptStep::Write(answer.into_bytes())]
        }),
    ]
}

#[googletest::test]
fn an_unsafe_request_with_a_spoilt_answer_runs_once_and_nothing_is_promised() {
    block_on(async {
        let site = site(2).await;
        let caller = Caller::default();
        for (what, script) in spoilt() {
            for server in &site.servers {
                server.script(script);
            }
            let order = CallerRequest::post("/orders/1", what);
            let answer = request(&site, &caller, &order).await;
            expect_that!(runs_of(&site, &order.id), eq(1), "{what}");
            expect_that!(answer.promises_not_run(), eq(false), "{what}: {answer:?}");
            expect_that!(answer.status, some(ge(500)), "{what}: {answer:?}");
        }
    });
}

#[googletest::test]
fn a_safe_request_with_a_spoilt_answer_is_answered_by_another_server() {
    block_on(async {
        let site = site(2).await;
        let caller = Caller::default();
        for (what, script) in spoilt() {
            site.servers[0].script(script);
            let before = site.servers[0].runs().len();
            let ask_one = async || {
                let answer = request(&site, &caller, &CallerRequest::get("/x")).await;
                expect_that!(answer.status, some(eq(200)), "{what}: {answer:?}");
                expect_that!(answer.is_complete, eq(true), "{what}");
                expect_that!(answer.body, eq("i-1 says /x"), "{what}");
            };
            // A server that failed is passed over for a while.
            site.wait("the spoilt server is asked", async || {
                ask_one().await;
                site.servers[0].runs().len() > before
            })
            .await;
        }
    });
}

#[googletest::test]
fn an_extra_answer_goes_to_nobody() {
    block_on(async {
        let site = site(1).await;
        site.servers[0].script(|call| {
            let id = call.header("x-attempt-id");
            vec![
                ScriptStep::Write(signed_answer(id, 200, &format!("first of {id}"))),
                ScriptStep::Wait(Duration::from_millis(30)),
                ScriptStep::Write(signed_answer(id, 200, "second")),
            ]
        });
        let caller = Caller::default();
        for pause_ms in [0, 0, 10, 30, 50, 100, 0] {
            let order = CallerRequest::post("/orders/1", "one");
            let answer = request(&site, &caller, &order).await;
            expect_that!(runs_of(&site, &order.id), le(1));
            if answer.status == Some(200) {
                expect_that!(answer.body, eq(&format!("first of {}", order.id)));
            } else {
                expect_that!(answer.promises_not_run(), eq(false));
            }
            compio::time::sleep(Duration::from_millis(pause_ms)).await;
        }
    });
}

#[googletest::test]
fn an_answer_without_a_length_ends_with_its_connection() {
    block_on(async {
        let site = site(1).await;
        site.servers[0].script(|call| {
            let id = call.header("x-attempt-id");
            let answer = format!(
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Signature: s\r\n\r\nwhole"
            );
            vec![ScriptStep::Write(answer.into_bytes()), ScriptStep::Close]
        });
        let answer = request(
            &site,
            &Caller::default(),
            &CallerRequest::post("/orders/1", "one"),
        )
        .await;
        expect_that!(answer.status, some(eq(200)));
        expect_that!(answer.body, eq("whole"));
        expect_that!(answer.is_complete, eq(true));
    });
}

#[googletest::test]
fn a_refusal_by_one_server_is_made_good_by_another() {
    block_on(async {
        let site = site(2).await;
        site.servers[0].script(|_| vec![ScriptStep::Write(FULL.into())]);
        let caller = Caller::default();
        for _ in 0..6 {
            let order = CallerRequest::post("/orders/1", "one");
            let answer = request(&site, &caller, &order).await;
            expect_that!(answer.status, some(eq(200)));
            expect_that!(answer.body, starts_with("i-1"));
        }
    });
}

#[googletest::test]
fn a_vm_that_is_ready_without_being_a_member_makes_refusals_good() {
    block_on(async {
        let faults = StoreFaults {
            refuses_joins: true,
            ..StoreFaults::default()
        };
        let site = site_with(2, faults).await;
        site.servers[0].script(|_| vec![ScriptStep::Write(FULL.into())]);
        let caller = Caller::default();
        for _ in 0..6 {
            let answer = request(&site, &caller, &CallerRequest::post("/orders/1", "one")).await;
            expect_that!(answer.status, some(eq(200)), "{answer:?}");
        }
    });
}

#[googletest::test]
fn where_nobody_takes_it_the_promise_is_true_and_says_when_to_come_back() {
    block_on(async {
        let site = site(2).await;
        for server in &site.servers {
            server.script(|_| vec![ScriptStep::Write(FULL.into())]);
        }
        let answer = request(
            &site,
            &Caller::default(),
            &CallerRequest::post("/orders/1", "one"),
        )
        .await;
        expect_that!(answer.status, some(eq(503)));
        expect_that!(answer.header("retry-after").parse::<f64>(), ok(gt(&0.0)));
        expect_that!(answer.duration, lt(Duration::from_secs(3)));
    });
}

#[googletest::test]
fn a_server_at_a_reused_address_runs_nothing_meant_for_another() {
    block_on(async {
        let site = site(1).await;
        // The directory still names another run at this address.
        let mut entry = site.servers[0].entry("ready");
        entry["service"] = json!("books");
        site.remove(&site.servers[0]);
        site.store.put("keyed.servers", "i-gone", &entry);
        compio::time::sleep(Duration::from_millis(1_500)).await;
        let order = CallerRequest::post("/orders/1", "one");
        let answer = request(&site, &Caller::default(), &order).await;
        expect_that!(runs_of(&site, &order.id), eq(0));
        expect_that!(answer.promises_not_run(), eq(true), "{answer:?}");
    });
}

#[googletest::test]
fn servers_that_refuse_connections_cost_an_unsafe_request_nothing() {
    block_on(async {
        let site = site(2).await;
        site.servers[0].die();
        compio::time::sleep(Duration::from_millis(100)).await;
        let caller = Caller::default();
        for _ in 0..6 {
            let order = CallerRequest::post("/orders/1", "one");
            let answer = request(&site, &caller, &order).await;
            expect_that!(answer.status, some(eq(200)), "{answer:?}");
            expect_that!(runs_of(&site, &order.id), eq(1));
        }
    });
}

#[googletest::test]
fn retries_stay_within_the_budget() {
    block_on(async {
        let site = site(2).await;
        for server in &site.servers {
            server.script(|call| {
                let id = call.header("x-attempt-id");
                vec![ScriptStep::Write(signed_answer(id, 500, "broken inside"))]
            });
        }
        let caller = Caller::default();
        let count = 150;
        for _ in 0..count {
            request(&site, &caller, &CallerRequest::get("/x")).await;
        }
        let runs: usize = site.servers.iter().map(|it| it.runs().len()).sum();
        // A fifth of the requests and the slack of the settings, all of it this VM's.
        expect_that!(runs - count, le(count / 5 + 58));
        expect_that!(runs - count, gt(20));
    });
}
