//! Frames bent at random never panic and never pass for what they are not.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wire::{
    ChainMessage, ConfigurationEpoch, ConfigurationItem, FORMAT, ForwardMessage, ForwardRequest, Frame, LeaseMessage,
    LogEntry, Message, NodeAddress, PlanMessage, ProposalId, View, decode, encode, from_bytes, to_bytes,
};

fn forward() -> ForwardRequest {
    ForwardRequest {
        task: 5,
        function: "a/f".into(),
        binding: "a/b".into(),
        left_ms: 4000,
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
    let step =
        ConfigurationEpoch { number: 4, revision: 2, quorum: vec![1, 2, 3].into(), items: vec![item.clone()].into() };
    vec![
        Message::Chain(ChainMessage::Decided { view }),
        Message::Chain(ChainMessage::Append { view: 3, fence: 8, entries: vec![entry.clone(), entry].into() }),
        Message::Lease(LeaseMessage::Stage { epoch: step }),
        Message::Lease(LeaseMessage::ReadReply { request_id: 1, state: 1, items: vec![item].into() }),
        Message::Forward(ForwardMessage::NotOwner { task: 5 }),
        Message::Forward(ForwardMessage::Forward { request: Box::new(forward()) }),
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
fn bent_frames_are_read_as_themselves_or_refused() {
    let mut dice = ChaCha8Rng::seed_from_u64(4);
    let (mut refused, mut read) = (0, 0);
    for round in 0..60_000 {
        let full = frame(samples()[round % 8].clone());
        let mut record = to_bytes(&full);
        for _ in 0..dice.random_range(1..6) {
            let place = dice.random_range(0..record.len());
            match dice.random_range(0..4) {
                0 => record[place] ^= 1 << dice.random_range(0..8),
                1 => record[place] = [0, 255, 127, 128][dice.random_range(0..4)],
                2 => record.truncate(place.max(1)),
                _ => record.insert(place, dice.random()),
            }
        }
        // The checksum is made to fit, as a hostile sender would.
        match decode("posta", crc32fast::hash(&record), &record) {
            Ok(got) => {
                assert_eq!(to_bytes(&got), record, "read as something it does not write as");
                read += 1;
            }
            Err(_) => refused += 1,
        }
    }
    assert!(refused > 10_000 && read > 100, "refused {refused} read {read}");
}

#[test]
fn bytes_at_random_are_refused() {
    let mut dice = ChaCha8Rng::seed_from_u64(9);
    for _ in 0..20_000 {
        let length = dice.random_range(0..200);
        let bytes: Vec<u8> = (0..length).map(|_| dice.random()).collect();
        assert!(from_bytes::<Frame>(&bytes).is_none_or(|frame| to_bytes(&frame) == bytes));
    }
    let good = encode(&frame(samples()[0].clone()));
    let checksum = u32::from_le_bytes([good[4], good[5], good[6], good[7]]);
    assert!(decode("posta", checksum, &good[8..]).is_ok());
}
