//! A reference search engine: documents of an index, the searches that leaf servers run on them,
//! and the right result over any set of shards. It shares no code with the OpenSearch gateway.

mod aggregation;
mod documents;
mod faults;
mod query;
mod ranking;
mod shard;

pub use aggregation::aggregate;
pub use documents::{GENRES, TITLE_WORDS};
pub use faults::{ShardFault, FAULTED_SHARD};
pub use ranking::{matching_documents, page, SearchHit};
pub use shard::shard_response;

use serde_json::Value;

/// Default of a boost, a weight or a bound that is missing or no number.
const DEFAULT_NUMBER: f64 = 1.0;

fn number(value: &Value) -> f64 {
    value.as_f64().unwrap_or(DEFAULT_NUMBER)
}

/// Splits a body of the form `{"field": {"key": value}}` or `{"field": value}` into its field's
/// name and the value.
fn field_and_value<'a>(body: &'a Value, key: &str) -> (&'a str, &'a Value) {
    let Some((field, parameters)) = body.as_object().and_then(|body| body.iter().next()) else {
        return ("", &Value::Null);
    };
    (field, parameters.get(key).unwrap_or(parameters))
}
