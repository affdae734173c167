//! Registry of the connected clients, both those of the native frontend and those of other
//! frontends.

use super::client_command::ClientCommand;
use super::MAX_QUEUED_COMMANDS;
use crate::engine::ClientId;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use tokio::sync::{mpsc, oneshot, Notify};

/// The connected clients, and the notifications for tasks that wait for one of them to end. All
/// clones refer to the same state.
#[derive(Clone, Default)]
pub(super) struct ClientRegistry {
    commands: Rc<RefCell<HashMap<ClientId, mpsc::Sender<ClientCommand>>>>,
    last_client: Rc<Cell<ClientId>>,
    client_ended: Rc<Notify>,
    /// Connections that only wait for their client to close its side, oldest first. A message asks
    /// the connection to end.
    lingering: Rc<RefCell<VecDeque<oneshot::Sender<()>>>>,
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

    /// Returns the notification that is sent whenever a client is removed, its connection begins to
    /// linger, or a request ends (`open_requests.rs`). There may then be capacity for another
    /// connection, or the shutdown may have nothing left to wait for.
    pub(super) fn client_ended(&self) -> &Rc<Notify> {
        &self.client_ended
    }

    /// Adds a connection that only waits for its client to close its side. The returned receiver
    /// gets a message when the connection must end to make room for a new one.
    pub(super) fn begin_lingering(&self) -> oneshot::Receiver<()> {
        let (end, end_requested) = oneshot::channel();
        let mut lingering = self.lingering.borrow_mut();
        lingering.retain(|connection| !connection.is_closed());
        lingering.push_back(end);
        self.client_ended.notify_one();
        end_requested
    }

    /// Returns the number of connections that linger and have not been asked to end.
    pub(super) fn lingering(&self) -> usize {
        let lingering = self.lingering.borrow();
        lingering
            .iter()
            .filter(|connection| !connection.is_closed())
            .count()
    }

    /// Asks the connection that has lingered for longest, if there is any, to end and make room for
    /// a new one.
    pub(super) fn end_oldest_lingering(&self) {
        let mut lingering = self.lingering.borrow_mut();
        while let Some(oldest) = lingering.pop_front() {
            if oldest.send(()).is_ok() {
                return;
            }
        }
    }
}
