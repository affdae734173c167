//! Output of commands: plain text, and reports as a table, JSON or CSV.

use clap::ValueEnum;
use comfy_table::{Row, Table};
use serde_json::Value;
use std::io::{self, ErrorKind, Write};

/// Why output could not be written.
#[derive(Debug, thiserror::Error)]
pub enum OutputError {
    /// Standard output cannot be written to.
    #[error("cannot write to standard output: {0}")]
    StandardOutput(#[source] io::Error),
    /// A report cannot be encoded as CSV.
    #[error(transparent)]
    Csv(#[from] csv::Error),
    /// A value cannot be encoded as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}

/// Writes to standard output. A closed pipe is not an error, since the reader may stop reading at
/// any point.
pub fn print(bytes: &[u8]) -> Result<(), OutputError> {
    let mut out = io::stdout().lock();
    match out.write_all(bytes).and_then(|()| out.flush()) {
        Err(error) if error.kind() != ErrorKind::BrokenPipe => {
            Err(OutputError::StandardOutput(error))
        }
        _ => Ok(()),
    }
}

/// Creates a table without borders.
pub fn plain_table(columns: impl Into<Row>) -> Table {
    let mut table = Table::new();
    table
        .load_preset(comfy_table::presets::NOTHING)
        .set_header(columns);
    table
}

/// Format of a report.
//
// Doc comments on the variants would change the help of `--format`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, ValueEnum)]
pub enum OutputFormat {
    #[default]
    Table,
    Json,
    Csv,
}

/// Argument that selects the output format.
#[derive(clap::Args)]
pub struct FormatArguments {
    /// Output format: a table for people, JSON or CSV for programs
    #[arg(long, value_enum, default_value_t)]
    pub format: OutputFormat,
}

/// Rows of named columns, printed in the requested format.
pub struct Report {
    columns: Vec<&'static str>,
    rows: Vec<Vec<Value>>,
}

impl Report {
    /// Creates a report without rows.
    pub fn new(columns: &[&'static str]) -> Report {
        Report {
            columns: columns.to_vec(),
            rows: Vec::new(),
        }
    }

    /// Appends a row with one value per column.
    pub fn push(&mut self, row: Vec<Value>) {
        self.rows.push(row);
    }

    /// Prints the report to standard output.
    pub fn print(self, format: OutputFormat) -> Result<(), OutputError> {
        let bytes = match format {
            OutputFormat::Table => self.into_table().into_bytes(),
            OutputFormat::Json => self.into_json().into_bytes(),
            OutputFormat::Csv => self.into_csv()?,
        };
        print(&bytes)
    }

    fn into_table(self) -> String {
        let header: Vec<String> = self
            .columns
            .iter()
            .map(|name| name.to_uppercase())
            .collect();
        let mut table = plain_table(header);
        for row in self.rows {
            table.add_row(row.iter().map(cell_text));
        }
        format!("{table}\n")
    }

    fn into_json(self) -> String {
        let columns = self.columns;
        let object = |row: Vec<Value>| {
            let names = columns.iter().map(|name| name.to_string());
            Value::Object(names.zip(row).collect())
        };
        let objects: Vec<Value> = self.rows.into_iter().map(object).collect();
        format!("{:#}\n", Value::Array(objects))
    }

    fn into_csv(self) -> Result<Vec<u8>, csv::Error> {
        let mut writer = csv::Writer::from_writer(Vec::new());
        writer.write_record(&self.columns)?;
        for row in self.rows {
            writer.write_record(row.iter().map(cell_text))?;
        }
        writer
            .into_inner()
            .map_err(|error| csv::Error::from(error.into_error()))
    }
}

/// Returns the text of a value in a table or CSV.
fn cell_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".into(),
        other => other.to_string(),
    }
}
