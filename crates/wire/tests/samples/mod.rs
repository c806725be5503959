//! One sample of each message and record, no two fields of which hold the same value, as bytes.

mod forward;
mod lease;
mod record;

pub use forward::{forward_messages, plan_messages};
pub use lease::lease_messages;
pub use record::records;

use wire::{ChainMessage, EntryLine, FORMAT, Frame, Message, OpNo, PairLine, Seat, View, to_bytes};

pub fn frame(message: Message) -> Vec<u8> {
    to_bytes(&Frame { format: FORMAT, cluster: "posta".into(), sender: 901, incarnation: 902, message })
}

fn seat(id: u64) -> Seat {
    Seat { id, address: format!("10.0.0.{id}:7760").as_str().into() }
}

fn view() -> View {
    View { number: 11, chain: vec![1, 2, 3].into(), voters: vec![seat(1), seat(2)].into(), fresh: 3, optimizer: 2 }
}

fn entry(seq: u64) -> EntryLine {
    EntryLine { seq, op: OpNo { origin: 21, number: 22 }, body: vec![23, 24, 25].into() }
}

pub fn chain_messages() -> Vec<Vec<u8>> {
    use ChainMessage::*;
    let op = OpNo { origin: 31, number: 32 };
    let pair = PairLine { key: "key".into(), value: vec![33, 34].into() };
    [
        Heartbeat { view: 41, round: 42, unwell: 1 },
        HeartbeatAck { view: 43, round: 44, holds_next: 1 },
        Prepare { slot: 45, ballot: 46 },
        Promise { slot: 47, ballot: 48, accepted_ballot: 49, accepted: view() },
        Accept { slot: 50, ballot: 51, view: view() },
        Accepted { slot: 52, ballot: 53 },
        Refused { slot: 54, ballot: 55 },
        Decided { view: view() },
        Propose { op, body: vec![56].into() },
        Append { view: 57, fence: 58, entries: vec![entry(59), entry(60)].into() },
        Synced { view: 61, seq: 62, committed: 63 },
        Position { view: 64, seq: 65 },
        TakeCopy { view: 66 },
        CopyAsk { copy: 67, piece: 68 },
        CopyPiece { copy: 69, piece: 70, last: 1, seq: 71, pairs: vec![pair].into() },
        JoinAsk { seat: seat(72), ready: 1, seq: 73 },
        FoundAsk { seat: seat(74), bound: view() },
        Done { op, entered: 1, receipt: vec![75, 76].into() },
        SuffixAsk { since: 77, last: 78, digest: 79 },
        Suffix { copy: 80, entries: vec![entry(81)].into() },
        LastAnswered { view: 82, millis: 83 },
    ]
    .into_iter()
    .map(|message| frame(Message::Chain(message)))
    .collect()
}
