//! The control stream: configuration, claims, orders to engines and suspects.
//!
//! Every VM folds the same records in the same order. What the fold refuses
//! never happened; so memory is never overcommitted by any writer's mistake.

mod artifact;
mod books;
mod command;

pub(crate) use artifact::Artifact;
pub(crate) use books::{CopyState, RunnerBook};
pub(crate) use command::{Command, Outcome, Under, Verdict};

use crate::inventory::{Inventory, Name};
use crate::stream::{Fold, Position};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Who plans a group of runners.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct Claim {
    /// The VM that holds the claim.
    pub(crate) vm: Name,
    /// The run of the VM's process that holds it.
    pub(crate) writer: Name,
    /// The fence of the claim, which all orders under it repeat.
    pub(crate) fence: u64,
}

/// The folded state of the control stream.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub(crate) struct Control {
    /// The revision in force: the fence of the accepted publication, 0 for none.
    pub(crate) revision: u64,
    /// The inventory in force.
    pub(crate) inventory: Rc<Inventory>,
    /// The claim on each group of runners.
    pub(crate) claims: BTreeMap<Name, Claim>,
    /// What each runner's memory holds or may come to hold.
    pub(crate) books: BTreeMap<Name, RunnerBook>,
    /// Runs of runners that crashed, by the fingerprint of a request aboard.
    pub(crate) suspects: BTreeMap<u64, BTreeSet<(Name, u64)>>,
}

impl Control {
    /// The book of a runner, empty if nothing was ever ordered.
    pub(crate) fn book(&self, runner: &str) -> RunnerBook {
        self.books.get(runner).cloned().unwrap_or_default()
    }

    /// The runners on which an artifact is resident.
    pub(crate) fn resident_on<'a>(
        &'a self,
        artifact: &'a Artifact,
    ) -> impl Iterator<Item = &'a Name> {
        self.books
            .iter()
            .filter(|(_, book)| book.is_resident(artifact))
            .map(|(runner, _)| runner)
    }

    /// Loads that were ordered and are not settled.
    pub(crate) fn open_loads(&self) -> usize {
        self.books
            .values()
            .flat_map(|book| book.copies.values())
            .filter(|copy| copy.state == CopyState::Loading)
            .count()
    }

    /// How many runs of runners crashed with this request aboard.
    pub(crate) fn crashes(&self, fingerprint: u64) -> usize {
        self.suspects.get(&fingerprint).map_or(0, BTreeSet::len)
    }

    fn publish(&mut self, fence: u64, base: u64, inventory: Rc<Inventory>) -> Verdict {
        if base != self.revision {
            return Verdict::Refused;
        }
        self.revision = fence;
        self.inventory = inventory;
        Verdict::Accepted
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

    fn holds(&self, writer: &Name, group: &Name, claim: u64) -> bool {
        self.claims
            .get(group)
            .is_some_and(|held| held.fence == claim && held.writer == *writer)
    }

    /// Whether unloading the copy would leave its model without a ready one.
    fn is_last_copy(&self, runner: &Name, artifact: &Artifact) -> bool {
        let Some(model) = self.inventory.model(&artifact.model) else {
            return false;
        };
        if let Some(adapter) = &artifact.adapter
            && model.adapter(adapter).is_none()
        {
            return false;
        }
        !self.books.iter().any(|(name, book)| {
            book.copies.iter().any(|(other, copy)| {
                copy.state == CopyState::Resident
                    && other.serves_same(artifact)
                    && !(name == runner && other == artifact)
            })
        })
    }

    fn order(&mut self, fence: u64, runner: &Name, command: &Command) -> Verdict {
        match command {
            Command::Load {
                artifact,
                mib,
                room_mib,
                ..
            } => self
                .books
                .entry(runner.clone())
                .or_default()
                .load(fence, artifact, *mib, *room_mib),
            Command::Unload { artifact, .. } => {
                if self.is_last_copy(runner, artifact) {
                    return Verdict::Refused;
                }
                self.books
                    .entry(runner.clone())
                    .or_default()
                    .unload(fence, artifact)
            }
            Command::Settle {
                intent,
                outcome,
                clean,
                ..
            } => self
                .books
                .entry(runner.clone())
                .or_default()
                .settle(*intent, *outcome, *clean),
            Command::Adopt {
                artifact,
                mib,
                boot,
                ..
            } => self
                .books
                .entry(runner.clone())
                .or_default()
                .adopt(fence, artifact, *mib, *boot),
            Command::Reset { boot, .. } => {
                self.books.entry(runner.clone()).or_default().reset(*boot)
            }
            Command::Fence { .. } => Verdict::Accepted,
            Command::Publish { .. } | Command::Claim { .. } | Command::Suspect { .. } => {
                Verdict::Refused
            }
        }
    }
}

impl Fold for Control {
    type Command = Command;
    type Verdict = Verdict;

    fn apply(&mut self, position: Position, writer: &Name, command: Command) -> Verdict {
        match command {
            Command::Publish { base, inventory } => self.publish(position.fence, base, inventory),
            Command::Claim { group, vm, after } => {
                self.claim(position.fence, writer, group, vm, after)
            }
            Command::Suspect {
                fingerprint,
                runner,
                boot,
            } => {
                self.suspects
                    .entry(fingerprint)
                    .or_default()
                    .insert((runner, boot));
                Verdict::Accepted
            }
            order => {
                let Some((under, runner)) = order.under() else {
                    return Verdict::Refused;
                };
                if !self.holds(writer, &under.group, under.claim) {
                    return Verdict::Refused;
                }
                let runner = runner.clone();
                self.order(position.fence, &runner, &order)
            }
        }
    }
}
