//! What a batch of events results in.

use crate::api::Action;

/// The actions of the running batch, and its log lines, which follow the actions.
#[derive(Debug, Default)]
pub struct BatchOutput {
    actions: Vec<Action>,
    log_lines: Vec<String>,
}

impl BatchOutput {
    /// Adds an action.
    pub fn push(&mut self, action: Action) {
        self.actions.push(action);
    }

    /// Adds a line for the log.
    pub fn log(&mut self, line: impl Into<String>) {
        self.log_lines.push(line.into());
    }

    /// The actions so far, to add to them.
    pub fn actions(&mut self) -> &mut Vec<Action> {
        &mut self.actions
    }

    /// Moves everything to `actions`: the actions, the log lines, and the new timer, if any.
    pub fn move_to(&mut self, actions: &mut Vec<Action>, timer: Option<Action>) {
        actions.append(&mut self.actions);
        actions.extend(self.log_lines.drain(..).map(Action::Log));
        actions.extend(timer);
    }
}
