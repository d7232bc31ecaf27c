//! The reference of settings and inventory is complete and agrees with docs/CONFIG.md.

use googletest::prelude::*;
use rattanjunction::{Config, FIELDS, Inventory};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value, json};

/// Returns all fields of an object that was read from its required fields alone.
fn defaults<T: DeserializeOwned + Serialize>(required: Value) -> Map<String, Value> {
    let parsed: T = serde_json::from_value(required).expect("all required fields are given");
    let written = serde_json::to_value(parsed).expect("it serializes");
    written.as_object().cloned().expect("it is an object")
}

/// Returns all fields of the settings that result from the required fields alone.
fn settings() -> Map<String, Value> {
    let address = "10.0.0.1:8000";
    defaults::<Config>(
        json!({"vm": "a", "availability_zone": "z", "caller_address": address,
        "operator_address": address, "peer_address": address, "log_address": address,
        "vm_list_address": address}),
    )
}

/// Returns an inventory with one or two objects of each kind, each from its required fields alone.
fn inventory() -> Map<String, Value> {
    let server = json!({"name": "r", "duty": "runner", "address": "10.0.0.1:9000",
        "availability_zone": "z"});
    let adapter = json!({"name": "a", "version": "1", "weights_mib": 1});
    defaults::<Inventory>(json!({
        "models": [{"name": "m", "version": "1", "weights_mib": 1},
            {"name": "n", "version": "1", "weights_mib": 1, "adapters": [adapter]}],
        "backend_servers": [server],
        "services": [{"name": "s", "path": "/s", "backend_servers": ["r"]}],
        "callers": [{"name": "c", "api_key": "k"}],
    }))
}

/// Returns the fields of an object of the reference, with their defaults.
fn object(name: &str) -> Map<String, Value> {
    let inventory = inventory();
    let found = match name {
        "settings" => return settings(),
        "inventory" => return defaults::<Inventory>(json!({})),
        "model" => &inventory["models"][0],
        "adapter" => &inventory["models"][1]["adapters"][0],
        "backend_server" => &inventory["backend_servers"][0],
        "service" => &inventory["services"][0],
        "caller" => &inventory["callers"][0],
        "rules" => &inventory["rules"],
        "moves" => &inventory["rules"]["moves"],
        other => panic!("no object {other}"),
    };
    found.as_object().cloned().expect("it is an object")
}

#[googletest::test]
fn every_field_has_a_row_with_its_default() {
    let mut objects: Vec<&str> = FIELDS.iter().map(|row| row.object).collect();
    objects.dedup();
    expect_that!(objects.len(), eq(9));
    for name in objects {
        let object = object(name);
        let rows: Vec<_> = FIELDS.iter().filter(|row| row.object == name).collect();
        let mut fields: Vec<&str> = rows.iter().map(|row| row.field).collect();
        let mut written: Vec<&str> = object.keys().map(String::as_str).collect();
        fields.sort_unstable();
        written.sort_unstable();
        expect_that!(fields, eq(&written), "{name}");
        for row in rows.iter().filter(|row| !row.default.is_empty()) {
            let default: Value = serde_json::from_str(row.default).expect("defaults are JSON");
            let found = &object[row.field];
            // Objects whose fields all have defaults have the default `{}` in the reference.
            if default != json!({}) {
                expect_that!(*found, eq(&default), "{name}.{}", row.field);
            }
        }
    }
}

#[googletest::test]
fn fields_without_a_default_are_required() {
    for row in FIELDS.iter().filter(|row| row.object == "settings") {
        let mut given = settings();
        given.remove(row.field);
        let parsed = serde_json::from_value::<Config>(Value::Object(given));
        expect_that!(parsed.is_ok(), eq(!row.default.is_empty()), "{}", row.field);
    }
}

#[googletest::test]
fn settings_accept_exactly_the_ranges_of_the_reference() {
    for row in FIELDS.iter().filter(|row| row.object == "settings") {
        let Some((low, rest)) = row.allowed.split_once(" to ") else {
            continue;
        };
        let high = rest.split(' ').next().unwrap_or_default();
        let bounds = [low, high].map(|bound| bound.parse::<u64>().expect("bounds are numbers"));
        for (value, valid) in [(bounds[0], true), (bounds[1], true), (bounds[1] + 1, false)] {
            let mut given = settings();
            given.insert(row.field.to_owned(), json!(value));
            let config: Config = serde_json::from_value(Value::Object(given)).expect("a number");
            expect_that!(
                config.problems().is_empty(),
                eq(valid),
                "{} {value}",
                row.field
            );
        }
    }
}

#[googletest::test]
fn config_page_shows_every_row() {
    let page = std::fs::read_to_string("docs/CONFIG.md").expect("the page exists");
    for row in FIELDS {
        let default = match row.default {
            "" => "-".to_owned(),
            default => format!("`{default}`"),
        };
        let line = format!(
            "| `{}` | {default} | {} | {} |",
            row.field, row.allowed, row.description
        );
        expect_that!(page, contains_substring(line));
    }
}
