//! The entries of the chain and the replies its tail gives for them, as deku records.

use crate::{Blob, ConfigurationItem, List, NodeId, Text};
use deku::prelude::*;

/// What a machine can carry: its part of a core in thousandths, and its link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct Capacity {
    pub processor_milli: u32,
    pub link_kbit: u32,
}

impl Default for Capacity {
    fn default() -> Self {
        Capacity { processor_milli: 1000, link_kbit: 1_000_000 }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(id_type = "u8")]
pub enum Command {
    #[deku(id = "1")]
    Change { op: Text, base: u64, any: u8, full: u8, scope: Text, items: List<ConfigurationItem> },
    #[deku(id = "2")]
    Quorum { after: u64, members: List<NodeId> },
    #[deku(id = "3")]
    Activate { step: u64 },
    #[deku(id = "4")]
    Join { id: NodeId, incarnation: u64, address: Text, zone: Text, ops: Text },
    #[deku(id = "5")]
    Lapse { id: NodeId, incarnation: u64 },
    #[deku(id = "6")]
    Leaving { id: NodeId, incarnation: u64 },
    #[deku(id = "7")]
    Claim { scope: Text, digest: Blob, member: NodeId, incarnation: u64, request_id: u64 },
    #[deku(id = "8")]
    RecordAnswer { scope: Text, member: NodeId, incarnation: u64, request_id: u64, answer: Blob },
    #[deku(id = "9")]
    Release { scope: Text, member: NodeId, incarnation: u64, request_id: u64 },
    #[deku(id = "10")]
    Store { id: Text, function: Text, digest: Blob, task: Blob },
    #[deku(id = "11")]
    Finish { id: Text, function: Text, answer: Blob },
    #[deku(id = "12")]
    Tick { number: u64 },
    /// A change with the revision it declares, or 0 for the next; only a taken one is remembered.
    #[deku(id = "13")]
    Declare { op: Text, base: u64, any: u8, full: u8, revision: u64, scope: Text, items: List<ConfigurationItem> },
    /// `Join` with the hashing of owners that is known and what the machine can carry.
    #[deku(id = "14")]
    JoinWithCapacity {
        id: NodeId,
        incarnation: u64,
        address: Text,
        zone: Text,
        ops: Text,
        hashing: u8,
        capacity: Capacity,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(id_type = "u8")]
pub enum CommandReply {
    #[deku(id = "1")]
    Changed { step: u64, revision: u64 },
    #[deku(id = "2")]
    Refused { status: u16, body: Blob },
    #[deku(id = "3")]
    Claim { state: ClaimState, answer: Blob },
    #[deku(id = "4")]
    Stored { state: ClaimState, answer: Blob },
    #[deku(id = "5")]
    Plain,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(id_type = "u8")]
pub enum ClaimState {
    #[deku(id = "1")]
    Granted,
    #[deku(id = "2")]
    Running,
    #[deku(id = "3")]
    Answered,
    #[deku(id = "4")]
    Unknown,
    #[deku(id = "5")]
    OtherBody,
    #[deku(id = "6")]
    Full,
}

#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct ClaimRecord {
    pub digest: Blob,
    pub member: NodeId,
    pub incarnation: u64,
    pub request_id: u64,
    pub due: u64,
    pub is_answered: u8,
    pub answer: Blob,
}

#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct DeferredRecord {
    pub function: Text,
    pub digest: Blob,
    pub done: u8,
    pub answer: Blob,
}

#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct OpRecord {
    pub reply: CommandReply,
}
