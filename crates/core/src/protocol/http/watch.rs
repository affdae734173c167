//! Client codec for a watch on the discovery agent: one request, and a response whose body carries
//! messages until the watch ends.

use super::body::{BodyProgress, BodyReader};
use super::watch_scanner::{MessageScanner, ScanEvent};
use super::{MAX_HEADERS, MAX_HEAD_BYTES};
use bytes::{Buf, Bytes, BytesMut};
use std::io::{self, ErrorKind};
use tokio_util::codec::{Decoder, Encoder};

/// Maximum length of a message, enough for the indented list of a few thousand leaf servers.
const MAX_MESSAGE_BYTES: usize = 1024 * 1024;

/// Request that starts a watch.
pub struct WatchRequest {
    /// Value of the `Host` header: the address of the discovery agent.
    pub host: String,
    /// Version of the list to continue from.
    pub from: u64,
}

/// Codec for the client side of one watch.
#[derive(Default)]
pub struct WatchCodec {
    /// `None` until the head of the response has been read.
    body_reader: Option<BodyReader>,
    /// Part of the body that has arrived and was not returned as a message yet.
    text: BytesMut,
    scanner: MessageScanner,
    /// Whether a message has ended on the current line.
    is_after_message: bool,
}

impl WatchCodec {
    /// Returns whether the head of the response has been read.
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

    /// Returns the next message in the text that has arrived. A line that ends within a message
    /// counts as an empty message.
    fn next_message(&mut self) -> Option<Bytes> {
        while let Some(event) = self.scanner.scan(&self.text) {
            if event == ScanEvent::LineWithinMessage {
                return Some(Bytes::new());
            }
            let end = std::mem::take(&mut self.scanner).position();
            let text = self.text.split_to(end).freeze();
            let was_after_message =
                std::mem::replace(&mut self.is_after_message, event == ScanEvent::MessageEnd);
            // Whitespace between a message and the end of its line is not a message.
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
    /// A message of one or more lines. An empty message is a heartbeat of the discovery agent.
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
