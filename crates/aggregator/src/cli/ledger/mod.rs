//! `query-aggregator ledger ...`: the settlement process, and commands that inspect, check and
//! correct the ledger. One file per subcommand.

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
    /// Collect from the mixers, close periods and export, until told to end
    Serve,
    /// How far each mixer's records are in the ledger, and what waits to be sent
    Status(FormatArguments),
    /// The closed periods and their totals
    Periods(FormatArguments),
    /// The lines of a statement; the last one if no period is named
    Statement(statement::StatementArguments),
    /// Enter a correction; of a closed period it becomes a credit or debit document
    Correct(correct::CorrectArguments),
    /// Send what waits in the outbox now, or list all documents
    Export(export::ExportArguments),
    /// Set the ledger beside what clients recorded, and beside the mixers' counters
    Reconcile(reconcile::ReconcileArguments),
    /// Check statements, documents and totals against the records, and logs byte by byte
    Verify(verify::VerifyArguments),
    /// Print records: those in the store, or those of one mixer's log
    Dump(dump::DumpArguments),
    /// The key under which the uses of an Idempotency-Key stand in the ledger
    Key(key::KeyArguments),
}

/// Runs one subcommand.
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
