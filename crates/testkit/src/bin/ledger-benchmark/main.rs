//! `ledger-benchmark`: measures the cost of the usage log for an aggregator, and the speed of the
//! settlement.

mod error;
mod load;
mod records;
mod serving;
mod settlement;

use clap::Parser;
use error::BenchError;
use std::process::{Command, ExitCode};

const WORKER_THREADS: usize = 2;

/// Measures the cost of the usage log and the speed of the settlement; no result counts as a
/// failure.
#[derive(Parser)]
struct Arguments {
    /// Pairs of measurements under each level of load, one with the usage log on and one with it
    /// off
    #[arg(long, default_value_t = 6)]
    pairs: u64,
    /// Duration of each measurement in seconds
    #[arg(long, default_value_t = 3)]
    seconds: u64,
    /// Number of records of the larger settlement; the smaller one has a tenth as many
    #[arg(long, default_value_t = 10_000_000)]
    records: u64,
    /// Only ingest and settle this number of records, and print the result
    #[arg(long, hide = true)]
    settle: Option<u64>,
}

fn main() -> ExitCode {
    let result = run(&Arguments::parse()).map(|()| true);
    aggregator_testkit::cli::exit_code(result, |error| eprintln!("ledger-benchmark: {error}"))
}

fn run(arguments: &Arguments) -> Result<(), BenchError> {
    if let Some(records) = arguments.settle {
        return settlement::measure(records);
    }
    aggregator_testkit::cli::block_on(
        WORKER_THREADS,
        serving::measure(arguments.pairs, arguments.seconds),
    )?;
    records::print_encoded_size();
    for records in [arguments.records / 10, arguments.records] {
        settle_in_own_process(records)?;
    }
    Ok(())
}

/// Measures a settlement in a child process: the kernel reports the peak memory of a whole process,
/// so each settlement needs its own.
fn settle_in_own_process(records: u64) -> Result<(), BenchError> {
    let status = Command::new(std::env::current_exe()?)
        .args(["--settle", &records.to_string()])
        .status()?;
    if status.success() {
        Ok(())
    } else {
        Err(BenchError::SettlementProcessFailed)
    }
}
