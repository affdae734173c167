//! Decodes the records of a batch into inputs of policy instances.

use super::batch::Batch;
use super::endpoint_list::{EndpointLists, ENTRY_LENGTH};
use super::error::{BatchError, RecordError};
use super::event::decode_event;
use super::fields::Fields;
use aggregator_policy::api::Event;

/// Number of a policy instance, assigned by the simulator.
pub type InstanceId = u16;

/// An input together with the instance that receives it.
#[derive(Debug, PartialEq)]
pub struct AddressedInput {
    /// Number of the instance that receives the input.
    pub instance: InstanceId,
    /// Input for the instance.
    pub input: InstanceInput,
}

/// One input of a policy instance.
#[derive(Debug, PartialEq)]
pub enum InstanceInput {
    /// Start the instance. It replaces a running instance with the same number.
    Start {
        /// Seed of the policy's random choices.
        seed: u64,
        /// Settings of the policy, with one `key=value` pair per line.
        settings: String,
    },
    /// Stop the instance and drop its state.
    Stop,
    /// Pass an event to the policy.
    Event(Event),
}

/// Codes of the kinds of records that are not events.
mod kind {
    pub const START: u8 = 1;
    pub const ENDPOINT_LIST: u8 = 3;
    pub const STOP: u8 = 4;
}

/// Offset of the code in every record, and of the instance in every record except endpoint lists.
const KIND: usize = 0;
const INSTANCE: usize = 1;

/// Decodes the records of a batch in order, and stores the endpoint lists among them in `lists`. An
/// event refers to the list that was last sent before the event with the list number of the event,
/// since a batch may contain several lists with the same number.
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
