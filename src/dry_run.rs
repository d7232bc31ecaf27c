//! What a publication would bring: the planning, run on a copy of the folded state.

use crate::control::{Artifact, ClaimRef, Command, Control, CopyState, Outcome, Verdict};
use crate::inventory::{Inventory, Name};
use crate::placement::{Move, PlacementPlanner};
use crate::replica::{Fold, Position};
use serde::Serialize;
use std::collections::BTreeSet;
use std::rc::Rc;

/// Rounds of planning at most.
const MAX_ROUNDS: usize = 1_000;
/// Fences of a dry run lie above all real ones.
const FIRST_FENCE: u64 = u64::MAX / 2;

/// One order that the planner would give.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct ForecastMove {
    /// `load` or `unload`.
    pub(crate) order: &'static str,
    /// What is moved.
    pub(crate) artifact: String,
    /// Where.
    pub(crate) runner: Name,
    /// Why.
    pub(crate) reason: &'static str,
}

/// How a publication would end.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub(crate) struct Forecast {
    /// The orders, in order.
    pub(crate) moves: Vec<ForecastMove>,
    /// Models and adapters that would find no place.
    pub(crate) missing: Vec<String>,
}

/// A copy of the folded state that is planned on.
pub(crate) struct DryRun {
    control: Control,
    writer: Name,
    fence: u64,
}

impl DryRun {
    /// A dry run of a publication, from the state in force.
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

    /// Plans until nothing is left to do; `is_up` tells which runners take orders.
    pub(crate) fn run(mut self, is_up: impl Fn(&str) -> bool) -> Forecast {
        let groups: BTreeSet<Name> = self
            .control
            .inventory
            .runners()
            .map(|runner| runner.group.clone())
            .collect();
        let mut moves = Vec::new();
        for group in groups {
            let under = self.claim(&group);
            self.begin_books(&under);
            for _ in 0..MAX_ROUNDS {
                let planned = PlacementPlanner::new(&self.control, &group, &is_up).moves();
                let before = moves.len();
                moves.extend(
                    planned
                        .into_iter()
                        .filter_map(|planned| self.carry_out(&under, planned)),
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

    fn apply(&mut self, command: Command) -> Option<u64> {
        self.fence += 1;
        let position = Position {
            fence: self.fence,
            at_ms: 0,
        };
        let verdict = self.control.apply(position, &self.writer, command);
        (verdict == Verdict::Accepted).then_some(self.fence)
    }

    fn claim(&mut self, group: &Name) -> ClaimRef {
        let held = self.control.claims.get(group);
        let command = Command::Claim {
            group: group.clone(),
            vm: self.writer.clone(),
            after: held.map_or(0, |claim| claim.fence),
        };
        self.apply(command);
        ClaimRef {
            group: group.clone(),
            claim: self.fence,
        }
    }

    /// Takes runners that nothing is known of for empty.
    fn begin_books(&mut self, under: &ClaimRef) {
        let new: Vec<Name> = self
            .control
            .inventory
            .runners()
            .filter(|runner| runner.group == under.group)
            .filter(|runner| self.control.ledger(&runner.name).boot == 0)
            .map(|runner| runner.name.clone())
            .collect();
        for runner in new {
            self.apply(Command::Reset {
                under: under.clone(),
                runner,
                boot: 1,
                fenced: true,
                held: Vec::new(),
            });
        }
    }

    /// Gives an order and ends it as done.
    fn carry_out(&mut self, under: &ClaimRef, planned: Move) -> Option<ForecastMove> {
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
                under: under.clone(),
                runner: runner.clone(),
                artifact: artifact.clone(),
            }
        } else {
            Command::Unload {
                under: under.clone(),
                runner: runner.clone(),
                artifact: artifact.clone(),
            }
        };
        let intent = self.apply(command)?;
        self.apply(Command::Settle {
            under: under.clone(),
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

    /// What the inventory lists and no runner holds.
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
                if !self.is_held(&artifact) {
                    missing.push(artifact.to_string());
                }
            }
        }
        missing
    }

    fn is_held(&self, artifact: &Artifact) -> bool {
        self.control.ledgers.values().any(|ledger| {
            let copy = ledger.copies.get(artifact);
            copy.is_some_and(|copy| copy.state == CopyState::Resident)
        })
    }
}
