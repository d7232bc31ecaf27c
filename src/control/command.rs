//! Commands of the control stream.

use super::{Artifact, CopyState, SuspectCommand};
use crate::inventory::{Inventory, InventoryChange, Name};
use serde::{Deserialize, Serialize};
use std::rc::Rc;

/// The leadership claim under which a command is recorded.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct ClaimRef {
    /// Name of the group of runners.
    pub(crate) group: Name,
    /// The fence of the claim.
    pub(crate) claim: u64,
}

/// How an order ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) enum Outcome {
    /// The engine reports the order as carried out.
    Done,
    /// The engine refused the order, or the order can no longer arrive.
    Failed,
}

/// A copy that an engine reports.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct HeldCopy {
    /// The artifact.
    pub(crate) artifact: Artifact,
    /// Memory that the copy takes, in MiB.
    pub(crate) mib: u64,
    /// State of the copy.
    pub(crate) state: CopyState,
}

/// A command that a writer appends to the control stream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) enum Command {
    /// Puts an inventory in force, if `base` is the revision in force.
    Publish { base: u64, inventory: Rc<Inventory> },
    /// Changes the inventory in force, if `base` is the revision in force.
    Amend {
        base: u64,
        change: Rc<InventoryChange>,
    },
    /// Claims the leadership of a group, if `after` is the fence of the current claim.
    Claim { group: Name, vm: Name, after: u64 },
    /// Reserves memory for a copy and permits the order to load it.
    Load {
        under: ClaimRef,
        runner: Name,
        artifact: Artifact,
    },
    /// Permits the order to unload; the memory stays occupied until its outcome is recorded.
    Unload {
        under: ClaimRef,
        runner: Name,
        artifact: Artifact,
    },
    /// Ends an order. `clean` says that no duplicate of the order can still arrive.
    Settle {
        under: ClaimRef,
        runner: Name,
        artifact: Artifact,
        intent: u64,
        outcome: Outcome,
        clean: bool,
    },
    /// Records a copy that the runner holds though no recorded order loaded it.
    Adopt {
        under: ClaimRef,
        runner: Name,
        held: HeldCopy,
        boot: u64,
    },
    /// Records that a runner no longer holds a copy though no recorded order unloaded it.
    Lose {
        under: ClaimRef,
        runner: Name,
        artifact: Artifact,
        boot: u64,
    },
    /// Records that a runner does not answer; its open loads are abandoned.
    MarkDown { under: ClaimRef, runner: Name },
    /// Has no effect but a new fencing token, which makes older ones stale.
    Fence { under: ClaimRef, runner: Name },
    /// Rebuilds a runner's ledger from what it holds, after it restarted or answers again.
    /// `fenced` says that the engine refuses all earlier orders.
    Reset {
        under: ClaimRef,
        runner: Name,
        boot: u64,
        fenced: bool,
        held: Vec<HeldCopy>,
    },
    /// A command about requests that may crash runners.
    Suspect(SuspectCommand),
}

impl Command {
    /// The claim and the runner of a command about a runner's ledger; `None` for others.
    pub(crate) fn claim_and_runner(&self) -> Option<(&ClaimRef, &Name)> {
        match self {
            Self::Load { under, runner, .. }
            | Self::Unload { under, runner, .. }
            | Self::Settle { under, runner, .. }
            | Self::Adopt { under, runner, .. }
            | Self::Lose { under, runner, .. }
            | Self::MarkDown { under, runner }
            | Self::Fence { under, runner }
            | Self::Reset { under, runner, .. } => Some((under, runner)),
            Self::Publish { .. } | Self::Amend { .. } | Self::Claim { .. } | Self::Suspect(_) => {
                None
            }
        }
    }
}

/// The fold's decision on a command.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Verdict {
    /// The command takes effect at its offset in the log.
    Accepted,
    /// The command has no effect, because of an earlier record.
    Refused,
}
