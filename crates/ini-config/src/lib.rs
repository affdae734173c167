//! INI settings files, checked against a schema.
//!
//! A program declares its sections and keys as a [`Schema`]: the [`Kind`] of each value, its
//! default, and whether a running program applies a change. [`Settings::read`] checks a whole file
//! against the schema and reports everything that is wrong at once, each with file, line, key and
//! the nearest valid name. Each value that was read keeps its [`Origin`], so that a program can
//! show where a value in force came from.

mod line_index;
mod parser;
mod problem;
mod schema;
mod settings;
mod suggestion;
mod value;
mod values;

pub use problem::{Problem, ProblemKind, Problems};
pub use schema::{Key, Schema, Section};
pub use settings::{Origin, Settings, Shown};
pub use suggestion::Suggestion;
pub use value::{bytes, time, InvalidValue, Kind};
pub use values::Values;
