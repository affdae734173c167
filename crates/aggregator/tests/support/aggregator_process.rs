//! Runs the aggregator as a process: its configuration file, signals and log.

#![allow(dead_code, reason = "each test program uses only some of the methods")]

use std::fs;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, BufReader, Lines};
use tokio::net::unix::pipe;

/// Time after which a test fails because the program hangs. Tests wait for events only.
pub const HANG_TIMEOUT: Duration = Duration::from_secs(20);

/// A running aggregator, which is killed when the value is dropped.
pub struct AggregatorProcess {
    child: Child,
    config_path: PathBuf,
    log: Lines<BufReader<pipe::Receiver>>,
}

impl AggregatorProcess {
    /// Starts the program with this configuration. `name` distinguishes the files of several tests.
    pub fn start(name: &str, config: &str) -> AggregatorProcess {
        let file_name = format!("query-aggregator-{}-{name}.json", std::process::id());
        let config_path = std::env::temp_dir().join(file_name);
        fs::write(&config_path, config).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_query-aggregator"))
            .env("BALANCER_CONFIG", &config_path)
            .env("QUERY_AGGREGATOR_LOG", "info")
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program should start");
        let stderr = child.stderr.take().unwrap();
        let log = pipe::Receiver::from_owned_fd(stderr.into()).unwrap();
        AggregatorProcess {
            child,
            config_path,
            log: BufReader::new(log).lines(),
        }
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Replaces the configuration file, which the program does not read again before a signal.
    pub fn write_config(&self, config: &str) {
        fs::write(&self.config_path, config).unwrap();
    }

    /// Sends a signal, then reads the log up to the first line that contains `expected_log`.
    pub async fn signal(&mut self, signal: &str, expected_log: &str) {
        let pid = self.id().to_string();
        assert!(Command::new("kill")
            .args([signal, &pid])
            .status()
            .unwrap()
            .success());
        self.wait_for_log(expected_log).await;
    }

    async fn wait_for_log(&mut self, expected: &str) {
        loop {
            let line = tokio::time::timeout(HANG_TIMEOUT, self.log.next_line())
                .await
                .unwrap_or_else(|_| panic!("expected '{expected}' in the log in time"))
                .unwrap()
                .unwrap_or_else(|| panic!("the program ended before it logged '{expected}'"));
            if line.contains(expected) {
                return;
            }
        }
    }

    /// Waits for the program to exit. Returns whether it was successful.
    pub fn wait_for_exit(&mut self) -> bool {
        self.child.wait().unwrap().success()
    }
}

impl Drop for AggregatorProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.config_path);
    }
}
