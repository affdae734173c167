//! Checks of the gateway's API, made before the load starts: single requests of every kind, a
//! compressed request and response, and paging through all documents.

use crate::api_cases::{self, ApiCase};
use aggregator_testkit::client::HttpConnection;
use aggregator_testkit::http::{exchange, FullResponse, HOST};
use aggregator_testkit::installation::SHARDS;
use aggregator_testkit::search::matching_documents;
use bytes::Bytes;
use flate2::read::GzDecoder;
use flate2::write::GzEncoder;
use flate2::Compression;
use http_body_util::Full;
use hyper::Request;
use serde_json::{json, Value};
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::timeout;

const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
const PAGE_SIZE: usize = 37;
const COMPRESSED_PAGE_SIZE: usize = 100;
const OPAQUE_ID: &str = "mine";

/// Makes all checks. Returns a description of each failed one.
pub async fn check_all(gateway: SocketAddr) -> Vec<String> {
    let mut connection = HttpConnection::new(gateway);
    let mut failures = Vec::new();
    for case in api_cases::all() {
        failures.extend(check_case(&mut connection, &case).await);
    }
    failures.extend(check_compression(gateway).await);
    failures.extend(check_paging(&mut connection).await);
    failures
}

/// Response with a JSON body.
struct JsonResponse {
    status: u16,
    body: Value,
}

async fn send(
    connection: &mut HttpConnection,
    method: &str,
    path: &str,
    body: &str,
) -> Option<JsonResponse> {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header("Host", HOST)
        .header("X-Tenant-Id", "alpha")
        .body(Full::new(Bytes::from(body.to_string())))
        .ok()?;
    let response = timeout(RESPONSE_TIMEOUT, connection.send(request))
        .await
        .ok()??;
    Some(JsonResponse {
        status: response.status,
        body: serde_json::from_slice(&response.body).unwrap_or_default(),
    })
}

async fn check_case(connection: &mut HttpConnection, case: &ApiCase) -> Option<String> {
    let response = send(connection, case.method, case.path, &case.body).await;
    let passed = response.as_ref().is_some_and(|response| {
        let value = response.body.pointer(case.pointer);
        response.status == case.expected_status
            && (case.method == "HEAD" || value == Some(&case.expected_value))
    });
    if passed {
        return None;
    }
    let actual = response.map(|response| (response.status, response.body));
    Some(format!(
        "{} {}: expected status {} and the value {} at '{}', got {actual:?}",
        case.method, case.path, case.expected_status, case.expected_value, case.pointer
    ))
}

/// Checks a search with compressed request and response, whose tenant is identified only by its
/// network.
async fn check_compression(gateway: SocketAddr) -> Option<String> {
    let response = match compressed_request() {
        Ok(request) => exchange(gateway, request, RESPONSE_TIMEOUT).await,
        Err(_) => None,
    };
    if response.is_some_and(|response| is_compressed_page(&response)) {
        return None;
    }
    Some("gzip search without a tenant header: expected a gzip response with a page of hits".into())
}

fn compressed_request() -> io::Result<Request<Full<Bytes>>> {
    let search = json!({ "size": COMPRESSED_PAGE_SIZE }).to_string();
    let mut encoder = GzEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(search.as_bytes())?;
    Request::post("/chart-ranking/_search")
        .header("Host", HOST)
        .header("Content-Encoding", "gzip")
        .header("Accept-Encoding", "gzip")
        .header("X-Opaque-Id", OPAQUE_ID)
        .body(Full::new(Bytes::from(encoder.finish()?)))
        .map_err(io::Error::other)
}

fn is_compressed_page(response: &FullResponse) -> bool {
    let mut text = String::new();
    if GzDecoder::new(&response.body[..])
        .read_to_string(&mut text)
        .is_err()
    {
        return false;
    }
    let body: Value = serde_json::from_str(&text).unwrap_or_default();
    let opaque_id = response.headers.get("x-opaque-id");
    response.status == 200
        && opaque_id.is_some_and(|id| id == OPAQUE_ID)
        && body["hits"]["hits"].as_array().map(Vec::len) == Some(COMPRESSED_PAGE_SIZE)
}

/// Checks paging through all documents with `search_after`, each page starting after the last hit
/// of the previous one.
async fn check_paging(connection: &mut HttpConnection) -> Option<String> {
    let mut search = json!({
        "query": {"match_all": {}},
        "size": PAGE_SIZE,
        "sort": [{"year": "desc"}, "released", "title"],
    });
    let all_shards = Vec::from_iter(0..SHARDS);
    let expected: Vec<String> = matching_documents(&search, &all_shards)
        .into_iter()
        .map(|hit| hit.id)
        .collect();
    let mut paged: Vec<String> = Vec::new();
    while paged.len() < expected.len() {
        let path = "/catalogue-report/_search";
        let response = send(connection, "POST", path, &search.to_string()).await;
        let Some(JsonResponse { status: 200, body }) = response else {
            break;
        };
        let hits = body["hits"]["hits"].as_array().cloned().unwrap_or_default();
        let Some(last_hit) = hits.last() else {
            break;
        };
        let ids = hits.iter().filter_map(|hit| hit["_id"].as_str());
        paged.extend(ids.map(str::to_string));
        search["search_after"] = last_hit["sort"].clone();
    }
    (paged != expected).then(|| {
        format!(
            "search_after: expected all {} documents in order, got {}",
            expected.len(),
            paged.len()
        )
    })
}
