//! Tests of the adapter program: bytes on standard input, bytes on standard output.

mod support {
    pub mod adapter;
    pub mod batch;
}

use std::collections::BTreeSet;
use support::adapter::{error_line, replies, run, ReplyRecord};
use support::batch::{Batch, Endpoint, CACHED, CLOCK, DELTA, SETTINGS, SNAPSHOT, UNAVAILABLE};

/// Codes of the records of a reply.
const SEND_ATTEMPT: u8 = 1;
const SET_TIMER: u8 = 5;

/// Offsets of the part and the replica in the record of an attempt.
const ATTEMPT_PART: usize = 3;
const ATTEMPT_REPLICA: usize = 11;
/// Length of a replica's address and port in bytes.
const REPLICA_LENGTH: usize = 6;

/// Offset of the record count in the header of a batch.
const RECORD_COUNT: usize = 16;

#[test]
fn an_empty_batch_gets_an_empty_reply_and_the_adapter_succeeds() {
    let output = run(&Batch::new(1).to_bytes());
    assert!(output.status.success());
    assert_eq!(output.stdout, [1, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0]);
}

#[test]
fn an_attempt_record_names_a_listed_replica_in_the_specified_layout() {
    let address = [10, 18, 74, 7, 0x2b, 0x23];
    let batch = Batch::new(5)
        .start(3, SETTINGS)
        .endpoint_list(0, &address)
        .endpoints_updated(3, 0)
        .query(3, 77)
        .part(3, 78, 0.0);
    let output = run(&batch.to_bytes());
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    let reply = &replies(&output)[0];
    let attempt = reply
        .iter()
        .find(|record| record[0] == SEND_ATTEMPT)
        .expect("expected an attempt in the reply");
    assert_eq!(attempt[1..3], [3, 0]);
    assert_eq!(attempt[3..11], 78u64.to_le_bytes());
    assert_eq!(attempt[11..17], address);
    assert!(
        reply.iter().any(|record| record[0] == SET_TIMER),
        "expected a timer in the reply"
    );
}

#[test]
fn a_list_number_that_is_reused_within_a_batch_is_resolved_in_order() {
    let (old_address, new_address) = ([1; 6], [2; 6]);
    let mut batch = Batch::new(1)
        .start(0, SETTINGS)
        .start(1, SETTINGS)
        .endpoint_list(4, &old_address)
        .endpoints_updated(0, 4)
        .endpoint_list(4, &new_address)
        .endpoints_updated(1, 4);
    for instance in [0, 1] {
        batch = batch.query(instance, 7).part(instance, 8, 0.0);
    }
    let output = run(&batch.to_bytes());
    let attempts: Vec<_> = replies(&output)[0]
        .iter()
        .filter(|record| record[0] == SEND_ATTEMPT)
        .map(|record| (record[1], record[11]))
        .collect();
    assert_eq!(attempts, [(0, 1), (1, 2)]);
}

#[test]
fn a_stopped_instance_keeps_no_state() {
    let first = Batch::new(1)
        .start(0, SETTINGS)
        .endpoint_list(0, &[1; 6])
        .endpoints_updated(0, 0)
        .query(0, 7)
        .part(0, 8, 0.0);
    let second = Batch::new(2).stop(0).start(0, SETTINGS).timer_fired(0);
    let output = run(&[first.to_bytes(), second.to_bytes()].concat());
    assert!(output.status.success());
    assert_eq!(replies(&output)[1], Vec::<Vec<u8>>::new());
}

#[test]
fn malformed_batches_are_reported_with_their_cause() {
    let error_of = |batch: Batch| error_line(&batch.to_bytes());
    assert!(error_line(&[1, 2, 3]).contains("header truncated: read 3 of 20 bytes"));
    let complete = Batch::new(6).timer_fired(0).to_bytes();
    assert!(error_line(&complete[..40]).contains("batch 6 truncated"));
    let mut too_many_records = complete.clone();
    too_many_records[RECORD_COUNT] = 9;
    assert!(error_line(&too_many_records).contains("do not fit"));
    let unknown_code = Batch::new(1).record(&[&[99]]);
    assert!(error_of(unknown_code).contains("unknown record code 99"));
    let outside_tail = [
        &[1][..],
        &[0; 10],
        &50u32.to_le_bytes(),
        &9u32.to_le_bytes(),
    ];
    assert!(error_of(Batch::new(1).record(&outside_tail)).contains("outside the tail"));
    assert!(error_of(Batch::new(1).endpoints_updated(0, 3)).contains("list 3"));
    let unknown_outcome = [&[6][..], &[0; 17], &77u16.to_le_bytes()];
    assert!(error_of(Batch::new(1).record(&unknown_outcome)).contains("unknown outcome code 77"));
}

#[test]
fn invalid_settings_are_reported_by_their_key() {
    let error_with = |valid: &str, invalid: &str| {
        let settings = SETTINGS.replace(valid, invalid);
        error_line(&Batch::new(1).start(0, &settings).to_bytes())
    };
    assert!(error_with("tick_ns=5000000\n", "").contains("tick_ns is missing"));
    assert!(error_with("aim_ns=2000000000", "aim_ns=0").contains("classes.0.aim_ns"));
    assert!(error_with("least_share=1.0", "least_share=NaN").contains("extra.least_share"));
    assert!(error_with("read_like", "whatever").contains("classes.0.semantics"));
}

/// Two replicas with different addresses, in different cells and zones.
const FIRST: Endpoint = Endpoint {
    cell: 0x0001,
    address: [0x11, 0x12, 0x13, 0x14, 0x15, 0x16],
    zone: 0x2122,
    started: 0,
};
const SECOND: Endpoint = Endpoint {
    cell: 0x0000,
    address: [0x31, 0x32, 0x33, 0x34, 0x35, 0x36],
    zone: 0x4142,
    started: 0,
};

/// Returns the part and the replica of each attempt in a reply.
fn attempts(reply: &[ReplyRecord]) -> Vec<(u8, [u8; REPLICA_LENGTH])> {
    let attempts = reply.iter().filter(|record| record[0] == SEND_ATTEMPT);
    let replica = |record: &ReplyRecord| {
        let end = ATTEMPT_REPLICA + REPLICA_LENGTH;
        record[ATTEMPT_REPLICA..end].try_into().unwrap()
    };
    attempts
        .map(|record| (record[ATTEMPT_PART], replica(record)))
        .collect()
}

/// Appends a query to the batch, with one part on shard 0 for each identifier in `parts`.
fn query_with_parts(batch: Batch, parts: std::ops::Range<u64>) -> Batch {
    let batch = batch.query(0, 7);
    parts.fold(batch, |batch, part| batch.part(0, part, 0.0))
}

/// Returns the replicas in use after a snapshot with `FIRST` and an update of this kind with
/// `SECOND`.
fn replicas_after(kind: u8) -> BTreeSet<[u8; REPLICA_LENGTH]> {
    let batch = Batch::new(1)
        .start(0, SETTINGS)
        .endpoint_list_of(1, &[FIRST])
        .endpoint_list_of(2, &[SECOND])
        .endpoints_updated_as(0, 1, SNAPSHOT)
        .endpoints_updated_as(0, 2, kind);
    let output = run(&query_with_parts(batch, 10..40).to_bytes());
    assert!(output.status.success());
    let attempts = attempts(&replies(&output)[0]);
    attempts.into_iter().map(|(_, replica)| replica).collect()
}

#[test]
fn only_complete_endpoint_updates_replace_earlier_endpoints() {
    let (first, second) = (FIRST.address, SECOND.address);
    assert_eq!(replicas_after(DELTA), BTreeSet::from([first, second]));
    assert_eq!(replicas_after(SNAPSHOT), BTreeSet::from([second]));
    assert_eq!(replicas_after(CACHED), BTreeSet::from([second]));
    assert_eq!(replicas_after(UNAVAILABLE), BTreeSet::from([first]));
}

#[test]
fn a_part_goes_to_the_replica_in_the_cell_that_holds_its_shard() {
    let settings = SETTINGS.replace("places=1", "places=2");
    let batch = Batch::new(1)
        .start(0, &settings)
        .endpoint_list_of(1, &[FIRST, SECOND])
        .endpoints_updated(0, 1)
        .query(0, 7)
        .part(0, 10, 0.0)
        .part(0, 11, 1.0);
    let output = run(&batch.to_bytes());
    let mut attempts = attempts(&replies(&output)[0]);
    attempts.sort_unstable();
    assert_eq!(attempts, [(10, SECOND.address), (11, FIRST.address)]);
}

/// A replica is warming up for 5 s after its start, and gets few parts during that time.
#[test]
fn the_start_time_of_a_replica_decides_whether_it_is_warming_up() {
    const PARTS: usize = 30;
    const SECOND_NS: u64 = 1_000_000_000;
    let settings = format!(
        "{SETTINGS}guarantees.cold_from=0.5\nguarantees.cold_ns=5000000000\n\
guarantees.fall_multiple=2\nguarantees.fall_ns=1000000000\n"
    );
    let attempts_with_start_time = |started: u64| {
        let endpoint = Endpoint { started, ..SECOND };
        let batch = Batch::new(1)
            .start(0, &settings)
            .endpoint_list_of(1, &[endpoint])
            .endpoints_updated(0, 1);
        let output = run(&query_with_parts(batch, 10..10 + PARTS as u64).to_bytes());
        attempts(&replies(&output)[0]).len()
    };
    assert!(attempts_with_start_time(CLOCK - SECOND_NS) < PARTS);
    assert_eq!(attempts_with_start_time(CLOCK - 6 * SECOND_NS), PARTS);
}

#[test]
fn a_part_belongs_to_the_query_of_its_group() {
    let batch = Batch::new(1)
        .start(0, SETTINGS)
        .endpoint_list_of(1, &[SECOND])
        .endpoints_updated(0, 1)
        .query_in_group(0, 7, 4.0)
        .query_in_group(0, 8, 5.0)
        .client_disconnected(0, 7)
        .part_in_group(0, 10, 4.0)
        .part_in_group(0, 11, 5.0);
    let output = run(&batch.to_bytes());
    let attempts = attempts(&replies(&output)[0]);
    assert_eq!(
        attempts,
        [(11, SECOND.address)],
        "expected no attempt at part 10, whose client has disconnected"
    );
}
