//! Frames on a byte stream: what comes back, and what is refused.

use wire::{ChainMessage, FORMAT, Frame, FrameError, Message, decode, encode, to_bytes};

fn frame() -> Frame {
    let message = Message::Chain(ChainMessage::Heartbeat { view: 3, round: 9, unhealthy: 0 });
    Frame { format: FORMAT, cluster: "posta".into(), sender: 7, incarnation: 2, message }
}

#[test]
fn a_frame_comes_back_as_it_went_and_a_flipped_bit_never_passes() {
    let bytes = encode(&frame());
    let checksum = u32::from_le_bytes(bytes[4..8].try_into().unwrap());
    assert_eq!(decode("posta", checksum, &bytes[8..]).unwrap(), frame());
    for place in 8..bytes.len() {
        let mut damaged = bytes.clone();
        damaged[place] ^= 0x10;
        assert!(decode("posta", checksum, &damaged[8..]).is_err());
    }
    assert!(matches!(decode("pixel", checksum, &bytes[8..]), Err(FrameError::WrongCluster(_))));
    let later = encode(&Frame { format: FORMAT + 1, ..frame() });
    let checksum = u32::from_le_bytes(later[4..8].try_into().unwrap());
    assert!(matches!(decode("posta", checksum, &later[8..]), Err(FrameError::Format(_))));
}

#[test]
fn a_length_that_lies_is_refused_without_allocating_for_it() {
    let mut record = to_bytes(&frame());
    // The length of the cluster's name, which follows the two bytes of the format.
    let lie = 2 + record[2..].iter().position(|b| *b == 5).unwrap();
    record[lie..lie + 4].copy_from_slice(&u32::MAX.to_le_bytes());
    assert!(matches!(decode("posta", crc32fast::hash(&record), &record), Err(FrameError::Malformed)));
}
