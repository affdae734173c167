//! The writer's access to the file system, which tests replace.

use std::fs::File;
use std::io::{self, Write};

/// Appends bytes to segments. Tests use implementations that fail or stall.
pub trait Disk: Send + 'static {
    /// Appends `bytes` to a segment.
    ///
    /// # Errors
    /// Not all of `bytes` could be written. The caller truncates the file to remove a partial
    /// write.
    fn append(&mut self, file: &mut File, bytes: &[u8]) -> io::Result<()>;
}

/// The [`Disk`] of the operating system.
pub struct FileSystem;

impl Disk for FileSystem {
    fn append(&mut self, file: &mut File, bytes: &[u8]) -> io::Result<()> {
        file.write_all(bytes)
    }
}
