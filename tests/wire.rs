//! Checks that the committed `src/wire.rs` is what `proto/peer.proto` generates.

use googletest::prelude::*;
use prost_build::Config;

/// Generates the protocol's Rust types from `proto/peer.proto`.
fn generate() -> String {
    let descriptors =
        protox::compile(["proto/peer.proto"], ["proto"]).expect("proto/peer.proto compiles");
    let out = std::env::temp_dir().join(format!("wire-{}", std::process::id()));
    std::fs::create_dir_all(&out).expect("the output folder can be created");
    Config::new()
        .out_dir(&out)
        .compile_fds(descriptors)
        .expect("the code can be generated");
    let code = std::fs::read_to_string(out.join("rattanjunction.peer.rs"))
        .expect("the generated file is readable");
    std::fs::remove_dir_all(&out).expect("the output folder can be removed");
    code
}

#[googletest::test]
fn committed_wire_types_are_current() {
    let code = generate();
    if std::env::var_os("UPDATE_WIRE").is_some() {
        std::fs::write("src/wire.rs", &code).expect("src/wire.rs is writable");
    }
    let committed = std::fs::read_to_string("src/wire.rs").expect("src/wire.rs is readable");
    expect_that!(committed, eq(&code));
}
