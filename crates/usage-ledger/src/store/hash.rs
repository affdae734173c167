//! Hashes of statements and documents.

use sha2::{Digest, Sha256};

/// The SHA-256 of `bytes` in hexadecimal.
pub fn sha256_hex(bytes: &[u8]) -> String {
    hex::encode(Sha256::digest(bytes))
}
