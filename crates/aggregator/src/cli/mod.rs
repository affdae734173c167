//! The command line: its arguments, its subcommands and what they print. One file a subcommand.

mod check;
mod completions;
mod error;
mod ledger;
mod output;
mod serve;

pub use error::CommandError;

use crate::files::Files;
use crate::legacy_names;
use clap::{Parser, Subcommand};

const PROGRAM_NAME: &str = "query-aggregator";

const EXAMPLES: &str = "\
Examples:
  query-aggregator check --config mixer.json --settings query-aggregator.ini
  query-aggregator serve --config mixer.json
  query-aggregator ledger statement --settings query-aggregator.ini --format csv
  query-aggregator completions bash > /etc/bash_completion.d/query-aggregator

Exit codes: 0 done, 1 failed while running, 2 wrong use of the command line, 3 wrong configuration or settings.";

/// A query mixer over replicated shards, and the ledger of what it was used for.
#[derive(Parser)]
#[command(version, about, after_help = EXAMPLES)]
struct Cli {
    #[command(flatten)]
    files: Files,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Serve queries until told to end (what happens without a command)
    Serve,
    /// Validate both files and print what is in force and where each value came from
    Check,
    /// The ledger of use by tenant
    #[command(subcommand)]
    Ledger(ledger::LedgerCommand),
    /// Print a completion script for a shell
    Completions(completions::CompletionsArguments),
}

/// Parses the arguments of the process and runs the subcommand that they name.
pub fn run() -> Result<(), CommandError> {
    let cli = Cli::parse();
    if let Some(warning) = legacy_names::environment_warning() {
        eprintln!("{PROGRAM_NAME}: warning: {warning}");
    }
    let files = cli.files.with_legacy_variables();
    match cli.command.unwrap_or(Command::Serve) {
        Command::Serve => serve::run(&files),
        Command::Check => check::run(&files),
        Command::Ledger(command) => Ok(ledger::run(&files, command)?),
        Command::Completions(arguments) => completions::run::<Cli>(&arguments),
    }
}
