//! Ingestion of batches that are delivered repeatedly, for example after a crash.

use crate::harness::{
    batch, complete_record, own_requests, rejected, retry, watermark, StoreHarness, FIRST_MS,
};
use usage_ledger::log::LogPosition;
use usage_ledger::wire::entry::What;

#[test]
fn ingesting_the_same_records_again_changes_nothing() {
    let mut harness = StoreHarness::new();
    let first_batch = batch(
        1,
        vec![
            What::Record(complete_record(1, FIRST_MS, 2)),
            rejected(2, FIRST_MS + 5, 4),
        ],
    );
    let second_batch = batch(
        1,
        vec![
            retry(complete_record(3, FIRST_MS + 60, 4)),
            watermark(3, FIRST_MS + 5000, false),
        ],
    );
    assert_eq!(harness.ingest("n0", &first_batch).new, 2);
    // The settlement is killed between ingestion and acknowledgement, so the batch is sent again.
    harness.restart();
    assert_eq!(
        (
            harness.ingest("n0", &first_batch).known,
            harness.ingest("n0", &second_batch).new,
            harness.ingest("n0", &first_batch).known
        ),
        (2, 1, 2)
    );
    assert_eq!(
        harness.store.position("n0").unwrap(),
        LogPosition {
            incarnation: 1,
            sequence: 3
        }
    );
    let statement = harness.close(0, &[]);
    assert_eq!(
        (
            own_requests(&statement),
            statement.total,
            statement.lines[0].counts.records
        ),
        (2, 20, 3)
    );
    assert_eq!(harness.store.member_statuses().unwrap()[0].lost_records, 0);
    assert!(
        (
            statement.tenants[0].over_allowance,
            statement.tenants[0].answered
        ) == (1, 2),
        "expected two answered requests, one of them over the allowance of 1"
    );
    harness.assert_verified();
}
