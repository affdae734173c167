//! Registry of the connected clients, both those of the native frontend and those of other
//! frontends.

use super::client_command::ClientCommand;
use super::MAX_QUEUED_COMMANDS;
use crate::engine::ClientId;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use tokio::sync::{mpsc, Notify};

/// The connected clients, and the notifications for tasks that wait for one of them to end. All
/// clones refer to the same state.
#[derive(Clone, Default)]
pub(super) struct ClientRegistry {
    commands: Rc<RefCell<HashMap<ClientId, mpsc::Sender<ClientCommand>>>>,
    last_client: Rc<Cell<ClientId>>,
    client_ended: Rc<Notify>,
    /// Number of connections that only wait for their client to close its side.
    lingering: Rc<Cell<usize>>,
    capacity_needed: Rc<Notify>,
}

/// A client that was added to the registry.
pub(super) struct RegisteredClient {
    /// Id of the client, which is never reused.
    pub(super) client: ClientId,
    /// Commands from the driver to the client's task.
    pub(super) commands: mpsc::Receiver<ClientCommand>,
}

impl ClientRegistry {
    /// Adds a client under a new id.
    pub(super) fn register(&self) -> RegisteredClient {
        let client = self.last_client.get() + 1;
        self.last_client.set(client);
        let (sender, commands) = mpsc::channel(MAX_QUEUED_COMMANDS);
        self.commands.borrow_mut().insert(client, sender);
        RegisteredClient { client, commands }
    }

    /// Removes a client that has disconnected.
    pub(super) fn remove(&self, client: ClientId) {
        self.commands.borrow_mut().remove(&client);
        self.client_ended.notify_one();
    }

    /// Returns the number of connected clients.
    pub(super) fn len(&self) -> usize {
        self.commands.borrow().len()
    }

    /// Queues a command for the task of a client's connection, if the client is still connected.
    pub(super) fn send(&self, client: ClientId, command: ClientCommand) {
        if let Some(commands) = self.commands.borrow().get(&client) {
            // The queue is full only if the task is blocked on a client that does not read. Such a
            // client loses its response.
            if commands.try_send(command).is_err() {
                tracing::debug!(
                    client,
                    "command not delivered: client connection has ended or is blocked"
                );
            }
        }
    }

    /// Returns the notification that is sent whenever a client is removed or a request ends
    /// (`open_requests.rs`). There may then be capacity for another connection, or the shutdown may
    /// have nothing left to wait for.
    pub(super) fn client_ended(&self) -> &Rc<Notify> {
        &self.client_ended
    }

    /// Counts a connection that only waits for its client to close its side.
    pub(super) fn begin_lingering(&self) {
        self.lingering.set(self.lingering.get() + 1);
    }

    /// Removes a connection that [`begin_lingering`](Self::begin_lingering) has counted.
    pub(super) fn end_lingering(&self) {
        self.lingering.set(self.lingering.get() - 1);
    }

    /// Returns the number of connections that only wait for their client to close its side.
    pub(super) fn lingering(&self) -> usize {
        self.lingering.get()
    }

    /// Asks one lingering connection, if there is any, to end and make room for a new one.
    pub(super) fn request_capacity(&self) {
        if self.lingering.get() > 0 {
            self.capacity_needed.notify_one();
        }
    }

    /// Waits until a lingering connection has to make room for a new one.
    pub(super) async fn capacity_needed(&self) {
        self.capacity_needed.notified().await;
    }
}
