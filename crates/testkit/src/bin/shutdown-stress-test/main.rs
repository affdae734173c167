//! `shutdown-stress-test`: tests that a graceful shutdown answers every request that the aggregator
//! has read.
//!
//! Real aggregators are shut down repeatedly under load, with client timeouts shorter and longer
//! than each phase of a shutdown:
//!
//! - Leaf servers hang, answer late or answer immediately.
//! - Clients send requests back to back or with pauses, keep a connection idle, stop in the middle
//!   of a request, or send many searches in one request to the OpenSearch gateway.
//! - Processes reload their configuration or are suspended for a short time.
//! - SIGKILL follows at the earliest time at which the platform may send it.
//!
//! A request is lost if its aggregator has logged that the request was read, and its client waited
//! for a response without receiving one. A request that was still in transit when the aggregator
//! closed the connection counts as crossed, not as lost. A request that the log does not name is
//! lost, too, if its client timed out or if the request exceeds `--crossing-limit`.

mod client;
mod process_faults;
mod request;
mod request_record;
mod response;
mod round;
mod shutdown_result;
mod table;

use aggregator_testkit::installation::{Installation, InstallationOptions};
use aggregator_testkit::leaf::LeafOptions;
use aggregator_testkit::test_program::{self, TestProgramError};
use clap::Parser;
use round::{KillPolicy, RoundOptions};
use shutdown_result::{LossRules, ShutdownResult};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;
use table::{Row, Table};

/// Log filter of the aggregators: phases of the shutdown, and each request that was read.
const LOG_FILTER: &str = "info,aggregator_core::net=debug,opensearch_gateway=debug";
/// Maximum number of parts in flight on a leaf server, enough for any load of this program.
const LEAF_CAPACITY: usize = 10_000;

/// Shuts aggregators down under load. The last line is a summary; the exit code is 0 only if no
/// request is lost.
#[derive(Parser)]
struct Arguments {
    /// Seed of all random numbers
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Client timeouts in milliseconds
    #[arg(
        long,
        value_delimiter = ',',
        default_value = "100,300,500,700,760,1500,2000"
    )]
    deadlines: Vec<u64>,
    /// Shutdowns of all three aggregators for each client timeout and leaf server speed
    #[arg(long, default_value_t = 2)]
    rounds: u64,
    /// Concurrent clients of each aggregator
    #[arg(long, default_value_t = 24)]
    clients: u64,
    /// Send SIGKILL only to processes that have not exited 60 s after SIGTERM
    #[arg(long)]
    no_kill: bool,
    /// Longest time in milliseconds between sending a request and the end of its connection for the
    /// request to count as crossed; after that it is lost even if the log does not name it
    #[arg(long)]
    crossing_limit: Option<u64>,
    /// Limit on open file descriptors of each aggregator, below the 1,024 of its configuration
    #[arg(long)]
    descriptors: Option<u32>,
    /// Write a usage log
    #[arg(long)]
    usage_log: bool,
    /// Keep the folders with all logs and print their paths
    #[arg(long)]
    keep: bool,
    /// Path of the aggregators' executable, instead of the one built together with this program
    #[arg(long)]
    program: Option<PathBuf>,
}

/// Speed of the leaf servers in a scenario.
#[derive(Clone, Copy)]
enum LeafSpeed {
    /// Parts are not answered before the scenario ends.
    Hanging,
    /// Parts are answered after a quarter to three quarters of the client timeout.
    Slow,
    /// Parts are answered after a few milliseconds.
    Fast,
}

impl LeafSpeed {
    const ALL: [LeafSpeed; 3] = [LeafSpeed::Hanging, LeafSpeed::Slow, LeafSpeed::Fast];

    fn name(self) -> &'static str {
        match self {
            LeafSpeed::Hanging => "hanging",
            LeafSpeed::Slow => "slow",
            LeafSpeed::Fast => "fast",
        }
    }

    fn service_time(self, client_timeout: Duration) -> Duration {
        match self {
            LeafSpeed::Hanging => Duration::from_secs(3600),
            LeafSpeed::Slow => client_timeout / 2,
            LeafSpeed::Fast => Duration::from_millis(4),
        }
    }
}

fn main() -> ExitCode {
    test_program::run(run(Arguments::parse()))
}

async fn run(arguments: Arguments) -> Result<bool, TestProgramError> {
    let mut table = Table::default();
    Table::print_head();
    for timeout_ms in &arguments.deadlines {
        for speed in LeafSpeed::ALL {
            let client_timeout = Duration::from_millis(*timeout_ms);
            let row = run_scenario(&arguments, client_timeout, speed).await?;
            table.push(row);
        }
    }
    table.print_summary(arguments.seed);
    Ok(table.passed())
}

/// Runs all rounds for one client timeout and one leaf server speed.
async fn run_scenario(
    arguments: &Arguments,
    client_timeout: Duration,
    speed: LeafSpeed,
) -> Result<Row, TestProgramError> {
    let mut folder = tempfile::tempdir()?;
    if arguments.keep {
        folder.disable_cleanup(true);
        println!("keeping files in {}", folder.path().display());
    }
    let mut installation = start(arguments, folder.path(), client_timeout, speed).await?;
    let options = RoundOptions {
        client_timeout,
        clients: arguments.clients,
        kill: if arguments.no_kill {
            KillPolicy::IfHanging
        } else {
            KillPolicy::Earliest
        },
    };
    let loss_rules = LossRules {
        crossing_limit: arguments.crossing_limit.map(Duration::from_millis),
    };
    let mut row = Row::new(client_timeout, speed.name());
    for round_number in 0..arguments.rounds {
        let seed = arguments.seed ^ round_number << 16 ^ (client_timeout.as_millis() as u64) << 32;
        for shutdown in round::run(&mut installation, options, seed).await? {
            row.add(&ShutdownResult::evaluate(&shutdown, loss_rules));
        }
    }
    row.print();
    Ok(row)
}

async fn start(
    arguments: &Arguments,
    folder: &Path,
    client_timeout: Duration,
    speed: LeafSpeed,
) -> Result<Installation, TestProgramError> {
    let leaf = LeafOptions {
        service_time: speed.service_time(client_timeout),
        capacity: LEAF_CAPACITY,
    };
    let options = InstallationOptions {
        has_usage_log: arguments.usage_log,
        has_gateway: true,
        client_timeout: Some(client_timeout),
        log_filter: Some(LOG_FILTER.into()),
        max_descriptors: arguments.descriptors,
        program: arguments.program.clone(),
        ..InstallationOptions::new(arguments.seed, leaf)
    };
    Ok(Installation::start(folder, &options).await?)
}
