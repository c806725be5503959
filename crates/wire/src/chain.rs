//! What registries say to each other: heartbeats and confirmations, the agreement on views, entries
//! travelling down the chain, snapshots copied to a joiner, and the founding of a cluster.

use crate::{Blob, List, NodeId, Text};
use deku::prelude::*;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Default, DekuRead, DekuWrite)]
pub struct ProposalId {
    pub origin: NodeId,
    pub number: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Default, DekuRead, DekuWrite)]
pub struct NodeAddress {
    pub id: NodeId,
    pub address: Text,
}

#[derive(Clone, Debug, PartialEq, Eq, Default, DekuRead, DekuWrite)]
pub struct View {
    pub number: u64,
    pub chain: List<NodeId>,
    pub voters: List<NodeAddress>,
    pub learner: NodeId,
    pub optimizer: NodeId,
}

impl View {
    /// The first replica of the chain, where entries are appended.
    pub fn head(&self) -> Option<NodeId> {
        self.chain.as_slice().first().copied()
    }

    /// The last replica of the chain, where entries are acknowledged and reads answered.
    pub fn tail(&self) -> Option<NodeId> {
        self.chain.as_slice().last().copied()
    }

    /// Where in the chain a registry stands.
    pub fn position_of(&self, id: NodeId) -> Option<usize> {
        self.chain.iter().position(|member| *member == id)
    }

    /// Whether a registry is in the chain.
    pub fn is_in_chain(&self, id: NodeId) -> bool {
        self.position_of(id).is_some()
    }

    /// Whether a registry votes on the next view.
    pub fn is_voter(&self, id: NodeId) -> bool {
        self.voters.iter().any(|voter| voter.id == id)
    }
}

#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct LogEntry {
    pub seq: u64,
    pub op: ProposalId,
    pub body: Blob,
}

#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct KeyValue {
    pub key: Text,
    pub value: Blob,
}

#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(id_type = "u8")]
pub enum ChainMessage {
    #[deku(id = "1")]
    Heartbeat { view: u64, round: u64, unhealthy: u8 },
    #[deku(id = "2")]
    HeartbeatAck { view: u64, round: u64, has_accepted_next: u8 },
    #[deku(id = "3")]
    Prepare { slot: u64, proposal_number: u64 },
    #[deku(id = "4")]
    PrepareReply { slot: u64, proposal_number: u64, accepted_number: u64, accepted: View },
    #[deku(id = "5")]
    Accept { slot: u64, proposal_number: u64, view: View },
    #[deku(id = "6")]
    AcceptReply { slot: u64, proposal_number: u64 },
    #[deku(id = "7")]
    ProposalRejected { slot: u64, proposal_number: u64 },
    #[deku(id = "8")]
    Decided { view: View },
    #[deku(id = "9")]
    Propose { op: ProposalId, body: Blob },
    #[deku(id = "10")]
    Append { view: u64, fence: u64, entries: List<LogEntry> },
    #[deku(id = "11")]
    Synced { view: u64, seq: u64, committed: u64 },
    #[deku(id = "12")]
    Position { view: u64, seq: u64 },
    #[deku(id = "13")]
    SnapshotOffer { view: u64 },
    #[deku(id = "14")]
    SnapshotRequest { snapshot_id: u64, chunk: u32 },
    #[deku(id = "15")]
    SnapshotChunk { snapshot_id: u64, chunk: u32, last: u8, seq: u64, pairs: List<KeyValue> },
    #[deku(id = "16")]
    JoinRequest { node: NodeAddress, ready: u8, seq: u64 },
    #[deku(id = "17")]
    BootstrapRequest { node: NodeAddress, bound_to: View },
    #[deku(id = "18")]
    Done { op: ProposalId, appended: u8, reply: Blob },
    #[deku(id = "19")]
    MissedEntriesRequest { since: u64, last: u64, checksum: u64 },
    #[deku(id = "20")]
    MissedEntries { snapshot_id: u64, entries: List<LogEntry> },
    /// To the new tail of a view: how long before adopting it a voter last answered the tail before.
    #[deku(id = "21")]
    TailLastAnswered { view: u64, millis: u64 },
}
