//! The committed peer protocol is the one its description generates.

use googletest::prelude::*;
use prost_build::Config;

/// Generates the protocol's types from `proto/peer.proto`.
fn generate() -> String {
    let descriptors = protox::compile(["proto/peer.proto"], ["proto"]).expect("the file compiles");
    let out = std::env::temp_dir().join(format!("wire-{}", std::process::id()));
    std::fs::create_dir_all(&out).expect("a folder");
    Config::new()
        .out_dir(&out)
        .compile_fds(descriptors)
        .expect("code is generated");
    let code = std::fs::read_to_string(out.join("rattanjunction.peer.rs")).expect("a file");
    std::fs::remove_dir_all(&out).expect("the folder goes");
    code
}

#[googletest::test]
fn committed_wire_types_are_current() {
    let code = generate();
    if std::env::var_os("UPDATE_WIRE").is_some() {
        std::fs::write("src/wire.rs", &code).expect("written");
    }
    let committed = std::fs::read_to_string("src/wire.rs").expect("a file");
    expect_that!(committed, eq(&code));
}
