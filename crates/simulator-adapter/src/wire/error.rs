//! Why input from the simulator is invalid.

use std::io;

/// Why a batch can't be read or decoded.
#[derive(Debug, thiserror::Error)]
pub enum BatchError {
    /// The input ends within the header of a batch.
    #[error("batch header cut short after {bytes_read} bytes")]
    HeaderCutShort {
        /// Bytes of the header that were read.
        bytes_read: usize,
    },
    /// The header of a batch can't be read.
    #[error("cannot read a batch: {0}")]
    ReadHeader(#[source] io::Error),
    /// The body of a batch can't be read.
    #[error("batch {batch}: {source}")]
    ReadBody {
        /// The number of the batch.
        batch: u32,
        /// Why it can't be read.
        source: io::Error,
    },
    /// The header states more records than its body has space for.
    #[error("batch {batch}: {records} records do not fit in {length} bytes")]
    RecordsDoNotFit {
        /// The number of the batch.
        batch: u32,
        /// The stated number of records.
        records: usize,
        /// The stated length of the body.
        length: usize,
    },
    /// The input ends within the body of a batch.
    #[error("batch {batch} cut short: {bytes_read} of {length} bytes")]
    BodyCutShort {
        /// The number of the batch.
        batch: u32,
        /// Bytes of the body that were read.
        bytes_read: usize,
        /// The stated length of the body.
        length: usize,
    },
    /// A record is invalid.
    #[error("batch {batch}, record {record}: {source}")]
    Record {
        /// The number of the batch.
        batch: u32,
        /// The index of the record within the batch.
        record: usize,
        /// What is wrong with the record.
        source: RecordError,
    },
}

/// What is wrong with a record.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// The record is of a kind that is not known.
    #[error("unknown event code {0}")]
    UnknownKind(u8),
    /// An attempt or a health check ended in a way that is not known.
    #[error("unknown outcome {0}")]
    UnknownOutcome(u16),
    /// A replica on an endpoint list has a state that is not known.
    #[error("unknown standing {0} of a replica")]
    UnknownReplicaState(u8),
    /// An endpoint update is of a kind that is not known.
    #[error("unknown scope {0} of a list")]
    UnknownUpdateKind(u8),
    /// An endpoint update refers to a list that was not sent before.
    #[error("list {0} was never sent")]
    UnknownList(u32),
    /// The settings of an instance are not text.
    #[error("settings are not UTF-8")]
    SettingsNotUtf8,
    /// The record refers to bytes outside the tail of its batch.
    #[error("{length} bytes at {offset} lie past the tail of {tail_length}")]
    PastTail {
        /// Where the bytes begin.
        offset: u32,
        /// How many bytes there are.
        length: usize,
        /// The length of the tail.
        tail_length: usize,
    },
}
