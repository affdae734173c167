//! One client of an aggregator that is shut down.

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

/// Pause before a client connects again whose connection was refused.
const RECONNECT_DELAY: Duration = Duration::from_millis(20);
/// The pause of a paced client, in milliseconds.
const PAUSES_MS: Range<u64> = 5..120;
/// The name of requests of which only half is sent.
const HALF_REQUEST_NAME: &str = "half";

/// Whether clients connect to their aggregator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadPhase {
    /// New connections go to the aggregator.
    Serving,
    /// The load balancer in front of the aggregator has been notified of the shutdown: there are no
    /// new connections.
    NoNewConnections,
}

/// What all clients of an aggregator have in common.
#[derive(Clone)]
pub struct ClientOptions {
    /// Where the native frontend listens.
    pub address: SocketAddr,
    /// Where the OpenSearch gateway listens.
    pub gateway_address: SocketAddr,
    /// The timeout that each request states.
    pub deadline: Duration,
    /// The time after which a client stops waiting for the answer to a query.
    pub answer_limit: Duration,
    /// Whether clients connect.
    pub phase: watch::Receiver<LoadPhase>,
}

/// A client; `run` returns its records.
pub struct StressClient {
    options: ClientOptions,
    behavior: ClientBehavior,
    random: StdRng,
    records: Vec<RequestRecord>,
}

/// Whether a connection can be used for another request.
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

    /// Sends requests until there are no new connections.
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

    /// Pauses between two requests, as the client's behavior is.
    async fn pause(&mut self, stream: &mut TcpStream) -> ConnectionState {
        match self.behavior {
            ClientBehavior::Paced => {
                let pause = Duration::from_millis(self.random.random_range(PAUSES_MS));
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

    /// Sends a request, waits for its response and records both.
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

    /// How long the client waits for a response.
    fn response_limit(&self) -> Duration {
        match self.behavior {
            // Searches of one request wait for each other.
            ClientBehavior::MultiSearch => self.options.answer_limit + self.options.deadline,
            _ => self.options.answer_limit,
        }
    }

    fn render_request(&mut self, name: &str) -> String {
        match self.behavior {
            ClientBehavior::MultiSearch => render_searches(&mut self.random, name),
            _ => render_query(&mut self.random, name, self.options.deadline),
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
