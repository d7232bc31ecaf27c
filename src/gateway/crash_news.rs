//! What this VM has yet to tell its peers of crashed servers.

use crate::gateway::PromptPart;
use crate::gateway::crash_message::{ClearanceMessage, CrashReportMessage};
use crate::gateway::gossip_message::Digest;
use crate::gateway::repeated_news::RepeatedNews;
use std::time::Instant;

/// The maximum number of reports in a message. Each takes some 40 bytes.
const MAX_REPORTS_PER_MESSAGE: usize = 12;
/// The maximum number of clearances in a message. Each takes some 30 bytes.
const MAX_CLEARANCES_PER_MESSAGE: usize = 8;
/// The maximum number of parts in a message with which answers have begun. Each takes eight bytes.
const MAX_BEGUN_PARTS_PER_MESSAGE: usize = 24;

/// Reports, clearances and begun parts that are repeated for a time.
#[derive(Debug, Default)]
pub(super) struct CrashNews {
    reports: RepeatedNews<CrashReportMessage>,
    clearances: RepeatedNews<ClearanceMessage>,
    begun_parts: RepeatedNews<u64>,
}

impl CrashNews {
    /// Adds a report of this VM.
    pub(super) fn push_report(&mut self, report: CrashReportMessage, now: Instant) {
        self.reports.push(report, now);
    }

    /// Adds what an answer to a request of this VM has cleared.
    pub(super) fn push_clearance(&mut self, clearance: ClearanceMessage, now: Instant) {
        self.clearances.push(clearance, now);
    }

    /// Adds a part with which answers began at this VM.
    pub(super) fn push_begun_part(&mut self, part: PromptPart, now: Instant) {
        self.begun_parts.push(part.0, now);
    }

    /// Adds to a message what is sent next.
    pub(super) fn fill(&mut self, message: &mut Digest) {
        message.crashes = self.reports.next(MAX_REPORTS_PER_MESSAGE);
        message.clearances = self.clearances.next(MAX_CLEARANCES_PER_MESSAGE);
        message.begun_parts = self.begun_parts.next(MAX_BEGUN_PARTS_PER_MESSAGE);
    }

    /// Drops what has been repeated for long enough.
    pub(super) fn prune_expired(&mut self, now: Instant) {
        self.reports.prune_expired(now);
        self.clearances.prune_expired(now);
        self.begun_parts.prune_expired(now);
    }
}
