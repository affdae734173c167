//! Ledger of an installation: its settlement process and its commands.

use super::InstallationError;
use crate::process::Process;
use serde_json::Value;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Duration;

/// Exit status and output of a command.
#[derive(Clone, Debug)]
pub struct CommandOutput {
    /// Whether the exit code was 0.
    pub is_success: bool,
    /// Standard output followed by standard error.
    pub text: String,
}

/// Ledger of an installation: its settings, and its settlement process while that runs.
pub struct InstalledLedger {
    /// Path of the settings file.
    pub settings_file: PathBuf,
    folder: PathBuf,
    program: PathBuf,
    settlement: Option<Process>,
}

impl InstalledLedger {
    pub(super) fn new(folder: &Path, program: &Path) -> InstalledLedger {
        InstalledLedger {
            settings_file: folder.join("ledger.ini"),
            folder: folder.into(),
            program: program.into(),
            settlement: None,
        }
    }

    /// Writes the settings: the store, the sections of the members, and additional sections.
    pub(super) fn write_settings(
        &self,
        member_sections: &str,
        additional_sections: &str,
    ) -> io::Result<()> {
        let store = self.folder.join("ledger.sqlite");
        let store = store.display();
        fs::write(
            &self.settings_file,
            format!("[settlement]\nstore = {store}\n\n{member_sections}{additional_sections}"),
        )
    }

    /// Starts the settlement process.
    ///
    /// # Errors
    /// Returns an error if the process cannot be started.
    pub fn start_settlement(&mut self) -> io::Result<()> {
        let log = self.folder.join("ledger.log");
        self.settlement = Some(Process::start(&mut self.command(["serve"]), &log)?);
        Ok(())
    }

    /// Kills the settlement process without a graceful shutdown, to simulate a crash.
    pub fn kill_settlement(&mut self) {
        self.settlement = None;
    }

    /// Requests a graceful shutdown of the settlement process and waits. Returns whether it exits
    /// successfully within `limit`.
    pub fn terminate_settlement(&mut self, limit: Duration) -> bool {
        self.settlement
            .as_mut()
            .is_some_and(|process| process.terminate(limit))
    }

    /// Runs a ledger command to completion.
    ///
    /// # Errors
    /// Returns an error if the command cannot be started.
    pub fn run<Argument: AsRef<str>>(
        &self,
        arguments: impl IntoIterator<Item = Argument>,
    ) -> io::Result<CommandOutput> {
        let output = self.command(arguments).output()?;
        let standard_output = String::from_utf8_lossy(&output.stdout).into_owned();
        Ok(CommandOutput {
            is_success: output.status.success(),
            text: standard_output + &String::from_utf8_lossy(&output.stderr),
        })
    }

    /// Runs a ledger command with JSON output and parses the output.
    ///
    /// # Errors
    /// Returns an error if the command cannot be started, or if its output is not valid JSON.
    pub fn run_json<Argument: AsRef<str>>(
        &self,
        arguments: impl IntoIterator<Item = Argument>,
    ) -> Result<Value, InstallationError> {
        let output = self
            .command(arguments)
            .args(["--format", "json"])
            .output()?;
        serde_json::from_slice(&output.stdout).map_err(|_| InstallationError::InvalidJson {
            stderr: String::from_utf8_lossy(&output.stderr).into_owned(),
        })
    }

    fn command<Argument: AsRef<str>>(
        &self,
        arguments: impl IntoIterator<Item = Argument>,
    ) -> Command {
        let mut command = Command::new(&self.program);
        command.arg("ledger");
        for argument in arguments {
            command.arg(argument.as_ref());
        }
        command
            .arg("--settings")
            .arg(&self.settings_file)
            .env_remove("QUERY_AGGREGATOR_LOG");
        command
    }
}
