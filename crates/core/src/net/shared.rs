//! The state that the tasks of all connections share.

use super::buffer_pool::BufferPool;
use super::client_registry::ClientRegistry;
use super::open_requests::OpenRequests;
use super::Clock;
use crate::engine::Input;
use crate::protocol::query::NameTables;
use std::rc::Rc;
use tokio::sync::{mpsc, watch};

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
    pub(super) clients: ClientRegistry,
    /// The requests that were read and are not answered yet.
    pub(super) open_requests: OpenRequests,
    pub(super) names: Rc<NameTables>,
    /// The phase that all frontends are in.
    pub(super) phase: Rc<watch::Sender<ServingPhase>>,
}

impl Shared {
    pub(super) fn new(clock: Clock, names: NameTables, inputs: mpsc::Sender<Input>) -> Shared {
        let clients = ClientRegistry::default();
        Shared {
            clock,
            buffers: BufferPool::default(),
            inputs,
            open_requests: OpenRequests::new(clients.client_ended().clone()),
            clients,
            names: Rc::new(names),
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
}
