//! One aggregator of an installation: its files and its process.

use super::address::free_port;
use super::config::{gateway_sections, platform_object, usage_section, PlatformParameters};
use super::{InstallationError, InstallationOptions};
use crate::http::get;
use crate::process::{Process, Signal};
use std::fs;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Command, ExitStatus};
use std::time::Duration;

/// The interval of the readiness checks of a starting aggregator, and their number.
const READINESS_POLL_INTERVAL: Duration = Duration::from_millis(20);
const READINESS_POLLS: u32 = 500;

/// How the processes of an installation are started.
pub(super) struct LaunchOptions {
    /// The path of the aggregators' program.
    pub(super) program: PathBuf,
    /// Their log filter, if it differs from the default.
    pub(super) log_filter: Option<String>,
    /// The limit on file descriptors of each, if it is below that of its settings.
    pub(super) max_descriptors: Option<u32>,
}

impl LaunchOptions {
    fn command(&self) -> Command {
        let Some(max_descriptors) = self.max_descriptors else {
            return Command::new(&self.program);
        };
        // `exec` replaces the shell, so that signals reach the program.
        let script = format!("ulimit -n {max_descriptors} && exec \"$0\" \"$@\"");
        let mut command = Command::new("sh");
        command.arg("-c").arg(script).arg(&self.program);
        command
    }
}

/// An aggregator, running or not.
pub struct Aggregator {
    /// Its name.
    pub name: String,
    /// Where it serves queries.
    pub address: SocketAddr,
    /// Where its OpenSearch gateway is, if the installation has one.
    pub gateway_address: SocketAddr,
    /// The directory of its usage log.
    pub usage_directory: PathBuf,
    /// Where the settlement collects its usage log.
    pub(super) collect_address: SocketAddr,
    platform_file: PathBuf,
    settings_file: PathBuf,
    log: PathBuf,
    process: Option<Process>,
}

impl Aggregator {
    /// Creates an aggregator with free ports; its files are written separately.
    pub(super) fn new(folder: &Path, name: String, ip: IpAddr) -> io::Result<Aggregator> {
        let file = |extension: &str| folder.join(format!("{name}.{extension}"));
        Ok(Aggregator {
            address: free_port(ip)?,
            collect_address: free_port(ip)?,
            gateway_address: free_port(ip)?,
            platform_file: file("json"),
            settings_file: file("ini"),
            usage_directory: file("usage"),
            log: file("log"),
            name,
            process: None,
        })
    }

    /// Writes the platform object.
    pub(super) fn write_platform_file(&self, parameters: &PlatformParameters) -> io::Result<()> {
        let object = platform_object(parameters);
        fs::write(&self.platform_file, format!("{object:#}"))
    }

    /// Writes the settings, with the sections of the usage log and of the gateway if the options
    /// have them.
    pub(super) fn write_settings(&self, options: &InstallationOptions) -> io::Result<()> {
        let mut settings = String::new();
        if options.usage_log {
            settings += &usage_section(&self.usage_directory, self.collect_address);
        }
        if options.gateway {
            settings += &gateway_sections(self.gateway_address);
        }
        fs::write(&self.settings_file, settings)
    }

    /// Starts the process and does not wait until it is ready.
    pub(super) fn launch(&mut self, options: &LaunchOptions) -> io::Result<()> {
        let mut command = options.command();
        command
            .arg("--config")
            .arg(&self.platform_file)
            .arg("--settings")
            .arg(&self.settings_file)
            .env_remove("BALANCER_CONFIG")
            .env_remove("QUERY_AGGREGATOR_SETTINGS")
            .env_remove("QUERY_AGGREGATOR_LOG");
        if let Some(filter) = &options.log_filter {
            command.env("QUERY_AGGREGATOR_LOG", filter);
        }
        self.process = Some(Process::start(&mut command, &self.log)?);
        Ok(())
    }

    /// Waits until a started process is ready.
    pub(super) async fn wait_until_ready(&self) -> Result<(), InstallationError> {
        for _ in 0..READINESS_POLLS {
            let response = get(self.address, "/-/ready").await;
            if response.is_some_and(|response| response.status == 200) {
                return Ok(());
            }
            tokio::time::sleep(READINESS_POLL_INTERVAL).await;
        }
        Err(InstallationError::AggregatorNotReady {
            name: self.name.clone(),
            log: self.log_text().trim().to_string(),
        })
    }

    /// Kills the process, as a crash does.
    pub fn kill(&mut self) {
        self.process = None;
    }

    /// Requests a graceful shutdown; true if the process exits with success within `limit`.
    pub fn terminate(&mut self, limit: Duration) -> bool {
        self.process
            .as_mut()
            .is_some_and(|process| process.terminate(limit))
    }

    /// Sends its process a signal; false if that is not possible.
    pub fn send_signal(&self, signal: Signal) -> bool {
        self.process
            .as_ref()
            .is_some_and(|process| process.send_signal(signal))
    }

    /// The exit status of its process; `None` while it runs, or if it was never started.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.process.as_mut()?.exit_status()
    }

    /// The log of all its processes so far.
    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Seconds of processor time that the process has used.
    pub fn cpu_seconds(&self) -> Option<f64> {
        self.process.as_ref()?.cpu_seconds()
    }
}
