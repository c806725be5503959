//! What the link service is asked to do, and what it tells.

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
    Send { to: NodeId, message: Message },
    SendAddress { address: String, message: Message },
    Dial { addresses: Vec<String> },
}

#[derive(Debug)]
pub enum LinkEvent {
    Up { id: NodeId, incarnation: u64, address: String },
    Down { id: NodeId },
    Frame { from: NodeId, incarnation: u64, message: Message },
}
