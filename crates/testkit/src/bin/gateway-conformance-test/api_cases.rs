//! Requests of each form that the gateway knows, with the responses that they have to get.

use aggregator_testkit::installation::SHARDS;
use aggregator_testkit::search::{matching_documents, ShardFault, FAULTED_SHARD};
use serde_json::{json, Value};

/// A request and what its response has to be.
pub struct ApiCase {
    /// The HTTP method.
    pub method: &'static str,
    /// The path, with parameters.
    pub path: &'static str,
    /// The body, empty if there is none.
    pub body: String,
    /// The status of the response.
    pub status: u16,
    /// A JSON pointer into the response; empty for a HEAD.
    pub pointer: &'static str,
    /// The value there.
    pub value: Value,
}

impl ApiCase {
    fn new(method: &'static str, path: &'static str, body: &str) -> ApiCase {
        ApiCase {
            method,
            path,
            body: body.into(),
            status: 200,
            pointer: "",
            value: Value::Null,
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

    fn status(mut self, status: u16) -> ApiCase {
        self.status = status;
        self
    }

    fn expect(mut self, pointer: &'static str, value: impl Into<Value>) -> ApiCase {
        self.pointer = pointer;
        self.value = value.into();
        self
    }

    fn expect_error(self, status: u16, error_type: &'static str) -> ApiCase {
        self.status(status).expect("/error/type", error_type)
    }
}

/// All cases, in the order in which they are sent.
pub fn all() -> Vec<ApiCase> {
    let mut cases = cluster_cases();
    cases.extend(search_error_cases());
    cases.extend(search_cases());
    cases.extend(fault_cases());
    cases.extend(multi_search_cases());
    cases
}

/// A search that some documents of some shards match.
fn query() -> Value {
    json!({"query": {"match": {"title": "river"}}})
}

fn match_count(shards: &[u32]) -> usize {
    matching_documents(&query(), shards).len()
}

fn match_count_of_all_shards() -> usize {
    match_count(&Vec::from_iter(0..SHARDS))
}

fn cluster_cases() -> Vec<ApiCase> {
    vec![
        ApiCase::get("/", "").expect("/version/distribution", "opensearch"),
        ApiCase::head("/chart-ranking"),
        ApiCase::head("/none").status(404),
        ApiCase::get("/_cluster/health", "").expect("/status", "green"),
        ApiCase::get("/_cat/indices", "").expect("/0/index", "catalogue-report"),
    ]
}

fn search_error_cases() -> Vec<ApiCase> {
    let query = query().to_string();
    vec![
        ApiCase::post("/none/_search", &query).expect_error(404, "index_not_found_exception"),
        ApiCase::post("/_search", &query).expect_error(400, "illegal_argument_exception"),
        ApiCase::post("/chart-ranking/_search", "{").expect_error(400, "parsing_exception"),
        ApiCase::post("/chart-ranking/_search?routing=1", &query)
            .status(400)
            .expect("/status", 400),
        ApiCase::post("/chart-ranking/_search?scroll=1m", &query)
            .expect_error(400, "illegal_argument_exception"),
        ApiCase::delete("/chart-ranking").expect_error(400, "illegal_argument_exception"),
    ]
}

fn search_cases() -> Vec<ApiCase> {
    let query = query().to_string();
    let all_matches = match_count_of_all_shards();
    vec![
        ApiCase::post("/chart-ranking/_search?size=0", &query)
            .expect("/hits/total/value", all_matches),
        ApiCase::get("/chart-ranking/_count", &query).expect("/count", all_matches),
        ApiCase::post("/chart-ranking/_search?preference=_shards:3,14", &query)
            .expect("/hits/total/value", match_count(&[3, 14])),
        ApiCase::post("/chart-ranking/_search?preference=_shards:3,99", &query)
            .status(400)
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
        .status(503)
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
        query()
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
