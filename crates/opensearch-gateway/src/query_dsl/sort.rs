//! Sort keys.

use super::deserialize::{from_value, FieldEntry};
use serde::de::Deserializer;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// The pseudo field that sorts by relevance.
const SCORE_FIELD: &str = "_score";

/// Direction of a sort.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum SortOrder {
    /// Ascending.
    #[default]
    Asc,
    /// Descending.
    Desc,
}

impl SortOrder {
    /// The direction of a key that states none: best scores first, other fields ascending.
    fn default_for(field: &str) -> SortOrder {
        if field == SCORE_FIELD {
            SortOrder::Desc
        } else {
            SortOrder::Asc
        }
    }
}

/// One key to sort by: a field or `_score`.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(into = "FieldEntry<SortOrder>")]
pub struct SortKey {
    /// The field's name.
    pub field: String,
    /// The direction.
    pub order: SortOrder,
}

impl From<SortKey> for FieldEntry<SortOrder> {
    fn from(key: SortKey) -> FieldEntry<SortOrder> {
        FieldEntry {
            field: key.field,
            value: key.order,
        }
    }
}

/// `{"order": "asc"}`, the long form of a sort key's value.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct SortOptions {
    #[serde(default)]
    order: Option<SortOrder>,
}

impl<'de> Deserialize<'de> for SortKey {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let value = Value::deserialize(deserializer)?;
        if let Value::String(field) = value {
            let order = SortOrder::default_for(&field);
            return Ok(SortKey { field, order });
        }
        let FieldEntry { field, value } = from_value::<FieldEntry<Value>, _>(value)?;
        let order = if value.is_object() {
            let options: SortOptions = from_value(value)?;
            options
                .order
                .unwrap_or_else(|| SortOrder::default_for(&field))
        } else {
            from_value(value)?
        };
        Ok(SortKey { field, order })
    }
}
