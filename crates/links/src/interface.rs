//! Orders to the link service and the events it reports. Connections to the addresses in `KeepConnected`
//! are always kept open; a peer in `SetKnownPeers` is dialled when something is sent to it, and the
//! connection is closed when both sides are idle.

use tokio::sync::oneshot;
use wire::{Message, NodeId};

/// Identity of this process, sent on each connection.
#[derive(Clone, Debug)]
pub struct LocalNode {
    /// Node id, stable across restarts.
    pub id: NodeId,
    /// Number increased at each start, so that frames from an earlier run can be told apart.
    pub incarnation: u64,
    /// Cluster name; a frame of another cluster ends the connection.
    pub cluster: String,
    /// Address that other processes dial.
    pub address: String,
    /// Newest frame format that this process supports.
    pub format: u16,
}

/// An order to the link service.
#[derive(Debug)]
pub enum LinkOrder {
    /// Sends a message to a connected peer, or to a known one: the message then waits for a short time while
    /// the peer is dialled.
    Send {
        /// The receiving peer.
        to: NodeId,
        /// The message to send.
        message: Message,
    },
    /// Sends a message to the peer connected at a dialled address; dropped if there is none.
    SendAddress {
        /// The dialled address.
        address: String,
        /// The message to send.
        message: Message,
    },
    /// Replaces the addresses to which connections are always kept open.
    KeepConnected {
        /// `IP:port` of each peer.
        addresses: Vec<String>,
    },
    /// Replaces the peers that are dialled when something is sent to them.
    SetKnownPeers {
        /// Node id and `IP:port` of each peer.
        members: Vec<(NodeId, String)>,
    },
    /// Ends the service: nothing more is dialled or accepted, and each connection is closed once the messages queued on
    /// it are written.
    Close {
        /// Notified once every connection is closed on both sides.
        closed: oneshot::Sender<()>,
    },
}

/// An event that the link service reports to the owner of the links.
#[derive(Debug)]
pub enum LinkEvent {
    /// The first connection with a peer was established.
    Up {
        /// The peer.
        id: NodeId,
        /// The peer's incarnation.
        incarnation: u64,
        /// Address at which the peer can be dialled.
        address: String,
    },
    /// The last connection with a peer ended, or a known peer could not be dialled: the messages queued
    /// for it are lost.
    Down {
        /// The peer.
        id: NodeId,
    },
    /// A message arrived.
    Frame {
        /// The sending peer.
        from: NodeId,
        /// The sender's incarnation.
        incarnation: u64,
        /// The message.
        message: Message,
    },
}
