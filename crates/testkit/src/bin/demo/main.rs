//! `demo`: runs a complete installation on loopback for manual experiments.

mod example;
mod introduction;
mod output;
mod traffic;

use aggregator_testkit::cli;
use aggregator_testkit::installation::{Installation, InstallationError, InstallationOptions};
use aggregator_testkit::leaf::LeafOptions;
use clap::Parser;
use example::print_example_answer;
use introduction::print_introduction;
use output::print_line;
use std::io;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;
use tokio::signal::unix::{signal, SignalKind};
use traffic::{send_queries, OutcomeCounters};

const WORKER_THREADS: usize = 2;
/// Time limit for the graceful shutdown of each process.
const EXIT_LIMIT: Duration = Duration::from_secs(5);

/// Settings of the ledger, with the prices of complete (`whole`) and partial answers.
const LEDGER_SETTINGS: &str = "\
[periods]
every = 10s
horizon = 2s
skew = 100ms
grace = 10s

[price preview-lookup]
whole = 100

[price chart-ranking]
whole = 250
partial = 200

[price catalogue-report]
whole = 900
partial = 700

[tenant alpha]
allowance = 20
";

/// Starts discovery, 12 leaf servers in three zones, three aggregators, their ledger and a client
/// that sends random queries, all on loopback. Stops them on Ctrl-C.
#[derive(Parser)]
struct Arguments {
    /// Stop after this number of seconds instead of on Ctrl-C
    #[arg(long)]
    seconds: Option<u64>,
    /// Seed of all random numbers
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

fn main() -> ExitCode {
    let result = cli::block_on(WORKER_THREADS, run(Arguments::parse()));
    cli::exit_code(result, |error| eprintln!("demo: {error}"))
}

async fn run(arguments: Arguments) -> Result<bool, InstallationError> {
    let folder = tempfile::tempdir()?;
    let options = installation_options(arguments.seed);
    let mut installation = Installation::start(folder.path(), &options).await?;
    installation.ledger.start_settlement()?;
    let addresses = installation.aggregator_addresses();
    let counters = Arc::<OutcomeCounters>::default();
    let traffic = tokio::spawn(send_queries(addresses, arguments.seed, counters.clone()));
    print_introduction(&installation);
    print_example_answer(installation.aggregators[0].address).await;
    wait_for_end(arguments.seconds).await?;
    traffic.abort();
    let is_clean = terminate(&mut installation);
    print_summary(&counters, is_clean);
    Ok(is_clean && counters.answered.value() > 0)
}

/// Shuts down all aggregators and then the settlement gracefully. Returns whether each process
/// exits successfully.
fn terminate(installation: &mut Installation) -> bool {
    let are_aggregators_clean = installation.terminate_aggregators(EXIT_LIMIT);
    installation.ledger.terminate_settlement(EXIT_LIMIT) && are_aggregators_clean
}

fn print_summary(counters: &OutcomeCounters, is_clean: bool) {
    let answered = counters.answered.value();
    let rejected = counters.rejected.value();
    let failed = counters.failed.value();
    let suffix = if is_clean { "" } else { ", not all gracefully" };
    print_line(&format!(
        "\n{answered} answered, {rejected} rejected, {failed} failed; all processes ended{suffix}"
    ));
}

fn installation_options(seed: u64) -> InstallationOptions {
    let leaf = LeafOptions {
        service_time: Duration::from_millis(8),
        capacity: 16,
    };
    InstallationOptions {
        has_usage_log: true,
        has_gateway: true,
        ledger_settings: LEDGER_SETTINGS.into(),
        ..InstallationOptions::new(seed, leaf)
    }
}

/// Waits for SIGINT, for SIGTERM or until `seconds` have passed.
async fn wait_for_end(seconds: Option<u64>) -> io::Result<()> {
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut terminate = signal(SignalKind::terminate())?;
    let time_limit = Duration::from_secs(seconds.unwrap_or(u64::MAX / 1000));
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
        () = tokio::time::sleep(time_limit) => {}
    }
    Ok(())
}
