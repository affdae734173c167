//! Decodes a batch into the inputs of policy instances.

use super::batch::Batch;
use super::endpoint_list::{EndpointLists, ENTRY_LENGTH};
use super::error::{BatchError, RecordError};
use super::event::decode_event;
use super::fields::Fields;
use aggregator_policy::api::Event;

/// The number of a policy instance.
pub type InstanceId = u16;

/// An input and the instance that it is for.
#[derive(Debug, PartialEq)]
pub struct AddressedInput {
    /// The instance.
    pub instance: InstanceId,
    /// The input.
    pub input: InstanceInput,
}

/// One input of a policy instance.
#[derive(Debug, PartialEq)]
pub enum InstanceInput {
    /// Start the instance, and replace one that runs under its number.
    Start {
        /// The seed of its random numbers.
        seed: u64,
        /// Its settings, a `key=value` pair a line.
        settings: String,
    },
    /// Stop the instance and drop its state.
    Stop,
    /// An event for the policy.
    Event(Event),
}

/// The kinds of records that are not events, by their codes.
mod kind {
    pub const START: u8 = 1;
    pub const ENDPOINT_LIST: u8 = 3;
    pub const STOP: u8 = 4;
}

/// The offset of the code in every record, and of the instance in all but endpoint lists.
const KIND: usize = 0;
const INSTANCE: usize = 1;

/// Decodes the records of a batch in their order. Endpoint lists are stored and looked up record by
/// record, since a batch may send several lists under one number.
pub fn decode_inputs(
    batch: &Batch,
    lists: &mut EndpointLists,
) -> Result<Vec<AddressedInput>, BatchError> {
    let mut inputs = Vec::new();
    for (index, record) in batch.records().enumerate() {
        let invalid = |source| BatchError::Record {
            batch: batch.number,
            record: index,
            source,
        };
        if record.u8(KIND) == kind::ENDPOINT_LIST {
            store_endpoint_list(record, batch, lists).map_err(invalid)?;
        } else {
            let input = decode_input(record, batch, lists).map_err(invalid)?;
            let instance = record.u16(INSTANCE);
            inputs.push(AddressedInput { instance, input });
        }
    }
    Ok(inputs)
}

fn store_endpoint_list(
    record: Fields,
    batch: &Batch,
    lists: &mut EndpointLists,
) -> Result<(), RecordError> {
    const NUMBER: usize = 1;
    const ENTRIES_OFFSET: usize = 5;
    const ENTRY_COUNT: usize = 9;
    let length = (record.u32(ENTRY_COUNT) as usize).saturating_mul(ENTRY_LENGTH);
    let bytes = batch.tail_bytes(record.u32(ENTRIES_OFFSET), length)?;
    lists.insert(record.u32(NUMBER), bytes)
}

fn decode_input(
    record: Fields,
    batch: &Batch,
    lists: &EndpointLists,
) -> Result<InstanceInput, RecordError> {
    match record.u8(KIND) {
        kind::START => decode_start(record, batch),
        kind::STOP => Ok(InstanceInput::Stop),
        event_kind => decode_event(event_kind, record, batch, lists).map(InstanceInput::Event),
    }
}

fn decode_start(record: Fields, batch: &Batch) -> Result<InstanceInput, RecordError> {
    const SEED: usize = 3;
    const SETTINGS_OFFSET: usize = 11;
    const SETTINGS_LENGTH: usize = 15;
    let length = record.u32(SETTINGS_LENGTH) as usize;
    let bytes = batch.tail_bytes(record.u32(SETTINGS_OFFSET), length)?;
    let settings = String::from_utf8(bytes.to_vec()).map_err(|_| RecordError::SettingsNotUtf8)?;
    Ok(InstanceInput::Start {
        seed: record.u64(SEED),
        settings,
    })
}
