//! Packed bytes: deflated once where they are made, shared by all they are sent to, and inflated by
//! their receiver to no more than the size that was told, itself bounded.

use crate::Blob;
use crate::primitives::BYTES;

/// The best of what is cheap: beyond it JSON shrinks by little more and the time doubles.
const LEVEL: u8 = 4;

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Packed {
    /// Bytes before packing.
    pub size: u32,
    pub bytes: Blob,
}

pub fn pack(raw: &[u8]) -> Packed {
    Packed { size: raw.len() as u32, bytes: miniz_oxide::deflate::compress_to_vec(raw, LEVEL).into() }
}

pub fn unpack(packed: &[u8], size: u32) -> Option<Vec<u8>> {
    if size > BYTES * 2 {
        return None;
    }
    let raw = miniz_oxide::inflate::decompress_to_vec_with_limit(packed, size as usize).ok()?;
    (raw.len() == size as usize).then_some(raw)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_packed_comes_back_and_never_more_than_was_told() {
        let raw: Vec<u8> = (0..200_000u32).flat_map(|n| format!("\"f{}\":{{}},", n % 977).into_bytes()).collect();
        let packed = pack(&raw);
        assert!(packed.bytes.len() * 4 < raw.len());
        assert_eq!(unpack(packed.bytes.as_slice(), packed.size).as_deref(), Some(&raw[..]));
        assert_eq!(unpack(packed.bytes.as_slice(), packed.size - 1), None);
        assert_eq!(unpack(packed.bytes.as_slice(), packed.size + 1), None);
        assert_eq!(unpack(&packed.bytes.as_slice()[..packed.bytes.len() / 2], packed.size), None);
        assert_eq!(unpack(packed.bytes.as_slice(), u32::MAX), None);
    }
}
