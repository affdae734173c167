//! `query-aggregator ledger ...`: the settlement process, and commands that inspect, verify and
//! correct the ledger. One module per subcommand.

mod context;
mod correct;
mod dump;
mod error;
mod export;
mod key;
mod periods;
mod progress;
mod reconcile;
mod serve;
mod statement;
mod status;
mod verify;

pub use error::LedgerError;

use super::output::FormatArguments;
use crate::files::Files;
use clap::Subcommand;
use context::LedgerContext;

/// The subcommands of `ledger`.
#[derive(Subcommand)]
pub enum LedgerCommand {
    /// Run the settlement: collect the logs of mixers, close periods and send documents
    Serve,
    /// Print the progress of collection from each mixer, and the number of documents to send
    Status(FormatArguments),
    /// Print the closed periods and their totals
    Periods(FormatArguments),
    /// Print the lines of a statement, by default of the last one
    Statement(statement::StatementArguments),
    /// Enter a correction; for a closed period it becomes a credit or debit document
    Correct(correct::CorrectArguments),
    /// Send the pending documents now, or list all documents
    Export(export::ExportArguments),
    /// Compare the ledger with the records of clients and with the counters of mixers
    Reconcile(reconcile::ReconcileArguments),
    /// Check statements, documents and totals against the records, and usage logs byte by byte
    Verify(verify::VerifyArguments),
    /// Print the records in the store, or those of one mixer's usage log
    Dump(dump::DumpArguments),
    /// Print the key in the ledger for an Idempotency-Key of a client
    Key(key::KeyArguments),
}

/// Runs a subcommand.
pub fn run(files: &Files, command: LedgerCommand) -> Result<(), LedgerError> {
    let open = || LedgerContext::open(files);
    match command {
        LedgerCommand::Serve => serve::run(files),
        LedgerCommand::Status(arguments) => status::run(&open()?, arguments.format),
        LedgerCommand::Periods(arguments) => periods::run(&open()?, arguments.format),
        LedgerCommand::Statement(arguments) => statement::run(&open()?, &arguments),
        LedgerCommand::Correct(arguments) => correct::run(&open()?, arguments),
        LedgerCommand::Export(arguments) => export::run(&open()?, &arguments),
        LedgerCommand::Reconcile(arguments) => reconcile::run(&open()?, &arguments),
        LedgerCommand::Verify(arguments) => verify::run(files, &arguments),
        LedgerCommand::Dump(arguments) => dump::run(files, &arguments),
        LedgerCommand::Key(arguments) => key::run(&arguments),
    }
}
