//! Short runs of the demonstration and of the test programs. The programs start real aggregators,
//! which `make test` builds first.

use std::process::Command;

/// Result of a program.
struct ProgramRun {
    is_success: bool,
    /// Standard output followed by standard error.
    output: String,
}

impl ProgramRun {
    fn last_line_starts_with(&self, prefix: &str) -> bool {
        let last_line = self.output.lines().last();
        last_line.is_some_and(|line| line.starts_with(prefix))
    }
}

fn run(program: &str, arguments: &[&str]) -> ProgramRun {
    let output = Command::new(program)
        .args(arguments)
        .output()
        .expect("program failed to start");
    let standard_output = String::from_utf8_lossy(&output.stdout).into_owned();
    ProgramRun {
        is_success: output.status.success(),
        output: standard_output + &String::from_utf8_lossy(&output.stderr),
    }
}

#[test]
fn ledger_fault_test_passes_a_short_run() {
    let arguments = [
        "--queries",
        "2500",
        "--clients",
        "24",
        "--period",
        "4",
        "--seed",
        "11",
    ];
    let run = run(env!("CARGO_BIN_EXE_ledger-fault-test"), &arguments);
    assert!(
        run.is_success && run.last_line_starts_with("PASSED: 2500 uses"),
        "expected exit code 0 and a last line with prefix 'PASSED: 2500 uses', got:\n{}",
        run.output
    );
}

#[test]
fn gateway_conformance_test_passes_a_short_run() {
    let arguments = ["--queries", "600", "--clients", "6", "--seed", "5"];
    let run = run(env!("CARGO_BIN_EXE_gateway-conformance-test"), &arguments);
    assert!(
        run.is_success && run.last_line_starts_with("PASSED: "),
        "expected exit code 0 and a last line with prefix 'PASSED: ', got:\n{}",
        run.output
    );
}

#[test]
fn demo_prints_an_example_request_and_exits_cleanly() {
    let run = run(env!("CARGO_BIN_EXE_demo"), &["--seconds", "3"]);
    assert!(
        run.is_success
            && run.output.contains("curl -s http://127.")
            && run
                .output
                .contains("One query of class chart-ranking and its answer:\n")
            && run.output.contains("all processes ended\n"),
        "expected exit code 0, an example request and answer, and 'all processes ended', got:\n{}",
        run.output
    );
}

/// With `--no-kill`, only a process that hangs for 60 s receives SIGKILL, so that other load on the
/// machine only delays the processes. Every request that was read must be answered.
#[test]
fn shutdown_stress_test_loses_no_request_that_was_read() {
    let arguments = [
        "--deadlines",
        "100,700,1500",
        "--rounds",
        "1",
        "--clients",
        "16",
        "--no-kill",
        "--seed",
        "3",
    ];
    let run = run(env!("CARGO_BIN_EXE_shutdown-stress-test"), &arguments);
    assert!(
        run.is_success && run.last_line_starts_with("PASSED: "),
        "expected exit code 0 and a last line with prefix 'PASSED: ', got:\n{}",
        run.output
    );
}
