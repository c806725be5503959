//! Decompression restores the original bytes and is limited to the declared size.

use wire::{compress, decompress};

#[test]
fn decompression_requires_exactly_the_declared_size() {
    let raw: Vec<u8> = (0..200_000u32).flat_map(|n| format!("\"f{}\":{{}},", n % 977).into_bytes()).collect();
    let compressed = compress(&raw);
    assert!(compressed.bytes.len() * 4 < raw.len());
    assert_eq!(decompress(compressed.bytes.as_slice(), compressed.size).as_deref(), Some(&raw[..]));
    assert_eq!(decompress(compressed.bytes.as_slice(), compressed.size - 1), None);
    assert_eq!(decompress(compressed.bytes.as_slice(), compressed.size + 1), None);
    assert_eq!(decompress(&compressed.bytes.as_slice()[..compressed.bytes.len() / 2], compressed.size), None);
    assert_eq!(decompress(compressed.bytes.as_slice(), u32::MAX), None);
}
