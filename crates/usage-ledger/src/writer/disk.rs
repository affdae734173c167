//! How a writer reaches the file system.

use std::fs::File;
use std::io::{self, Write};

/// Appends bytes to segments. Tests replace it by an implementation that fails.
pub trait Disk: Send + 'static {
    /// Appends `bytes` to a segment.
    ///
    /// # Errors
    /// Not all of `bytes` could be written; the caller cuts off the part that was.
    fn append(&mut self, file: &mut File, bytes: &[u8]) -> io::Result<()>;
}

/// Writes to the file system.
pub struct FileSystem;

impl Disk for FileSystem {
    fn append(&mut self, file: &mut File, bytes: &[u8]) -> io::Result<()> {
        file.write_all(bytes)
    }
}
