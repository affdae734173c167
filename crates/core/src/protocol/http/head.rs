//! Requests, and how their heads are parsed.

use super::body::BodyReader;
use super::{RequestError, MAX_BODY_BYTES, MAX_HEADERS, MAX_HEAD_BYTES};
use bytes::{Buf, Bytes, BytesMut};

/// One header field of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct HeaderField {
    /// The name, in lower case.
    pub name: String,
    /// The value, without blanks around it.
    pub value: String,
}

/// One complete request; the last byte of its body has been read.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// The method, in upper case.
    pub method: String,
    /// The request target, with its query string.
    pub path: String,
    /// The header fields.
    pub headers: Vec<HeaderField>,
    /// The body; empty if there is none.
    pub body: Bytes,
    /// The connection may serve another request after this one.
    pub keep_alive: bool,
}

impl Request {
    /// The value of the first header field of this name, which is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.headers, name)
    }
}

/// A request whose body is still to be read.
pub(super) struct RequestHead {
    /// The request, with an empty body.
    pub(super) request: Request,
    /// Reads its body.
    pub(super) body_reader: BodyReader,
}

impl RequestHead {
    /// Takes a head from the front of `src`; none while it is incomplete.
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

/// Whether the connection stays open: as the client requests, else by the version's default.
fn is_kept_alive(headers: &[HeaderField], minor_version: Option<u8>) -> bool {
    let connection = find_header(headers, "connection").map(str::to_ascii_lowercase);
    match connection.as_deref() {
        Some(options) if options.contains("close") => false,
        Some(options) if options.contains("keep-alive") => true,
        _ => minor_version == Some(1),
    }
}
