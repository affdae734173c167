//! Progress bars of long-running commands.

use indicatif::{ProgressBar, ProgressDrawTarget};
use std::io::IsTerminal;

/// Creates a progress bar on standard error, which is hidden unless standard error is a terminal.
pub fn bar(length: u64, message: &'static str) -> ProgressBar {
    let bar = ProgressBar::new(length).with_message(message);
    if !std::io::stderr().is_terminal() {
        bar.set_draw_target(ProgressDrawTarget::hidden());
    }
    bar
}
