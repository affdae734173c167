//! State shared by the tasks of all connections.

use super::buffer_pool::BufferPool;
use super::client_registry::ClientRegistry;
use super::open_requests::OpenRequests;
use super::Clock;
use crate::engine::Input;
use crate::memory::MemoryBudget;
use crate::protocol::query::NameTables;
use std::rc::Rc;
use tokio::sync::{mpsc, watch};

/// How frontends treat connections. A graceful shutdown passes through the phases in this order;
/// `engine/shutdown.rs` decides when each begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ServingPhase {
    /// Connections are accepted and kept open.
    Running,
    /// The drain period: connections are accepted, and each is closed after its response.
    Draining,
    /// The drain period is over: no connections are accepted, and idle ones are closed.
    ListeningStopped,
}

/// State shared by the tasks of all connections. All clones refer to the same state.
#[derive(Clone)]
pub(super) struct Shared {
    pub(super) clock: Clock,
    pub(super) buffers: BufferPool,
    /// Memory for the requests of all clients.
    pub(super) client_memory: MemoryBudget,
    /// Input queue of the engine.
    pub(super) inputs: mpsc::Sender<Input>,
    pub(super) clients: ClientRegistry,
    /// Count of the requests that were read and are not answered yet.
    pub(super) open_requests: OpenRequests,
    pub(super) names: Rc<NameTables>,
    /// Current phase of all frontends.
    pub(super) phase: Rc<watch::Sender<ServingPhase>>,
}

impl Shared {
    pub(super) fn new(
        clock: Clock,
        names: NameTables,
        client_memory: MemoryBudget,
        inputs: mpsc::Sender<Input>,
    ) -> Shared {
        let clients = ClientRegistry::default();
        Shared {
            clock,
            buffers: BufferPool::default(),
            client_memory,
            inputs,
            open_requests: OpenRequests::new(clients.client_ended().clone()),
            clients,
            names: Rc::new(names),
            phase: Rc::new(watch::channel(ServingPhase::Running).0),
        }
    }

    /// Sends an input from synchronous code, for example a destructor. If the input queue is full,
    /// a spawned task waits for capacity.
    pub(super) fn send_detached(&self, input: Input) {
        if let Err(mpsc::error::TrySendError::Full(input)) = self.inputs.try_send(input) {
            let inputs = self.inputs.clone();
            tokio::task::spawn_local(async move {
                let _ = inputs.send(input).await;
            });
        }
    }

    /// Waits for [`ServingPhase::ListeningStopped`], in which no connections are accepted.
    pub(super) async fn listening_stopped(&self) {
        let mut phase = self.phase.subscribe();
        let _ = phase
            .wait_for(|phase| *phase == ServingPhase::ListeningStopped)
            .await;
    }
}
