//! Lines on the standard output.

use std::io::{self, Write};

/// Prints a line. Fails silently: the reader of a pipe may have exited.
pub fn print_line(text: &str) {
    let _ = writeln!(io::stdout(), "{text}");
}
