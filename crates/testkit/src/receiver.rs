//! A receiver of documents that fails in each way after which the sender can't know whether the
//! document was stored.

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

/// So many first deliveries of each document are stored and then not acknowledged.
const UNACKNOWLEDGED_DELIVERIES: u32 = 2;
/// The delay of a response that hangs: longer than any sender waits.
const HANG: Duration = Duration::from_secs(30);
const LISTEN_BACKLOG: u32 = 64;

/// A document as it was first delivered.
#[derive(Clone, Debug)]
pub struct ReceivedDocument {
    /// The bytes of the first delivery.
    pub body: Bytes,
    /// How often the document was delivered.
    pub deliveries: u32,
}

/// What a receiver has stored.
#[derive(Clone, Debug, Default)]
pub struct ReceivedDocuments {
    /// Each document once, by its idempotency key.
    pub by_id: BTreeMap<String, ReceivedDocument>,
    /// Deliveries of a known document with other bytes than the first time.
    pub conflicting_deliveries: u32,
}

impl ReceivedDocuments {
    /// Stores a delivery and returns how often this document has been delivered.
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

/// Receives documents until it is dropped; what it stores outlives it, as a disk would.
///
/// The first deliveries of each document are stored and then not acknowledged: the connection is
/// dropped, the response is a 500, or none comes at all.
pub struct DocumentReceiver {
    task: AbortHandle,
}

impl Drop for DocumentReceiver {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl DocumentReceiver {
    /// Serves on `address`.
    ///
    /// # Errors
    /// The address is taken.
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
    // Depends on the document, so that each failure is the first one of some document.
    let failure = (id.bytes().map(u32::from).sum::<u32>() + deliveries) % 3;
    match failure {
        0 => Err(io::Error::other("dropped after storing")),
        1 => Ok(empty_response(StatusCode::INTERNAL_SERVER_ERROR)),
        _ => {
            tokio::time::sleep(HANG).await;
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
