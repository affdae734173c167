//! The ledger's sections of the settings file.

use ini_config::{Key, Kind, Section};

/// The largest price, in micro-units, and the largest allowance, in requests.
const MAX_COUNT: u64 = 1_000_000_000_000;

/// `[usage]`: the usage log of an aggregator.
pub const USAGE: Section = Section::new(
    "usage",
    &[
        Key::new(
            "directory",
            Kind::Text,
            None,
            "Folder of the mixer's usage log; no log is kept without it.",
        ),
        Key::new(
            "segment",
            Kind::Bytes,
            Some("8MiB"),
            "Size at which a segment of the log is closed and a new one begun.",
        ),
        Key::new(
            "keep",
            Kind::Bytes,
            Some("1GiB"),
            "Most that the log may take; past it records are dropped and counted.",
        ),
        Key::new(
            "queue",
            Kind::Count(16, 1_000_000),
            Some("8192"),
            "Records that may wait for the writer.",
        ),
        Key::new(
            "stall",
            Kind::Time,
            Some("5ms"),
            "How long an answer waits for its record; then it goes without.",
        ),
        Key::new(
            "mark",
            Kind::Time,
            Some("500ms"),
            "How often the log says up to when it is complete.",
        ),
        Key::new(
            "listen",
            Kind::Address,
            None,
            "Where the settlement collects the log; a listener of its own.",
        ),
    ],
);

/// `[settlement]`: the store, and collection from members.
pub const SETTLEMENT: Section = Section::new(
    "settlement",
    &[
        Key::new(
            "store",
            Kind::Text,
            None,
            "The SQLite file of the settlement.",
        ),
        Key::reloadable(
            "again",
            Kind::Time,
            Some("200ms"),
            "Wait before a member that failed is asked again; it doubles up to 32 times.",
        ),
        Key::reloadable(
            "silent",
            Kind::Time,
            Some("5s"),
            "A member that says nothing for so long is asked anew.",
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
            "The longest after a first try that a retry may arrive: \
             at least the longest give-up time of a class.",
        ),
        Key::reloadable(
            "skew",
            Kind::Time,
            Some("2s"),
            "The most that two mixers' clocks differ.",
        ),
        Key::reloadable(
            "grace",
            Kind::Time,
            Some("1h"),
            "How long a period waits for silent members after it could have closed.",
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
            "Where this mixer's log is collected: its [usage] listen.",
        ),
        Key::reloadable(
            "from",
            Kind::Text,
            None,
            "When it joined, as in 2026-12-01T00:00:00Z; always if unset.",
        ),
        Key::reloadable(
            "until",
            Kind::Text,
            None,
            "When it left; it has not if unset.",
        ),
    ],
);

/// `[price CLASS]`: what answers of a class cost.
pub const PRICE: Section = Section::named(
    "price",
    &[
        Key::reloadable(
            "whole",
            Kind::Count(0, MAX_COUNT),
            None,
            "Price of a whole answer of this class, in micro-units.",
        ),
        Key::reloadable(
            "partial",
            Kind::Count(0, MAX_COUNT),
            None,
            "Price of a partial answer before its share is taken; that of a whole one if unset.",
        ),
    ],
);

/// `[tenant NAME]`: what a tenant may use.
pub const TENANT: Section = Section::named(
    "tenant",
    &[Key::reloadable(
        "allowance",
        Kind::Count(0, MAX_COUNT),
        None,
        "Answered uses in a period past which further ones are listed apart.",
    )],
);

/// `[export]`: where documents go.
pub const EXPORT: Section = Section::new(
    "export",
    &[
        Key::reloadable(
            "folder",
            Kind::Text,
            None,
            "Folder that documents are put into, each by an atomic rename.",
        ),
        Key::reloadable(
            "url",
            Kind::Text,
            None,
            "Where documents are posted, as in http://127.0.0.1:9000/documents.",
        ),
        Key::reloadable(
            "timeout",
            Kind::Time,
            Some("5s"),
            "How long the receiver may take for one document.",
        ),
        Key::reloadable(
            "again",
            Kind::Time,
            Some("500ms"),
            "Wait before a failed document is sent again; it doubles up to 64 times.",
        ),
    ],
);
