//! The settlement service end to end: collection over gRPC, closing, and export to a folder.

use std::collections::BTreeMap;
use std::fs;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use tokio::runtime::Runtime;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use usage_ledger::log;
use usage_ledger::period::{Calendar, PeriodLength};
use usage_ledger::settings::{ExportTarget, LedgerSettings, Member, Price, UsageLogSettings};
use usage_ledger::settlement::{self, SettlementSignal};
use usage_ledger::statement::Statement;
use usage_ledger::store::{Store, StoreError};
use usage_ledger::wire::{entry::What, Mark, Outcome, Record};
use usage_ledger::writer::{self, RunClass, RunTables, UsageLogWriter};

const PERIOD_MS: i64 = 1000;
/// Start of a period in the past, in Unix milliseconds.
const PERIOD_START_MS: i64 = 1_000_000_000_000;
/// Maximum time that a test waits for the service.
const TIMEOUT: Duration = Duration::from_secs(30);
/// Interval at which a test polls a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Waits until `condition` holds. `what` names the awaited event in the panic message.
fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "no {what} within {TIMEOUT:?}");
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Starts the writer of an aggregator's usage log, with collection at a port that the operating
/// system assigns.
fn start_log(directory: &Path, name: &str) -> UsageLogWriter {
    let settings = UsageLogSettings {
        directory: directory.into(),
        segment_bytes: 4096,
        max_log_bytes: 1 << 30,
        queue_entries: 1024,
        max_reply_delay: Duration::from_millis(5),
        watermark_interval: Duration::from_millis(100),
        listen_address: Some((Ipv4Addr::LOCALHOST, 0).into()),
    };
    let run_tables = RunTables {
        aggregator: name.into(),
        classes: vec![RunClass {
            name: "c".into(),
            client_timeout_ns: 100_000_000,
        }],
        tenants: vec!["t".into()],
    };
    writer::start(&settings, run_tables, 1_000_000_000).unwrap()
}

/// Returns the address at which a log is offered for collection.
fn collection_address(writer: &UsageLogWriter) -> SocketAddr {
    let address = writer.collection_address().unwrap();
    assert!(address.ip().is_loopback() && address.port() != 0);
    address
}

fn write_record(writer: &mut UsageLogWriter, sequence: u64, arrived_at_ms: i64) {
    let record = Record {
        key: sequence * 2,
        sequence,
        arrived_ms: arrived_at_ms as u64,
        outcome: Outcome::Whole.into(),
        ..Record::default()
    };
    assert!(writer.try_enqueue(What::Record(record)));
}

/// The service under test, with a store and an export folder in one directory.
struct Service {
    runtime: Runtime,
    signals: mpsc::Sender<SettlementSignal>,
    serve: JoinHandle<Result<(), StoreError>>,
    store: PathBuf,
    documents: PathBuf,
}

fn ledger_settings(directory: &Path, members: &[(&str, SocketAddr)]) -> LedgerSettings {
    let member = |(name, address): &(&str, SocketAddr)| {
        let member = Member {
            address: *address,
            from_ms: i64::MIN,
            until_ms: i64::MAX,
        };
        (name.to_string(), member)
    };
    let price = Price {
        complete: 10,
        partial: 7,
    };
    LedgerSettings {
        store_path: None,
        retry_delay: Duration::from_millis(20),
        idle_timeout: Duration::from_secs(5),
        calendar: Calendar(PeriodLength::Milliseconds(PERIOD_MS)),
        horizon_ms: 150,
        skew_ms: 20,
        grace_ms: i64::MAX / 2,
        members: members.iter().map(member).collect(),
        prices: BTreeMap::from([("c".to_string(), price)]),
        allowances: BTreeMap::new(),
        export: ExportTarget {
            folder: Some(directory.join("documents")),
            url: None,
            timeout: Duration::from_secs(1),
            retry_delay: Duration::from_millis(10),
        },
    }
}

impl Service {
    fn start(directory: &Path, settings: LedgerSettings) -> Service {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .unwrap();
        let store = directory.join("ledger.sqlite");
        // Creates the store first: the service and the test must not create it at the same time.
        drop(Store::open(&store).unwrap());
        let (signals, receiver) = mpsc::channel(1);
        let serve = runtime.spawn(settlement::serve(store.clone(), settings, receiver));
        Service {
            runtime,
            signals,
            serve,
            store,
            documents: directory.join("documents"),
        }
    }

    fn signal(&self, signal: SettlementSignal) {
        assert!(self.signals.blocking_send(signal).is_ok());
    }

    fn statements(&self) -> Vec<Statement> {
        let statements = Store::open(&self.store).unwrap().statements().unwrap();
        statements
            .into_iter()
            .map(|stored| stored.statement)
            .collect()
    }

    /// Returns the names of the files in the export folder.
    fn exported_files(&self) -> Vec<String> {
        let Ok(files) = fs::read_dir(&self.documents) else {
            return Vec::new();
        };
        let name = |file: fs::DirEntry| file.file_name().into_string().unwrap();
        files.map(|file| name(file.unwrap())).collect()
    }

    fn stop(self) {
        self.signal(SettlementSignal::Shutdown);
        self.runtime.block_on(self.serve).unwrap().unwrap();
    }
}

#[test]
fn records_are_collected_settled_exported_and_acknowledged() {
    let folder = tempfile::tempdir().unwrap();
    let log_directory = folder.path().join("log");
    let mut writer = start_log(&log_directory, "n0");
    let settings = ledger_settings(folder.path(), &[("n0", collection_address(&writer))]);
    let service = Service::start(folder.path(), settings);
    for sequence in 1..=500 {
        write_record(&mut writer, sequence, PERIOD_START_MS + sequence as i64);
    }
    // The period waits, since no watermark has stated that the records are complete.
    let store = Store::open(&service.store).unwrap();
    let is_collected = |sequence| store.position("n0").unwrap().sequence >= sequence;
    wait_for("records", || is_collected(500));
    assert!(service.statements().is_empty());
    let complete_until_ms = PERIOD_START_MS + 2 * PERIOD_MS;
    assert!(writer.try_enqueue(What::Mark(Mark {
        sequence: 500,
        complete_ms: complete_until_ms as u64,
        end: false,
    })));
    wait_for("statement", || !service.statements().is_empty());
    let statement = service.statements().remove(0);
    assert_eq!(
        (statement.lines[0].counts.requests, statement.total),
        (500, 5000)
    );
    assert!(!statement.members[0].is_missing);
    let document = "statement-2001-09-09T014640.000Z-t.json";
    wait_for("document", || {
        service.exported_files().contains(&document.into())
    });
    // Segments whose records are stored are removed after the next acknowledgement, except for the
    // last one.
    assert!(log::segments(&log_directory).unwrap().len() > 1);
    wait_for("acknowledgement", || {
        write_record(&mut writer, 501, PERIOD_START_MS + PERIOD_MS);
        log::segments(&log_directory).unwrap().len() == 1
    });
    service.stop();
    writer.close();
}

#[test]
fn a_reload_adds_members_and_a_log_of_another_name_is_rejected() {
    let folder = tempfile::tempdir().unwrap();
    let mut writers = [
        start_log(&folder.path().join("log-0"), "n0"),
        start_log(&folder.path().join("log-1"), "n1"),
    ];
    let [first, second] = writers.each_ref().map(collection_address);
    for writer in &mut writers {
        write_record(writer, 1, PERIOD_START_MS);
    }
    // The configured address of n1 is wrong: it is the address of n0's log.
    let settings = ledger_settings(folder.path(), &[("n0", first), ("n1", first)]);
    let service = Service::start(folder.path(), settings);
    wait_for("store", || service.store.exists());
    let store = Store::open(&service.store).unwrap();
    let collected_sequence = |member| store.position(member).unwrap().sequence;
    wait_for("records of n0", || collected_sequence("n0") == 1);
    assert_eq!(
        collected_sequence("n1"),
        0,
        "expected the log of n0 not to be collected as that of n1"
    );
    let corrected_settings = ledger_settings(folder.path(), &[("n0", first), ("n1", second)]);
    service.signal(SettlementSignal::Reload(Box::new(corrected_settings)));
    wait_for("records of n1", || collected_sequence("n1") == 1);
    service.stop();
    for writer in &mut writers {
        writer.close();
    }
}
