//! Corrections, documents and their delivery.

use crate::harness::{batch, complete_record, period, StoreHarness, FIRST_MS};
use std::path::Path;
use std::time::Duration;
use usage_ledger::document::Document;
use usage_ledger::export::{self, Delivery};
use usage_ledger::settings::ExportTarget;
use usage_ledger::statement::CorrectionLine;
use usage_ledger::wire::entry::What;

#[test]
fn a_correction_joins_an_open_statement_or_becomes_a_document() {
    let mut harness = StoreHarness::new();
    harness.ingest(
        "n0",
        &batch(1, vec![What::Record(complete_record(1, FIRST_MS, 2))]),
    );
    let correction = |id: &str, amount| CorrectionLine {
        id: id.into(),
        tenant: "t".into(),
        amount,
        reason: "r".into(),
        author: "a".into(),
    };
    assert!(harness
        .store
        .enter_correction(&correction("early", -3), period(0), FIRST_MS)
        .unwrap()
        .is_none());
    let statement = harness.close(0, &[]);
    assert_eq!((statement.total, statement.corrections.len()), (7, 1));
    let credit = harness
        .store
        .enter_correction(&correction("late", -4), period(0), FIRST_MS)
        .unwrap()
        .unwrap();
    let hash = harness.store.statements().unwrap().remove(0).hash;
    assert_eq!(
        (
            credit.kind.as_str(),
            credit.amount,
            credit.corrected_statement.clone().unwrap().hash
        ),
        ("credit", -4, hash)
    );
    assert_eq!(
        credit.corrected_statement.unwrap().document_id,
        Document::of_statement(&statement)[0].id
    );
    assert_eq!(
        harness
            .store
            .enter_correction(&correction("more", 4), period(0), FIRST_MS)
            .unwrap()
            .unwrap()
            .kind
            .as_str(),
        "debit"
    );
    assert!(
        harness
            .store
            .enter_correction(&correction("late", -4), period(0), FIRST_MS)
            .is_err(),
        "expected an error for a correction with an id that exists"
    );
    assert_eq!(harness.store.documents().unwrap().len(), 3);
    harness.assert_verified();
}

/// Asserts that an attempt has written the document to the folder, posted nothing and succeeded.
fn assert_only_in_folder(delivery: &Delivery) {
    let Delivery {
        is_in_folder,
        is_posted,
        error,
    } = delivery;
    assert!(
        *is_in_folder && !is_posted && error.is_none(),
        "expected a delivery to the folder only: {delivery:?}"
    );
}

/// If the process is killed after a period was closed, or after a document was sent but before the
/// outbox was updated, the same document must be sent again.
#[test]
fn a_document_keeps_its_id_and_bytes_after_crashes() {
    let mut harness = StoreHarness::new();
    harness.ingest(
        "n0",
        &batch(1, vec![What::Record(complete_record(1, FIRST_MS, 2))]),
    );
    harness.close(0, &[]);
    harness.restart();
    let folder = tempfile::tempdir().unwrap();
    let target = ExportTarget {
        folder: Some(folder.path().into()),
        url: None,
        timeout: Duration::from_secs(1),
        retry_delay: Duration::from_millis(1),
    };
    let pending = harness.store.undelivered_documents(&target).unwrap();
    assert_only_in_folder(&export::deliver(&target, &pending[0]));
    let bytes =
        |folder: &Path| std::fs::read(folder.join(format!("{}.json", pending[0].id))).unwrap();
    let first_bytes = bytes(folder.path());
    // The document has been sent, but the process is killed before the outbox is updated.
    harness.restart();
    let pending_after_restart = harness.store.undelivered_documents(&target).unwrap();
    assert_eq!(pending_after_restart, pending);
    let delivery = export::deliver(&target, &pending_after_restart[0]);
    assert_only_in_folder(&delivery);
    harness
        .store
        .record_delivery(&pending_after_restart[0].id, &delivery, FIRST_MS)
        .unwrap();
    assert_eq!(
        (
            bytes(folder.path()),
            std::fs::read_dir(folder.path()).unwrap().count()
        ),
        (first_bytes, 1)
    );
    assert!(harness
        .store
        .undelivered_documents(&target)
        .unwrap()
        .is_empty());
    let retry_delay = Duration::from_millis(10);
    assert_eq!(
        [1, 2, 7, 99].map(|attempts| export::retry_backoff(retry_delay, attempts).as_millis()),
        [10, 20, 640, 640]
    );
}
