//! The command line: arguments, subcommands and their output, with one file per subcommand.

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

Exit codes: 0 success, 1 failure while running, 2 invalid arguments, 3 invalid configuration or settings.";

/// Command line of the program. Its help begins with the description in `Cargo.toml`.
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
    /// Serve queries until a signal requests a shutdown (the default command)
    Serve,
    /// Validate both files and print the values in force with their origins
    Check,
    /// Query and maintain the ledger of usage by tenant
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
