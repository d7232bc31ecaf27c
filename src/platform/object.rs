//! A JSON object read as a struct.

use serde::de::{DeserializeOwned, Error};
use serde::{Deserialize, Deserializer};
use serde_json::{Map, Value};

/// What stands in a JSON object, and only in one: a derived reader also takes an array for a
/// struct, which nobody means.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Object<T>(pub(super) T);

impl<'de, T: DeserializeOwned> Deserialize<'de> for Object<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let fields = Map::deserialize(deserializer)?;
        let inner = T::deserialize(Value::Object(fields));
        inner.map(Self).map_err(D::Error::custom)
    }
}
