//! List of checks, each printed when it is made.

use std::fmt::Display;

/// Results of the checks made so far.
#[derive(Default)]
pub struct CheckList {
    failures: Vec<String>,
}

impl CheckList {
    /// Prints a check and records its result.
    pub fn check(&mut self, name: &str, passed: bool, detail: impl Display) {
        println!("{} {name}: {detail}", if passed { "ok  " } else { "FAIL" });
        if !passed {
            self.failures.push(name.to_string());
        }
    }

    /// Returns whether all checks passed.
    pub fn passed(&self) -> bool {
        self.failures.is_empty()
    }

    /// Returns the end of the summary line, which lists the failed checks; empty if all passed.
    pub fn failures_suffix(&self) -> String {
        if self.passed() {
            String::new()
        } else {
            format!("; failed: {}", self.failures.join(", "))
        }
    }
}
