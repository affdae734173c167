//! Sort keys of a search.

use super::deserialize::{from_value, FieldEntry};
use serde::de::Deserializer;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Name of the pseudo field that sorts by relevance score.
const SCORE_FIELD: &str = "_score";

/// Direction of a sort.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum SortOrder {
    /// Smallest value first.
    #[default]
    Asc,
    /// Largest value first.
    Desc,
}

impl SortOrder {
    /// Returns the default direction: descending for scores, ascending for other fields.
    fn default_for(field: &str) -> SortOrder {
        if field == SCORE_FIELD {
            SortOrder::Desc
        } else {
            SortOrder::Asc
        }
    }
}

/// A sort key: a field or `_score`, with a direction.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(into = "FieldEntry<SortOrder>")]
pub struct SortKey {
    /// Name of the field, or `_score`.
    pub field: String,
    /// Direction of the sort; does not affect the position of missing values.
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

/// The object form of a sort key's value, for example `{"order": "asc"}`.
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
