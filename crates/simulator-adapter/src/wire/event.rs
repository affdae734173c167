//! Decodes the records that are events of the policy.

use super::batch::Batch;
use super::endpoint_list::EndpointLists;
use super::error::RecordError;
use super::fields::Fields;
use aggregator_policy::api::{
    AttemptEnded, AttemptOutcome, EndpointUpdateKind, Event, HealthCheckEnded, LoadReport, Nanos,
    PartReceived, QueryReceived,
};

/// Codes of the kinds of events.
mod kind {
    pub const RESPONSE_STARTED: u8 = 2;
    pub const TIMER_FIRED: u8 = 5;
    pub const ATTEMPT_ENDED: u8 = 6;
    pub const REQUEST_RECEIVED: u8 = 7;
    pub const ENDPOINTS_UPDATED: u8 = 8;
    pub const GOSSIP_RECEIVED: u8 = 9;
    pub const CLIENT_DISCONNECTED: u8 = 10;
    pub const HEALTH_CHECK_ENDED: u8 = 11;
}

/// Codes of the outcomes of attempts and health checks.
mod outcome {
    pub const SUCCESS: u16 = 0;
    pub const NOT_SENT: u16 = 249;
    pub const CANCELLED: u16 = 250;
    pub const CONNECTION_LOST: u16 = 251;
    pub const UNREACHABLE: u16 = 252;
    pub const TIMED_OUT: u16 = 253;
    pub const REJECTED: u16 = 254;
    pub const ERROR: u16 = 255;
}

/// Decodes an event of this kind. The event may refer to an endpoint list in `lists` and to data of
/// variable length in the tail of `batch`.
pub fn decode_event(
    kind: u8,
    record: Fields,
    batch: &Batch,
    lists: &EndpointLists,
) -> Result<Event, RecordError> {
    match kind {
        kind::RESPONSE_STARTED => Ok(decode_response_started(record)),
        kind::TIMER_FIRED => Ok(decode_timer_fired(record)),
        kind::ATTEMPT_ENDED => decode_attempt_ended(record),
        kind::REQUEST_RECEIVED => Ok(decode_request_received(record)),
        kind::ENDPOINTS_UPDATED => decode_endpoints_updated(record, lists),
        kind::GOSSIP_RECEIVED => decode_gossip_received(record, batch),
        kind::CLIENT_DISCONNECTED => Ok(decode_client_disconnected(record)),
        kind::HEALTH_CHECK_ENDED => decode_health_check_ended(record),
        unknown => Err(RecordError::UnknownKind(unknown)),
    }
}

fn decode_response_started(record: Fields) -> Event {
    const PART_OFFSET: usize = 3;
    const REPLICA_OFFSET: usize = 11;
    const ATTEMPT_OFFSET: usize = 17;
    Event::ResponseStarted {
        part: record.u64(PART_OFFSET),
        attempt: record.u8(ATTEMPT_OFFSET),
        replica: record.replica(REPLICA_OFFSET),
    }
}

fn decode_timer_fired(record: Fields) -> Event {
    const TOKEN_OFFSET: usize = 3;
    Event::TimerFired {
        token: record.u64(TOKEN_OFFSET),
    }
}

fn decode_attempt_ended(record: Fields) -> Result<Event, RecordError> {
    const PART_OFFSET: usize = 3;
    const ATTEMPT_OFFSET: usize = 11;
    const REPLICA_OFFSET: usize = 12;
    const OUTCOME_OFFSET: usize = 18;
    const REPORT_OFFSET: usize = 29;
    Ok(Event::AttemptEnded(AttemptEnded {
        part: record.u64(PART_OFFSET),
        attempt: record.u8(ATTEMPT_OFFSET),
        replica: record.replica(REPLICA_OFFSET),
        outcome: decode_outcome(record.u16(OUTCOME_OFFSET))?,
        report: decode_load_report(record, REPORT_OFFSET),
    }))
}

/// Decodes a query or one of its parts. The field for the shard is negative in a query.
fn decode_request_received(record: Fields) -> Event {
    const SHARD_OFFSET: usize = 11;
    let shard = record.f32(SHARD_OFFSET);
    if shard >= 0.0 {
        Event::PartReceived(decode_part(record, shard as u32))
    } else {
        Event::QueryReceived(decode_query(record))
    }
}

/// Offsets of the fields that queries and parts have in common. The group is an integer that is
/// encoded as a floating-point number.
const REQUEST_ID_OFFSET: usize = 3;
const REQUEST_GROUP_OFFSET: usize = 33;

fn decode_part(record: Fields, shard: u32) -> PartReceived {
    const WEIGHT_OFFSET: usize = 50;
    PartReceived {
        id: record.u64(REQUEST_ID_OFFSET),
        group: record.f32(REQUEST_GROUP_OFFSET) as u32,
        shard,
        weight: f64::from(record.f32(WEIGHT_OFFSET)),
    }
}

fn decode_query(record: Fields) -> QueryReceived {
    const CLIENT_TIMEOUT_OFFSET: usize = 15;
    const EXPECTED_WORK_OFFSET: usize = 23;
    const CLASS_OFFSET: usize = 31;
    const TENANT_OFFSET: usize = 37;
    const FLAGS_OFFSET: usize = 49;
    const FLAG_HAS_EXPECTED_WORK: u8 = 1;
    const FLAG_IS_RETRY: u8 = 2;
    let flags = record.u8(FLAGS_OFFSET);
    let expected_work: Nanos = record.u64(EXPECTED_WORK_OFFSET);
    QueryReceived {
        id: record.u64(REQUEST_ID_OFFSET),
        group: record.f32(REQUEST_GROUP_OFFSET) as u32,
        class: record.u16(CLASS_OFFSET),
        tenant: record.u32(TENANT_OFFSET),
        client_timeout: record.u64(CLIENT_TIMEOUT_OFFSET),
        expected_work: (flags & FLAG_HAS_EXPECTED_WORK != 0).then_some(expected_work),
        is_retry: flags & FLAG_IS_RETRY != 0,
    }
}

fn decode_endpoints_updated(record: Fields, lists: &EndpointLists) -> Result<Event, RecordError> {
    const LIST_OFFSET: usize = 3;
    const UPDATE_KIND_OFFSET: usize = 15;
    const KIND_DELTA: u8 = 0;
    const KIND_SNAPSHOT: u8 = 1;
    const KIND_CACHED: u8 = 2;
    const KIND_UNAVAILABLE: u8 = 3;
    let kind = match record.u8(UPDATE_KIND_OFFSET) {
        KIND_DELTA => EndpointUpdateKind::Delta,
        KIND_SNAPSHOT => EndpointUpdateKind::Snapshot,
        KIND_CACHED => EndpointUpdateKind::Cached,
        KIND_UNAVAILABLE => EndpointUpdateKind::Unavailable,
        unknown => return Err(RecordError::UnknownUpdateKind(unknown)),
    };
    let entries = match kind {
        EndpointUpdateKind::Unavailable => Vec::new(),
        _ => lists.entries(record.u32(LIST_OFFSET))?,
    };
    Ok(Event::EndpointsUpdated { kind, entries })
}

fn decode_gossip_received(record: Fields, batch: &Batch) -> Result<Event, RecordError> {
    const FROM_OFFSET: usize = 3;
    const MESSAGE_START_OFFSET: usize = 7;
    const MESSAGE_LENGTH_OFFSET: usize = 11;
    let length = record.u32(MESSAGE_LENGTH_OFFSET) as usize;
    let bytes = batch.tail_bytes(record.u32(MESSAGE_START_OFFSET), length)?;
    Ok(Event::GossipReceived {
        from: record.u32(FROM_OFFSET),
        bytes: bytes.to_vec(),
    })
}

fn decode_client_disconnected(record: Fields) -> Event {
    const ID_OFFSET: usize = 3;
    Event::ClientDisconnected {
        id: record.u64(ID_OFFSET),
    }
}

fn decode_health_check_ended(record: Fields) -> Result<Event, RecordError> {
    const OUTCOME_OFFSET: usize = 3;
    const LATENCY_OFFSET: usize = 5;
    const REPLICA_OFFSET: usize = 13;
    const REPORT_OFFSET: usize = 19;
    Ok(Event::HealthCheckEnded(HealthCheckEnded {
        replica: record.replica(REPLICA_OFFSET),
        outcome: decode_outcome(record.u16(OUTCOME_OFFSET))?,
        latency: record.u64(LATENCY_OFFSET),
        report: decode_load_report(record, REPORT_OFFSET),
    }))
}

fn decode_outcome(code: u16) -> Result<AttemptOutcome, RecordError> {
    match code {
        outcome::SUCCESS => Ok(AttemptOutcome::Success),
        outcome::NOT_SENT => Ok(AttemptOutcome::NotSent),
        outcome::CANCELLED => Ok(AttemptOutcome::Cancelled),
        outcome::CONNECTION_LOST => Ok(AttemptOutcome::ConnectionLost),
        outcome::UNREACHABLE => Ok(AttemptOutcome::Unreachable),
        outcome::TIMED_OUT => Ok(AttemptOutcome::TimedOut),
        outcome::REJECTED => Ok(AttemptOutcome::Rejected),
        outcome::ERROR => Ok(AttemptOutcome::Error),
        unknown => Err(RecordError::UnknownOutcome(unknown)),
    }
}

/// Decodes a load report: one byte with the number of values, followed by the values.
fn decode_load_report(record: Fields, offset: usize) -> LoadReport {
    const MAX_VALUES: usize = 4;
    const VALUES_OFFSET: usize = 1;
    const VALUE_LENGTH: usize = 4;
    let count = usize::from(record.u8(offset)).min(MAX_VALUES);
    (0..count)
        .map(|index| record.f32(offset + VALUES_OFFSET + index * VALUE_LENGTH))
        .collect()
}
