//! `ledger key`: prints the key in the ledger for an `Idempotency-Key` that a client sent.

use super::LedgerError;
use crate::cli::output;
use aggregator_core::engine::usage;

/// Arguments of `ledger key`.
#[derive(clap::Args)]
pub struct KeyArguments {
    /// Class of the requests
    class: String,
    /// Value of the Idempotency-Key header
    idempotency_key: String,
}

/// Prints the key as 16 hexadecimal digits.
pub fn run(arguments: &KeyArguments) -> Result<(), LedgerError> {
    let key = usage::client_join_key(&arguments.class, &arguments.idempotency_key);
    Ok(output::print(format!("{key:016x}\n").as_bytes())?)
}
