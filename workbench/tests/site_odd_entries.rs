//! On the platform: odd records that another writer left among those of the servers.

use googletest::prelude::*;
use serde_json::{Value, json};
use std::time::Duration;
use workbench::cluster::block_on;
use workbench::site::{Caller, CallerRequest, Site, plain, route, runner_service};

const SERVERS: &str = "keyed.servers";
const VMS: usize = 3;
/// Requests of each kind to each VM.
const REQUESTS: usize = 10;
/// Time in which a change of the directory takes effect.
const SETTLE: Duration = Duration::from_millis(2_500);

/// Three plain servers and two runners.
async fn start() -> Site {
    let holds = || vec![("m0", vec![])];
    let mut site = Site::start(vec![
        ("books", vec![]),
        ("books", vec![]),
        ("books", vec![]),
        ("llm", holds()),
        ("llm", holds()),
    ])
    .await;
    site.zones = 2;
    site.configure(
        json!([route("/s/", "safe", "llm"), route("/", "safe", "books")]),
        json!([plain("books"), runner_service("llm", &[("m0", 0)])]),
    );
    site
}

/// An entry at an address where nobody listens, with one field replaced by a text of JSON.
fn entry_with(site: &Site, field: &str, value: &str) -> Vec<u8> {
    let mut entry = site.servers[0].entry("ready");
    entry["address"] = json!(format!("{}:9", site.ip));
    entry[field] = json!("PLACE");
    entry.to_string().replace("\"PLACE\"", value).into_bytes()
}

fn nested(depth: usize) -> String {
    format!("{}{}", "[".repeat(depth), "]".repeat(depth))
}

/// Odd records, each by a name.
fn odd_records(site: &Site) -> Vec<(&'static str, Vec<u8>)> {
    vec![
        ("nested", entry_with(site, "of_later", &nested(120))),
        (
            "nested-deeply",
            entry_with(site, "of_later", &nested(4_000)),
        ),
        (
            "nested-models",
            entry_with(site, "models", &nested(100_000)),
        ),
        (
            "port-too-large",
            entry_with(site, "address", "\"127.0.0.1:99999\""),
        ),
        ("port-0", entry_with(site, "address", "\"127.0.0.1:0\"")),
        ("unspecified", entry_with(site, "address", "\"0.0.0.0:1\"")),
        ("slots", entry_with(site, "slots", "4294967295")),
        ("slots-1e400", entry_with(site, "slots", "1e400")),
        ("cold-1e400", entry_with(site, "cold_remaining_ms", "1e400")),
        (
            "sequence",
            entry_with(site, "sequence", "18446744073709551615"),
        ),
        ("born", entry_with(site, "born", "18446744073709551615")),
        ("text", b"not an entry".to_vec()),
        ("bytes", vec![0xff; 300]),
        ("list", b"[1,2]".to_vec()),
    ]
}

/// Writes everything odd at once.
fn write_odd_records(site: &Site) {
    site.store.put_raw(SERVERS, &[]);
    site.store.put_raw(SERVERS, &[200, b'x']);
    site.store.put_raw(SERVERS, &[2, 0xff, 0xfe, b'{', b'}']);
    for (key, value) in odd_records(site) {
        site.store.put_bytes(SERVERS, key, &value);
    }
    for item in [
        json!({"key": "not-base64", "value": "***", "offset": 3}),
        json!({"key": "no-value", "offset": 3}),
        json!({"key": "value-is-a-list", "value": [1]}),
        json!(["a", "list"]),
        Value::Null,
    ] {
        site.store.list_item(SERVERS, item);
    }
}

/// How many of the requests to all VMs are served.
async fn served(site: &Site) -> usize {
    let mut served = 0;
    for vm in 0..VMS {
        let caller = Caller::default();
        for _ in 0..REQUESTS {
            for request in [CallerRequest::get("/x"), CallerRequest::model("/s/x", "m0")] {
                let answer = caller.request(site.front(vm), &request).await;
                served += usize::from(answer.status == Some(200));
            }
        }
    }
    served
}

const ALL: usize = VMS * REQUESTS * 2;

async fn expect_served(site: &mut Site, when: &str) {
    expect_that!(served(site).await, eq(ALL), "{when}");
    for vm in &mut site.vms {
        expect_that!(vm.has_ended(), eq(false), "{when}");
    }
}

async fn restart_all_vms(site: &mut Site) {
    for vm in &mut site.vms {
        vm.kill();
    }
    for vm in 0..VMS {
        site.restart_vm(vm);
    }
    site.wait_ready().await;
}

/// Replaces a plain server by another one; checks that this is in force.
async fn expect_change_in_force(site: &mut Site, when: &str) {
    let old = site
        .servers
        .iter()
        .position(|server| server.service == "books" && !server.is_dead())
        .expect("one is left");
    let new = site.add_server("books", vec![]).await;
    site.remove(&site.servers[old].clone());
    compio::time::sleep(SETTLE).await;
    let runs_before = site.servers[old].runs().len();
    expect_served(site, when).await;
    expect_that!(site.servers[old].runs().len(), eq(runs_before), "{when}");
    expect_that!(new.runs().len(), gt(0), "{when}");
}

/// The calls to the store by all VMs within a while, except those that only renew a membership.
async fn store_calls(site: &Site) -> u64 {
    let count = || {
        let paths = ["/-/log-newest", "/-/log-read", "/-/log-append"];
        paths.iter().map(|path| site.store.calls(path)).sum::<u64>()
    };
    let before = count();
    compio::time::sleep(SETTLE).await;
    count() - before
}

#[googletest::test]
fn odd_entries_that_come_later_stop_neither_vms_nor_later_changes() {
    block_on(async {
        let mut site = start().await;
        site.start_vms(VMS);
        site.wait_ready().await;
        compio::time::sleep(SETTLE).await;
        let calls_before = store_calls(&site).await;
        expect_served(&mut site, "before").await;
        write_odd_records(&site);
        compio::time::sleep(SETTLE).await;
        let calls = store_calls(&site).await;
        expect_that!(calls, le(calls_before + calls_before / 4));
        expect_served(&mut site, "with odd records").await;
        expect_change_in_force(&mut site, "after a change behind them").await;
        restart_all_vms(&mut site).await;
        expect_served(&mut site, "after a restart").await;
        for (key, _) in odd_records(&site) {
            site.store.drop_key(SERVERS, key);
        }
        compio::time::sleep(SETTLE).await;
        expect_served(&mut site, "after their removal").await;
    });
}

#[googletest::test]
fn odd_entries_that_are_there_from_the_start_stop_neither_vms_nor_later_changes() {
    block_on(async {
        let mut site = start().await;
        write_odd_records(&site);
        site.start_vms(VMS);
        site.wait_ready().await;
        expect_served(&mut site, "with odd records").await;
        expect_change_in_force(&mut site, "after a change behind them").await;
    });
}

#[googletest::test]
fn an_entry_with_a_start_time_beside_servers_without_one_removes_none() {
    block_on(async {
        let mut site = start().await;
        for server in &site.servers {
            let mut entry = server.entry("ready");
            entry.as_object_mut().expect("an object").remove("born");
            site.store.put(SERVERS, &server.id, &entry);
        }
        site.start_vms(VMS);
        site.wait_ready().await;
        site.store
            .put_bytes(SERVERS, "odd", &entry_with(&site, "born", "5"));
        compio::time::sleep(SETTLE).await;
        expect_served(&mut site, "with the odd entry").await;
        restart_all_vms(&mut site).await;
        expect_served(&mut site, "after a restart").await;
    });
}

#[googletest::test]
fn an_unreadable_entry_under_the_key_of_a_server_removes_it_neither_then_nor_later() {
    block_on(async {
        let mut site = start().await;
        site.start_vms(VMS);
        site.wait_ready().await;
        for server in &site.servers {
            site.store.put_bytes(SERVERS, &server.id, b"{");
        }
        compio::time::sleep(SETTLE).await;
        expect_served(&mut site, "with unreadable entries").await;
        site.store.compact(SERVERS);
        compio::time::sleep(SETTLE).await;
        expect_served(&mut site, "after the directory was read as a whole").await;
        let server = site.servers[0].clone();
        site.put_entry(&server, "draining");
        compio::time::sleep(SETTLE).await;
        let runs = server.runs().len();
        expect_served(&mut site, "after a server leaves").await;
        expect_that!(server.runs().len(), eq(runs));
    });
}

#[googletest::test]
fn keys_with_any_characters_end_no_page() {
    for key in [
        "a b",
        "a&topic=x",
        "a#b",
        "a+b",
        "a%2",
        "é",
        "\u{1}",
        "i-2 \u{7f}",
    ] {
        block_on(async {
            let mut site = start().await;
            site.store.set_page_items(1);
            site.store
                .put_bytes(SERVERS, key, &entry_with(&site, "state", "\"ready\""));
            site.start_vms(VMS);
            site.wait_ready().await;
            expect_served(&mut site, &format!("beside the key {key:?}")).await;
        });
    }
}

#[googletest::test]
fn changes_that_take_many_reads_are_in_force_at_once() {
    block_on(async {
        let mut site = start().await;
        site.start_vms(VMS);
        site.wait_ready().await;
        compio::time::sleep(SETTLE).await;
        site.store.set_page_items(1);
        for _ in 0..60 {
            let server = site.servers[1].clone();
            site.put_entry(&server, "ready");
        }
        expect_change_in_force(&mut site, "behind many records").await;
    });
}
