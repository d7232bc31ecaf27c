//! Tests that the platform's formats are read correctly and that invalid input is reported.

mod endless;
mod recent_records;

use crate::callers::ApiKey;
use crate::gateway::{
    Changes, Protocol, Reply, RouteKind, SendOptions, ServerChange, StatedLoad, Weights,
};
use crate::inventory::Name;
use crate::platform::PlatformProtocol;
use crate::platform::directory::server_changes;
use crate::platform::settings::parse_settings;
use crate::platform::store::KeyedRecord;
use crate::platform::unreadable_records::UnreadableRecords;
use crate::platform::{configuration, entries, orders};
use hyper::{Request, Response};
use proptest::prelude::*;
use serde_json::{Value, json};
use std::time::Duration;

const SETTINGS: &str = r#"
node_name = "front-a-1"
ip = "10.1.0.38"
zone = "a"
internal_ports = [7380, 7395]
a_field_of_later = { any = "thing" }
[listen]
front = "10.1.0.38:8149"
ready_addr = "10.1.0.38:8141"
[bounds]
drain_ms = 2000
config_apply_ms = 2000
grace_s = 8
budget_ratio = 0.2
budget_window_s = 10
budget_slack = 58
lease_ms = 3000
ceiling_window_s = 5
[platform]
address = "10.200.1.7:8142"
ttl_min_ms = 1000
"#;

#[test]
fn settings_are_read_and_unknown_fields_ignored() {
    let settings = parse_settings(SETTINGS).expect("the settings are valid");
    assert_eq!(settings.vm, "front-a-1");
    assert_eq!(settings.peer_address.to_string(), "10.1.0.38:7380");
    assert_eq!(settings.bounds.grace, Duration::from_secs(8));
    assert_eq!(settings.log_address.to_string(), "10.200.1.7:8142");
    assert_eq!(settings.cpu_cores, 1.0, "the limits are missing");
    assert_eq!(settings.client_memory_bytes, 114_000_000);
    let limits = "[limits]\ncpu_share = 0.25\ncores = 2\nmemory_mb = 160\n[bounds]";
    let settings = parse_settings(&SETTINGS.replace("[bounds]", limits));
    let settings = settings.expect("the settings are valid");
    assert_eq!(settings.cpu_cores, 0.5);
    assert_eq!(settings.client_memory_bytes, 66_000_000);
}

#[test]
fn all_invalid_settings_are_reported_together() {
    let broken = SETTINGS
        .replace("grace_s = 8", "grace_s = -8")
        .replace("budget_ratio = 0.2", "budget_ratio = \"much\"")
        .replace("front = \"10.1.0.38:8149\"", "front = \"nowhere\"")
        .replace(
            "[bounds]",
            "[limits]\ncpu_share = 0\nmemory_mb = -1\n[bounds]",
        );
    let report = parse_settings(&broken).expect_err("the settings are invalid");
    let text = format!("{report:?}");
    let fields = [
        "bounds.grace_s",
        "bounds.budget_ratio",
        "limits.cpu_share",
        "limits.memory_mb",
        "listen.front",
    ];
    for field in fields {
        assert!(text.contains(field), "{field} in {text}");
    }
}

#[test]
fn a_configuration_is_read_with_traffic_split_and_engines() {
    let text = r#"{"version": 7, "routes": [
        {"name": "r", "hostname": "h", "path_prefix": "/p/", "kind": "streaming",
         "timeout_ms": 12000, "target_latency_ms": 250, "priority": 1, "resumable": true,
         "traffic_split": [{"service": "x", "weight": 90}, {"service": "y", "weight": 10}],
         "max_attempts": 2, "sticky": true, "gap_aim_ms": 150}],
      "services": [{"name": "x", "engine": {"slots": 64, "kv_capacity": 158674,
         "weights_mb": 200000.0, "adapter_slots": 8, "loads_per_s": 1.6, "models": [
           {"name": "m", "weights_mb": 72700.0, "load_time_s": 4.2, "adapters": 28,
            "adapter_mb": 66.0, "warm_s": 0.63, "disk_s": 0.84}]}}],
      "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
         "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}"#;
    let configuration = configuration::decode(text.as_bytes()).expect("the configuration is valid");
    let route = configuration.route("h", "/p/x").expect("the route exists");
    assert_eq!(route.kind, RouteKind::Streaming);
    assert!(route.is_retryable());
    assert_eq!(route.targets.len(), 2);
    let (_, engine) = configuration
        .engines()
        .next()
        .expect("one service has an engine");
    assert_eq!(engine.model("m").map(|it| it.disk_load_ms), Some(840));
    let lists = |adapter: Option<&str>| {
        configuration.lists(&Weights {
            model: "m".into(),
            adapter: adapter.map(Name::from),
        })
    };
    assert!([None, Some("a1"), Some("a28")].into_iter().all(lists));
    let others = ["a0", "a29", "a+1", "a01", "b1", "", "a9999999999"];
    assert!(!others.into_iter().map(Some).any(lists));
}

#[test]
fn a_request_is_read_and_reserved_headers_are_replaced_or_removed() {
    let (head, ()) = Request::post("/p/x?q=1")
        .header("Host", "H.example:8080")
        .header("X-Attempt-Id", "9c41")
        .header("X-Deadline-Ms", "1500")
        .header("X-Model", "m/a3")
        .header("X-Token-Usage", "1460,80")
        .header("Last-Event-Id", "12")
        .header("X-Hold", "h")
        .header("X-Request-Priority", "0")
        .header("Connection", "close, X-Hop")
        .header("X-Hop", "1")
        .header("X-Kept", "1")
        .body(())
        .expect("the parts are valid")
        .into_parts();
    let caller_request =
        PlatformProtocol::read_caller_request(&head).expect("the request is well formed");
    assert_eq!(caller_request.host, "h.example");
    assert_eq!(
        caller_request.time_limit,
        Some(Duration::from_millis(1_500))
    );
    assert_eq!(caller_request.last_event, Some(12));
    let generation = caller_request
        .generation
        .as_ref()
        .expect("the request names a model");
    assert_eq!(generation.model, "m");
    assert_eq!(generation.adapter.as_deref(), Some("a3"));
    assert_eq!(
        (generation.prompt_tokens, generation.max_tokens),
        (1460, 80)
    );
    let options = SendOptions {
        organisation: Some("north"),
        server: "i-1",
        time_left: Duration::from_millis(700),
        priority: 2,
        last_event: Some(20),
        weights_version: Some(4),
    };
    let sent = PlatformProtocol::to_server(&caller_request, &options);
    let header = |name: &str| sent.headers().get(name).map(|value| value.to_str().ok());
    assert_eq!(sent.uri().to_string(), "/p/x?q=1");
    assert_eq!(header("x-attempt-id"), Some(Some("9c41")));
    assert_eq!(header("x-deadline-ms"), Some(Some("700")));
    assert_eq!(header("x-expect-instance"), Some(Some("i-1")));
    assert_eq!(header("last-event-id"), Some(Some("20")));
    assert_eq!(header("x-kept"), Some(Some("1")));
    for removed in ["x-hold", "x-hop", "connection"] {
        assert_eq!(header(removed), None, "{removed}");
    }
}

#[test]
fn a_request_without_an_id_is_malformed() {
    let (head, ()) = Request::get("/p/")
        .header("Host", "h")
        .body(())
        .expect("the parts are valid")
        .into_parts();
    assert!(PlatformProtocol::read_caller_request(&head).is_err());
}

fn entry() -> Value {
    json!({
        "service": "s", "address": "10.128.0.9:8080", "zone": "a", "version": "v1",
        "slots": 32, "state": "ready", "cold_remaining_ms": 0, "stage": "colocated",
        "models": [{"name": "m", "version": 1, "adapters": ["a1"]}],
        "sequence": 4, "born": 1_700_000_000_000_u64,
    })
}

fn is_read(entry: &Value) -> bool {
    entries::decode("i".into(), entry.to_string().as_bytes()).is_ok()
}

#[test]
fn an_entry_has_the_start_time_and_sequence_of_its_server() {
    let read =
        entries::decode("i".into(), entry().to_string().as_bytes()).expect("the entry is valid");
    assert_eq!(read.started_ms, 1_700_000_000_000);
    assert_eq!(read.sequence, 4);
    assert_eq!(read.holdings[0].adapters, ["a1"]);
}

#[test]
fn an_entry_with_missing_or_invalid_fields_is_refused() {
    let fields = [
        "service",
        "address",
        "zone",
        "version",
        "slots",
        "state",
        "cold_remaining_ms",
    ];
    for field in fields.into_iter().chain(["sequence"]) {
        let mut incomplete = entry();
        incomplete.as_object_mut().expect("an object").remove(field);
        assert!(!is_read(&incomplete), "without {field}");
        for other in [json!(null), json!([1]), json!({"a": 1}), json!(true)] {
            let mut wrong = entry();
            wrong[field] = other;
            assert!(!is_read(&wrong), "{field}: {}", wrong[field]);
        }
    }
    let wrong = [
        ("born", json!(0)),
        ("born", json!(-1)),
        ("born", json!([1])),
        ("born", json!(true)),
        ("born", json!(1.5)),
        ("born", json!("1700000000000")),
        ("state", json!("starting")),
        ("address", json!("nowhere")),
        ("slots", json!(0)),
        ("models", json!("m")),
        ("models", json!([{"version": 1}])),
        ("at_hand", json!([])),
    ];
    for (field, value) in wrong {
        let mut entry = entry();
        entry[field] = value;
        assert!(!is_read(&entry), "{field}: {}", entry[field]);
    }
    let nested = "[".repeat(100_000);
    for bytes in [
        b"".as_slice(),
        b"\xff\xfe",
        b"{",
        b"null",
        b"[]",
        nested.as_bytes(),
    ] {
        assert!(entries::decode("i".into(), bytes).is_err());
    }
}

#[test]
fn a_report_has_the_start_time_of_its_runner() {
    let report = br#"{"models": [], "busy": false, "sequence": 2, "born": 1700000000000}"#;
    let report = orders::decode_report(report).expect("the report is valid");
    assert_eq!(report.started_ms, 1_700_000_000_000);
    let wrong = br#"{"models": [], "sequence": 2, "born": "then"}"#;
    assert!(orders::decode_report(wrong).is_err());
}

proptest! {
    #[test]
    fn arbitrary_bytes_are_decoded_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let _ = entries::decode("i".into(), &bytes);
        let _ = configuration::decode(&bytes);
        let _ = orders::decode_report(&bytes);
    }

    #[test]
    fn entry_with_changed_byte_is_decoded_or_refused(index in 0_usize..300, byte in any::<u8>()) {
        let mut bytes = entry().to_string().into_bytes();
        let index = index % bytes.len();
        bytes[index] = byte;
        let _ = entries::decode("i".into(), &bytes);
    }
}

fn record(id: &str, value: &[u8]) -> KeyedRecord {
    KeyedRecord {
        key: id.to_owned().into(),
        value: value.to_vec().into(),
        may_be_restored: false,
    }
}

fn changes_of(items: Vec<KeyedRecord>) -> Vec<ServerChange> {
    let changes = Changes {
        items,
        next_offset: 1,
    };
    server_changes(changes, &mut UnreadableRecords::default()).items
}

#[test]
fn an_entry_decides_on_its_own_server_only() {
    let mut without_start = entry();
    without_start
        .as_object_mut()
        .expect("an object")
        .remove("born");
    let (with, without) = (entry().to_string(), without_start.to_string());
    let changes = changes_of(vec![
        record("a", without.as_bytes()),
        record("b", with.as_bytes()),
        record("c", b"{"),
        record("d", without.as_bytes()),
        record("e", b""),
    ]);
    let kinds = changes.iter().map(|change| match change {
        ServerChange::Upserted(entry) => ("listed", entry.id.as_str()),
        ServerChange::Unreadable(id) => ("unreadable", id.as_str()),
        ServerChange::Removed(id) | ServerChange::RemovedRun(id, _) => ("removed", id.as_str()),
        ServerChange::Restored(entry) => ("restored", entry.id.as_str()),
        ServerChange::Revived(entry) => ("revived", entry.id.as_str()),
        ServerChange::Lost(id) => ("lost", id.as_str()),
    });
    let expected = [
        ("listed", "a"),
        ("listed", "b"),
        ("unreadable", "c"),
        ("listed", "d"),
        ("removed", "e"),
    ];
    assert_eq!(kinds.collect::<Vec<_>>(), expected);
}

#[test]
fn an_entry_with_numbers_or_an_address_that_no_server_has_is_refused() {
    let wrong = [
        ("sequence", "18446744073709551615"),
        ("sequence", "1e400"),
        ("born", "9007199254740992"),
        ("slots", "4294967295"),
        ("slots", "1e400"),
        ("cold_remaining_ms", "1e400"),
        ("address", "\"10.128.0.9:0\""),
        ("address", "\"10.128.0.9:99999\""),
        ("address", "\"0.0.0.0:8080\""),
        ("address", "\"224.0.0.1:8080\""),
        ("address", "\"255.255.255.255:8080\""),
        ("address", "\"[::]:8080\""),
    ];
    for (field, value) in wrong {
        let mut odd = entry();
        odd[field] = json!("PLACE");
        let text = odd.to_string().replace("\"PLACE\"", value);
        let decoded = entries::decode("i".into(), text.as_bytes());
        assert!(decoded.is_err(), "{field}: {value}");
    }
    for id in ["", "a\nb", "a\u{1}", "\u{7f}"] {
        let decoded = entries::decode(id.into(), entry().to_string().as_bytes());
        assert!(decoded.is_err(), "{id:?}");
    }
}

#[test]
fn an_unreadable_record_is_logged_once_until_it_changes() {
    let mut unreadable = UnreadableRecords::default();
    let mut is_logged =
        |key: &str, value: &[u8]| unreadable.report("keyed.servers", key, value, "odd");
    assert!(is_logged("a", b"{"));
    assert!(!is_logged("a", b"{"));
    assert!(is_logged("b", b"{"));
    assert!(is_logged("a", b"["));
}

/// Values that are odd in an entry.
fn odd_value() -> impl Strategy<Value = Value> {
    let depth = (1..200_usize).prop_map(|depth| {
        let mut nested = json!(1);
        for _ in 0..depth {
            nested = json!([nested]);
        }
        nested
    });
    prop_oneof![
        Just(Value::Null),
        any::<u64>().prop_map(|it| json!(it)),
        any::<i64>().prop_map(|it| json!(it)),
        any::<f64>().prop_map(|it| json!(it)),
        any::<bool>().prop_map(|it| json!(it)),
        any::<String>().prop_map(|it| json!(it)),
        "[0-9.:\\[\\]a-f]{0,24}".prop_map(|it| json!(it)),
        (0..70_000_u32).prop_map(|port| json!(format!("10.1.0.9:{port}"))),
        Just(json!("x".repeat(5_000))),
        prop::collection::vec(any::<u8>(), 0..20).prop_map(|it| json!(it)),
        Just(json!([{"name": "m", "version": u64::MAX, "adapters": ["a", {"name": "b"}]}])),
        depth,
    ]
}

proptest! {
    #[test]
    fn an_odd_entry_changes_nothing_of_other_servers(
        fields in prop::collection::vec((0..12_usize, odd_value()), 1..4),
        id in prop_oneof![any::<String>(), Just("odd".to_owned()), Just("sound".to_owned())],
    ) {
        let names = [
            "service", "address", "zone", "version", "slots", "state", "cold_remaining_ms",
            "sequence", "born", "models", "at_hand", "of_later",
        ];
        let mut odd = entry();
        for (field, value) in fields {
            odd[names[field]] = value;
        }
        let sound = entry().to_string();
        let changes = changes_of(vec![
            record("sound", sound.as_bytes()),
            record(&id, odd.to_string().as_bytes()),
            record("later", sound.as_bytes()),
        ]);
        let listed = |id: &str| changes.iter().any(|change| {
            matches!(change, ServerChange::Upserted(entry) if entry.id == id)
        });
        prop_assert!(listed("sound") && listed("later"));
        prop_assert!(!changes.iter().any(|it| matches!(it, ServerChange::Removed(_))));
    }
}

fn with_organisations(organisations: &Value) -> Vec<u8> {
    let configuration = json!({
        "version": 3,
        "limits": {"max_body_bytes": 1, "idle_timeout_ms": 1},
        "tenants": organisations,
    });
    configuration.to_string().into_bytes()
}

#[test]
fn organisations_are_read_with_their_quotas() {
    let text = with_organisations(&json!([
        {"name": "north", "api_keys": ["a"], "priority": 2, "unit": "token_stream",
         "plain_tokens": 200, "rate_per_s": 1900, "burst": 950.5},
        {"name": "south", "api_keys": ["b"], "rate_per_s": 3, "burst": 4},
        {"name": "east", "api_keys": []},
    ]));
    let configuration = configuration::decode(&text).expect("the configuration is valid");
    let index = configuration
        .organisations
        .expect("there are organisations");
    let owner_of = |key: &[u8]| index.owner(&ApiKey::new(key)).cloned();
    let north = owner_of(b"a").expect("the key belongs to north");
    assert_eq!(north.priority, Some(2));
    let quota = north.quota.expect("north has a quota");
    assert_eq!((quota.rate_per_s, quota.burst), (1_900.0, 950.5));
    assert_eq!(
        (quota.charge(None).amount, quota.charge(Some(980.0)).amount),
        (200.0, 980.0)
    );
    let south = owner_of(b"b").expect("the key belongs to south");
    assert_eq!(south.priority, None);
    let quota = south.quota.expect("south has a quota");
    assert_eq!(quota.charge(Some(980.0)).amount, 1.0);
}

#[test]
fn a_key_that_is_not_a_string_is_refused_and_not_shown_in_the_error() {
    let text = with_organisations(&json!([{"name": "north", "api_keys": [90210]}]));
    let error = configuration::decode(&text).expect_err("the key is a number");
    let error = error.to_string();
    assert!(!error.contains("90210"), "{error}");
}

#[test]
fn a_configuration_without_organisations_requires_no_key() {
    let text = with_organisations(&Value::Null);
    let configuration = configuration::decode(&text).expect("the configuration is valid");
    assert!(configuration.organisations.is_none());
}

/// Parses the head of a server's response.
fn reply_of(status: u16, headers: &[(&str, &str)]) -> Reply {
    let mut builder = Response::builder().status(status);
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    let (head, ()) = builder
        .body(())
        .expect("the headers are valid")
        .into_parts();
    PlatformProtocol::read_reply(&head)
}

#[test]
fn a_head_that_names_two_requests_or_holds_another_head_is_ambiguous() {
    let is_ambiguous = |headers: &[(&str, &str)]| reply_of(503, headers).is_ambiguous;
    let id = ("X-Attempt-Id", "a1");
    assert!(!is_ambiguous(&[]));
    assert!(!is_ambiguous(&[id, ("Via", "HTTP/1.1 proxy")]));
    assert!(!is_ambiguous(&[id, id]));
    assert!(is_ambiguous(&[id, ("X-Attempt-Id", "b2")]));
    assert!(is_ambiguous(&[("X-Not-Executed", "1HTTP/1.1 200 OK"), id]));
}

#[test]
fn what_servers_state_of_themselves_is_read_and_invalid_values_ignored() {
    let rate = |value| reply_of(200, &[("Server-Limit", value)]).rate_limit_per_s;
    assert_eq!(rate("4.6"), Some(4.6));
    assert_eq!(rate("0"), Some(0.0));
    for invalid in ["-1", "many", "inf", "NaN", ""] {
        assert_eq!(rate(invalid), None, "{invalid}");
    }
    let is_leaving = |value| reply_of(200, &[("Server-Leaving", value)]).is_leaving;
    assert!(is_leaving("1"));
    assert!(!is_leaving("0"));
    assert!(!reply_of(200, &[]).is_leaving);
    let pause = |status, value| reply_of(status, &[("Retry-After", value)]).pause;
    assert_eq!(pause(503, "3"), Some(Duration::from_secs(3)));
    assert_eq!(pause(429, "0.25"), Some(Duration::from_millis(250)));
    assert_eq!(pause(200, "3"), None);
    let load = |value| reply_of(200, &[("X-Server-Load", value)]).stated_load;
    let stated = |slowness_percent| {
        Some(StatedLoad {
            running: 3,
            waiting: 0,
            slots: 12,
            slowness_percent,
        })
    };
    assert_eq!(load("3,0,12"), stated(None));
    assert_eq!(load("3, 0, 12, 140"), stated(Some(140)));
    assert_eq!(load("3,0,12,fast"), stated(None));
    for invalid in ["", "3", "3,0", "-1,0,12", "a,b,c", "3;0;12"] {
        assert_eq!(load(invalid), None, "{invalid}");
    }
    for invalid in ["-1", "soon", "1e300", "NaN"] {
        assert_eq!(pause(503, invalid), None, "{invalid}");
    }
}
