//! What a VM reports when a server crashes with one of its requests in flight.

use crate::gateway::PromptPart;
use crate::gateway::fleet::Incarnation;
use std::net::SocketAddr;
use std::time::Duration;
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

/// The maximum number of parts in a report.
pub(crate) const MAX_REPORTED_PARTS: usize = 16;

/// Something that crashes each server that begins to answer it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) enum CrashCause {
    /// The request with this fingerprint.
    Request(u64),
    /// All requests whose prompts have this part in common.
    Part(PromptPart),
}

/// Identifies one run of a server's process by a hash, the same on every VM.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) struct ServerRunId(pub(crate) u64);

impl ServerRunId {
    /// The identifier of a run.
    pub(crate) fn of(run: &Incarnation) -> Self {
        let mut hash = Xxh3::new();
        hash.update(run.id.as_bytes());
        hash.update(&run.started_ms.to_le_bytes());
        Self(hash.digest())
    }
}

/// A request that a server had not begun to answer, as far as its VM knows, when the server crashed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct CrashReport {
    /// The run of the server that ended.
    pub(crate) run: ServerRunId,
    /// The fingerprint of the request.
    pub(crate) request: u64,
    /// The parts of its prompt that other requests may have.
    pub(crate) parts: Vec<PromptPart>,
    /// How long the server had had the request when the connection broke.
    pub(crate) in_flight: Duration,
    /// How long before the report the connection broke.
    pub(crate) since_break: Duration,
    /// What the VM that reports it has seen, if that is another VM.
    pub(crate) witness: Option<Witness>,
}

/// How many answers another VM had seen begin when it reported a crash. A VM tells the others if
/// one of these answers had a part that a report names.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Witness {
    /// Identifies the VM by a hash of its address.
    pub(crate) vm: u64,
    /// The number of answers that had begun at the VM.
    pub(crate) begun_answers: u64,
}

impl Witness {
    /// The witness with an address.
    pub(crate) fn new(vm: SocketAddr, begun_answers: u64) -> Self {
        Self {
            vm: xxh3_64(vm.to_string().as_bytes()),
            begun_answers,
        }
    }
}

impl CrashReport {
    /// The possible causes of the crash.
    pub(crate) fn causes(&self) -> impl Iterator<Item = CrashCause> + '_ {
        let parts = self.parts.iter().copied().map(CrashCause::Part);
        parts.chain([CrashCause::Request(self.request)])
    }
}
