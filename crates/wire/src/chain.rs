//! What registries say to each other: heartbeats and confirmations, the agreement on views, entries
//! travelling down the chain, snapshots copied to a joiner, and the founding of a cluster.

use crate::{Blob, List, NodeId, Text};
use deku::prelude::*;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Default, DekuRead, DekuWrite)]
pub struct OpNo {
    pub origin: NodeId,
    pub number: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Default, DekuRead, DekuWrite)]
pub struct Seat {
    pub id: NodeId,
    pub address: Text,
}

#[derive(Clone, Debug, PartialEq, Eq, Default, DekuRead, DekuWrite)]
pub struct View {
    pub number: u64,
    pub chain: List<NodeId>,
    pub voters: List<Seat>,
    pub fresh: NodeId,
    pub optimizer: NodeId,
}

#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct EntryLine {
    pub seq: u64,
    pub op: OpNo,
    pub body: Blob,
}

#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct PairLine {
    pub key: Text,
    pub value: Blob,
}

#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(id_type = "u8")]
pub enum ChainMessage {
    #[deku(id = "1")]
    Heartbeat { view: u64, round: u64, unwell: u8 },
    #[deku(id = "2")]
    HeartbeatAck { view: u64, round: u64, holds_next: u8 },
    #[deku(id = "3")]
    Prepare { slot: u64, ballot: u64 },
    #[deku(id = "4")]
    Promise { slot: u64, ballot: u64, accepted_ballot: u64, accepted: View },
    #[deku(id = "5")]
    Accept { slot: u64, ballot: u64, view: View },
    #[deku(id = "6")]
    Accepted { slot: u64, ballot: u64 },
    #[deku(id = "7")]
    Refused { slot: u64, ballot: u64 },
    #[deku(id = "8")]
    Decided { view: View },
    #[deku(id = "9")]
    Propose { op: OpNo, body: Blob },
    #[deku(id = "10")]
    Append { view: u64, fence: u64, entries: List<EntryLine> },
    #[deku(id = "11")]
    Synced { view: u64, seq: u64, committed: u64 },
    #[deku(id = "12")]
    Position { view: u64, seq: u64 },
    #[deku(id = "13")]
    TakeCopy { view: u64 },
    #[deku(id = "14")]
    CopyAsk { copy: u64, piece: u32 },
    #[deku(id = "15")]
    CopyPiece { copy: u64, piece: u32, last: u8, seq: u64, pairs: List<PairLine> },
    #[deku(id = "16")]
    JoinAsk { seat: Seat, ready: u8, seq: u64 },
    #[deku(id = "17")]
    FoundAsk { seat: Seat, bound: View },
    #[deku(id = "18")]
    Done { op: OpNo, entered: u8, receipt: Blob },
    #[deku(id = "19")]
    SuffixAsk { since: u64, last: u64, digest: u64 },
    #[deku(id = "20")]
    Suffix { copy: u64, entries: List<EntryLine> },
    /// To the new tail of a view: how long before adopting it a voter last answered the tail before.
    #[deku(id = "21")]
    LastAnswered { view: u64, millis: u64 },
}
