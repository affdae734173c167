//! Input files of the program, named on the command line or in the environment.

use crate::legacy_names;
use std::path::PathBuf;

/// Files that any command may need.
#[derive(clap::Args, Clone)]
pub struct Files {
    /// Configuration of this mixer, written by the platform, in JSON
    #[arg(long, env = "BALANCER_CONFIG", global = true, value_name = "FILE")]
    pub config: Option<PathBuf>,
    /// Settings of the operator, in INI; the defaults apply without this file
    #[arg(long, env = legacy_names::SETTINGS_VARIABLE, global = true, value_name = "FILE")]
    pub settings: Option<PathBuf>,
}

impl Files {
    /// Falls back to the old name of the settings variable if neither the command line nor the
    /// current variable names a file.
    pub fn with_legacy_variables(mut self) -> Files {
        if self.settings.is_none() {
            let path = legacy_names::environment_variable(legacy_names::SETTINGS_VARIABLE);
            self.settings = path.map(PathBuf::from);
        }
        self
    }
}
