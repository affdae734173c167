//! Server codec, which decodes requests and encodes responses.

use super::body::{BodyError, BodyProgress};
use super::head::RequestHead;
use super::{Request, RequestError, Response, MAX_BODY_BYTES};
use bytes::BytesMut;
use std::io;
use tokio_util::codec::{Decoder, Encoder};

/// Codec for the server side of one connection. After an invalid request it discards all further
/// input, since the start of the next request is unknown.
#[derive(Default)]
pub struct ServerCodec {
    head: Option<RequestHead>,
    body: BytesMut,
    discards_input: bool,
}

impl ServerCodec {
    /// Returns whether the head of a request has been read while its body is still incomplete.
    pub fn is_in_request(&self) -> bool {
        self.head.is_some()
    }

    /// Discards the rest of the current request and all further input.
    pub fn discard_input(&mut self) {
        self.discards_input = true;
    }

    fn read_request(&mut self, src: &mut BytesMut) -> Result<Option<Request>, RequestError> {
        if self.head.is_none() {
            self.head = RequestHead::parse(src)?;
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
            return Ok(None);
        }
        let body = std::mem::take(&mut self.body).freeze();
        Ok(self.head.take().map(|head| Request {
            body,
            ..head.request
        }))
    }
}

impl Decoder for ServerCodec {
    type Item = Result<Request, RequestError>;
    type Error = io::Error;

    fn decode(&mut self, src: &mut BytesMut) -> io::Result<Option<Self::Item>> {
        if self.discards_input {
            src.clear();
            return Ok(None);
        }
        let item = self.read_request(src).transpose();
        self.discards_input = matches!(item, Some(Err(_)));
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
