//! Reference search engine: generates the documents of an index, evaluates searches on them for the
//! leaf servers, and computes the expected result over any set of shards. Shares no code with the
//! OpenSearch gateway.

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

/// Default of a boost, a weight or a bound that is missing or is not a number.
const DEFAULT_NUMBER: f64 = 1.0;

fn number(value: &Value) -> f64 {
    value.as_f64().unwrap_or(DEFAULT_NUMBER)
}

/// Splits a body of the form `{"field": {"key": value}}` or `{"field": value}` into the name of the
/// field and the value.
fn field_and_value<'a>(body: &'a Value, key: &str) -> (&'a str, &'a Value) {
    let Some((field, parameters)) = body.as_object().and_then(|body| body.iter().next()) else {
        return ("", &Value::Null);
    };
    (field, parameters.get(key).unwrap_or(parameters))
}
