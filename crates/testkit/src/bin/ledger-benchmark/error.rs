//! Error of the benchmark.

use aggregator_testkit::installation::InstallationError;

/// Error that prevents a measurement.
#[derive(Debug, thiserror::Error)]
pub enum BenchError {
    /// The installation could not be started or used.
    #[error(transparent)]
    Installation(#[from] InstallationError),
    /// An operation on the ledger's store failed.
    #[error(transparent)]
    Store(#[from] usage_ledger::store::StoreError),
    /// A histogram could not be created.
    #[error(transparent)]
    Histogram(#[from] hdrhistogram::CreationError),
    /// Two histograms could not be added.
    #[error(transparent)]
    HistogramAddition(#[from] hdrhistogram::AdditionError),
    /// The task of a client panicked.
    #[error(transparent)]
    Task(#[from] tokio::task::JoinError),
    /// The number of settled records differs from the number of ingested ones.
    #[error("{settled} of {records} records settled")]
    RecordsMissing {
        /// Number of records in the statement.
        settled: i64,
        /// Number of ingested records.
        records: u64,
    },
    /// The child process that measures the settlement failed.
    #[error("settlement measurement failed in its child process")]
    SettlementProcessFailed,
    /// An operation on a file or a process failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
}
