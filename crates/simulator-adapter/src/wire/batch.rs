//! Reads batches. A batch is a header of four fields, the records, and the tail.

use super::error::{BatchError, RecordError};
use super::fields::Fields;
use aggregator_policy::api::Nanos;
use std::io::{ErrorKind, Read};

/// Length of the header in bytes, and offsets of its fields.
pub(super) const HEADER_LENGTH: usize = 20;
const NUMBER: usize = 0;
const BODY_LENGTH: usize = 4;
const CLOCK: usize = 8;
const RECORD_COUNT: usize = 16;

/// Length of a record in bytes.
const RECORD_LENGTH: usize = 56;

/// One batch from the simulator.
pub struct Batch {
    /// Number that identifies the batch and its reply.
    pub number: u32,
    /// Time of all events in the batch.
    pub clock: Nanos,
    records: Vec<u8>,
    tail: Vec<u8>,
}

impl Batch {
    /// Reads the next batch. Returns `None` at the end of the input.
    pub fn read(input: &mut impl Read) -> Result<Option<Batch>, BatchError> {
        let Some(header) = read_header(input)? else {
            return Ok(None);
        };
        let header = Fields::new(&header);
        let number = header.u32(NUMBER);
        let body_length = header.u32(BODY_LENGTH) as usize;
        let record_count = header.u32(RECORD_COUNT) as usize;
        let records_length = record_count
            .checked_mul(RECORD_LENGTH)
            .filter(|records_length| *records_length <= body_length)
            .ok_or(BatchError::RecordsDoNotFit {
                batch: number,
                records: record_count,
                length: body_length,
            })?;
        let mut records = read_body(input, number, body_length)?;
        let tail = records.split_off(records_length);
        Ok(Some(Batch {
            number,
            clock: header.u64(CLOCK),
            records,
            tail,
        }))
    }

    /// Returns the records in the order sent.
    pub fn records(&self) -> impl Iterator<Item = Fields<'_>> {
        self.records.chunks_exact(RECORD_LENGTH).map(Fields::new)
    }

    /// Returns the bytes at this offset and of this length in the tail.
    pub fn tail_bytes(&self, offset: u32, length: usize) -> Result<&[u8], RecordError> {
        let start = offset as usize;
        start
            .checked_add(length)
            .and_then(|end| self.tail.get(start..end))
            .ok_or(RecordError::OutsideTail {
                offset,
                length,
                tail_length: self.tail.len(),
            })
    }
}

/// Reads the header of a batch. Returns `None` if the input ends before the first byte.
fn read_header(input: &mut impl Read) -> Result<Option<[u8; HEADER_LENGTH]>, BatchError> {
    let mut header = [0; HEADER_LENGTH];
    let mut bytes_read = 0;
    while bytes_read < HEADER_LENGTH {
        match input.read(&mut header[bytes_read..]) {
            Ok(0) if bytes_read == 0 => return Ok(None),
            Ok(0) => return Err(BatchError::HeaderTruncated { bytes_read }),
            Ok(count) => bytes_read += count,
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return Err(BatchError::ReadHeader(error)),
        }
    }
    Ok(Some(header))
}

/// Reads the body of a batch. The buffer grows as bytes arrive, so that a wrong length in a header
/// does not allocate memory.
fn read_body(input: &mut impl Read, batch: u32, length: usize) -> Result<Vec<u8>, BatchError> {
    let mut body = Vec::new();
    input
        .take(length as u64)
        .read_to_end(&mut body)
        .map_err(|source| BatchError::ReadBody { batch, source })?;
    if body.len() < length {
        return Err(BatchError::BodyTruncated {
            batch,
            bytes_read: body.len(),
            length,
        });
    }
    Ok(body)
}
