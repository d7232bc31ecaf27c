//! Connects the decision on what crashes servers with this VM's requests and its peers.

use crate::gateway::PromptPart;
use crate::gateway::call::Call;
use crate::gateway::crash_message::ClearanceMessage;
use crate::gateway::crash_report::{CrashCause, CrashReport, ServerRunId, Witness};
use crate::gateway::start_knowledge::StartKnowledge;
use crate::gateway::state::State;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tracing::{info, warn};

/// What a peer tells of crashed servers.
#[derive(Debug, Default)]
pub(super) struct PeerCrashNews {
    pub(super) reports: Vec<CrashReport>,
    pub(super) clearances: Vec<(CrashCause, Vec<ServerRunId>)>,
    /// Parts of reported prompts with which answers began at the peer.
    pub(super) begun_parts: Vec<PromptPart>,
    /// Whether `contained` is all that is contained, as the peer was told.
    pub(super) is_complete: bool,
    /// Contained causes, each with the time since a request was last refused for it.
    pub(super) contained: Vec<(CrashCause, Duration)>,
}

impl PeerCrashNews {
    /// Whether the peer tells nothing.
    pub(super) fn is_empty(&self) -> bool {
        self.reports.is_empty()
            && self.clearances.is_empty()
            && self.begun_parts.is_empty()
            && self.contained.is_empty()
            && !self.is_complete
    }
}

impl State {
    /// Records that a server crashed that had not begun to answer a request of this VM, and tells
    /// all peers.
    pub(super) fn report_crash(&self, report: &CrashReport, now: Instant) {
        let is_new = self.containment.borrow_mut().record_crash(report, now);
        if is_new {
            let begun_answers = self.containment.borrow().begun_answers();
            let told = CrashReport {
                witness: Some(Witness::new(self.settings.peer_address, begun_answers)),
                ..report.clone()
            };
            self.peers.outbox.report_crash(&told, now);
            self.settle_containment(now);
        }
    }

    /// Applies what a peer tells of crashed servers.
    pub(super) fn apply_crash_news(&self, peer: SocketAddr, news: &PeerCrashNews, now: Instant) {
        let mut containment = self.containment.borrow_mut();
        let mut has_evidence = false;
        for report in &news.reports {
            if !containment.record_crash(report, now) {
                continue;
            }
            has_evidence = true;
            info!(
                %peer,
                run = report.run.0,
                fingerprint = report.request,
                parts = ?report.parts,
                "crash report received"
            );
            for part in &report.parts {
                if containment.has_begun_here(*part) {
                    let mut crash_news = self.peers.outbox.crash_news.borrow_mut();
                    crash_news.push_begun_part(*part, now);
                }
            }
        }
        for (cause, runs) in &news.clearances {
            has_evidence |= containment.clear(*cause, runs);
        }
        for part in &news.begun_parts {
            has_evidence |= containment.record_begun_elsewhere(*part);
        }
        for (cause, idle) in &news.contained {
            if containment.contain(*cause, *idle, now) {
                warn!(%peer, ?cause, "contained by a peer");
                has_evidence = true;
            }
        }
        drop(containment);
        if news.is_complete {
            self.containment_knowledge.set(StartKnowledge::Told);
        }
        if has_evidence {
            self.changed.notify();
            self.settle_containment(now);
        }
    }

    /// Contains a cause that the log names.
    pub(super) fn contain_stored(&self, cause: CrashCause, idle: Duration, now: Instant) {
        if self.containment.borrow_mut().contain(cause, idle, now) {
            warn!(?cause, "contained according to the log");
            self.settle_containment(now);
        }
    }

    /// Records that a server has begun to answer a request that was sent to it at a time.
    pub(super) fn record_begun_answer(&self, call: &Call, sent_at: Instant) {
        let mut containment = self.containment.borrow_mut();
        let parts = &call.request.shared_parts;
        let cleared = containment.record_begun_answer(call.fingerprint, parts, sent_at);
        drop(containment);
        if cleared.is_empty() {
            return;
        }
        let now = Instant::now();
        let mut crash_news = self.peers.outbox.crash_news.borrow_mut();
        for (cause, runs) in &cleared {
            crash_news.push_clearance(ClearanceMessage::of(*cause, runs), now);
        }
        drop(crash_news);
        self.settle_containment(now);
    }

    /// Whether a request would crash servers, as far as is known.
    pub(super) fn is_contained(&self, call: &Call) -> bool {
        let parts = &call.request.shared_parts;
        let mut containment = self.containment.borrow_mut();
        let cause = containment.cause_of(call.fingerprint, parts, Instant::now());
        cause.is_some()
    }

    /// Whether a crash with the request in flight would make it a suspect.
    pub(super) fn may_be_crash_suspect(&self, call: &Call) -> bool {
        let containment = self.containment.borrow();
        containment.has_unknown_part(&call.request.shared_parts)
    }

    /// Whether a request may be the one that crashed a server.
    pub(super) fn is_crash_suspect(&self, call: &Call) -> bool {
        let containment = self.containment.borrow();
        containment.has_suspect(&call.request.shared_parts)
    }

    /// Decides anew what is contained.
    pub(super) fn settle_containment(&self, now: Instant) {
        let mut containment = self.containment.borrow_mut();
        let changes = containment.update(now);
        let count = containment.contained_count();
        drop(containment);
        self.metrics.contained_causes.set(count as i64);
        for change in &changes {
            let (cause, crashes) = (change.cause, change.crashes);
            match change.is_contained {
                true => warn!(?cause, crashes, "requests contained"),
                false => info!(?cause, crashes, "requests no longer contained"),
            }
        }
        if !changes.is_empty() {
            // Requests that wait for a server may be among them.
            self.changed.notify();
        }
    }
}
