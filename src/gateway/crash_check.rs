//! Learns whether a server crashed whose connection broke with a request in flight.

use crate::client::{Listening, probe_listening};
use crate::gateway::call::Call;
use crate::gateway::crash_report::{CrashReport, ServerRunId};
use crate::gateway::fleet::Server;
use crate::gateway::state::State;
use crate::inventory::Name;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::{info, warn};

/// The number of events after which a server has begun an answer: one that crashes at the beginning
/// may still send some.
pub(super) const BEGUN_EVENTS: u32 = 3;
/// How long a server may take to accept a new connection before it counts as gone.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a refused connection is not taken for a crash while it is in doubt whether this VM
/// reaches any server.
const DOUBT_TIME: Duration = Duration::from_millis(800);

/// How a connection to a server ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Break {
    /// The server or the network ended it, or what it carried was unusable.
    Cut,
    /// The server sent nothing for too long.
    Silence,
}

/// A check for a crash.
#[derive(Debug)]
pub(super) struct CrashCheck {
    state: Rc<State>,
    server: Rc<Server>,
    request_id: Name,
    report: CrashReport,
    sent_at: Option<Instant>,
    broken: Break,
    events: u32,
}

impl CrashCheck {
    /// Prepares the check of a server that had sent a number of events.
    pub(super) fn new(
        state: Rc<State>,
        call: &Call,
        server: &Rc<Server>,
        broken: Break,
        events: u32,
    ) -> Self {
        let parts = &call.request.shared_parts;
        let parts = state.containment.borrow().reportable_parts(parts);
        Self {
            state,
            server: server.clone(),
            request_id: call.request.id.clone(),
            report: CrashReport {
                run: ServerRunId::of(&server.incarnation()),
                request: call.fingerprint,
                parts,
                in_flight: Duration::ZERO,
                since_break: Duration::ZERO,
                witness: None,
            },
            sent_at: call.last_dispatch.map(|dispatch| dispatch.at),
            broken,
            events,
        }
    }

    /// Whether the server had begun its answer, so that the request did not crash it.
    pub(super) fn has_begun(&self) -> bool {
        self.events >= BEGUN_EVENTS
    }

    /// Finds out whether the server crashed whose connection broke at a time, and reports the request
    /// to all VMs if it may be the cause.
    pub(super) async fn run(self, broken_at: Instant) {
        let listening = probe_listening(self.server.address, PROBE_TIMEOUT).await;
        let is_gone = match listening {
            Listening::Yes => false,
            Listening::No => true,
            Listening::Unknown => self.broken == Break::Cut,
        };
        let CrashReport { request, parts, .. } = &self.report;
        if !is_gone || is_cut_off_from_servers(&self.state).await {
            info!(
                request = %self.request_id,
                server = %self.server.id,
                ?listening,
                ?parts,
                events = self.events,
                "broken connection is no crash"
            );
            return;
        }
        warn!(
            request = %self.request_id,
            server = %self.server.id,
            fingerprint = request,
            ?listening,
            ?parts,
            events = self.events,
            "server crashed"
        );
        if !self.has_begun() {
            let now = Instant::now();
            let in_flight = self
                .sent_at
                .map(|at| broken_at.saturating_duration_since(at));
            let report = CrashReport {
                in_flight: in_flight.unwrap_or_default(),
                since_break: now - broken_at,
                ..self.report
            };
            self.state.report_crash(&report, now);
        }
    }
}

/// Whether this VM reaches no server; waits for probes while that is in doubt.
async fn is_cut_off_from_servers(state: &State) -> bool {
    if state.is_reachability_doubted() {
        compio::time::sleep(DOUBT_TIME).await;
    }
    state.is_reachability_doubted()
}
