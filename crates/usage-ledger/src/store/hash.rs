//! SHA-256 hashes of statements and documents.

use sha2::{Digest, Sha256};

/// Returns the SHA-256 hash of `bytes` in hexadecimal.
pub fn sha256_hex(bytes: &[u8]) -> String {
    hex::encode(Sha256::digest(bytes))
}
