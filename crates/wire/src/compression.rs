//! Compression of large data: deflated once by the sender, shared by the messages to all receivers, and inflated by
//! each receiver to at most the declared size, which is bounded too.

use crate::Blob;
use crate::primitives::MAX_BLOB_BYTES;

/// Above this level JSON shrinks by little more and compression takes twice the time.
const COMPRESSION_LEVEL: u8 = 4;

/// Deflated data and its original size.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Compressed {
    /// Number of bytes before compression.
    pub size: u32,
    /// The compressed bytes.
    pub bytes: Blob,
}

/// Compresses bytes.
pub fn compress(raw: &[u8]) -> Compressed {
    Compressed { size: raw.len() as u32, bytes: miniz_oxide::deflate::compress_to_vec(raw, COMPRESSION_LEVEL).into() }
}

/// Decompresses bytes. Returns `None` unless the result has exactly `size` bytes.
pub fn decompress(compressed: &[u8], size: u32) -> Option<Vec<u8>> {
    if size > MAX_BLOB_BYTES * 2 {
        return None;
    }
    let raw = miniz_oxide::inflate::decompress_to_vec_with_limit(compressed, size as usize).ok()?;
    (raw.len() == size as usize).then_some(raw)
}
