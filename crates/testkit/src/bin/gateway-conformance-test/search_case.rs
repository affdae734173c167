//! Search that is sent through the frontends, and the checks of its responses.

use crate::faulted_search::{check_faulted_search, SearchConditions};
use crate::page_check::check_page;
use crate::random_search::random_search;
use crate::tally::{SearchReport, ServedOutcome};
use aggregator_testkit::client::{
    consecutive_shards, ClientAttempt, ClientHit, ClientOutcome, ClientQuery, ClientResponse,
    HttpConnection,
};
use aggregator_testkit::http::HOST;
use aggregator_testkit::installation::{InstallationClass, CLASSES, SHARDS, TENANTS};
use aggregator_testkit::search::{shard_response, ShardFault};
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use rand::rngs::StdRng;
use rand::Rng;
use serde_json::Value;
use std::time::{Duration, Instant};
use tokio::time::timeout;

/// Time after the client timeout during which a client waits, to tell late responses from missing
/// ones.
const LATE_TOLERANCE: Duration = Duration::from_secs(3);

/// Search to be sent through both frontends, or through the gateway only if it requests a fault.
#[derive(Clone)]
pub struct SearchCase {
    /// Class of the search, whose name is also that of the searched index.
    pub class: InstallationClass,
    /// Fault that the search requests, if any.
    pub fault: Option<ShardFault>,
    id: String,
    search: Value,
    tenant: &'static str,
}

impl SearchCase {
    /// Creates a random search whose id consists of `client` and `search_number`.
    pub fn random(random: &mut StdRng, client: u64, search_number: u64) -> SearchCase {
        let search = random_search(random);
        SearchCase {
            id: format!("p{client}-{search_number}"),
            fault: ShardFault::requested_by(&search),
            class: CLASSES[random.random_range(0..CLASSES.len())],
            tenant: TENANTS[random.random_range(0..TENANTS.len())],
            search,
        }
    }

    /// Sends the search through the native frontend and checks the response.
    pub async fn send_native(&self, connection: &mut HttpConnection) -> SearchReport {
        let query = ClientQuery {
            class: self.class.name.into(),
            tenant: self.tenant.into(),
            shards: consecutive_shards(0, SHARDS, SHARDS),
            text: self.search.to_string(),
            idempotency_key: None,
        };
        let attempt = ClientAttempt {
            request_id: &self.id,
            is_retry: false,
            timeout: self.class.timeout(),
            late_tolerance: LATE_TOLERANCE,
        };
        match connection.query(&query, &attempt).await {
            ClientOutcome::Answered { is_complete, hits } => self.check_values(is_complete, &hits),
            ClientOutcome::Rejected { .. } => SearchReport::new(ServedOutcome::Rejected),
            ClientOutcome::Failed { .. } => SearchReport::new(ServedOutcome::Failed),
            ClientOutcome::ConnectionLost | ClientOutcome::TimedOut => {
                SearchReport::new(ServedOutcome::Unanswered)
            }
        }
    }

    /// Checks the values of an answer of the native frontend.
    fn check_values(&self, is_complete: bool, hits: &[ClientHit]) -> SearchReport {
        let mut report = SearchReport::new(ServedOutcome::answered(is_complete));
        let mut hits = hits.iter();
        if !hits.all(|hit| hit.document == shard_response(hit.shard, &self.search)) {
            let search = &self.search;
            report.add_error(format!(
                "native frontend: value differs from the response of its shard; search {search}"
            ));
        }
        report
    }

    /// Sends the search through the gateway and checks the response. Returns `None` if the request
    /// cannot be built.
    pub async fn send_to_gateway(
        &self,
        connection: &mut HttpConnection,
        conditions: SearchConditions,
    ) -> Option<SearchReport> {
        let request = Request::post(format!("/{}/_search", self.class.name))
            .header("Host", HOST)
            .header("Content-Type", "application/json")
            .header("X-Tenant-Id", self.tenant)
            .body(Full::new(Bytes::from(self.search.to_string())))
            .ok()?;
        let time_limit = conditions.client_timeout(&self.class);
        let sent_at = Instant::now();
        let response = timeout(time_limit + LATE_TOLERANCE, connection.send(request)).await;
        let is_late = sent_at.elapsed() > time_limit;
        let mut report = self.check_response(response.ok().flatten(), conditions);
        report.is_late = is_late;
        Some(report)
    }

    /// Checks the response of the gateway; `None` stands for a missing response.
    fn check_response(
        &self,
        response: Option<ClientResponse>,
        conditions: SearchConditions,
    ) -> SearchReport {
        let body = response
            .as_ref()
            .and_then(|response| serde_json::from_slice(&response.body).ok())
            .unwrap_or_default();
        let mut report = match response {
            Some(response) if response.status == 200 => self.check_page(&body),
            Some(response) if response.status == 429 => check_rejection(&response, &body),
            Some(response) => check_error(&response, &body),
            None => SearchReport::new(ServedOutcome::Unanswered),
        };
        if let Some(fault) = self.fault {
            let outcome = report.outcome;
            let result = check_faulted_search(fault, &self.class, outcome, &body, conditions);
            if let Err(error) = result {
                report.add_error(format!("{error}; search {}", self.search));
            }
        }
        report
    }

    fn check_page(&self, body: &Value) -> SearchReport {
        let is_complete = body["_shards"]["failed"] == 0;
        let mut report = SearchReport::new(ServedOutcome::answered(is_complete));
        match check_page(&self.search, body) {
            Ok(()) => report.has_exact_page = true,
            Err(error) => report.add_error(format!("{error}; search {}", self.search)),
        }
        report
    }
}

fn check_rejection(response: &ClientResponse, body: &Value) -> SearchReport {
    let mut report = SearchReport::new(ServedOutcome::Rejected);
    let error_type = &body["error"]["type"];
    if response.retry_after.is_none() || error_type != "circuit_breaking_exception" {
        report.add_error(format!(
            "rejection without Retry-After or with an unexpected error type: {body}"
        ));
    }
    report
}

fn check_error(response: &ClientResponse, body: &Value) -> SearchReport {
    let mut report = SearchReport::new(ServedOutcome::Failed);
    let status = response.status;
    let error_type = &body["error"]["type"];
    if body["status"] != status || error_type != "search_phase_execution_exception" {
        report.add_error(format!(
            "error with an unexpected status or type: status {status}, body {body}"
        ));
    }
    report
}
