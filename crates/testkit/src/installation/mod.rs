//! A complete installation on loopback: discovery, leaf servers in three zones, real aggregators,
//! and their ledger.

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

/// The program that aggregators and the ledger's commands run.
const AGGREGATOR_PROGRAM: &str = "query-aggregator";

/// Why an installation can't be started or used.
#[derive(Debug, thiserror::Error)]
pub enum InstallationError {
    /// The aggregator's program has not been built.
    #[error(transparent)]
    Program(#[from] ProgramError),
    /// A started aggregator does not become ready in time.
    #[error("aggregator {name} does not become ready: {log}")]
    AggregatorNotReady {
        /// The aggregator's name.
        name: String,
        /// What it has logged.
        log: String,
    },
    /// The output of a ledger command is not JSON.
    #[error("{stderr}")]
    NoJson {
        /// Its standard error.
        stderr: String,
    },
    /// A port, a file or a process can't be used.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// The options of an installation.
#[derive(Clone, Debug)]
pub struct InstallationOptions {
    /// The seed of all random numbers.
    pub seed: u64,
    /// How the leaf servers work.
    pub leaf: LeafOptions,
    /// Whether aggregators keep a usage log.
    pub usage_log: bool,
    /// Whether aggregators serve the OpenSearch gateway as well.
    pub gateway: bool,
    /// Further sections of the ledger's settings, after its store and members.
    pub ledger_settings: String,
    /// The client timeout of all classes, if it differs from each class's own.
    pub client_timeout: Option<Duration>,
    /// The latency objective of all classes, if it differs from each class's own.
    pub latency_objective: Option<Duration>,
    /// The log filter of the aggregators, if it differs from the default.
    pub log_filter: Option<String>,
    /// The limit on file descriptors of each aggregator, if it is below that of its settings.
    pub max_descriptors: Option<u32>,
    /// The aggregators' program, if it is not the one that was built along with this one.
    pub program: Option<PathBuf>,
}

impl InstallationOptions {
    /// Options with the native frontend only.
    pub fn new(seed: u64, leaf: LeafOptions) -> InstallationOptions {
        InstallationOptions {
            seed,
            leaf,
            usage_log: false,
            gateway: false,
            ledger_settings: String::new(),
            client_timeout: None,
            latency_objective: None,
            log_filter: None,
            max_descriptors: None,
            program: None,
        }
    }
}

/// A running installation. All its processes and servers end when it is dropped.
pub struct Installation {
    /// The aggregators, one a zone.
    pub aggregators: Vec<Aggregator>,
    /// The ledger.
    pub ledger: InstalledLedger,
    /// The path of the aggregator's program.
    pub program: PathBuf,
    launch: LaunchOptions,
    discovery: DiscoveryServer,
    leaves: LeafFleet,
}

impl Installation {
    /// Starts leaf servers and discovery, writes all files, and starts the aggregators.
    ///
    /// # Errors
    /// A part of it can't be started.
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
        let mut members = String::new();
        for zone in 0..ZONES.len() {
            let aggregator = Aggregator::new(folder, format!("n{zone}"), ip)?;
            let (name, collect) = (&aggregator.name, aggregator.collect_address);
            let _ = write!(members, "[member {name}]\naddress = {collect}\n\n");
            installation.add_aggregator(aggregator, options).await?;
        }
        let ledger = &installation.ledger;
        ledger.write_settings(&members, &options.ledger_settings)?;
        Ok(installation)
    }

    /// Starts an aggregator's process without waiting until it is ready.
    ///
    /// # Errors
    /// It can't be started.
    pub fn launch_aggregator(&mut self, index: usize) -> io::Result<()> {
        self.aggregators[index].launch(&self.launch)
    }

    /// Starts an aggregator, also one that was killed, and waits until it is ready.
    ///
    /// # Errors
    /// It can't be started or does not become ready within 10 s.
    pub async fn start_aggregator(&mut self, index: usize) -> Result<(), InstallationError> {
        self.launch_aggregator(index)?;
        self.aggregators[index].wait_until_ready().await
    }

    /// Terminates all aggregators, one after the other; true if each exits with success within
    /// `limit`.
    pub fn terminate_aggregators(&mut self, limit: Duration) -> bool {
        let mut clean = true;
        for aggregator in &mut self.aggregators {
            clean &= aggregator.terminate(limit);
        }
        clean
    }

    /// Kills the leaf servers of a zone; discovery does not publish that.
    pub fn lose_zone(&mut self, zone: usize) {
        self.leaves.stop_zone(zone);
    }

    /// Starts the leaf servers of a zone, at other addresses than before, and publishes them.
    ///
    /// # Errors
    /// No port is free.
    pub async fn restore_zone(&mut self, zone: usize, start: LeafStart) -> io::Result<()> {
        let changes = self.leaves.start_zone(zone, start).await?;
        self.discovery.publish(changes);
        Ok(())
    }

    /// Where the aggregators serve queries.
    pub fn aggregator_addresses(&self) -> Vec<SocketAddr> {
        self.aggregators
            .iter()
            .map(|aggregator| aggregator.address)
            .collect()
    }

    /// Adds the aggregator of the next zone and starts it.
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

/// The current Unix time in milliseconds.
pub fn now_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}
