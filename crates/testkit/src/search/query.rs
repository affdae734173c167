//! Evaluation of the `query` of a search on one document.

use super::{field_and_value, number, DEFAULT_NUMBER};
use serde_json::Value;

/// Returns the score of a document, or `None` if the document does not match the query.
pub(super) fn score(query: &Value, id: &str, document: &Value) -> Option<f64> {
    let (kind, body) = query.as_object()?.iter().next()?;
    let boost = body.get("boost").map_or(DEFAULT_NUMBER, number);
    match kind.as_str() {
        "match_all" => Some(boost),
        "match" => score_match(body, document),
        "multi_match" => score_multi_match(body, document),
        "term" => score_term(body, document),
        "terms" => score_terms(body, document),
        "range" => score_range(body, document),
        "exists" => document.get(body["field"].as_str()?).map(|_| 1.0),
        "ids" => score_ids(body, id),
        "prefix" => score_prefix(body, document),
        "bool" => score_bool(body, id, document).map(|sum| sum * boost),
        "constant_score" => score(&body["filter"], id, document).map(|_| boost),
        "function_score" => {
            let inner = score(&body["query"], id, document)?;
            Some(inner * body.get("weight").map_or(DEFAULT_NUMBER, number) * boost)
        }
        _ => None,
    }
}

/// Which of the words of a text a field must contain to match.
#[derive(Clone, Copy, PartialEq)]
enum Operator {
    Any,
    All,
}

fn score_match(body: &Value, document: &Value) -> Option<f64> {
    let (field, text) = field_and_value(body, "query");
    let operator = if body[field]["operator"] == "and" {
        Operator::All
    } else {
        Operator::Any
    };
    Some(matching_words(document, field, text, operator)? * field_boost(body, field))
}

fn score_multi_match(body: &Value, document: &Value) -> Option<f64> {
    body["fields"]
        .as_array()?
        .iter()
        .filter_map(Value::as_str)
        .filter_map(|field| matching_words(document, field, &body["query"], Operator::Any))
        .max_by(f64::total_cmp)
}

fn score_term(body: &Value, document: &Value) -> Option<f64> {
    let (field, value) = field_and_value(body, "value");
    (document.get(field)? == value).then(|| field_boost(body, field))
}

fn score_terms(body: &Value, document: &Value) -> Option<f64> {
    let (field, values) = field_and_value(body, "");
    values
        .as_array()?
        .contains(document.get(field)?)
        .then_some(1.0)
}

fn score_range(body: &Value, document: &Value) -> Option<f64> {
    let (field, bounds) = field_and_value(body, "");
    let value = document.get(field)?.as_f64()?;
    bounds
        .as_object()?
        .iter()
        .all(|(operator, bound)| within_bound(value, operator, number(bound)))
        .then(|| bounds.get("boost").map_or(DEFAULT_NUMBER, number))
}

fn within_bound(value: f64, operator: &str, bound: f64) -> bool {
    match operator {
        "gt" => value > bound,
        "gte" => value >= bound,
        "lt" => value < bound,
        "lte" => value <= bound,
        _ => true,
    }
}

fn score_ids(body: &Value, id: &str) -> Option<f64> {
    body["values"]
        .as_array()?
        .iter()
        .any(|value| value == id)
        .then_some(1.0)
}

fn score_prefix(body: &Value, document: &Value) -> Option<f64> {
    let (field, prefix) = field_and_value(body, "value");
    document
        .get(field)?
        .as_str()?
        .starts_with(prefix.as_str()?)
        .then_some(1.0)
}

/// Returns the sum of the scores of all `must` clauses and of the matching `should` clauses.
fn score_bool(body: &Value, id: &str, document: &Value) -> Option<f64> {
    let clause_score = |clause: &Value| score(clause, id, document);
    let (must, should) = (clauses(body, "must"), clauses(body, "should"));
    let filter = clauses(body, "filter");
    let must_not = clauses(body, "must_not");
    let is_excluded = must_not.iter().any(|clause| clause_score(clause).is_some());
    let is_filtered_out = filter.iter().any(|clause| clause_score(clause).is_none());
    if is_excluded || is_filtered_out {
        return None;
    }
    let must_scores: Option<Vec<f64>> = must.iter().map(clause_score).collect();
    let should_scores: Vec<f64> = should.iter().filter_map(clause_score).collect();
    let has_only_should = must.is_empty() && filter.is_empty() && !should.is_empty();
    let minimum_should_match = body
        .get("minimum_should_match")
        .and_then(Value::as_u64)
        .unwrap_or(u64::from(has_only_should));
    let sum = must_scores?.iter().sum::<f64>() + should_scores.iter().sum::<f64>();
    (should_scores.len() as u64 >= minimum_should_match).then_some(sum)
}

fn clauses<'a>(body: &'a Value, key: &str) -> &'a [Value] {
    body.get(key)
        .and_then(Value::as_array)
        .map_or(&[], Vec::as_slice)
}

fn field_boost(body: &Value, field: &str) -> f64 {
    body[field].get("boost").map_or(DEFAULT_NUMBER, number)
}

/// Returns the number of words of a text that a field contains, or `None` if the field does not
/// match.
fn matching_words(document: &Value, field: &str, text: &Value, operator: Operator) -> Option<f64> {
    let query_words = lowercase_words(text);
    let field_words = document.get(field).map(lowercase_words).unwrap_or_default();
    let match_count = query_words
        .iter()
        .filter(|word| field_words.contains(word))
        .count();
    let is_match = match operator {
        Operator::All => match_count == query_words.len() && match_count > 0,
        Operator::Any => match_count > 0,
    };
    is_match.then_some(match_count as f64)
}

fn lowercase_words(value: &Value) -> Vec<String> {
    let text = value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_string);
    text.split_whitespace().map(str::to_lowercase).collect()
}
