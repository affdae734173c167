//! INI settings files, checked against a schema.
//!
//! A program declares its sections and keys as a [`Schema`]: the [`Kind`] of each value, its
//! default, and whether a running program applies a change. [`Settings::read`] checks a file
//! against the schema and reports all [`Problems`] at once, each with file, line, key and the
//! nearest valid name. [`Settings::section`] gives typed access to the values of one section. Each
//! value has an [`Origin`], so that a program can show where a value in force came from.

mod file_values;
mod invalid_value;
mod kind;
mod line_index;
mod parser;
mod problem;
mod quantity;
mod schema;
mod section_values;
mod settings;
mod suggestion;

pub use invalid_value::InvalidValue;
pub use kind::Kind;
pub use problem::{Problem, ProblemKind, Problems};
pub use quantity::{parse_bytes, parse_time};
pub use schema::{Key, Schema, Section};
pub use section_values::SectionValues;
pub use settings::{EffectiveValue, Origin, Settings};
pub use suggestion::Suggestion;
