//! The difference between two inventories, as small as the change itself.

use super::{BackendServer, Caller, Inventory, Model, Name, PlainService, Rules};
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, HashSet};

/// An item of a list that is known by its name.
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

/// What changes in one list.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct ListChange<T> {
    /// Items that are new or differ, each whole.
    #[serde(default = "Vec::new", skip_serializing_if = "Vec::is_empty")]
    set: Vec<T>,
    /// Names that are not listed any more.
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
    fn between(old: &[T], new: &[T]) -> Self {
        let before: HashMap<&Name, &T> = old.iter().map(|item| (item.name(), item)).collect();
        let after: HashSet<&Name> = new.iter().map(T::name).collect();
        let differs = |item: &&T| before.get(item.name()) != Some(item);
        let gone = old.iter().map(T::name).filter(|name| !after.contains(name));
        Self {
            set: new.iter().filter(differs).cloned().collect(),
            removed: gone.cloned().collect(),
        }
    }

    fn apply(&self, old: &[T]) -> Vec<T> {
        let mut set: HashMap<&Name, &T> = self.set.iter().map(|item| (item.name(), item)).collect();
        let removed: HashSet<&Name> = self.removed.iter().collect();
        let mut items: Vec<T> = old
            .iter()
            .filter(|item| !removed.contains(item.name()))
            .map(|item| set.remove(item.name()).unwrap_or(item).clone())
            .collect();
        let new = self.set.iter().filter(|item| set.contains_key(item.name()));
        items.extend(new.cloned());
        items
    }
}

/// What changes from one inventory to another.
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
    /// The change that makes `new` of `old`; `None` where only the whole does,
    /// such as for another order of the lists.
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

    /// The inventory that the change makes of `old`.
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
