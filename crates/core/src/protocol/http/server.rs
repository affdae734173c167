//! Server codec, which decodes requests and encodes responses.

use super::body::{BodyError, BodyProgress, BodyReader};
use super::head::RequestHead;
use super::{Request, RequestError, Response, MAX_BODY_BYTES};
use crate::memory::{ConnectionMemory, MemoryBudget, MemoryReservation};
use bytes::BytesMut;
use std::io;
use tokio_util::codec::{Decoder, Encoder};

/// Codec for the server side of one connection. After an invalid request, or one for which no
/// memory is left, it discards all further input, since the start of the next request is unknown.
pub struct ServerCodec {
    head: Option<RequestHead>,
    body: BytesMut,
    /// Memory for the request that is being read.
    memory: MemoryReservation,
    discards_input: bool,
    /// Number of bytes that were decoded or discarded.
    consumed_bytes: u64,
}

impl Default for ServerCodec {
    /// Creates a codec without a limit over several connections.
    fn default() -> ServerCodec {
        ServerCodec::new(&MemoryBudget::new(usize::MAX).open_account())
    }
}

impl ServerCodec {
    /// Creates a codec that takes the memory for incomplete requests from the given account.
    pub fn new(memory: &ConnectionMemory) -> ServerCodec {
        ServerCodec {
            head: None,
            body: BytesMut::new(),
            memory: memory.empty_reservation(),
            discards_input: false,
            consumed_bytes: 0,
        }
    }

    /// Returns the number of bytes that were decoded or discarded since the connection was opened.
    pub fn consumed_bytes(&self) -> u64 {
        self.consumed_bytes
    }

    /// Returns whether the head of a request has been read while its body is still incomplete.
    pub fn is_in_request(&self) -> bool {
        self.head.is_some()
    }

    /// Discards the rest of the current request and all further input.
    pub fn discard_input(&mut self) {
        self.discards_input = true;
        self.drop_request();
    }

    /// Drops what has been read of the current request.
    fn drop_request(&mut self) {
        self.head = None;
        self.body = BytesMut::new();
        // Cannot fail, since the reservation becomes smaller.
        let _ = self.memory.resize(0);
    }

    fn read_request(&mut self, src: &mut BytesMut) -> Result<Option<Request>, RequestError> {
        if self.head.is_none() {
            self.read_head(src)?;
        }
        let Some(head) = &mut self.head else {
            return Ok(None);
        };
        let progress = head
            .body_reader
            .read(src, &mut self.body, MAX_BODY_BYTES)
            .map_err(|error| match error {
                BodyError::MalformedChunk => RequestError::bad_request("bad chunk"),
                BodyError::TooLarge => RequestError::BODY_TOO_LARGE,
            })?;
        if progress == BodyProgress::Incomplete {
            // A chunked body grows as it is read.
            let head_bytes = head.request.heap_bytes();
            self.memory.resize(head_bytes + self.body.capacity())?;
            return Ok(None);
        }
        let body = std::mem::take(&mut self.body).freeze();
        let request = self.head.take().map(|head| Request {
            body,
            ..head.request
        });
        self.drop_request();
        Ok(request)
    }

    /// Reads the head of a request, and reserves the memory for it and for a body of known length.
    fn read_head(&mut self, src: &mut BytesMut) -> Result<(), RequestError> {
        let Some(head) = RequestHead::parse(src)? else {
            return Ok(());
        };
        let body_bytes = match head.body_reader {
            BodyReader::Length(length) => length,
            _ => 0,
        };
        self.memory.resize(head.request.heap_bytes() + body_bytes)?;
        self.body.reserve(body_bytes);
        self.head = Some(head);
        Ok(())
    }
}

impl Decoder for ServerCodec {
    type Item = Result<Request, RequestError>;
    type Error = io::Error;

    fn decode(&mut self, src: &mut BytesMut) -> io::Result<Option<Self::Item>> {
        let available = src.len();
        let item = if self.discards_input {
            src.clear();
            None
        } else {
            self.read_request(src).transpose()
        };
        self.consumed_bytes += (available - src.len()) as u64;
        if matches!(item, Some(Err(_))) {
            self.discard_input();
        }
        Ok(item)
    }

    /// Discards an incomplete request: a client may disconnect in the middle of one, which is not
    /// an error.
    fn decode_eof(&mut self, src: &mut BytesMut) -> io::Result<Option<Self::Item>> {
        let item = self.decode(src)?;
        if item.is_none() {
            src.clear();
        }
        Ok(item)
    }
}

impl Encoder<Response> for ServerCodec {
    type Error = io::Error;

    fn encode(&mut self, response: Response, dst: &mut BytesMut) -> io::Result<()> {
        response.encode(dst);
        Ok(())
    }
}
