//! Framing of message bodies, and an incremental reader for them.

use super::MAX_HEAD_BYTES;
use bytes::{Buf, BytesMut};

/// Maximum length of the line with a chunk's size and extensions.
const MAX_CHUNK_LINE_BYTES: usize = 256;
const LINE_END: &[u8] = b"\r\n";

/// Incremental reader of a body, which keeps the buffer of a connection no larger than a head. Each
/// variant states what has to be read next.
#[derive(Debug, PartialEq)]
pub(super) enum BodyReader {
    /// The remaining bytes of a body with a known length.
    Length(usize),
    /// The line with the size of a chunk.
    ChunkLine,
    /// The remaining bytes of a chunk.
    ChunkData(usize),
    /// The line end after the data of a chunk.
    ChunkEnd,
    /// A trailer, or the empty line that ends the body.
    Trailer,
    /// Nothing: the body is complete.
    Done,
}

/// Why a body is invalid. Each codec converts this error to its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum BodyError {
    #[error("bad chunk")]
    MalformedChunk,
    #[error("body too large")]
    TooLarge,
}

/// Why the header fields that frame a body are invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}", self.reason())]
pub(super) enum FramingError {
    InvalidLength,
    UnknownTransferEncoding,
    ConflictingLengths,
}

impl FramingError {
    /// Returns the reason that is sent in the response.
    pub(super) const fn reason(self) -> &'static str {
        match self {
            FramingError::InvalidLength => "bad length",
            FramingError::UnknownTransferEncoding => "unknown transfer encoding",
            FramingError::ConflictingLengths => "two lengths",
        }
    }
}

/// Whether a body has been read to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BodyProgress {
    Incomplete,
    Complete,
}

impl BodyReader {
    /// Returns a reader for the body that the header fields announce, or `None` if they state
    /// neither a length nor the chunked encoding.
    pub(super) fn from_headers(
        headers: &[httparse::Header],
    ) -> Result<Option<BodyReader>, FramingError> {
        let mut reader = None;
        for header in headers {
            let value = header.value.trim_ascii();
            let announced = if header.name.eq_ignore_ascii_case("content-length") {
                BodyReader::Length(parse_length(value)?)
            } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
                if !value.eq_ignore_ascii_case(b"chunked") {
                    return Err(FramingError::UnknownTransferEncoding);
                }
                BodyReader::ChunkLine
            } else {
                continue;
            };
            if reader.as_ref().is_some_and(|reader| *reader != announced) {
                return Err(FramingError::ConflictingLengths);
            }
            reader = Some(announced);
        }
        Ok(reader)
    }

    /// Moves the part of the body that has arrived from `src` to `body`, which may grow to
    /// `max_bytes`.
    pub(super) fn read(
        &mut self,
        src: &mut BytesMut,
        body: &mut BytesMut,
        max_bytes: usize,
    ) -> Result<BodyProgress, BodyError> {
        while *self != BodyReader::Done {
            let Some(next) = self.read_step(src, body, max_bytes)? else {
                return Ok(BodyProgress::Incomplete);
            };
            *self = next;
        }
        Ok(BodyProgress::Complete)
    }

    /// Reads the element that this variant stands for. Returns the variant that follows, or `None`
    /// while the element is incomplete.
    fn read_step(
        &mut self,
        src: &mut BytesMut,
        body: &mut BytesMut,
        max_bytes: usize,
    ) -> Result<Option<BodyReader>, BodyError> {
        match self {
            BodyReader::Length(remaining) => {
                move_data(src, body, remaining, max_bytes)?;
                Ok((*remaining == 0).then_some(BodyReader::Done))
            }
            BodyReader::ChunkData(remaining) => {
                move_data(src, body, remaining, max_bytes)?;
                Ok((*remaining == 0).then_some(BodyReader::ChunkEnd))
            }
            BodyReader::ChunkLine => read_chunk_line(src),
            BodyReader::ChunkEnd => read_chunk_end(src),
            BodyReader::Trailer => read_trailer(src),
            BodyReader::Done => Ok(None),
        }
    }
}

fn parse_length(value: &[u8]) -> Result<usize, FramingError> {
    // Only digits are accepted. A sign or a list would allow request smuggling, where a proxy reads
    // a different length.
    let is_number = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
    let text = std::str::from_utf8(value)
        .ok()
        .filter(|_| is_number)
        .ok_or(FramingError::InvalidLength)?;
    // A length that overflows is handled like any other length that is too large.
    Ok(text.parse().unwrap_or(usize::MAX))
}

/// Moves up to `remaining` bytes from `src` to `body`, and subtracts their number from `remaining`.
fn move_data(
    src: &mut BytesMut,
    body: &mut BytesMut,
    remaining: &mut usize,
    max_bytes: usize,
) -> Result<(), BodyError> {
    let available = (*remaining).min(src.len());
    if body.len() + available > max_bytes {
        return Err(BodyError::TooLarge);
    }
    body.extend_from_slice(&src[..available]);
    src.advance(available);
    *remaining -= available;
    Ok(())
}

fn read_chunk_line(src: &mut BytesMut) -> Result<Option<BodyReader>, BodyError> {
    match httparse::parse_chunk_size(src) {
        Ok(httparse::Status::Complete((line_bytes, size))) => {
            src.advance(line_bytes);
            let size = usize::try_from(size).map_err(|_| BodyError::TooLarge)?;
            Ok(Some(match size {
                0 => BodyReader::Trailer,
                size => BodyReader::ChunkData(size),
            }))
        }
        Ok(httparse::Status::Partial) if src.len() <= MAX_CHUNK_LINE_BYTES => Ok(None),
        _ => Err(BodyError::MalformedChunk),
    }
}

fn read_chunk_end(src: &mut BytesMut) -> Result<Option<BodyReader>, BodyError> {
    if src.len() < LINE_END.len() {
        return Ok(None);
    }
    if !src.starts_with(LINE_END) {
        return Err(BodyError::MalformedChunk);
    }
    src.advance(LINE_END.len());
    Ok(Some(BodyReader::ChunkLine))
}

fn read_trailer(src: &mut BytesMut) -> Result<Option<BodyReader>, BodyError> {
    let Some(line_end) = src.iter().position(|byte| *byte == b'\n') else {
        return if src.len() <= MAX_HEAD_BYTES {
            Ok(None)
        } else {
            Err(BodyError::MalformedChunk)
        };
    };
    let is_empty = matches!(&src[..line_end], b"" | b"\r");
    src.advance(line_end + 1);
    Ok(Some(if is_empty {
        BodyReader::Done
    } else {
        BodyReader::Trailer
    }))
}
