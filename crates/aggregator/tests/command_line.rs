//! The command line as operators use it: output, messages and exit codes.

mod support {
    pub mod command_line;
}

use std::fs;
use std::path::Path;
use std::process::Stdio;
use support::command_line::{command, run, stderr, stdout};

/// Invalid settings, and the beginning of the message after the name of the settings file.
const INVALID_SETTINGS: &[(&str, &str)] = &[
    ("[loge]\nlevel = info\n", "1: unknown section [loge]; did you mean 'log'?"),
    ("[log]\n\nlevl = info\n", "3: unknown key 'levl' in [log]; did you mean 'level'?"),
    ("[log]\nlevel = loud\n", "2: [log] level = loud"),
    ("[usage]\ndirectory = x\nstall = 5\n", "3: [usage] stall = 5: must be a whole number with a unit"),
    ("[usage]\ndirectory = x\nsegment = 8MB\n", "3: [usage] segment = 8MB"),
    ("[usage]\nlisten = 127.0.0.1:1\n", "2: [usage] listen: requires 'directory': without it, there is no log"),
    ("[usage]\ndirectory = x\nkeep = 1MiB\n", "3: [usage] keep: must be at least twice 'segment'"),
    ("[log]\nlevel = info\nlevel = warn\n", "3: [log] level is set more than once"),
    ("[log]\n[log]\n", "2: duplicate section [log]"),
    ("[price]\nwhole = 1\n", "1: [price] must have the form [price NAME]"),
    ("[price x]\npartial = 1\n", "1: [price x] whole: required value is missing"),
    ("[member n0]\naddress = localhost:1\n", "2: [member n0] address"),
    ("[periods]\nevery = weekly\n", "2: [periods] every = weekly"),
    ("[periods]\nzone = Asia/Colomb\n", "2: [periods] zone: unknown time zone"),
    ("[export]\nurl = ftp://x\n", "2: [export] url: must begin with http://"),
    ("[opensearch]\nlisten = 127.0.0.1:1\n", "2: [opensearch] listen: requires at least one [index NAME]"),
    ("[opensearch]\nlisten = 127.0.0.1:1\n[index a]\nclass = c\nshards = 0-3,2\n", "5: [index a] shards: shard 2"),
    (
        "[opensearch]\nlisten = 127.0.0.1:1\ntenant-by = network\n[index a]\nclass = c\nshards = 0\n\
         [network x]\ntenant = t\nprefixes = 10.0.0.0/8\n[network y]\ntenant = t\nprefixes = 10.1.0.0/16\n",
        "12: [network y] prefixes: 10.1.0.0/16 is already covered by a wider network of tenant 't'",
    ),
    ("level = info\n", "1: key 'level' is outside of any section"),
];

/// Calls that fail: arguments, exit code, and an excerpt of the message.
const FAILING_CALLS: &[(&[&str], i32, &str)] = &[
    (&[], 3, "BALANCER_CONFIG"),
    (&["--config", "/nowhere"], 3, "/nowhere"),
    (&["ledger", "status"], 3, "[settlement] store"),
    (&["sever"], 2, "serve"),
    (&["ledger", "statement", "--format", "xml"], 2, "json"),
    (&["ledger", "verify", "--log", "/nowhere"], 1, "/nowhere"),
    (&["ledger", "dump", "--log", "/nowhere"], 1, "/nowhere"),
];

fn assert_fails(arguments: &[&str], exit_code: i32, message: &str) {
    let output = run(arguments);
    let errors = stderr(&output);
    assert_eq!(
        output.status.code(),
        Some(exit_code),
        "{arguments:?}: {errors}"
    );
    assert!(
        errors.contains(message) && !errors.contains("panicked"),
        "{arguments:?}: {errors}"
    );
}

#[test]
fn invalid_input_is_reported_on_one_line_with_its_exit_code() {
    let folder = tempfile::tempdir().unwrap();
    let write_file = |name: &str, text: &str| {
        let path = folder.path().join(name);
        fs::write(&path, text).unwrap();
        path.display().to_string()
    };
    let not_json = write_file("not.json", "[workspace]\n");
    for (number, (settings, message)) in INVALID_SETTINGS.iter().enumerate() {
        let path = write_file(&format!("{number}.ini"), settings);
        let output = run(&["check", "--settings", &path]);
        let errors = stderr(&output);
        assert_eq!(output.status.code(), Some(3), "{settings}: {errors}");
        assert!(
            errors.contains(&format!("{path}:{message}")) && errors.lines().count() == 1,
            "{settings}: {errors}"
        );
    }
    for (arguments, exit_code, message) in FAILING_CALLS {
        assert_fails(arguments, *exit_code, message);
    }
    assert_fails(&["serve", "--config", &not_json], 3, "expected");
}

#[test]
fn check_prints_every_value_with_its_origin() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("own.ini");
    fs::write(&path, "[log]\nlevel = warn\n\n[price lookup]\nwhole = 12\n").unwrap();
    let output = run(&["check", "--settings", path.to_str().unwrap()]);
    let text = stdout(&output);
    assert!(output.status.success(), "{text}");
    let row = |name: &str| {
        text.lines()
            .find(|line| line.contains(name))
            .unwrap_or_default()
            .to_string()
    };
    assert!(
        row("[log] level").contains("warn") && row("[log] level").contains("own.ini:2"),
        "{text}"
    );
    assert!(
        row("[log] format").contains("default") && row("[log] format").contains("at a start"),
        "{text}"
    );
    assert!(row("[price lookup] whole").contains("own.ini:5"), "{text}");
}

/// The sample settings name every key with its default. With all keys commented out, as delivered,
/// they change nothing.
#[test]
fn the_sample_settings_document_every_key_with_its_default() {
    let sample = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/query-aggregator.ini");
    let text = fs::read_to_string(&sample).unwrap();
    let output = run(&["check", "--settings", sample.to_str().unwrap()]);
    assert!(output.status.success(), "{}", stderr(&output));
    // The sample is also valid with every line uncommented.
    let folder = tempfile::tempdir().unwrap();
    let all = folder.path().join("all.ini");
    let uncommented: String = text
        .lines()
        .map(|line| format!("{}\n", line.strip_prefix("# ").unwrap_or(line)))
        .collect();
    fs::write(&all, uncommented.replace("; ", "#")).unwrap();
    let output = run(&["check", "--settings", all.to_str().unwrap()]);
    let shown = stdout(&output);
    assert!(output.status.success(), "{}", stderr(&output));
    let settings_rows: Vec<&str> = shown
        .lines()
        .filter(|line| line.starts_with('[') || line.starts_with(" ["))
        .collect();
    let missing: Vec<&&str> = settings_rows
        .iter()
        .filter(|line| line.contains(" default "))
        .collect();
    assert!(
        settings_rows.len() >= 28 && missing.is_empty(),
        "expected every key in the sample, missing: {missing:#?}"
    );
}

#[test]
fn a_closed_pipe_is_not_an_error_and_help_and_completions_are_printed() {
    let mut child = command(&["completions", "bash"])
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    drop(child.stdout.take());
    let output = child.wait_with_output().unwrap();
    assert!(
        output.status.success() && output.stderr.is_empty(),
        "{output:?}"
    );
    let script = stdout(&run(&["completions", "zsh"]));
    assert!(script.contains("#compdef query-aggregator"));
    let help = stdout(&run(&["--help"]));
    assert!(
        help.contains("Examples:") && help.contains("Exit codes:"),
        "{help}"
    );
}

/// Unit files that use the old name of the program keep working, with a one-line warning that says
/// what to change.
#[test]
fn old_environment_variables_are_used_with_one_warning() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("own.ini");
    fs::write(
        &path,
        "[log]\nlevel = info\ntargets = cottonhill_mixer::routing=debug\n",
    )
    .unwrap();
    let check_with = |variables: &[(&str, &str)]| {
        command(&["check"])
            .env_remove("COTTONHILL_SETTINGS")
            .env_remove("COTTONHILL_LOG")
            .envs(variables.iter().copied())
            .output()
            .expect("the program should start")
    };
    let old = check_with(&[
        ("COTTONHILL_SETTINGS", path.to_str().unwrap()),
        ("COTTONHILL_LOG", "warn"),
    ]);
    assert!(old.status.success(), "{}", stderr(&old));
    assert!(stdout(&old).contains("own.ini:2"), "{old:?}");
    let warning = stderr(&old);
    assert_eq!(warning.lines().count(), 1, "{warning}");
    for name in ["SETTINGS", "LOG"] {
        assert!(
            warning.contains(&format!(
                "COTTONHILL_{name} is now called QUERY_AGGREGATOR_{name}"
            )),
            "{warning}"
        );
    }
    let missing = folder.path().join("missing.ini");
    let both = [
        ("COTTONHILL_SETTINGS", missing.to_str().unwrap()),
        ("QUERY_AGGREGATOR_SETTINGS", path.to_str().unwrap()),
    ];
    assert!(
        check_with(&both).status.success(),
        "expected the new name to take precedence over the old one"
    );
    let neither = check_with(&[]);
    assert!(
        neither.status.success() && neither.stderr.is_empty(),
        "{neither:?}"
    );
}
