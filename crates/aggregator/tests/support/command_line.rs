//! Runs the program until it exits, with an environment that names no files.

use std::process::{Command, Output};

/// Returns the command that runs the program with these arguments.
pub fn command(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_query-aggregator"));
    command
        .args(arguments)
        .env_remove("BALANCER_CONFIG")
        .env_remove("QUERY_AGGREGATOR_SETTINGS")
        .env_remove("QUERY_AGGREGATOR_LOG");
    command
}

/// Runs the program with these arguments until it exits.
pub fn run(arguments: &[&str]) -> Output {
    command(arguments)
        .output()
        .expect("the program should start")
}

/// Returns the standard error of the program.
pub fn stderr(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).unwrap()
}

/// Returns the standard output of the program.
pub fn stdout(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).unwrap()
}
