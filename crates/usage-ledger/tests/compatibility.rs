//! Compatibility with earlier releases: their data must still be read, and the same bytes must be
//! written. Covers the segments of the usage log, the SQLite file, the settings, and the JSON of
//! statements and documents.

use ini_config::{Schema, Settings};
use std::collections::BTreeMap;
use std::fs;
use std::path::Path;
use std::time::Duration;
use usage_ledger::join::JoinBounds;
use usage_ledger::join::RecordedOutcome;
use usage_ledger::log::{self, LogFollower, LogPosition};
use usage_ledger::period::{Calendar, Period, PeriodLength};
use usage_ledger::settings::{self, LedgerSettings, Price, UsageLogSettings};
use usage_ledger::statement::CorrectionLine;
use usage_ledger::store::{ClosingTerms, Store, VerificationReport};
use usage_ledger::wire::entry::What;
use usage_ledger::wire::{self, Batch, Class, Entry, Header, Mark, Record};
use usage_ledger::writer::{self, FileSystem, RunClass, RunTables};

/// A segment of version 1: the magic number, and the frames of a header, a record and a watermark.
/// A frame consists of a CRC-32, a length (both little-endian) and a protobuf message.
const SEGMENT: &str = "\
    4354484c55534501\
    a1de9a32 14000000\
    0801 12026e30 1807 2001 2a050a01631064 320174\
    86ad2400 20000000\
    0a1e 0801 20e807 2801 30a0c21e 3805 4006 4802 5001 59efcdab8967452301 6001\
    af735540 09000000\
    1207 0801 10d00f 1801";

fn encoded_segment() -> Vec<u8> {
    hex::decode(SEGMENT.replace(' ', "")).unwrap()
}

fn segment_record() -> Record {
    Record {
        sequence: 1,
        tenant: 0,
        class: 0,
        arrived_ms: 1000,
        outcome: wire::Outcome::Partial.into(),
        share: 500_000,
        parts: 5,
        attempts: 6,
        crossed: 2,
        repeat: true,
        key: 0x0123_4567_89ab_cdef,
        keyed: true,
    }
}

fn segment_watermark() -> What {
    What::Mark(Mark {
        sequence: 1,
        complete_ms: 2000,
        end: true,
    })
}

#[test]
fn a_segment_of_version_1_is_read() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder
        .path()
        .join("00000000000000000007-00000000000000000001.log");
    fs::write(path, encoded_segment()).unwrap();
    let mut follower = LogFollower::new(folder.path(), LogPosition::default());
    let batch = follower.next_batch(10).unwrap().unwrap();
    let header = Header {
        version: 1,
        mixer: "n0".into(),
        incarnation: 7,
        first_sequence: 1,
        classes: vec![Class {
            name: "c".into(),
            give_up_ms: 100,
        }],
        tenants: vec!["t".into()],
    };
    assert_eq!(batch.header, Some(header));
    let entries: Vec<What> = batch
        .entries
        .into_iter()
        .map(|entry| entry.what.unwrap())
        .collect();
    assert_eq!(
        entries,
        [What::Record(segment_record()), segment_watermark()]
    );
    assert!(batch.damage.is_empty());
    assert_eq!(follower.next_batch(10).unwrap(), None);
}

#[test]
fn a_segment_is_written_as_version_1_defines_it() {
    let folder = tempfile::tempdir().unwrap();
    let settings = UsageLogSettings {
        directory: folder.path().into(),
        segment_bytes: 1 << 20,
        max_log_bytes: 1 << 30,
        queue_entries: 64,
        max_reply_delay: Duration::from_millis(5),
        watermark_interval: Duration::from_millis(100),
        listen_address: None,
    };
    let run_tables = RunTables {
        aggregator: "n0".into(),
        classes: vec![RunClass {
            name: "c".into(),
            client_timeout_ns: 100_000_000,
        }],
        tenants: vec!["t".into()],
    };
    let mut writer = writer::start_on(FileSystem, &settings, run_tables, 7_000_000).unwrap();
    assert!(writer.try_enqueue(What::Record(segment_record())));
    assert!(writer.try_enqueue(segment_watermark()));
    writer.close();
    let segments = log::segments(folder.path()).unwrap();
    assert_eq!(segments.len(), 1);
    assert_eq!(
        segments[0].name(),
        "00000000000000000007-00000000000000000001.log"
    );
    let written = fs::read(&segments[0].path).unwrap();
    assert_eq!(hex::encode(written), hex::encode(encoded_segment()));
}

/// The schema of version 1, as it was released.
const SCHEMA_1: &str = "
CREATE TABLE name (id INTEGER PRIMARY KEY, kind TEXT NOT NULL, text TEXT NOT NULL, UNIQUE (kind, text));
CREATE TABLE record (
  at INTEGER NOT NULL, member INTEGER NOT NULL, incarnation INTEGER NOT NULL, sequence INTEGER NOT NULL,
  tenant INTEGER NOT NULL, class INTEGER NOT NULL, outcome INTEGER NOT NULL, share INTEGER NOT NULL,
  parts INTEGER NOT NULL, attempts INTEGER NOT NULL, crossed INTEGER NOT NULL, flags INTEGER NOT NULL,
  key INTEGER NOT NULL, give_up INTEGER NOT NULL,
  PRIMARY KEY (at, member, incarnation, sequence)) WITHOUT ROWID;
CREATE TABLE position (
  member INTEGER NOT NULL, incarnation INTEGER NOT NULL, sequence INTEGER NOT NULL, complete INTEGER NOT NULL,
  marked INTEGER NOT NULL, ended INTEGER NOT NULL, lost INTEGER NOT NULL,
  PRIMARY KEY (member, incarnation)) WITHOUT ROWID;
CREATE TABLE damage (
  member INTEGER NOT NULL, segment TEXT NOT NULL, first INTEGER NOT NULL, last INTEGER NOT NULL,
  PRIMARY KEY (member, segment, first)) WITHOUT ROWID;
CREATE TABLE period (start INTEGER PRIMARY KEY, end INTEGER NOT NULL, prices TEXT NOT NULL, dirty INTEGER NOT NULL);
CREATE TABLE carried (
  period INTEGER NOT NULL, at INTEGER NOT NULL, member INTEGER NOT NULL, incarnation INTEGER NOT NULL,
  sequence INTEGER NOT NULL, PRIMARY KEY (period, at, member, incarnation, sequence)) WITHOUT ROWID;
CREATE TABLE hint (
  period INTEGER NOT NULL, at INTEGER NOT NULL, member INTEGER NOT NULL, incarnation INTEGER NOT NULL,
  sequence INTEGER NOT NULL, PRIMARY KEY (period, at, member, incarnation, sequence)) WITHOUT ROWID;
CREATE TABLE ambiguous (
  period INTEGER NOT NULL, at INTEGER NOT NULL, member INTEGER NOT NULL, incarnation INTEGER NOT NULL,
  sequence INTEGER NOT NULL, PRIMARY KEY (period, at, member, incarnation, sequence)) WITHOUT ROWID;
CREATE TABLE statement (
  period INTEGER PRIMARY KEY, closed INTEGER NOT NULL, body TEXT NOT NULL, hash TEXT NOT NULL);
CREATE TABLE line (
  statement INTEGER NOT NULL, period INTEGER NOT NULL, tenant INTEGER NOT NULL, class INTEGER NOT NULL,
  uses INTEGER NOT NULL, whole INTEGER NOT NULL, partial INTEGER NOT NULL, share INTEGER NOT NULL,
  refused INTEGER NOT NULL, failed INTEGER NOT NULL, gone INTEGER NOT NULL, tries INTEGER NOT NULL,
  parts INTEGER NOT NULL, attempts INTEGER NOT NULL, crossed INTEGER NOT NULL, ambiguous INTEGER NOT NULL,
  amount INTEGER NOT NULL, PRIMARY KEY (statement, period, tenant, class)) WITHOUT ROWID;
CREATE TABLE correction (
  id TEXT PRIMARY KEY, made INTEGER NOT NULL, tenant TEXT NOT NULL, period INTEGER NOT NULL,
  amount INTEGER NOT NULL, reason TEXT NOT NULL, author TEXT NOT NULL, statement INTEGER);
CREATE TABLE outbox (
  id TEXT PRIMARY KEY, made INTEGER NOT NULL, body TEXT NOT NULL, hash TEXT NOT NULL, folder INTEGER, posted INTEGER,
  attempts INTEGER NOT NULL, error TEXT);
";

const PERIOD: Period = Period {
    start_ms: 1_000_000,
    end_ms: 1_001_000,
};

const BOUNDS: JoinBounds = JoinBounds {
    horizon_ms: 150,
    skew_ms: 20,
};

/// Closes [`PERIOD`] and returns the JSON of its statement.
fn close_period(store: &mut Store) -> String {
    let prices = BTreeMap::from([(
        "c".to_string(),
        Price {
            complete: 10,
            partial: 7,
        },
    )]);
    let terms = ClosingTerms {
        bounds: BOUNDS,
        prices: &prices,
        allowances: &BTreeMap::from([("t".to_string(), 1)]),
        members: vec!["n0".into(), "n1".into()],
        missing: &["n1".to_string()],
        now_ms: 1_100_000,
    };
    store.close_period(PERIOD, &terms).unwrap();
    store.statements().unwrap().pop().unwrap().body
}

fn records() -> Batch {
    let record = |record| Entry {
        what: Some(What::Record(record)),
    };
    Batch {
        header: Some(Header {
            version: 1,
            mixer: "n0".into(),
            incarnation: 3,
            first_sequence: 1,
            classes: vec![Class {
                name: "c".into(),
                give_up_ms: 100,
            }],
            tenants: vec!["t".into()],
        }),
        entries: vec![
            record(Record {
                sequence: 1,
                arrived_ms: 1_000_010,
                outcome: wire::Outcome::Refused.into(),
                key: 4,
                parts: 3,
                ..Record::default()
            }),
            record(Record {
                sequence: 2,
                arrived_ms: 1_000_040,
                outcome: wire::Outcome::Partial.into(),
                share: 900_000,
                key: 4,
                repeat: true,
                parts: 3,
                attempts: 4,
                crossed: 1,
                ..Record::default()
            }),
            record(Record {
                sequence: 4,
                class: 1,
                arrived_ms: 1_000_900,
                outcome: wire::Outcome::Whole.into(),
                key: 0x8000_0000_0000_0001,
                keyed: true,
                parts: 3,
                attempts: 3,
                ..Record::default()
            }),
        ],
        damage: vec![wire::Damage {
            segment: "s".into(),
            from: 10,
            to: 20,
        }],
    }
}

/// The rows that the first release stored for [`records`].
const RECORDS_1: &str = "
INSERT INTO name VALUES (1, 'member', 'n0'), (2, 'tenant', 't'), (3, 'tenant', 'all'), (4, 'class', 'c'),
  (5, 'class', 'unknown');
INSERT INTO record VALUES
  (1000010, 1, 3, 1, 2, 4, 2, 0, 3, 0, 0, 0, 4, 100),
  (1000040, 1, 3, 2, 2, 4, 1, 900000, 3, 4, 1, 1, 4, 100),
  (1000900, 1, 3, 4, 2, 5, 0, 0, 3, 3, 0, 2, -9223372036854775807, 0);
INSERT INTO position VALUES (1, 3, 4, -9223372036854775808, 0, 0, 1);
INSERT INTO damage VALUES (1, 's', 10, 20);
";

/// Removes the line breaks that make the expected JSON readable.
fn one_line(text: &str) -> String {
    text.replace('\n', "")
}

/// The statement for [`records`], byte for byte.
const STATEMENT: &str = r#"{"period":"1970-01-01T00:16:40.000Z","end":"1970-01-01T00:16:41.000Z",
"closed":"1970-01-01T00:18:20.000Z","members":[{"member":"n0",
"complete":"-9223372036854775808","missing":false,"lost":1,"died":0,"damaged":1},{
"member":"n1","complete":null,"missing":true,"lost":0,"died":0,"damaged":0}],"lines":[{
"tenant":"t","class":"c","period":"1970-01-01T00:16:40.000Z","adjusts":false,"uses":1,
"whole":0,"partial":1,"share":900000,"refused":0,"failed":0,"left":0,"tries":2,"parts":6,
"attempts":4,"crossed":1,"ambiguous":0,"amount":6},{"tenant":"t","class":"unknown",
"period":"1970-01-01T00:16:40.000Z","adjusts":false,"uses":1,"whole":1,"partial":0,
"share":0,"refused":0,"failed":0,"left":0,"tries":1,"parts":3,"attempts":3,"crossed":0,
"ambiguous":0,"amount":0,"unpriced":true}],"corrections":[],"tenants":[{"tenant":"t",
"answered":2,"allowance":1,"over":1,"amount":6}],"total":6,"rounding":"once a line,
 half a micro-unit up","previous":""}"#;

/// The document that tenant `t` receives for [`STATEMENT`], byte for byte.
const DOCUMENT: &str = r#"{"id":"statement-1970-01-01T001640.000Z-t","kind":"statement","tenant":"t",
"period":"1970-01-01T00:16:40.000Z","amount":6,"lines":[{"tenant":"t","class":"c",
"period":"1970-01-01T00:16:40.000Z","adjusts":false,"uses":1,"whole":0,"partial":1,
"share":900000,"refused":0,"failed":0,"left":0,"tries":2,"parts":6,"attempts":4,"crossed":1,
"ambiguous":0,"amount":6},{"tenant":"t","class":"unknown",
"period":"1970-01-01T00:16:40.000Z","adjusts":false,"uses":1,"whole":1,"partial":0,
"share":0,"refused":0,"failed":0,"left":0,"tries":1,"parts":3,"attempts":3,"crossed":0,
"ambiguous":0,"amount":0,"unpriced":true}],"totals":{"tenant":"t","answered":2,
"allowance":1,"over":1,"amount":6},"missing":["n1"]}"#;

/// The credit document for a correction of [`STATEMENT`], byte for byte.
const CREDIT: &str = r#"{"id":"credit-k%201","kind":"credit","tenant":"t","period":"1970-01-01T00:16:40.000Z",
"amount":-3,"corrections":[{"id":"k 1","tenant":"t","amount":-3,"reason":"reason",
"author":"author"}],"corrects":["statement-1970-01-01T001640.000Z-t",
"72e2538e22dc2b088c7dde0c249ee1c4c446bb42a9c7b1ca87bd1dec30ae08ea"]}"#;

fn open_store(folder: &Path) -> Store {
    Store::open(&folder.join("ledger.sqlite")).unwrap()
}

#[test]
fn a_store_of_version_1_is_read_and_settled() {
    let folder = tempfile::tempdir().unwrap();
    let database = rusqlite::Connection::open(folder.path().join("ledger.sqlite")).unwrap();
    database.execute_batch(SCHEMA_1).unwrap();
    database.execute_batch(RECORDS_1).unwrap();
    database.pragma_update(None, "user_version", 1).unwrap();
    drop(database);
    let mut store = open_store(folder.path());
    let position = LogPosition {
        incarnation: 3,
        sequence: 4,
    };
    assert_eq!(store.position("n0").unwrap(), position);
    let outcomes: Vec<RecordedOutcome> = store
        .records(i64::MIN, i64::MAX)
        .unwrap()
        .iter()
        .map(|record| record.outcome)
        .collect();
    assert_eq!(
        outcomes,
        [
            RecordedOutcome::Rejected,
            RecordedOutcome::Partial(900_000),
            RecordedOutcome::Complete
        ]
    );
    assert_eq!(close_period(&mut store), one_line(STATEMENT));
    let expected_report = VerificationReport {
        checked: 3,
        faults: vec![],
    };
    assert_eq!(store.verify(BOUNDS).unwrap(), expected_report);
    // The current release recognises the records of the same batch as already stored.
    let calendar = Calendar(PeriodLength::Milliseconds(1000));
    let summary = store.ingest("n0", &records(), &calendar, BOUNDS).unwrap();
    assert_eq!((summary.new, summary.known), (0, 3));
}

#[test]
fn a_new_store_has_the_schema_of_version_1() {
    let schema = |database: &rusqlite::Connection| -> Vec<String> {
        let mut rows = database
            .prepare("SELECT sql FROM sqlite_master WHERE sql IS NOT NULL ORDER BY name")
            .unwrap();
        let rows = rows.query_map([], |row| row.get(0)).unwrap();
        rows.collect::<Result<_, _>>().unwrap()
    };
    let folder = tempfile::tempdir().unwrap();
    drop(open_store(folder.path()));
    let created = rusqlite::Connection::open(folder.path().join("ledger.sqlite")).unwrap();
    let expected = rusqlite::Connection::open_in_memory().unwrap();
    expected.execute_batch(SCHEMA_1).unwrap();
    assert_eq!(schema(&created), schema(&expected));
    let version = created.pragma_query_value(None, "user_version", |row| row.get::<_, u32>(0));
    assert_eq!(version.unwrap(), 1);
}

#[test]
fn statements_and_documents_keep_their_bytes() {
    let folder = tempfile::tempdir().unwrap();
    let mut store = open_store(folder.path());
    let calendar = Calendar(PeriodLength::Milliseconds(1000));
    let summary = store.ingest("n0", &records(), &calendar, BOUNDS).unwrap();
    assert_eq!((summary.new, summary.late), (3, 0));
    assert_eq!(close_period(&mut store), one_line(STATEMENT));
    let correction = CorrectionLine {
        id: "k 1".into(),
        tenant: "t".into(),
        amount: -3,
        reason: "reason".into(),
        author: "author".into(),
    };
    store
        .enter_correction(&correction, PERIOD, 1_200_000)
        .unwrap();
    let bodies: Vec<String> = store
        .documents()
        .unwrap()
        .into_iter()
        .map(|document| document.body)
        .collect();
    assert_eq!(bodies, [one_line(DOCUMENT), one_line(CREDIT)]);
}

const SETTINGS: Schema = Schema(&[
    settings::USAGE,
    settings::SETTLEMENT,
    settings::PERIODS,
    settings::MEMBER,
    settings::PRICE,
    settings::TENANT,
    settings::EXPORT,
]);

fn parse_settings(text: &str) -> Settings {
    Settings::read(&SETTINGS, "old.ini", text).unwrap()
}

#[test]
#[allow(
    clippy::too_many_lines,
    reason = "one settings file and all values that are read from it"
)]
fn a_settings_file_of_an_earlier_version_is_read() {
    let text = "\
[usage]
directory = /var/lib/mixer/usage
segment = 4MiB
keep = 64MiB
queue = 100
stall = 2ms
mark = 250ms
listen = 127.0.0.1:7500
[settlement]
store = /var/lib/ledger.sqlite
again = 300ms
silent = 7s
[periods]
every = 1h
zone = Asia/Colombo
horizon = 20s
skew = 1s
grace = 10m
[member n0]
address = 127.0.0.1:7500
from = 2026-12-01T00:00:00Z
until = 2026-12-02T00:00:00Z
[member n1]
address = 127.0.0.1:7501
[price c]
whole = 10
partial = 7
[price d]
whole = 5
[tenant t]
allowance = 1000
[export]
folder = /var/lib/documents
url = http://127.0.0.1:9000/documents
timeout = 3s
again = 100ms
";
    let settings = parse_settings(text);
    let usage = UsageLogSettings::read(&settings, &SETTINGS)
        .unwrap()
        .unwrap();
    let expected = UsageLogSettings {
        directory: "/var/lib/mixer/usage".into(),
        segment_bytes: 4 << 20,
        max_log_bytes: 64 << 20,
        queue_entries: 100,
        max_reply_delay: Duration::from_millis(2),
        watermark_interval: Duration::from_millis(250),
        listen_address: Some("127.0.0.1:7500".parse().unwrap()),
    };
    assert_eq!(usage, expected);
    let ledger = LedgerSettings::read(&settings, &SETTINGS).unwrap();
    assert_eq!(ledger.store_path, Some("/var/lib/ledger.sqlite".into()));
    assert_eq!(
        (ledger.retry_delay, ledger.idle_timeout),
        (Duration::from_millis(300), Duration::from_secs(7))
    );
    assert_eq!(
        (ledger.horizon_ms, ledger.skew_ms, ledger.grace_ms),
        (20_000, 1_000, 600_000)
    );
    assert_eq!(ledger.calendar.period_at(3_600_000).end_ms, 7_200_000);
    let member = &ledger.members["n0"];
    assert_eq!(
        (member.from_ms, member.until_ms),
        (1_796_083_200_000, 1_796_169_600_000)
    );
    let member = &ledger.members["n1"];
    assert_eq!((member.from_ms, member.until_ms), (i64::MIN, i64::MAX));
    assert_eq!(member.address, "127.0.0.1:7501".parse().unwrap());
    let price = |complete, partial| Price { complete, partial };
    assert_eq!(ledger.prices["c"], price(10, 7));
    assert_eq!(ledger.prices["d"], price(5, 5));
    assert_eq!(ledger.allowances["t"], 1000);
    let export = &ledger.export;
    assert_eq!(export.folder, Some("/var/lib/documents".into()));
    assert_eq!(
        export.url.as_deref(),
        Some("http://127.0.0.1:9000/documents")
    );
    assert_eq!(
        (export.timeout, export.retry_delay),
        (Duration::from_secs(3), Duration::from_millis(100))
    );
}

#[test]
fn settings_without_a_file_have_their_defaults() {
    let defaults = Settings::defaults();
    assert_eq!(UsageLogSettings::read(&defaults, &SETTINGS).unwrap(), None);
    let ledger = LedgerSettings::read(&defaults, &SETTINGS).unwrap();
    assert_eq!(ledger.store_path, None);
    assert_eq!(
        (ledger.retry_delay, ledger.idle_timeout),
        (Duration::from_millis(200), Duration::from_secs(5))
    );
    assert_eq!(
        (ledger.horizon_ms, ledger.skew_ms, ledger.grace_ms),
        (30_000, 2_000, 3_600_000)
    );
    assert_eq!(ledger.calendar.period_at(0).end_ms, 31 * 86_400_000);
    assert_eq!(
        (ledger.export.timeout, ledger.export.retry_delay),
        (Duration::from_secs(5), Duration::from_millis(500))
    );
    let usage = UsageLogSettings::read(&parse_settings("[usage]\ndirectory = d\n"), &SETTINGS);
    let usage = usage.unwrap().unwrap();
    assert_eq!(
        (
            usage.segment_bytes,
            usage.max_log_bytes,
            usage.queue_entries
        ),
        (8 << 20, 1 << 30, 8192)
    );
    assert_eq!(
        (
            usage.max_reply_delay,
            usage.watermark_interval,
            usage.listen_address
        ),
        (Duration::from_millis(5), Duration::from_millis(500), None)
    );
}

#[test]
fn contradictory_settings_are_reported_with_their_line() {
    let cases = [
        (
            "[usage]\nlisten = 127.0.0.1:1\n",
            "old.ini:2: [usage] listen: requires 'directory': without it, there is no log to collect",
        ),
        (
            "[usage]\ndirectory = d\nsegment = 1KiB\n",
            "old.ini:3: [usage] segment: must be at least 4KiB",
        ),
        (
            "[usage]\ndirectory = d\nkeep = 8MiB\n",
            "old.ini:3: [usage] keep: must be at least twice 'segment', or no segment could ever be closed",
        ),
        (
            "[usage]\ndirectory = d\nmark = 1ms\n",
            "old.ini:3: [usage] mark: must be at least 10ms",
        ),
        (
            "[periods]\nzone = Moon\n",
            "old.ini:2: [periods] zone: unknown time zone 'Moon'; expected an IANA name, for example Asia/Colombo",
        ),
        (
            "[periods]\nevery = 10ms\n",
            "old.ini:2: [periods] every: must be at least 1s",
        ),
        (
            "[member n0]\n",
            "old.ini:1: [member n0] address: required value is missing",
        ),
        (
            "[member n0]\naddress = 127.0.0.1:1\nfrom = today\n",
            "old.ini:3: [member n0] from: must be a time, for example 2026-12-01T00:00:00Z",
        ),
        (
            "[member n0]\naddress = 127.0.0.1:1\nfrom = 2026-12-01T00:00:00Z\nuntil = 2026-12-01T00:00:00Z\n",
            "old.ini:4: [member n0] until: must be later than 'from'",
        ),
        ("[price c]\n", "old.ini:1: [price c] whole: required value is missing"),
        (
            "[export]\nurl = https://h/\n",
            "old.ini:2: [export] url: must begin with http://",
        ),
    ];
    for (text, expected) in cases {
        let settings = parse_settings(text);
        let usage = UsageLogSettings::read(&settings, &SETTINGS).map(drop);
        let problems = usage.and_then(|()| LedgerSettings::read(&settings, &SETTINGS).map(drop));
        assert_eq!(
            problems.unwrap_err().to_string(),
            expected,
            "wrong problem for the settings {text:?}"
        );
    }
}
