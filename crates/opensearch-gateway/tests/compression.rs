//! Tests of body compression and of the limit on the decompressed size.

use opensearch_gateway::compression::{compress, decompress};

#[test]
fn decompression_enforces_the_size_limit_and_rejects_invalid_gzip() {
    let max_bytes = 65_536;
    let long_body = vec![b' '; 10_000_000];
    let compressed = compress(&long_body).unwrap();
    assert!(
        compressed.len() < 100_000
            && decompress(&compressed, max_bytes)
                .unwrap_err()
                .to_string()
                .contains("more than 65536")
    );
    // Concatenated gzip members form one body, and the limit applies to their total size.
    let many_members = compress(&[b' '; 1000]).unwrap().repeat(1000);
    assert!(decompress(&many_members, max_bytes).is_err());
    assert_eq!(decompress(&compress(b"{}").unwrap(), 2).unwrap(), b"{}");
    let truncated = &compressed[..compressed.len() / 2];
    for invalid in [&b"{}"[..], b"", truncated, &compressed[..12]] {
        assert!(decompress(invalid, 20_000_000).is_err());
    }
}
