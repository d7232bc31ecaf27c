//! The `rattanjunction` command.

use mimalloc::MiMalloc;
use std::process::ExitCode;

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

fn main() -> ExitCode {
    rattanjunction::cli::run()
}
