//! The difference between two inventories, which is smaller to store than a whole inventory.

use super::{BackendServer, Caller, Inventory, Model, Name, PlainService, Rules};
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, HashSet};

/// A list item that is identified by its name.
trait Named: Clone + PartialEq {
    fn name(&self) -> &Name;
}

impl Named for Model {
    fn name(&self) -> &Name {
        &self.name
    }
}

impl Named for BackendServer {
    fn name(&self) -> &Name {
        &self.name
    }
}

impl Named for PlainService {
    fn name(&self) -> &Name {
        &self.name
    }
}

impl Named for Caller {
    fn name(&self) -> &Name {
        &self.name
    }
}

/// The changes to one list.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct ListChange<T> {
    /// Items that were added or changed, each in full.
    #[serde(default = "Vec::new", skip_serializing_if = "Vec::is_empty")]
    set: Vec<T>,
    /// Names of the items that were removed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    removed: Vec<Name>,
}

impl<T> Default for ListChange<T> {
    fn default() -> Self {
        Self {
            set: Vec::new(),
            removed: Vec::new(),
        }
    }
}

impl<T: Named> ListChange<T> {
    /// Computes the change from `old` to `new`, without the order of the items.
    fn between(old: &[T], new: &[T]) -> Self {
        let before: HashMap<&Name, &T> = old.iter().map(|item| (item.name(), item)).collect();
        let after: HashSet<&Name> = new.iter().map(T::name).collect();
        let is_changed = |item: &&T| before.get(item.name()) != Some(item);
        let removed = old.iter().map(T::name).filter(|name| !after.contains(name));
        Self {
            set: new.iter().filter(is_changed).cloned().collect(),
            removed: removed.cloned().collect(),
        }
    }

    /// Replaces changed items in place, drops removed ones and appends added ones.
    fn apply(&self, old: &[T]) -> Vec<T> {
        let mut remaining: HashMap<&Name, &T> =
            self.set.iter().map(|item| (item.name(), item)).collect();
        let removed: HashSet<&Name> = self.removed.iter().collect();
        let mut items: Vec<T> = old
            .iter()
            .filter(|item| !removed.contains(item.name()))
            .map(|item| remaining.remove(item.name()).unwrap_or(item).clone())
            .collect();
        let added = self
            .set
            .iter()
            .filter(|item| remaining.contains_key(item.name()));
        items.extend(added.cloned());
        items
    }
}

/// The changes that turn one inventory into another.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub(crate) struct InventoryChange {
    models: ListChange<Model>,
    backend_servers: ListChange<BackendServer>,
    services: ListChange<PlainService>,
    callers: ListChange<Caller>,
    #[serde(skip_serializing_if = "Option::is_none")]
    rules: Option<Rules>,
}

impl InventoryChange {
    /// Computes the change that turns `old` into `new`; `None` if no such change can express it,
    /// for example when the items of a list were reordered.
    pub(crate) fn between(old: &Inventory, new: &Inventory) -> Option<Self> {
        let change = Self {
            models: ListChange::between(&old.models, &new.models),
            backend_servers: ListChange::between(&old.backend_servers, &new.backend_servers),
            services: ListChange::between(&old.services, &new.services),
            callers: ListChange::between(&old.callers, &new.callers),
            rules: (old.rules != new.rules).then(|| new.rules.clone()),
        };
        (change.apply(old) == *new).then_some(change)
    }

    /// Applies the change to `old` and returns the new inventory.
    pub(crate) fn apply(&self, old: &Inventory) -> Inventory {
        Inventory {
            models: self.models.apply(&old.models),
            backend_servers: self.backend_servers.apply(&old.backend_servers),
            services: self.services.apply(&old.services),
            callers: self.callers.apply(&old.callers),
            rules: self.rules.as_ref().unwrap_or(&old.rules).clone(),
        }
    }
}
