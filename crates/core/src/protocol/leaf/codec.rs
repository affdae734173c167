//! Encodes and decodes the frames of [`LeafRequest`] and [`LeafResponse`].
//!
//! The length of a frame from a leaf server may be wrong. Since the first byte of every valid
//! length is [`FRAME_START`], which does not occur in the text of a frame, both kinds of wrong
//! lengths are detected: a frame that is too long contains the start of the next one, and behind a
//! frame that is too short the rest of its text follows.

use super::{CallPart, LeafRequest, LeafResponse, PartStatus};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use std::io::{self, ErrorKind};
use tokio_util::codec::{Decoder, Encoder};

/// Number of bytes of the length prefix of a frame. The length counts the kind and the payload.
const LENGTH_BYTES: usize = 4;
/// Maximum length of a part result: the status line, and a value that fits into a body to a client.
const MAX_PART_RESULT_BYTES: usize = 64 * 1024 + 512;
/// Maximum length of a frame of any other kind.
const MAX_STATUS_BYTES: usize = 1024;
/// First byte of each frame: the most significant byte of its length, which is zero because all
/// valid lengths are far below 2^24.
const FRAME_START: u8 = 0;

const CALL: u8 = b'Q';
const CANCEL: u8 = b'X';
const HEALTH_CHECK: u8 = b'P';
const LOAD_REPORT: u8 = b'L';
const PART_RESULT: u8 = b'A';
const PROTOCOL_ERROR: u8 = b'E';

/// Codec for the aggregator's side of a connection to a leaf server. After a malformed frame it
/// discards all further input, since the start of the next frame is unknown.
#[derive(Default)]
pub struct LeafCodec {
    is_out_of_sync: bool,
}

impl LeafCodec {
    /// Ends a frame of which only the bytes in `received` have arrived. Returns it as malformed.
    pub fn end_truncated_frame(&mut self, received: &[u8]) -> LeafResponse {
        self.is_out_of_sync = true;
        malformed(received.get(LENGTH_BYTES..).unwrap_or_default())
    }
}

impl Encoder<LeafRequest> for LeafCodec {
    type Error = io::Error;

    fn encode(&mut self, frame: LeafRequest, dst: &mut BytesMut) -> io::Result<()> {
        let start = dst.len();
        // Placeholder for the length, which is filled in once the payload has been written.
        dst.put_u32(0);
        match frame {
            LeafRequest::Call(parts) => {
                dst.put_u8(CALL);
                parts.iter().for_each(|part| encode_part(part, dst));
            }
            LeafRequest::Cancel(id) => {
                dst.put_u8(CANCEL);
                dst.put_slice(id.as_bytes());
            }
            LeafRequest::HealthCheck => dst.put_u8(HEALTH_CHECK),
            LeafRequest::LoadReport => dst.put_u8(LOAD_REPORT),
        }
        let payload = start + LENGTH_BYTES;
        let length = u32::try_from(dst.len() - payload).map_err(|_| ErrorKind::InvalidInput)?;
        dst[start..payload].copy_from_slice(&length.to_be_bytes());
        Ok(())
    }
}

fn encode_part(part: &CallPart, dst: &mut BytesMut) {
    let CallPart {
        id,
        shard,
        wait_ms,
        text,
    } = part;
    dst.put_slice(format!("{id} {shard} d={wait_ms} {}\n", text.len()).as_bytes());
    dst.put_slice(text);
}

impl Decoder for LeafCodec {
    type Item = LeafResponse;
    type Error = io::Error;

    fn decode(&mut self, src: &mut BytesMut) -> io::Result<Option<LeafResponse>> {
        if self.is_out_of_sync {
            src.clear();
            return Ok(None);
        }
        let Some(header) = src.first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*header) as usize;
        // Checked before the rest of the frame has arrived, because the rest of a frame with an
        // invalid length never arrives.
        if !is_valid_length(src.get(LENGTH_BYTES).copied(), length) {
            self.is_out_of_sync = true;
            return Ok(Some(malformed(&src.split()[LENGTH_BYTES..])));
        }
        if src.len() < LENGTH_BYTES + length {
            return Ok(None);
        }
        src.advance(LENGTH_BYTES);
        let body = Bytes::copy_from_slice(&src[..length]);
        src.advance(length);
        let frame = if body.contains(&FRAME_START) || may_continue_text(src) {
            malformed(&body)
        } else {
            decode_body(&body)
        };
        self.is_out_of_sync = matches!(frame, LeafResponse::Malformed(_));
        Ok(Some(frame))
    }
}

/// Returns whether `following`, which has arrived directly behind a frame, may be the rest of that
/// frame's text. Neither the start of another frame nor bytes that no UTF-8 text begins with can
/// be: the latter are noise behind a complete frame.
fn may_continue_text(following: &[u8]) -> bool {
    match following.first() {
        None | Some(&FRAME_START) => false,
        Some(_) => std::str::from_utf8(following).map_or_else(
            |error| error.valid_up_to() > 0 || error.error_len().is_none(),
            |_| true,
        ),
    }
}

/// Returns whether a frame of this kind may have this length. `kind` is `None` if the kind has not
/// arrived yet.
fn is_valid_length(kind: Option<u8>, length: usize) -> bool {
    match kind {
        None => (1..=MAX_PART_RESULT_BYTES).contains(&length),
        Some(PART_RESULT) => (2..=MAX_PART_RESULT_BYTES).contains(&length),
        Some(HEALTH_CHECK | LOAD_REPORT | PROTOCOL_ERROR) => {
            (1..=MAX_STATUS_BYTES).contains(&length)
        }
        Some(_) => false,
    }
}

/// Decodes a complete frame without its length prefix. The caller has checked the kind.
fn decode_body(body: &Bytes) -> LeafResponse {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).trim().to_string();
    match body[0] {
        PART_RESULT => decode_part_result(body.slice(1..)).unwrap_or_else(|| malformed(body)),
        PROTOCOL_ERROR => LeafResponse::ProtocolError(text(&body[1..])),
        _ => {
            let report = text(&body[1..]);
            LeafResponse::HealthCheckResult {
                ok: report != "err",
                report,
            }
        }
    }
}

/// Decodes a part result: `id status score report`, a line feed and the value. Returns `None` if it
/// is malformed. A malformed load report counts as no report.
fn decode_part_result(payload: Bytes) -> Option<LeafResponse> {
    let line_end = payload.iter().position(|byte| *byte == b'\n')?;
    let line = std::str::from_utf8(&payload[..line_end]).ok()?;
    let mut fields = line.splitn(4, ' ');
    let id = fields.next()?;
    let status_field = fields.next()?;
    let score = fields.next()?;
    let report = fields.next()?;
    let value = payload.slice(line_end + 1..);
    if score != "-" && score.parse::<f64>().is_err() {
        return None;
    }
    let status = match status_field {
        // The value is sent to the client within JSON, which cannot carry a value that is not UTF-8
        // unchanged.
        "ok" if !value.is_empty() && std::str::from_utf8(&value).is_ok() => PartStatus::Ok,
        "err" => PartStatus::Error,
        "busy" => PartStatus::Busy,
        _ => return None,
    };
    Some(LeafResponse::PartResult {
        id: id.to_string(),
        status,
        report: report.to_string(),
        value,
    })
}

/// Returns the response for a frame that cannot be decoded. `body` is what has arrived of the frame
/// after its length. The part's id counts only if the blank that ends it has arrived.
fn malformed(body: &[u8]) -> LeafResponse {
    let payload = body.strip_prefix(&[PART_RESULT]).unwrap_or_default();
    let id = payload
        .iter()
        .position(|byte| *byte == b' ')
        .and_then(|id_end| std::str::from_utf8(&payload[..id_end]).ok());
    LeafResponse::Malformed(id.map(str::to_string))
}
