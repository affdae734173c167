//! Test environment: the installation with its clients, faults and checks, one method per step of
//! the test.

use crate::check_list::CheckList;
use crate::checks;
use crate::client;
use crate::faults;
use crate::ledger_commands;
use crate::load::LedgerLoad;
use crate::receiver::RestartableReceiver;
use crate::results::Results;
use crate::settings;
use crate::statements;
use crate::stats_files::{self, StatsFile};
use crate::totals;
use aggregator_testkit::installation::{now_ms, Installation};
use aggregator_testkit::test_program::TestProgramError;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Time limit for the graceful shutdown of each process.
const EXIT_LIMIT: Duration = Duration::from_secs(10);
/// Delay before the settlement is shut down, for the last records of the aggregators that have
/// exited.
const DELAY_BEFORE_SETTLEMENT_SHUTDOWN: Duration = Duration::from_millis(500);

/// Size of the test.
#[derive(Clone, Copy)]
pub struct EnvironmentOptions {
    /// Seed of all random numbers.
    pub seed: u64,
    /// Number of logical requests, over all clients.
    pub requests: u64,
    /// Number of concurrent clients.
    pub clients: u64,
    /// Length of a billing period in seconds.
    pub period_seconds: u64,
}

/// Processes of the test and results of the checks so far.
pub struct Environment {
    options: EnvironmentOptions,
    folder: PathBuf,
    installation: Installation,
    receiver: RestartableReceiver,
    load: Arc<LedgerLoad>,
    stats_files: Vec<StatsFile>,
    checks: CheckList,
}

impl Environment {
    /// Starts the receiver, the installation and its settlement process.
    pub async fn start(
        folder: &Path,
        options: EnvironmentOptions,
    ) -> Result<Environment, TestProgramError> {
        let period_seconds = options.period_seconds;
        let receiver = RestartableReceiver::start().await?;
        let documents = documents_folder(folder);
        let ledger_settings = settings::ledger_settings(period_seconds, &receiver, &documents);
        let installation_options = settings::installation_options(options.seed, ledger_settings);
        let mut installation = Installation::start(folder, &installation_options).await?;
        installation.ledger.start_settlement()?;
        let addresses = installation.aggregator_addresses();
        let load = LedgerLoad::new(addresses, period_seconds, options.requests);
        Ok(Environment {
            options,
            folder: folder.into(),
            installation,
            receiver,
            load: Arc::new(load),
            stats_files: Vec::new(),
            checks: CheckList::default(),
        })
    }

    /// Runs all clients to completion while faults are injected and a statement is corrected.
    pub async fn run_clients_under_faults(&mut self) -> Result<(), TestProgramError> {
        let clients = client::start_clients(&self.load, self.options.clients, self.options.seed);
        faults::inject(&mut self.installation, &self.load, &mut self.receiver).await?;
        let ledger = &self.installation.ledger;
        ledger_commands::check_correction(&mut self.checks, ledger, &self.receiver).await?;
        for client in clients {
            client.await?;
        }
        Ok(())
    }

    /// Waits until all periods with requests are settled and exported, for a limited time, and
    /// collects the results.
    pub async fn collect_results(&mut self) -> Result<Results, TestProgramError> {
        self.stats_files = stats_files::save_all(&self.installation, &self.folder).await?;
        // All requests were sent before this time, so the period that contains it is the last one.
        let load_end_ms = now_ms();
        let ledger = &self.installation.ledger;
        let periods = statements::wait_for_all(ledger, load_end_ms).await?;
        self.receiver.stop();
        Ok(Results {
            requests: self.load.take_records(),
            load: self.load.clone(),
            statements: statements::read_all(ledger, &periods)?,
            received_documents: self.receiver.documents(),
            listed_documents: statements::listed_documents(ledger)?,
            exported_documents: statements::exported_documents(&documents_folder(&self.folder))?,
        })
    }

    /// Checks the results, shuts down all processes, and checks `ledger reconcile` and
    /// `ledger verify`.
    pub async fn check_results(&mut self, results: &Results) -> Result<(), TestProgramError> {
        let clients_file = self.folder.join("clients.csv");
        totals::write_csv(&clients_file, &results.requests)?;
        checks::check_all(&mut self.checks, results, self.options.requests);
        self.terminate().await;
        let ledger = &self.installation.ledger;
        let checks = &mut self.checks;
        ledger_commands::check_reconciliation(checks, ledger, &clients_file, &self.stats_files)?;
        ledger_commands::check_verification(checks, &self.installation)
    }

    /// Returns the checks made so far.
    pub fn checks(&self) -> &CheckList {
        &self.checks
    }

    /// Shuts down all processes of the installation gracefully, and checks that each exits
    /// successfully in time.
    async fn terminate(&mut self) {
        for aggregator in &mut self.installation.aggregators {
            let is_clean = aggregator.terminate(EXIT_LIMIT);
            let name = &aggregator.name;
            self.checks
                .check("aggregator shuts down gracefully", is_clean, name);
        }
        sleep(DELAY_BEFORE_SETTLEMENT_SHUTDOWN).await;
        let is_clean = self.installation.ledger.terminate_settlement(EXIT_LIMIT);
        self.checks
            .check("settlement shuts down gracefully", is_clean, "SIGTERM");
    }
}

/// Returns the folder to which the ledger exports documents.
fn documents_folder(folder: &Path) -> PathBuf {
    folder.join("documents")
}
