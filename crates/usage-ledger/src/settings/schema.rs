//! The ledger's sections of the settings file.

use ini_config::{Key, Kind, Section};

/// A key whose change takes effect after a restart.
const fn key(
    name: &'static str,
    kind: Kind,
    default: Option<&'static str>,
    doc: &'static str,
) -> Key {
    Key {
        name,
        kind,
        default,
        live: false,
        doc,
    }
}

/// A key whose change takes effect on SIGHUP.
const fn live(
    name: &'static str,
    kind: Kind,
    default: Option<&'static str>,
    doc: &'static str,
) -> Key {
    Key {
        live: true,
        ..key(name, kind, default, doc)
    }
}

/// The largest price, in micro-units, and the largest allowance, in requests.
const MAX_COUNT: u64 = 1_000_000_000_000;

/// `[usage]`: the usage log of an aggregator.
pub const USAGE: Section = Section {
    name: "usage",
    named: false,
    keys: &[
        key(
            "directory",
            Kind::Text,
            None,
            "Folder of the mixer's usage log; no log is kept without it.",
        ),
        key(
            "segment",
            Kind::Bytes,
            Some("8MiB"),
            "Size at which a segment of the log is closed and a new one begun.",
        ),
        key(
            "keep",
            Kind::Bytes,
            Some("1GiB"),
            "Most that the log may take; past it records are dropped and counted.",
        ),
        key(
            "queue",
            Kind::Count(16, 1_000_000),
            Some("8192"),
            "Records that may wait for the writer.",
        ),
        key(
            "stall",
            Kind::Time,
            Some("5ms"),
            "How long an answer waits for its record; then it goes without.",
        ),
        key(
            "mark",
            Kind::Time,
            Some("500ms"),
            "How often the log says up to when it is complete.",
        ),
        key(
            "listen",
            Kind::Address,
            None,
            "Where the settlement collects the log; a listener of its own.",
        ),
    ],
};

/// `[settlement]`: the store, and collection from members.
pub const SETTLEMENT: Section = Section {
    name: "settlement",
    named: false,
    keys: &[
        key(
            "store",
            Kind::Text,
            None,
            "The SQLite file of the settlement.",
        ),
        live(
            "again",
            Kind::Time,
            Some("200ms"),
            "Wait before a member that failed is asked again; it doubles up to 32 times.",
        ),
        live(
            "silent",
            Kind::Time,
            Some("5s"),
            "A member that says nothing for so long is asked anew.",
        ),
    ],
};

/// `[periods]`: billing periods, and when they may close.
pub const PERIODS: Section = Section {
    name: "periods",
    named: false,
    keys: &[
        key(
            "every",
            Kind::TimeOr(&["daily", "monthly"]),
            Some("monthly"),
            "Length of a billing period.",
        ),
        key(
            "zone",
            Kind::Text,
            Some("UTC"),
            "Time zone of daily and monthly periods, by its IANA name.",
        ),
        live(
            "horizon",
            Kind::Time,
            Some("30s"),
            "The longest after a first try that a retry may arrive: \
             at least the longest give-up time of a class.",
        ),
        live(
            "skew",
            Kind::Time,
            Some("2s"),
            "The most that two mixers' clocks differ.",
        ),
        live(
            "grace",
            Kind::Time,
            Some("1h"),
            "How long a period waits for silent members after it could have closed.",
        ),
    ],
};

/// `[member NAME]`: an aggregator whose log is collected.
pub const MEMBER: Section = Section {
    name: "member",
    named: true,
    keys: &[
        live(
            "address",
            Kind::Address,
            None,
            "Where this mixer's log is collected: its [usage] listen.",
        ),
        live(
            "from",
            Kind::Text,
            None,
            "When it joined, as in 2026-12-01T00:00:00Z; always if unset.",
        ),
        live(
            "until",
            Kind::Text,
            None,
            "When it left; it has not if unset.",
        ),
    ],
};

/// `[price CLASS]`: what answers of a class cost.
pub const PRICE: Section = Section {
    name: "price",
    named: true,
    keys: &[
        live(
            "whole",
            Kind::Count(0, MAX_COUNT),
            None,
            "Price of a whole answer of this class, in micro-units.",
        ),
        live(
            "partial",
            Kind::Count(0, MAX_COUNT),
            None,
            "Price of a partial answer before its share is taken; that of a whole one if unset.",
        ),
    ],
};

/// `[tenant NAME]`: what a tenant may use.
pub const TENANT: Section = Section {
    name: "tenant",
    named: true,
    keys: &[live(
        "allowance",
        Kind::Count(0, MAX_COUNT),
        None,
        "Answered uses in a period past which further ones are listed apart.",
    )],
};

/// `[export]`: where documents go.
pub const EXPORT: Section = Section {
    name: "export",
    named: false,
    keys: &[
        live(
            "folder",
            Kind::Text,
            None,
            "Folder that documents are put into, each by an atomic rename.",
        ),
        live(
            "url",
            Kind::Text,
            None,
            "Where documents are posted, as in http://127.0.0.1:9000/documents.",
        ),
        live(
            "timeout",
            Kind::Time,
            Some("5s"),
            "How long the receiver may take for one document.",
        ),
        live(
            "again",
            Kind::Time,
            Some("500ms"),
            "Wait before a failed document is sent again; it doubles up to 64 times.",
        ),
    ],
};
