//! Errors of the store.

/// An error of the store.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// An operation of SQLite failed.
    #[error("store operation failed: {0}")]
    Sqlite(#[from] rusqlite::Error),
    /// A newer release has written the store, with a schema that this release does not support.
    #[error(
        "store has schema version {found}, written by a newer release; \
         this release supports up to {max_supported}"
    )]
    NewerSchema {
        /// Schema version of the file.
        found: usize,
        /// Latest schema version that this release supports.
        max_supported: usize,
    },
    /// The period to close already has a statement.
    #[error("period {period} is already closed")]
    PeriodClosed {
        /// Name of the period.
        period: String,
    },
    /// A correction with the same id already exists.
    #[error("correction {id} already exists")]
    DuplicateCorrection {
        /// Id of the correction.
        id: String,
    },
    /// JSON in the store can't be parsed, or a value can't be encoded as JSON.
    #[error("cannot encode or parse JSON of the store: {0}")]
    Json(#[from] serde_json::Error),
}

/// Result of an operation on the store.
pub(super) type Result<T> = std::result::Result<T, StoreError>;
