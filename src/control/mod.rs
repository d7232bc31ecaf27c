//! The control stream: configuration, leadership claims, orders to engines and crash suspects.
//!
//! Every VM folds the same records in the same order. A command that the fold refuses has no
//! effect, so that no writer's mistake can overcommit a runner's memory.

mod artifact;
mod command;
mod crash_suspects;
mod memory_ledger;
#[cfg(test)]
mod tests;

pub(crate) use artifact::Artifact;
pub(crate) use command::{ClaimRef, Command, HeldCopy, Outcome, Verdict};
pub(crate) use crash_suspects::{SuspectCommand, SuspectStatus, Suspects};
pub(crate) use memory_ledger::{Copy, CopyState, MemoryLedger};

use crate::inventory::{Inventory, Name};
use crate::replica::{Fold, Position};
use memory_ledger::OrderFences;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::mem;
use std::net::SocketAddr;
use std::rc::Rc;

/// Maximum number of open loads: as many as the weight store serves at full speed.
pub(crate) const MAX_OPEN_LOADS: usize = 6;

/// The leadership of a group of runners.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct Claim {
    /// Name of the VM that made the claim.
    pub(crate) vm: Name,
    /// Writer name of the VM's process that made the claim, unique to one run of it.
    pub(crate) writer: Name,
    /// The fence of the claim, repeated by all commands recorded under it.
    pub(crate) fence: u64,
}

/// The folded state of the control stream.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub(crate) struct Control {
    /// The revision in force: the fence of the last accepted publication, 0 for none.
    pub(crate) revision: u64,
    /// The inventory in force.
    pub(crate) inventory: Rc<Inventory>,
    /// The current claim on each group of runners.
    pub(crate) claims: BTreeMap<Name, Claim>,
    /// The memory ledger of each runner, by name.
    #[serde(rename = "books")]
    pub(crate) ledgers: BTreeMap<Name, MemoryLedger>,
    /// Ledgers of addresses that left the inventory, with memory reserved for delayed orders.
    pub(crate) retired: BTreeMap<SocketAddr, MemoryLedger>,
    /// Requests that may crash runners.
    pub(crate) suspects: Suspects,
}

impl Control {
    /// The memory ledger of a runner, empty if nothing is recorded for it.
    pub(crate) fn ledger(&self, runner: &str) -> &MemoryLedger {
        static EMPTY: MemoryLedger = MemoryLedger::new();
        self.ledgers.get(runner).unwrap_or(&EMPTY)
    }

    /// The runners not marked down on which an artifact is resident.
    pub(crate) fn resident_on<'a>(
        &'a self,
        artifact: &'a Artifact,
    ) -> impl Iterator<Item = &'a Name> {
        self.ledgers
            .iter()
            .filter(|(_, ledger)| !ledger.down && ledger.is_resident(artifact))
            .map(|(runner, _)| runner)
    }

    /// Number of load orders on all runners whose outcome is not recorded yet.
    pub(crate) fn open_loads(&self) -> usize {
        self.ledgers.values().map(MemoryLedger::open_loads).sum()
    }

    fn publish(&mut self, fence: u64, base: u64, inventory: Rc<Inventory>) -> Verdict {
        if base != self.revision {
            return Verdict::Refused;
        }
        self.revision = fence;
        self.reassign_ledgers(&inventory);
        self.inventory = inventory;
        Verdict::Accepted
    }

    /// Assigns each runner of the new inventory the ledger of its address, even if it was
    /// renamed, and retires the others.
    fn reassign_ledgers(&mut self, next: &Inventory) {
        let mut by_address = mem::take(&mut self.retired);
        let mut ledgers = mem::take(&mut self.ledgers);
        for server in self.inventory.runners() {
            if let Some(ledger) = ledgers.remove(&server.name) {
                by_address.insert(server.address, ledger);
            }
        }
        for server in next.runners() {
            if let Some(ledger) = by_address.remove(&server.address) {
                self.ledgers.insert(server.name.clone(), ledger);
            }
        }
        by_address.values_mut().for_each(MemoryLedger::retire);
        by_address.retain(|_, ledger| !ledger.copies.is_empty());
        self.retired = by_address;
    }

    fn claim(&mut self, fence: u64, writer: &Name, group: Name, vm: Name, after: u64) -> Verdict {
        let current = self.claims.get(&group).map_or(0, |claim| claim.fence);
        if current != after {
            return Verdict::Refused;
        }
        let writer = writer.clone();
        self.claims.insert(group, Claim { vm, writer, fence });
        Verdict::Accepted
    }

    /// Whether `claim` is the current claim on the group and `writer` made it.
    fn holds_claim(&self, writer: &Name, group: &Name, claim: u64) -> bool {
        self.claims
            .get(group)
            .is_some_and(|current| current.fence == claim && current.writer == *writer)
    }

    /// Whether unloading the copy would leave a listed model or adapter without a ready copy.
    pub(crate) fn is_last_copy(&self, runner: &str, artifact: &Artifact) -> bool {
        let Some(model) = self.inventory.model(&artifact.model) else {
            return false;
        };
        if let Some(adapter) = &artifact.adapter
            && model.adapter(adapter).is_none()
        {
            return false;
        }
        !self.ledgers.iter().any(|(name, ledger)| {
            self.accepts_requests(name, ledger)
                && ledger.copies.iter().any(|(other, copy)| {
                    copy.state == CopyState::Resident
                        && other.has_same_name(artifact)
                        && !(name == runner && other == artifact)
                })
        })
    }

    /// Whether the runner may receive requests: it is listed, not leaving and not marked down.
    fn accepts_requests(&self, runner: &str, ledger: &MemoryLedger) -> bool {
        let server = self.inventory.backend_server(runner);
        !ledger.down && server.is_some_and(|server| !server.leaving)
    }

    /// Memory of an artifact in MiB, if the inventory lists this version.
    fn weights_mib(&self, artifact: &Artifact) -> Option<u64> {
        let model = self.inventory.model(&artifact.model)?;
        let (version, mib) = match &artifact.adapter {
            None => (&model.version, model.weights_mib),
            Some(name) => {
                let adapter = model.adapter(name)?;
                (&adapter.version, adapter.weights_mib)
            }
        };
        (*version == artifact.version).then_some(mib)
    }

    /// Checks a load against the inventory in force at its offset, not the writer's view.
    fn load(&mut self, fences: OrderFences, runner: &Name, artifact: &Artifact) -> Verdict {
        let server = self.inventory.backend_server(runner);
        let Some(server) = server.filter(|server| !server.leaving) else {
            return Verdict::Refused;
        };
        let Some(mib) = self.weights_mib(artifact) else {
            return Verdict::Refused;
        };
        if self.open_loads() >= MAX_OPEN_LOADS {
            return Verdict::Refused;
        }
        let capacity_mib = server.weights_capacity_mib();
        let ledger = self.ledgers.entry(runner.clone()).or_default();
        ledger.load(fences, artifact, mib, capacity_mib)
    }

    /// Applies a command about one runner to its ledger.
    fn apply_to_ledger(
        &mut self,
        fences: OrderFences,
        runner: &Name,
        command: &Command,
    ) -> Verdict {
        match command {
            Command::Load { artifact, .. } => return self.load(fences, runner, artifact),
            Command::Unload { artifact, .. } if self.is_last_copy(runner, artifact) => {
                return Verdict::Refused;
            }
            _ => {}
        }
        let ledger = self.ledgers.entry(runner.clone()).or_default();
        match command {
            Command::Unload { artifact, .. } => ledger.unload(fences, artifact),
            Command::Settle {
                artifact,
                intent,
                outcome,
                clean,
                ..
            } => ledger.settle(artifact, *intent, *outcome, *clean),
            Command::Adopt { held, boot, .. } => ledger.adopt(fences, held, *boot),
            Command::Lose { artifact, boot, .. } => ledger.lose(artifact, *boot),
            Command::MarkDown { .. } => ledger.mark_down(),
            Command::Reset {
                boot, fenced, held, ..
            } => ledger.reset(fences, *boot, *fenced, held),
            Command::Fence { .. } => Verdict::Accepted,
            Command::Load { .. }
            | Command::Publish { .. }
            | Command::Amend { .. }
            | Command::Claim { .. }
            | Command::Suspect(_) => Verdict::Refused,
        }
    }

    /// Whether the runner belongs to the group.
    fn is_in_group(&self, runner: &str, group: &str) -> bool {
        self.inventory
            .runners()
            .any(|server| server.name == runner && server.group == group)
    }
}

impl Fold for Control {
    type Command = Command;
    type Verdict = Verdict;

    fn apply(&mut self, position: Position, writer: &Name, command: Command) -> Verdict {
        match command {
            Command::Publish { base, inventory } => self.publish(position.fence, base, inventory),
            Command::Amend { base, change } => {
                let inventory = Rc::new(change.apply(&self.inventory));
                self.publish(position.fence, base, inventory)
            }
            Command::Claim { group, vm, after } => {
                self.claim(position.fence, writer, group, vm, after)
            }
            Command::Suspect(command) => self.suspects.apply(position, command),
            command => {
                let Some((under, runner)) = command.claim_and_runner() else {
                    return Verdict::Refused;
                };
                if !self.holds_claim(writer, &under.group, under.claim)
                    || !self.is_in_group(runner, &under.group)
                {
                    return Verdict::Refused;
                }
                let fences = OrderFences {
                    fence: position.fence,
                    claim: under.claim,
                };
                let runner = runner.clone();
                self.apply_to_ledger(fences, &runner, &command)
            }
        }
    }
}
