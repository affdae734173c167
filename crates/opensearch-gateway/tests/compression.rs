//! Compression of bodies, and its bound on the decompressed size.

use opensearch_gateway::compression::{compress, decompress};

#[test]
fn decompression_stops_at_the_size_limit() {
    let long_body = vec![b' '; 10_000_000];
    let compressed = compress(&long_body).unwrap();
    assert!(
        compressed.len() < 100_000
            && decompress(&compressed, 65_536)
                .unwrap_err()
                .to_string()
                .contains("more than 65536")
    );
    // Concatenated gzip members are one body; the limit applies to all of them together.
    let many_members = compress(&[b' '; 1000]).unwrap().repeat(1000);
    assert!(decompress(&many_members, 65_536).is_err());
    assert_eq!(decompress(&compress(b"{}").unwrap(), 2).unwrap(), b"{}");
    let truncated = &compressed[..compressed.len() / 2];
    for invalid in [&b"{}"[..], b"", truncated, &compressed[..12]] {
        assert!(decompress(invalid, 20_000_000).is_err());
    }
}
