//! Aggregator of an installation: its files and its process.

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

/// Interval and maximum number of readiness checks after the start of an aggregator.
const READINESS_POLL_INTERVAL: Duration = Duration::from_millis(20);
const MAX_READINESS_POLLS: u32 = 500;

/// Options with which the aggregators' processes are started.
pub(super) struct LaunchOptions {
    /// Path of the aggregators' executable.
    pub(super) program: PathBuf,
    /// Log filter of the aggregators; `None` for the default.
    pub(super) log_filter: Option<String>,
    /// Limit on open file descriptors of each process, lower than the limit in the aggregator's
    /// configuration; `None` to inherit the limit of the test program.
    pub(super) max_descriptors: Option<u32>,
}

impl LaunchOptions {
    fn command(&self) -> Command {
        let Some(max_descriptors) = self.max_descriptors else {
            return Command::new(&self.program);
        };
        // `exec` replaces the shell, so that signals reach the aggregator.
        let script = format!("ulimit -n {max_descriptors} && exec \"$0\" \"$@\"");
        let mut command = Command::new("sh");
        command.arg("-c").arg(script).arg(&self.program);
        command
    }
}

/// Aggregator of an installation, whether or not its process runs.
pub struct Aggregator {
    /// Name of the aggregator, unique in the installation.
    pub name: String,
    /// Address of the native frontend.
    pub address: SocketAddr,
    /// Address of the OpenSearch gateway; unused if the installation has no gateway.
    pub gateway_address: SocketAddr,
    /// Directory of the usage log.
    pub usage_directory: PathBuf,
    /// Address at which the settlement collects the usage log.
    pub(super) collect_address: SocketAddr,
    platform_file: PathBuf,
    settings_file: PathBuf,
    log: PathBuf,
    process: Option<Process>,
}

impl Aggregator {
    /// Creates an aggregator with free ports, without writing its files.
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

    /// Writes the settings, with sections for the usage log and for the gateway if the options
    /// enable them.
    pub(super) fn write_settings(&self, options: &InstallationOptions) -> io::Result<()> {
        let mut settings = String::new();
        if options.has_usage_log {
            settings += &usage_section(&self.usage_directory, self.collect_address);
        }
        if options.has_gateway {
            settings += &gateway_sections(self.gateway_address);
        }
        fs::write(&self.settings_file, settings)
    }

    /// Starts the process without waiting until it is ready.
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

    /// Waits until a started process is ready to serve, for at most [`MAX_READINESS_POLLS`] checks.
    pub(super) async fn wait_until_ready(&self) -> Result<(), InstallationError> {
        for _ in 0..MAX_READINESS_POLLS {
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

    /// Kills the process without a graceful shutdown, to simulate a crash.
    pub fn kill(&mut self) {
        self.process = None;
    }

    /// Requests a graceful shutdown and waits. Returns whether the process exits successfully
    /// within `limit`.
    pub fn terminate(&mut self, limit: Duration) -> bool {
        self.process
            .as_mut()
            .is_some_and(|process| process.terminate(limit))
    }

    /// Sends a signal to the process. Returns whether the signal could be sent.
    pub fn send_signal(&self, signal: Signal) -> bool {
        self.process
            .as_ref()
            .is_some_and(|process| process.send_signal(signal))
    }

    /// Returns the exit status of the process; `None` while it runs, or if none was started.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.process.as_mut()?.exit_status()
    }

    /// Returns the log of all processes of this aggregator so far.
    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Returns the processor time that the process has used, in seconds; `None` if it does not run.
    pub fn cpu_seconds(&self) -> Option<f64> {
        self.process.as_ref()?.cpu_seconds()
    }
}
