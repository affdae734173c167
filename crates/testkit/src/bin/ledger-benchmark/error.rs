//! Why a measurement can't be made.

use aggregator_testkit::installation::InstallationError;

/// Why a measurement can't be made.
#[derive(Debug, thiserror::Error)]
pub enum BenchError {
    /// The installation fails.
    #[error(transparent)]
    Installation(#[from] InstallationError),
    /// The ledger's store fails.
    #[error(transparent)]
    Store(#[from] usage_ledger::store::StoreError),
    /// A histogram can't be made.
    #[error(transparent)]
    Histogram(#[from] hdrhistogram::CreationError),
    /// Histograms can't be added.
    #[error(transparent)]
    HistogramAddition(#[from] hdrhistogram::AdditionError),
    /// A client's task panicked.
    #[error(transparent)]
    Task(#[from] tokio::task::JoinError),
    /// The store settled another number of records than it was given.
    #[error("{settled} of {records} records settled")]
    RecordsMissing {
        /// Records in the statement.
        settled: i64,
        /// Records given.
        records: u64,
    },
    /// The process that settles failed.
    #[error("the settlement failed")]
    SettlementProcessFailed,
    /// A file or a process can't be used.
    #[error(transparent)]
    Io(#[from] std::io::Error),
}
