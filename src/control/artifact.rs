//! What can be loaded: a model or an adapter in one version.

use crate::inventory::{Inventory, Name};
use serde::{Deserialize, Serialize};
use std::fmt;

/// A model or an adapter in one version.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) struct Artifact {
    /// The model.
    pub(crate) model: Name,
    /// The adapter over it, if this is one.
    pub(crate) adapter: Option<Name>,
    /// The version.
    pub(crate) version: Name,
}

impl Artifact {
    /// The artifact that a caller's model name stands for, with the one it lies over.
    ///
    /// `model` names a model or `model/adapter`.
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

    /// Whether both serve the same name, in whatever version.
    pub(crate) fn has_same_name(&self, other: &Self) -> bool {
        self.model == other.model && self.adapter == other.adapter
    }

    /// Parses `model@version` or `model/adapter@version` as engines report it.
    ///
    /// Any text is some artifact, so that nothing an engine holds goes uncounted.
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

/// The JSON form: model, adapter or nothing, version, joined by spaces.
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
            return Err(serde::de::Error::custom("an artifact has three parts"));
        };
        Ok(Self {
            model: model.into(),
            adapter: (!adapter.is_empty()).then(|| adapter.into()),
            version: version.into(),
        })
    }
}

/// Engines may report any text, also with spaces.
fn escape(part: &str) -> String {
    part.replace('%', "%25").replace(' ', "%20")
}

fn unescape(part: &str) -> String {
    part.replace("%20", " ").replace("%25", "%")
}
