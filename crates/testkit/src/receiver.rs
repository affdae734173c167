//! Receiver of exported documents that injects every fault after which the sender cannot tell
//! whether the document was stored.

use crate::sync::lock;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::task::{AbortHandle, JoinSet};

/// Number of deliveries of each document that are stored without being acknowledged.
const UNACKNOWLEDGED_DELIVERIES: u32 = 2;
/// Delay of a hanging response, longer than the timeout of any sender.
const HANG_DELAY: Duration = Duration::from_secs(30);
const LISTEN_BACKLOG: u32 = 64;

/// Document with the bytes of its first delivery.
#[derive(Clone, Debug)]
pub struct ReceivedDocument {
    /// Body of the first delivery.
    pub body: Bytes,
    /// Number of deliveries, the first one included.
    pub deliveries: u32,
}

/// Documents that a receiver has stored.
#[derive(Clone, Debug, Default)]
pub struct ReceivedDocuments {
    /// Stored documents by their idempotency keys.
    pub by_id: BTreeMap<String, ReceivedDocument>,
    /// Number of repeated deliveries whose body differs from the first one.
    pub conflicting_deliveries: u32,
}

impl ReceivedDocuments {
    /// Stores a delivery. Returns the number of deliveries of this document so far.
    fn store(&mut self, id: String, body: Bytes) -> u32 {
        let document = self.by_id.entry(id).or_insert_with(|| ReceivedDocument {
            body: body.clone(),
            deliveries: 0,
        });
        document.deliveries += 1;
        self.conflicting_deliveries += u32::from(document.body != body);
        document.deliveries
    }
}

/// Server that receives documents until it is dropped. The stored documents outlive the server, as
/// on a disk.
///
/// The first deliveries of each document are stored but not acknowledged: the connection is
/// dropped, the response has status 500, or the response hangs.
pub struct DocumentReceiver {
    task: AbortHandle,
}

impl Drop for DocumentReceiver {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl DocumentReceiver {
    /// Starts a receiver at `address` that stores into `documents`.
    ///
    /// # Errors
    /// Returns an error if the address is in use.
    pub async fn start(
        address: SocketAddr,
        documents: Arc<Mutex<ReceivedDocuments>>,
    ) -> io::Result<DocumentReceiver> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        let listener = socket.listen(LISTEN_BACKLOG)?;
        let task = tokio::spawn(serve(listener, documents)).abort_handle();
        Ok(DocumentReceiver { task })
    }
}

async fn serve(listener: TcpListener, documents: Arc<Mutex<ReceivedDocuments>>) {
    let mut connections = JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            return;
        };
        let documents = documents.clone();
        connections.spawn(async move {
            let service = service_fn(move |request| receive(request, documents.clone()));
            let connection = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service);
            let _ = connection.await;
        });
        while connections.try_join_next().is_some() {}
    }
}

async fn receive(
    request: Request<Incoming>,
    documents: Arc<Mutex<ReceivedDocuments>>,
) -> io::Result<Response<Empty<Bytes>>> {
    let Some(id) = idempotency_key(&request) else {
        return Ok(empty_response(StatusCode::BAD_REQUEST));
    };
    let body = request
        .into_body()
        .collect()
        .await
        .map_err(io::Error::other)?
        .to_bytes();
    let deliveries = lock(&documents).store(id.clone(), body);
    if deliveries > UNACKNOWLEDGED_DELIVERIES {
        return Ok(empty_response(StatusCode::OK));
    }
    // The order of the faults depends on the document id, so that each kind of fault comes first
    // for some documents.
    let failure = (id.bytes().map(u32::from).sum::<u32>() + deliveries) % 3;
    match failure {
        0 => Err(io::Error::other(
            "connection dropped after the document was stored",
        )),
        1 => Ok(empty_response(StatusCode::INTERNAL_SERVER_ERROR)),
        _ => {
            tokio::time::sleep(HANG_DELAY).await;
            Ok(empty_response(StatusCode::OK))
        }
    }
}

fn idempotency_key(request: &Request<Incoming>) -> Option<String> {
    let key = request.headers().get("idempotency-key")?;
    Some(key.to_str().ok()?.to_string())
}

fn empty_response(status: StatusCode) -> Response<Empty<Bytes>> {
    let mut response = Response::new(Empty::new());
    *response.status_mut() = status;
    response
}
