//! Classes of errors, each with its own exit code.

/// Class of an error, which tells who has to act on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorClass {
    /// The command failed while it was running.
    Runtime,
    /// The arguments are invalid.
    Usage,
    /// The configuration or the settings are missing or invalid.
    Configuration,
}

impl ErrorClass {
    /// Returns the exit code of a program that ends with an error of this class.
    pub fn exit_code(self) -> u8 {
        match self {
            ErrorClass::Runtime => 1,
            ErrorClass::Usage => 2,
            ErrorClass::Configuration => 3,
        }
    }
}
