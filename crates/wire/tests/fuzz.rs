//! Decoding of randomly corrupted frames never panics and never accepts bytes that differ from the decoded frame.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wire::{
    ChainMessage, ConfigurationEpoch, ConfigurationItem, FORMAT, ForwardMessage, ForwardRequest, Frame, LeaseMessage,
    LogEntry, Message, NodeAddress, PlanMessage, ProposalId, View, decode, encode, from_bytes, to_bytes,
};

fn forward_request() -> ForwardRequest {
    ForwardRequest {
        task: 5,
        function: "a/f".into(),
        binding: "a/b".into(),
        remaining_ms: 4000,
        resends: 0,
        attempts: 1,
        respond_async: 0,
        key: "k".into(),
        head: vec![7; 9].into(),
        body: vec![8; 9].into(),
    }
}

fn samples() -> Vec<Message> {
    let view = View {
        number: 3,
        chain: vec![1, 2].into(),
        voters: vec![NodeAddress { id: 1, address: "127.0.0.1:1".into() }].into(),
        learner: 0,
        optimizer: 2,
    };
    let entry = LogEntry { seq: 9, op: ProposalId { origin: 1, number: 2 }, body: vec![7; 40].into() };
    let item = ConfigurationItem { key: "function-bindings/a/b".into(), is_removed: 0, value: b"{}".to_vec().into() };
    let epoch =
        ConfigurationEpoch { number: 4, revision: 2, quorum: vec![1, 2, 3].into(), items: vec![item.clone()].into() };
    vec![
        Message::Chain(ChainMessage::Decided { view }),
        Message::Chain(ChainMessage::Append { view: 3, fence: 8, entries: vec![entry.clone(), entry].into() }),
        Message::Lease(LeaseMessage::Stage { epoch }),
        Message::Lease(LeaseMessage::ReadReply { request_id: 1, state: 1, items: vec![item].into() }),
        Message::Forward(ForwardMessage::NotOwner { task: 5 }),
        Message::Forward(ForwardMessage::Forward { request: Box::new(forward_request()) }),
        Message::Forward(ForwardMessage::AttemptGrant { task: 5, attempts: 2 }),
        Message::Plan(PlanMessage::Reply {
            request_id: 1,
            fence: 2,
            state: 1,
            step_ms: 15_000,
            desired: vec![1, 2, 3].into(),
        }),
    ]
}

fn frame(message: Message) -> Frame {
    Frame { format: FORMAT, cluster: "posta".into(), sender: 7, incarnation: 2, message }
}

#[test]
fn corrupted_frames_are_rejected_or_decoded_faithfully() {
    let mut rng = ChaCha8Rng::seed_from_u64(4);
    let (mut rejected_count, mut decoded_count) = (0, 0);
    for round in 0..60_000 {
        let original = frame(samples()[round % 8].clone());
        let mut record = to_bytes(&original);
        for _ in 0..rng.random_range(1..6) {
            let position = rng.random_range(0..record.len());
            match rng.random_range(0..4) {
                0 => record[position] ^= 1 << rng.random_range(0..8),
                1 => record[position] = [0, 255, 127, 128][rng.random_range(0..4)],
                2 => record.truncate(position.max(1)),
                _ => record.insert(position, rng.random()),
            }
        }
        // Computes a valid checksum for the corrupted record, as a malicious sender would.
        match decode("posta", crc32fast::hash(&record), &record) {
            Ok(decoded) => {
                assert_eq!(to_bytes(&decoded), record, "the decoded frame encodes to other bytes");
                decoded_count += 1;
            }
            Err(_) => rejected_count += 1,
        }
    }
    assert!(rejected_count > 10_000 && decoded_count > 100, "rejected {rejected_count} decoded {decoded_count}");
}

#[test]
fn random_bytes_are_rejected_or_decoded_faithfully() {
    let mut rng = ChaCha8Rng::seed_from_u64(9);
    for _ in 0..20_000 {
        let length = rng.random_range(0..200);
        let bytes: Vec<u8> = (0..length).map(|_| rng.random()).collect();
        assert!(from_bytes::<Frame>(&bytes).is_none_or(|frame| to_bytes(&frame) == bytes));
    }
    let valid = encode(&frame(samples()[0].clone()));
    let checksum = u32::from_le_bytes([valid[4], valid[5], valid[6], valid[7]]);
    assert!(decode("posta", checksum, &valid[8..]).is_ok());
}
