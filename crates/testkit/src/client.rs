//! A client of the aggregators: sends queries with a timeout and returns how each attempt ended.

use crate::http::HOST;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// The longest `Retry-After` that a client honours, in seconds.
const MAX_RETRY_AFTER_S: f64 = 60.0;

/// A shard of a query, with its weight in the answer.
#[derive(Clone, Copy, Debug)]
pub struct WeightedShard {
    /// The shard's number.
    pub shard: u32,
    /// The shard's weight, of a total of 1.
    pub weight: f64,
}

/// `count` consecutive shards of `total`, starting at `first` and wrapping around, of equal weight.
pub fn consecutive_shards(first: u32, count: u32, total: u32) -> Vec<WeightedShard> {
    (0..count)
        .map(|offset| WeightedShard {
            shard: (first + offset) % total,
            weight: 1.0 / f64::from(count),
        })
        .collect()
}

/// A query as a client sends it to an aggregator.
#[derive(Clone, Debug)]
pub struct ClientQuery {
    /// The name of the query class.
    pub class: String,
    /// The tenant that the query is counted for.
    pub tenant: String,
    /// The shards that have to answer.
    pub shards: Vec<WeightedShard>,
    /// The query's text, which leaf servers interpret.
    pub text: String,
    /// The `Idempotency-Key` of all attempts, if any.
    pub idempotency_key: Option<String>,
}

/// One attempt at a query.
#[derive(Clone, Debug)]
pub struct ClientAttempt<'a> {
    /// The attempt's request id.
    pub request_id: &'a str,
    /// Whether the query was attempted before.
    pub is_retry: bool,
    /// The timeout that the client states to the aggregator.
    pub timeout: Duration,
    /// How much longer than its timeout the client waits for a late answer.
    pub late_tolerance: Duration,
}

/// The value that one shard contributed to an answer.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientHit {
    /// The shard's number.
    pub shard: u32,
    /// What the leaf server answered for the shard.
    pub document: String,
}

/// How an attempt ended for its client.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientOutcome {
    /// An answer.
    Answered {
        /// Whether the aggregator claims that the answer covers all shards.
        complete: bool,
        /// What the shards contributed.
        hits: Vec<ClientHit>,
    },
    /// The aggregator shed load.
    Rejected {
        /// The time after which to retry, if the aggregator named one.
        retry_after: Option<Duration>,
    },
    /// Any other response.
    Failed {
        /// The HTTP status.
        status: u16,
    },
    /// No response: the connection could not be established or was lost.
    ConnectionLost,
    /// No response in time.
    TimedOut,
}

/// The parts of an HTTP response that clients use.
#[derive(Clone, Debug)]
pub struct ClientResponse {
    /// The HTTP status.
    pub status: u16,
    /// The complete body.
    pub body: Bytes,
    /// The value of the `Retry-After` header.
    pub retry_after: Option<Duration>,
}

struct OpenConnection {
    sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
}

/// One connection to one aggregator, opened by the first request.
pub struct HttpConnection {
    address: SocketAddr,
    open: Option<OpenConnection>,
}

impl Drop for HttpConnection {
    fn drop(&mut self) {
        self.close();
    }
}

impl HttpConnection {
    /// Creates a connection that is not open yet.
    pub fn new(address: SocketAddr) -> HttpConnection {
        HttpConnection {
            address,
            open: None,
        }
    }

    /// Directs further requests to `address`; a connection to another aggregator is closed.
    pub fn redirect(&mut self, address: SocketAddr) {
        if self.address != address {
            self.close();
            self.address = address;
        }
    }

    /// Sends a query once.
    ///
    /// A connection that the aggregator closed before the request was sent is opened anew.
    pub async fn query(
        &mut self,
        query: &ClientQuery,
        attempt: &ClientAttempt<'_>,
    ) -> ClientOutcome {
        let limit = attempt.timeout + attempt.late_tolerance;
        match timeout(limit, self.send_query(query, attempt)).await {
            Ok(Some(response)) => classify(&response),
            Ok(None) => {
                self.close();
                ClientOutcome::ConnectionLost
            }
            Err(_) => {
                self.close();
                ClientOutcome::TimedOut
            }
        }
    }

    /// Sends a request of any kind; `None` if the connection breaks or can't be opened.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> Option<ClientResponse> {
        let sender = self.open_sender().await?;
        sender.ready().await.ok()?;
        let response = sender.send_request(request).await.ok()?;
        let retry_after = retry_after(&response);
        let status = response.status().as_u16();
        let body = response.into_body().collect().await.ok()?.to_bytes();
        Some(ClientResponse {
            status,
            body,
            retry_after,
        })
    }

    async fn send_query(
        &mut self,
        query: &ClientQuery,
        attempt: &ClientAttempt<'_>,
    ) -> Option<ClientResponse> {
        let shards: Vec<Value> = query
            .shards
            .iter()
            .map(|shard| json!({"shard": shard.shard, "weight": shard.weight}))
            .collect();
        let body = json!({"shards": shards, "q": query.text}).to_string();
        let mut request = Request::post(format!("/{}", query.class))
            .header("Host", HOST)
            .header("X-Request-ID", attempt.request_id)
            .header("X-Tenant-Id", &query.tenant)
            .header("X-Timeout", format!("{}m", attempt.timeout.as_millis()));
        if let Some(key) = &query.idempotency_key {
            request = request.header("Idempotency-Key", key);
        }
        if attempt.is_retry {
            request = request.header("X-Retried", "1");
        }
        let request = request.body(Full::new(Bytes::from(body))).ok()?;
        self.send(request).await
    }

    async fn open_sender(&mut self) -> Option<&mut SendRequest<Full<Bytes>>> {
        if self
            .open
            .as_ref()
            .is_none_or(|open| open.sender.is_closed())
        {
            self.close();
            let stream = TcpStream::connect(self.address).await.ok()?;
            let _ = stream.set_nodelay(true);
            let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
            let task = tokio::spawn(async move {
                let _ = connection.await;
            });
            self.open = Some(OpenConnection { sender, task });
        }
        Some(&mut self.open.as_mut()?.sender)
    }

    fn close(&mut self) {
        if let Some(open) = self.open.take() {
            open.task.abort();
        }
    }
}

fn retry_after(response: &Response<Incoming>) -> Option<Duration> {
    let header = response.headers().get("retry-after")?;
    let seconds: f64 = header.to_str().ok()?.parse().ok()?;
    Some(Duration::from_secs_f64(
        seconds.clamp(0.0, MAX_RETRY_AFTER_S),
    ))
}

fn classify(response: &ClientResponse) -> ClientOutcome {
    match response.status {
        200 => parse_answer(&response.body).unwrap_or(ClientOutcome::Failed { status: 200 }),
        429 | 503 => ClientOutcome::Rejected {
            retry_after: response.retry_after,
        },
        status => ClientOutcome::Failed { status },
    }
}

fn parse_answer(body: &[u8]) -> Option<ClientOutcome> {
    let body: Value = serde_json::from_slice(body).ok()?;
    let hits = body["hits"]
        .as_array()?
        .iter()
        .map(parse_hit)
        .collect::<Option<_>>()?;
    Some(ClientOutcome::Answered {
        complete: body["complete"].as_bool()?,
        hits,
    })
}

fn parse_hit(hit: &Value) -> Option<ClientHit> {
    Some(ClientHit {
        shard: hit["shard"].as_u64()? as u32,
        document: hit["doc"].as_str()?.to_string(),
    })
}
