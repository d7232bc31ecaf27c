//! The ledger of one runner's accelerator memory.

use super::{Artifact, HeldCopy, Outcome, Verdict};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// State of a copy, from the order to load it until its memory is free.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub(crate) enum CopyState {
    /// Ordered to load.
    Loading,
    /// Loaded.
    Resident,
    /// Ordered to unload.
    Unloading,
    /// Not loaded, but a delayed order to load it may still reach the runner.
    Reserved,
}

/// An artifact that occupies memory of a runner, or may do so later.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct Copy {
    /// Memory that the copy occupies or that is reserved for it, in MiB.
    pub(crate) mib: u64,
    /// State of the copy.
    pub(crate) state: CopyState,
    /// The fence of the last order about the copy.
    pub(crate) intent: u64,
    /// The fence of the leadership claim under which that order was recorded.
    pub(crate) claim: u64,
    /// Whether a delayed order to load the artifact may still reach the runner. When the copy
    /// is freed, its memory then stays reserved.
    pub(crate) unclean: bool,
}

/// The fence of an order, and the fence of the leadership claim it was recorded under.
#[derive(Clone, Copy, Debug)]
pub(super) struct OrderFences {
    pub(super) fence: u64,
    pub(super) claim: u64,
}

impl OrderFences {
    fn new_copy(self, mib: u64, state: CopyState, unclean: bool) -> Copy {
        Copy {
            mib,
            state,
            intent: self.fence,
            claim: self.claim,
            unclean,
        }
    }
}

/// Every copy that occupies memory of one runner, or may do so later.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub(crate) struct MemoryLedger {
    /// The run of the engine that the ledger describes; 0 while none is known.
    pub(crate) boot: u64,
    /// Whether the runner is recorded as not answering.
    pub(crate) down: bool,
    /// The copies by artifact.
    pub(crate) copies: BTreeMap<Artifact, Copy>,
}

impl MemoryLedger {
    /// Creates the ledger of a runner for which nothing is recorded.
    pub(super) const fn new() -> Self {
        Self {
            boot: 0,
            down: false,
            copies: BTreeMap::new(),
        }
    }

    /// Memory taken by copies or reserved for delayed orders, in MiB.
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
    pub(crate) fn is_resident_or_loading(&self, artifact: &Artifact) -> bool {
        self.copies
            .get(artifact)
            .is_some_and(|copy| matches!(copy.state, CopyState::Loading | CopyState::Resident))
    }

    /// Whether any memory is reserved for delayed orders alone.
    pub(crate) fn has_reserved(&self) -> bool {
        self.copies
            .values()
            .any(|copy| copy.state == CopyState::Reserved)
    }

    /// Number of load orders whose outcome is not recorded yet.
    pub(crate) fn open_loads(&self) -> usize {
        self.copies
            .values()
            .filter(|copy| copy.state == CopyState::Loading)
            .count()
    }

    /// Memory reserved for delayed orders to load this artifact, in MiB.
    pub(crate) fn reserved_mib(&self, artifact: &Artifact) -> u64 {
        self.copies
            .get(artifact)
            .filter(|copy| copy.state == CopyState::Reserved)
            .map_or(0, |copy| copy.mib)
    }

    pub(super) fn load(
        &mut self,
        fences: OrderFences,
        artifact: &Artifact,
        mib: u64,
        capacity_mib: u64,
    ) -> Verdict {
        let unclean = match self.copies.get(artifact) {
            None => false,
            Some(copy) if copy.state == CopyState::Reserved => copy.unclean,
            Some(_) => return Verdict::Refused,
        };
        let reserved_mib = self.reserved_mib(artifact);
        // The delayed order may name another size than this one.
        let mib = mib.max(reserved_mib);
        if self.down || self.taken_mib() - reserved_mib + mib > capacity_mib {
            return Verdict::Refused;
        }
        let copy = fences.new_copy(mib, CopyState::Loading, unclean);
        self.copies.insert(artifact.clone(), copy);
        Verdict::Accepted
    }

    pub(super) fn unload(&mut self, fences: OrderFences, artifact: &Artifact) -> Verdict {
        match self.copies.get_mut(artifact) {
            Some(copy) if copy.state == CopyState::Resident => {
                *copy = fences.new_copy(copy.mib, CopyState::Unloading, copy.unclean);
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

    /// Records a copy that the engine holds, where the ledger has none or only reserves memory.
    pub(super) fn adopt(&mut self, fences: OrderFences, held: &HeldCopy, boot: u64) -> Verdict {
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
        let copy = fences.new_copy(mib, held.state, unclean);
        self.copies.insert(held.artifact.clone(), copy);
        Verdict::Accepted
    }

    /// Removes a resident copy that the engine no longer holds.
    pub(super) fn lose(&mut self, artifact: &Artifact, boot: u64) -> Verdict {
        if self.boot != boot || !self.is_resident(artifact) {
            return Verdict::Refused;
        }
        self.free(artifact);
        Verdict::Accepted
    }

    /// Marks a runner that does not answer as down. Its open loads are abandoned, with their
    /// memory reserved since the orders may still reach it.
    pub(super) fn mark_down(&mut self) -> Verdict {
        if self.down || self.boot == 0 {
            return Verdict::Refused;
        }
        self.down = true;
        self.abandon_loads();
        Verdict::Accepted
    }

    /// Rebuilds the ledger from what the engine holds, after it restarted or answers again.
    ///
    /// `fenced` says that the engine refuses all earlier orders.
    pub(super) fn reset(
        &mut self,
        fences: OrderFences,
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
            self.free_all_but_loading();
        }
        for held in held {
            // Refused for copies that are already in the ledger: their open order decides their
            // state.
            let _ = self.adopt(fences, held, boot);
        }
        Verdict::Accepted
    }

    /// Keeps only the memory reserved for delayed orders, once the runner left the inventory.
    pub(super) fn retire(&mut self) {
        self.abandon_loads();
        self.free_all_but_loading();
        self.boot = 0;
        self.down = false;
    }

    fn abandon_loads(&mut self) {
        let loading = |copy: &&mut Copy| copy.state == CopyState::Loading;
        for copy in self.copies.values_mut().filter(loading) {
            copy.state = CopyState::Reserved;
            copy.unclean = true;
        }
    }

    fn free_all_but_loading(&mut self) {
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

    /// Frees the memory of a copy, or keeps it reserved if a delayed order may still arrive.
    fn free(&mut self, artifact: &Artifact) {
        match self.copies.get_mut(artifact) {
            Some(copy) if copy.unclean => copy.state = CopyState::Reserved,
            _ => {
                self.copies.remove(artifact);
            }
        }
    }
}
