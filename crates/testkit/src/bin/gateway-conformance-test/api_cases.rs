//! Test cases for the gateway's API: requests with their expected responses.

use aggregator_testkit::installation::SHARDS;
use aggregator_testkit::search::{matching_documents, ShardFault, FAULTED_SHARD};
use serde_json::{json, Value};

/// Request and its expected response.
pub struct ApiCase {
    /// HTTP method.
    pub method: &'static str,
    /// Path and query string.
    pub path: &'static str,
    /// Body; empty for none.
    pub body: String,
    /// Expected HTTP status code.
    pub expected_status: u16,
    /// JSON pointer to the checked value in the response body; unused for HEAD.
    pub pointer: &'static str,
    /// Expected value at `pointer`.
    pub expected_value: Value,
}

impl ApiCase {
    fn new(method: &'static str, path: &'static str, body: &str) -> ApiCase {
        ApiCase {
            method,
            path,
            body: body.into(),
            expected_status: 200,
            pointer: "",
            expected_value: Value::Null,
        }
    }

    fn head(path: &'static str) -> ApiCase {
        ApiCase::new("HEAD", path, "")
    }

    fn get(path: &'static str, body: &str) -> ApiCase {
        ApiCase::new("GET", path, body)
    }

    fn post(path: &'static str, body: &str) -> ApiCase {
        ApiCase::new("POST", path, body)
    }

    fn delete(path: &'static str) -> ApiCase {
        ApiCase::new("DELETE", path, "")
    }

    fn expect_status(mut self, status: u16) -> ApiCase {
        self.expected_status = status;
        self
    }

    fn expect(mut self, pointer: &'static str, value: impl Into<Value>) -> ApiCase {
        self.pointer = pointer;
        self.expected_value = value.into();
        self
    }

    fn expect_error(self, status: u16, error_type: &'static str) -> ApiCase {
        self.expect_status(status).expect("/error/type", error_type)
    }
}

/// Returns all cases in the order in which they are sent.
pub fn all() -> Vec<ApiCase> {
    let mut cases = cluster_cases();
    cases.extend(search_error_cases());
    cases.extend(search_cases());
    cases.extend(fault_cases());
    cases.extend(multi_search_cases());
    cases
}

/// Returns a search that matches some documents of some shards.
fn river_search() -> Value {
    json!({"query": {"match": {"title": "river"}}})
}

fn match_count(shards: &[u32]) -> usize {
    matching_documents(&river_search(), shards).len()
}

fn match_count_of_all_shards() -> usize {
    match_count(&Vec::from_iter(0..SHARDS))
}

fn cluster_cases() -> Vec<ApiCase> {
    vec![
        ApiCase::get("/", "").expect("/version/distribution", "opensearch"),
        ApiCase::head("/chart-ranking"),
        ApiCase::head("/none").expect_status(404),
        ApiCase::get("/_cluster/health", "").expect("/status", "green"),
        ApiCase::get("/_cat/indices", "").expect("/0/index", "catalogue-report"),
    ]
}

fn search_error_cases() -> Vec<ApiCase> {
    let search = river_search().to_string();
    vec![
        ApiCase::post("/none/_search", &search).expect_error(404, "index_not_found_exception"),
        ApiCase::post("/_search", &search).expect_error(400, "illegal_argument_exception"),
        ApiCase::post("/chart-ranking/_search", "{").expect_error(400, "parsing_exception"),
        ApiCase::post("/chart-ranking/_search?routing=1", &search)
            .expect_status(400)
            .expect("/status", 400),
        ApiCase::post("/chart-ranking/_search?scroll=1m", &search)
            .expect_error(400, "illegal_argument_exception"),
        ApiCase::delete("/chart-ranking").expect_error(400, "illegal_argument_exception"),
    ]
}

fn search_cases() -> Vec<ApiCase> {
    let search = river_search().to_string();
    let all_matches = match_count_of_all_shards();
    vec![
        ApiCase::post("/chart-ranking/_search?size=0", &search)
            .expect("/hits/total/value", all_matches),
        ApiCase::get("/chart-ranking/_count", &search).expect("/count", all_matches),
        ApiCase::post("/chart-ranking/_search?preference=_shards:3,14", &search)
            .expect("/hits/total/value", match_count(&[3, 14])),
        ApiCase::post("/chart-ranking/_search?preference=_shards:3,99", &search)
            .expect_status(400)
            .expect("/status", 400),
    ]
}

fn fault_cases() -> Vec<ApiCase> {
    let min_score = ShardFault::ErrorFromOneShard.min_score();
    let faulted_search = json!({"min_score": min_score, "sort": ["year"]}).to_string();
    vec![
        ApiCase::post(
            "/chart-ranking/_search?allow_partial_search_results=false",
            &faulted_search,
        )
        .expect_status(503)
        .expect("/error/failed_shards/0/shard", FAULTED_SHARD),
        ApiCase::post("/chart-ranking/_search", &faulted_search)
            .expect("/_shards/failures/0/reason/type", "query_shard_exception"),
    ]
}

fn multi_search_cases() -> Vec<ApiCase> {
    let searches = format!(
        "{{\"index\":\"chart-ranking\"}}\n{}\n\
         {{}}\n{{\"quary\":1}}\n\
         {{\"index\":\"none\"}}\n{{}}\n",
        river_search()
    );
    vec![
        ApiCase::post("/_msearch", &searches)
            .expect("/responses/0/hits/total/value", match_count_of_all_shards()),
        ApiCase::post("/chart-ranking/_msearch", &searches)
            .expect("/responses/1/error/type", "parsing_exception"),
        ApiCase::post("/_msearch", &searches).expect("/responses/2/status", 404),
        ApiCase::post("/_msearch", "{}\n").expect_error(400, "illegal_argument_exception"),
    ]
}
