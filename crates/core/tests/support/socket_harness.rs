//! A whole mixer on real sockets of the loopback; the test plays everyone else, one step after the
//! other, so that what crosses does so because the test makes it.

use aggregator_core::engine::Engine;
use aggregator_core::net::{self, Addresses, Clock, OperatorSignal};
use aggregator_core::protocol::query::NameTables;
use aggregator_core::settings;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::{timeout, Duration};

/// On a clock that goes on to the next timer when nobody has anything to do: for what never comes.
pub const NEVER: Duration = Duration::from_secs(120);

pub struct Stage {
    pub mixer: SocketAddr,
    pub tell: mpsc::Sender<OperatorSignal>,
    pub discovery: TcpListener,
    pub leaf: TcpListener,
    pub served: JoinHandle<io::Result<()>>,
}

async fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

pub fn addresses(discovery: SocketAddr) -> Addresses {
    Addresses {
        discovery,
        gossip_listen: None,
        peers: Vec::new(),
        gossip_broadcast: None,
    }
}

/// One leaf server that holds every shard, as a line of the list.
pub fn line(leaf: SocketAddr, status: &str) -> serde_json::Value {
    serde_json::json!({"name": "s-1", "address": leaf, "group": 0, "status": status})
}

pub fn list(index: u64, lines: &[serde_json::Value]) -> serde_json::Value {
    serde_json::json!({"index": index, "snapshot": true, "endpoints": lines})
}

/// Plays `script` with a mixer that was started with one leaf server on its list. The clock stands
/// still while anyone has something to do, and else goes on to the next timer.
pub fn play<F: Future<Output = ()>>(
    text: &str,
    descriptors: usize,
    script: impl FnOnce(Stage) -> F,
) {
    let mut runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = runtime.enable_all().start_paused(true).build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let (discovery, leaf, mixer) = (listener().await, listener().await, listener().await);
        let (site, decisions) = (
            settings::site(text).unwrap(),
            settings::parse(text).unwrap(),
        );
        let names = NameTables {
            classes: site.classes.clone(),
            deadlines: site.deadlines.clone(),
            shards: site.shards,
            ..NameTables::default()
        };
        let clock = Clock::start();
        let known = serde_json::from_value(list(2, &[line(leaf.1, "up")])).unwrap();
        let state = Engine::new(clock.now(), site, decisions, 7, &known, descriptors);
        let (tell, told) = mpsc::channel(1);
        let to = addresses(discovery.1);
        let served = net::serve(state, clock, names, mixer.0, to, told, Default::default());
        let served = tokio::task::spawn_local(served);
        script(Stage {
            mixer: mixer.1,
            tell,
            discovery: discovery.0,
            leaf: leaf.0,
            served,
        })
        .await;
    });
}

/// A watch as discovery sees it.
pub struct Watch {
    pub stream: TcpStream,
    pub request: String,
}

impl Watch {
    /// The next one that the mixer opens; what it asks for is read.
    pub async fn next(discovery: &TcpListener) -> Watch {
        let (mut stream, _) = timeout(NEVER, discovery.accept())
            .await
            .expect("a watch")
            .unwrap();
        let request = head(&mut stream).await;
        Watch { stream, request }
    }

    pub async fn begin(&mut self) {
        self.stream
            .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            .await
            .unwrap();
    }

    pub async fn write(&mut self, text: &str) {
        self.stream
            .write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
            .await
            .unwrap();
    }
}

/// A connection of the mixer as a leaf server sees it.
pub struct Leaf {
    pub stream: TcpStream,
}

impl Leaf {
    pub async fn next(leaf: &TcpListener) -> Leaf {
        let (stream, _) = timeout(NEVER, leaf.accept())
            .await
            .expect("a connection")
            .unwrap();
        stream.set_nodelay(true).unwrap();
        Leaf { stream }
    }

    /// The next frame; none at the end of the connection.
    pub async fn frame(&mut self) -> Option<String> {
        let length = self.stream.read_u32().await.ok()?;
        let mut frame = vec![0; length as usize];
        self.stream.read_exact(&mut frame).await.ok()?;
        Some(String::from_utf8(frame).unwrap())
    }

    /// The part's id and the milliseconds that the mixer waits, of the next call.
    pub async fn call(&mut self) -> (String, u64) {
        loop {
            let frame = timeout(NEVER, self.frame())
                .await
                .expect("a call")
                .expect("a call");
            if let Some(call) = frame.strip_prefix('Q') {
                let mut words = call.split(' ');
                let id = words.next().unwrap().to_string();
                return (id, words.nth(1).unwrap()[2..].parse().unwrap());
            }
        }
    }

    pub async fn answer(&mut self, id: &str) {
        let answer = format!("A{id} ok 1 -\n{id}");
        let frame = [&(answer.len() as u32).to_be_bytes()[..], answer.as_bytes()].concat();
        self.stream.write_all(&frame).await.unwrap();
    }

    /// Answers all calls until the connection ends, and says how many there were.
    pub async fn serve(mut self) -> usize {
        let mut served = 0;
        while let Some(frame) = self.frame().await {
            if let Some(call) = frame.strip_prefix('Q') {
                let id = call.split(' ').next().unwrap().to_string();
                self.answer(&id).await;
                served += 1;
            }
        }
        served
    }
}

pub async fn client(mixer: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(mixer).await.unwrap();
    stream.set_nodelay(true).unwrap();
    stream
}

async fn head(stream: &mut TcpStream) -> String {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(
            timeout(NEVER, stream.read_u8())
                .await
                .expect("bytes")
                .expect("a head"),
        );
    }
    String::from_utf8(head).unwrap()
}

/// One answer of the mixer: its head and its body.
pub async fn answer(stream: &mut TcpStream) -> (String, String) {
    let head = head(stream).await;
    let length = head
        .split("Content-Length: ")
        .nth(1)
        .unwrap()
        .split('\r')
        .next()
        .unwrap();
    let mut body = vec![0; length.parse().unwrap()];
    stream.read_exact(&mut body).await.unwrap();
    (head, String::from_utf8(body).unwrap())
}

/// A request for one part, of the class that needs it.
pub fn query(name: &str, extra: &str) -> String {
    let body = "{\"shards\":[{\"shard\":3,\"weight\":1.0}],\"q\":\"c41e\"}";
    let length = body.len();
    format!("POST /lookup HTTP/1.1\r\nX-Request-ID: {name}\r\n{extra}Content-Length: {length}\r\n\r\n{body}")
}
