//! `ledger correct`: enters a correction.

use super::{LedgerContext, LedgerError};
use crate::cli::output;
use usage_ledger::period::Period;
use usage_ledger::settlement;
use usage_ledger::statement::CorrectionLine;
use usage_ledger::store::sha256_hex;

/// Number of characters of a generated correction id.
const GENERATED_ID_LENGTH: usize = 16;

/// The arguments of `ledger correct`.
#[derive(clap::Args)]
pub struct CorrectArguments {
    #[arg(long)]
    tenant: String,
    /// The start of the period to correct, as `periods` shows it
    #[arg(long)]
    period: String,
    /// Micro-units; below zero is a credit
    #[arg(long, allow_hyphen_values = true)]
    amount: i64,
    #[arg(long)]
    reason: String,
    #[arg(long)]
    author: String,
    /// Names the correction; the same one twice is an error
    #[arg(long)]
    id: Option<String>,
}

/// Enters the correction, and prints where it will appear.
pub fn run(context: &LedgerContext, arguments: CorrectArguments) -> Result<(), LedgerError> {
    let mut store = context.existing_store()?;
    let period = context.period_starting_at(&store, &arguments.period)?;
    let now_ms = settlement::unix_time_ms();
    let correction = correction_line(arguments, period, now_ms);
    let document = store.enter_correction(&correction, period, now_ms)?;
    let (id, amount) = (&correction.id, correction.amount);
    let text = match document {
        Some(document) => {
            let document = document.id;
            format!("correction {id}: document {document} of {amount} micro-units\n")
        }
        None => {
            let period = period.name();
            format!("correction {id}: it will stand in the statement of {period}\n")
        }
    };
    Ok(output::print(text.as_bytes())?)
}

fn correction_line(arguments: CorrectArguments, period: Period, now_ms: i64) -> CorrectionLine {
    let CorrectArguments {
        tenant,
        amount,
        reason,
        author,
        ..
    } = arguments;
    let id = arguments.id.unwrap_or_else(|| {
        let start = period.start_ms;
        let content = format!("{tenant} {start} {amount} {reason} {author} {now_ms}");
        sha256_hex(content.as_bytes())[..GENERATED_ID_LENGTH].to_string()
    });
    CorrectionLine {
        id,
        tenant,
        amount,
        reason,
        author,
    }
}
