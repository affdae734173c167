//! How a body is framed, and how it is read piece by piece.

use super::MAX_HEAD_BYTES;
use bytes::{Buf, BytesMut};

/// The longest line with a chunk's size and extensions.
const MAX_CHUNK_LINE_BYTES: usize = 256;

/// Reads a body piece by piece, so that a connection's buffer never holds more than a head. Each
/// variant says what comes next.
#[derive(Debug, PartialEq)]
pub(super) enum BodyReader {
    /// So many bytes of a body with a length.
    Length(usize),
    /// The line with the size of a chunk.
    ChunkLine,
    /// So many bytes of a chunk.
    ChunkData(usize),
    /// The line end after a chunk's data.
    ChunkEnd,
    /// A trailer, or the empty line that ends the body.
    Trailer,
    /// Nothing: the body is complete.
    Done,
}

/// What is wrong with a body; the reaction depends on who reads it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum BodyError {
    #[error("bad chunk")]
    MalformedChunk,
    #[error("body too large")]
    TooLarge,
}

/// What is wrong with the header fields that frame a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}", self.reason())]
pub(super) enum FramingError {
    InvalidLength,
    UnknownTransferEncoding,
    ConflictingLengths,
}

impl FramingError {
    /// What the sender is told.
    pub(super) const fn reason(self) -> &'static str {
        match self {
            FramingError::InvalidLength => "bad length",
            FramingError::UnknownTransferEncoding => "unknown transfer encoding",
            FramingError::ConflictingLengths => "two lengths",
        }
    }
}

impl BodyReader {
    /// A reader for the body that these header fields announce; none where they state neither a
    /// length nor chunks.
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

    /// Moves what has arrived of the body from `src` to `body`, which may grow to `max_bytes`; true
    /// once the body is complete.
    pub(super) fn read(
        &mut self,
        src: &mut BytesMut,
        body: &mut BytesMut,
        max_bytes: usize,
    ) -> Result<bool, BodyError> {
        while *self != BodyReader::Done {
            let next = match self {
                BodyReader::Length(left) => {
                    move_data(src, body, left, max_bytes)?.then_some(BodyReader::Done)
                }
                BodyReader::ChunkData(left) => {
                    move_data(src, body, left, max_bytes)?.then_some(BodyReader::ChunkEnd)
                }
                BodyReader::ChunkLine => read_chunk_line(src)?,
                BodyReader::ChunkEnd => read_chunk_end(src)?,
                BodyReader::Trailer => read_trailer(src)?,
                BodyReader::Done => None,
            };
            let Some(next) = next else {
                return Ok(false);
            };
            *self = next;
        }
        Ok(true)
    }
}

fn parse_length(value: &[u8]) -> Result<usize, FramingError> {
    // Digits only: a sign or a list in this place is how requests are smuggled past a proxy.
    let is_number = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
    let text = std::str::from_utf8(value)
        .ok()
        .filter(|_| is_number)
        .ok_or(FramingError::InvalidLength)?;
    // A length that overflows is still only too large.
    Ok(text.parse().unwrap_or(usize::MAX))
}

/// Moves up to `left` bytes; true once none are left.
fn move_data(
    src: &mut BytesMut,
    body: &mut BytesMut,
    left: &mut usize,
    max_bytes: usize,
) -> Result<bool, BodyError> {
    let available = (*left).min(src.len());
    if body.len() + available > max_bytes {
        return Err(BodyError::TooLarge);
    }
    body.extend_from_slice(&src[..available]);
    src.advance(available);
    *left -= available;
    Ok(*left == 0)
}

fn read_chunk_line(src: &mut BytesMut) -> Result<Option<BodyReader>, BodyError> {
    match httparse::parse_chunk_size(src) {
        Ok(httparse::Status::Complete((line, size))) => {
            src.advance(line);
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
    if src.len() < 2 {
        return Ok(None);
    }
    if &src[..2] != b"\r\n" {
        return Err(BodyError::MalformedChunk);
    }
    src.advance(2);
    Ok(Some(BodyReader::ChunkLine))
}

fn read_trailer(src: &mut BytesMut) -> Result<Option<BodyReader>, BodyError> {
    match src.iter().position(|byte| *byte == b'\n') {
        Some(line_end) => {
            let is_empty = matches!(&src[..line_end], b"" | b"\r");
            src.advance(line_end + 1);
            Ok(Some(if is_empty {
                BodyReader::Done
            } else {
                BodyReader::Trailer
            }))
        }
        None if src.len() <= MAX_HEAD_BYTES => Ok(None),
        None => Err(BodyError::MalformedChunk),
    }
}
