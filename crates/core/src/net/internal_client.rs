//! Interface through which frontends for other protocols send queries to the engine. The engine
//! treats their clients like those of the native frontend.

use super::client_command::ClientCommand;
use super::client_registry::RegisteredClient;
use super::open_requests::OpenRequest;
use super::running_frontend::RunningFrontend;
use super::shared::{ServingPhase, Shared};
use crate::api::Nanos;
use crate::engine::{ClientId, Input};
use crate::protocol::query::{ClientRequest, NameTables, QueryReply, QueryRequest};
use std::rc::Rc;

/// Sends queries to the engine, each as a separate client. Must be used within the aggregator's
/// `LocalSet`.
///
/// A frontend holds a clone while it accepts or serves connections. Once the last clone is dropped,
/// the frontend has stopped and the process may exit (see `engine/shutdown.rs`).
#[derive(Clone)]
pub struct InternalClient {
    shared: Shared,
    _running_frontend: Rc<RunningFrontend>,
}

/// A client with a single query, connected until this value is dropped. If it is dropped before the
/// reply, the engine cancels the query.
struct ConnectedClient {
    shared: Shared,
    client: ClientId,
}

impl ConnectedClient {
    /// Sends an input to the engine. Returns `false` if the event loop has ended.
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
    pub(super) fn new(shared: Shared, running_frontend: RunningFrontend) -> InternalClient {
        InternalClient {
            shared,
            _running_frontend: Rc::new(running_frontend),
        }
    }

    /// Returns the names of classes and tenants, and the limits of a query.
    pub fn names(&self) -> &Rc<NameTables> {
        &self.shared.names
    }

    /// Returns the current time of the aggregator's clock, in Unix nanoseconds.
    pub fn now(&self) -> Nanos {
        self.shared.clock.now()
    }

    /// Counts a request of the frontend as open until the returned guard is dropped.
    pub fn open_request(&self) -> OpenRequest {
        self.shared.open_requests.open()
    }

    /// Sends a query and waits for its reply. The client timeout runs from `arrived_at`, in Unix
    /// nanoseconds. Dropping the future cancels the query.
    pub async fn send_query(&self, arrived_at: Nanos, query: QueryRequest) -> QueryReply {
        let RegisteredClient {
            client,
            mut commands,
        } = self.shared.clients.register();
        let connected_client = ConnectedClient {
            shared: self.shared.clone(),
            client,
        };
        let request = Ok(ClientRequest::Query(query));
        let request_received = Input::RequestReceived {
            client,
            arrived_at,
            request,
        };
        let is_connected = connected_client
            .send(Input::ClientConnected { client })
            .await;
        if !is_connected || !connected_client.send(request_received).await {
            return QueryReply::REJECTED_AT_EXIT;
        }
        loop {
            match commands.recv().await {
                Some(ClientCommand::Reply { reply, .. }) => return *reply,
                // This command has crossed the query, which is still served.
                Some(ClientCommand::Close | ClientCommand::Drain) => {}
                None => return QueryReply::Failed,
            }
        }
    }

    /// Waits for the end of a shutdown's drain period, after which the frontend must not accept
    /// further connections.
    pub async fn listening_stopped(&self) {
        self.shared.listening_stopped().await;
    }

    /// Returns whether a shutdown has begun. If so, each response must ask the client to close the
    /// connection.
    pub fn is_draining(&self) -> bool {
        *self.shared.phase.borrow() >= ServingPhase::Draining
    }
}
