//! Child processes: each is killed, by its id, when it is dropped.

use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

/// The interval of the checks whether a process has exited.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The unit in which the kernel reports processor time.
const CLOCK_TICKS_PER_SECOND: f64 = 100.0;
/// Positions of the user and system times in `/proc/PID/stat`, counted after the command's name.
const USER_TICKS_FIELD: usize = 11;
const SYSTEM_TICKS_FIELD: usize = 12;

/// Why a program of the workspace can't be found.
#[derive(Debug, thiserror::Error)]
pub enum ProgramError {
    /// No program of this name lies next to the running one.
    #[error("{name} has not been built: run cargo build first")]
    NotBuilt {
        /// The program's name.
        name: String,
    },
    /// The path of the running program is unknown.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// The program of this name that was built along with the running one.
///
/// # Errors
/// It was not built.
pub fn sibling_program(name: &str) -> Result<PathBuf, ProgramError> {
    let own_path = std::env::current_exe()?;
    // Tests run from a folder below that of the programs.
    let folders = own_path.ancestors().skip(1).take(2);
    folders
        .map(|folder| folder.join(name))
        .find(|path| path.is_file())
        .ok_or_else(|| ProgramError::NotBuilt { name: name.into() })
}

/// A signal that is sent to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Requests a graceful shutdown.
    Terminate,
    /// Requests a reload of the configuration.
    Reload,
    /// Ends the process at once.
    Kill,
    /// Suspends the process.
    Stop,
    /// Resumes a suspended process.
    Continue,
}

impl Signal {
    /// The option of `kill` that sends it.
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

/// A running child process.
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
    /// Starts a command; both of its outputs are appended to a file.
    ///
    /// # Errors
    /// It can't be started.
    pub fn start(command: &mut Command, log: &Path) -> io::Result<Process> {
        let file = File::options().create(true).append(true).open(log)?;
        let child = command
            .stdin(Stdio::null())
            .stdout(file.try_clone()?)
            .stderr(file)
            .spawn()?;
        Ok(Process { child })
    }

    /// Requests a graceful shutdown and waits; true if the process exits with success within
    /// `limit`.
    pub fn terminate(&mut self, limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        let mut clean = self.send_signal(Signal::Terminate);
        while Instant::now() < deadline {
            match self.child.try_wait() {
                Ok(Some(status)) => return clean && status.success(),
                Ok(None) => std::thread::sleep(EXIT_POLL_INTERVAL),
                Err(_) => clean = false,
            }
        }
        false
    }

    /// Seconds of processor time that the process has used.
    pub fn cpu_seconds(&self) -> Option<f64> {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.child.id())).ok()?;
        // The command's name, in parentheses, may contain spaces.
        let fields: Vec<&str> = stat.rsplit(')').next()?.split_whitespace().collect();
        let ticks = |field: usize| fields.get(field)?.parse::<f64>().ok();
        Some((ticks(USER_TICKS_FIELD)? + ticks(SYSTEM_TICKS_FIELD)?) / CLOCK_TICKS_PER_SECOND)
    }

    /// Sends a signal; false if that is not possible.
    pub fn send_signal(&self, signal: Signal) -> bool {
        Command::new("kill")
            .args([signal.option(), &self.child.id().to_string()])
            .status()
            .is_ok_and(|status| status.success())
    }

    /// The exit status; `None` while the process runs.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok()?
    }
}
