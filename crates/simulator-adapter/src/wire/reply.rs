//! Encodes replies. A reply is a header of three fields, the records, and the tail.

use super::input::InstanceId;
use aggregator_policy::api::{Action, ReplicaId};

/// Length of the header in bytes.
const HEADER_LENGTH: usize = 12;
/// Length of a record in bytes. Unused bytes are zero.
const RECORD_LENGTH: usize = 32;
/// Length of a replica's address and port in bytes.
const REPLICA_LENGTH: usize = 6;

/// Value of the field for the receiver in a gossip message to all aggregators.
const ALL_AGGREGATORS: u32 = u32::MAX;
/// Value of the field for `retry_after` in a rejection without one.
const NO_RETRY_AFTER: u64 = 0;

/// Codes of the kinds of records.
mod kind {
    pub const SEND_ATTEMPT: u8 = 1;
    pub const REJECT: u8 = 2;
    pub const FAIL: u8 = 3;
    pub const CANCEL_ATTEMPT: u8 = 4;
    pub const SET_TIMER: u8 = 5;
    pub const CHECK_HEALTH: u8 = 6;
    pub const CLOSE_IDLE_CONNECTIONS: u8 = 7;
    pub const SEND_GOSSIP: u8 = 8;
    pub const LOG: u8 = 9;
    pub const CRASH: u8 = 10;
    pub const WATCH_ENDPOINTS: u8 = 11;
    pub const FETCH_ENDPOINTS: u8 = 12;
    pub const ANSWER: u8 = 13;
}

/// The reply to one batch, while it is built.
#[derive(Default)]
pub struct BatchReply {
    records: Vec<u8>,
    record_count: u32,
    tail: Vec<u8>,
}

impl BatchReply {
    /// Encodes the reply to the batch with this number.
    pub fn to_bytes(&self, batch_number: u32) -> Vec<u8> {
        let body_length = self.records.len() + self.tail.len();
        let mut bytes = Vec::with_capacity(HEADER_LENGTH + body_length);
        bytes.extend(batch_number.to_le_bytes());
        bytes.extend(self.record_count.to_le_bytes());
        bytes.extend((body_length as u32).to_le_bytes());
        bytes.extend(&self.records);
        bytes.extend(&self.tail);
        bytes
    }

    /// Appends the record of an action that an instance has requested.
    pub fn push_action(&mut self, instance: InstanceId, action: &Action) {
        let new_record = |kind: u8| Record::new(kind, instance);
        let record = match action {
            Action::SendAttempt {
                part,
                replica,
                times_out_at,
                ..
            } => new_record(kind::SEND_ATTEMPT)
                .u64(*part)
                .replica(*replica)
                .u64(*times_out_at),
            Action::Reject { query, retry_after } => new_record(kind::REJECT)
                .u64(*query)
                .u64(retry_after.unwrap_or(NO_RETRY_AFTER)),
            Action::Fail { query } => new_record(kind::FAIL).u64(*query),
            Action::CancelAttempt { part, attempt } => {
                new_record(kind::CANCEL_ATTEMPT).u64(*part).u8(*attempt)
            }
            Action::SetTimer { token, after } => {
                new_record(kind::SET_TIMER).u64(*token).u64(*after)
            }
            Action::CheckHealth { replica } => new_record(kind::CHECK_HEALTH).replica(*replica),
            Action::CloseIdleConnections { replica } => {
                new_record(kind::CLOSE_IDLE_CONNECTIONS).replica(*replica)
            }
            Action::SendGossip { to, bytes } => new_record(kind::SEND_GOSSIP)
                .u32(to.unwrap_or(ALL_AGGREGATORS))
                .tail_range(self.append_to_tail(bytes)),
            Action::Log(text) => {
                new_record(kind::LOG).tail_range(self.append_to_tail(text.as_bytes()))
            }
            Action::WatchEndpoints { enabled } => {
                new_record(kind::WATCH_ENDPOINTS).u8(u8::from(*enabled))
            }
            Action::FetchEndpoints => new_record(kind::FETCH_ENDPOINTS),
            Action::Answer { query, complete } => {
                new_record(kind::ANSWER).u64(*query).u8(u8::from(*complete))
            }
        };
        self.push(record);
    }

    /// Appends a record of the panic of an instance, with the panic message.
    pub fn push_crash(&mut self, instance: InstanceId, message: &str) {
        let text = self.append_to_tail(message.as_bytes());
        self.push(Record::new(kind::CRASH, instance).tail_range(text));
    }

    fn push(&mut self, record: Record) {
        self.records.extend(record.bytes);
        self.record_count += 1;
    }

    fn append_to_tail(&mut self, bytes: &[u8]) -> TailRange {
        let offset = self.tail.len() as u32;
        self.tail.extend(bytes);
        TailRange {
            offset,
            length: bytes.len() as u32,
        }
    }
}

/// A range of bytes in the tail of a reply.
struct TailRange {
    offset: u32,
    length: u32,
}

/// One record of a reply, while it is built.
struct Record {
    bytes: [u8; RECORD_LENGTH],
    /// Number of bytes that have been written.
    length: usize,
}

impl Record {
    fn new(kind: u8, instance: InstanceId) -> Record {
        let record = Record {
            bytes: [0; RECORD_LENGTH],
            length: 0,
        };
        record.u8(kind).field(&instance.to_le_bytes())
    }

    fn field(mut self, bytes: &[u8]) -> Record {
        let end = self.length + bytes.len();
        self.bytes[self.length..end].copy_from_slice(bytes);
        self.length = end;
        self
    }

    fn u8(self, value: u8) -> Record {
        self.field(&[value])
    }

    fn u32(self, value: u32) -> Record {
        self.field(&value.to_le_bytes())
    }

    fn u64(self, value: u64) -> Record {
        self.field(&value.to_le_bytes())
    }

    fn replica(self, replica: ReplicaId) -> Record {
        self.field(&replica.0.to_le_bytes()[..REPLICA_LENGTH])
    }

    fn tail_range(self, range: TailRange) -> Record {
        self.u32(range.offset).u32(range.length)
    }
}
