//! Corrections, documents and their export.

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
        "one of each id"
    );
    assert_eq!(harness.store.documents().unwrap().len(), 3);
    harness.assert_verified();
}

/// The attempt has written the document to the folder, has posted nothing, and has not failed.
fn assert_only_in_folder(delivery: &Delivery) {
    let Delivery {
        in_folder,
        posted,
        error,
    } = delivery;
    assert!(*in_folder && !posted && error.is_none(), "{delivery:?}");
}

/// The process is killed between close and export, and between an export and the update of the
/// outbox: the same document is sent again.
#[test]
fn a_document_survives_crashes_under_one_id_with_the_same_bytes() {
    let mut harness = StoreHarness::new();
    harness.ingest(
        "n0",
        &batch(1, vec![What::Record(complete_record(1, FIRST_MS, 2))]),
    );
    harness.close(0, &[]);
    harness.restart();
    let folder = tempfile::tempdir().unwrap();
    let to = ExportTarget {
        folder: Some(folder.path().into()),
        url: None,
        timeout: Duration::from_secs(1),
        retry_delay: Duration::from_millis(1),
    };
    let waiting = harness.store.undelivered_documents(&to).unwrap();
    assert_only_in_folder(&export::deliver(&to, &waiting[0]));
    let bytes =
        |folder: &Path| std::fs::read(folder.join(format!("{}.json", waiting[0].id))).unwrap();
    let first = bytes(folder.path());
    // The document was sent, and the process was killed before the outbox was updated.
    harness.restart();
    let again = harness.store.undelivered_documents(&to).unwrap();
    assert_eq!(again, waiting);
    let delivery = export::deliver(&to, &again[0]);
    assert_only_in_folder(&delivery);
    harness
        .store
        .record_delivery(&again[0].id, &delivery, FIRST_MS)
        .unwrap();
    assert_eq!(
        (
            bytes(folder.path()),
            std::fs::read_dir(folder.path()).unwrap().count()
        ),
        (first, 1)
    );
    assert!(harness.store.undelivered_documents(&to).unwrap().is_empty());
    let again = Duration::from_millis(10);
    assert_eq!(
        [1, 2, 7, 99].map(|n| export::retry_backoff(again, n).as_millis()),
        [10, 20, 640, 640]
    );
}
