//! The demonstration and the proof as they are run, in a smaller form. Both start real mixers,
//! which `make test` builds first.

use std::process::{Command, Output};

fn run(program: &str, words: &[&str]) -> (bool, String) {
    let Output {
        status,
        stdout,
        stderr,
    } = Command::new(program)
        .args(words)
        .output()
        .expect("it starts");
    (
        status.success(),
        String::from_utf8_lossy(&stdout).into_owned() + &String::from_utf8_lossy(&stderr),
    )
}

#[test]
fn the_ledger_is_proved_on_a_small_run() {
    let words = [
        "--queries",
        "2500",
        "--clients",
        "24",
        "--period",
        "4",
        "--seed",
        "11",
    ];
    let (proved, said) = run(env!("CARGO_BIN_EXE_prove-ledger"), &words);
    assert!(
        proved
            && said
                .lines()
                .last()
                .is_some_and(|line| line.starts_with("proved: 2500 uses")),
        "{said}"
    );
}

#[test]
fn the_search_front_is_proved_on_a_small_run() {
    let words = ["--queries", "600", "--clients", "6", "--seed", "5"];
    let (proved, said) = run(env!("CARGO_BIN_EXE_prove-opensearch"), &words);
    assert!(
        proved
            && said
                .lines()
                .last()
                .is_some_and(|line| line.starts_with("proved: ")),
        "{said}"
    );
}

#[test]
fn the_demonstration_prints_a_line_to_ask_and_ends_clean() {
    let (clean, said) = run(env!("CARGO_BIN_EXE_demo"), &["--seconds", "3"]);
    assert!(
        clean && said.contains("curl -s http://127.") && said.contains("all ended\n"),
        "{said}"
    );
}
