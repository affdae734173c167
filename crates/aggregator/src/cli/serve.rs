//! `query-aggregator serve`: runs the aggregator.

use super::CommandError;
use crate::files::Files;
use crate::process;

/// Serves queries until a signal requests the shutdown.
pub fn run(files: &Files) -> Result<(), CommandError> {
    Ok(process::run(files)?)
}
