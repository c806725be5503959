//! One encoded sample of each message and record. Fields hold distinct values, so that swapped fields are detected.

mod forward;
mod lease;
mod record;

pub use forward::{forward_messages, plan_messages};
pub use lease::lease_messages;
pub use record::records;

use wire::{ChainMessage, FORMAT, Frame, KeyValue, LogEntry, Message, NodeAddress, ProposalId, View, to_bytes};

pub fn encode_frame(message: Message) -> Vec<u8> {
    to_bytes(&Frame { format: FORMAT, cluster: "posta".into(), sender: 901, incarnation: 902, message })
}

fn node(id: u64) -> NodeAddress {
    NodeAddress { id, address: format!("10.0.0.{id}:7760").as_str().into() }
}

fn view() -> View {
    View { number: 11, chain: vec![1, 2, 3].into(), voters: vec![node(1), node(2)].into(), learner: 3, optimizer: 2 }
}

fn entry(seq: u64) -> LogEntry {
    LogEntry { seq, op: ProposalId { origin: 21, number: 22 }, body: vec![23, 24, 25].into() }
}

pub fn chain_messages() -> Vec<Vec<u8>> {
    use ChainMessage::*;
    let op = ProposalId { origin: 31, number: 32 };
    let pair = KeyValue { key: "key".into(), value: vec![33, 34].into() };
    [
        Heartbeat { view: 41, round: 42, unhealthy: 1 },
        HeartbeatAck { view: 43, round: 44, has_accepted_next: 1 },
        Prepare { slot: 45, proposal_number: 46 },
        PrepareReply { slot: 47, proposal_number: 48, accepted_number: 49, accepted: view() },
        Accept { slot: 50, proposal_number: 51, view: view() },
        AcceptReply { slot: 52, proposal_number: 53 },
        ProposalRejected { slot: 54, proposal_number: 55 },
        Decided { view: view() },
        Propose { op, body: vec![56].into() },
        Append { view: 57, fence: 58, entries: vec![entry(59), entry(60)].into() },
        Synced { view: 61, seq: 62, committed: 63 },
        Position { view: 64, seq: 65 },
        SnapshotOffer { view: 66 },
        SnapshotRequest { snapshot_id: 67, chunk: 68 },
        SnapshotChunk { snapshot_id: 69, chunk: 70, last: 1, seq: 71, pairs: vec![pair].into() },
        JoinRequest { node: node(72), ready: 1, seq: 73 },
        BootstrapRequest { node: node(74), bound_to: view() },
        ProposalReply { op, appended: 1, reply: vec![75, 76].into() },
        MissedEntriesRequest { since: 77, last: 78, checksum: 79 },
        MissedEntries { snapshot_id: 80, entries: vec![entry(81)].into() },
        TailLastAnswered { view: 82, millis: 83 },
        Leaving { remaining_ms: 84 },
    ]
    .into_iter()
    .map(|message| encode_frame(Message::Chain(message)))
    .collect()
}
