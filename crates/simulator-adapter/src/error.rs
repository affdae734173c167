//! Errors that make the adapter exit before the end of its input.

use crate::wire::BatchError;
use std::error::Error;
use std::io;

/// An error that stops the adapter before the end of its input.
#[derive(Debug, thiserror::Error)]
pub enum AdapterError {
    /// A batch cannot be read or is malformed.
    #[error(transparent)]
    Batch(#[from] BatchError),
    /// The settings of an instance are invalid.
    #[error("{0}")]
    Settings(#[source] Box<dyn Error + Send + Sync>),
    /// A reply cannot be written.
    #[error("cannot write reply: {0}")]
    Write(#[source] io::Error),
}
