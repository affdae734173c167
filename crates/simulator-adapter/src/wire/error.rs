//! Errors in the input from the simulator.

use super::batch::HEADER_LENGTH;
use std::io;

/// An error in reading or decoding a batch.
#[derive(Debug, thiserror::Error)]
pub enum BatchError {
    /// The input ends within the header of a batch.
    #[error("batch header truncated: read {bytes_read} of {HEADER_LENGTH} bytes")]
    HeaderTruncated {
        /// Number of bytes of the header that were read.
        bytes_read: usize,
    },
    /// The header of a batch cannot be read.
    #[error("cannot read batch header: {0}")]
    ReadHeader(#[source] io::Error),
    /// The body of a batch cannot be read.
    #[error("cannot read body of batch {batch}: {source}")]
    ReadBody {
        /// Number that the header gives the batch.
        batch: u32,
        /// Cause of the failure.
        source: io::Error,
    },
    /// The header states more records than fit into the body.
    #[error("batch {batch}: {records} records do not fit into a body of {length} bytes")]
    RecordsDoNotFit {
        /// Number that the header gives the batch.
        batch: u32,
        /// Number of records in the header.
        records: usize,
        /// Length of the body in the header, in bytes.
        length: usize,
    },
    /// The input ends within the body of a batch.
    #[error("body of batch {batch} truncated: read {bytes_read} of {length} bytes")]
    BodyTruncated {
        /// Number that the header gives the batch.
        batch: u32,
        /// Number of bytes of the body that were read.
        bytes_read: usize,
        /// Length of the body in the header, in bytes.
        length: usize,
    },
    /// A record is invalid.
    #[error("batch {batch}, record {record}: {source}")]
    Record {
        /// Number that the header gives the batch.
        batch: u32,
        /// Index of the record within the batch, from 0.
        record: usize,
        /// What is invalid in the record.
        source: RecordError,
    },
}

/// An error in a record.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// The code for the kind of the record is unknown.
    #[error("unknown record code {0}")]
    UnknownKind(u8),
    /// The code for the outcome of an attempt or a health check is unknown.
    #[error("unknown outcome code {0}")]
    UnknownOutcome(u16),
    /// The code for the state of a replica on an endpoint list is unknown.
    #[error("unknown replica state code {0}")]
    UnknownReplicaState(u8),
    /// The code for the kind of an endpoint update is unknown.
    #[error("unknown endpoint update code {0}")]
    UnknownUpdateKind(u8),
    /// An endpoint update refers to a list that has not been sent.
    #[error("endpoint list {0} has not been sent")]
    UnknownList(u32),
    /// The settings of an instance are not valid UTF-8.
    #[error("settings are not valid UTF-8")]
    SettingsNotUtf8,
    /// The record refers to bytes outside the tail of the batch.
    #[error("{length} bytes at offset {offset} are outside the tail of {tail_length} bytes")]
    OutsideTail {
        /// Offset of the bytes in the tail.
        offset: u32,
        /// Number of bytes.
        length: usize,
        /// Length of the tail in bytes.
        tail_length: usize,
    },
}
