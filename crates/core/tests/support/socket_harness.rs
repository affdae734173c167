//! A complete aggregator on loopback sockets. The test acts as every other process, one step after
//! the other, so that events cross only where the test makes them.

use aggregator_core::config::{parse_aggregator_settings, parse_policy_settings};
use aggregator_core::engine::Engine;
use aggregator_core::net::{self, Addresses, Clock, Extensions, OperatorSignal};
use aggregator_core::protocol::query::NameTables;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::{timeout, Duration};

/// How long to wait for what never comes. The clock advances to the next timer when nobody has
/// anything to do, so this costs no real time.
pub const HANG_TIMEOUT: Duration = Duration::from_secs(120);

/// How often usage watermarks are recorded, in nanoseconds.
const USAGE_WATERMARK_INTERVAL: u64 = 1_000_000_000;

/// A running aggregator, and the sockets of the processes that it speaks to.
pub struct SocketHarness {
    /// Where the aggregator accepts clients.
    pub aggregator: SocketAddr,
    /// Signals to the aggregator.
    pub signals: mpsc::Sender<OperatorSignal>,
    /// Accepts the aggregator's watches.
    pub discovery: TcpListener,
    /// Accepts the aggregator's connections to the leaf server.
    pub leaf: TcpListener,
    /// Ends with the aggregator.
    pub served: JoinHandle<io::Result<()>>,
}

impl SocketHarness {
    /// Requests a graceful shutdown.
    pub async fn request_shutdown(&self) {
        let shutdown = OperatorSignal::Shutdown;
        self.signals.send(shutdown).await.unwrap();
    }

    /// Waits until the aggregator has ended, which has to succeed.
    pub async fn expect_exit(self) {
        let served = timeout(HANG_TIMEOUT, self.served).await;
        assert!(served.expect("the aggregator ends").unwrap().is_ok());
    }
}

async fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// The addresses of an aggregator without gossip.
pub fn addresses(discovery: SocketAddr) -> Addresses {
    Addresses {
        discovery,
        gossip_listen: None,
        peers: Vec::new(),
        gossip_broadcast: None,
    }
}

/// One leaf server that holds every shard, as an item of the endpoint list.
pub fn endpoint(leaf: SocketAddr, status: &str) -> serde_json::Value {
    serde_json::json!({"name": "s-1", "address": leaf, "group": 0, "status": status})
}

/// A snapshot of the endpoint list.
pub fn snapshot(index: u64, endpoints: &[serde_json::Value]) -> serde_json::Value {
    serde_json::json!({"index": index, "snapshot": true, "endpoints": endpoints})
}

/// The cached endpoint list that an aggregator is started with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CachedList {
    /// The leaf server of the harness.
    OneEndpoint,
    /// Nothing.
    Empty,
}

/// Runs `scenario` with an aggregator that was started with one leaf server on its list. The clock
/// stands still while anyone has something to do, and else advances to the next timer.
pub fn run_scenario<F: Future<Output = ()>>(
    settings: &str,
    descriptors: usize,
    scenario: impl FnOnce(SocketHarness) -> F,
) {
    run_scenario_with_cached(CachedList::OneEndpoint, settings, descriptors, scenario);
}

/// The same with another cached list.
pub fn run_scenario_with_cached<F: Future<Output = ()>>(
    cached: CachedList,
    settings: &str,
    descriptors: usize,
    scenario: impl FnOnce(SocketHarness) -> F,
) {
    let extensions = Extensions::default();
    run_scenario_with_extensions(cached, settings, descriptors, extensions, scenario);
}

/// The same with a usage recorder or frontends. With a recorder, the engine records usage.
pub fn run_scenario_with_extensions<F: Future<Output = ()>>(
    cached: CachedList,
    settings: &str,
    descriptors: usize,
    extensions: Extensions,
    scenario: impl FnOnce(SocketHarness) -> F,
) {
    let mut runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = runtime.enable_all().start_paused(true).build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let (discovery, discovery_address) = listener().await;
        let (leaf, leaf_address) = listener().await;
        let (clients, aggregator) = listener().await;
        let aggregator_settings = parse_aggregator_settings(settings).unwrap();
        let policy_settings = parse_policy_settings(settings).unwrap();
        let names = NameTables {
            classes: aggregator_settings.classes.clone(),
            deadlines: aggregator_settings.deadlines.clone(),
            shards: aggregator_settings.shards,
            ..NameTables::default()
        };
        let clock = Clock::start();
        let endpoints = match cached {
            CachedList::OneEndpoint => vec![endpoint(leaf_address, "up")],
            CachedList::Empty => Vec::new(),
        };
        let initial_list = serde_json::from_value(snapshot(2, &endpoints)).unwrap();
        let mut engine = Engine::new(
            clock.now(),
            aggregator_settings,
            policy_settings,
            7,
            &initial_list,
            descriptors,
        );
        if extensions.recorder.is_some() {
            engine.record_usage(USAGE_WATERMARK_INTERVAL);
        }
        let (signals, received_signals) = mpsc::channel(1);
        let served = tokio::task::spawn_local(net::serve(
            engine,
            clock,
            names,
            clients,
            addresses(discovery_address),
            received_signals,
            extensions,
        ));
        scenario(SocketHarness {
            aggregator,
            signals,
            discovery,
            leaf,
            served,
        })
        .await;
    });
}

/// A watch as discovery sees it.
pub struct WatchConnection {
    pub stream: TcpStream,
    /// The head of the request.
    pub request: String,
}

impl WatchConnection {
    /// Accepts the next watch and reads its request.
    pub async fn accept(discovery: &TcpListener) -> WatchConnection {
        let (mut stream, _) = timeout(HANG_TIMEOUT, discovery.accept())
            .await
            .expect("a watch")
            .unwrap();
        let request = read_head(&mut stream).await;
        WatchConnection { stream, request }
    }

    /// Sends the head of the response.
    pub async fn send_head(&mut self) {
        self.stream
            .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            .await
            .unwrap();
    }

    /// Sends one chunk of the response's body.
    pub async fn send_chunk(&mut self, text: &str) {
        self.stream
            .write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
            .await
            .unwrap();
    }
}

/// The first part of a call as a leaf server receives it.
pub struct ReceivedCall {
    /// The part's id.
    pub id: String,
    /// How long the aggregator says that it waits, in milliseconds.
    pub wait_ms: u64,
}

/// A connection of the aggregator as a leaf server sees it.
pub struct LeafServerConnection {
    pub stream: TcpStream,
}

impl LeafServerConnection {
    /// Accepts the next connection.
    pub async fn accept(leaf: &TcpListener) -> LeafServerConnection {
        let (stream, _) = timeout(HANG_TIMEOUT, leaf.accept())
            .await
            .expect("a connection")
            .unwrap();
        stream.set_nodelay(true).unwrap();
        LeafServerConnection { stream }
    }

    /// The next frame; none at the end of the connection.
    pub async fn next_frame(&mut self) -> Option<String> {
        let length = self.stream.read_u32().await.ok()?;
        let mut frame = vec![0; length as usize];
        self.stream.read_exact(&mut frame).await.ok()?;
        Some(String::from_utf8(frame).unwrap())
    }

    /// The next call; other frames before it are skipped.
    pub async fn next_call(&mut self) -> ReceivedCall {
        loop {
            let frame = timeout(HANG_TIMEOUT, self.next_frame())
                .await
                .expect("a call")
                .expect("a call");
            if let Some(call) = frame.strip_prefix('Q') {
                let mut fields = call.split(' ');
                let id = fields.next().unwrap().to_string();
                let wait_ms = fields.nth(1).unwrap()[2..].parse().unwrap();
                return ReceivedCall { id, wait_ms };
            }
        }
    }

    /// Sends a part's result, with its id as the value.
    pub async fn send_result(&mut self, id: &str) {
        let result = format!("A{id} ok 1 -\n{id}");
        let frame = [&(result.len() as u32).to_be_bytes()[..], result.as_bytes()].concat();
        self.stream.write_all(&frame).await.unwrap();
    }

    /// Answers all calls until the connection ends, and returns their number.
    pub async fn serve(mut self) -> usize {
        let mut served = 0;
        while let Some(frame) = self.next_frame().await {
            if let Some(call) = frame.strip_prefix('Q') {
                let id = call.split(' ').next().unwrap().to_string();
                self.send_result(&id).await;
                served += 1;
            }
        }
        served
    }
}

/// Connects a client.
pub async fn connect_client(aggregator: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(aggregator).await.unwrap();
    stream.set_nodelay(true).unwrap();
    stream
}

/// A client that was served once, with a query of this name, and is idle; the connection to the
/// leaf server stays open.
pub async fn served_client(
    harness: &SocketHarness,
    name: &str,
) -> (TcpStream, LeafServerConnection) {
    let mut client = connect_client(harness.aggregator).await;
    let request = query_request(name, "");
    client.write_all(request.as_bytes()).await.unwrap();
    let mut leaf = LeafServerConnection::accept(&harness.leaf).await;
    let call = leaf.next_call().await;
    leaf.send_result(&call.id).await;
    let response = read_response(&mut client).await;
    assert!(response.head.starts_with("HTTP/1.1 200"), "{response:?}");
    assert!(response.body.contains(&format!("{name}.3")), "{response:?}");
    (client, leaf)
}

/// Expects the end of a connection as its client sees it: everything was read, and nothing was
/// reset.
pub async fn expect_clean_close(client: &mut TcpStream) {
    let end = timeout(HANG_TIMEOUT, client.read(&mut [0])).await;
    let end = end.expect("an end").map_err(|error| error.kind());
    assert_eq!(end, Ok(0));
    assert!(client.take_error().unwrap().is_none(), "reset");
}

async fn read_head(stream: &mut TcpStream) -> String {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(
            timeout(HANG_TIMEOUT, stream.read_u8())
                .await
                .expect("bytes")
                .expect("a head"),
        );
    }
    String::from_utf8(head).unwrap()
}

/// A response of the aggregator to a client.
#[derive(Debug)]
pub struct HttpResponse {
    /// The status line and the header fields.
    pub head: String,
    pub body: String,
}

/// Reads one response.
pub async fn read_response(stream: &mut TcpStream) -> HttpResponse {
    let head = read_head(stream).await;
    let length = head
        .split("Content-Length: ")
        .nth(1)
        .unwrap()
        .split('\r')
        .next()
        .unwrap();
    let mut body = vec![0; length.parse().unwrap()];
    stream.read_exact(&mut body).await.unwrap();
    let body = String::from_utf8(body).unwrap();
    HttpResponse { head, body }
}

/// A query with one part, of the class that needs every part.
pub fn query_request(name: &str, headers: &str) -> String {
    let body = "{\"shards\":[{\"shard\":3,\"weight\":1.0}],\"q\":\"c41e\"}";
    let length = body.len();
    format!("POST /lookup HTTP/1.1\r\nX-Request-ID: {name}\r\n{headers}Content-Length: {length}\r\n\r\n{body}")
}
