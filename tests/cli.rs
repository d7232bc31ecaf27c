//! The output and the exit codes of the command line.

use googletest::prelude::*;
use std::path::PathBuf;
use std::process::{Command, Output};

/// Runs the command with these arguments.
fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_rattanjunction"))
        .args(arguments)
        .output()
        .expect("the command starts")
}

/// Returns the standard output and standard error of a run.
fn printed(output: &Output) -> String {
    String::from_utf8_lossy(&[&output.stdout[..], &output.stderr].concat()).into_owned()
}

/// Writes a file into the temporary folder of this test process.
fn write_file(name: &str, text: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("rattanjunction-cli-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let path = folder.join(name);
    std::fs::write(&path, text).expect("a file");
    path
}

#[googletest::test]
fn the_examples_are_valid() {
    for example in ["vm", "vltava", "kaof"] {
        let output = run(&["check", &format!("examples/{example}.json")]);
        expect_that!(output.status.code(), some(eq(0)), "{}", printed(&output));
    }
}

#[googletest::test]
fn check_reports_every_deserialization_error_with_field_and_line() {
    let path = write_file(
        "shape.json",
        r#"{
  "models": [
    {"name": "a", "version": "1", "weights_mib": "many"},
    {"name": "b", "weights_mib": 100, "colour": "red"}
  ],
  "backend_servers": [
    {"name": "r", "duty": "runer", "address": "10.0.0.1", "availability_zone": "z"}
  ],
  "callers": 7
}"#,
    );
    let output = run(&["check", path.to_str().expect("a plain path")]);
    expect_that!(output.status.code(), some(eq(2)));
    for line in [
        "shape.json:3: models[0].weights_mib: invalid type",
        "shape.json:4: models[1].colour: unknown field",
        "shape.json:4: models[1]: missing field `version`",
        "shape.json:7: backend_servers[0].duty: unknown variant",
        "shape.json:7: backend_servers[0].address: invalid socket address",
        "shape.json:9: callers: invalid type",
    ] {
        expect_that!(printed(&output), contains_substring(line));
    }
}

#[googletest::test]
fn check_reports_every_validation_error_with_field_and_line() {
    let path = write_file(
        "rules.json",
        r#"{
  "models": [
    {"name": "a", "version": "1", "weights_mib": 0},
    {"name": "a", "version": "1", "weights_mib": 9}
  ],
  "services": [
    {"name": "s", "path": "receipts", "backend_servers": ["nobody"]}
  ]
}"#,
    );
    let output = run(&["check", path.to_str().expect("a plain path")]);
    expect_that!(output.status.code(), some(eq(2)));
    for line in [
        "rules.json:2: models: do not fit",
        "rules.json:3: models[0].weights_mib: must be at least 1",
        "rules.json:4: models[1].name: a is listed twice",
        "rules.json:7: services[0].path: must start with /",
        "rules.json:7: services[0].backend_servers[0]: nobody is not among",
    ] {
        expect_that!(printed(&output), contains_substring(line));
    }
}

#[googletest::test]
fn serve_reports_every_validation_error_of_the_settings() {
    let example = std::fs::read_to_string("examples/vm.json").expect("the example");
    let text = example
        .replace("\"drain_grace_ms\": 2000", "\"drain_grace_ms\": 9000000")
        .replace("\"log_retention_ms\": 3600000", "\"log_retention_ms\": 9");
    let path = write_file("vm.json", &text);
    let output = run(&["serve", "--config", path.to_str().expect("a plain path")]);
    expect_that!(output.status.code(), some(eq(2)));
    for line in [
        "vm.json:9: log_retention_ms: is 9, must be from 10000 to 1000000000000",
        "vm.json:10: drain_grace_ms: is 9000000, must be from 0 to 600000",
    ] {
        expect_that!(printed(&output), contains_substring(line));
    }
}

#[googletest::test]
fn import_converts_an_asset_register_to_an_inventory() {
    let servers = write_file(
        "servers.csv",
        "name,duty,address,availability_zone,memory_mib,kv_mib,checks_fencing\n\
         r1,runner,10.0.0.1:9000,karlin,80000,16000,true\n\
         receipts-1,service,10.0.0.2:9000,smichov,,,\n",
    );
    let models = write_file(
        "models.csv",
        "model,name,version,weights_mib,min_replicas\n,draft,1,14000,1\ndraft,film,3,200,\n",
    );
    let [servers, models] = [servers, models].map(|path| path.display().to_string());
    let output = run(&["import", "--servers", &servers, "--models", &models]);
    expect_that!(output.status.code(), some(eq(0)), "{}", printed(&output));
    let inventory: rattanjunction::Inventory =
        serde_json::from_slice(&output.stdout).expect("an inventory");
    expect_that!(inventory.models[0].adapters[0].weights_mib, eq(200));
    expect_that!(inventory.backend_servers[0].memory_mib, eq(80_000));
    expect_true!(inventory.backend_servers[0].checks_fencing);
    expect_that!(inventory.backend_servers[1].slots, eq(16));
    let swapped = run(&["import", "--servers", &models]);
    expect_that!(swapped.status.code(), some(eq(2)));
    expect_that!(printed(&swapped), contains_substring("models.csv:2: "));
    expect_that!(printed(&swapped), contains_substring("models.csv:3: "));
}

#[googletest::test]
fn invalid_arguments_and_unreachable_addresses_have_their_exit_codes() {
    expect_that!(run(&["publish"]).status.code(), some(eq(2)));
    expect_that!(run(&["check", "/nowhere.json"]).status.code(), some(eq(2)));
    let unreachable = ["status", "--via", "127.0.0.1:1"];
    expect_that!(run(&unreachable).status.code(), some(eq(3)));
    let unreachable = ["publish", "examples/kaof.json", "--via", "127.0.0.1:1"];
    expect_that!(run(&unreachable).status.code(), some(eq(3)));
    expect_that!(run(&["events"]).status.code(), some(eq(0)));
}
