//! Client of an aggregator that is being shut down.

use crate::request::{render_query, render_searches};
use crate::request_record::{ClientBehavior, RequestOutcome, RequestRecord};
use crate::response::{read_response, wait_for_end, ConnectionEnded};
use rand::rngs::StdRng;
use rand::Rng;
use std::net::SocketAddr;
use std::ops::Range;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// Delay before the next attempt to connect after a connection was refused.
const RECONNECT_DELAY: Duration = Duration::from_millis(20);
/// Range of the pauses of a paced client, in milliseconds.
const PAUSE_MS: Range<u64> = 5..120;
/// Name of the requests of which only the first half is sent.
const HALF_REQUEST_NAME: &str = "half";

/// Phase of the load, which decides whether clients open connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadPhase {
    /// Clients open new connections to the aggregator.
    Serving,
    /// Clients open no more connections, as after the load balancer in front of the aggregator has
    /// been notified of the shutdown.
    NoNewConnections,
}

/// Options shared by all clients of an aggregator.
#[derive(Clone)]
pub struct ClientOptions {
    /// Address of the native frontend.
    pub address: SocketAddr,
    /// Address of the OpenSearch gateway.
    pub gateway_address: SocketAddr,
    /// Client timeout, sent with each query in the `X-Timeout` header.
    pub client_timeout: Duration,
    /// Time after which a client stops waiting for the answer to a query.
    pub answer_limit: Duration,
    /// Current phase of the load.
    pub phase: watch::Receiver<LoadPhase>,
}

/// Client that records all its requests.
pub struct StressClient {
    options: ClientOptions,
    behavior: ClientBehavior,
    random: StdRng,
    records: Vec<RequestRecord>,
}

/// Whether a connection can carry another request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionState {
    Open,
    Ended,
}

impl StressClient {
    pub fn new(options: ClientOptions, behavior: ClientBehavior, random: StdRng) -> StressClient {
        StressClient {
            options,
            behavior,
            random,
            records: Vec::new(),
        }
    }

    /// Sends requests on one connection after the other, until a connection has ended and the phase
    /// allows no new ones. Returns the records of all requests.
    pub async fn run(mut self) -> Vec<RequestRecord> {
        let address = match self.behavior {
            ClientBehavior::MultiSearch => self.options.gateway_address,
            _ => self.options.address,
        };
        while *self.options.phase.borrow() == LoadPhase::Serving {
            match TcpStream::connect(address).await {
                Ok(stream) => self.use_connection(stream).await,
                Err(_) => sleep(RECONNECT_DELAY).await,
            }
        }
        self.records
    }

    /// Sends requests on one connection until it ends.
    async fn use_connection(&mut self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let connected_at = Instant::now();
        if self.behavior == ClientBehavior::HalfRequest {
            return self.send_half_a_request(&mut stream).await;
        }
        while self.send_request(&mut stream, connected_at).await == ConnectionState::Open {
            if self.pause(&mut stream).await == ConnectionState::Ended {
                return;
            }
        }
    }

    /// Pauses between two requests according to the client's behavior.
    async fn pause(&mut self, stream: &mut TcpStream) -> ConnectionState {
        match self.behavior {
            ClientBehavior::Paced => {
                let pause = Duration::from_millis(self.random.random_range(PAUSE_MS));
                if timeout(pause, wait_for_end(stream)).await.is_ok() {
                    return ConnectionState::Ended;
                }
                ConnectionState::Open
            }
            ClientBehavior::Idle => {
                wait_for_end(stream).await;
                ConnectionState::Ended
            }
            ClientBehavior::BackToBack
            | ClientBehavior::HalfRequest
            | ClientBehavior::MultiSearch => ConnectionState::Open,
        }
    }

    /// Sends a request, waits for its response and records the outcome.
    async fn send_request(
        &mut self,
        stream: &mut TcpStream,
        connected_at: Instant,
    ) -> ConnectionState {
        let name = format!("{:016x}", self.random.random::<u64>());
        let request = self.render_request(&name);
        if stream.write_all(request.as_bytes()).await.is_err() {
            return ConnectionState::Ended;
        }
        let sent_at = Instant::now();
        let (outcome, state) = self.receive_response(stream).await;
        self.records.push(RequestRecord {
            name,
            behavior: self.behavior,
            connected_at,
            sent_at,
            ended_at: Instant::now(),
            outcome,
        });
        state
    }

    async fn receive_response(&self, stream: &mut TcpStream) -> (RequestOutcome, ConnectionState) {
        match timeout(self.response_limit(), read_response(stream)).await {
            Ok(Ok(head)) => {
                let status = head.status;
                let state = if head.closes_connection {
                    ConnectionState::Ended
                } else {
                    ConnectionState::Open
                };
                (RequestOutcome::Answered { status }, state)
            }
            Ok(Err(ConnectionEnded)) => (RequestOutcome::ConnectionEnded, ConnectionState::Ended),
            Err(_) => (RequestOutcome::TimedOut, ConnectionState::Ended),
        }
    }

    /// Returns the time after which the client stops waiting for a response.
    fn response_limit(&self) -> Duration {
        match self.behavior {
            // Some searches of a request start only after others have ended.
            ClientBehavior::MultiSearch => self.options.answer_limit + self.options.client_timeout,
            _ => self.options.answer_limit,
        }
    }

    fn render_request(&mut self, name: &str) -> String {
        match self.behavior {
            ClientBehavior::MultiSearch => render_searches(&mut self.random, name),
            _ => render_query(&mut self.random, name, self.options.client_timeout),
        }
    }

    async fn send_half_a_request(&mut self, stream: &mut TcpStream) {
        let request = self.render_request(HALF_REQUEST_NAME);
        let half = &request.as_bytes()[..request.len() / 2];
        if stream.write_all(half).await.is_ok() {
            wait_for_end(stream).await;
        }
    }
}
