//! Packed bytes: deflated once where they are made, shared by all they are sent to, and inflated by
//! their receiver to no more than the size that was told, itself bounded.

use crate::Blob;
use crate::primitives::MAX_BLOB_BYTES;

/// The best of what is cheap: beyond it JSON shrinks by little more and the time doubles.
const COMPRESSION_LEVEL: u8 = 4;

/// Packed bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Compressed {
    /// Bytes before packing.
    pub size: u32,
    /// The bytes, packed.
    pub bytes: Blob,
}

/// Packs bytes.
pub fn compress(raw: &[u8]) -> Compressed {
    Compressed { size: raw.len() as u32, bytes: miniz_oxide::deflate::compress_to_vec(raw, COMPRESSION_LEVEL).into() }
}

/// Unpacks bytes that must come to this size; none if they do not.
pub fn decompress(packed: &[u8], size: u32) -> Option<Vec<u8>> {
    if size > MAX_BLOB_BYTES * 2 {
        return None;
    }
    let raw = miniz_oxide::inflate::decompress_to_vec_with_limit(packed, size as usize).ok()?;
    (raw.len() == size as usize).then_some(raw)
}
