//! The executable that the build produces.

#![cfg(target_os = "linux")]

use std::fs;

// Offsets of the fields of a 64-bit ELF header that this test reads.
const PROGRAM_HEADERS_OFFSET: usize = 32;
const PROGRAM_HEADER_LENGTH: usize = 54;
const PROGRAM_HEADER_COUNT: usize = 56;
/// Type of a program header that names the dynamic linker: the first four bytes of the header.
const PT_INTERP: [u8; 4] = 3u32.to_le_bytes();

fn u16_at(bytes: &[u8], offset: usize) -> usize {
    let field = bytes[offset..offset + 2].try_into().unwrap();
    usize::from(u16::from_le_bytes(field))
}

fn u64_at(bytes: &[u8], offset: usize) -> usize {
    let field = bytes[offset..offset + 8].try_into().unwrap();
    usize::try_from(u64::from_le_bytes(field)).unwrap()
}

#[test]
fn the_program_is_linked_dynamically() {
    let program = fs::read(env!("CARGO_BIN_EXE_query-aggregator")).unwrap();
    assert_eq!(
        &program[..6],
        b"\x7fELF\x02\x01",
        "expected a 64-bit little-endian ELF file"
    );
    let start = u64_at(&program, PROGRAM_HEADERS_OFFSET);
    let length = u16_at(&program, PROGRAM_HEADER_LENGTH);
    let count = u16_at(&program, PROGRAM_HEADER_COUNT);
    let mut headers = program[start..start + length * count].chunks(length);
    assert!(
        headers.any(|header| header[..4] == PT_INTERP),
        "expected a program header that names the dynamic linker"
    );
}
