//! What routers and registries say: joining, renewing a hold and proving a revision, staged steps
//! and their replies, membership pushes, and commands or reads a router asks of the chain. Routers
//! also prove revisions to one another when the core cannot be reached.

use crate::{Blob, Capacity, List, NodeId, Text};
use deku::prelude::*;

/// One declared resource: its key, whether it is removed, and its JSON.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct ConfigurationItem {
    /// Kind, tenant and name.
    pub key: Text,
    /// Not 0 if it is removed.
    pub is_removed: u8,
    /// Its JSON.
    pub value: Blob,
}

/// A numbered configuration, as what it changes in the one before: staged at the routers, then activated.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct ConfigurationEpoch {
    /// Counted from 1.
    pub number: u64,
    /// The operators' number of it.
    pub revision: u64,
    /// The routers whose majority can confirm it without the core.
    pub quorum: List<NodeId>,
    /// What it changes.
    pub items: List<ConfigurationItem>,
}

/// How long ago a router can last have asked for a proof that it was granted.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct ProofAge {
    /// The router.
    pub id: NodeId,
    /// Its incarnation.
    pub incarnation: u64,
    /// In milliseconds.
    pub millis: u64,
}

/// What routers and registries say to each other, and routers among themselves about leases. `request_id` pairs an
/// answer with its request; `active`, `latest` and `staged` are numbers of epochs.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(id_type = "u8")]
pub enum LeaseMessage {
    /// A router asks to become a member. `ops` is the address of its pages for operators.
    #[deku(id = "1")]
    Join { address: Text, zone: Text, ops: Text },
    /// A router asks for its lease to be confirmed, and says how far it is.
    #[deku(id = "2")]
    Renew { request_id: u64, staged: u64, active: u64, membership: u64 },
    /// The tail confirms that no epoch after `latest` exists; `member` is 0 if the router is none.
    #[deku(id = "3")]
    Proof { request_id: u64, active: u64, latest: u64, member: u8 },
    /// As `RegistryAddresses`, in format 1.
    #[deku(id = "4")]
    NotTail { tail: NodeId, view: u64, addresses: List<Text> },
    /// A complete epoch to be staged, before format 4.
    #[deku(id = "5")]
    Stage { epoch: ConfigurationEpoch },
    /// The newest epoch that the router has staged.
    #[deku(id = "6")]
    Staged { number: u64 },
    /// This epoch is in force.
    #[deku(id = "7")]
    Activate { number: u64 },
    /// The complete membership, before format 4.
    #[deku(id = "8")]
    Membership { number: u64, body: Blob },
    /// Requests a page of the active configuration, from a key on.
    #[deku(id = "9")]
    ConfigurationRequest { request_id: u64, from: Text },
    /// A page; `next` is the key to go on from, empty for none.
    #[deku(id = "10")]
    ConfigurationPage {
        request_id: u64,
        epoch: u64,
        revision: u64,
        quorum: List<NodeId>,
        items: List<ConfigurationItem>,
        next: Text,
    },
    /// A command that a router wants appended.
    #[deku(id = "11")]
    Propose { request_id: u64, body: Blob },
    /// What came of it: state 0 not appended, 1 committed with this reply, 2 unknown.
    #[deku(id = "12")]
    ProposalAck { request_id: u64, state: u8, body: Blob },
    /// Requests committed pairs below a prefix, from a key on.
    #[deku(id = "13")]
    Read { request_id: u64, prefix: Text, from: Text },
    /// The pairs; state 0 if they could not be read.
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
    /// Where the registries are; the sender is not the tail.
    #[deku(id = "18")]
    RegistryAddresses { addresses: List<Text> },
    /// The router is about to stop.
    #[deku(id = "19")]
    Leaving,
    /// A part of a packed step; of the whole active configuration as one step where `full` is not 0.
    #[deku(id = "20")]
    Part { request_id: u64, full: u8, number: u64, size: u32, packed: u32, offset: u32, bytes: Blob },
    /// Asks for the part at an offset; number 0 for whichever step is active.
    #[deku(id = "21")]
    PartRequest { request_id: u64, full: u8, number: u64, offset: u32 },
    /// As `MajorityRequest`, before format 8.
    #[deku(id = "23")]
    MajorityEpochRequest { request_id: u64, active: u64 },
    /// As `MajorityReply`, before format 8.
    #[deku(id = "24")]
    MajorityEpochReply { request_id: u64, active: u64 },
    /// What differs in the membership from the one under an earlier number, packed; from none where it is 0.
    #[deku(id = "22")]
    MembershipChange { since: u64, number: u64, size: u32, body: Blob },
    /// `Join` with the hashing of owners that is known and what the machine can carry.
    #[deku(id = "30")]
    JoinWithCapacity { address: Text, zone: Text, ops: Text, hashing: u8, capacity: Capacity },
    /// From the tail of one view to the tail of the next, on adopting it: whose proofs may still hold, and how
    /// long ago tails before both can last have granted one.
    #[deku(id = "31")]
    Proofs { view: u64, earlier_millis: u64, proofs: List<ProofAge> },
    /// Asks a peer which epochs and which membership it has.
    #[deku(id = "32")]
    PeerRequest { request_id: u64, active: u64, membership: u64 },
    /// The epochs that the peer has active and knows of, and its membership.
    #[deku(id = "33")]
    PeerReply { request_id: u64, active: u64, latest: u64, membership: u64 },
    /// Asks a peer to ask a majority of the quorum of the active step.
    #[deku(id = "34")]
    MajorityRequest { request_id: u64, active: u64, membership: u64 },
    /// A majority of that step's quorum held no newer step and no newer membership, asked after the ask.
    #[deku(id = "35")]
    MajorityReply { request_id: u64, active: u64, membership: u64 },
    /// The complete membership, packed, for a peer that asked by an earlier one.
    #[deku(id = "36")]
    PeerMembership { number: u64, size: u32, body: Blob },
}

impl LeaseMessage {
    /// A request by a router of an earlier format says nothing of its membership: none is newer.
    const NEWEST: u64 = u64::MAX;
    /// A reply by a router of an earlier format says nothing of its membership: it is taken to hold none.
    const NONE: u64 = 0;

    /// Said among routers, not by a registry.
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

    /// What peers say about epochs alone, as if they spoke of memberships too.
    pub fn with_membership(self) -> Self {
        use LeaseMessage::*;
        match self {
            PeerEpochRequest { request_id, active } => PeerRequest { request_id, active, membership: Self::NEWEST },
            PeerEpochReply { request_id, active, latest } => {
                PeerReply { request_id, active, latest, membership: Self::NONE }
            }
            MajorityEpochRequest { request_id, active } => {
                MajorityRequest { request_id, active, membership: Self::NEWEST }
            }
            MajorityEpochReply { request_id, active } => MajorityReply { request_id, active, membership: Self::NONE },
            same => same,
        }
    }
}
