//! Reports the start and the stop of each frontend to the engine.

use super::shared::Shared;
use crate::engine::Input;

/// Guard for a frontend that may still report a new client to the engine. Dropping the guard
/// reports that the frontend has stopped. Until then, the engine exits
/// only at the exit deadline of `engine/shutdown.rs`.
pub(super) struct RunningFrontend {
    shared: Shared,
}

impl RunningFrontend {
    /// Reports the start of a frontend to the engine.
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
