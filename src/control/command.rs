//! Commands of the control stream.

use super::{Artifact, CopyState, SuspectCommand};
use crate::inventory::{Inventory, InventoryChange, Name};
use serde::{Deserialize, Serialize};
use std::rc::Rc;

/// The claim that an order is given under.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct ClaimRef {
    /// The group of runners.
    pub(crate) group: Name,
    /// The fence of the claim.
    pub(crate) claim: u64,
}

/// How an order ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) enum Outcome {
    /// The engine reports it done.
    Done,
    /// The engine refused it, or it can no longer arrive.
    Failed,
}

/// What an engine reports to hold.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct HeldCopy {
    /// The artifact.
    pub(crate) artifact: Artifact,
    /// Memory it takes.
    pub(crate) mib: u64,
    /// Where it stands.
    pub(crate) state: CopyState,
}

/// What a writer asks for.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) enum Command {
    /// Puts an inventory in force, if `base` is the revision in force.
    Publish { base: u64, inventory: Rc<Inventory> },
    /// Puts the inventory in force with a change, if `base` is its revision.
    Amend {
        base: u64,
        change: Rc<InventoryChange>,
    },
    /// Takes over a group, if `after` is the fence of the present claim.
    Claim { group: Name, vm: Name, after: u64 },
    /// Sets memory aside and allows the order to load.
    Load {
        under: ClaimRef,
        runner: Name,
        artifact: Artifact,
    },
    /// Allows the order to unload; the memory stays taken until settled.
    Unload {
        under: ClaimRef,
        runner: Name,
        artifact: Artifact,
    },
    /// Ends an order. `clean` says that no copy of it can still arrive.
    Settle {
        under: ClaimRef,
        runner: Name,
        artifact: Artifact,
        intent: u64,
        outcome: Outcome,
        clean: bool,
    },
    /// Enters what a runner holds though no order of ours loaded it.
    Adopt {
        under: ClaimRef,
        runner: Name,
        held: HeldCopy,
        boot: u64,
    },
    /// Notes that a runner does not hold a copy any more that no order of ours unloaded.
    Lose {
        under: ClaimRef,
        runner: Name,
        artifact: Artifact,
        boot: u64,
    },
    /// Notes that a runner does not answer; its open loads are given up.
    MarkDown { under: ClaimRef, runner: Name },
    /// Gives a fencing number that does nothing but outdate older ones.
    Fence { under: ClaimRef, runner: Name },
    /// Begins a runner's book anew with what it holds, after a start or a silence.
    /// `fenced` says that the engine refuses all orders from before.
    Reset {
        under: ClaimRef,
        runner: Name,
        boot: u64,
        fenced: bool,
        held: Vec<HeldCopy>,
    },
    /// Says something of requests that may crash runners.
    Suspect(SuspectCommand),
}

impl Command {
    /// The claim and the runner of an order.
    pub(crate) fn under(&self) -> Option<(&ClaimRef, &Name)> {
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

/// What became of a command.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Verdict {
    /// It is in force from its place in the log on.
    Accepted,
    /// Something before it in the log forbids it.
    Refused,
}
