//! `ledger verify`: checks usage logs byte by byte, and the statements in the store against the
//! records.

use super::context::{read_ledger_settings, LedgerContext};
use super::{progress, LedgerError};
use crate::cli::output;
use crate::files::Files;
use crate::settings;
use std::io;
use std::path::{Path, PathBuf};
use usage_ledger::log::{self, Segment};
use usage_ledger::store::VerificationFault;

/// Arguments of `ledger verify`.
#[derive(clap::Args)]
pub struct VerifyArguments {
    /// Folder of a mixer's usage log to check; may be repeated
    #[arg(long, value_name = "FOLDER")]
    log: Vec<PathBuf>,
}

/// Numbers of checked items, and the faults that were found.
#[derive(Default)]
struct Verification {
    segments: u64,
    entries: u64,
    /// Number of checked statements, documents and periods of the store.
    ledger_items: u64,
    faults: Vec<Fault>,
}

/// A fault in a usage log or in the store. The texts are part of the published output.
#[derive(Debug, thiserror::Error)]
enum Fault {
    #[error("{segment}: its header can't be read, at offset 0")]
    UnreadableHeader { segment: String },
    #[error("{segment}: damaged from offset {from} to {to}")]
    DamagedBytes { segment: String, from: u64, to: u64 },
    #[error("{segment}: half a record at its end, from offset {offset}")]
    TruncatedRecord { segment: String, offset: usize },
    #[error(transparent)]
    Store(#[from] VerificationFault),
}

/// Checks the given logs and the store. Skips the store if logs are given and the settings name no
/// store.
///
/// # Errors
///
/// Returns an error if there are faults, or if a log or the store cannot be read.
pub fn run(files: &Files, arguments: &VerifyArguments) -> Result<(), LedgerError> {
    let mut verification = Verification::default();
    for directory in &arguments.log {
        verification
            .check_log(directory)
            .map_err(|source| LedgerError::Unreadable {
                path: directory.clone(),
                source,
            })?;
    }
    let settings = settings::read(files.settings.as_deref())?;
    let ledger_settings = read_ledger_settings(&settings)?;
    if ledger_settings.store_path.is_some() || arguments.log.is_empty() {
        verification.check_store(&LedgerContext::new(ledger_settings)?)?;
    }
    verification.print()
}

impl Verification {
    fn check_log(&mut self, directory: &Path) -> io::Result<()> {
        let segments = log::segments(directory)?;
        let bar = progress::bar(segments.len() as u64, "segments");
        for (index, segment) in segments.iter().enumerate() {
            let bytes = std::fs::read(&segment.path)?;
            let is_last = index + 1 == segments.len();
            self.check_segment(segment, &bytes, is_last);
            bar.inc(1);
        }
        bar.finish_and_clear();
        Ok(())
    }

    fn check_segment(&mut self, segment: &Segment, bytes: &[u8], is_last: bool) {
        let name = segment.name();
        let entries_start = match log::parse_header(bytes) {
            Some(header) => header.entries_start,
            None => {
                let segment = name.clone();
                self.faults.push(Fault::UnreadableHeader { segment });
                log::MAGIC.len()
            }
        };
        let content = log::read_items(bytes, entries_start, usize::MAX);
        for item in &content.items {
            match item {
                log::SegmentItem::Entry(_) => self.entries += 1,
                log::SegmentItem::Damage { from, to } => self.faults.push(Fault::DamagedBytes {
                    segment: name.clone(),
                    from: *from,
                    to: *to,
                }),
            }
        }
        // Not a fault in the last segment: an aggregator may be writing to it.
        if content.end < bytes.len() && !is_last {
            self.faults.push(Fault::TruncatedRecord {
                segment: name,
                offset: content.end,
            });
        }
        self.segments += 1;
    }

    fn check_store(&mut self, context: &LedgerContext) -> Result<(), LedgerError> {
        let report = context
            .existing_store()?
            .verify(context.settings.join_bounds())?;
        self.ledger_items = report.checked;
        let faults = report.faults.into_iter();
        self.faults.extend(faults.map(Fault::Store));
        Ok(())
    }

    fn print(&self) -> Result<(), LedgerError> {
        for fault in &self.faults {
            output::print(format!("{fault}\n").as_bytes())?;
        }
        let summary = format!(
            "{} segments, {} entries, {} statements, documents and periods checked\n",
            self.segments, self.entries, self.ledger_items
        );
        output::print(summary.as_bytes())?;
        match self.faults.len() {
            0 => Ok(()),
            count => Err(LedgerError::Faults(count)),
        }
    }
}
