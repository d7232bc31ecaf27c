//! Strict deserialization of JSON objects.

use serde::de::{DeserializeOwned, Error};
use serde::{Deserialize, Deserializer};
use serde_json::{Map, Value};

/// A value that is deserialized from a JSON object only. A derived `Deserialize` of a struct also
/// accepts an array of its fields, which no writer of these formats uses.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Object<T>(pub(super) T);

impl<'de, T: DeserializeOwned> Deserialize<'de> for Object<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let fields = Map::deserialize(deserializer)?;
        let value = T::deserialize(Value::Object(fields));
        value.map(Self).map_err(D::Error::custom)
    }
}
