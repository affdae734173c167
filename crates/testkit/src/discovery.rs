//! Discovery server that serves the endpoint list of the leaf servers, as a snapshot or as a watch.

use crate::sync::lock;
use bytes::Bytes;
use futures_util::stream;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use serde_json::{json, Value};
use std::convert::Infallible;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::timeout;

/// Interval of the empty lines that keep a watch without changes alive.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);

type Body = UnsyncBoxBody<Bytes, Infallible>;

/// Status of an endpoint in a delta.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointStatus {
    /// The leaf server is listed and may receive parts.
    Up,
    /// The leaf server is no longer listed.
    Removed,
}

/// Change of one leaf server in the endpoint list.
#[derive(Clone, Debug)]
pub struct EndpointChange {
    /// Name of the leaf server, unique in the endpoint list.
    pub name: String,
    /// Address at which the leaf server listens.
    pub address: SocketAddr,
    /// Name of the leaf server's zone.
    pub zone: &'static str,
    /// Index of the leaf server's replica group.
    pub group: usize,
    /// Status after the change.
    pub status: EndpointStatus,
    /// Start time of the leaf server in Unix milliseconds; 0 if it started long ago.
    pub since_ms: u64,
}

impl EndpointChange {
    /// Encodes the change as an endpoint object of the discovery protocol.
    fn to_json(&self) -> Value {
        json!({
            "name": self.name,
            "address": self.address,
            "zone": self.zone,
            "type": "m",
            "group": self.group,
            "status": match self.status {
                EndpointStatus::Up => "up",
                EndpointStatus::Removed => "removed",
            },
            "weight": 1.0,
            "since_ms": self.since_ms,
        })
    }
}

#[derive(Default)]
struct EndpointList {
    /// All changes in order of publication. Their count is the index of the list.
    changes: Vec<EndpointChange>,
}

impl EndpointList {
    fn snapshot(&self) -> Value {
        let mut endpoints: Vec<&EndpointChange> = Vec::new();
        for change in &self.changes {
            endpoints.retain(|endpoint| endpoint.name != change.name);
            if change.status != EndpointStatus::Removed {
                endpoints.push(change);
            }
        }
        self.update(true, endpoints)
    }

    fn delta_since(&self, index: usize) -> Value {
        self.update(false, &self.changes[index..])
    }

    fn update<'a>(
        &self,
        is_snapshot: bool,
        endpoints: impl IntoIterator<Item = &'a EndpointChange>,
    ) -> Value {
        let endpoints: Vec<Value> = endpoints.into_iter().map(EndpointChange::to_json).collect();
        json!({
            "index": self.changes.len(),
            "snapshot": is_snapshot,
            "endpoints": endpoints,
        })
    }
}

/// Discovery server that runs until it is dropped.
pub struct DiscoveryServer {
    /// Address at which the server listens.
    pub address: SocketAddr,
    list: Arc<Mutex<EndpointList>>,
    index_sender: watch::Sender<usize>,
    task: AbortHandle,
}

impl Drop for DiscoveryServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl DiscoveryServer {
    /// Starts a server with an empty endpoint list on a free port of `ip`.
    ///
    /// # Errors
    /// Returns an error if no port is free.
    pub async fn start(ip: IpAddr) -> io::Result<DiscoveryServer> {
        let listener = TcpListener::bind((ip, 0)).await?;
        let address = listener.local_addr()?;
        let list = Arc::<Mutex<EndpointList>>::default();
        let (index_sender, receiver) = watch::channel(0);
        let task = tokio::spawn(serve(listener, list.clone(), receiver)).abort_handle();
        Ok(DiscoveryServer {
            address,
            list,
            index_sender,
            task,
        })
    }

    /// Publishes changes of endpoints in a single delta.
    pub fn publish(&self, changes: Vec<EndpointChange>) {
        let mut list = lock(&self.list);
        list.changes.extend(changes);
        self.index_sender.send_replace(list.changes.len());
    }

    /// Returns a snapshot of the endpoint list, in the format of an aggregator's platform object.
    pub fn snapshot(&self) -> Value {
        lock(&self.list).snapshot()
    }
}

async fn serve(
    listener: TcpListener,
    list: Arc<Mutex<EndpointList>>,
    index_receiver: watch::Receiver<usize>,
) {
    let mut connections = JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            return;
        };
        let (list, index_receiver) = (list.clone(), index_receiver.clone());
        connections.spawn(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let body = response_body(&request, list.clone(), index_receiver.clone());
                async move { Ok::<_, Infallible>(Response::new(body)) }
            });
            let connection = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service);
            let _ = connection.await;
        });
        while connections.try_join_next().is_some() {}
    }
}

fn response_body(
    request: &Request<Incoming>,
    list: Arc<Mutex<EndpointList>>,
    index_receiver: watch::Receiver<usize>,
) -> Body {
    let query = request.uri().query().unwrap_or_default();
    if !query.contains("watch=1") {
        let snapshot = lock(&list).snapshot().to_string();
        return Full::new(Bytes::from(snapshot)).boxed_unsync();
    }
    let known_index = query
        .split('&')
        .find_map(|pair| pair.strip_prefix("from=")?.parse::<usize>().ok());
    let watcher = Watcher {
        known_index,
        list,
        index_receiver,
    };
    let lines = stream::unfold(watcher, |mut watcher| async move {
        let line = watcher.next_line().await?;
        let frame = Frame::data(Bytes::from(line + "\n"));
        Some((Ok::<_, Infallible>(frame), watcher))
    });
    BodyExt::boxed_unsync(StreamBody::new(Box::pin(lines)))
}

/// One client's watch of the endpoint list.
struct Watcher {
    /// Index up to which the client knows the endpoint list; `None` if the client has no list yet.
    known_index: Option<usize>,
    list: Arc<Mutex<EndpointList>>,
    index_receiver: watch::Receiver<usize>,
}

impl Watcher {
    /// Waits for the next line of the watch: an update, or an empty line as a keep-alive. Returns
    /// `None` when the discovery server ends.
    async fn next_line(&mut self) -> Option<String> {
        loop {
            if let Some(update) = self.pending_update() {
                return Some(update);
            }
            match timeout(KEEP_ALIVE_INTERVAL, self.index_receiver.changed()).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) => return None,
                Err(_) => {
                    self.known_index = Some(self.known_index.unwrap_or_default());
                    return Some(String::new());
                }
            }
        }
    }

    fn pending_update(&mut self) -> Option<String> {
        let list = lock(&self.list);
        let current_index = list.changes.len();
        let update = match self.known_index {
            Some(known) if known == current_index => None,
            Some(known) if known < current_index => Some(list.delta_since(known)),
            // The client has received nothing yet, or its index comes from an earlier run of the
            // discovery server.
            _ => Some(list.snapshot()),
        };
        if update.is_some() {
            self.known_index = Some(current_index);
        } else {
            self.index_receiver.mark_unchanged();
        }
        update.map(|update| update.to_string())
    }
}
