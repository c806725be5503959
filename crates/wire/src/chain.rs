//! What registries say to each other: heartbeats and confirmations, the agreement on views, entries
//! travelling down the chain, snapshots copied to a joiner, and the founding of a cluster.

use crate::{Blob, List, NodeId, Text};
use deku::prelude::*;

/// Names a proposal: who made it and its number there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Default, DekuRead, DekuWrite)]
pub struct ProposalId {
    /// The registry that proposed it.
    pub origin: NodeId,
    pub number: u64,
}

/// A registry's id and the address its peers reach it at.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Default, DekuRead, DekuWrite)]
pub struct NodeAddress {
    /// The id, drawn at random when its disk was empty.
    pub id: NodeId,
    /// IP number and port.
    pub address: Text,
}

/// Which registries replicate the state, agreed by a majority of the voters of the view before.
#[derive(Clone, Debug, PartialEq, Eq, Default, DekuRead, DekuWrite)]
pub struct View {
    pub number: u64,
    /// Replicas in the order in which entries pass them.
    pub chain: List<NodeId>,
    /// Who votes on the next view.
    pub voters: List<NodeAddress>,
    /// The replica that has just joined and may not be the only one left, 0 for none.
    pub learner: NodeId,
    /// The replica that hosts the optimizer.
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

/// One entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct LogEntry {
    /// Its place in the log, counted from 1.
    pub seq: u64,
    /// The proposal that it came from.
    pub op: ProposalId,
    /// The command, encoded.
    pub body: Blob,
}

/// One pair of the replicated state.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct KeyValue {
    /// The key.
    pub key: Text,
    /// The value.
    pub value: Blob,
}

/// What registries say to each other. `view` is the number of the sender's view; a message of another view is passed
/// over, or answered by what was decided.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(id_type = "u8")]
pub enum ChainMessage {
    /// To every voter: the sender lives. `round` is its confirmation round, `unhealthy` whether its disk fails or
    /// stalls.
    #[deku(id = "1")]
    Heartbeat { view: u64, round: u64, unhealthy: u8 },
    /// The answer. It confirms the round unless the sender `has_accepted_next`, a proposal of a newer view.
    #[deku(id = "2")]
    HeartbeatAck { view: u64, round: u64, has_accepted_next: u8 },
    /// Paxos, first phase: asks voters to promise that they accept no proposal of a lower number for the view `slot`.
    #[deku(id = "3")]
    Prepare { slot: u64, proposal_number: u64 },
    /// The promise, with the proposal that the voter had accepted, if any.
    #[deku(id = "4")]
    PrepareReply { slot: u64, proposal_number: u64, accepted_number: u64, accepted: View },
    /// Paxos, second phase: asks voters to accept a view.
    #[deku(id = "5")]
    Accept { slot: u64, proposal_number: u64, view: View },
    /// The voter accepted it.
    #[deku(id = "6")]
    AcceptReply { slot: u64, proposal_number: u64 },
    /// The voter has promised `proposal_number`, which is higher.
    #[deku(id = "7")]
    ProposalRejected { slot: u64, proposal_number: u64 },
    /// The view that was decided.
    #[deku(id = "8")]
    Decided { view: View },
    /// To the head: a command to be appended.
    #[deku(id = "9")]
    Propose { op: ProposalId, body: Blob },
    /// To the successor: entries, and the newest entry that the sender had when the view began (`fence`).
    #[deku(id = "10")]
    Append { view: u64, fence: u64, entries: List<LogEntry> },
    /// To the predecessor: the newest entry on disk and the newest one known to be committed.
    #[deku(id = "11")]
    Synced { view: u64, seq: u64, committed: u64 },
    /// To the predecessor: the newest entry on disk, after which entries are to be sent.
    #[deku(id = "12")]
    Position { view: u64, seq: u64 },
    /// To a replica whose log does not reach far enough, or one that asks to join: it may catch up from the sender.
    #[deku(id = "13")]
    SnapshotOffer { view: u64 },
    /// Requests a chunk of a snapshot; snapshot 0 requests a new one.
    #[deku(id = "14")]
    SnapshotRequest { snapshot_id: u64, chunk: u32 },
    /// A chunk of the state after entry `seq`; `last` is not 0 if none follows.
    #[deku(id = "15")]
    SnapshotChunk { snapshot_id: u64, chunk: u32, last: u8, seq: u64, pairs: List<KeyValue> },
    /// Asks to join the chain. Until it is `ready`, `seq` says for how many milliseconds it has waited; then it names
    /// the snapshot it holds.
    #[deku(id = "16")]
    JoinRequest { node: NodeAddress, ready: u8, seq: u64 },
    /// Between empty seeds: asks to found a cluster, with the first view the sender is bound to.
    #[deku(id = "17")]
    BootstrapRequest { node: NodeAddress, bound_to: View },
    /// To whoever proposed: whether it was appended, and the reply once it is committed.
    #[deku(id = "18")]
    ProposalReply { op: ProposalId, appended: u8, reply: Blob },
    /// Requests the entries after `last`, with a checksum of those after `since` that prove the logs agree.
    #[deku(id = "19")]
    MissedEntriesRequest { since: u64, last: u64, checksum: u64 },
    /// The entries that were missed, in place of a snapshot.
    #[deku(id = "20")]
    MissedEntries { snapshot_id: u64, entries: List<LogEntry> },
    /// To the new tail of a view: how long before adopting it a voter last answered the tail before.
    #[deku(id = "21")]
    TailLastAnswered { view: u64, millis: u64 },
    /// To the other replicas of the view, with each heartbeat: the sender is told to stop, and its process ends after
    /// this time at the latest.
    #[deku(id = "22")]
    Leaving { remaining_ms: u64 },
}
