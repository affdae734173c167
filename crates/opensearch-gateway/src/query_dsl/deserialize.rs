//! Deserialization helpers for the types of the query DSL.

use serde::de::{self, DeserializeOwned, Deserializer, MapAccess, Visitor};
use serde::ser::{SerializeMap, Serializer};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::fmt;
use std::marker::PhantomData;

/// An object with exactly one entry, whose key is the name of a field: `{"FIELD": value}`.
#[derive(Clone, Debug, PartialEq)]
pub struct FieldEntry<T> {
    /// Name of the field.
    pub field: String,
    /// Value or options that the clause or sort key specifies for the field.
    pub value: T,
}

impl<T: Serialize> Serialize for FieldEntry<T> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut map = serializer.serialize_map(Some(1))?;
        map.serialize_entry(&self.field, &self.value)?;
        map.end()
    }
}

struct FieldEntryVisitor<T>(PhantomData<T>);

impl<'de, T: Deserialize<'de>> Visitor<'de> for FieldEntryVisitor<T> {
    type Value = FieldEntry<T>;

    fn expecting(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str("an object with one field")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<FieldEntry<T>, A::Error> {
        let (field, value) = map
            .next_entry()?
            .ok_or_else(|| de::Error::invalid_length(0, &self))?;
        match map.next_key::<String>()? {
            None => Ok(FieldEntry { field, value }),
            Some(other) => Err(de::Error::custom(format!(
                "one field is expected, and [{other}] is another"
            ))),
        }
    }
}

impl<'de, T: Deserialize<'de>> Deserialize<'de> for FieldEntry<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(FieldEntryVisitor(PhantomData))
    }
}

/// Wrapper that deserializes `T` from a JSON object only.
///
/// Derived implementations also accept an array of the field values in declaration order, which is
/// not part of the DSL.
pub(super) struct Object<T>(pub(super) T);

struct ObjectVisitor<T>(PhantomData<T>);

impl<'de, T: Deserialize<'de>> Visitor<'de> for ObjectVisitor<T> {
    type Value = Object<T>;

    fn expecting(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str("an object")
    }

    fn visit_map<A: MapAccess<'de>>(self, map: A) -> Result<Object<T>, A::Error> {
        T::deserialize(de::value::MapAccessDeserializer::new(map)).map(Object)
    }
}

impl<'de, T: Deserialize<'de>> Deserialize<'de> for Object<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(ObjectVisitor(PhantomData))
    }
}

/// Deserializes `T` from an object only, for use with `deserialize_with`.
pub(super) fn object<'de, D: Deserializer<'de>, T: Deserialize<'de>>(
    deserializer: D,
) -> Result<T, D::Error> {
    Object::deserialize(deserializer).map(|object| object.0)
}

/// Deserializes a [`FieldEntry`] whose value must be an object, for use with `deserialize_with`.
pub(super) fn field_object<'de, D: Deserializer<'de>, T: Deserialize<'de>>(
    deserializer: D,
) -> Result<FieldEntry<T>, D::Error> {
    let entry = FieldEntry::<Object<T>>::deserialize(deserializer)?;
    Ok(FieldEntry {
        field: entry.field,
        value: entry.value.0,
    })
}

/// Deserializes either one value or an array of values, for use with `deserialize_with`.
pub(super) fn one_or_more<'de, D: Deserializer<'de>, T: DeserializeOwned>(
    deserializer: D,
) -> Result<Vec<T>, D::Error> {
    let value = Value::deserialize(deserializer)?;
    let values = if value.is_array() {
        value
    } else {
        Value::Array(vec![value])
    };
    from_value(values)
}

/// Deserializes `T` from a JSON value and converts an error to the caller's error type.
pub(super) fn from_value<T: DeserializeOwned, E: de::Error>(value: Value) -> Result<T, E> {
    serde_json::from_value(value).map_err(de::Error::custom)
}
