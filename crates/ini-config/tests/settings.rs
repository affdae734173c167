//! Tests of reading settings files: values, defaults, origins and the exact texts of problems.

use ini_config::{
    parse_bytes, parse_time, Key, Kind, Origin, Problem, ProblemKind, Schema, Section, Settings,
    Suggestion,
};
use std::time::Duration;

const SCHEMA: Schema = Schema(&[
    Section::new(
        "log",
        &[
            Key::new("directory", Kind::Text, None, ""),
            Key::reloadable("flush", Kind::Time, Some("250ms"), ""),
            Key::new("segment", Kind::Bytes, Some("8MiB"), ""),
            Key::new("queue", Kind::Count(1, 100), Some("10"), ""),
            Key::new("format", Kind::Choice(&["json", "text"]), Some("text"), ""),
            Key::new("colour", Kind::Flag, Some("no"), ""),
            Key::new("every", Kind::TimeOr(&["daily", "monthly"]), None, ""),
        ],
    ),
    Section::named(
        "member",
        &[Key::reloadable("address", Kind::Address, None, "")],
    ),
]);

fn problem_messages(text: &str) -> Vec<String> {
    let problems = Settings::read(&SCHEMA, "file.ini", text).unwrap_err();
    problems.0.iter().map(Problem::to_string).collect()
}

/// Files written for earlier versions must remain readable. They contain both kinds of comments and
/// separators, quoted names, and whitespace in any place.
#[test]
fn files_for_earlier_versions_remain_readable() {
    let text = "; comment\n\
        # another = comment\n\
        [log]\n\
        directory = /var/lib/log\n\
        flush: 2s\n\
        \x20 segment=4KiB\n\
        every = daily\n\
        colour = yes\n\
        \n\
        [member \"n0\"]\n\
        address = 127.0.0.1:7000\n\
        [member n1]\n\
        address = [::1]:7001\n";
    let settings = Settings::read(&SCHEMA, "file.ini", text).unwrap();
    let log = settings.section(&SCHEMA, "log");
    assert_eq!(log.text("directory"), Some("/var/lib/log"));
    assert_eq!(log.time("flush"), Some(Duration::from_secs(2)));
    assert_eq!(log.bytes("segment"), Some(4096));
    assert_eq!(log.count("queue"), Some(10));
    assert_eq!(log.text("every"), Some("daily"));
    assert!(log.flag("colour"));
    assert_eq!(settings.section_names("member"), ["n0", "n1"]);
    let address = |name| {
        settings
            .named_section(&SCHEMA, "member", name)
            .address("address")
    };
    assert_eq!(address("n0"), Some("127.0.0.1:7000".parse().unwrap()));
    assert_eq!(address("n1"), Some("[::1]:7001".parse().unwrap()));
    assert_eq!(address("n2"), None);
}

#[test]
fn every_problem_of_a_file_is_reported_with_its_line() {
    let text = "stray = 1\n\
        [log]\n\
        flush = 2\n\
        segmnt = 1MiB\n\
        queue = 101\n\
        queue = 5\n\
        format = jsn\n\
        colour = on\n\
        every = weekly\n\
        [logs]\n\
        [member]\n\
        [log here]\n\
        [member n0]\n\
        address = localhost:1\n\
        qq = 1\n\
        [member n0]\n";
    assert_eq!(
        problem_messages(text),
        [
            "file.ini:1: key 'stray' is outside of any section",
            "file.ini:3: [log] flush = 2: must be a whole number with a unit \
             (us, ms, s, m, h, d), for example 250ms",
            "file.ini:4: unknown key 'segmnt' in [log]; did you mean 'segment'?",
            "file.ini:5: [log] queue = 101: must be a whole number from 1 to 100",
            "file.ini:6: [log] queue is set more than once",
            "file.ini:7: [log] format = jsn: unknown value; did you mean 'json'?",
            "file.ini:8: [log] colour = on: must be 'yes' or 'no'",
            "file.ini:9: [log] every = weekly: must be a whole number with a unit \
             (us, ms, s, m, h, d), for example 250ms, or one of: daily, monthly",
            "file.ini:10: unknown section [logs]; did you mean 'log'?",
            "file.ini:11: [member] must have the form [member NAME]",
            "file.ini:12: [log here] must have the form [log]",
            "file.ini:14: [member n0] address = localhost:1: must be a numeric IP address and port \
             (for example 127.0.0.1:8080)",
            "file.ini:15: unknown key 'qq' in [member n0]; expected one of: address",
            "file.ini:16: duplicate section [member n0]",
        ]
    );
}

#[test]
fn a_syntax_error_is_reported_as_a_single_problem() {
    let messages = problem_messages("[log\n");
    assert_eq!(messages.len(), 1);
    assert!(messages[0].starts_with("file.ini:"), "{messages:?}");
    assert!(
        messages[0].contains(": invalid INI syntax: "),
        "{messages:?}"
    );
}

#[test]
fn an_unknown_section_is_reported_with_all_valid_names() {
    let problems = Settings::read(&SCHEMA, "file.ini", "[zzz]\n").unwrap_err();
    assert_eq!(
        problems.0[0].kind,
        ProblemKind::UnknownSection {
            section: "zzz".into(),
            suggestion: Suggestion::AnyOf(vec!["log".into(), "member".into()]),
        }
    );
    assert_eq!(
        problems.to_string(),
        "file.ini:1: unknown section [zzz]; expected one of: log, member"
    );
}

#[test]
fn a_rejected_value_is_reported_with_its_line_or_its_section_line() {
    let text = "[log]\nqueue = 5\n[member n0]\n";
    let settings = Settings::read(&SCHEMA, "file.ini", text).unwrap();
    let reject = |section, name, key| {
        let section = settings.named_section(&SCHEMA, section, name);
        section.problem(key, "is wrong").to_string()
    };
    assert_eq!(
        reject("log", "", "queue"),
        "file.ini:2: [log] queue: is wrong"
    );
    assert_eq!(
        reject("member", "n0", "address"),
        "file.ini:3: [member n0] address: is wrong"
    );
    assert_eq!(
        reject("log", "", "flush"),
        "file.ini: [log] flush: is wrong"
    );
}

#[test]
fn effective_values_have_origins_and_changes_may_require_a_restart() {
    let before = Settings::read(&SCHEMA, "a", "[log]\nflush = 1s\nqueue = 5\n").unwrap();
    let values = before.effective_values(&SCHEMA);
    let origin = |key| values.iter().find(|value| value.key == key).unwrap().origin;
    assert_eq!(origin("queue"), Origin::Line(3));
    assert_eq!(origin("segment"), Origin::Default);
    assert_eq!(values[0].value, "(not set)");
    let after = Settings::read(&SCHEMA, "b", "[log]\nflush = 2s\nqueue = 6\n").unwrap();
    assert_eq!(
        before.keys_requiring_restart(&after, &SCHEMA),
        ["[log] queue"]
    );
    assert_eq!(
        Settings::defaults()
            .keys_requiring_restart(&Settings::defaults(), &SCHEMA)
            .len(),
        0
    );
}

#[test]
fn quantities_have_units_and_bounds() {
    assert_eq!(parse_time("3m"), Ok(Duration::from_secs(180)));
    assert_eq!(parse_time(" 10 us "), Ok(Duration::from_micros(10)));
    assert_eq!(parse_bytes("2GiB"), Ok(2 << 30));
    assert_eq!(
        parse_bytes("18446744073709551615KiB")
            .unwrap_err()
            .to_string(),
        "must be less than 2^64 when expressed in the smallest unit"
    );
    assert_eq!(
        parse_bytes("8").unwrap_err().to_string(),
        "must be a whole number with a unit (B, KiB, MiB, GiB), for example 8MiB"
    );
}
