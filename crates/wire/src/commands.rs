//! Commands that are replicated as entries of the chain, the tail's replies to them, and stored records.

use crate::{Blob, ConfigurationItem, List, NodeId, Text};
use deku::prelude::*;

/// Capacity of a machine: its share of a core and the speed of its network link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct Capacity {
    /// CPU share in thousandths of a core.
    pub processor_milli: u32,
    /// Speed of the network link in kbit/s.
    pub link_kbit: u32,
}

impl Default for Capacity {
    fn default() -> Self {
        Capacity { processor_milli: 1000, link_kbit: 1_000_000 }
    }
}

/// Operation on the replicated state. `scope` is the tenant that a change is restricted to, empty for all, or the
/// scope of a run-once key.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(id_type = "u8")]
pub enum Command {
    /// Changes the configuration, before format 3. A refusal is remembered like an accepted change. `base` is the
    /// revision that the change is based on, unless `is_any_base`; with `replaces_scope` everything else in the scope
    /// is removed.
    #[deku(id = "1")]
    Change { op: Text, base: u64, is_any_base: u8, replaces_scope: u8, scope: Text, items: List<ConfigurationItem> },
    /// Replaces the routers whose majority can confirm leases without the registries, if `after` is the latest epoch.
    #[deku(id = "2")]
    SetQuorum { after: u64, members: List<NodeId> },
    /// Activates all epochs up to this one.
    #[deku(id = "3")]
    Activate { epoch: u64 },
    /// Adds a router to the membership, before format 4. `ops` is the address of its pages for operators.
    #[deku(id = "4")]
    Join { id: NodeId, incarnation: u64, address: Text, zone: Text, ops: Text },
    /// Removes a router whose lease has expired.
    #[deku(id = "5")]
    ExpireLease { id: NodeId, incarnation: u64 },
    /// Records that a router is about to stop.
    #[deku(id = "6")]
    Leaving { id: NodeId, incarnation: u64 },
    /// Claims a run-once key for a request. `member` is the claiming router.
    #[deku(id = "7")]
    Claim { scope: Text, digest: Blob, member: NodeId, incarnation: u64, request_id: u64 },
    /// Stores the answer under a claimed key.
    #[deku(id = "8")]
    RecordAnswer { scope: Text, member: NodeId, incarnation: u64, request_id: u64, answer: Blob },
    /// Releases a claim whose request was not sent to any instance.
    #[deku(id = "9")]
    Release { scope: Text, member: NodeId, incarnation: u64, request_id: u64 },
    /// Stores a deferred request.
    #[deku(id = "10")]
    Store { id: Text, function: Text, digest: Blob, task: Blob },
    /// Stores the answer to a deferred request.
    #[deku(id = "11")]
    Finish { id: Text, function: Text, answer: Blob },
    /// Advances the chain's clock, by which records expire.
    #[deku(id = "12")]
    Tick { number: u64 },
    /// As `Change`, with the revision that the change declares, or 0 for the next one. Only the reply to an accepted
    /// change is returned when it is repeated.
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
    /// As `Join`, with the version of owner hashing that the router supports and the capacity of its machine.
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
    /// As `Claim`, with the number of ticks of the chain's clock for which the key is kept.
    #[deku(id = "15")]
    ClaimForTicks { scope: Text, digest: Blob, member: NodeId, incarnation: u64, request_id: u64, ticks: u32 },
}

/// Reply to a command.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(id_type = "u8")]
pub enum CommandReply {
    /// The change was accepted as this epoch and revision.
    #[deku(id = "1")]
    Changed { epoch: u64, revision: u64 },
    /// The change was refused with this HTTP status and these faults.
    #[deku(id = "2")]
    Refused { status: u16, body: Blob },
    /// State of a claimed run-once key, with the stored answer if there is one.
    #[deku(id = "3")]
    Claim { state: ClaimState, answer: Blob },
    /// State of a deferred request, with its answer if there is one.
    #[deku(id = "4")]
    Stored { state: ClaimState, answer: Blob },
    /// The command has no result.
    #[deku(id = "5")]
    Empty,
}

/// State of a run-once key or a deferred request when a router claims or stores it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(id_type = "u8")]
pub enum ClaimState {
    /// The key is now claimed by this request.
    #[deku(id = "1")]
    Granted,
    /// Another request has claimed the key and has no answer yet.
    #[deku(id = "2")]
    Running,
    /// The request has been answered, and its answer is returned.
    #[deku(id = "3")]
    Answered,
    /// The router that claimed the key is no longer a member; the request may have run.
    #[deku(id = "4")]
    Unknown,
    /// The key was used for a request with another body.
    #[deku(id = "5")]
    OtherBody,
    /// The store is full.
    #[deku(id = "6")]
    Full,
}

/// Stored state of a claimed run-once key.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct ClaimRecord {
    /// Digest of the request.
    pub digest: Blob,
    /// Router that claimed the key.
    pub member: NodeId,
    /// Incarnation of that router.
    pub incarnation: u64,
    /// Number that the router gave to the claim.
    pub request_id: u64,
    /// Tick of the chain's clock at which the record expires.
    pub expiry_tick: u64,
    /// Not 0 once the answer is stored.
    pub is_answered: u8,
    /// Answer to the request.
    pub answer: Blob,
}

/// Stored state of a deferred request.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct DeferredRecord {
    /// Name of the function as `tenant/name`.
    pub function: Text,
    /// Digest of the request.
    pub digest: Blob,
    /// Not 0 once the request is answered.
    pub is_answered: u8,
    /// Answer to the request.
    pub answer: Blob,
}

/// Stored reply to an operation, returned when the operation is repeated.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct OpRecord {
    /// Reply to the operation.
    pub reply: CommandReply,
}
