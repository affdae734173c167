//! The state that the tasks of all connections share.

use super::buffer_pool::BufferPool;
use super::client_command::ClientCommand;
use super::open_requests::OpenRequests;
use super::Clock;
use crate::engine::{ClientId, Input};
use crate::protocol::query::NameTables;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use tokio::sync::{mpsc, watch, Notify};

/// What a frontend does with connections. A graceful shutdown passes through the phases in this
/// order; `engine/shutdown.rs` decides when each begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ServingPhase {
    /// It accepts them, and keeps them open.
    Running,
    /// The drain period: it accepts them, and closes each after its response.
    Draining,
    /// The drain period is over: it accepts no more, and closes those that are idle.
    ListeningStopped,
}

/// The state that the tasks of all connections share. All clones refer to the same state.
#[derive(Clone)]
pub(super) struct Shared {
    pub(super) clock: Clock,
    pub(super) buffers: BufferPool,
    /// The engine's input queue.
    pub(super) inputs: mpsc::Sender<Input>,
    /// The open client connections, and the internal clients.
    pub(super) clients: Rc<RefCell<HashMap<ClientId, mpsc::Sender<ClientCommand>>>>,
    /// Notified whenever a client's connection or a request has ended: there may be capacity for
    /// another connection, or nothing left to wait for.
    pub(super) client_ended: Rc<Notify>,
    /// The requests that were read and are not answered yet.
    pub(super) open_requests: OpenRequests,
    /// The number of connections that only wait for their client to close.
    pub(super) lingering: Rc<Cell<usize>>,
    /// Notified when a lingering connection has to end because a new one needs its capacity.
    pub(super) capacity_needed: Rc<Notify>,
    pub(super) names: Rc<NameTables>,
    last_client: Rc<Cell<ClientId>>,
    /// The phase that all frontends are in.
    pub(super) phase: Rc<watch::Sender<ServingPhase>>,
}

impl Shared {
    pub(super) fn new(clock: Clock, names: NameTables, inputs: mpsc::Sender<Input>) -> Shared {
        let client_ended = Rc::<Notify>::default();
        Shared {
            clock,
            buffers: BufferPool::default(),
            inputs,
            clients: Rc::default(),
            open_requests: OpenRequests::new(client_ended.clone()),
            client_ended,
            lingering: Rc::default(),
            capacity_needed: Rc::default(),
            names: Rc::new(names),
            last_client: Rc::default(),
            phase: Rc::new(watch::channel(ServingPhase::Running).0),
        }
    }

    /// Sends an input from where nothing can be awaited.
    pub(super) fn send_detached(&self, input: Input) {
        if let Err(mpsc::error::TrySendError::Full(input)) = self.inputs.try_send(input) {
            let inputs = self.inputs.clone();
            tokio::task::spawn_local(async move {
                let _ = inputs.send(input).await;
            });
        }
    }

    /// Returns once no more connections are accepted.
    pub(super) async fn listening_stopped(&self) {
        let mut phase = self.phase.subscribe();
        let _ = phase
            .wait_for(|phase| *phase == ServingPhase::ListeningStopped)
            .await;
    }

    /// An id for a new client; ids are never reused.
    pub(super) fn next_client_id(&self) -> ClientId {
        self.last_client.set(self.last_client.get() + 1);
        self.last_client.get()
    }
}
