//! The clients that are connected: by their own connection, or by way of another frontend.

use super::client_command::ClientCommand;
use super::MAX_QUEUED_COMMANDS;
use crate::engine::ClientId;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use tokio::sync::{mpsc, Notify};

/// The connected clients, and what waits for one of them to end. All clones refer to the same
/// state.
#[derive(Clone, Default)]
pub(super) struct ClientRegistry {
    commands: Rc<RefCell<HashMap<ClientId, mpsc::Sender<ClientCommand>>>>,
    last_client: Rc<Cell<ClientId>>,
    client_ended: Rc<Notify>,
    /// The number of connections that only wait for their client to close.
    lingering: Rc<Cell<usize>>,
    capacity_needed: Rc<Notify>,
}

/// A client that was added to the registry.
pub(super) struct RegisteredClient {
    /// Its id, which is never reused.
    pub(super) client: ClientId,
    /// The commands of the driver to it.
    pub(super) commands: mpsc::Receiver<ClientCommand>,
}

impl ClientRegistry {
    /// Adds a client.
    pub(super) fn register(&self) -> RegisteredClient {
        let client = self.last_client.get() + 1;
        self.last_client.set(client);
        let (sender, commands) = mpsc::channel(MAX_QUEUED_COMMANDS);
        self.commands.borrow_mut().insert(client, sender);
        RegisteredClient { client, commands }
    }

    /// Removes a client whose connection has ended.
    pub(super) fn remove(&self, client: ClientId) {
        self.commands.borrow_mut().remove(&client);
        self.client_ended.notify_one();
    }

    /// The number of connected clients.
    pub(super) fn len(&self) -> usize {
        self.commands.borrow().len()
    }

    /// Queues a command for the task of a client's connection, if the client is still connected.
    pub(super) fn send(&self, client: ClientId, command: ClientCommand) {
        if let Some(commands) = self.commands.borrow().get(&client) {
            // The queue is full only if the task is blocked on a client that does not read; that
            // client loses its response.
            if commands.try_send(command).is_err() {
                tracing::debug!(client, "a client's connection has ended or is blocked");
            }
        }
    }

    /// What is notified whenever a client is removed, or a request ends (`open_requests.rs`): there
    /// may be capacity for another connection, or nothing left to wait for.
    pub(super) fn client_ended(&self) -> &Rc<Notify> {
        &self.client_ended
    }

    /// Counts a connection that only waits for its client to close.
    pub(super) fn begin_lingering(&self) {
        self.lingering.set(self.lingering.get() + 1);
    }

    /// Ends what [`begin_lingering`](Self::begin_lingering) has begun.
    pub(super) fn end_lingering(&self) {
        self.lingering.set(self.lingering.get() - 1);
    }

    /// Has one lingering connection end, if there is any, as a new one needs its capacity.
    pub(super) fn request_capacity(&self) {
        if self.lingering.get() > 0 {
            self.capacity_needed.notify_one();
        }
    }

    /// Returns once a lingering connection has to end for a new one.
    pub(super) async fn capacity_needed(&self) {
        self.capacity_needed.notified().await;
    }
}
