//! Generator of random searches.

use aggregator_testkit::search::{ShardFault, GENRES, TITLE_WORDS};
use rand::rngs::StdRng;
use rand::Rng;
use serde_json::{json, Map, Value};

/// Maximum nesting depth of the clauses of a query.
const MAX_DEPTH: u32 = 2;
/// Numbers of choices for a random clause: those without nested clauses, and all. Two of the
/// choices are a `bool` clause.
const SIMPLE_CLAUSE_CHOICES: u32 = 9;
const CLAUSE_CHOICES: u32 = 13;
const FAULT_PROBABILITY: f64 = 0.06;

/// Returns a random search over the generated documents; a few searches request a fault.
pub fn random_search(random: &mut StdRng) -> Value {
    let mut search = json!({"query": random_clause(random, MAX_DEPTH)});
    if random.random_bool(0.5) {
        search["size"] = json!(random.random_range(0..120));
    }
    if random.random_bool(0.5) {
        search["sort"] = random_sort(random);
    }
    if random.random_bool(0.3) {
        search["from"] = json!(random.random_range(0..60));
    }
    if random.random_bool(0.2) {
        search["min_score"] = json!(1.0);
    }
    let fault = ShardFault::ALL[random.random_range(0..ShardFault::ALL.len())];
    if random.random_bool(FAULT_PROBABILITY) {
        search["min_score"] = json!(fault.min_score());
        search["sort"] = json!(["year"]);
    }
    if random.random_bool(0.3) {
        search["aggs"] = all_aggregations();
    }
    search
}

fn random_clause(random: &mut StdRng, depth: u32) -> Value {
    let word = TITLE_WORDS[random.random_range(0..TITLE_WORDS.len())];
    let genre = GENRES[random.random_range(0..GENRES.len())];
    let year = random.random_range(1960..2020);
    let choices = if depth > 0 {
        CLAUSE_CHOICES
    } else {
        SIMPLE_CLAUSE_CHOICES
    };
    match random.random_range(0..choices) {
        0 => json!({"match_all": {}}),
        1 => json!({"match": {"title": word}}),
        2 => json!({"match": {"title": {"query": format!("{word} night"), "operator": "and"}}}),
        3 => json!({"term": {"genre": {"value": genre, "boost": 2.0}}}),
        4 => json!({"terms": {"genre": [genre, "folk"]}}),
        5 => json!({"range": {"year": {"gte": year, "lt": year + 20}}}),
        6 => json!({"exists": {"field": "plays"}}),
        7 => json!({"prefix": {"genre": "f"}}),
        8 => {
            json!({"multi_match": {"query": format!("{word} jazz"), "fields": ["title", "genre"]}})
        }
        9 => json!({"constant_score": {"filter": random_clause(random, depth - 1), "boost": 3.5}}),
        10 => json!({"function_score": {"query": random_clause(random, depth - 1), "weight": 0.5}}),
        _ => random_bool_clause(random, depth),
    }
}

fn random_bool_clause(random: &mut StdRng, depth: u32) -> Value {
    let mut body = Map::new();
    for key in ["must", "filter", "should", "must_not"] {
        if random.random_bool(0.4) {
            let count = random.random_range(1..3);
            let clauses = (0..count).map(|_| random_clause(random, depth - 1));
            body.insert(key.into(), clauses.collect());
        }
    }
    json!({ "bool": body })
}

/// Returns two random sort keys. One of the candidates, `plays`, is missing in some documents and
/// is a string in one shard.
fn random_sort(random: &mut StdRng) -> Value {
    let keys = [
        json!({"year": "desc"}),
        json!({"plays": {"order": "asc"}}),
        json!("genre"),
        json!("_score"),
    ];
    let first = random.random_range(0..keys.len());
    json!([keys[first], keys[(first + 1) % keys.len()]])
}

/// Returns one aggregation of each kind.
fn all_aggregations() -> Value {
    json!({
        "genres": {"terms": {"field": "genre", "size": 3}},
        "years": {"stats": {"field": "year"}},
        "plays": {"avg": {"field": "plays"}},
        "least": {"min": {"field": "plays"}},
        "most": {"max": {"field": "year"}},
        "all": {"sum": {"field": "year"}},
        "counted": {"value_count": {"field": "genre"}},
        "decades": {"histogram": {"field": "year", "interval": 10}},
        "weeks": {"date_histogram": {"field": "released", "fixed_interval": "7d"}}
    })
}
