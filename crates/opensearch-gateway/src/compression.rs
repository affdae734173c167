//! Gzip compression of bodies, with a bound on the decompressed size.

use flate2::read::MultiGzDecoder;
use flate2::write::GzEncoder;
use flate2::Compression;
use std::io::{self, Read, Write};

/// Responses shorter than this are not compressed.
pub const MIN_COMPRESSED_BYTES: usize = 1024;

/// Capacity reserved for the compressed body: the body's length divided by this.
const EXPECTED_COMPRESSION_RATIO: usize = 4;

/// Why a body can't be decompressed.
#[derive(Debug, thiserror::Error)]
pub enum DecompressError {
    /// The body is not gzip, or is cut short.
    #[error("the body is no gzip: {0}")]
    InvalidGzip(#[source] io::Error),
    /// The decompressed body exceeds the limit.
    #[error("the body unpacks to more than {max_bytes} bytes")]
    TooLong {
        /// The limit.
        max_bytes: usize,
    },
}

/// Decompresses a body. It stops after one byte more than `max_bytes`, so that a small body can't
/// use up the memory.
///
/// # Errors
/// The body is not gzip, or decompresses to more than `max_bytes`.
pub fn decompress(body: &[u8], max_bytes: usize) -> Result<Vec<u8>, DecompressError> {
    let mut decompressed = Vec::new();
    MultiGzDecoder::new(body)
        .take(max_bytes as u64 + 1)
        .read_to_end(&mut decompressed)
        .map_err(DecompressError::InvalidGzip)?;
    if decompressed.len() > max_bytes {
        return Err(DecompressError::TooLong { max_bytes });
    }
    Ok(decompressed)
}

/// Compresses a body. `None` if that fails, which does not happen when writing to memory.
pub fn compress(body: &[u8]) -> Option<Vec<u8>> {
    let buffer = Vec::with_capacity(body.len() / EXPECTED_COMPRESSION_RATIO);
    let mut encoder = GzEncoder::new(buffer, Compression::fast());
    encoder.write_all(body).ok()?;
    encoder.finish().ok()
}
