//! Tests of parsing, validating and rewriting search requests.

mod support;

use opensearch_gateway::merge::ShardAnswer;
use opensearch_gateway::query_dsl::limits::{MAX_CLAUSES, MAX_CLAUSE_DEPTH};
use opensearch_gateway::query_dsl::SearchRequest;
use proptest::prelude::*;
use serde_json::{json, Value};
use support::parse_request;

#[test]
#[allow(clippy::too_many_lines, reason = "the test is one list of cases")]
fn invalid_requests_are_rejected_with_the_path_of_the_invalid_field() {
    let nested_query = |depth: usize| {
        (0..depth).fold(
            json!({"match_all": {}}),
            |inner, _| json!({"constant_score": {"filter": inner}}),
        )
    };
    let max_clauses: Vec<Value> = (0..MAX_CLAUSES).map(|_| json!({"match_all": {}})).collect();
    let cases = [
        (json!({"quary": {}}), "quary", "unknown field"),
        (
            json!({"query": {"matsch": {"a": 1}}}),
            "query",
            "unknown variant",
        ),
        (
            json!({"query": {"bool": {"must": [{"term": {"a": {"value": 1, "bost": 2}}}]}}}),
            "query.bool.must",
            "bost",
        ),
        (
            json!({"query": {"term": {"a": 1, "b": 2}}}),
            "query.term",
            "[b] is another",
        ),
        (
            json!({"query": {"range": {"a": {"above": 1}}}}),
            "query.range.a",
            "above",
        ),
        (
            json!({"query": {"range": {"a": []}}}),
            "query.range",
            "an object",
        ),
        (json!({"query": {"bool": []}}), "query.bool", "an object"),
        (
            json!({"aggs": {"x": {"max": ["a"]}}}),
            "aggs.x",
            "an object",
        ),
        (json!({"size": -1}), "size", "invalid value"),
        (json!({"from": 9_999, "size": 2}), "from", "10000 at most"),
        (
            json!({"from": u64::MAX, "size": 2}),
            "from",
            "10000 at most",
        ),
        (
            json!({"query": nested_query(MAX_CLAUSE_DEPTH)}),
            "query",
            "deep",
        ),
        (
            json!({"query": {"bool": {"should": max_clauses}}}),
            "query",
            "clauses",
        ),
        (
            json!({"query": {"ids": {"values": vec!["x"; MAX_CLAUSES + 1]}}}),
            "query",
            "values",
        ),
        (json!({"search_after": [1]}), "search_after", "sort"),
        (
            json!({"search_after": [1, 2], "sort": ["a"]}),
            "search_after",
            "each key",
        ),
        (
            json!({"search_after": [{}], "sort": ["a"]}),
            "search_after",
            "plain",
        ),
        (json!({"sort": [{"a": "up"}]}), "sort", "up"),
        (json!({"timeout": "5 minutes"}), "timeout", "no time"),
        (
            json!({"aggs": {"x": {"terms": {"field": "a", "size": 0}}}}),
            "aggs.x",
            "size",
        ),
        (
            json!({"aggs": {"x": {"histogram": {"field": "a", "interval": 0}}}}),
            "aggs.x",
            "interval",
        ),
        (
            json!({"aggs": {"x": {"terms": {"field": "a"}, "aggs": {}}}}),
            "aggs.x",
            "",
        ),
        (
            json!({"aggs": {"x": {"percentiles": {"field": "a"}}}}),
            "aggs.x",
            "percentiles",
        ),
    ];
    for (body, path, reason) in cases {
        let error = parse_request(&body).expect_err(&body.to_string());
        assert!(
            error.path.starts_with(path) && error.cause.to_string().contains(reason),
            "{body}: {error}"
        );
    }
    assert!(parse_request(&json!({"query": nested_query(MAX_CLAUSE_DEPTH - 1)})).is_ok());
    // A body of extreme depth is rejected before the recursive parser can overflow the stack.
    let deep = [b"[".repeat(60_000), b"]".repeat(60_000)].concat();
    assert!(SearchRequest::parse(&deep)
        .unwrap_err()
        .cause
        .exceeds_limit());
    for text in [
        "{",
        "{}{}",
        "[]",
        "1e999",
        "\"\\ud800\"",
        "{\"size\":1e999}",
        "{\"query\":{\"term\":{\"a\":NaN}}}",
    ] {
        assert!(SearchRequest::parse(text.as_bytes()).is_err(), "{text}");
    }
    assert_eq!(
        SearchRequest::parse(b" \n").unwrap(),
        SearchRequest::default()
    );
}

#[test]
fn shard_requests_ask_for_all_hits_and_buckets_that_a_page_may_need() {
    let request = parse_request(
        &json!({"from": 30, "size": 20, "timeout": "1s", "aggregations": {
        "a": {"avg": {"field": "x"}}, "t": {"terms": {"field": "x", "size": 4}}}}),
    );
    let shard_request = serde_json::to_value(request.unwrap().to_shard_request()).unwrap();
    assert_eq!(
        shard_request,
        json!({"size": 50, "aggs": {"a": {"stats": {"field": "x"}}, "t": {"terms": {"field": "x", "size": 16}}}})
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, failure_persistence: None, ..ProptestConfig::default() })]

    /// Parsing never panics, and serializing and parsing a valid request again does not change it.
    #[test]
    fn parsing_arbitrary_bytes_never_panics_and_valid_requests_round_trip(
        pieces in prop::collection::vec(prop::sample::select(vec![
            "{", "}", "[", "]", ",", ":", "\"query\"", "\"bool\"", "\"must\"", "\"term\"", "\"match_all\"", "\"size\"",
            "\"sort\"", "\"aggs\"", "\"a\"", "1", "-1", "1e308", "null", "true", "\"desc\"", "\"\\", "\u{1f3b5}",
        ]), 0..40),
        noise in prop::collection::vec(any::<u8>(), 0..20),
    ) {
        let mut bytes = pieces.concat().into_bytes();
        let _ = SearchRequest::parse(&bytes);
        bytes.extend(noise);
        if let Ok(request) = SearchRequest::parse(&bytes) {
            let serialized = serde_json::to_vec(&request).unwrap();
            prop_assert_eq!(SearchRequest::parse(&serialized).unwrap(), request);
        }
        let _ = ShardAnswer::parse(&String::from_utf8_lossy(&bytes), &SearchRequest::default());
    }
}
