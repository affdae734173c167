//! Decodes and stores endpoint lists. The simulator sends each list once, with a number that events
//! refer to.

use super::error::RecordError;
use super::fields::Fields;
use aggregator_policy::api::{ReplicaEntry, ReplicaState};
use std::collections::BTreeMap;

/// Length of an entry in bytes. The offsets of the fields of an entry follow.
pub const ENTRY_LENGTH: usize = 25;
const CELL: usize = 0;
const REPLICA: usize = 2;
const ZONE: usize = 8;
const STARTED: usize = 14;
const STATE: usize = 24;

/// Codes of the state of a replica.
const STATE_GONE: u8 = 0;
const STATE_READY: u8 = 1;
const STATE_DRAINING: u8 = 2;

/// The lists that the simulator has sent, by number.
#[derive(Default)]
pub struct EndpointLists {
    by_number: BTreeMap<u32, Vec<ReplicaEntry>>,
}

impl EndpointLists {
    /// Decodes a list and stores it, replacing an earlier list with the same number.
    pub fn insert(&mut self, number: u32, bytes: &[u8]) -> Result<(), RecordError> {
        let entries: Vec<ReplicaEntry> = bytes
            .chunks_exact(ENTRY_LENGTH)
            .map(decode_entry)
            .collect::<Result<_, _>>()?;
        self.by_number.insert(number, entries);
        Ok(())
    }

    /// Returns the entries of the last list with this number.
    pub fn entries(&self, number: u32) -> Result<Vec<ReplicaEntry>, RecordError> {
        self.by_number
            .get(&number)
            .cloned()
            .ok_or(RecordError::UnknownList(number))
    }
}

fn decode_entry(bytes: &[u8]) -> Result<ReplicaEntry, RecordError> {
    let fields = Fields::new(bytes);
    Ok(ReplicaEntry {
        replica: fields.replica(REPLICA),
        cell: fields.u16(CELL),
        zone: fields.u16(ZONE),
        started_at: fields.u64(STARTED),
        state: decode_state(fields.u8(STATE))?,
    })
}

fn decode_state(code: u8) -> Result<ReplicaState, RecordError> {
    match code {
        STATE_GONE => Ok(ReplicaState::Gone),
        STATE_READY => Ok(ReplicaState::Ready),
        STATE_DRAINING => Ok(ReplicaState::Draining),
        unknown => Err(RecordError::UnknownReplicaState(unknown)),
    }
}
