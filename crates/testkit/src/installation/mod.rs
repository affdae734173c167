//! Complete installation on loopback: discovery, leaf servers in three zones, real aggregators, and
//! their ledger.

mod address;
mod aggregator;
mod config;
mod layout;
mod leaves;
mod ledger;

pub use address::{free_port, own_ip};
pub use aggregator::Aggregator;
pub use layout::{InstallationClass, CLASSES, REPLICA_GROUPS, SHARDS, TENANTS, ZONES};
pub use leaves::LeafStart;
pub use ledger::{CommandOutput, InstalledLedger};

use crate::discovery::DiscoveryServer;
use crate::leaf::LeafOptions;
use crate::process::{sibling_program, ProgramError};
use aggregator::LaunchOptions;
use config::PlatformParameters;
use leaves::LeafFleet;
use std::fmt::Write as _;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Name of the executable of the aggregators and of the ledger commands.
const AGGREGATOR_PROGRAM: &str = "query-aggregator";

/// Error in starting or using an installation.
#[derive(Debug, thiserror::Error)]
pub enum InstallationError {
    /// The aggregators' executable was not found.
    #[error(transparent)]
    Program(#[from] ProgramError),
    /// A started aggregator did not become ready in time.
    #[error("aggregator {name} did not become ready in time; its log: {log}")]
    AggregatorNotReady {
        /// Name of the aggregator.
        name: String,
        /// Complete log of the aggregator.
        log: String,
    },
    /// The output of a ledger command is not valid JSON.
    #[error("output of a ledger command is not valid JSON; its standard error: {stderr}")]
    InvalidJson {
        /// Standard error of the command.
        stderr: String,
    },
    /// An operation on a port, a file or a process failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// Options of an installation.
#[derive(Clone, Debug)]
pub struct InstallationOptions {
    /// Seed of all random numbers.
    pub seed: u64,
    /// Speed and capacity of the leaf servers.
    pub leaf: LeafOptions,
    /// Whether the aggregators write a usage log.
    pub has_usage_log: bool,
    /// Whether the aggregators serve the OpenSearch gateway in addition to the native frontend.
    pub has_gateway: bool,
    /// Sections appended to the ledger's settings, after its store and members.
    pub ledger_settings: String,
    /// Client timeout of all classes; `None` for each class's own.
    pub client_timeout: Option<Duration>,
    /// Latency objective of all classes; `None` for each class's own. Limited to half the client
    /// timeout.
    pub latency_objective: Option<Duration>,
    /// Log filter of the aggregators; `None` for the default.
    pub log_filter: Option<String>,
    /// Limit on open file descriptors of each aggregator, lower than the limit in its
    /// configuration; `None` to inherit the limit of the test program.
    pub max_descriptors: Option<u32>,
    /// Path of the aggregators' executable; `None` for the one built together with this program.
    pub program: Option<PathBuf>,
}

impl InstallationOptions {
    /// Creates options with the native frontend only and no usage log.
    pub fn new(seed: u64, leaf: LeafOptions) -> InstallationOptions {
        InstallationOptions {
            seed,
            leaf,
            has_usage_log: false,
            has_gateway: false,
            ledger_settings: String::new(),
            client_timeout: None,
            latency_objective: None,
            log_filter: None,
            max_descriptors: None,
            program: None,
        }
    }
}

/// Running installation. Its processes and servers are killed when it is dropped.
pub struct Installation {
    /// Aggregators, one per zone, in the order of [`ZONES`].
    pub aggregators: Vec<Aggregator>,
    /// Ledger, with the aggregators as its members.
    pub ledger: InstalledLedger,
    /// Path of the aggregators' executable.
    pub program: PathBuf,
    launch: LaunchOptions,
    discovery: DiscoveryServer,
    leaves: LeafFleet,
}

impl Installation {
    /// Starts leaf servers and discovery, writes all files to `folder`, and starts the aggregators.
    /// The settlement process is not started.
    ///
    /// # Errors
    /// Returns an error if the executable is missing, or if a file cannot be written, a process
    /// cannot be started or an aggregator does not become ready.
    pub async fn start(
        folder: &Path,
        options: &InstallationOptions,
    ) -> Result<Installation, InstallationError> {
        let ip = own_ip();
        let program = match &options.program {
            Some(program) => program.clone(),
            None => sibling_program(AGGREGATOR_PROGRAM)?,
        };
        let mut installation = Installation {
            aggregators: Vec::new(),
            ledger: InstalledLedger::new(folder, &program),
            launch: LaunchOptions {
                program: program.clone(),
                log_filter: options.log_filter.clone(),
                max_descriptors: options.max_descriptors,
            },
            program,
            discovery: DiscoveryServer::start(ip).await?,
            leaves: LeafFleet::new(ip, options.leaf, options.seed),
        };
        for zone in 0..ZONES.len() {
            installation.restore_zone(zone, LeafStart::LongAgo).await?;
        }
        let mut member_sections = String::new();
        for zone in 0..ZONES.len() {
            let aggregator = Aggregator::new(folder, format!("n{zone}"), ip)?;
            let (name, collect_address) = (&aggregator.name, aggregator.collect_address);
            let _ = write!(
                member_sections,
                "[member {name}]\naddress = {collect_address}\n\n"
            );
            installation.add_aggregator(aggregator, options).await?;
        }
        let ledger = &installation.ledger;
        ledger.write_settings(&member_sections, &options.ledger_settings)?;
        Ok(installation)
    }

    /// Starts an aggregator's process without waiting until it is ready.
    ///
    /// # Errors
    /// Returns an error if the process cannot be started.
    pub fn launch_aggregator(&mut self, index: usize) -> io::Result<()> {
        self.aggregators[index].launch(&self.launch)
    }

    /// Starts an aggregator, or restarts one that was killed, and waits until it is ready.
    ///
    /// # Errors
    /// Returns an error if the process cannot be started, or if it is not ready after 500 checks at
    /// intervals of 20 ms, about 10 s.
    pub async fn start_aggregator(&mut self, index: usize) -> Result<(), InstallationError> {
        self.launch_aggregator(index)?;
        self.aggregators[index].wait_until_ready().await
    }

    /// Shuts down all aggregators gracefully, one after the other. Returns whether each exits
    /// successfully within `limit`.
    pub fn terminate_aggregators(&mut self, limit: Duration) -> bool {
        let mut is_clean = true;
        for aggregator in &mut self.aggregators {
            is_clean &= aggregator.terminate(limit);
        }
        is_clean
    }

    /// Kills the leaf servers of a zone without changing the endpoint list.
    pub fn lose_zone(&mut self, zone: usize) {
        self.leaves.stop_zone(zone);
    }

    /// Starts the leaf servers of a zone at new addresses and publishes them in the endpoint list.
    ///
    /// # Errors
    /// Returns an error if no port is free.
    pub async fn restore_zone(&mut self, zone: usize, start: LeafStart) -> io::Result<()> {
        let changes = self.leaves.start_zone(zone, start).await?;
        self.discovery.publish(changes);
        Ok(())
    }

    /// Returns the addresses of the aggregators' native frontends.
    pub fn aggregator_addresses(&self) -> Vec<SocketAddr> {
        self.aggregators
            .iter()
            .map(|aggregator| aggregator.address)
            .collect()
    }

    /// Adds the aggregator of the next zone, writes its files and starts it.
    async fn add_aggregator(
        &mut self,
        aggregator: Aggregator,
        options: &InstallationOptions,
    ) -> Result<(), InstallationError> {
        let zone = self.aggregators.len();
        aggregator.write_platform_file(&PlatformParameters {
            name: &aggregator.name,
            zone,
            listen: aggregator.address,
            discovery: self.discovery.address,
            seed: options.seed ^ (zone as u64 + 1),
            endpoints: self.discovery.snapshot(),
            client_timeout: options.client_timeout,
            latency_objective: options.latency_objective,
        })?;
        aggregator.write_settings(options)?;
        self.aggregators.push(aggregator);
        self.start_aggregator(zone).await
    }
}

/// Returns the current Unix time in milliseconds.
pub fn now_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}
