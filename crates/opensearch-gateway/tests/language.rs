//! The query language and the merge, without a socket.

use opensearch_gateway::merge::{merge, Relation, ShardAnswer, ShardResult};
use opensearch_gateway::query_dsl::limits::{MAX_CLAUSES, MAX_CLAUSE_DEPTH};
use opensearch_gateway::query_dsl::{SearchRequest, SearchRequestError};
use proptest::prelude::*;
use serde_json::{json, Value};

fn search(body: &Value) -> Result<SearchRequest, SearchRequestError> {
    SearchRequest::parse(body.to_string().as_bytes())
}

#[test]
fn what_is_not_known_is_rejected_by_its_path() {
    let nested = |depth: usize| {
        (0..depth).fold(
            json!({"match_all": {}}),
            |inner, _| json!({"constant_score": {"filter": inner}}),
        )
    };
    let many: Vec<Value> = (0..MAX_CLAUSES).map(|_| json!({"match_all": {}})).collect();
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
        (json!({"query": nested(MAX_CLAUSE_DEPTH)}), "query", "deep"),
        (
            json!({"query": {"bool": {"should": many}}}),
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
        let problem = search(&body).expect_err(&body.to_string());
        assert!(
            problem.path.starts_with(path) && problem.cause.to_string().contains(reason),
            "{body}: {problem}"
        );
    }
    assert!(search(&json!({"query": nested(MAX_CLAUSE_DEPTH - 1)})).is_ok());
    // As deep as a body can be: it is refused before anything goes down into it.
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
fn shards_are_asked_for_all_that_a_page_may_need() {
    let asked = search(
        &json!({"from": 30, "size": 20, "timeout": "1s", "aggregations": {
        "a": {"avg": {"field": "x"}}, "t": {"terms": {"field": "x", "size": 4}}}}),
    );
    let shard = serde_json::to_value(asked.unwrap().to_shard_request()).unwrap();
    assert_eq!(
        shard,
        json!({"size": 50, "aggs": {"a": {"stats": {"field": "x"}}, "t": {"terms": {"field": "x", "size": 16}}}})
    );
}

fn shard_result(shard: u32, hits: Value, total: Value, aggregations: Value) -> ShardResult {
    let text =
        json!({"hits": {"total": total, "hits": hits}, "aggregations": aggregations}).to_string();
    let answer = serde_json::from_str(&text).unwrap();
    ShardResult { shard, answer }
}

#[test]
fn equal_keys_missing_ones_and_other_types_have_one_order() {
    let asked = search(&json!({"sort": [{"n": "desc"}], "size": 20})).unwrap();
    let hit = |id: &str, key: Value| json!({"_id": id, "_score": null, "sort": [key]});
    let eq = |n: u64| json!({"value": n, "relation": "eq"});
    let answers = || {
        let one = json!([
            hit("t", json!("7")),
            hit("c", json!(7)),
            hit("big", json!(u64::MAX))
        ]);
        let two = json!([
            hit("b", json!(7)),
            hit("a", json!(7)),
            hit("z", Value::Null)
        ]);
        let three = json!([hit("m", json!(-1e300)), hit("f", json!(true))]);
        let bound = json!({"value": 9, "relation": "gte"});
        vec![
            shard_result(2, two, eq(3), json!({})),
            shard_result(1, one, eq(3), json!({})),
            shard_result(3, three, bound, json!({})),
        ]
    };
    let ids = |answers| {
        merge(&asked, answers)
            .hits
            .iter()
            .map(|hit| hit.id.clone())
            .collect::<Vec<_>>()
    };
    let right = ["big", "c", "a", "b", "m", "t", "f", "z"];
    assert_eq!(ids(answers()), right);
    let mut turned = answers();
    turned.reverse();
    assert_eq!(ids(turned), right, "whichever answer came first");
    let total = merge(&asked, answers()).total.unwrap();
    assert_eq!(
        (total.value, total.relation),
        (15, Relation::Gte),
        "a bound in one shard makes it a bound"
    );
}

#[test]
fn terms_tell_how_wrong_they_may_be() {
    let asked =
        search(&json!({"size": 0, "aggs": {"t": {"terms": {"field": "x", "size": 2}}}})).unwrap();
    let part = |number: u32, buckets: &[(&str, u64)], other: u64| {
        let buckets: Vec<Value> = buckets
            .iter()
            .map(|(key, n)| json!({"key": key, "doc_count": n}))
            .collect();
        let terms = json!({"doc_count_error_upper_bound": 0, "sum_other_doc_count": other, "buckets": buckets});
        shard_result(
            number,
            json!([]),
            json!({"value": 0, "relation": "eq"}),
            json!({ "t": terms }),
        )
    };
    let answers = vec![
        part(0, &[("a", 9), ("b", 5)], 4),
        part(1, &[("c", 8), ("b", 6), ("d", 1)], 0),
    ];
    let merged = merge(&asked, answers);
    assert_eq!(
        merged.aggregations["t"],
        json!({"doc_count_error_upper_bound": 5, "sum_other_doc_count": 13,
            "buckets": [{"key": "b", "doc_count": 11}, {"key": "a", "doc_count": 9}]})
    );
}

#[test]
fn a_shards_answer_that_is_none_says_why() {
    let asked = search(&json!({"sort": ["a"], "aggs": {"m": {"max": {"field": "a"}}}})).unwrap();
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
        let why = ShardAnswer::parse(&text, &asked).unwrap_err();
        assert!(
            why.kind() == kind && why.to_string().contains(reason),
            "{text}: {why:?}"
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever bytes come, reading them ends without a panic; what is read says the same when it
    /// is written again.
    #[test]
    fn any_bytes_are_a_search_or_a_problem(
        pieces in prop::collection::vec(prop::sample::select(vec![
            "{", "}", "[", "]", ",", ":", "\"query\"", "\"bool\"", "\"must\"", "\"term\"", "\"match_all\"", "\"size\"",
            "\"sort\"", "\"aggs\"", "\"a\"", "1", "-1", "1e308", "null", "true", "\"desc\"", "\"\\", "\u{1f3b5}",
        ]), 0..40),
        noise in prop::collection::vec(any::<u8>(), 0..20),
    ) {
        let mut bytes = pieces.concat().into_bytes();
        let _ = SearchRequest::parse(&bytes);
        bytes.extend(noise);
        if let Ok(search) = SearchRequest::parse(&bytes) {
            let again = serde_json::to_vec(&search).unwrap();
            prop_assert_eq!(SearchRequest::parse(&again).unwrap(), search);
        }
        let _ = ShardAnswer::parse(&String::from_utf8_lossy(&bytes), &SearchRequest::default());
    }

    /// A page of the merge is that page of all hits in order, however they are spread over shards.
    #[test]
    fn pages_are_cut_from_one_order(
        scores in prop::collection::vec((0u8..4, 0u32..5), 0..60), from in 0u64..30, size in 0u64..30,
    ) {
        let asked = search(&json!({"from": from, "size": size})).unwrap();
        let mut right: Vec<(u8, u32, String)> = Vec::new();
        let mut shards: Vec<Vec<Value>> = vec![Vec::new(); 5];
        for (n, (score, shard)) in scores.iter().enumerate() {
            right.push((*score, *shard, format!("{n:03}")));
            shards[*shard as usize].push(json!({"_id": format!("{n:03}"), "_score": score}));
        }
        right.sort_by(|a, b| b.0.cmp(&a.0).then(a.1.cmp(&b.1)).then(a.2.cmp(&b.2)));
        let total = |hits: &[Value]| json!({"value": hits.len(), "relation": "eq"});
        let answers = shards.iter().enumerate().map(|(n, hits)| shard_result(n as u32, json!(hits), total(hits), json!({})));
        let merged = merge(&asked, answers.collect());
        let ids: Vec<String> = merged.hits.iter().map(|hit| hit.id.clone()).collect();
        let page: Vec<String> = right.into_iter().skip(from as usize).take(size as usize).map(|it| it.2).collect();
        prop_assert_eq!(ids, page);
        prop_assert_eq!(merged.total.map_or(0, |total| total.value), scores.len() as u64);
    }
}
