//! Runs the adapter program and decodes its replies.

use std::io::Write;
use std::process::{Command, Output, Stdio};

/// Length of the header of a reply in bytes.
const REPLY_HEADER_LENGTH: usize = 12;
/// Length of a record of a reply in bytes.
const REPLY_RECORD_LENGTH: usize = 32;

/// The bytes of one record of a reply.
pub type ReplyRecord = Vec<u8>;

/// Runs the adapter with this input and waits until the adapter ends.
pub fn run(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter should start");
    let mut stdin = child.stdin.take().expect("standard input should be a pipe");
    // The write fails if the adapter ends before it has read all of an invalid input.
    let _ = stdin.write_all(input);
    drop(stdin);
    child.wait_with_output().expect("the adapter should end")
}

/// Returns the error message for an invalid input, which must be one line without a backtrace and
/// without any reply.
pub fn error_line(input: &[u8]) -> String {
    let output = run(input);
    assert!(!output.status.success());
    assert!(output.stdout.is_empty());
    let text = String::from_utf8(output.stderr).expect("standard error should be UTF-8");
    assert_eq!(text.lines().count(), 1, "expected one line: {text}");
    text
}

/// Returns the records of each reply.
pub fn replies(output: &Output) -> Vec<Vec<ReplyRecord>> {
    let mut bytes = &output.stdout[..];
    let mut replies = Vec::new();
    while !bytes.is_empty() {
        let field =
            |offset: usize| u32::from_le_bytes(bytes[offset..offset + 4].try_into().unwrap());
        let records_length = field(4) as usize * REPLY_RECORD_LENGTH;
        let body_length = field(8) as usize;
        assert!(
            records_length <= body_length,
            "expected the records to fit into the body"
        );
        let body = &bytes[REPLY_HEADER_LENGTH..];
        let records = body[..records_length].chunks(REPLY_RECORD_LENGTH);
        replies.push(records.map(<[u8]>::to_vec).collect());
        bytes = &body[body_length..];
    }
    replies
}
