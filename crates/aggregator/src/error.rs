//! The classes of errors, each with an exit code of its own.

/// Who has to act on an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorClass {
    /// Something failed while the command was running.
    Runtime,
    /// The arguments are invalid.
    Usage,
    /// The configuration or the settings are missing or invalid.
    Configuration,
}

impl ErrorClass {
    /// The exit code of a program that ends with such an error.
    pub fn exit_code(self) -> u8 {
        match self {
            ErrorClass::Runtime => 1,
            ErrorClass::Usage => 2,
            ErrorClass::Configuration => 3,
        }
    }
}
