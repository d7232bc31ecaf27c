#!/usr/bin/env bash
# Builds the program under review and the stand-ins of the cases. Needs nothing but the toolchain.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked
mkdir -p target/review
rustc --edition 2021 -O -o target/review/standins review/standins.rs
