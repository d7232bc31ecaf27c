//! The texts of earlier configurations, to which newer ones are sent as differences.

use crate::gateway::Document;
use std::collections::VecDeque;

/// The bytes of earlier texts that are kept beyond the newest of them.
const MAX_BYTES: usize = 2 * 1024 * 1024;

/// Earlier texts, the newest last.
#[derive(Debug, Default)]
pub(super) struct DocumentHistory(VecDeque<Document>);

impl DocumentHistory {
    /// Adds the text of a configuration that was replaced.
    pub(super) fn push(&mut self, document: Document) {
        self.0.push_back(document);
        while self.0.len() > 1 && self.total_bytes() > MAX_BYTES {
            self.0.pop_front();
        }
    }

    /// Returns the text with this digest.
    pub(super) fn find(&self, digest: u64) -> Option<Document> {
        let mut newest_first = self.0.iter().rev();
        newest_first.find(|it| it.digest() == digest).cloned()
    }

    fn total_bytes(&self) -> usize {
        self.0.iter().map(Document::len).sum()
    }
}
