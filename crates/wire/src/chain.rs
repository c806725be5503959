//! Messages between registries: heartbeats and their confirmations, agreement on views, replication of entries along
//! the chain, snapshots for a joining registry, and the bootstrap of a cluster.

use crate::{Blob, List, NodeId, Text};
use deku::prelude::*;

/// Identifies a proposal by its proposer and the proposer's number for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Default, DekuRead, DekuWrite)]
pub struct ProposalId {
    /// Registry that made the proposal.
    pub origin: NodeId,
    /// Number that the proposer gave to it.
    pub number: u64,
}

/// Id of a registry and the address at which its peers reach it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Default, DekuRead, DekuWrite)]
pub struct NodeAddress {
    /// Random id, chosen when the registry started with an empty disk.
    pub id: NodeId,
    /// IP address and port.
    pub address: Text,
}

/// Registries that replicate the state, as agreed by a majority of the voters of the previous view.
#[derive(Clone, Debug, PartialEq, Eq, Default, DekuRead, DekuWrite)]
pub struct View {
    /// Number of the view, which grows with each view.
    pub number: u64,
    /// Replicas in the order in which entries are passed along.
    pub chain: List<NodeId>,
    /// Registries that vote on the next view.
    pub voters: List<NodeAddress>,
    /// Replica that has just joined and must not become the only remaining one; 0 for none.
    pub learner: NodeId,
    /// Replica that hosts the optimizer.
    pub optimizer: NodeId,
}

impl View {
    /// Returns the first replica of the chain, where entries are appended.
    pub fn head(&self) -> Option<NodeId> {
        self.chain.as_slice().first().copied()
    }

    /// Returns the last replica of the chain, which acknowledges entries and answers reads.
    pub fn tail(&self) -> Option<NodeId> {
        self.chain.as_slice().last().copied()
    }

    /// Returns the index of a registry in the chain.
    pub fn position_of(&self, id: NodeId) -> Option<usize> {
        self.chain.iter().position(|member| *member == id)
    }

    /// Returns whether a registry is in the chain.
    pub fn is_in_chain(&self, id: NodeId) -> bool {
        self.position_of(id).is_some()
    }

    /// Returns whether a registry votes on the next view.
    pub fn is_voter(&self, id: NodeId) -> bool {
        self.voters.iter().any(|voter| voter.id == id)
    }
}

/// Entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct LogEntry {
    /// Position in the log, counted from 1.
    pub seq: u64,
    /// Proposal that the entry comes from.
    pub op: ProposalId,
    /// Encoded command.
    pub body: Blob,
}

/// Key and value in the replicated state.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct KeyValue {
    pub key: Text,
    pub value: Blob,
}

/// Message between registries. `view` is the number of the sender's view. A message from another view is ignored, or
/// answered with the decided view.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(id_type = "u8")]
pub enum ChainMessage {
    /// To every voter: the sender is alive. `round` is its confirmation round; `unhealthy` tells whether its disk fails
    /// or stalls.
    #[deku(id = "1")]
    Heartbeat { view: u64, round: u64, unhealthy: u8 },
    /// Answer to a heartbeat. It confirms the round unless the sender `has_accepted_next`, a proposal for a newer view.
    #[deku(id = "2")]
    HeartbeatAck { view: u64, round: u64, has_accepted_next: u8 },
    /// Paxos, first phase: asks voters to promise that they accept no proposal of a lower number for the view `slot`.
    #[deku(id = "3")]
    Prepare { slot: u64, proposal_number: u64 },
    /// Promise of a voter, with the proposal that it had accepted before, if any.
    #[deku(id = "4")]
    PrepareReply { slot: u64, proposal_number: u64, accepted_number: u64, accepted: View },
    /// Paxos, second phase: asks voters to accept a view.
    #[deku(id = "5")]
    Accept { slot: u64, proposal_number: u64, view: View },
    /// The voter accepted the view.
    #[deku(id = "6")]
    AcceptReply { slot: u64, proposal_number: u64 },
    /// The voter has already promised the higher `proposal_number`.
    #[deku(id = "7")]
    ProposalRejected { slot: u64, proposal_number: u64 },
    /// Announces the view that was decided.
    #[deku(id = "8")]
    Decided { view: View },
    /// To the head: a command to append.
    #[deku(id = "9")]
    Propose { op: ProposalId, body: Blob },
    /// To the successor: entries to append. `fence` is the newest entry that the sender had when the view began.
    #[deku(id = "10")]
    Append { view: u64, fence: u64, entries: List<LogEntry> },
    /// To the predecessor: the newest entry on disk and the newest one known to be committed.
    #[deku(id = "11")]
    Synced { view: u64, seq: u64, committed: u64 },
    /// To the predecessor: the newest entry on disk, after which entries are to be sent.
    #[deku(id = "12")]
    Position { view: u64, seq: u64 },
    /// To a replica whose log ends too early, or one that asks to join: it can catch up from the sender.
    #[deku(id = "13")]
    SnapshotOffer { view: u64 },
    /// Requests a chunk of a snapshot; snapshot 0 requests a new one.
    #[deku(id = "14")]
    SnapshotRequest { snapshot_id: u64, chunk: u32 },
    /// A chunk of the state after entry `seq`; `last` is not 0 for the last chunk.
    #[deku(id = "15")]
    SnapshotChunk { snapshot_id: u64, chunk: u32, last: u8, seq: u64, pairs: List<KeyValue> },
    /// Asks to join the chain. `seq` is the time in milliseconds that the sender has waited or, once it is `ready`,
    /// the snapshot that it holds.
    #[deku(id = "16")]
    JoinRequest { node: NodeAddress, ready: u8, seq: u64 },
    /// Between seeds without data: asks to bootstrap a cluster, with the first view that the sender is bound to.
    #[deku(id = "17")]
    BootstrapRequest { node: NodeAddress, bound_to: View },
    /// To the proposer: whether the command was appended, and the reply once it is committed.
    #[deku(id = "18")]
    ProposalReply { op: ProposalId, appended: u8, reply: Blob },
    /// Requests the entries after `last`. The checksum of the entries after `since` proves that the logs agree.
    #[deku(id = "19")]
    MissedEntriesRequest { since: u64, last: u64, checksum: u64 },
    /// The missed entries, sent instead of a snapshot.
    #[deku(id = "20")]
    MissedEntries { snapshot_id: u64, entries: List<LogEntry> },
    /// To the new tail of a view: how long before adopting the view a voter last answered the previous tail.
    #[deku(id = "21")]
    TailLastAnswered { view: u64, millis: u64 },
    /// To the other replicas of the view, with each heartbeat: the sender is shutting down, and its process ends
    /// within this time.
    #[deku(id = "22")]
    Leaving { remaining_ms: u64 },
}
