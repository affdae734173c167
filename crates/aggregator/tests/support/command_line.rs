//! Runs the program to its end, with an environment that names no files.

use std::process::{Command, Output};

/// The program with these arguments, ready to run.
pub fn command(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_query-aggregator"));
    command
        .args(arguments)
        .env_remove("BALANCER_CONFIG")
        .env_remove("QUERY_AGGREGATOR_SETTINGS")
        .env_remove("QUERY_AGGREGATOR_LOG");
    command
}

/// Runs the program with these arguments.
pub fn run(arguments: &[&str]) -> Output {
    command(arguments).output().expect("the program starts")
}

/// What the program has written to standard error.
pub fn stderr(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).unwrap()
}

/// What the program has written to standard output.
pub fn stdout(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).unwrap()
}
