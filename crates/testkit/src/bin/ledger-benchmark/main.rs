//! `ledger-benchmark`: what the usage log costs an aggregator, and how fast the settlement is.

mod error;
mod load;
mod records;
mod serving;
mod settlement;

use clap::Parser;
use error::BenchError;
use std::process::{Command, ExitCode};

const WORKER_THREADS: usize = 2;

/// Measures the usage log and the settlement, without limits on the results.
#[derive(Parser)]
struct Arguments {
    /// Slices of load, each once with the log on and once with it off
    #[arg(long, default_value_t = 6)]
    pairs: u64,
    /// Seconds of a slice
    #[arg(long, default_value_t = 3)]
    seconds: u64,
    /// Records of the larger settlement; a tenth of it is the smaller
    #[arg(long, default_value_t = 10_000_000)]
    records: u64,
    /// Only ingest and settle so many records, and print what it took
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

/// The peak memory is that of a whole process, so that each settlement needs one of its own.
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
