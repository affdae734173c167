//! Verification of a store after tampering, and rejection of a newer schema.

use crate::harness::{batch, complete_record, StoreHarness, BOUNDS, FIRST_MS};
use usage_ledger::store::{Store, VerificationFault};
use usage_ledger::wire::entry::What;

#[test]
fn verification_finds_tampering_and_a_newer_schema_is_rejected() {
    let tampering = [
        (
            "UPDATE statement SET body = replace(body, '\"total\":10', '\"total\":11')",
            "is not what was hashed",
        ),
        (
            "UPDATE line SET uses = uses + 1",
            "differ from the records by -1",
        ),
        ("DELETE FROM record", "differ from the records by -1"),
        (
            "UPDATE outbox SET body = body || ' '",
            "document statement-",
        ),
        (
            "DELETE FROM statement WHERE period = 1000000",
            "does not follow",
        ),
    ];
    for (sql, expected_text) in tampering {
        let mut harness = StoreHarness::new();
        harness.ingest(
            "n0",
            &batch(1, vec![What::Record(complete_record(1, FIRST_MS, 2))]),
        );
        harness.close(0, &[]);
        harness.close(1, &[]);
        harness.assert_verified();
        rusqlite::Connection::open(&harness.path)
            .unwrap()
            .execute(sql, [])
            .unwrap();
        let faults = harness.store.verify(BOUNDS).unwrap().faults;
        assert!(
            faults
                .iter()
                .any(|fault| fault.to_string().contains(expected_text)),
            "expected a fault with '{expected_text}' after '{sql}': {faults:?}"
        );
    }
    let harness = StoreHarness::new();
    rusqlite::Connection::open(&harness.path)
        .unwrap()
        .pragma_update(None, "user_version", 99)
        .unwrap();
    assert!(Store::open(&harness.path)
        .err()
        .unwrap()
        .to_string()
        .contains("newer release"));
}

#[test]
fn faults_have_their_published_texts() {
    let period = || "P".to_string();
    let faults = [
        VerificationFault::DamagedFile {
            finding: "page 3 is never used".into(),
        },
        VerificationFault::StatementChanged { period: period() },
        VerificationFault::ChainBroken { period: period() },
        VerificationFault::WrongTotal {
            period: period(),
            sum: 10,
            total: 11,
        },
        VerificationFault::DocumentChanged { id: "D".into() },
        VerificationFault::RecordsDiffer {
            period: period(),
            tenant: Some("t".into()),
            class: None,
            requests: -1,
        },
    ];
    assert_eq!(
        faults.map(|fault| fault.to_string()),
        [
            "the file is damaged: page 3 is never used",
            "statement P: its text is not what was hashed",
            "statement P: does not follow the one before it",
            "statement P: its lines come to 10, its total is 11",
            "document D: its text is not what was hashed",
            "period P: Some(\"t\") None: statements differ from the records by -1 uses",
        ]
    );
}
