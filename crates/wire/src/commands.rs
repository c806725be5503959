//! The entries of the chain and the replies its tail gives for them, as deku records.

use crate::{Blob, ConfigurationItem, List, NodeId, Text};
use deku::prelude::*;

/// What a machine can carry: its part of a core in thousandths, and its link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct Capacity {
    /// Thousandths of a core.
    pub processor_milli: u32,
    /// Thousands of bits a second.
    pub link_kbit: u32,
}

impl Default for Capacity {
    fn default() -> Self {
        Capacity { processor_milli: 1000, link_kbit: 1_000_000 }
    }
}

/// What an entry of the chain does to the state.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(id_type = "u8")]
pub enum Command {
    /// A change of the configuration before format 3: its refusal is remembered like a taken one.
    #[deku(id = "1")]
    Change { op: Text, base: u64, is_any_base: u8, replaces_scope: u8, scope: Text, items: List<ConfigurationItem> },
    /// Another set of routers confirms leases without the core from now on.
    #[deku(id = "2")]
    SetQuorum { after: u64, members: List<NodeId> },
    /// An epoch comes into force.
    #[deku(id = "3")]
    Activate { epoch: u64 },
    /// A router joins, before format 4.
    #[deku(id = "4")]
    Join { id: NodeId, incarnation: u64, address: Text, zone: Text, ops: Text },
    /// A router's lease ran out.
    #[deku(id = "5")]
    ExpireLease { id: NodeId, incarnation: u64 },
    /// A router is about to stop.
    #[deku(id = "6")]
    Leaving { id: NodeId, incarnation: u64 },
    /// Claims a run-once key for a request.
    #[deku(id = "7")]
    Claim { scope: Text, digest: Blob, member: NodeId, incarnation: u64, request_id: u64 },
    /// Records the answer under a claimed key.
    #[deku(id = "8")]
    RecordAnswer { scope: Text, member: NodeId, incarnation: u64, request_id: u64, answer: Blob },
    /// Gives a claim back: the request was sent nowhere.
    #[deku(id = "9")]
    Release { scope: Text, member: NodeId, incarnation: u64, request_id: u64 },
    /// Stores a deferred request.
    #[deku(id = "10")]
    Store { id: Text, function: Text, digest: Blob, task: Blob },
    /// Records the answer of a deferred request.
    #[deku(id = "11")]
    Finish { id: Text, function: Text, answer: Blob },
    /// The chain's clock goes on, by which records expire.
    #[deku(id = "12")]
    Tick { number: u64 },
    /// A change with the revision it declares, or 0 for the next; only a taken one is remembered.
    #[deku(id = "13")]
    Declare {
        op: Text,
        base: u64,
        is_any_base: u8,
        replaces_scope: u8,
        revision: u64,
        scope: Text,
        items: List<ConfigurationItem>,
    },
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
    /// `Claim` with how many of the chain's ticks the key is kept.
    #[deku(id = "15")]
    ClaimForTicks { scope: Text, digest: Blob, member: NodeId, incarnation: u64, request_id: u64, ticks: u32 },
}

/// What an entry answers.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(id_type = "u8")]
pub enum CommandReply {
    /// The change was taken as this epoch and revision.
    #[deku(id = "1")]
    Changed { epoch: u64, revision: u64 },
    /// It was refused with this status and these faults.
    #[deku(id = "2")]
    Refused { status: u16, body: Blob },
    /// Claims a run-once key for a request.
    #[deku(id = "3")]
    Claim { state: ClaimState, answer: Blob },
    /// What became of a deferred request.
    #[deku(id = "4")]
    Stored { state: ClaimState, answer: Blob },
    /// Nothing to be said.
    #[deku(id = "5")]
    Empty,
}

/// What a claim or a stored request meets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(id_type = "u8")]
pub enum ClaimState {
    /// The key is claimed by this request now.
    #[deku(id = "1")]
    Granted,
    /// Another request has claimed it and is not answered.
    #[deku(id = "2")]
    Running,
    /// It is answered, and the answer is given again.
    #[deku(id = "3")]
    Answered,
    /// Whoever claimed it is gone; it may have run.
    #[deku(id = "4")]
    Unknown,
    /// The key was used for another body.
    #[deku(id = "5")]
    OtherBody,
    /// There is no room for more.
    #[deku(id = "6")]
    Full,
}

/// A claimed run-once key.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct ClaimRecord {
    /// A digest of the request.
    pub digest: Blob,
    /// The router that claimed it.
    pub member: NodeId,
    /// The router's incarnation.
    pub incarnation: u64,
    /// The router's number of the claim.
    pub request_id: u64,
    /// The tick at which it expires.
    pub expiry_tick: u64,
    /// Not 0 once the answer is recorded.
    pub is_answered: u8,
    /// The answer.
    pub answer: Blob,
}

/// A deferred request.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct DeferredRecord {
    /// Tenant and name.
    pub function: Text,
    /// A digest of the request.
    pub digest: Blob,
    /// Not 0 once it is answered.
    pub is_answered: u8,
    /// The answer.
    pub answer: Blob,
}

/// An operation's reply, given again when it is repeated.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct OpRecord {
    /// The reply.
    pub reply: CommandReply,
}
