//! Checks made with the ledger's commands.

use crate::check_list::CheckList;
use crate::receiver::RestartableReceiver;
use crate::stats_files::StatsFile;
use aggregator_testkit::installation::{Installation, InstalledLedger};
use aggregator_testkit::test_program::TestProgramError;
use serde_json::Value;
use std::path::Path;
use std::time::Duration;
use tokio::time::sleep;

/// Name of the tenant whose statement is corrected.
const CORRECTED_TENANT: &str = "beta";
/// Amount of the correction in micro-units.
pub const CORRECTION_MICRO_UNITS: i64 = -75;

/// Interval and maximum number of checks that the statement to correct has been received.
const STATEMENT_POLL_INTERVAL: Duration = Duration::from_millis(100);
const MAX_STATEMENT_POLLS: u32 = 300;
/// Line of a failed reconciliation's output that is shown, counted from the end.
const SHOWN_LINE_FROM_END: usize = 3;

/// Corrects a statement that has been exported, and checks that the correction becomes a credit.
pub async fn check_correction(
    checks: &mut CheckList,
    ledger: &InstalledLedger,
    receiver: &RestartableReceiver,
) -> Result<(), TestProgramError> {
    let period = wait_for_statement(receiver).await.unwrap_or_default();
    let amount = CORRECTION_MICRO_UNITS.to_string();
    let output = ledger.run([
        "correct",
        "--tenant",
        CORRECTED_TENANT,
        "--period",
        &period,
        "--amount",
        &amount,
        "--reason",
        "double delivery",
        "--author",
        "proof",
        "--id",
        "first",
    ])?;
    checks.check(
        "a correction after the export becomes a credit",
        output.is_success && output.text.contains("credit-first"),
        output.text.trim(),
    );
    Ok(())
}

/// Waits until a statement of [`CORRECTED_TENANT`] has been received. Returns the period of the
/// statement, or `None` if the maximum number of checks is reached.
async fn wait_for_statement(receiver: &RestartableReceiver) -> Option<String> {
    for _ in 0..MAX_STATEMENT_POLLS {
        let received = receiver.documents();
        let statement = received
            .by_id
            .values()
            .filter_map(|document| serde_json::from_slice::<Value>(&document.body).ok())
            .find(|document| {
                document["tenant"] == CORRECTED_TENANT && document["kind"] == "statement"
            });
        if let Some(statement) = statement {
            return statement["period"].as_str().map(str::to_string);
        }
        sleep(STATEMENT_POLL_INTERVAL).await;
    }
    None
}

/// Checks that `ledger reconcile` finds the clients' records and the ledger equal.
pub fn check_reconciliation(
    checks: &mut CheckList,
    ledger: &InstalledLedger,
    clients_file: &Path,
    stats_files: &[StatsFile],
) -> Result<(), TestProgramError> {
    let mut arguments = vec![
        "reconcile".to_string(),
        "--clients".into(),
        clients_file.display().to_string(),
    ];
    for file in stats_files {
        let counters = format!("{}={}", file.aggregator, file.path.display());
        arguments.extend(["--counters".into(), counters]);
    }
    let output = ledger.run(&arguments)?;
    let last_lines = output.text.lines().rev().take(SHOWN_LINE_FROM_END);
    let detail = if output.is_success {
        "every logical request compared"
    } else {
        last_lines.last().unwrap_or_default()
    };
    checks.check(
        "ledger reconcile finds no difference",
        output.is_success,
        detail,
    );
    Ok(())
}

/// Checks that `ledger verify` accepts the store, the documents and the usage logs.
pub fn check_verification(
    checks: &mut CheckList,
    installation: &Installation,
) -> Result<(), TestProgramError> {
    let mut arguments = vec!["verify".to_string()];
    for aggregator in &installation.aggregators {
        let directory = aggregator.usage_directory.display().to_string();
        arguments.extend(["--log".into(), directory]);
    }
    let output = installation.ledger.run(&arguments)?;
    checks.check(
        "ledger verify finds no error",
        output.is_success,
        output.text.trim().replace('\n', "; "),
    );
    Ok(())
}
