//! The client's side of a watch on discovery: one request, and a body of messages that goes on
//! until the watch ends.

use super::body::{BodyProgress, BodyReader};
use super::watch_scanner::{MessageScanner, ScanEvent};
use super::{MAX_HEADERS, MAX_HEAD_BYTES};
use bytes::{Buf, Bytes, BytesMut};
use std::io::{self, ErrorKind};
use tokio_util::codec::{Decoder, Encoder};

/// The longest message of a watch: the complete list of some thousand leaf servers, indented.
const MAX_MESSAGE_BYTES: usize = 1024 * 1024;

/// The request that starts a watch.
pub struct WatchRequest {
    /// The discovery agent's address.
    pub host: String,
    /// The version of the list to continue from.
    pub from: u64,
}

/// The client's side of one watch.
#[derive(Default)]
pub struct WatchCodec {
    /// Present once the head of the response has been read.
    body_reader: Option<BodyReader>,
    /// What has arrived of the body and belongs to no message yet.
    text: BytesMut,
    scanner: MessageScanner,
    /// A message has ended on the current line.
    after_message: bool,
}

impl WatchCodec {
    /// Whether the head of the response has arrived.
    pub fn has_begun(&self) -> bool {
        self.body_reader.is_some()
    }

    fn parse_head(src: &mut BytesMut) -> io::Result<Option<BodyReader>> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Response::new(&mut headers);
        match parsed.parse(src).map_err(invalid_data)? {
            httparse::Status::Complete(length) => {
                let status = parsed.code.unwrap_or_default();
                if status != 200 {
                    return Err(invalid_data(format!("discovery answered {status}")));
                }
                let body_reader = BodyReader::from_headers(parsed.headers).map_err(invalid_data)?;
                src.advance(length);
                Ok(Some(body_reader.unwrap_or(BodyReader::Length(usize::MAX))))
            }
            httparse::Status::Partial if src.len() <= MAX_HEAD_BYTES => Ok(None),
            httparse::Status::Partial => Err(invalid_data("head too large")),
        }
    }

    /// The next message in the text that has arrived.
    fn next_message(&mut self) -> Option<Bytes> {
        while let Some(event) = self.scanner.scan(&self.text) {
            if event == ScanEvent::LineWithinMessage {
                return Some(Bytes::new());
            }
            let end = std::mem::take(&mut self.scanner).position();
            let text = self.text.split_to(end).freeze();
            let was_after_message =
                std::mem::replace(&mut self.after_message, event == ScanEvent::MessageEnd);
            // The blanks between a message and the end of its line are no message of their own.
            if !was_after_message || !text.trim_ascii().is_empty() {
                return Some(text);
            }
        }
        None
    }
}

impl Encoder<WatchRequest> for WatchCodec {
    type Error = io::Error;

    fn encode(&mut self, request: WatchRequest, dst: &mut BytesMut) -> io::Result<()> {
        let WatchRequest { host, from } = request;
        let text = format!("GET /api/targets?watch=1&from={from} HTTP/1.1\r\nHost: {host}\r\n\r\n");
        dst.extend_from_slice(text.as_bytes());
        Ok(())
    }
}

impl Decoder for WatchCodec {
    /// One message, however many lines it has; an empty one is the agent's heartbeat.
    type Item = Bytes;
    type Error = io::Error;

    fn decode(&mut self, src: &mut BytesMut) -> io::Result<Option<Bytes>> {
        if self.body_reader.is_none() {
            self.body_reader = Self::parse_head(src)?;
        }
        let Some(body_reader) = &mut self.body_reader else {
            return Ok(None);
        };
        let progress = body_reader
            .read(src, &mut self.text, MAX_MESSAGE_BYTES)
            .map_err(invalid_data)?;
        match self.next_message() {
            Some(message) => Ok(Some(message)),
            None if progress == BodyProgress::Complete => Err(ErrorKind::UnexpectedEof.into()),
            None => Ok(None),
        }
    }
}

fn invalid_data(error: impl Into<Box<dyn std::error::Error + Send + Sync>>) -> io::Error {
    io::Error::new(ErrorKind::InvalidData, error)
}
