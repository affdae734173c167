//! The input files of the program, as the command line and the environment name them.

use crate::legacy_names;
use std::path::PathBuf;

/// The files that every command may need.
#[derive(clap::Args, Clone)]
pub struct Files {
    /// The platform's configuration of this mixer, in JSON
    #[arg(long, env = "BALANCER_CONFIG", global = true, value_name = "FILE")]
    pub config: Option<PathBuf>,
    /// Our own settings, in INI; the defaults hold without it
    #[arg(long, env = legacy_names::SETTINGS_VARIABLE, global = true, value_name = "FILE")]
    pub settings: Option<PathBuf>,
}

impl Files {
    /// Falls back to the old name of the settings variable where neither the command line nor the
    /// current variable names a file.
    pub fn with_legacy_variables(mut self) -> Files {
        if self.settings.is_none() {
            let path = legacy_names::environment_variable(legacy_names::SETTINGS_VARIABLE);
            self.settings = path.map(PathBuf::from);
        }
        self
    }
}
