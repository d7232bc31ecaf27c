//! What VMs tell each other of crashed servers and of what crashes them.

use crate::gateway::PromptPart;
use crate::gateway::crash_report::{
    CrashCause, CrashReport, MAX_REPORTED_PARTS, ServerRunId, Witness,
};
use prost::Message;
use std::time::Duration;

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

/// A request that a server had not begun to answer when it crashed.
#[derive(Clone, PartialEq, Message)]
pub(super) struct CrashReportMessage {
    /// The fingerprint of the request.
    #[prost(fixed64, tag = "1")]
    request: u64,
    /// The number of crashes with this request, for VMs that know no other evidence.
    #[prost(uint32, tag = "2")]
    crashes: u32,
    /// The run of the server.
    #[prost(fixed64, tag = "3")]
    run: u64,
    /// The parts of the prompt that other requests may have.
    #[prost(fixed64, repeated, tag = "4")]
    parts: Vec<u64>,
    /// Identifies the VM that reports; 0 if it does not say so.
    #[prost(fixed64, tag = "5")]
    witness: u64,
    /// The number of answers that had begun at that VM.
    #[prost(uint64, tag = "6")]
    begun_answers: u64,
    /// How long the server had had the request when the connection broke; 0 if that is not known.
    #[prost(uint32, tag = "7")]
    in_flight_ms: u32,
    /// How long before the report the connection broke.
    #[prost(uint32, tag = "8")]
    since_break_ms: u32,
}

impl CrashReportMessage {
    /// Encodes a report.
    pub(super) fn of(report: &CrashReport) -> Self {
        Self {
            request: report.request,
            crashes: 1,
            run: report.run.0,
            parts: report.parts.iter().map(|part| part.0).collect(),
            witness: report.witness.map_or(0, |witness| witness.vm),
            begun_answers: report.witness.map_or(0, |witness| witness.begun_answers),
            in_flight_ms: millis(report.in_flight),
            since_break_ms: millis(report.since_break),
        }
    }

    /// The report; `None` if it does not say which run of a server ended.
    pub(super) fn report(&self) -> Option<CrashReport> {
        let parts = self.parts.iter().take(MAX_REPORTED_PARTS);
        (self.run != 0).then(|| CrashReport {
            run: ServerRunId(self.run),
            request: self.request,
            parts: parts.map(|part| PromptPart(*part)).collect(),
            in_flight: Duration::from_millis(u64::from(self.in_flight_ms)),
            since_break: Duration::from_millis(u64::from(self.since_break_ms)),
            witness: (self.witness != 0).then_some(Witness {
                vm: self.witness,
                begun_answers: self.begun_answers,
            }),
        })
    }
}

/// A cause of crashes.
#[derive(Clone, Copy, PartialEq, Message)]
pub(super) struct CrashCauseMessage {
    /// Whether it is a single request.
    #[prost(bool, tag = "1")]
    is_request: bool,
    /// The fingerprint of the request, or the part.
    #[prost(fixed64, tag = "2")]
    id: u64,
}

impl CrashCauseMessage {
    fn of(cause: CrashCause) -> Self {
        let (is_request, id) = match cause {
            CrashCause::Request(fingerprint) => (true, fingerprint),
            CrashCause::Part(part) => (false, part.0),
        };
        Self { is_request, id }
    }

    fn cause(self) -> CrashCause {
        match self.is_request {
            true => CrashCause::Request(self.id),
            false => CrashCause::Part(PromptPart(self.id)),
        }
    }
}

/// A cause that the crashes of these runs are no longer charged to.
#[derive(Clone, PartialEq, Message)]
pub(super) struct ClearanceMessage {
    #[prost(message, optional, tag = "1")]
    cause: Option<CrashCauseMessage>,
    #[prost(fixed64, repeated, tag = "2")]
    runs: Vec<u64>,
}

impl ClearanceMessage {
    /// Encodes a clearance.
    pub(super) fn of(cause: CrashCause, runs: &[ServerRunId]) -> Self {
        Self {
            cause: Some(CrashCauseMessage::of(cause)),
            runs: runs.iter().map(|run| run.0).collect(),
        }
    }

    /// The cause, and the runs of which it is cleared.
    pub(super) fn clearance(&self) -> Option<(CrashCause, Vec<ServerRunId>)> {
        let cause = self.cause?.cause();
        Some((cause, self.runs.iter().copied().map(ServerRunId).collect()))
    }
}

/// A cause that the sender contains.
#[derive(Clone, Copy, PartialEq, Message)]
pub(super) struct ContainedCauseMessage {
    #[prost(message, optional, tag = "1")]
    cause: Option<CrashCauseMessage>,
    /// The time since a VM last refused a request for it, in milliseconds.
    #[prost(uint32, tag = "2")]
    idle_ms: u32,
}

impl ContainedCauseMessage {
    /// Encodes a contained cause and the time since a request was last refused for it.
    pub(super) fn of(cause: CrashCause, idle: Duration) -> Self {
        Self {
            cause: Some(CrashCauseMessage::of(cause)),
            idle_ms: millis(idle),
        }
    }

    /// The cause, and the time since a request was last refused for it.
    pub(super) fn contained(&self) -> Option<(CrashCause, Duration)> {
        let idle = Duration::from_millis(u64::from(self.idle_ms));
        Some((self.cause?.cause(), idle))
    }
}
