//! Checks that are printed as they are made.

use std::fmt::Display;

/// The checks made so far.
#[derive(Default)]
pub struct CheckList {
    failures: Vec<String>,
}

impl CheckList {
    /// Prints a check and records whether it holds.
    pub fn check(&mut self, name: &str, holds: bool, detail: impl Display) {
        println!("{} {name}: {detail}", if holds { "ok  " } else { "FAIL" });
        if !holds {
            self.failures.push(name.to_string());
        }
    }

    /// Whether all checks hold.
    pub fn holds(&self) -> bool {
        self.failures.is_empty()
    }

    /// The end of the summary: the checks that do not hold, if any.
    pub fn failures_suffix(&self) -> String {
        if self.holds() {
            String::new()
        } else {
            format!("; failed: {}", self.failures.join(", "))
        }
    }
}
