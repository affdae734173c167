//! One client of an aggregator that is shut down, and its record of each request.

use aggregator_testkit::installation::{CLASSES, SHARDS, TENANTS};
use rand::rngs::StdRng;
use rand::Rng;
use serde_json::json;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// Shards of each query.
const SHARDS_PER_QUERY: u32 = 3;
/// Searches of one request: more than the gateway runs at the same time.
const SEARCHES_PER_REQUEST: usize = 12;
/// Pause before a client connects again whose connection was refused.
const RECONNECT_DELAY: Duration = Duration::from_millis(20);
/// The pause of a client that does not ask again at once.
const PAUSES_MS: std::ops::Range<u64> = 5..120;

/// What a client does between its requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Habit {
    /// It asks again at once.
    Eager,
    /// It pauses for a moment.
    Paced,
    /// It asks once, and rests until it is closed.
    Resting,
    /// It sends half a request, and stays.
    Stuck,
    /// It sends many searches in one request to the OpenSearch gateway, and asks again at once.
    Searching,
}

impl Habit {
    /// The habit of the client with this number: most are eager.
    pub fn of(number: u64) -> Habit {
        match number % 8 {
            4 => Habit::Searching,
            5 => Habit::Paced,
            6 => Habit::Resting,
            7 => Habit::Stuck,
            _ => Habit::Eager,
        }
    }
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// A whole response.
    Answered {
        /// The HTTP status.
        status: u16,
    },
    /// The connection ended or broke before a whole response.
    ConnectionEnded,
    /// Nothing came within the client's patience.
    TimedOut,
}

/// One request and how it ended.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// Its `X-Request-ID`.
    pub name: String,
    /// What its client does between requests.
    pub habit: Habit,
    /// When its connection was established.
    pub connected_at: Instant,
    pub sent_at: Instant,
    pub ended_at: Instant,
    pub outcome: RequestOutcome,
}

/// How clients know what happens to their aggregator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadPhase {
    /// It runs, and new connections are dealt to it.
    Serving,
    /// The front has learned of its shutdown: no more new connections.
    NoNewConnections,
}

/// What all clients of an aggregator have in common.
#[derive(Clone)]
pub struct ClientOptions {
    /// Where the native frontend listens.
    pub address: SocketAddr,
    /// Where the OpenSearch gateway listens.
    pub gateway_address: SocketAddr,
    /// The time that each request states.
    pub deadline: Duration,
    /// The time after which a client stops waiting for the answer to a query.
    pub patience: Duration,
    pub phase: watch::Receiver<LoadPhase>,
}

/// The end of a connection before a whole response.
struct ConnectionEnded;

impl From<io::Error> for ConnectionEnded {
    fn from(_: io::Error) -> ConnectionEnded {
        ConnectionEnded
    }
}

struct ResponseHead {
    status: u16,
    body_length: usize,
    closes: bool,
}

/// A client; `run` returns its records.
pub struct StressClient {
    options: ClientOptions,
    habit: Habit,
    random: StdRng,
    records: Vec<RequestRecord>,
}

impl StressClient {
    pub fn new(options: ClientOptions, habit: Habit, random: StdRng) -> StressClient {
        StressClient {
            options,
            habit,
            random,
            records: Vec::new(),
        }
    }

    /// Asks until no new connection may be made.
    pub async fn run(mut self) -> Vec<RequestRecord> {
        let address = match self.habit {
            Habit::Searching => self.options.gateway_address,
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

    /// Asks on one connection until it ends.
    async fn use_connection(&mut self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let connected_at = Instant::now();
        if self.habit == Habit::Stuck {
            return self.send_half_a_request(&mut stream).await;
        }
        while self.ask(&mut stream, connected_at).await {
            match self.habit {
                Habit::Eager | Habit::Stuck | Habit::Searching => {}
                Habit::Paced => {
                    let pause = Duration::from_millis(self.random.random_range(PAUSES_MS));
                    if timeout(pause, wait_for_end(&mut stream)).await.is_ok() {
                        return;
                    }
                }
                Habit::Resting => return wait_for_end(&mut stream).await,
            }
        }
    }

    /// Sends a request and waits for its response; false if the connection is of no more use.
    async fn ask(&mut self, stream: &mut TcpStream, connected_at: Instant) -> bool {
        let name = format!("{:016x}", self.random.random::<u64>());
        let request = match self.habit {
            Habit::Searching => self.render_searches(&name),
            _ => self.render(&name),
        };
        if stream.write_all(request.as_bytes()).await.is_err() {
            return false;
        }
        let sent_at = Instant::now();
        let response = timeout(self.patience(), read_response(stream)).await;
        let (outcome, usable) = match response {
            Ok(Ok(head)) => {
                let status = head.status;
                (RequestOutcome::Answered { status }, !head.closes)
            }
            Ok(Err(ConnectionEnded)) => (RequestOutcome::ConnectionEnded, false),
            Err(_) => (RequestOutcome::TimedOut, false),
        };
        self.records.push(RequestRecord {
            name,
            habit: self.habit,
            connected_at,
            sent_at,
            ended_at: Instant::now(),
            outcome,
        });
        usable
    }

    /// How long the client waits for a response.
    fn patience(&self) -> Duration {
        match self.habit {
            // Searches of one request wait for each other.
            Habit::Searching => self.options.patience + self.options.deadline,
            _ => self.options.patience,
        }
    }

    async fn send_half_a_request(&mut self, stream: &mut TcpStream) {
        let request = self.render("half");
        let half = &request.as_bytes()[..request.len() / 2];
        if stream.write_all(half).await.is_ok() {
            wait_for_end(stream).await;
        }
    }

    fn render_searches(&mut self, name: &str) -> String {
        let class = CLASSES[self.random.random_range(0..CLASSES.len())].name;
        let search = json!({"query": {"match_all": {}}}).to_string();
        let body = format!("{{}}\n{search}\n").repeat(SEARCHES_PER_REQUEST);
        let length = body.len();
        format!(
            "POST /{class}/_msearch HTTP/1.1\r\nHost: mixer\r\nX-Opaque-Id: {name}\r\n\
             Content-Type: application/x-ndjson\r\nContent-Length: {length}\r\n\r\n{body}"
        )
    }

    fn render(&mut self, name: &str) -> String {
        let class = CLASSES[self.random.random_range(0..CLASSES.len())].name;
        let tenant = TENANTS[self.random.random_range(0..TENANTS.len())];
        let first = self.random.random_range(0..SHARDS);
        let weight = 1.0 / f64::from(SHARDS_PER_QUERY);
        let shards = (0..SHARDS_PER_QUERY)
            .map(|offset| json!({"shard": (first + offset) % SHARDS, "weight": weight}));
        let body = json!({"shards": shards.collect::<Vec<_>>(), "q": "shutdown"}).to_string();
        let timeout_ms = self.options.deadline.as_millis();
        let length = body.len();
        format!(
            "POST /{class} HTTP/1.1\r\nHost: mixer\r\nX-Request-ID: {name}\r\nX-Tenant-Id: {tenant}\r\n\
             X-Timeout: {timeout_ms}m\r\nContent-Length: {length}\r\n\r\n{body}"
        )
    }
}

/// Reads until the connection ends.
async fn wait_for_end(stream: &mut TcpStream) {
    let mut discarded = [0; 1024];
    while matches!(stream.read(&mut discarded).await, Ok(length) if length > 0) {}
}

async fn read_response(stream: &mut TcpStream) -> Result<ResponseHead, ConnectionEnded> {
    let mut bytes = Vec::new();
    loop {
        let head_end = bytes.windows(4).position(|window| window == b"\r\n\r\n");
        if let Some(head) = head_end.and_then(|end| parse_head(&bytes[..end])) {
            let whole = head_end.unwrap_or_default() + 4 + head.body_length;
            if bytes.len() >= whole {
                return Ok(head);
            }
        }
        if stream.read_buf(&mut bytes).await? == 0 {
            return Err(ConnectionEnded);
        }
    }
}

/// Parses the head of a response with a length, as the aggregator sends them.
fn parse_head(head: &[u8]) -> Option<ResponseHead> {
    let head = std::str::from_utf8(head).ok()?.to_ascii_lowercase();
    let mut lines = head.split("\r\n");
    let status = lines.next()?.split(' ').nth(1)?.parse().ok()?;
    let mut body_length = 0;
    let mut closes = false;
    for line in lines {
        let (name, value) = line.split_once(':')?;
        match name {
            "content-length" => body_length = value.trim().parse().ok()?,
            "connection" => closes = value.trim() == "close",
            _ => {}
        }
    }
    Some(ResponseHead {
        status,
        body_length,
        closes,
    })
}
