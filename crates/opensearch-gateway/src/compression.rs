//! Gzip compression and decompression of bodies, with a limit on the decompressed size.

use flate2::read::MultiGzDecoder;
use flate2::write::GzEncoder;
use flate2::Compression;
use std::io::{self, Read, Write};

/// Minimum length of a response body that is compressed, in bytes.
pub const MIN_COMPRESSED_BYTES: usize = 1024;

/// Ratio of the body's length to the capacity that is reserved for the compressed body.
const EXPECTED_COMPRESSION_RATIO: usize = 4;

/// Error of [`decompress`].
#[derive(Debug, thiserror::Error)]
pub enum DecompressError {
    /// The body is not in gzip format, or is truncated.
    #[error("the body is no gzip: {0}")]
    InvalidGzip(#[source] io::Error),
    /// The decompressed body exceeds the limit.
    #[error("the body unpacks to more than {max_bytes} bytes")]
    TooLong {
        /// Maximum length of the decompressed body.
        max_bytes: usize,
    },
}

/// Decompresses a gzip body.
///
/// Decompression stops one byte after `max_bytes`, so that a small body cannot exhaust the memory.
///
/// # Errors
/// Returns an error if the body is not valid gzip or decompresses to more than `max_bytes`.
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

/// Compresses a body with gzip.
///
/// Returns `None` on a write error, which does not occur because the output is in memory.
pub fn compress(body: &[u8]) -> Option<Vec<u8>> {
    let buffer = Vec::with_capacity(body.len() / EXPECTED_COMPRESSION_RATIO);
    let mut encoder = GzEncoder::new(buffer, Compression::fast());
    encoder.write_all(body).ok()?;
    encoder.finish().ok()
}
