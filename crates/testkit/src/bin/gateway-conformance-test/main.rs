//! `gateway-conformance-test`: tests that the OpenSearch gateway answers searches correctly, and
//! that it answers nearly as many as the native frontend.
//!
//! The same random searches are sent through both frontends to the same leaf servers, while a zone
//! is lost and restored with leaf servers that have to warm up. Searches that request a fault are
//! sent through the gateway only. Every page of results is compared with the expected one, computed
//! from the documents of the shards that the page claims to cover.

mod api_cases;
mod api_checks;
mod faulted_search;
mod load;
mod page_check;
mod random_search;
mod runs;
mod search_case;
mod summary;
mod tally;

use aggregator_testkit::test_program::{self, TestProgramError};
use clap::Parser;
use runs::LoadOptions;
use std::process::ExitCode;
use std::time::Instant;
use summary::Summary;

/// Tests the gateway on loopback. The last line is a summary; the exit code is 0 only if all checks
/// pass.
#[derive(Parser)]
struct Arguments {
    /// Seed of all random numbers
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of searches, rounded down to a multiple of the clients. Each is sent through both
    /// frontends, or only through the gateway if it requests a fault
    #[arg(long, default_value_t = 5000)]
    queries: u64,
    /// Concurrent clients
    #[arg(long, default_value_t = 24)]
    clients: u64,
}

fn main() -> ExitCode {
    test_program::run(run(Arguments::parse()))
}

async fn run(arguments: Arguments) -> Result<bool, TestProgramError> {
    let started = Instant::now();
    let folder = tempfile::tempdir()?;
    let options = LoadOptions {
        seed: arguments.seed,
        searches: arguments.queries,
        clients: arguments.clients,
    };
    let under_load = runs::run_load(folder.path(), &options).await?;
    let folder = tempfile::tempdir()?;
    let faulted_cases = under_load.faulted_cases;
    let repeated =
        runs::repeat_faulted_searches(folder.path(), arguments.seed, &faulted_cases).await?;
    let summary = Summary {
        has_clean_exit: under_load.has_clean_exit && repeated.has_clean_exit,
        tally: under_load.tally,
        api_failures: under_load.api_failures,
        repeated: repeated.tallies,
    };
    summary.print_details();
    summary.print_last_line(arguments.seed, started.elapsed());
    Ok(summary.passed())
}
