//! Encoding and decoding of frames, and rejection of invalid ones.

use wire::{ChainMessage, FORMAT, Frame, FrameError, Message, decode, encode, to_bytes};

fn frame() -> Frame {
    let message = Message::Chain(ChainMessage::Heartbeat { view: 3, round: 9, unhealthy: 0 });
    Frame { format: FORMAT, cluster: "posta".into(), sender: 7, incarnation: 2, message }
}

#[test]
fn frames_decode_to_the_original_and_corrupt_or_foreign_ones_are_rejected() {
    let bytes = encode(&frame());
    let checksum = u32::from_le_bytes(bytes[4..8].try_into().unwrap());
    assert_eq!(decode("posta", checksum, &bytes[8..]).unwrap(), frame());
    for position in 8..bytes.len() {
        let mut corrupt = bytes.clone();
        corrupt[position] ^= 0x10;
        assert!(decode("posta", checksum, &corrupt[8..]).is_err());
    }
    assert!(matches!(decode("pixel", checksum, &bytes[8..]), Err(FrameError::WrongCluster(_))));
    let newer = encode(&Frame { format: FORMAT + 1, ..frame() });
    let checksum = u32::from_le_bytes(newer[4..8].try_into().unwrap());
    assert!(matches!(decode("posta", checksum, &newer[8..]), Err(FrameError::Format(_))));
}

#[test]
fn a_false_length_is_rejected_without_allocating_for_it() {
    let mut record = to_bytes(&frame());
    // Position of the length of the cluster's name, which follows the two bytes of the format.
    let length_position = 2 + record[2..].iter().position(|b| *b == 5).unwrap();
    record[length_position..length_position + 4].copy_from_slice(&u32::MAX.to_le_bytes());
    assert!(matches!(decode("posta", crc32fast::hash(&record), &record), Err(FrameError::Malformed)));
}
