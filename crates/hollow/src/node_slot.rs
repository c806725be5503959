//! A hollow node's place in its node group, which outlasts the node.

use kernel::Inbox;
use links::LinkEvent;
use std::cell::RefCell;
use std::net::TcpListener;
use std::rc::Rc;
use wire::{Message, NodeId};

pub enum NodeMessage {
    Link(LinkEvent),
    Peer { from: NodeId, message: Message },
}

/// One hollow node's place, known before anything starts.
pub struct NodeSlot {
    pub id: NodeId,
    pub address: String,
    pub zone: String,
    pub listener: TcpListener,
    pub inbox: Inbox<NodeMessage>,
}

/// Gives a slot back when its node ends, however it ends.
pub struct ReturnOnDrop {
    pub slot: Rc<RefCell<Option<NodeSlot>>>,
    pub taken: Option<NodeSlot>,
}

impl Drop for ReturnOnDrop {
    fn drop(&mut self) {
        *self.slot.borrow_mut() = self.taken.take();
    }
}
