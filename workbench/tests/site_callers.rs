//! On the platform: callers are known by their keys, which go no further than the VM.

use googletest::prelude::*;
use serde_json::{Value, json};
use workbench::cluster::block_on;
use workbench::site::{
    Answer, Caller, CallerRequest, ReceivedRequest, Site, organisation, plain, route,
};

/// The header with a caller's key.
const KEY: &str = "X-Credential";
/// The header that tells backend servers the organisation.
const ORGANISATION: &str = "x-tenant";

/// A site of one plain server, with a route that needs a key and one that needs none.
async fn keyed_site(organisations: Value) -> Site {
    let mut site = Site::start(vec![("books", vec![])]).await;
    configure(&mut site, organisations);
    site.start_vms(1);
    site.wait_ready().await;
    site
}

fn configure(site: &mut Site, organisations: Value) {
    site.organisations = Some(organisations);
    let mut open = route("/open/", "safe", "books");
    open["public"] = json!(true);
    site.configure(
        json!([
            route("/", "safe", "books"),
            route("/orders/", "unsafe", "books"),
            open,
        ]),
        json!([plain("books")]),
    );
}

fn two_organisations() -> Value {
    json!([
        organisation("north", &["key-of-north", "spare-of-north"]),
        organisation("south", &["key-of-south"]),
    ])
}

async fn request(site: &Site, request: CallerRequest) -> Answer {
    Caller::default().request(site.front(0), &request).await
}

/// The last request that the server ran.
fn last_run(site: &Site) -> ReceivedRequest {
    let runs = site.servers[0].runs();
    runs.last().cloned().expect("a request ran")
}

/// Waits until a key is answered so.
async fn wait_for_status(site: &Site, key: &'static str, status: u16) {
    site.wait(
        "the key is answered as the configuration says",
        async || {
            let answer = request(site, CallerRequest::get("/books").with(KEY, key)).await;
            answer.status == Some(status)
        },
    )
    .await;
}

#[googletest::test]
fn a_server_is_told_the_organisation_and_never_the_key() {
    block_on(async {
        let site = keyed_site(two_organisations()).await;
        for (key, name) in [
            ("key-of-north", "north"),
            ("spare-of-north", "north"),
            ("key-of-south", "south"),
        ] {
            let answer = request(
                &site,
                CallerRequest::post("/orders/1", "one").with(KEY, key),
            )
            .await;
            expect_that!(answer.status, some(eq(200)));
            let run = last_run(&site);
            expect_that!(run.header(ORGANISATION), eq(name));
            expect_that!(run.header("x-credential"), eq(""));
        }
    });
}

#[googletest::test]
fn a_request_without_a_known_key_is_refused_and_reaches_no_server() {
    block_on(async {
        let site = keyed_site(two_organisations()).await;
        let before = site.servers[0].runs().len();
        let asks = [
            CallerRequest::get("/books"),
            CallerRequest::get("/books").with(KEY, ""),
            CallerRequest::get("/books").with(KEY, "key-of-nobody"),
            CallerRequest::get("/books").with(KEY, "key-of-north and more"),
            CallerRequest::get("/books").with(KEY, "key-of-nort"),
            CallerRequest::get("/books")
                .with(KEY, "key-of-north")
                .with(KEY, "key-of-south"),
            CallerRequest::get("/books").with(KEY, "schl\u{fc}ssel"),
            CallerRequest::get("/books").with("X-Tenant", "north"),
        ];
        for asked in asks {
            let answer = request(&site, asked.clone()).await;
            expect_that!(answer.status, some(eq(401)), "{asked:?}");
        }
        expect_that!(site.servers[0].runs().len(), eq(before));
    });
}

#[googletest::test]
fn what_a_caller_says_of_its_organisation_is_dropped() {
    block_on(async {
        let site = keyed_site(two_organisations()).await;
        let keyed = || CallerRequest::get("/books").with(KEY, "key-of-north");
        let asks = [
            keyed().with("X-Tenant", "south"),
            keyed().with("x-tenant", "south").with("X-TENANT", "south"),
            keyed().with("Connection", "x-tenant, x-credential"),
            keyed().with("X-Tenant", ""),
            keyed().with("X-Tenant", "  "),
            keyed().with("X-Tenant", "s\u{fc}d"),
        ];
        for asked in asks {
            let answer = request(&site, asked.clone()).await;
            expect_that!(answer.status, some(eq(200)), "{asked:?}");
            let run = last_run(&site);
            expect_that!(run.header(ORGANISATION), eq("north"), "{asked:?}");
            expect_that!(run.header("x-credential"), eq(""), "{asked:?}");
        }
    });
}

#[googletest::test]
fn a_public_route_needs_no_key_and_passes_none_on() {
    block_on(async {
        let site = keyed_site(two_organisations()).await;
        let answer = request(
            &site,
            CallerRequest::get("/open/books").with("X-Tenant", "south"),
        )
        .await;
        expect_that!(answer.status, some(eq(200)));
        expect_that!(last_run(&site).header(ORGANISATION), eq(""));
        let unknown = CallerRequest::get("/open/books").with(KEY, "key-of-nobody");
        let answer = request(&site, unknown).await;
        expect_that!(answer.status, some(eq(200)));
        expect_that!(last_run(&site).header("x-credential"), eq(""));
    });
}

#[googletest::test]
fn a_key_follows_the_configuration() {
    block_on(async {
        let mut site = keyed_site(two_organisations()).await;
        wait_for_status(&site, "key-of-south", 200).await;
        // The last key of one organisation goes, one of another moves.
        configure(
            &mut site,
            json!([
                organisation("north", &["key-of-north"]),
                organisation("south", &["spare-of-north"]),
            ]),
        );
        wait_for_status(&site, "key-of-south", 401).await;
        let moved = CallerRequest::get("/books").with(KEY, "spare-of-north");
        expect_that!(request(&site, moved).await.status, some(eq(200)));
        expect_that!(last_run(&site).header(ORGANISATION), eq("south"));
        configure(&mut site, two_organisations());
        wait_for_status(&site, "key-of-south", 200).await;
    });
}

#[googletest::test]
fn a_key_that_two_organisations_list_is_nobodys_and_the_log_says_so() {
    block_on(async {
        let site = keyed_site(json!([
            organisation("north", &["key-of-north", "key-of-both"]),
            organisation("south", &["key-of-both"]),
        ]))
        .await;
        let both = request(&site, CallerRequest::get("/books").with(KEY, "key-of-both")).await;
        expect_that!(both.status, some(eq(401)));
        let own = request(
            &site,
            CallerRequest::get("/books").with(KEY, "key-of-north"),
        )
        .await;
        expect_that!(own.status, some(eq(200)));
        site.wait("the log names who lists the key", async || {
            let lines = site.log(0).into_iter().map(|line| line.to_string());
            let mut lines = lines.filter(|line| line.contains("key listed twice"));
            lines.any(|line| line.contains("north,south") && !line.contains("key-of-both"))
        })
        .await;
    });
}

#[googletest::test]
fn no_log_line_and_no_metric_holds_a_key() {
    block_on(async {
        let site = keyed_site(two_organisations()).await;
        let known = CallerRequest::get("/books").with(KEY, "key-of-north");
        expect_that!(request(&site, known).await.status, some(eq(200)));
        let unknown = CallerRequest::get("/books").with(KEY, "key-of-nobody");
        expect_that!(request(&site, unknown).await.status, some(eq(401)));
        let text = site.log(0).into_iter().map(|line| line.to_string());
        let text: String = text.collect();
        expect_that!(text.contains("key-of"), eq(false));
        let caller = Caller::default();
        let metrics = caller
            .request(site.ready(0), &CallerRequest::get("/metrics"))
            .await;
        expect_that!(metrics.body.contains("key-of"), eq(false));
    });
}

#[googletest::test]
fn a_withdrawn_key_leaves_an_open_connection_without_service() {
    block_on(async {
        let mut site = keyed_site(two_organisations()).await;
        let caller = Caller::default();
        let keyed = || CallerRequest::get("/books").with(KEY, "key-of-south");
        let first = caller.request(site.front(0), &keyed()).await;
        expect_that!(first.status, some(eq(200)));
        configure(&mut site, json!([organisation("north", &["key-of-north"])]));
        wait_for_status(&site, "key-of-south", 401).await;
        let second = caller.request(site.front(0), &keyed()).await;
        expect_that!(second.status, some(eq(401)));
    });
}

#[googletest::test]
fn the_organisations_priority_goes_before_the_routes() {
    block_on(async {
        let mut urgent = organisation("north", &["key-of-north"]);
        urgent["priority"] = json!(0);
        let mut plain = organisation("south", &["key-of-south"]);
        plain
            .as_object_mut()
            .expect("it is an object")
            .remove("priority");
        let site = keyed_site(json!([urgent, plain])).await;
        for (key, priority) in [("key-of-north", "0"), ("key-of-south", "1")] {
            request(&site, CallerRequest::get("/books").with(KEY, key)).await;
            expect_that!(last_run(&site).header("x-request-priority"), eq(priority));
        }
    });
}

/// VMs that share one organisation's quota.
const QUOTA_VMS: usize = 6;
/// Tokens that a request counts as.
const REQUEST_TOKENS: usize = 980;
/// Tokens a second and at once.
const QUOTA: usize = 2_000;
/// What may be granted in a window of 8 s: the quota and a tenth beyond it.
const ALLOWED: usize = (QUOTA * 8 + QUOTA) * 11 / 10;

#[googletest::test]
fn all_vms_together_keep_to_the_quota_of_an_organisation() {
    block_on(async {
        let mut site = Site::start(vec![("books", vec![])]).await;
        let mut north = organisation("north", &["key-of-north"]);
        north["unit"] = json!("token_stream");
        north["rate_per_s"] = json!(QUOTA);
        north["burst"] = json!(QUOTA);
        configure(
            &mut site,
            json!([north, organisation("south", &["key-of-south"])]),
        );
        site.start_vms(QUOTA_VMS);
        site.wait_ready().await;
        site.wait("all VMs know each other", async || {
            for vm in 0..QUOTA_VMS {
                if site.metric(vm, "vms").await != Some(QUOTA_VMS as f64) {
                    return false;
                }
            }
            true
        })
        .await;
        let of_north = |site: &Site| {
            let runs = site.servers[0].runs();
            let of_north = runs.iter().filter(|run| run.path.starts_with("/orders/"));
            of_north.count() * REQUEST_TOKENS
        };
        // VMs that have just started grant little, since they remember no grants.
        site.wait("a request of the organisation is granted", async || {
            let asked = CallerRequest::post("/orders/first", "one")
                .with("X-Token-Usage", "700,280")
                .with(KEY, "key-of-north");
            request(&site, asked).await.status == Some(200)
        })
        .await;
        let caller = Caller::default();
        let mut refused = 0;
        for round in 0..30 {
            for vm in 0..QUOTA_VMS {
                let asked = CallerRequest::post(&format!("/orders/{round}"), "one")
                    .with("X-Token-Usage", "700,280")
                    .with(KEY, "key-of-north");
                let answer = caller.request(site.front(vm), &asked).await;
                if answer.status == Some(429) {
                    refused += 1;
                    let after: f64 = answer.header("retry-after").parse().expect("a number");
                    expect_that!(after, gt(0.0));
                }
            }
            let other = CallerRequest::get("/books").with(KEY, "key-of-south");
            let answer = caller.request(site.front(0), &other).await;
            expect_that!(answer.status, some(eq(200)));
        }
        expect_that!(of_north(&site), le(ALLOWED));
        expect_that!(refused, gt(0));
    });
}
