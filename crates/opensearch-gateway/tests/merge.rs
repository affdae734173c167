//! Tests of merging the answers of shards.

mod support;

use opensearch_gateway::merge::{merge, Relation, ShardAnswer, ShardResult};
use proptest::prelude::*;
use serde_json::{json, Value};
use support::parse_request;

fn shard_result(shard: u32, hits: Value, total: Value, aggregations: Value) -> ShardResult {
    let text =
        json!({"hits": {"total": total, "hits": hits}, "aggregations": aggregations}).to_string();
    let answer = serde_json::from_str(&text).unwrap();
    ShardResult { shard, answer }
}

#[test]
fn equal_missing_and_mixed_type_sort_values_have_a_deterministic_order() {
    let request = parse_request(&json!({"sort": [{"n": "desc"}], "size": 20})).unwrap();
    let hit = |id: &str, key: Value| json!({"_id": id, "_score": null, "sort": [key]});
    let exact = |value: u64| json!({"value": value, "relation": "eq"});
    let results = || {
        let first = json!([
            hit("t", json!("7")),
            hit("c", json!(7)),
            hit("big", json!(u64::MAX))
        ]);
        let second = json!([
            hit("b", json!(7)),
            hit("a", json!(7)),
            hit("z", Value::Null)
        ]);
        let third = json!([hit("m", json!(-1e300)), hit("f", json!(true))]);
        let lower_bound = json!({"value": 9, "relation": "gte"});
        vec![
            shard_result(2, second, exact(3), json!({})),
            shard_result(1, first, exact(3), json!({})),
            shard_result(3, third, lower_bound, json!({})),
        ]
    };
    let ids = |results| {
        merge(&request, results)
            .hits
            .iter()
            .map(|hit| hit.id.clone())
            .collect::<Vec<_>>()
    };
    let expected = ["big", "c", "a", "b", "m", "t", "f", "z"];
    assert_eq!(ids(results()), expected);
    let mut reversed_results = results();
    reversed_results.reverse();
    assert_eq!(
        ids(reversed_results),
        expected,
        "expected an order that does not depend on the order of arrival"
    );
    let total = merge(&request, results()).total.unwrap();
    assert_eq!(
        (total.value, total.relation),
        (15, Relation::Gte),
        "expected a lower bound as the total, because the total of one shard is a lower bound"
    );
}

#[test]
fn merged_terms_report_an_upper_bound_on_their_error() {
    let request =
        parse_request(&json!({"size": 0, "aggs": {"t": {"terms": {"field": "x", "size": 2}}}}))
            .unwrap();
    let partial = |shard: u32, buckets: &[(&str, u64)], omitted_doc_count: u64| {
        let buckets: Vec<Value> = buckets
            .iter()
            .map(|(key, doc_count)| json!({"key": key, "doc_count": doc_count}))
            .collect();
        let terms = json!({
            "doc_count_error_upper_bound": 0,
            "sum_other_doc_count": omitted_doc_count,
            "buckets": buckets,
        });
        shard_result(
            shard,
            json!([]),
            json!({"value": 0, "relation": "eq"}),
            json!({ "t": terms }),
        )
    };
    let results = vec![
        partial(0, &[("a", 9), ("b", 5)], 4),
        partial(1, &[("c", 8), ("b", 6), ("d", 1)], 0),
    ];
    let merged = merge(&request, results);
    assert_eq!(
        merged.aggregations["t"],
        json!({"doc_count_error_upper_bound": 5, "sum_other_doc_count": 13,
            "buckets": [{"key": "b", "doc_count": 11}, {"key": "a", "doc_count": 9}]})
    );
}

#[test]
fn an_unusable_shard_answer_is_reported_with_a_type_and_a_reason() {
    let request =
        parse_request(&json!({"sort": ["a"], "aggs": {"m": {"max": {"field": "a"}}}})).unwrap();
    let cases = [
        (
            json!({"error": {"type": "x_exception", "reason": "why"}, "status": 400}).to_string(),
            "x_exception",
            "why",
        ),
        (
            "{\"hits\":{\"hits\":[".into(),
            "json_parse_exception",
            "EOF",
        ),
        (
            json!({"timed_out": true, "hits": {"hits": []}}).to_string(),
            "timeout_exception",
            "time",
        ),
        (
            json!({"hits": {"hits": [{"_id": "1"}]}}).to_string(),
            "illegal_state_exception",
            "sort",
        ),
        (
            json!({"hits": {"hits": []}}).to_string(),
            "illegal_state_exception",
            "[m] is missing",
        ),
    ];
    for (text, kind, reason) in cases {
        let failure = ShardAnswer::parse(&text, &request).unwrap_err();
        assert!(
            failure.kind() == kind && failure.to_string().contains(reason),
            "{text}: {failure:?}"
        );
    }
}

/// The values that determine the position of a hit.
struct ExpectedHit {
    score: u8,
    shard: u32,
    id: String,
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, failure_persistence: None, ..ProptestConfig::default() })]

    /// A merged page equals the same page of the sorted list of all hits, regardless of the
    /// distribution of hits over shards.
    #[test]
    fn a_merged_page_equals_the_page_of_all_sorted_hits(
        scores_and_shards in prop::collection::vec((0u8..4, 0u32..5), 0..60), from in 0u64..30, size in 0u64..30,
    ) {
        let request = parse_request(&json!({"from": from, "size": size})).unwrap();
        let mut expected: Vec<ExpectedHit> = Vec::new();
        let mut shards: Vec<Vec<Value>> = vec![Vec::new(); 5];
        for (number, (score, shard)) in scores_and_shards.iter().enumerate() {
            let id = format!("{number:03}");
            shards[*shard as usize].push(json!({"_id": id, "_score": score}));
            expected.push(ExpectedHit { score: *score, shard: *shard, id });
        }
        expected.sort_by(|left, right| {
            let by_score = right.score.cmp(&left.score);
            by_score.then(left.shard.cmp(&right.shard)).then(left.id.cmp(&right.id))
        });
        let total = |hits: &[Value]| json!({"value": hits.len(), "relation": "eq"});
        let results = shards.iter().enumerate().map(|(shard, hits)| {
            shard_result(shard as u32, json!(hits), total(hits), json!({}))
        });
        let merged = merge(&request, results.collect());
        let ids: Vec<String> = merged.hits.iter().map(|hit| hit.id.clone()).collect();
        let expected_page = expected.into_iter().skip(from as usize).take(size as usize);
        let expected_ids: Vec<String> = expected_page.map(|hit| hit.id).collect();
        prop_assert_eq!(ids, expected_ids);
        prop_assert_eq!(merged.total.map_or(0, |total| total.value), scores_and_shards.len() as u64);
    }
}
