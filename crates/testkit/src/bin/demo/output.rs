//! Output on standard output.

use std::io::{self, Write};

/// Prints a line. Ignores write errors, because the reader of a pipe may have exited.
pub fn print_line(text: &str) {
    let _ = writeln!(io::stdout(), "{text}");
}
