//! Packed bytes come back as they were, bounded by their declared size.

use wire::{compress, decompress};

#[test]
fn packed_bytes_come_back_and_never_more_than_the_declared_size() {
    let raw: Vec<u8> = (0..200_000u32).flat_map(|n| format!("\"f{}\":{{}},", n % 977).into_bytes()).collect();
    let packed = compress(&raw);
    assert!(packed.bytes.len() * 4 < raw.len());
    assert_eq!(decompress(packed.bytes.as_slice(), packed.size).as_deref(), Some(&raw[..]));
    assert_eq!(decompress(packed.bytes.as_slice(), packed.size - 1), None);
    assert_eq!(decompress(packed.bytes.as_slice(), packed.size + 1), None);
    assert_eq!(decompress(&packed.bytes.as_slice()[..packed.bytes.len() / 2], packed.size), None);
    assert_eq!(decompress(packed.bytes.as_slice(), u32::MAX), None);
}
