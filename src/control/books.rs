//! The book of one runner's accelerator memory.

use super::{Artifact, Outcome, Verdict};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Where a copy stands between the order to load it and its memory being free.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub(crate) enum CopyState {
    /// Ordered to load.
    Loading,
    /// Loaded.
    Resident,
    /// Ordered to unload.
    Unloading,
    /// Unloaded, but an old order to load it may still arrive.
    Reserved,
}

/// One artifact in a runner's memory.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct Copy {
    /// Memory it takes or may come to take.
    pub(crate) mib: u64,
    /// Where it stands.
    pub(crate) state: CopyState,
    /// The fence of its last order.
    pub(crate) intent: u64,
    /// Whether an old order to load it may still arrive.
    pub(crate) unclean: bool,
}

/// What one runner's memory holds or may come to hold.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub(crate) struct RunnerBook {
    /// The run of the engine that the book is about.
    pub(crate) boot: u64,
    /// Every artifact with memory set aside.
    pub(crate) copies: BTreeMap<Artifact, Copy>,
}

impl RunnerBook {
    /// Memory taken, or set aside for orders that may still arrive.
    pub(crate) fn taken_mib(&self) -> u64 {
        self.copies.values().map(|copy| copy.mib).sum()
    }

    /// Whether the artifact is loaded.
    pub(crate) fn is_resident(&self, artifact: &Artifact) -> bool {
        self.copies
            .get(artifact)
            .is_some_and(|copy| copy.state == CopyState::Resident)
    }

    /// Whether the artifact is loaded or ordered to load.
    pub(crate) fn is_coming(&self, artifact: &Artifact) -> bool {
        self.copies
            .get(artifact)
            .is_some_and(|copy| matches!(copy.state, CopyState::Loading | CopyState::Resident))
    }

    pub(super) fn load(
        &mut self,
        fence: u64,
        artifact: &Artifact,
        mib: u64,
        room_mib: u64,
    ) -> Verdict {
        let (reserved_mib, unclean) = match self.copies.get(artifact) {
            None => (0, false),
            Some(copy) if copy.state == CopyState::Reserved => (copy.mib, copy.unclean),
            Some(_) => return Verdict::Refused,
        };
        if self.taken_mib() - reserved_mib + mib > room_mib {
            return Verdict::Refused;
        }
        self.copies.insert(
            artifact.clone(),
            Copy {
                mib,
                state: CopyState::Loading,
                intent: fence,
                unclean,
            },
        );
        Verdict::Accepted
    }

    pub(super) fn unload(&mut self, fence: u64, artifact: &Artifact) -> Verdict {
        match self.copies.get_mut(artifact) {
            Some(copy) if copy.state == CopyState::Resident => {
                copy.state = CopyState::Unloading;
                copy.intent = fence;
                Verdict::Accepted
            }
            _ => Verdict::Refused,
        }
    }

    pub(super) fn settle(&mut self, intent: u64, outcome: Outcome, clean: bool) -> Verdict {
        let Some((artifact, copy)) = self
            .copies
            .iter_mut()
            .find(|(_, copy)| copy.intent == intent)
        else {
            return Verdict::Refused;
        };
        let artifact = artifact.clone();
        match (copy.state, outcome) {
            (CopyState::Loading, Outcome::Done) => {
                copy.state = CopyState::Resident;
                copy.unclean |= !clean;
            }
            (CopyState::Unloading, Outcome::Failed) => copy.state = CopyState::Resident,
            (CopyState::Loading, Outcome::Failed) => {
                copy.unclean |= !clean;
                self.free(&artifact);
            }
            (CopyState::Unloading, Outcome::Done) => self.free(&artifact),
            (CopyState::Resident | CopyState::Reserved, _) => return Verdict::Refused,
        }
        Verdict::Accepted
    }

    pub(super) fn adopt(
        &mut self,
        fence: u64,
        artifact: &Artifact,
        mib: u64,
        boot: u64,
    ) -> Verdict {
        if self.boot == 0 {
            self.boot = boot;
        }
        let unclean = match self.copies.get(artifact) {
            None => false,
            Some(copy) if copy.state == CopyState::Reserved => copy.unclean,
            Some(_) => return Verdict::Refused,
        };
        self.copies.insert(
            artifact.clone(),
            Copy {
                mib,
                state: CopyState::Resident,
                intent: fence,
                unclean,
            },
        );
        Verdict::Accepted
    }

    /// The engine started anew: what was loaded is gone, orders stay open.
    pub(super) fn reset(&mut self, boot: u64) -> Verdict {
        if self.boot == boot {
            return Verdict::Refused;
        }
        self.boot = boot;
        let gone: Vec<Artifact> = self
            .copies
            .iter()
            .filter(|(_, copy)| copy.state != CopyState::Loading)
            .map(|(artifact, _)| artifact.clone())
            .collect();
        for artifact in gone {
            self.free(&artifact);
        }
        Verdict::Accepted
    }

    /// Frees the memory of a copy, unless an old order may still arrive.
    fn free(&mut self, artifact: &Artifact) {
        match self.copies.get_mut(artifact) {
            Some(copy) if copy.unclean => copy.state = CopyState::Reserved,
            _ => {
                self.copies.remove(artifact);
            }
        }
    }
}
