//! What the link service is asked to do, and what it tells. Addresses in `KeepConnected` are held always; a
//! peer named in `SetKnownPeers` is dialled when something is sent to it, and let go when both sides are quiet.

use wire::{Message, NodeId};

/// This process, as it introduces itself on each connection.
#[derive(Clone, Debug)]
pub struct LocalNode {
    /// Its identity, stable over restarts.
    pub id: NodeId,
    /// Raised with each start, so that frames of an earlier life are told apart.
    pub incarnation: u64,
    /// The cluster's name; frames of another cluster end a connection.
    pub cluster: String,
    /// Where others dial it.
    pub address: String,
    /// The newest format of frames that it speaks.
    pub format: u16,
}

/// What the link service can be asked for.
#[derive(Debug)]
pub enum LinkOrder {
    /// To a peer that is linked, or known: then it waits, for a short time, until that peer is dialled.
    Send {
        /// The receiving peer.
        to: NodeId,
        /// The message to send.
        message: Message,
    },
    /// To whoever is linked at an address that was dialled; dropped if nobody is.
    SendAddress {
        /// The dialled address.
        address: String,
        /// The message to send.
        message: Message,
    },
    /// The addresses held always, in place of those given before.
    KeepConnected {
        /// `IP:port` of each.
        addresses: Vec<String>,
    },
    /// Where peers are met when there is something for them, in place of those given before.
    SetKnownPeers {
        /// Identity and `IP:port` of each.
        members: Vec<(NodeId, String)>,
    },
}

/// What the link service tells the owner of the links.
#[derive(Debug)]
pub enum LinkEvent {
    /// The first connection with a peer stands.
    Up {
        /// The peer.
        id: NodeId,
        /// The peer's incarnation.
        incarnation: u64,
        /// Where the peer is dialled.
        address: String,
    },
    /// The last connection with a peer ended, or one that was known could not be dialled: what waited
    /// for it is lost.
    Down {
        /// The peer.
        id: NodeId,
    },
    /// A message came in.
    Frame {
        /// The sending peer.
        from: NodeId,
        /// The sender's incarnation.
        incarnation: u64,
        /// What it sent.
        message: Message,
    },
}
