//! Compression of bodies, and its bound on the decompressed size.

use opensearch_gateway::compression::{compress, decompress};

#[test]
fn what_unpacks_without_end_is_cut_at_the_bound() {
    let long = vec![b' '; 10_000_000];
    let packed = compress(&long).unwrap();
    assert!(
        packed.len() < 100_000
            && decompress(&packed, 65_536)
                .unwrap_err()
                .to_string()
                .contains("more than 65536")
    );
    // Many members in a row are one body; so is a bomb of them.
    let many = compress(&[b' '; 1000]).unwrap().repeat(1000);
    assert!(decompress(&many, 65_536).is_err());
    assert_eq!(decompress(&compress(b"{}").unwrap(), 2).unwrap(), b"{}");
    let cut = &packed[..packed.len() / 2];
    for bad in [&b"{}"[..], b"", cut, &packed[..12]] {
        assert!(decompress(bad, 20_000_000).is_err());
    }
}
