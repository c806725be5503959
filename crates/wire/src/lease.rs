//! Messages between routers and registries: joining, lease renewals and proofs, staging of epochs, membership updates,
//! and commands or reads that a router requests from the chain. Routers also confirm epochs to each other while the
//! registries can't be reached.

use crate::{Blob, Capacity, List, NodeId, Text};
use deku::prelude::*;

/// Declared resource that a change sets or removes.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct ConfigurationItem {
    /// Key of the resource as `kind/tenant/name`.
    pub key: Text,
    /// Not 0 if the resource is removed.
    pub is_removed: u8,
    /// The resource as JSON.
    pub value: Blob,
}

/// Numbered version of the configuration, given as its differences from the previous one. It is staged at the routers
/// and then activated.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct ConfigurationEpoch {
    /// Number of the epoch, counted from 1.
    pub number: u64,
    /// Revision number that operators see.
    pub revision: u64,
    /// Routers whose majority can confirm the epoch without the registries.
    pub quorum: List<NodeId>,
    /// Resources that the epoch changes.
    pub items: List<ConfigurationItem>,
}

/// Time since a router can last have requested a proof that it was granted.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct ProofAge {
    /// Id of the router.
    pub id: NodeId,
    /// Incarnation of the router.
    pub incarnation: u64,
    /// Time in milliseconds.
    pub millis: u64,
}

/// Message between a router and a registry, or between routers about leases. `request_id` matches an answer to its
/// request; `active`, `latest` and `staged` are numbers of epochs, `membership` is the number of a membership.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(id_type = "u8")]
pub enum LeaseMessage {
    /// A router asks to become a member. `ops` is the address of its pages for operators.
    #[deku(id = "1")]
    Join { address: Text, zone: Text, ops: Text },
    /// A router asks for confirmation of its lease and reports its epochs and membership.
    #[deku(id = "2")]
    Renew { request_id: u64, staged: u64, active: u64, membership: u64 },
    /// The tail confirms that no epoch after `latest` exists. `is_member` is 0 if the router is not a member.
    #[deku(id = "3")]
    Proof { request_id: u64, active: u64, latest: u64, is_member: u8 },
    /// As `RegistryAddresses`, in format 1.
    #[deku(id = "4")]
    NotTail { tail: NodeId, view: u64, addresses: List<Text> },
    /// A complete epoch to stage, before format 4.
    #[deku(id = "5")]
    Stage { epoch: ConfigurationEpoch },
    /// The newest epoch that the router has staged.
    #[deku(id = "6")]
    Staged { number: u64 },
    /// The epoch is active.
    #[deku(id = "7")]
    Activate { number: u64 },
    /// The complete membership, before format 4.
    #[deku(id = "8")]
    Membership { number: u64, body: Blob },
    /// Requests a page of the active configuration, starting at a key.
    #[deku(id = "9")]
    ConfigurationRequest { request_id: u64, from: Text },
    /// A page of the configuration. `next` is the first key of the next page, empty for none.
    #[deku(id = "10")]
    ConfigurationPage {
        request_id: u64,
        epoch: u64,
        revision: u64,
        quorum: List<NodeId>,
        items: List<ConfigurationItem>,
        next: Text,
    },
    /// A command that a router asks to append to the chain.
    #[deku(id = "11")]
    Propose { request_id: u64, body: Blob },
    /// Result of a proposal: state 0 not appended, 1 committed with this reply, 2 unknown.
    #[deku(id = "12")]
    ProposalAck { request_id: u64, state: u8, body: Blob },
    /// Requests committed pairs whose keys have a prefix, starting at a key.
    #[deku(id = "13")]
    Read { request_id: u64, prefix: Text, from: Text },
    /// The requested pairs; state 0 if they could not be read.
    #[deku(id = "14")]
    ReadReply { request_id: u64, state: u8, items: List<ConfigurationItem> },
    /// As `Leaving`, in format 1.
    #[deku(id = "15")]
    Leave { successor: NodeId },
    /// As `PeerRequest`, before format 8.
    #[deku(id = "16")]
    PeerEpochRequest { request_id: u64, active: u64 },
    /// As `PeerReply`, before format 8.
    #[deku(id = "17")]
    PeerEpochReply { request_id: u64, active: u64, latest: u64 },
    /// Addresses of the registries, from a registry that is not the tail.
    #[deku(id = "18")]
    RegistryAddresses { addresses: List<Text> },
    /// The router is about to stop.
    #[deku(id = "19")]
    Leaving,
    /// Part of a compressed epoch or, if `full` is not 0, of the complete active configuration as one epoch.
    #[deku(id = "20")]
    Part { request_id: u64, full: u8, number: u64, size: u32, compressed_size: u32, offset: u32, bytes: Blob },
    /// Requests the part at an offset. Number 0 stands for the active epoch.
    #[deku(id = "21")]
    PartRequest { request_id: u64, full: u8, number: u64, offset: u32 },
    /// As `MajorityRequest`, before format 8.
    #[deku(id = "23")]
    MajorityEpochRequest { request_id: u64, active: u64 },
    /// As `MajorityReply`, before format 8.
    #[deku(id = "24")]
    MajorityEpochReply { request_id: u64, active: u64 },
    /// Compressed differences of the membership from the one numbered `since`, or from an empty one if `since` is 0.
    #[deku(id = "22")]
    MembershipChange { since: u64, number: u64, size: u32, body: Blob },
    /// As `Join`, with the version of owner hashing that the router supports and the capacity of its machine.
    #[deku(id = "30")]
    JoinWithCapacity { address: Text, zone: Text, ops: Text, hashing: u8, capacity: Capacity },
    /// From the tail of one view to the tail of the next, when the next view is adopted: the routers whose proofs may
    /// still be valid, and the time since a tail before these two can last have granted a proof.
    #[deku(id = "31")]
    Proofs { view: u64, earlier_millis: u64, proofs: List<ProofAge> },
    /// Asks a peer for its epochs and its membership.
    #[deku(id = "32")]
    PeerRequest { request_id: u64, active: u64, membership: u64 },
    /// The peer's active epoch, the latest epoch that it knows, and its membership.
    #[deku(id = "33")]
    PeerReply { request_id: u64, active: u64, latest: u64, membership: u64 },
    /// Asks a peer to query a majority of the active epoch's quorum.
    #[deku(id = "34")]
    MajorityRequest { request_id: u64, active: u64, membership: u64 },
    /// A majority of that epoch's quorum, queried after the request arrived, had no newer epoch and no newer
    /// membership.
    #[deku(id = "35")]
    MajorityReply { request_id: u64, active: u64, membership: u64 },
    /// The complete membership, compressed, for a peer whose request named an older one.
    #[deku(id = "36")]
    PeerMembership { number: u64, size: u32, body: Blob },
}

impl LeaseMessage {
    /// Membership assumed in requests of older formats, which name none: no membership is newer than it.
    const ASSUMED_IN_REQUEST: u64 = u64::MAX;
    /// Membership assumed in replies of older formats, which name none: the sender is taken to have no membership.
    const ASSUMED_IN_REPLY: u64 = 0;

    /// Returns whether the message comes from another router, not from a registry.
    pub fn is_from_peer(&self) -> bool {
        use LeaseMessage::{
            MajorityEpochReply, MajorityEpochRequest, MajorityReply, MajorityRequest, PeerEpochReply, PeerEpochRequest,
            PeerMembership, PeerReply, PeerRequest,
        };
        matches!(
            self,
            PeerEpochRequest { .. }
                | PeerEpochReply { .. }
                | MajorityEpochRequest { .. }
                | MajorityEpochReply { .. }
                | PeerRequest { .. }
                | PeerReply { .. }
                | MajorityRequest { .. }
                | MajorityReply { .. }
                | PeerMembership { .. }
        )
    }

    /// Converts messages between routers of formats before 8 to the current variants, with assumed memberships.
    pub fn with_membership(self) -> Self {
        use LeaseMessage::*;
        match self {
            PeerEpochRequest { request_id, active } => {
                PeerRequest { request_id, active, membership: Self::ASSUMED_IN_REQUEST }
            }
            PeerEpochReply { request_id, active, latest } => {
                PeerReply { request_id, active, latest, membership: Self::ASSUMED_IN_REPLY }
            }
            MajorityEpochRequest { request_id, active } => {
                MajorityRequest { request_id, active, membership: Self::ASSUMED_IN_REQUEST }
            }
            MajorityEpochReply { request_id, active } => {
                MajorityReply { request_id, active, membership: Self::ASSUMED_IN_REPLY }
            }
            unchanged => unchanged,
        }
    }
}
