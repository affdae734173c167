//! `query-aggregator completions`: prints a completion script for a shell.

use super::{output, CommandError, PROGRAM_NAME};
use clap::CommandFactory;
use clap_complete::Shell;

/// Arguments of `completions`.
#[derive(clap::Args)]
pub struct CompletionsArguments {
    shell: Shell,
}

/// Prints the completion script for the command line `C`.
pub fn run<C: CommandFactory>(arguments: &CompletionsArguments) -> Result<(), CommandError> {
    let mut script = Vec::new();
    clap_complete::generate(
        arguments.shell,
        &mut C::command(),
        PROGRAM_NAME,
        &mut script,
    );
    Ok(output::print(&script)?)
}
