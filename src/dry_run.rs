//! Forecasts the orders that a publication would lead to, by planning on a copy of the folded
//! state.

use crate::control::{Artifact, ClaimRef, Command, Control, CopyState, Outcome, Verdict};
use crate::inventory::{Inventory, Name};
use crate::placement::{Move, PlacementPlanner};
use crate::replica::{Fold, Position};
use serde::Serialize;
use std::collections::BTreeSet;
use std::rc::Rc;

/// The largest number of planning rounds for each group.
const MAX_ROUNDS: usize = 1_000;
/// The first fencing token of a dry run, which is higher than every real one.
const FIRST_FENCE: u64 = u64::MAX / 2;

/// An order that the planner would send to a runner.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct ForecastMove {
    /// `load` or `unload`.
    pub(crate) order: &'static str,
    /// The artifact to load or unload.
    pub(crate) artifact: String,
    /// The runner that receives the order.
    pub(crate) runner: Name,
    /// The planner's reason for the order.
    pub(crate) reason: &'static str,
}

/// The result of a dry run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub(crate) struct Forecast {
    /// The orders in the sequence in which they would be sent.
    pub(crate) moves: Vec<ForecastMove>,
    /// The artifacts of the inventory that no runner would hold.
    pub(crate) missing: Vec<String>,
}

/// A copy of the folded state on which a publication is planned.
pub(crate) struct DryRun {
    control: Control,
    writer: Name,
    fence: u64,
}

impl DryRun {
    /// Creates a dry run that publishes `inventory` on a copy of the state in force.
    pub(crate) fn new(control: &Control, inventory: Inventory) -> Self {
        let mut dry_run = Self {
            control: control.clone(),
            writer: arcstr::literal!("dry-run"),
            fence: FIRST_FENCE,
        };
        let publication = Command::Publish {
            base: dry_run.control.revision,
            inventory: Rc::new(inventory),
        };
        dry_run.apply(publication);
        dry_run
    }

    /// Plans until no orders are left; `is_up` says which runners accept orders.
    pub(crate) fn run(mut self, is_up: impl Fn(&str) -> bool) -> Forecast {
        let groups: BTreeSet<Name> = self
            .control
            .inventory
            .runners()
            .map(|runner| runner.group.clone())
            .collect();
        let mut moves = Vec::new();
        for group in groups {
            let claim = self.claim(&group);
            self.reset_unknown_runners(&claim);
            for _ in 0..MAX_ROUNDS {
                let planned = PlacementPlanner::new(&self.control, &group, &is_up).moves();
                let before = moves.len();
                moves.extend(
                    planned
                        .into_iter()
                        .filter_map(|planned| self.apply_move(&claim, planned)),
                );
                if moves.len() == before {
                    break;
                }
            }
        }
        Forecast {
            moves,
            missing: self.missing(),
        }
    }

    /// Applies a command with the next fence; returns the fence if the command is accepted.
    fn apply(&mut self, command: Command) -> Option<u64> {
        self.fence += 1;
        let position = Position {
            fence: self.fence,
            at_ms: 0,
        };
        let verdict = self.control.apply(position, &self.writer, command);
        (verdict == Verdict::Accepted).then_some(self.fence)
    }

    /// Claims leadership of a group for the dry run.
    fn claim(&mut self, group: &Name) -> ClaimRef {
        let current = self.control.claims.get(group);
        let command = Command::Claim {
            group: group.clone(),
            vm: self.writer.clone(),
            after: current.map_or(0, |claim| claim.fence),
        };
        self.apply(command);
        ClaimRef {
            group: group.clone(),
            claim: self.fence,
        }
    }

    /// Resets the ledgers of the group's runners that have not reported yet, as if they were empty.
    fn reset_unknown_runners(&mut self, claim: &ClaimRef) {
        let unknown_runners: Vec<Name> = self
            .control
            .inventory
            .runners()
            .filter(|runner| runner.group == claim.group)
            .filter(|runner| self.control.ledger(&runner.name).boot == 0)
            .map(|runner| runner.name.clone())
            .collect();
        for runner in unknown_runners {
            self.apply(Command::Reset {
                under: claim.clone(),
                runner,
                boot: 1,
                fenced: true,
                held: Vec::new(),
            });
        }
    }

    /// Applies an order and settles it as done; returns `None` if the order is refused.
    fn apply_move(&mut self, claim: &ClaimRef, planned: Move) -> Option<ForecastMove> {
        let (order, runner, artifact, reason) = match planned {
            Move::Load {
                runner,
                artifact,
                reason,
                ..
            } => ("load", runner, artifact, reason),
            Move::Unload {
                runner,
                artifact,
                reason,
            } => ("unload", runner, artifact, reason),
        };
        let command = if order == "load" {
            Command::Load {
                under: claim.clone(),
                runner: runner.clone(),
                artifact: artifact.clone(),
            }
        } else {
            Command::Unload {
                under: claim.clone(),
                runner: runner.clone(),
                artifact: artifact.clone(),
            }
        };
        let intent = self.apply(command)?;
        self.apply(Command::Settle {
            under: claim.clone(),
            runner: runner.clone(),
            artifact: artifact.clone(),
            intent,
            outcome: Outcome::Done,
            clean: true,
        });
        Some(ForecastMove {
            order,
            artifact: artifact.to_string(),
            runner,
            reason,
        })
    }

    /// The artifacts of the inventory that are resident on no runner.
    fn missing(&self) -> Vec<String> {
        let mut missing = Vec::new();
        for model in &self.control.inventory.models {
            let adapters = model
                .adapters
                .iter()
                .map(|adapter| (Some(adapter.name.clone()), adapter.version.clone()));
            for (adapter, version) in std::iter::once((None, model.version.clone())).chain(adapters)
            {
                let artifact = Artifact {
                    model: model.name.clone(),
                    adapter,
                    version,
                };
                if !self.is_resident(&artifact) {
                    missing.push(artifact.to_string());
                }
            }
        }
        missing
    }

    fn is_resident(&self, artifact: &Artifact) -> bool {
        self.control.ledgers.values().any(|ledger| {
            let copy = ledger.copies.get(artifact);
            copy.is_some_and(|copy| copy.state == CopyState::Resident)
        })
    }
}
