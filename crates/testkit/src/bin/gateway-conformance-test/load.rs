//! The load: clients that send each search through the native protocol and the gateway.

use crate::faulted_search::{check_faulted_search, TimePressure};
use crate::page_check::check_page;
use crate::random_search::random_search;
use crate::tally::{ServedOutcome, Tally};
use aggregator_testkit::client::{
    consecutive_shards, ClientAttempt, ClientOutcome, ClientQuery, ClientResponse, HttpConnection,
};
use aggregator_testkit::http::HOST;
use aggregator_testkit::installation::{Installation, InstallationClass, CLASSES, SHARDS, TENANTS};
use aggregator_testkit::random;
use aggregator_testkit::search::{shard_response, ShardFault};
use aggregator_testkit::sync::lock;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use rand::Rng;
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// How much longer than the class's timeout a client waits, to tell late responses from missing
/// ones.
const LATE_TOLERANCE: Duration = Duration::from_secs(3);

/// Where one aggregator serves searches.
#[derive(Clone, Copy)]
struct AggregatorAddresses {
    native: SocketAddr,
    gateway: SocketAddr,
}

/// What all clients share.
pub struct GatewayLoad {
    seed: u64,
    aggregators: Vec<AggregatorAddresses>,
    pressure: TimePressure,
    tally: Mutex<Tally>,
    /// The searches that requested a fault.
    faulted_cases: Mutex<Vec<SearchCase>>,
}

impl GatewayLoad {
    /// A load on all aggregators of an installation.
    pub fn new(installation: &Installation, seed: u64, pressure: TimePressure) -> Arc<GatewayLoad> {
        let aggregators = installation.aggregators.iter();
        Arc::new(GatewayLoad {
            seed,
            aggregators: aggregators
                .map(|aggregator| AggregatorAddresses {
                    native: aggregator.address,
                    gateway: aggregator.gateway_address,
                })
                .collect(),
            pressure,
            tally: Mutex::default(),
            faulted_cases: Mutex::default(),
        })
    }

    /// Removes and returns the searches that requested a fault.
    pub fn take_faulted_cases(&self) -> Vec<SearchCase> {
        std::mem::take(&mut *lock(&self.faulted_cases))
    }

    /// Removes and returns what became of all searches.
    pub fn take_tally(&self) -> Tally {
        std::mem::take(&mut *self.tally())
    }

    fn tally(&self) -> MutexGuard<'_, Tally> {
        lock(&self.tally)
    }
}

/// Starts clients, each of which ends after so many searches.
pub fn start_clients(load: &Arc<GatewayLoad>, clients: u64, searches: u64) -> Vec<JoinHandle<()>> {
    (0..clients)
        .map(|client| tokio::spawn(run_client(load.clone(), client, searches)))
        .collect()
}

/// Starts a client for each aggregator, which sends its share of the cases to the gateway.
pub fn start_gateway_clients(load: &Arc<GatewayLoad>, cases: &[SearchCase]) -> Vec<JoinHandle<()>> {
    let aggregators = load.aggregators.len();
    (0..aggregators)
        .map(|index| {
            let cases = cases.iter().skip(index).step_by(aggregators);
            tokio::spawn(send_all(load.clone(), index, cases.cloned().collect()))
        })
        .collect()
}

async fn send_all(load: Arc<GatewayLoad>, aggregator: usize, cases: Vec<SearchCase>) {
    let mut gateway = HttpConnection::new(load.aggregators[aggregator].gateway);
    for case in cases {
        case.send_to_gateway(&load, &mut gateway).await;
    }
}

async fn run_client(load: Arc<GatewayLoad>, client: u64, searches: u64) {
    let mut random = random::stream(load.seed, client + 1);
    let aggregator = load.aggregators[client as usize % load.aggregators.len()];
    let mut native = HttpConnection::new(aggregator.native);
    let mut gateway = HttpConnection::new(aggregator.gateway);
    for number in 0..searches {
        let search = random_search(&mut random);
        let case = SearchCase {
            id: format!("p{client}-{number}"),
            fault: ShardFault::requested_by(&search),
            class: CLASSES[random.random_range(0..CLASSES.len())],
            tenant: TENANTS[random.random_range(0..TENANTS.len())],
            search,
        };
        if random.random_bool(0.5) {
            case.send_native(&load, &mut native).await;
            case.send_to_gateway(&load, &mut gateway).await;
        } else {
            case.send_to_gateway(&load, &mut gateway).await;
            case.send_native(&load, &mut native).await;
        }
        if case.fault.is_some() {
            lock(&load.faulted_cases).push(case);
        }
    }
}

/// One search, to be sent both ways.
#[derive(Clone)]
pub struct SearchCase {
    id: String,
    search: Value,
    class: InstallationClass,
    tenant: &'static str,
    fault: Option<ShardFault>,
}

impl SearchCase {
    /// Sends the search through the native protocol, unless it requests a fault: the native
    /// protocol passes on what a shard responds, whatever it is.
    async fn send_native(&self, load: &GatewayLoad, connection: &mut HttpConnection) {
        if self.fault.is_some() {
            return;
        }
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
        let attempt_outcome = connection.query(&query, &attempt).await;
        let mut tally = load.tally();
        let outcome = self.judge_native(attempt_outcome, &mut tally);
        let counts = tally.native.entry(self.class.name).or_default();
        counts.add(outcome);
    }

    fn judge_native(&self, outcome: ClientOutcome, tally: &mut Tally) -> ServedOutcome {
        match outcome {
            ClientOutcome::Answered { complete, hits } => {
                let values_match = hits
                    .iter()
                    .all(|hit| hit.document == shard_response(hit.shard, &self.search));
                if !values_match {
                    let search = &self.search;
                    tally.wrong.push(format!(
                        "native: a value differs from the shard's: {search}"
                    ));
                }
                ServedOutcome::answered(complete)
            }
            ClientOutcome::Rejected { .. } => ServedOutcome::Rejected,
            ClientOutcome::Failed { .. } => ServedOutcome::Failed,
            ClientOutcome::ConnectionLost | ClientOutcome::TimedOut => {
                tally.unanswered += 1;
                ServedOutcome::Unanswered
            }
        }
    }

    /// Sends the search through the gateway.
    async fn send_to_gateway(&self, load: &GatewayLoad, connection: &mut HttpConnection) {
        let request = Request::post(format!("/{}/_search", self.class.name))
            .header("Host", HOST)
            .header("Content-Type", "application/json")
            .header("X-Tenant-Id", self.tenant)
            .body(Full::new(Bytes::from(self.search.to_string())));
        let Ok(request) = request else {
            return;
        };
        let time_limit = load.pressure.client_timeout(&self.class);
        let sent_at = Instant::now();
        let response = timeout(time_limit + LATE_TOLERANCE, connection.send(request)).await;
        let late = sent_at.elapsed() > time_limit;
        let mut tally = load.tally();
        tally.late += u64::from(late);
        let (outcome, body) = match response {
            Ok(Some(response)) => self.judge_gateway(&response, &mut tally),
            Ok(None) | Err(_) => {
                tally.unanswered += 1;
                (ServedOutcome::Unanswered, Value::Null)
            }
        };
        match self.fault {
            Some(fault) => self.judge_faulted(fault, outcome, &body, load.pressure, &mut tally),
            None => {
                let counts = tally.gateway.entry(self.class.name).or_default();
                counts.add(outcome);
            }
        }
    }

    fn judge_gateway(
        &self,
        response: &ClientResponse,
        tally: &mut Tally,
    ) -> (ServedOutcome, Value) {
        let search = &self.search;
        let status = response.status;
        let body: Value = serde_json::from_slice(&response.body).unwrap_or_default();
        let error_type = &body["error"]["type"];
        let outcome = match status {
            200 => {
                match check_page(search, &body) {
                    Ok(()) => tally.exact_pages += 1,
                    Err(error) => tally.wrong.push(format!("{error}: {search}")),
                }
                ServedOutcome::answered(body["_shards"]["failed"] == 0)
            }
            429 => {
                if response.retry_after.is_none() || error_type != "circuit_breaking_exception" {
                    tally.wrong.push(format!("a malformed rejection: {body}"));
                }
                ServedOutcome::Rejected
            }
            _ => {
                if body["status"] != status || error_type != "search_phase_execution_exception" {
                    tally.wrong.push(format!(
                        "an error with another status or type: {status} {body}"
                    ));
                }
                ServedOutcome::Failed
            }
        };
        (outcome, body)
    }

    fn judge_faulted(
        &self,
        fault: ShardFault,
        outcome: ServedOutcome,
        body: &Value,
        pressure: TimePressure,
        tally: &mut Tally,
    ) {
        tally.faulted.entry(fault).or_default().add(outcome);
        if let Err(error) = check_faulted_search(fault, &self.class, outcome, body, pressure) {
            tally.wrong.push(format!("{error}: {}", self.search));
        }
    }
}
