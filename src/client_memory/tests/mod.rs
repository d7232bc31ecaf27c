//! Tests of what is reserved for clients, and of which connections are closed for others.

mod answer;
mod body;
mod eviction;
mod frames;
mod memory;

use crate::client_memory::{CONNECTION_BYTES, ClientAccount, ClientMemory};
use std::time::Duration;

/// How long connections are kept while others need their memory.
const MIN_WAIT: Duration = Duration::from_millis(100);

/// Creates memory in which long reservations may take `long_bytes`.
fn memory_for_long(long_bytes: usize) -> ClientMemory {
    let memory = ClientMemory::new(long_bytes.div_ceil(3) * 4, MIN_WAIT);
    assert!(memory.longest_bytes() >= long_bytes);
    memory
}

/// What is reserved besides the account itself.
fn reserved_bytes(account: &ClientAccount) -> usize {
    account.memory().reserved_bytes() - CONNECTION_BYTES
}

fn block_on<T>(task: impl Future<Output = T>) -> T {
    let runtime = compio::runtime::Runtime::new().expect("a runtime starts");
    runtime.block_on(task)
}
