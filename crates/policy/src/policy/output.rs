//! The output of one batch of events.

use crate::api::Action;

/// Actions and log lines of the current batch. The log lines follow the actions.
#[derive(Debug, Default)]
pub struct BatchOutput {
    actions: Vec<Action>,
    log_lines: Vec<String>,
}

impl BatchOutput {
    /// Appends an action. Actions keep the order in which they are appended.
    pub fn push(&mut self, action: Action) {
        self.actions.push(action);
    }

    /// Appends a log line, which follows all actions of the batch.
    pub fn log(&mut self, line: impl Into<String>) {
        self.log_lines.push(line.into());
    }

    /// Returns the actions of the batch so far, for callers that append several.
    pub fn actions(&mut self) -> &mut Vec<Action> {
        &mut self.actions
    }

    /// Moves the actions and log lines to the end of `actions`, followed by `timer` if it is
    /// `Some`.
    pub fn move_to(&mut self, actions: &mut Vec<Action>, timer: Option<Action>) {
        actions.append(&mut self.actions);
        actions.extend(self.log_lines.drain(..).map(Action::Log));
        actions.extend(timer);
    }
}
