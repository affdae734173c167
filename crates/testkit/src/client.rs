//! HTTP client of the aggregators: sends queries with a timeout and classifies the outcome of each
//! attempt.

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

/// Upper limit of the `Retry-After` that a client honours, in seconds.
const MAX_RETRY_AFTER_S: f64 = 60.0;

/// One shard of a query and its weight in the answer.
#[derive(Clone, Copy, Debug)]
pub struct WeightedShard {
    /// Shard number, from 0.
    pub shard: u32,
    /// Weight of the shard; the weights of a query add up to 1.
    pub weight: f64,
}

/// Returns `count` consecutive shards out of `total`, starting at `first` and wrapping around, with
/// equal weights.
pub fn consecutive_shards(first: u32, count: u32, total: u32) -> Vec<WeightedShard> {
    (0..count)
        .map(|offset| WeightedShard {
            shard: (first + offset) % total,
            weight: 1.0 / f64::from(count),
        })
        .collect()
}

/// Query that a client sends to an aggregator.
#[derive(Clone, Debug)]
pub struct ClientQuery {
    /// Name of the query class.
    pub class: String,
    /// Name of the tenant that the query is accounted to.
    pub tenant: String,
    /// Shards that the query addresses.
    pub shards: Vec<WeightedShard>,
    /// Query text, which only the leaf servers interpret.
    pub text: String,
    /// `Idempotency-Key` header of every attempt; `None` to send no key.
    pub idempotency_key: Option<String>,
}

/// One attempt at a query.
#[derive(Clone, Debug)]
pub struct ClientAttempt<'a> {
    /// `X-Request-ID` header of the attempt.
    pub request_id: &'a str,
    /// Whether an earlier attempt at the same query was made.
    pub is_retry: bool,
    /// Client timeout, sent to the aggregator in the `X-Timeout` header.
    pub timeout: Duration,
    /// Time after the timeout during which the client still accepts a late answer.
    pub late_tolerance: Duration,
}

/// Value that one shard contributed to an answer.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientHit {
    /// Shard number, from 0.
    pub shard: u32,
    /// Value that a leaf server returned for the shard.
    pub document: String,
}

/// Outcome of an attempt as seen by its client.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientOutcome {
    /// The aggregator answered, possibly without some of the shards.
    Answered {
        /// Whether the aggregator marked the answer as covering all shards.
        is_complete: bool,
        /// Values of the covered shards.
        hits: Vec<ClientHit>,
    },
    /// The aggregator rejected the attempt (status 429 or 503) to shed load.
    Rejected {
        /// Value of the `Retry-After` header; `None` if the header is missing.
        retry_after: Option<Duration>,
    },
    /// The response had any other status, or a malformed body.
    Failed {
        /// HTTP status code.
        status: u16,
    },
    /// The connection could not be established or was lost before the response was complete.
    ConnectionLost,
    /// No complete response arrived within the timeout plus the tolerance for late answers.
    TimedOut,
}

/// HTTP response, reduced to what clients use.
#[derive(Clone, Debug)]
pub struct ClientResponse {
    /// HTTP status code.
    pub status: u16,
    /// Complete body.
    pub body: Bytes,
    /// Value of the `Retry-After` header, at most 60 s; `None` if missing or malformed.
    pub retry_after: Option<Duration>,
}

struct OpenConnection {
    sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
}

/// Keep-alive connection to one aggregator, opened by the first request.
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
    /// Creates a connection without opening it.
    pub fn new(address: SocketAddr) -> HttpConnection {
        HttpConnection {
            address,
            open: None,
        }
    }

    /// Directs further requests to `address`, and closes an open connection to any other address.
    pub fn redirect(&mut self, address: SocketAddr) {
        if self.address != address {
            self.close();
            self.address = address;
        }
    }

    /// Makes one attempt at a query.
    ///
    /// Reconnects first if the aggregator has closed the connection since the last request.
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

    /// Sends any request. Returns `None` if the connection cannot be opened or is lost before the
    /// response is complete.
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
        is_complete: body["complete"].as_bool()?,
        hits,
    })
}

fn parse_hit(hit: &Value) -> Option<ClientHit> {
    Some(ClientHit {
        shard: hit["shard"].as_u64()? as u32,
        document: hit["doc"].as_str()?.to_string(),
    })
}
