//! The interface by which the frontends for other protocols send queries to the engine. To the
//! engine, their clients are of the same kind as those of the native protocol.

use super::client_command::ClientCommand;
use super::client_registry::RegisteredClient;
use super::open_requests::OpenRequest;
use super::running_frontend::RunningFrontend;
use super::shared::{ServingPhase, Shared};
use crate::api::Nanos;
use crate::engine::{ClientId, Input};
use crate::protocol::query::{ClientRequest, NameTables, QueryReply, QueryRequest};
use std::rc::Rc;

/// Sends queries to the engine, each as a client of its own. Only for tasks of the aggregator's
/// `LocalSet`.
///
/// A frontend holds a clone while it accepts connections or serves any: once the last one is
/// dropped the frontend has stopped, and the process may exit (see `engine/shutdown.rs`).
#[derive(Clone)]
pub struct InternalClient {
    shared: Shared,
    _running: Rc<RunningFrontend>,
}

/// A client that is connected while its one query is open. Dropped before the reply, it has
/// disconnected, and the engine cancels the query.
struct ConnectedClient {
    shared: Shared,
    client: ClientId,
}

impl ConnectedClient {
    /// Sends an input; false if the event loop has ended.
    async fn send(&self, input: Input) -> bool {
        self.shared.inputs.send(input).await.is_ok()
    }
}

impl Drop for ConnectedClient {
    fn drop(&mut self) {
        self.shared.clients.remove(self.client);
        self.shared.send_detached(Input::ClientDisconnected {
            client: self.client,
        });
    }
}

impl InternalClient {
    pub(super) fn new(shared: Shared, running: RunningFrontend) -> InternalClient {
        InternalClient {
            shared,
            _running: Rc::new(running),
        }
    }

    /// The names of classes and tenants, and the bounds of a query.
    pub fn names(&self) -> &Rc<NameTables> {
        &self.shared.names
    }

    /// The time now by the aggregator's clock, in Unix nanoseconds.
    pub fn now(&self) -> Nanos {
        self.shared.clock.now()
    }

    /// Counts a request of the frontend as open for as long as the returned value is held.
    pub fn open_request(&self) -> OpenRequest {
        self.shared.open_requests.open()
    }

    /// Sends a query that arrived at this time and waits for its reply. Dropping the future cancels
    /// the query.
    pub async fn send_query(&self, arrived: Nanos, query: QueryRequest) -> QueryReply {
        let RegisteredClient {
            client,
            mut commands,
        } = self.shared.clients.register();
        let connected = ConnectedClient {
            shared: self.shared.clone(),
            client,
        };
        let request = Ok(ClientRequest::Query(query));
        let received = Input::RequestReceived {
            client,
            arrived_at: arrived,
            request,
        };
        let is_connected = connected.send(Input::ClientConnected { client }).await;
        if !is_connected || !connected.send(received).await {
            return QueryReply::REJECTED_AT_EXIT;
        }
        loop {
            match commands.recv().await {
                Some(ClientCommand::Reply { reply, .. }) => return *reply,
                // The query has crossed this command and is served.
                Some(ClientCommand::Close | ClientCommand::Drain) => {}
                None => return QueryReply::Failed,
            }
        }
    }

    /// Returns once the drain period of a shutdown is over: the frontend must accept no more
    /// connections.
    pub async fn listening_stopped(&self) {
        self.shared.listening_stopped().await;
    }

    /// Whether a shutdown has begun: each response must request the client to close the connection.
    pub fn is_draining(&self) -> bool {
        *self.shared.phase.borrow() >= ServingPhase::Draining
    }
}
