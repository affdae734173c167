//! Requests, and the parser for their heads.

use super::body::BodyReader;
use super::{RequestError, MAX_BODY_BYTES, MAX_HEADERS, MAX_HEAD_BYTES};
use crate::memory::ALLOCATION_OVERHEAD_BYTES;
use bytes::{Buf, Bytes, BytesMut};

/// A header field of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct HeaderField {
    /// Name of the field, in lower case.
    pub name: String,
    /// Value of the field, without surrounding whitespace.
    pub value: String,
}

/// A complete request, whose body has been read to its end.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Method as sent, for example `POST`.
    pub method: String,
    /// Request target, including the query string.
    pub path: String,
    /// Header fields, in the order sent.
    pub headers: Vec<HeaderField>,
    /// Body; empty if the request has none.
    pub body: Bytes,
    /// Whether the connection may serve another request after this one.
    pub keep_alive: bool,
}

impl Request {
    /// Returns the memory that the head uses beyond its own size, in bytes.
    pub(super) fn heap_bytes(&self) -> usize {
        let field_bytes = self.headers.iter().map(|header| {
            header.name.capacity() + header.value.capacity() + 2 * ALLOCATION_OVERHEAD_BYTES
        });
        self.method.capacity()
            + self.path.capacity()
            + 3 * ALLOCATION_OVERHEAD_BYTES
            + self.headers.capacity() * size_of::<HeaderField>()
            + field_bytes.sum::<usize>()
    }

    /// Returns the value of the first header field with this name, which must be in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.headers, name)
    }
}

/// A request whose head has been parsed and whose body is still to be read.
pub(super) struct RequestHead {
    /// The request with an empty body.
    pub(super) request: Request,
    /// Reader for the body of the request.
    pub(super) body_reader: BodyReader,
}

impl RequestHead {
    /// Parses the head at the front of `src` and removes it from there. Returns `None` while the
    /// head is incomplete.
    pub(super) fn parse(src: &mut BytesMut) -> Result<Option<RequestHead>, RequestError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Request::new(&mut headers);
        let length = match parsed.parse(&src[..src.len().min(MAX_HEAD_BYTES)]) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) if src.len() < MAX_HEAD_BYTES => return Ok(None),
            Ok(httparse::Status::Partial) | Err(httparse::Error::TooManyHeaders) => {
                return Err(RequestError {
                    status: 431,
                    why: "head too large",
                });
            }
            Err(_) => return Err(RequestError::bad_request("not an HTTP/1.1 request")),
        };
        let body_reader = BodyReader::from_headers(parsed.headers)
            .map_err(|error| RequestError::bad_request(error.reason()))?
            .unwrap_or(BodyReader::Length(0));
        if matches!(body_reader, BodyReader::Length(length) if length > MAX_BODY_BYTES) {
            return Err(RequestError::BODY_TOO_LARGE);
        }
        let headers = copy_headers(parsed.headers)?;
        let keep_alive = is_kept_alive(&headers, parsed.version);
        let method = parsed.method.unwrap_or_default().to_string();
        let path = parsed.path.unwrap_or_default().to_string();
        src.advance(length);
        Ok(Some(RequestHead {
            request: Request {
                method,
                path,
                headers,
                body: Bytes::new(),
                keep_alive,
            },
            body_reader,
        }))
    }
}

fn find_header<'a>(headers: &'a [HeaderField], name: &str) -> Option<&'a str> {
    let header = headers.iter().find(|header| header.name == name)?;
    Some(&header.value)
}

fn copy_headers(headers: &[httparse::Header]) -> Result<Vec<HeaderField>, RequestError> {
    headers
        .iter()
        .map(|header| {
            let value = std::str::from_utf8(header.value)
                .map_err(|_| RequestError::bad_request("header is not UTF-8"))?;
            Ok(HeaderField {
                name: header.name.to_ascii_lowercase(),
                value: value.trim().to_string(),
            })
        })
        .collect()
}

/// Returns whether the connection stays open after the request: as the client asks, or by default
/// as the HTTP version specifies.
fn is_kept_alive(headers: &[HeaderField], minor_version: Option<u8>) -> bool {
    let connection = find_header(headers, "connection").map(str::to_ascii_lowercase);
    match connection.as_deref() {
        Some(options) if options.contains("close") => false,
        Some(options) if options.contains("keep-alive") => true,
        _ => minor_version == Some(1),
    }
}
