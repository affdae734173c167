//! Ranking of matching documents and selection of pages.

use super::documents::{document, document_count, IndexDocument};
use super::query::score;
use super::{field_and_value, number};
use serde_json::{json, Value};
use std::cmp::Ordering;

const DEFAULT_PAGE_SIZE: u64 = 10;

/// Matching document with its score and sort values.
#[derive(Clone, Debug)]
pub struct SearchHit {
    /// Number of the shard that holds the document.
    pub shard: u32,
    /// Id of the document.
    pub id: String,
    /// Relevance score; higher scores rank first unless the search has sort keys.
    pub score: f64,
    /// Values of the sort keys of the search, in the order of the keys.
    pub sort_values: Vec<Value>,
    /// Fields of the document.
    pub source: Value,
}

/// Sort direction of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RankingOrder {
    Ascending,
    Descending,
}

struct SortKey {
    field: String,
    order: RankingOrder,
}

/// Returns all documents of `shards` that match a search, in ranking order, without paging.
pub fn matching_documents(search: &Value, shards: &[u32]) -> Vec<SearchHit> {
    let sort_keys = sort_keys(search);
    let mut hits = Vec::new();
    for &shard in shards {
        let documents = (0..document_count(shard)).map(|position| document(shard, position));
        hits.extend(documents.filter_map(|document| hit(search, &sort_keys, shard, document)));
    }
    hits.sort_by(|left, right| rank(&sort_keys, left, right));
    hits
}

/// Returns the page of ranked hits that a search requests by `from`, `size` and `search_after`.
pub fn page(search: &Value, hits: &[SearchHit]) -> Vec<SearchHit> {
    let sort_keys = sort_keys(search);
    let search_after = search.get("search_after").and_then(Value::as_array);
    let parameter = |key: &str, default: u64| {
        search.get(key).and_then(Value::as_u64).unwrap_or(default) as usize
    };
    hits.iter()
        .filter(|hit| {
            search_after.is_none_or(|last| {
                compare_by_keys(&sort_keys, &hit.sort_values, last) == Ordering::Greater
            })
        })
        .skip(parameter("from", 0))
        .take(parameter("size", DEFAULT_PAGE_SIZE))
        .cloned()
        .collect()
}

/// Compares two values of a field. In either direction, numbers come before strings and strings
/// before missing values.
pub(super) fn compare_values(left: &Value, right: &Value, order: RankingOrder) -> Ordering {
    let type_rank = |value: &Value| match value {
        Value::Number(_) => 0,
        Value::String(_) => 1,
        _ => 2,
    };
    if type_rank(left) != type_rank(right) {
        return type_rank(left).cmp(&type_rank(right));
    }
    let ascending = match (left.as_f64(), right.as_f64()) {
        (Some(left), Some(right)) => left.total_cmp(&right),
        _ => left.as_str().cmp(&right.as_str()),
    };
    match order {
        RankingOrder::Ascending => ascending,
        RankingOrder::Descending => ascending.reverse(),
    }
}

fn hit(
    search: &Value,
    sort_keys: &[SortKey],
    shard: u32,
    document: IndexDocument,
) -> Option<SearchHit> {
    let match_all = json!({"match_all": {}});
    let query = search.get("query").unwrap_or(&match_all);
    let score = score(query, &document.id, &document.fields)?;
    let min_score = search.get("min_score");
    if min_score.is_some_and(|minimum| score < number(minimum)) {
        return None;
    }
    let sort_value = |key: &SortKey| match key.field.as_str() {
        "_score" => json!(score),
        field => document.fields.get(field).cloned().unwrap_or(Value::Null),
    };
    Some(SearchHit {
        shard,
        sort_values: sort_keys.iter().map(sort_value).collect(),
        id: document.id,
        score,
        source: document.fields,
    })
}

fn sort_keys(search: &Value) -> Vec<SortKey> {
    match search.get("sort") {
        Some(Value::Array(keys)) => keys.iter().map(sort_key).collect(),
        Some(key) => vec![sort_key(key)],
        None => Vec::new(),
    }
}

fn sort_key(key: &Value) -> SortKey {
    if let Value::String(field) = key {
        return SortKey {
            field: field.clone(),
            order: if field == "_score" {
                RankingOrder::Descending
            } else {
                RankingOrder::Ascending
            },
        };
    }
    let (field, order) = field_and_value(key, "order");
    SortKey {
        field: field.to_string(),
        order: if order == "desc" {
            RankingOrder::Descending
        } else {
            RankingOrder::Ascending
        },
    }
}

fn compare_by_keys(sort_keys: &[SortKey], left: &[Value], right: &[Value]) -> Ordering {
    sort_keys
        .iter()
        .zip(left.iter().zip(right))
        .map(|(key, (left, right))| compare_values(left, right, key.order))
        .fold(Ordering::Equal, Ordering::then)
}

fn rank(sort_keys: &[SortKey], left: &SearchHit, right: &SearchHit) -> Ordering {
    let primary = if sort_keys.is_empty() {
        right.score.total_cmp(&left.score)
    } else {
        compare_by_keys(sort_keys, &left.sort_values, &right.sort_values)
    };
    primary
        .then_with(|| left.shard.cmp(&right.shard))
        .then_with(|| left.id.cmp(&right.id))
}
