//! What the link service is asked to do, and what it tells. Addresses in `Dial` are held always; a
//! peer named in `Know` is dialled when something is sent to it, and let go when both sides are quiet.

use wire::{Message, NodeId};

#[derive(Clone, Debug)]
pub struct Me {
    pub id: NodeId,
    pub incarnation: u64,
    pub cluster: String,
    pub address: String,
    pub format: u16,
}

#[derive(Debug)]
pub enum LinkOrder {
    /// To a peer that is linked, or known: then it waits, for a short time, until that peer is dialled.
    Send {
        to: NodeId,
        message: Message,
    },
    SendAddress {
        address: String,
        message: Message,
    },
    /// The addresses held always, in place of those given before.
    Dial {
        addresses: Vec<String>,
    },
    /// Where peers are met when there is something for them, in place of those given before.
    Know {
        members: Vec<(NodeId, String)>,
    },
}

#[derive(Debug)]
pub enum LinkEvent {
    Up {
        id: NodeId,
        incarnation: u64,
        address: String,
    },
    /// The last connection with a peer ended, or one that was known could not be dialled: what waited
    /// for it is lost.
    Down {
        id: NodeId,
    },
    Frame {
        from: NodeId,
        incarnation: u64,
        message: Message,
    },
}
