//! The installation under test with its clients, faults and checks, one step of the test a method.

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

/// How long each process may take to exit.
const EXIT_LIMIT: Duration = Duration::from_secs(10);
/// The settlement collects the last records of the aggregators that have exited meanwhile.
const PAUSE_BEFORE_SETTLEMENT_EXIT: Duration = Duration::from_millis(500);

/// The size of the test.
#[derive(Clone, Copy)]
pub struct EnvironmentOptions {
    /// The seed of all random numbers.
    pub seed: u64,
    /// Uses, over all clients.
    pub uses: u64,
    /// Clients at the same time.
    pub clients: u64,
    /// The length of a period.
    pub period_seconds: u64,
}

/// The processes of the test and the checks made so far.
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
    /// Starts the receiver, the installation and its settlement.
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
        let load = LedgerLoad::new(addresses, period_seconds, options.uses);
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

    /// Runs all clients to their end, injects the faults meanwhile, and corrects a statement.
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

    /// Waits until all periods are settled and exported, and collects what was recorded.
    pub async fn collect_results(&mut self) -> Result<Results, TestProgramError> {
        self.stats_files = stats_files::save_all(&self.installation, &self.folder).await?;
        // All that was sent belongs to periods up to this one.
        let load_end_ms = now_ms();
        let ledger = &self.installation.ledger;
        let periods = statements::wait_for_all(ledger, load_end_ms).await?;
        self.receiver.stop();
        Ok(Results {
            uses: self.load.take_uses(),
            load: self.load.clone(),
            statements: statements::read_all(ledger, &periods)?,
            received: self.receiver.documents(),
            document_list: statements::document_list(ledger)?,
            files: statements::exported_files(&documents_folder(&self.folder))?,
        })
    }

    /// Makes all checks of the results, ends all processes, and has the ledger reconcile and
    /// verify.
    pub async fn check_results(&mut self, results: &Results) -> Result<(), TestProgramError> {
        let clients_file = self.folder.join("clients.csv");
        totals::write_csv(&clients_file, &results.uses)?;
        checks::check_all(&mut self.checks, results, self.options.uses);
        self.terminate().await;
        let ledger = &self.installation.ledger;
        let checks = &mut self.checks;
        ledger_commands::check_reconciliation(checks, ledger, &clients_file, &self.stats_files)?;
        ledger_commands::check_verification(checks, &self.installation)
    }

    /// The checks made so far.
    pub fn checks(&self) -> &CheckList {
        &self.checks
    }

    /// Ends all processes of the installation, each of which has to exit by itself.
    async fn terminate(&mut self) {
        for aggregator in &mut self.installation.aggregators {
            let clean = aggregator.terminate(EXIT_LIMIT);
            let name = &aggregator.name;
            self.checks
                .check("an aggregator exits by itself", clean, name);
        }
        sleep(PAUSE_BEFORE_SETTLEMENT_EXIT).await;
        let clean = self.installation.ledger.terminate_settlement(EXIT_LIMIT);
        self.checks
            .check("the settlement exits by itself", clean, "SIGTERM");
    }
}

/// Where the ledger exports its documents to.
fn documents_folder(folder: &Path) -> PathBuf {
    folder.join("documents")
}
