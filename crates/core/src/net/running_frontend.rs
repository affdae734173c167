//! Reports to the engine which frontends may still hand over a request.

use super::shared::Shared;
use crate::engine::Input;

/// A frontend that accepts clients, or has accepted some whose requests it may still hand over. It
/// has stopped once this is dropped; before that, the engine exits only at the exit deadline of
/// `engine/shutdown.rs`.
pub(super) struct RunningFrontend {
    shared: Shared,
}

impl RunningFrontend {
    /// Reports a frontend to the engine.
    pub(super) async fn start(shared: &Shared) -> RunningFrontend {
        let _ = shared.inputs.send(Input::FrontendStarted).await;
        RunningFrontend {
            shared: shared.clone(),
        }
    }
}

impl Drop for RunningFrontend {
    fn drop(&mut self) {
        self.shared.send_detached(Input::FrontendStopped);
    }
}
