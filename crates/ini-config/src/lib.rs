//! INI settings files that are checked against a schema.
//!
//! A program declares its sections and keys as a [`Schema`], which defines the [`Kind`] and the
//! default of each value and whether a running program applies a change. [`Settings::read`] checks
//! a file against the schema and reports all [`Problems`] at once, each with the file, the line,
//! the key and a suggestion for a misspelled name. [`Settings::section`] provides typed access to
//! the values of one section. The [`Origin`] of an effective value states whether the file or the
//! schema defines the value.

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
