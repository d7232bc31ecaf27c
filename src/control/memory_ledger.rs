//! The book of one runner's accelerator memory.

use super::{Artifact, HeldCopy, Outcome, Verdict};
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
    /// Not loaded, but an old order to load it may still arrive.
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
    /// The fence of the claim that its last order was given under.
    pub(crate) claim: u64,
    /// Whether an old order to load it may still arrive.
    pub(crate) unclean: bool,
}

/// The fence of an order and that of its claim.
#[derive(Clone, Copy, Debug)]
pub(super) struct Given {
    pub(super) fence: u64,
    pub(super) claim: u64,
}

impl Given {
    fn copy(self, mib: u64, state: CopyState, unclean: bool) -> Copy {
        Copy {
            mib,
            state,
            intent: self.fence,
            claim: self.claim,
            unclean,
        }
    }
}

/// What one runner's memory holds or may come to hold.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub(crate) struct MemoryLedger {
    /// The run of the engine that the book is about.
    pub(crate) boot: u64,
    /// Whether the runner was recorded as not answering.
    pub(crate) down: bool,
    /// Every artifact with memory set aside.
    pub(crate) copies: BTreeMap<Artifact, Copy>,
}

impl MemoryLedger {
    /// The book of a runner that was never given an order.
    pub(super) const fn new() -> Self {
        Self {
            boot: 0,
            down: false,
            copies: BTreeMap::new(),
        }
    }

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

    /// Whether memory is set aside only for orders that may still arrive.
    pub(crate) fn has_reserved(&self) -> bool {
        self.copies
            .values()
            .any(|copy| copy.state == CopyState::Reserved)
    }

    /// Orders to load that are not settled.
    pub(crate) fn open_loads(&self) -> usize {
        self.copies
            .values()
            .filter(|copy| copy.state == CopyState::Loading)
            .count()
    }

    /// Memory set aside for late orders to load this very artifact.
    pub(crate) fn reserved_mib(&self, artifact: &Artifact) -> u64 {
        self.copies
            .get(artifact)
            .filter(|copy| copy.state == CopyState::Reserved)
            .map_or(0, |copy| copy.mib)
    }

    pub(super) fn load(
        &mut self,
        given: Given,
        artifact: &Artifact,
        mib: u64,
        room_mib: u64,
    ) -> Verdict {
        let unclean = match self.copies.get(artifact) {
            None => false,
            Some(copy) if copy.state == CopyState::Reserved => copy.unclean,
            Some(_) => return Verdict::Refused,
        };
        let reserved_mib = self.reserved_mib(artifact);
        // The late order may name another size than this one.
        let mib = mib.max(reserved_mib);
        if self.down || self.taken_mib() - reserved_mib + mib > room_mib {
            return Verdict::Refused;
        }
        let copy = given.copy(mib, CopyState::Loading, unclean);
        self.copies.insert(artifact.clone(), copy);
        Verdict::Accepted
    }

    pub(super) fn unload(&mut self, given: Given, artifact: &Artifact) -> Verdict {
        match self.copies.get_mut(artifact) {
            Some(copy) if copy.state == CopyState::Resident => {
                *copy = given.copy(copy.mib, CopyState::Unloading, copy.unclean);
                Verdict::Accepted
            }
            _ => Verdict::Refused,
        }
    }

    pub(super) fn settle(
        &mut self,
        artifact: &Artifact,
        intent: u64,
        outcome: Outcome,
        clean: bool,
    ) -> Verdict {
        let copy = self.copies.get_mut(artifact);
        let Some(copy) = copy.filter(|copy| copy.intent == intent) else {
            return Verdict::Refused;
        };
        match (copy.state, outcome) {
            (CopyState::Loading, Outcome::Done) => {
                copy.state = CopyState::Resident;
                copy.unclean |= !clean;
            }
            (CopyState::Unloading, Outcome::Failed) => copy.state = CopyState::Resident,
            (CopyState::Loading, Outcome::Failed) => {
                copy.unclean |= !clean;
                self.free(artifact);
            }
            (CopyState::Unloading, Outcome::Done) => self.free(artifact),
            (CopyState::Resident | CopyState::Reserved, _) => return Verdict::Refused,
        }
        Verdict::Accepted
    }

    /// Enters what the engine holds though the book has no copy of it.
    pub(super) fn adopt(&mut self, given: Given, held: &HeldCopy, boot: u64) -> Verdict {
        if self.boot != boot {
            return Verdict::Refused;
        }
        let (mib, unclean) = match self.copies.get(&held.artifact) {
            None => (held.mib, false),
            Some(copy) if copy.state == CopyState::Reserved => {
                (copy.mib.max(held.mib), copy.unclean)
            }
            Some(_) => return Verdict::Refused,
        };
        let copy = given.copy(mib, held.state, unclean);
        self.copies.insert(held.artifact.clone(), copy);
        Verdict::Accepted
    }

    /// The engine does not hold a copy any more that it held before.
    pub(super) fn lose(&mut self, artifact: &Artifact, boot: u64) -> Verdict {
        if self.boot != boot || !self.is_resident(artifact) {
            return Verdict::Refused;
        }
        self.free(artifact);
        Verdict::Accepted
    }

    /// The runner does not answer: its orders are given up, but may still arrive.
    pub(super) fn mark_down(&mut self) -> Verdict {
        if self.down || self.boot == 0 {
            return Verdict::Refused;
        }
        self.down = true;
        self.give_up_loads();
        Verdict::Accepted
    }

    /// Begins anew with what the engine holds after a start or a silence.
    ///
    /// `fenced` says that no order from before can arrive any more.
    pub(super) fn reset(
        &mut self,
        given: Given,
        boot: u64,
        fenced: bool,
        held: &[HeldCopy],
    ) -> Verdict {
        let restarted = self.boot != boot;
        if !restarted && !self.down && !fenced {
            return Verdict::Refused;
        }
        self.boot = boot;
        self.down = false;
        if fenced {
            self.copies.clear();
        } else if restarted {
            self.free_loaded();
        }
        for held in held {
            // A copy with an open order is followed by that order.
            let _ = self.adopt(given, held, boot);
        }
        Verdict::Accepted
    }

    /// Keeps only what late orders may still take, for a runner that is not listed any more.
    pub(super) fn retire(&mut self) {
        self.give_up_loads();
        self.free_loaded();
        self.boot = 0;
        self.down = false;
    }

    fn give_up_loads(&mut self) {
        let loading = |copy: &&mut Copy| copy.state == CopyState::Loading;
        for copy in self.copies.values_mut().filter(loading) {
            copy.state = CopyState::Reserved;
            copy.unclean = true;
        }
    }

    fn free_loaded(&mut self) {
        let loaded: Vec<Artifact> = self
            .copies
            .iter()
            .filter(|(_, copy)| copy.state != CopyState::Loading)
            .map(|(artifact, _)| artifact.clone())
            .collect();
        for artifact in loaded {
            self.free(&artifact);
        }
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
