//! Artifacts: what a runner loads.

use crate::inventory::{Inventory, Name};
use serde::{Deserialize, Serialize};
use std::fmt;

/// A model, or an adapter of a model, in one version.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) struct Artifact {
    /// Name of the model.
    pub(crate) model: Name,
    /// Name of the adapter, or `None` for the model itself.
    pub(crate) adapter: Option<Name>,
    /// Version of the model or of the adapter.
    pub(crate) version: Name,
}

impl Artifact {
    /// Resolves `model` or `model/adapter`, as callers name it, to the version that the inventory
    /// lists; `None` if it lists neither.
    pub(crate) fn resolve(inventory: &Inventory, name: &str) -> Option<Artifact> {
        if let Some(model) = inventory.model(name) {
            return Some(Self {
                model: model.name.clone(),
                adapter: None,
                version: model.version.clone(),
            });
        }
        let (base, adapter) = name.rsplit_once('/')?;
        let model = inventory.model(base)?;
        let adapter = model.adapter(adapter)?;
        Some(Self {
            model: model.name.clone(),
            adapter: Some(adapter.name.clone()),
            version: adapter.version.clone(),
        })
    }

    /// Whether both are the same model and adapter, in any version.
    pub(crate) fn has_same_name(&self, other: &Self) -> bool {
        self.model == other.model && self.adapter == other.adapter
    }

    /// Parses `model@version` or `model/adapter@version`, as engines report it.
    ///
    /// Any other text becomes an artifact without a version, so that all memory is counted.
    pub(crate) fn parse(text: &str, inventory: &Inventory) -> Self {
        let Some((name, version)) = text.rsplit_once('@') else {
            return Self {
                model: text.into(),
                adapter: None,
                version: Name::new(),
            };
        };
        let (model, adapter) = match name.rsplit_once('/') {
            Some((base, adapter)) if inventory.model(name).is_none() => {
                (base.into(), Some(adapter.into()))
            }
            _ => (name.into(), None),
        };
        Self {
            model,
            adapter,
            version: version.into(),
        }
    }
}

impl fmt::Display for Artifact {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.adapter {
            Some(adapter) => write!(f, "{}/{adapter}@{}", self.model, self.version),
            None if self.version.is_empty() => f.write_str(&self.model),
            None => write!(f, "{}@{}", self.model, self.version),
        }
    }
}

/// Serialises to a string of model, adapter (empty for none) and version, joined by spaces.
impl Serialize for Artifact {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let model = escape(&self.model);
        let adapter = escape(self.adapter.as_deref().unwrap_or_default());
        let version = escape(&self.version);
        serializer.collect_str(&format_args!("{model} {adapter} {version}"))
    }
}

impl<'de> Deserialize<'de> for Artifact {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        let mut parts = text.split(' ').map(unescape);
        let (Some(model), Some(adapter), Some(version), None) =
            (parts.next(), parts.next(), parts.next(), parts.next())
        else {
            return Err(serde::de::Error::custom(
                "expected an artifact as \"model adapter version\"",
            ));
        };
        Ok(Self {
            model: model.into(),
            adapter: (!adapter.is_empty()).then(|| adapter.into()),
            version: version.into(),
        })
    }
}

/// Escapes spaces, which separate the parts: engines may report any text.
fn escape(part: &str) -> String {
    part.replace('%', "%25").replace(' ', "%20")
}

fn unescape(part: &str) -> String {
    part.replace("%20", " ").replace("%25", "%")
}
