//! Why the adapter stops before the end of its input.

use crate::wire::BatchError;
use std::error::Error;
use std::io;

/// Why the adapter stops before the end of its input.
#[derive(Debug, thiserror::Error)]
pub enum AdapterError {
    /// A batch can't be read or decoded.
    #[error(transparent)]
    Batch(#[from] BatchError),
    /// The settings of an instance are invalid.
    #[error("{0}")]
    Settings(#[source] Box<dyn Error + Send + Sync>),
    /// A reply can't be written.
    #[error("{0}")]
    Write(#[source] io::Error),
}
