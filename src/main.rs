//! The `rattanjunction` command.

use libmimalloc_sys::{mi_option_set, mi_option_t};
use mimalloc::MiMalloc;
use std::ffi::c_long;
use std::process::ExitCode;

/// The option of the allocator that says how long freed pages stay resident, in milliseconds.
const PURGE_DELAY: mi_option_t = 15;
/// The delay: memory that was freed is not held for long beside what is allocated next.
const PURGE_DELAY_MS: c_long = 10;

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

fn main() -> ExitCode {
    // SAFETY: the option takes any number, and no other thread runs yet.
    unsafe { mi_option_set(PURGE_DELAY, PURGE_DELAY_MS) };
    rattanjunction::cli::run()
}
