//! The adapter as the simulator runs it: bytes in, bytes out.

mod support {
    pub mod adapter;
    pub mod batch;
}

use support::adapter::{error_line, replies, run};
use support::batch::{Batch, SETTINGS};

/// Codes of records in a reply.
const SEND_ATTEMPT: u8 = 1;
const SET_TIMER: u8 = 5;

/// The offset of the record count in the header of a batch.
const RECORD_COUNT: usize = 16;

#[test]
fn an_empty_batch_gets_an_empty_reply_and_the_end_of_input_is_a_success() {
    let output = run(&Batch::new(1).to_bytes());
    assert!(output.status.success());
    assert_eq!(output.stdout, [1, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0]);
}

#[test]
fn an_attempt_goes_to_a_replica_on_the_endpoint_list_in_the_specified_layout() {
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
        .expect("an attempt");
    assert_eq!(attempt[1..3], [3, 0]);
    assert_eq!(attempt[3..11], 78u64.to_le_bytes());
    assert_eq!(attempt[11..17], address);
    assert!(
        reply.iter().any(|record| record[0] == SET_TIMER),
        "and a timer"
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
    assert!(error_line(&[1, 2, 3]).contains("header cut short"));
    let complete = Batch::new(6).timer_fired(0).to_bytes();
    assert!(error_line(&complete[..40]).contains("batch 6 cut short"));
    let mut too_many_records = complete.clone();
    too_many_records[RECORD_COUNT] = 9;
    assert!(error_line(&too_many_records).contains("do not fit"));
    let unknown_code = Batch::new(1).record(&[&[99]]);
    assert!(error_of(unknown_code).contains("unknown event code 99"));
    let past_tail = [
        &[1][..],
        &[0; 10],
        &50u32.to_le_bytes(),
        &9u32.to_le_bytes(),
    ];
    assert!(error_of(Batch::new(1).record(&past_tail)).contains("past the tail"));
    assert!(error_of(Batch::new(1).endpoints_updated(0, 3)).contains("list 3"));
    let unknown_outcome = [&[6][..], &[0; 17], &77u16.to_le_bytes()];
    assert!(error_of(Batch::new(1).record(&unknown_outcome)).contains("unknown outcome 77"));
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
