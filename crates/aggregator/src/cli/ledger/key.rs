//! `ledger key`: the key that an Idempotency-Key of a client has in the ledger.

use super::LedgerError;
use crate::cli::output;
use aggregator_core::engine::usage;

/// The arguments of `ledger key`.
#[derive(clap::Args)]
pub struct KeyArguments {
    class: String,
    idempotency_key: String,
}

/// Prints the key in hexadecimal.
pub fn run(arguments: &KeyArguments) -> Result<(), LedgerError> {
    let key = usage::client_join_key(&arguments.class, &arguments.idempotency_key);
    Ok(output::print(format!("{key:016x}\n").as_bytes())?)
}
