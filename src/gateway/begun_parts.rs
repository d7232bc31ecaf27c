//! The parts of prompts with which answers have begun.

use crate::gateway::PromptPart;
use std::collections::HashSet;

/// The number of parts after which the older half is forgotten.
const MAX_PARTS: usize = 8_192;

/// A bounded memory of parts; the ones that were noted longest ago are forgotten first.
#[derive(Debug, Default)]
pub(crate) struct BegunParts {
    latest: HashSet<PromptPart>,
    earlier: HashSet<PromptPart>,
}

impl BegunParts {
    /// Notes a part.
    pub(crate) fn insert(&mut self, part: PromptPart) {
        if self.latest.contains(&part) {
            return;
        }
        if self.latest.len() >= MAX_PARTS / 2 {
            self.earlier = std::mem::take(&mut self.latest);
        }
        self.latest.insert(part);
    }

    /// Whether the part was noted and is not forgotten.
    pub(crate) fn contains(&self, part: PromptPart) -> bool {
        self.latest.contains(&part) || self.earlier.contains(&part)
    }
}
