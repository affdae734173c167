//! `ledger correct`: enters a correction.

use super::{LedgerContext, LedgerError};
use crate::cli::output;
use usage_ledger::period::Period;
use usage_ledger::settlement;
use usage_ledger::statement::CorrectionLine;
use usage_ledger::store::sha256_hex;

/// Length of a generated correction id, in hexadecimal digits.
const GENERATED_ID_LENGTH: usize = 16;

/// Arguments of `ledger correct`.
#[derive(clap::Args)]
pub struct CorrectArguments {
    /// Tenant whose bill is corrected
    #[arg(long)]
    tenant: String,
    /// Start of the period to correct, in the form that `periods` prints
    #[arg(long)]
    period: String,
    /// Amount in micro-units; negative for a credit
    #[arg(long, allow_hyphen_values = true)]
    amount: i64,
    /// Reason for the correction, which the tenant sees
    #[arg(long)]
    reason: String,
    /// Operator who enters the correction, which the tenant sees
    #[arg(long)]
    author: String,
    /// Unique id of the correction; generated if not given
    #[arg(long)]
    id: Option<String>,
}

/// Enters the correction, and prints the document or statement that will contain it.
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
