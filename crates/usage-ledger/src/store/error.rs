//! Errors of the store.

/// An error of the store.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// SQLite failed.
    #[error("the store: {0}")]
    Sqlite(#[from] rusqlite::Error),
    /// A later version of the program has changed the schema.
    #[error("the store is of version {found}, made by a later program: this one knows {known}")]
    NewerSchema {
        /// The file's version.
        found: usize,
        /// The latest version that this program knows.
        known: usize,
    },
    /// The period to close already has a statement.
    #[error("the period {period} is closed")]
    PeriodClosed {
        /// The period's name.
        period: String,
    },
    /// A correction with this id exists.
    #[error("there is a correction {id} already")]
    DuplicateCorrection {
        /// The correction's id.
        id: String,
    },
    /// A statement or document can't be written as JSON, or read from it.
    #[error("a document can't be written: {0}")]
    Json(#[from] serde_json::Error),
}

/// The result of an operation on the store.
pub(super) type Result<T> = std::result::Result<T, StoreError>;
