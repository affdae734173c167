//! Child processes, each of which is killed when its handle is dropped.

use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

/// Interval at which a process is checked for its exit.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Clock ticks per second (`USER_HZ`), the unit of processor time in `/proc`.
const CLOCK_TICKS_PER_SECOND: f64 = 100.0;
/// Indices of the user and system times among the fields after the command name in
/// `/proc/PID/stat`.
const USER_TICKS_FIELD: usize = 11;
const SYSTEM_TICKS_FIELD: usize = 12;

/// Error in locating a program of the workspace.
#[derive(Debug, thiserror::Error)]
pub enum ProgramError {
    /// There is no executable of this name next to the running one.
    #[error("program {name} not found; build it with `cargo build` first")]
    NotBuilt {
        /// Name of the program.
        name: String,
    },
    /// The path of the running executable is unknown.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// Returns the path of the executable `name` that was built together with the running one.
///
/// # Errors
/// Returns an error if the executable does not exist.
pub fn sibling_program(name: &str) -> Result<PathBuf, ProgramError> {
    let own_path = std::env::current_exe()?;
    // Test executables are in a subdirectory of the directory that holds the programs.
    let folders = own_path.ancestors().skip(1).take(2);
    folders
        .map(|folder| folder.join(name))
        .find(|path| path.is_file())
        .ok_or_else(|| ProgramError::NotBuilt { name: name.into() })
}

/// Signal to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// SIGTERM: requests a graceful shutdown.
    Terminate,
    /// SIGHUP: requests a reload of the configuration.
    Reload,
    /// SIGKILL: ends the process immediately.
    Kill,
    /// SIGSTOP: suspends the process.
    Stop,
    /// SIGCONT: resumes a suspended process.
    Continue,
}

impl Signal {
    /// Returns the option of the `kill` command for this signal.
    fn option(self) -> &'static str {
        match self {
            Signal::Terminate => "-TERM",
            Signal::Reload => "-HUP",
            Signal::Kill => "-KILL",
            Signal::Stop => "-STOP",
            Signal::Continue => "-CONT",
        }
    }
}

/// Child process, killed when dropped.
pub struct Process {
    child: Child,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Process {
    /// Starts a command whose standard output and standard error are appended to the file `log`.
    ///
    /// # Errors
    /// Returns an error if the file cannot be opened or the process cannot be started.
    pub fn start(command: &mut Command, log: &Path) -> io::Result<Process> {
        let file = File::options().create(true).append(true).open(log)?;
        let child = command
            .stdin(Stdio::null())
            .stdout(file.try_clone()?)
            .stderr(file)
            .spawn()?;
        Ok(Process { child })
    }

    /// Requests a graceful shutdown and waits. Returns whether the process exits successfully
    /// within `limit`.
    pub fn terminate(&mut self, limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        let mut is_clean = self.send_signal(Signal::Terminate);
        while Instant::now() < deadline {
            match self.child.try_wait() {
                Ok(Some(status)) => return is_clean && status.success(),
                Ok(None) => std::thread::sleep(EXIT_POLL_INTERVAL),
                Err(_) => is_clean = false,
            }
        }
        false
    }

    /// Returns the processor time that the process has used, in seconds; `None` if `/proc` has no
    /// entry for the process.
    pub fn cpu_seconds(&self) -> Option<f64> {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.child.id())).ok()?;
        // The command name is in parentheses and may contain spaces.
        let fields: Vec<&str> = stat.rsplit(')').next()?.split_whitespace().collect();
        let ticks = |field: usize| fields.get(field)?.parse::<f64>().ok();
        Some((ticks(USER_TICKS_FIELD)? + ticks(SYSTEM_TICKS_FIELD)?) / CLOCK_TICKS_PER_SECOND)
    }

    /// Sends a signal to the process. Returns whether the signal could be sent.
    pub fn send_signal(&self, signal: Signal) -> bool {
        Command::new("kill")
            .args([signal.option(), &self.child.id().to_string()])
            .status()
            .is_ok_and(|status| status.success())
    }

    /// Returns the exit status; `None` while the process runs.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok()?
    }
}
