//! Schema of the ledger's sections of the settings file.

use ini_config::{Key, Kind, Section};

/// Maximum of a price, in micro-units, and of an allowance, in requests.
const MAX_PRICE_OR_ALLOWANCE: u64 = 1_000_000_000_000;

/// `[usage]`: the usage log of an aggregator.
pub const USAGE: Section = Section::new(
    "usage",
    &[
        Key::new(
            "directory",
            Kind::Text,
            None,
            "Folder of the mixer's usage log; if unset, no log is written.",
        ),
        Key::new(
            "segment",
            Kind::Bytes,
            Some("8MiB"),
            "Size at which a segment of the log is closed and a new one is started.",
        ),
        Key::new(
            "keep",
            Kind::Bytes,
            Some("1GiB"),
            "Maximum size of the log; records beyond it are dropped and counted.",
        ),
        Key::new(
            "queue",
            Kind::Count(16, 1_000_000),
            Some("8192"),
            "Maximum number of records that wait to be written.",
        ),
        Key::new(
            "stall",
            Kind::Time,
            Some("5ms"),
            "Maximum time that an answer waits for its record to be written, before it is sent anyway.",
        ),
        Key::new(
            "mark",
            Kind::Time,
            Some("500ms"),
            "Interval between two watermarks, which state the time before which the log is complete.",
        ),
        Key::new(
            "listen",
            Kind::Address,
            None,
            "Address of a separate listener at which the settlement collects the log.",
        ),
    ],
);

/// `[settlement]`: the store, and the collection from members.
pub const SETTLEMENT: Section = Section::new(
    "settlement",
    &[
        Key::new(
            "store",
            Kind::Text,
            None,
            "SQLite file in which the settlement stores records and statements.",
        ),
        Key::reloadable(
            "again",
            Kind::Time,
            Some("200ms"),
            "Delay before the first retry of a failed collection; \
             it doubles with each further failure, up to 32 times its value.",
        ),
        Key::reloadable(
            "silent",
            Kind::Time,
            Some("5s"),
            "Time without a message from a member after which the settlement reconnects.",
        ),
    ],
);

/// `[periods]`: billing periods, and when they may close.
pub const PERIODS: Section = Section::new(
    "periods",
    &[
        Key::new(
            "every",
            Kind::TimeOr(&["daily", "monthly"]),
            Some("monthly"),
            "Length of a billing period.",
        ),
        Key::new(
            "zone",
            Kind::Text,
            Some("UTC"),
            "Time zone of daily and monthly periods, by its IANA name.",
        ),
        Key::reloadable(
            "horizon",
            Kind::Time,
            Some("30s"),
            "Maximum time from the arrival of a first request to that of a retry; \
             at least the longest client timeout of any class.",
        ),
        Key::reloadable(
            "skew",
            Kind::Time,
            Some("2s"),
            "Maximum difference between the clocks of two mixers.",
        ),
        Key::reloadable(
            "grace",
            Kind::Time,
            Some("1h"),
            "Maximum time that a period waits for missing records after it could have closed.",
        ),
    ],
);

/// `[member NAME]`: an aggregator whose log is collected.
pub const MEMBER: Section = Section::named(
    "member",
    &[
        Key::reloadable(
            "address",
            Kind::Address,
            None,
            "Address at which the mixer offers its log: its [usage] listen.",
        ),
        Key::reloadable(
            "from",
            Kind::Text,
            None,
            "Time at which this mixer joined, for example 2026-12-01T00:00:00Z; \
             if unset, it has always taken part.",
        ),
        Key::reloadable(
            "until",
            Kind::Text,
            None,
            "Time at which this mixer left; if unset, it still takes part.",
        ),
    ],
);

/// `[price CLASS]`: prices of the answers of one class.
pub const PRICE: Section = Section::named(
    "price",
    &[
        Key::reloadable(
            "whole",
            Kind::Count(0, MAX_PRICE_OR_ALLOWANCE),
            None,
            "Price of a complete answer of this class, in micro-units.",
        ),
        Key::reloadable(
            "partial",
            Kind::Count(0, MAX_PRICE_OR_ALLOWANCE),
            None,
            "Price of a partial answer, in micro-units, multiplied by the share of the answer; \
             if unset, the price of a complete answer.",
        ),
    ],
);

/// `[tenant NAME]`: allowance of one tenant.
pub const TENANT: Section = Section::named(
    "tenant",
    &[Key::reloadable(
        "allowance",
        Kind::Count(0, MAX_PRICE_OR_ALLOWANCE),
        None,
        "Answered requests per period; statements list the requests beyond this number separately.",
    )],
);

/// `[export]`: destinations of documents.
pub const EXPORT: Section = Section::new(
    "export",
    &[
        Key::reloadable(
            "folder",
            Kind::Text,
            None,
            "Folder to which documents are written, each by an atomic rename.",
        ),
        Key::reloadable(
            "url",
            Kind::Text,
            None,
            "URL to which documents are posted, for example http://127.0.0.1:9000/documents.",
        ),
        Key::reloadable(
            "timeout",
            Kind::Time,
            Some("5s"),
            "Timeout for posting one document.",
        ),
        Key::reloadable(
            "again",
            Kind::Time,
            Some("500ms"),
            "Delay before the first retry of a document; \
             it doubles with each further failure, up to 64 times its value.",
        ),
    ],
);
